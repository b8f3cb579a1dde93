package operator

import "slices"

// Fleet is the table "fleet": settings for what the agents of a fleet agree on. Values marked "the same at
// all agents" must be equal at all agents of the fleet.
type Fleet struct {
	// Enabled makes the agent participate in the fleet.
	Enabled bool `toml:"on"`
	// Voters are the 1, 3, 5 or 7 agents that store the Raft log, by their numbers in the settings. The same at
	// all agents.
	Voters []int64 `toml:"voters" min:"0" max:"9999"`
	// Policy enables the fleet policies that the agents agreed on. The same at all agents.
	Policy bool `toml:"policy"`
	// Folder is where a voter stores its copy of the log, on a persistent disk. Empty: it stores nothing and
	// joins as a new voter after a restart.
	Folder string `toml:"folder"`
	// LeaseMS is the duration of a lease from its request, in milliseconds. No agent acts on an earlier policy
	// after this time plus MaxKnowledgeAgeMS. The same at all agents.
	LeaseMS int64 `toml:"lease_ms" min:"500" max:"60000"`
	// MaxKnowledgeAgeMS is the maximum age of a voter's knowledge when it grants a lease, in milliseconds. The
	// same at all agents.
	MaxKnowledgeAgeMS int64 `toml:"heard_ms" min:"500" max:"10000"`
	// ReadyTimeoutMS is how long a starting process requests the agreed state from other agents, in
	// milliseconds. After that it reports readiness without it.
	ReadyTimeoutMS int64 `toml:"ready_ms" min:"0" max:"10000"`
	// LiveSizeForProbes divides the probe requests to ejected servers by the number of live agents instead of
	// the number in the settings, but by at least two thirds of the latter.
	LiveSizeForProbes bool `toml:"here_cold"`
	// LiveSizeForQuotas does the same for the tenants' quotas.
	LiveSizeForQuotas bool `toml:"here_shares"`
	// LiveSizeForOverload does the same for the requests that are sent during an outage.
	LiveSizeForOverload bool `toml:"here_storm"`
	// MaxSendRateKB is the maximum rate at which this agent sends data to other agents, in KiB per second.
	MaxSendRateKB int64 `toml:"rate_kb" min:"4" max:"8192"`
	// FloorValidityS is how long an agent that lost its lease uses the floor of its last policy, in seconds.
	// After that it uses only what no policy can forbid. The same at all agents, as are all keys below.
	FloorValidityS int64 `toml:"floor_s" min:"1" max:"86400"`
	// Windows enables the maintenance windows that the fleet agreed on.
	Windows bool `toml:"windows"`
	// RingAssignment adds servers to the ring by agreed generations.
	RingAssignment bool `toml:"placement"`
	// BaselineLatencies makes agents report the baseline latency of each machine kind. It affects the servers'
	// parts in the ring in addition to their agreed capacity.
	BaselineLatencies bool `toml:"paces"`
	// MinNoticeS is the minimum time between the request and the start of a maintenance window, in seconds. It
	// ensures that an agent that does not know of the window has stopped using the floor when the window starts.
	MinNoticeS int64 `toml:"notice_s" min:"2" max:"604800"`
	// SafetyMarginS is the minimum distance of windows from the limits of the hours that contracts allow, in
	// seconds, to tolerate clock differences. It is also how long a server must have received nothing before it
	// is reported free.
	SafetyMarginS int64 `toml:"margin_s" min:"1" max:"600"`
	// MaxRequestS is the maximum time that a request is in flight after a server was last chosen for it, in
	// seconds.
	MaxRequestS int64 `toml:"linger_s" min:"1" max:"3600"`
	// MaintenanceGroups is the number of groups that servers are divided into, one group per day. A day's
	// windows apply only to its group, and an agent that may have missed a window avoids the group. 0: off.
	MaintenanceGroups int64 `toml:"turns" min:"0" max:"31"`
}

const (
	// maxVoters is the maximum number of voters.
	maxVoters = 7
	// clockToleranceMS is added, in milliseconds, to times that must outlast a lease, since the clocks of
	// machines differ and run at different rates.
	clockToleranceMS = 1000
	msPerSecond      = 1000
)

func defaultFleet() Fleet {
	return Fleet{
		Voters: []int64{}, LeaseMS: 4000, MaxKnowledgeAgeMS: 1000, ReadyTimeoutMS: 2000, MaxSendRateKB: 128,
		FloorValidityS: 900, MinNoticeS: 1200, SafetyMarginS: 10, MaxRequestS: 30, MaintenanceGroups: 4,
	}
}

// check returns the first key that contradicts another one, and its requirement; empty strings if there is
// none.
func (f Fleet) check() (key, problem string) {
	for i, v := range f.Voters {
		if slices.Contains(f.Voters[:i], v) {
			return "voters", "must name each agent once"
		}
	}
	switch n := len(f.Voters); {
	case n > maxVoters || n > 0 && n%2 == 0:
		return "voters", "must name 1, 3, 5 or 7 agents"
	case f.Enabled && n == 0:
		return "voters", "must name at least one agent if on is true"
	case f.Windows && !f.Policy:
		return "windows", "needs policy = true: the contracts are in the policy"
	case f.RingAssignment && !f.Policy:
		return "placement", "needs policy = true: servers' capacities are in the policy"
	case f.BaselineLatencies && !f.RingAssignment:
		return "paces", "needs placement = true: it changes servers' parts in the ring"
	case f.Windows && f.MinNoticeS*msPerSecond <= f.maxUnawareMS():
		return "notice_s", "must be above floor_s, lease_ms and heard_ms together plus one second for clock skew"
	}
	return "", ""
}

// maxUnawareMS returns the maximum time that an agent may use the floor of its policy without knowing of a
// window, in milliseconds.
func (f Fleet) maxUnawareMS() int64 {
	return f.FloorValidityS*msPerSecond + f.LeaseMS + f.MaxKnowledgeAgeMS + clockToleranceMS
}
