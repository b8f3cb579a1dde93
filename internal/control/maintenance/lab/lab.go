package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/judge"
	"dunestep/internal/control/policy"
	policylab "dunestep/internal/control/policy/lab"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Protection names a part of the design that can be disabled, to check that the judge detects its absence.
type Protection string

const (
	withoutNotice           Protection = "notice"       // windows are accepted only minutes in advance
	withoutOwnClock         Protection = "own clock"    // agents that are cut off keep an old time
	withoutFence            Protection = "fence"        // the leader does not wait for the fence
	withoutInFlightWait     Protection = "linger"       // the leader does not wait for requests in flight
	withoutContract         Protection = "contract"     // agents do not check the contract
	withoutTurns            Protection = "turns"        // agents at policy.ModeBottom use all servers
	withoutEarlyReturn      Protection = "early return" // agents start to return keys only at the end
	withoutStartTime        Protection = "begin"        // a restarted voter assumes that it started long ago
	withoutSilentAgentCheck Protection = "strangers"    // agents that send no reports are ignored
)

// Protections returns all protections.
func Protections() []Protection {
	return []Protection{
		withoutNotice, withoutOwnClock, withoutFence, withoutInFlightWait, withoutContract, withoutTurns,
		withoutEarlyReturn, withoutStartTime, withoutSilentAgentCheck,
	}
}

// Settings of the simulated fleet.
const (
	voters        = 3
	servers       = 8
	roundInterval = time.Second
	maxInFlight   = 30 * time.Second
	clockMargin   = 10 * time.Second
	turns         = 2
)

// tenants are the tenants of the fleet. They are not modified.
var tenants = []string{"east", "west"}

// Lab is a simulated fleet during a week.
type Lab struct {
	*policylab.Lab
	Judge *judge.Judge
	// Accepted, Freed, ReturnedEarly and Ended are numbers of windows. Ended includes stopped ones.
	Accepted, Freed, ReturnedEarly, Ended  int
	Rejected                               map[string]int // rejected window requests by tenant
	Reasons                                map[string]int // changes of windows' states by reason
	Requests, ExclusionOverrides, Unserved int

	setup            Setup
	focus            focus
	startsAt         time.Duration
	slowUntil        time.Duration                // until then requests take almost maxInFlight
	contractsVersion uint64                       // newest policy version whose contracts the judge has
	lastStates       map[string]maintenance.State // by window ID
	moveRates        map[string]float64           // by window ID
	requestCount     int
	keys             map[string][]key                       // by tenant
	unlistedUntil    map[string]time.Duration               // servers that are not listed until then
	downUntil        map[string]time.Duration               // servers that are listed, but known to be down
	underservedUntil map[string]time.Duration               // tenants of which half of the requests fail
	overloadedUntil  map[int]time.Duration                  // by agent
	counts           []map[string]*maintenance.TenantCounts // by agent and tenant, since the agent's last report
	reportedAt       []time.Duration                        // by agent, by its monotonic clock
	lastLeaseAt      []lease.ClockReading                   // last decision with a lease, by agent
	onStateChange    func(id string, former, state maintenance.State)
}

// Setup configures a Lab. The same Setup gives the same week.
type Setup struct {
	Seed    uint64
	Agents  int
	Days    int
	Keys    int        // keys of each tenant, requested by each agent in each round; zero: 40
	Without Protection // disabled protection; empty: none
}

// New returns a Lab at the start of a week.
func New(setup Setup, start time.Duration) *Lab {
	if setup.Keys == 0 {
		setup.Keys = 40
	}
	l := &Lab{
		setup: setup, startsAt: start, Rejected: map[string]int{},
		Reasons: map[string]int{}, lastStates: map[string]maintenance.State{},
		moveRates: map[string]float64{}, keys: map[string][]key{}, unlistedUntil: map[string]time.Duration{},
		downUntil: map[string]time.Duration{}, underservedUntil: map[string]time.Duration{},
		overloadedUntil: map[int]time.Duration{},
		reportedAt:      make([]time.Duration, setup.Agents), lastLeaseAt: make([]lease.ClockReading, setup.Agents),
	}
	times := policy.Times{}.WithDefaults()
	l.Lab = policylab.New(policylab.Setup{
		Seed: setup.Seed, Voters: voters, Agents: setup.Agents, StartTime: start,
		Times: times, LeadTime: 2 * time.Second, NewApplication: l.newApplication,
		Faults: simnet.Faults{
			Loss: 0.05, Duplicate: 0.05, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
			Late: 0.02, Lateness: 3 * time.Second,
		},
	})
	l.Judge = judge.New(judge.Settings{
		ClockError: 2*times.Terms.MaxClockError + time.Millisecond, Turns: turns,
		LearnDelay: times.Terms.FenceWait(), Keys: setup.Keys, ReportPeriod: 12 * time.Second,
	})
	l.OnDecision, l.OnApplicationRecord = l.sendRequests, l.recordAgreed
	for range setup.Agents {
		l.counts = append(l.counts, map[string]*maintenance.TenantCounts{})
	}
	for _, t := range tenants {
		for range setup.Keys {
			k := key{hash: l.Rand().Uint32()}
			for _, s := range l.Rand().Perm(servers) {
				k.order = append(k.order, serverID(s))
			}
			l.keys[t] = append(l.keys[t], k)
		}
	}
	return l
}

// serverID returns the ID of a server.
func serverID(i int) string { return fmt.Sprint("s", i) }

// versionInForce returns the newest activated policy version at a node. For a negative n it is that of the
// agreed log.
func (l *Lab) versionInForce(n int) uint64 {
	if n < 0 {
		return l.State().InForce.Number
	}
	return l.StateMachine(n).State().InForce.Number
}

// leaderView returns the present view of a voter's process.
func (l *Lab) leaderView(n int) maintenance.LeaderView {
	v := maintenance.LeaderView{
		InForce: l.versionInForce(n), ChangeOpen: l.StateMachine(n).State().OpenChange != nil,
	}
	v.Standing, v.Active = l.Active(n)
	v.Servers = l.listedServers()
	return v
}

// listedServers returns the servers on all endpoint lists.
func (l *Lab) listedServers() (all []maintenance.Server) {
	for i := range servers {
		if l.unlistedUntil[serverID(i)] <= l.Now() {
			all = append(all, maintenance.Server{ID: serverID(i), Capacity: 1})
		}
	}
	return all
}
