package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// Output contains the actions that a node requests.
type Output struct {
	Datagrams  []fragment.Datagram // to be sent
	Persist    *raftlog.Persist    // to be written; its token is then passed to Persisted; nil: nothing to write
	Events     []Event             // to be reported to operators
	HasApplied bool                // records were applied, so the state machines may have changed
}

// Node is one agent's node. It is not safe for concurrent use.
type Node struct {
	settings  Settings
	rng       *rand.Rand
	startedAt time.Duration // by the steady clock
	output    Output

	transport    *fragment.Transport
	selfMessages []selfMessage
	dropped      uint64 // messages that could not be decoded, processed or queued

	log          *replica.Log
	machines     stateMachines
	applied      replica.Position // of the state machines
	gossip       *gossip.Replicator
	lastGossiped replica.Position
	diverged     map[int]bool // agents whose divergence was reported
	members      *membership.List

	holder   *lease.Holder
	hadLease bool // as last reported

	// State of a voter; voter is nil at all other agents.
	voter         *raftlog.Voter
	granter       *lease.Granter
	delivered     uint64    // sequence number of the last record that the voters' log delivered
	freshAsOf     time.Time // last value of raftlog.Status.FreshAsOf, by the steady clock
	wasLeading    bool      // as last reported
	wasStopped    bool      // as last reported
	mustStopVoter bool

	proposals           proposals
	nextApplicationCall time.Duration // time of the next call of NextActions, by the steady clock
}

// New returns the node of a process that has just started. It returns an error if a setting is invalid or the
// voter cannot use its stored state.
func New(settings Settings, now ClockReading) (*Node, error) {
	settings = settings.withDefaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	log, err := replica.New(replica.Snapshot{}, replica.Limits{MaxSnapshotBytes: raftlog.MaxSnapshotBytes})
	if err != nil {
		return nil, fmt.Errorf("fleet: cannot create the replica: %w", err)
	}
	n := &Node{
		settings: settings, startedAt: now.Mono, diverged: map[int]bool{}, log: log,
		rng: rand.New(rand.NewPCG(settings.Seed, settings.Incarnation)),
	}
	n.machines.known = settings.Machines
	n.proposals = newProposals(n.rng.Uint64())
	n.transport = fragment.New(fragment.Config{
		Agents: settings.Agents, Incarnation: settings.Incarnation, MemoryBytes: settings.MemoryBytes,
		BytesPerSecond: settings.BytesPerSecond, BurstBytes: settings.BurstBytes,
	})
	n.holder = lease.NewHolder(lease.HolderSettings{
		Terms: settings.Terms, Self: settings.Self, Incarnation: settings.Incarnation,
		Voters: settings.Voters, Seed: settings.Seed,
	}, now)
	if settings.IsVoter() {
		if err := n.startVoter(now); err != nil {
			return nil, err
		}
	}
	n.members = membership.New(membership.Settings{
		Agents: settings.Agents, Self: settings.Self,
		StartedAt: time.Duration(settings.Incarnation) * time.Millisecond, Seed: settings.Seed,
	}, now.Mono)
	n.startGossip(now)
	n.runDue(now)
	return n, nil
}

// steadyTime converts a reading of the steady clock for the packages that use time.Time.
func steadyTime(now ClockReading) time.Time { return time.Unix(0, int64(now.Mono)) }

// steadyReading is the inverse of steadyTime.
func steadyReading(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Receive processes a datagram from another agent. A datagram that is not of package fragment is dropped and
// counted.
func (n *Node) Receive(now ClockReading, from int, datagram []byte) {
	for _, m := range n.transport.Receive(steadyTime(now), uint32(from), datagram) {
		n.handleMessage(now, int(m.From), m.Channel, m.Bytes)
	}
	n.runDue(now)
}

// Wake performs the actions that are due at a time; see Next.
func (n *Node) Wake(now ClockReading) { n.runDue(now) }

// Persisted notifies the node that the Persist with a token is durable.
func (n *Node) Persisted(now ClockReading, token uint64) {
	if n.voter != nil {
		n.stepVoter(now, raftlog.Persisted{Token: token})
	}
	n.runDue(now)
}

// Out returns the actions requested since the last call.
func (n *Node) Out(now ClockReading) Output {
	out := n.output
	out.Datagrams = n.transport.Out(steadyTime(now))
	n.output = Output{}
	return out
}

// Next returns the time when Wake is due, by the steady clock.
func (n *Node) Next() time.Duration {
	next := min(n.holder.Next(), n.gossip.Next())
	if t := n.transport.Next(); !t.IsZero() {
		next = min(next, steadyReading(t))
	}
	if n.voter != nil {
		next = min(next, steadyReading(n.voter.Next()))
	}
	if n.settings.Application != nil {
		next = min(next, n.nextApplicationCall)
	}
	for _, p := range n.proposals.pending {
		next = min(next, p.nextAttempt)
	}
	return next
}

// runDue performs all actions that are due, and processes the messages to this agent itself until none is
// left.
func (n *Node) runDue(now ClockReading) {
	if n.voter != nil {
		n.stepVoter(now, raftlog.TimePassed{})
	}
	n.runGossip(now)
	n.applyNew(now)
	n.runApplication(now)
	n.requestLease(now)
	n.sendDueProposals(now)
	for len(n.selfMessages) > 0 {
		messages := n.selfMessages
		n.selfMessages = nil
		for _, m := range messages {
			n.handleMessage(now, n.settings.Self, m.channel, m.bytes)
		}
		n.sendDueProposals(now)
	}
	n.applyNew(now)
	n.reportLeaseChange(now)
}
