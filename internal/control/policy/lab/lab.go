package lab

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Setup configures a Lab.
type Setup struct {
	Seed           uint64
	Voters, Agents int
	StartTime      time.Duration // true time, which is Unix time; zero: defaultStartTime
	Faults         simnet.Faults
	Times          policy.Times
	LeadTime       time.Duration // time from a proposal to its effective time
	Without        Protection    // disabled protection; empty: none
	// NewApplication, if set, returns the application that runs beside the policy in a node's process. With a
	// negative n it returns one that runs in no process and applies the agreed log.
	NewApplication func(n int, now lease.ClockReading) Application
}

// Protection names a part of the protocol that can be disabled, to check that the judge detects its absence.
type Protection string

const (
	withoutPromise       Protection = "promise"     // agents act on the version in force despite their promise
	withoutPreparation   Protection = "prepare"     // a proposed change is activated at once
	withoutFence         Protection = "fence"       // the proposer waits for a tenth of the fence
	withoutLeaseExpiry   Protection = "outstanding" // voters report while leases are still valid
	withoutEarlierLeases Protection = "begin"       // voters ignore leases that their earlier processes granted
	withoutDocumentCheck Protection = "check"       // agents accept documents that allow less than the floor
	withoutFloorWait     Protection = "settle"      // a replaced floor no longer counts at once
	withoutFloorExpiry   Protection = "run out"     // agents that are cut off use their floor without limit
	withoutRejections    Protection = "decline"     // voters grant leases regardless of rejections
	withoutLeaderCheck   Protection = "own"         // leaders activate documents without a check of their own
)

// Protections returns all protections.
func Protections() []Protection {
	return []Protection{
		withoutPromise, withoutPreparation, withoutFence, withoutLeaseExpiry, withoutEarlierLeases,
		withoutDocumentCheck, withoutFloorWait, withoutFloorExpiry, withoutRejections, withoutLeaderCheck,
	}
}

// Lab is a simulated fleet in virtual time.
type Lab struct {
	*simnet.Network
	Judge *judge.Judge
	// FirstActedAt is the true time at which each agent first acted on a version, by version and agent.
	FirstActedAt map[uint64]map[int]time.Duration
	// UnusableActivations counts the agents that held a lease when a version was activated that they cannot use.
	UnusableActivations int
	// LongestOpen is the longest time that a change was open since the leader last lacked a majority.
	LongestOpen time.Duration

	// OnDecision is called for each decision, OnApplicationRecord for each agreed record of the application.
	OnDecision          func(agent int, now lease.ClockReading, standing lease.Standing, active policy.Active)
	OnApplicationRecord func()

	setup             Setup
	pausedUntil       time.Duration // all nodes are paused until this true time
	droppedMessages   int           // number of messages that were dropped from the front of messages
	agreedApplication Application   // has applied the whole agreed log
	focus             focus
	log               [][]byte
	reference         *policy.StateMachine // has applied the whole agreed log
	voters            []*voter
	agents            []*agent
	messages          []message
	leader            int             // below zero: no leader
	lastMajorityAt    time.Duration   // true time at which the leader last reached a majority
	changeOpenSince   time.Duration   // true time of the proposal, or of the last lack of a majority
	onPolicyRecord    func(open bool) // called after each agreed record of the policy
	proposals         []*proposal
}

// node is the common part of voters and agents.
type node struct {
	number       int
	incarnation  int // of its process; zero: not running
	incarnations int // number of processes started so far
	applied      int // number of records applied
	replica      *policy.Replica
	application  Application
	nextPull     time.Duration // when it next requests records, by its monotonic clock
}

type voter struct {
	node
	granter      *lease.Granter
	pendingReads []message
	requests     map[uint64]message // requests for leases, by nonce
}

type agent struct {
	node
	holder        *lease.Holder
	localSettings policy.LocalSettings
}

// LocalSettings returns the local settings of all agents.
func LocalSettings() policy.LocalSettings {
	return policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
		Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
	}}
}

// defaultStartTime is the true time at which a Lab starts if the Setup has none.
const defaultStartTime = 1e6 * time.Second

// New returns a Lab in which all nodes are running with version 0 of the policy.
func New(setup Setup) *Lab {
	setup.Times = setup.Times.WithDefaults()
	if setup.StartTime == 0 {
		setup.StartTime = defaultStartTime
	}
	l := &Lab{
		Network: simnet.NewNetwork(setup.Seed, setup.Voters+setup.Agents, setup.StartTime, setup.Faults),
		setup:   setup, reference: policy.NewStateMachine(), FirstActedAt: map[uint64]map[int]time.Duration{},
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
		l.agents = append(l.agents, &agent{node: node{number: setup.Voters + i}, localSettings: LocalSettings()})
	}
	for i := range setup.Voters + setup.Agents {
		l.Start(i, StorageLost)
	}
	l.checkLeader()
	return l
}

// evaluate returns the effect and the floor of a document for an agent with local settings.
func evaluate(local policy.LocalSettings, document string) (v judge.Version, err error) {
	d, err := policy.ParseDocument("lab", []byte(document))
	if err != nil {
		return v, err
	}
	if v.Effect, err = d.Effect(local); err != nil {
		return v, err
	}
	v.Floor = d.Floor().Effect(local)
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

// LimitAttempts limits an agent's local settings to two attempts, so that it rejects some documents that
// other agents accept.
func (l *Lab) LimitAttempts(agent int) {
	local := LocalSettings()
	local.Settings.Limits.MaxAttempts = 2
	l.agents[agent].localSettings = local
	l.agents[agent].replica.Agent.SetLocalSettings(local)
}

// State returns the agreed state.
func (l *Lab) State() policy.State { return l.reference.State() }

// Active returns the standing of a node's lease and the policy that the node acts on now. A voter counts as
// holding a lease while it leads and reaches a majority.
func (l *Lab) Active(n int) (lease.Standing, policy.Active) {
	nd, now, standing := l.node(n), l.reading(n), lease.Floor
	if n >= len(l.voters) {
		standing = l.agents[n-len(l.voters)].holder.Standing(now)
	} else if n == l.leader && l.hasMajority() {
		standing = lease.Full
	}
	return standing, nd.replica.Agent.Active(now, standing)
}

// Reading returns the present reading of a node's clocks.
func (l *Lab) Reading(n int) lease.ClockReading { return l.reading(n) }

// StateMachine returns a node's state machine of the policy.
func (l *Lab) StateMachine(n int) *policy.StateMachine { return l.node(n).replica.StateMachine }

// Leader returns the number of the voter that leads, or a negative number if none does.
func (l *Lab) Leader() int { return l.leader }

// Incarnation returns the number of a node's running process, from 1, or zero if none runs.
func (l *Lab) Incarnation(n int) int { return l.node(n).incarnation }

// CutOff cuts all connections from and to a node until a true time.
func (l *Lab) CutOff(n int, until time.Duration) { l.cutOff(n, until) }

// PauseAll pauses all nodes and advances the time to until, a true time. Messages in flight are lost. It does
// nothing if until is past.
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
