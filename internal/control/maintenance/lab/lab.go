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

// Protection is one that can be removed, to see that the judge finds it; empty: none.
type Protection string

const (
	withoutNotice      Protection = "notice"       // windows are accepted a few minutes ahead
	withoutOwnClock    Protection = "own clock"    // an agent that is cut off stays where it was
	withoutFence       Protection = "fence"        // the leader does not wait for the fence
	withoutLinger      Protection = "linger"       // nor until requests in flight have arrived
	withoutContract    Protection = "contract"     // agents do not check the contract at each moment
	withoutTurns       Protection = "turns"        // at policy.ModeBottom agents use all servers
	withoutEarlyReturn Protection = "early return" // agents begin to return at the end
	withoutBegin       Protection = "begin"        // a voter that is restarted counts from long ago
	withoutStrangers   Protection = "strangers"    // agents that report nothing are ignored
)

// Protections are all of them.
func Protections() []Protection {
	return []Protection{
		withoutNotice, withoutOwnClock, withoutFence, withoutLinger, withoutContract, withoutTurns,
		withoutEarlyReturn, withoutBegin, withoutStrangers,
	}
}

// The fleet of each week.
const (
	voters        = 3
	servers       = 8
	roundInterval = time.Second
	maxInFlight   = 30 * time.Second
	clockMargin   = 10 * time.Second
	turns         = 2
)

// tenants are those of the fleet; nobody changes them.
var tenants = []string{"east", "west"}

// Lab is a fleet in a week.
type Lab struct {
	*policylab.Lab
	Judge *judge.Judge
	// Accepted, Freed, ReturnedEarly and Ended count windows.
	Accepted, Freed, ReturnedEarly, Ended  int
	Rejected                               map[string]int // requests, by the tenant it was about
	Reasons                                map[string]int // of windows that were paused or returned early
	Requests, ExclusionOverrides, Unserved int

	setup            Setup
	focus            focus
	beginsAt         time.Duration
	slowUntil        time.Duration // requests take as long as they may
	version          uint64        // whose contracts the judge knows
	lastStates       map[string]maintenance.State
	moveRates        map[string]float64
	requested        int
	keys             map[string][]key // by tenant
	lostUntil        map[string]time.Duration
	failingUntil     map[string]time.Duration // servers that are listed, and known to be down
	underservedUntil map[string]time.Duration // tenants
	overloadedUntil  map[int]time.Duration
	counts           []map[string]*maintenance.TenantCounts // by agent and tenant, since its last report
	reportedAt       []time.Duration
	lastLeased       []lease.ClockReading // by agent
	onState          func(id string, was, is maintenance.State)
}

// Setup is what a Lab is made from. The same one gives the same week.
type Setup struct {
	Seed    uint64
	Agents  int
	Days    int
	Keys    int        // of each tenant, requested by each agent in each round; zero: 40
	Without Protection // that is removed
}

// New returns a week at its beginning.
func New(set Setup, begin time.Duration) *Lab {
	if set.Keys == 0 {
		set.Keys = 40
	}
	l := &Lab{
		setup: set, beginsAt: begin, Rejected: map[string]int{},
		Reasons: map[string]int{}, lastStates: map[string]maintenance.State{},
		moveRates: map[string]float64{}, keys: map[string][]key{}, lostUntil: map[string]time.Duration{},
		failingUntil: map[string]time.Duration{}, underservedUntil: map[string]time.Duration{},
		overloadedUntil: map[int]time.Duration{},
		reportedAt:      make([]time.Duration, set.Agents), lastLeased: make([]lease.ClockReading, set.Agents),
	}
	times := policy.Times{}.WithDefaults()
	l.Lab = policylab.New(policylab.Setup{
		Seed: set.Seed, Voters: voters, Agents: set.Agents, StartTime: begin,
		Times: times, LeadTime: 2 * time.Second, NewApplication: l.newApplication,
		Faults: simnet.Faults{
			Loss: 0.05, Duplicate: 0.05, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
			Late: 0.02, Lateness: 3 * time.Second,
		},
	})
	l.Judge = judge.New(judge.Settings{
		ClockError: 2*times.Terms.MaxClockError + time.Millisecond, Turns: turns,
		LearnDelay: times.Terms.FenceWait(), Keys: set.Keys, ReportPeriod: 12 * time.Second,
	})
	l.OnDecision, l.OnApplicationRecord = l.decided, l.recordAgreed
	for range set.Agents {
		l.counts = append(l.counts, map[string]*maintenance.TenantCounts{})
	}
	for _, t := range tenants {
		for range set.Keys {
			k := key{hash: l.Rand().Uint32()}
			for _, s := range l.Rand().Perm(servers) {
				k.order = append(k.order, server(s))
			}
			l.keys[t] = append(l.keys[t], k)
		}
	}
	return l
}

// server is the id of a server.
func server(i int) string { return fmt.Sprint("s", i) }

// inForce is the newest activated version of the policy at a node, or below zero by the agreed log.
func (l *Lab) inForce(n int) uint64 {
	if n < 0 {
		return l.State().InForce.Number
	}
	return l.StateMachine(n).State().InForce.Number
}

// view is what a voter's process sees.
func (l *Lab) view(n int) maintenance.LeaderView {
	v := maintenance.LeaderView{InForce: l.inForce(n), ChangeOpen: l.StateMachine(n).State().OpenChange != nil}
	v.Standing, v.Active = l.Active(n)
	v.Servers = l.listedServers()
	return v
}

// listedServers are the servers of every endpoint list.
func (l *Lab) listedServers() (all []maintenance.Server) {
	for i := range servers {
		if l.lostUntil[server(i)] <= l.Now() {
			all = append(all, maintenance.Server{ID: server(i), Capacity: 1})
		}
	}
	return all
}
