package operator

import "slices"

// Fleet is the table "fleet": what the agents of a fleet agree on. Where a comment says so, the value must
// be the same at all agents of the fleet.
type Fleet struct {
	// Enabled has the agent take part in the fleet.
	Enabled bool `toml:"on"`
	// Voters are the agents that store the agreed log, by their numbers in the settings: 1, 3, 5 or 7 of
	// them. The same at all agents.
	Voters []int64 `toml:"voters" min:"0" max:"9999"`
	// Policy applies the policies that the fleet agreed on. The same at all agents.
	Policy bool `toml:"policy"`
	// Folder is where a voter stores its part of the log, on a persistent disk. Empty: it stores nothing and
	// is a new voter after a restart.
	Folder string `toml:"folder"`
	// LeaseMS is how long a lease lasts from when it was requested, in milliseconds. Together with
	// MaxKnowledgeAgeMS it is the time after which no agent acts on an earlier policy. The same at all
	// agents.
	LeaseMS int64 `toml:"lease_ms" min:"500" max:"60000"`
	// MaxKnowledgeAgeMS is how old a voter's knowledge may be when it grants a lease, in milliseconds. The
	// same at all agents.
	MaxKnowledgeAgeMS int64 `toml:"heard_ms" min:"500" max:"10000"`
	// ReadyTimeoutMS is how long a starting process asks other agents for the agreed state, in milliseconds.
	// After that it reports itself ready without it.
	ReadyTimeoutMS int64 `toml:"ready_ms" min:"0" max:"10000"`
	// LiveSizeForProbes divides the probe requests to ejected servers by the number of live agents in place
	// of the number in the settings, but never by less than two thirds of that.
	LiveSizeForProbes bool `toml:"here_cold"`
	// LiveSizeForQuotas does the same for the tenants' quotas.
	LiveSizeForQuotas bool `toml:"here_shares"`
	// LiveSizeForOverload does the same for what is sent during an outage.
	LiveSizeForOverload bool `toml:"here_storm"`
	// MaxSendRateKB limits what this agent sends to other agents, in KiB a second.
	MaxSendRateKB int64 `toml:"rate_kb" min:"4" max:"8192"`
	// FloorValidityS is how long an agent that lost its lease uses the floor of the policy that it knows, in
	// seconds; after that it uses only what no policy can forbid. The same at all agents, as are all keys
	// below.
	FloorValidityS int64 `toml:"floor_s" min:"1" max:"86400"`
	// Windows applies the maintenance windows that the fleet agreed on.
	Windows bool `toml:"windows"`
	// RingAssignment adds servers to the ring by agreed generations.
	RingAssignment bool `toml:"placement"`
	// BaselineLatencies has agents report the baseline latency of each machine kind; it changes the servers'
	// parts in the ring beside their agreed capacity.
	BaselineLatencies bool `toml:"paces"`
	// MinNoticeS is how long before its begin a maintenance window must be requested, in seconds: an agent
	// that does not know of a window that has begun no longer uses the floor by then.
	MinNoticeS int64 `toml:"notice_s" min:"2" max:"604800"`
	// SafetyMarginS is the distance of windows from the edges of the hours that contracts allow, in seconds,
	// for clocks that differ; and how long a server must have received nothing before it is reported free.
	SafetyMarginS int64 `toml:"margin_s" min:"1" max:"600"`
	// MaxRequestS is how long a request may be in flight after a server was last chosen for it, in seconds.
	MaxRequestS int64 `toml:"linger_s" min:"1" max:"3600"`
	// MaintenanceGroups is the number of groups that servers are divided into, one group a day. Windows are
	// for that day's group only, and an agent that may have missed a window avoids that group. 0: off.
	MaintenanceGroups int64 `toml:"turns" min:"0" max:"31"`
}

const (
	// maxVoters is the largest number of voters.
	maxVoters = 7
	// clockToleranceMS is added, in milliseconds, to times that must outlast a lease: clocks of machines
	// differ, and run at different rates.
	clockToleranceMS = 1000
	msPerSecond      = 1000
)

func defaultFleet() Fleet {
	return Fleet{
		Voters: []int64{}, LeaseMS: 4000, MaxKnowledgeAgeMS: 1000, ReadyTimeoutMS: 2000, MaxSendRateKB: 128,
		FloorValidityS: 900, MinNoticeS: 1200, SafetyMarginS: 10, MaxRequestS: 30, MaintenanceGroups: 4,
	}
}

// check returns the first key whose value contradicts another key's, and what is required of it.
func (f Fleet) check() (key, problem string) {
	for i, v := range f.Voters {
		if slices.Contains(f.Voters[:i], v) {
			return "voters", "must name each agent once"
		}
	}
	switch n := len(f.Voters); {
	case n > maxVoters || n > 0 && n%2 == 0:
		return "voters", "must be 1, 3, 5 or 7"
	case f.Enabled && n == 0:
		return "voters", "must be named where on is true"
	case f.Windows && !f.Policy:
		return "windows", "needs policy = true: the contracts are in the policy"
	case f.RingAssignment && !f.Policy:
		return "placement", "needs policy = true: servers' capacities are in the policy"
	case f.BaselineLatencies && !f.RingAssignment:
		return "paces", "needs placement = true: it changes servers' parts in the ring"
	case f.Windows && f.MinNoticeS*msPerSecond <= f.maxUnawareMS():
		return "notice_s", "must be above floor_s, lease_ms and heard_ms together, with a second for the clocks"
	}
	return "", ""
}

// maxUnawareMS is how long an agent may use the floor of its policy without knowing of a window, in
// milliseconds.
func (f Fleet) maxUnawareMS() int64 {
	return f.FloorValidityS*msPerSecond + f.LeaseMS + f.MaxKnowledgeAgeMS + clockToleranceMS
}
