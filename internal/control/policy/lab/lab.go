package lab

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Setup is what a Lab is made from.
type Setup struct {
	Seed           uint64
	Voters, Agents int
	Begin          time.Duration // true time, which is Unix time; zero: 1e6 s
	Faults         simnet.Faults
	Times          policy.Times
	LeadTime       time.Duration // how far ahead changes are to take effect
	Without        Protection    // that is removed
	// NewApplication, where set, makes what runs beside the policy in a node's process; for a node below zero,
	// in none, to follow the agreed log.
	NewApplication func(n int, now lease.ClockReading) Application
}

// Protection is one that can be removed, to see that the judge finds it; empty: none.
type Protection string

const (
	withoutPromise     Protection = "promise"     // agents act on the former version for too long
	withoutPrepare     Protection = "prepare"     // what is proposed is activated at once
	withoutFence       Protection = "fence"       // a tenth of the fence is waited for
	withoutOutstanding Protection = "outstanding" // voters report while leases still hold
	withoutBegin       Protection = "begin"       // voters ignore the leases of an earlier process of theirs
	withoutCheck       Protection = "check"       // agents accept what allows less than the floor
	withoutSettle      Protection = "settle"      // a floor that was replaced does not count any more at once
	withoutRunOut      Protection = "run out"     // agents that are cut off act by their floor for ever
	withoutDecline     Protection = "decline"     // voters grant leases whatever the answer, and forget it
	withoutOwn         Protection = "own"         // leaders activate documents that they have not checked
)

// Protections are all of them.
func Protections() []Protection {
	return []Protection{
		withoutPromise, withoutPrepare, withoutFence, withoutOutstanding, withoutBegin, withoutCheck, withoutSettle,
		withoutRunOut, withoutDecline, withoutOwn,
	}
}

// Lab is a fleet in virtual time.
type Lab struct {
	*simnet.Network
	Judge *judge.Judge
	// Acted is when each agent first acted on a version, by version and agent; true time.
	Acted map[uint64]map[int]time.Duration
	// UnusableActivations counts agents that held a lease as a version was activated that they cannot use.
	UnusableActivations int
	// LongestOpen is the longest time for which a change was open while the leader reached a majority all along.
	LongestOpen time.Duration

	// Decided is called with each decision, OnApplicationRecord with each agreed record of the application.
	Decided             func(agent int, now lease.ClockReading, standing lease.Standing, active policy.Active)
	OnApplicationRecord func()

	setup             Setup
	pausedUntil       time.Duration // all nodes
	droppedMessages   int           // at the front of messages
	agreedApplication Application   // follows the agreed log
	focus             focus
	log               [][]byte
	reference         *policy.StateMachine // follows the agreed log
	voters            []*voter
	agents            []*agent
	messages          []message
	leader            int             // below zero: none
	majorityAt        time.Duration   // when the leader last reached a majority
	openSince         time.Duration   // the open change
	onRecord          func(open bool) // called after each agreed record
	proposals         []*proposal
}

// node is what voters and agents have in common.
type node struct {
	number       int
	incarnation  int // of its process; zero: none runs
	incarnations int // that have run
	known        int // records
	replica      *policy.Replica
	application  Application
	nextPull     time.Duration // when it asks another node for records
}

type voter struct {
	node
	granter  *lease.Granter
	reads    []message
	requests map[uint64]message // for leases, by nonce
}

type agent struct {
	node
	holder *lease.Holder
	local  policy.LocalSettings
}

// LocalSettings are the settings of all agents.
func LocalSettings() policy.LocalSettings {
	return policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
		Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
	}}
}

// defaultBegin is when a Lab begins, in true time.
const defaultBegin = 1e6 * time.Second

// New returns a Lab with all nodes running and version 0 of the policy.
func New(setup Setup) *Lab {
	setup.Times = setup.Times.WithDefaults()
	if setup.Begin == 0 {
		setup.Begin = defaultBegin
	}
	l := &Lab{
		Network: simnet.NewNetwork(setup.Seed, setup.Voters+setup.Agents, setup.Begin, setup.Faults), setup: setup,
		reference: policy.NewStateMachine(), Acted: map[uint64]map[int]time.Duration{},
	}
	initial, err := evaluate(LocalSettings(), "format = 1\n")
	if err != nil {
		panic(err) // the document is a constant
	}
	l.Judge = judge.New(2*setup.Times.Terms.MaxClockError+time.Millisecond, initial)
	l.OnMessage, l.OnTimer = l.deliver, l.tick
	if setup.NewApplication != nil {
		l.agreedApplication = setup.NewApplication(-1, lease.ClockReading{})
	}
	for i := range setup.Voters {
		l.voters = append(l.voters, &voter{node: node{number: i}})
	}
	for i := range setup.Agents {
		l.agents = append(l.agents, &agent{node: node{number: setup.Voters + i}, local: LocalSettings()})
	}
	for i := range setup.Voters + setup.Agents {
		l.Start(i, StorageLost)
	}
	l.watchLeader()
	return l
}

// evaluate is what a document means at an agent with these settings.
func evaluate(own policy.LocalSettings, document string) (v judge.Version, err error) {
	d, err := policy.ParseDocument("lab", []byte(document))
	if err != nil {
		return v, err
	}
	if v.Effect, err = d.Effect(own); err != nil {
		return v, err
	}
	v.Floor = d.Floor().Effect(own)
	return v, nil
}

func (l *Lab) reading(n int) lease.ClockReading {
	return lease.ClockReading{Unix: l.UnixTime(n), Mono: l.SteadyTime(n)}
}

func (l *Lab) node(n int) *node {
	if n < len(l.voters) {
		return &l.voters[n].node
	}
	return &l.agents[n-len(l.voters)].node
}

func (l *Lab) nodeCount() int { return len(l.voters) + len(l.agents) }

func (l *Lab) voterNumbers() (numbers []int) {
	for i := range l.voters {
		numbers = append(numbers, i)
	}
	return numbers
}

// LimitAttempts has an agent's settings permit two attempts: it cannot use what others can.
func (l *Lab) LimitAttempts(agent int) {
	own := LocalSettings()
	own.Settings.Limits.MaxAttempts = 2
	l.agents[agent].local = own
	l.agents[agent].replica.Agent.SetLocalSettings(own)
}

// State is the agreed state.
func (l *Lab) State() policy.State { return l.reference.State() }

// Active is what a node's process acts on now. A voter counts as one with a lease while it leads and reaches
// a majority.
func (l *Lab) Active(n int) (lease.Standing, policy.Active) {
	nd, now, standing := l.node(n), l.reading(n), lease.Floor
	if n >= len(l.voters) {
		standing = l.agents[n-len(l.voters)].holder.Standing(now)
	} else if n == l.leader && l.hasMajority() {
		standing = lease.Full
	}
	return standing, nd.replica.Agent.Active(now, standing)
}

// Reading is a node's clocks.
func (l *Lab) Reading(n int) lease.ClockReading { return l.reading(n) }

// StateMachine is a node's, of the policy.
func (l *Lab) StateMachine(n int) *policy.StateMachine { return l.node(n).replica.StateMachine }

// Leader is the voter that leads; below zero: none does.
func (l *Lab) Leader() int { return l.leader }

// Incarnation tells processes of a node apart; zero: none runs.
func (l *Lab) Incarnation(n int) int { return l.node(n).incarnation }

// CutOff cuts all connections from and to a node, until a true time.
func (l *Lab) CutOff(n int, until time.Duration) { l.cutOff(n, until) }

// PauseAll has time pass up to a true one in which nothing happens: all nodes are paused. Messages in flight
// are lost.
func (l *Lab) PauseAll(until time.Duration) {
	if until <= l.Now() {
		return
	}
	l.pausedUntil = until
	for n := range l.nodeCount() {
		l.Pause(n, until)
	}
	l.droppedMessages, l.messages = l.droppedMessages+len(l.messages), l.messages[:0]
	l.Run(until)
}
