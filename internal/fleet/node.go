// Package fleet is an agent's part in what the agents of a fleet agree on: the voters' log, its copy at
// every agent, the leases on its newest record, and who is there.
//
// A Node has all of it, and does no input or output: datagrams, the disk's answers and the passing of
// time come with a reading of both clocks, and Out says what is to be sent, written and told. The same
// inputs give the same outputs. See docs/design/fleet-agrees.md.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/gossip"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// ClockReading is what the machine's clocks show; see lease.ClockReading.
type ClockReading = lease.ClockReading

// Settings are one agent's; Agents, Voters, Terms and Machines have to be the same at all.
type Settings struct {
	Self, Agents int
	Voters       []int // agents that keep the log; none: the node does nothing
	// NonVoting says that this agent is named as a voter and is none: its store can't be used. It follows.
	NonVoting bool
	// Incarnation numbers this process: its start in Unix milliseconds, or anything higher than before.
	Incarnation uint64
	Seed        uint64 // another one at each process
	Terms       lease.Terms
	// ReadyTimeout is after how long an agent that has heard of no log, or reaches nobody who has it, says that it is
	// ready all the same; 2 s.
	ReadyTimeout time.Duration
	// IsDurable says that what Persist asks for is written to a folder that outlives the process. Else a
	// voter that starts again is a new one.
	IsDurable bool
	Stored    raftlog.Stored // what that folder has
	// MemoryBytes bounds what messages on their way may take, in bytes; BytesPerSecond and BurstBytes pace what is sent, in
	// bytes a second and at once. Zero: as package pieces has them.
	MemoryBytes, BytesPerSecond, BurstBytes int
	Machines                                []StateMachine // by their number in records; those of a later build come after them
	Application                             Application    // nil: there is nothing
}

// The channels of messages between nodes.
const (
	channelRaft = iota + 1
	channelGossip
	channelLeaseRequest
	channelLeaseGrant
	channelProposal
	channelProposalReply
	channelApplication
	channelApplicationReply
)

// EventKind names what is worth telling staff.
type EventKind uint8

// The events, with the fields of Event that each one uses.
const (
	LeadershipGained EventKind = iota // Position: this agent leads the voters from now on
	LeadershipLost                    // it does not any more
	LogRestarted                      // Position: a log that began anew, under a higher epoch, has replaced the one before
	LogDiverged                       // Position, Agent, Err: another agent has other records under the same numbers
	VoterStopped                      // Err: this voter takes no part any more
	LeaseAcquired                     // a lease holds again, or for the first time
	LeaseLost                         // none does
	UnknownRecord                     // Position, Err: others agree on something that this build does not know
)

// Event is one of those.
type Event struct {
	Kind     EventKind
	Agent    int
	Position replica.Position
	Err      error
}

// Output is what is to be done.
type Output struct {
	Datagrams  []fragment.Datagram
	Persist    *raftlog.Persist // to be written, and its token told by Persisted
	Events     []Event
	HasApplied bool // records were applied: what follows from the machines may have changed
}

// Node is one agent's. It is not safe for concurrent use.
type Node struct {
	settings        Settings
	rng             *rand.Rand
	transport       *fragment.Transport
	log             *replica.Log
	machines        stateMachines
	applied         replica.Position // what the machines have
	gossip          *gossip.Replicator
	members         *membership.List
	lastGossiped    replica.Position // what others were told of
	holder          *lease.Holder
	voter           *raftlog.Voter // nil: not named as one
	granter         *lease.Granter
	delivered       uint64 // records that the voters' log has given out, as numbered by the chronicle
	freshAsOf       time.Time
	proposals       proposals
	selfMessages    []selfMessage // messages to itself
	applicationNext time.Duration
	isLeading       bool
	isHolding       bool
	isStopped       bool
	mustStandDown   bool         // see there
	diverged        map[int]bool // agents of which it was told that they differ
	dropped         uint64
	startedAt       time.Duration // by the steady clock
	output          Output
}

// told is a message from an agent to itself.
type selfMessage struct {
	channel uint8
	bytes   []byte
}

// New returns the node of a process that starts.
func New(set Settings, now ClockReading) (*Node, error) {
	set.Terms = set.Terms.WithDefaults()
	if set.ReadyTimeout <= 0 {
		set.ReadyTimeout = 2 * time.Second
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		settings: set, startedAt: now.Mono, diverged: map[int]bool{},
		rng: rand.New(rand.NewPCG(set.Seed, set.Incarnation)),
	}
	n.machines.known = set.Machines
	n.proposals = newProposals(n.rng.Uint64())
	n.transport = fragment.New(fragment.Config{
		Agents: set.Agents, Incarnation: set.Incarnation, MemoryBytes: set.MemoryBytes,
		BytesPerSecond: set.BytesPerSecond, BurstBytes: set.BurstBytes,
	})
	var err error
	limits := replica.Limits{MaxSnapshotBytes: raftlog.MaxSnapshotBytes}
	if n.log, err = replica.New(replica.Snapshot{}, limits); err != nil {
		return nil, err
	}
	n.holder = lease.NewHolder(lease.HolderSettings{
		Terms: set.Terms, Self: set.Self,
		Incarnation: set.Incarnation,
		Voters:      set.Voters, Seed: set.Seed,
	}, now)
	if set.IsVoter() {
		if err := n.startVoter(now); err != nil {
			return nil, err
		}
	}
	n.members = membership.New(membership.Settings{
		Agents: set.Agents, Self: set.Self,
		StartedAt: time.Duration(set.Incarnation) * time.Millisecond, Seed: set.Seed,
	}, now.Mono)
	n.startGossip(now)
	n.runDue(now)
	return n, nil
}

// IsVoter tells whether this agent is one of the voters, and can be.
func (s Settings) IsVoter() bool { return slices.Contains(s.Voters, s.Self) && !s.NonVoting }

// Validate tells what is wrong with the settings.
func (s Settings) Validate() error {
	if s.Agents < 1 || s.Self < 0 || s.Self >= s.Agents {
		return fmt.Errorf("fleet: agent %d of %d", s.Self, s.Agents)
	}
	for i, v := range s.Voters {
		if v < 0 || v >= s.Agents || slices.Contains(s.Voters[:i], v) {
			return fmt.Errorf("fleet: voter %d is not an agent, or is named twice", v)
		}
	}
	if n := len(s.Voters); n > 0 && n%2 == 0 || n > 7 {
		return fmt.Errorf("fleet: %d voters are named: 1, 3, 5 or 7 agree", n)
	}
	return s.Terms.WithDefaults().Validate()
}

// steady is the machine's steady clock as the parts below have it.
func steadyTime(now ClockReading) time.Time { return time.Unix(0, int64(now.Mono)) }

func steadyReading(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Receive takes a datagram of another agent's. What is not of this kind is dropped and counted.
func (n *Node) Receive(now ClockReading, from int, datagram []byte) {
	for _, m := range n.transport.Receive(steadyTime(now), uint32(from), datagram) {
		n.handleMessage(now, int(m.From), m.Channel, m.Bytes)
	}
	n.runDue(now)
}

// Wake does what is due by time: see Next.
func (n *Node) Wake(now ClockReading) { n.runDue(now) }

// Persisted tells that a Persist is safe on disk.
func (n *Node) Persisted(now ClockReading, token uint64) {
	if n.voter != nil {
		n.stepVoter(now, raftlog.Persisted{Token: token})
	}
	n.runDue(now)
}

// Out is what is to be done since it was last called.
func (n *Node) Out(now ClockReading) Output {
	out := n.output
	out.Datagrams = n.transport.Out(steadyTime(now))
	n.output = Output{}
	return out
}

// Next is when Wake is due, by the steady clock.
func (n *Node) Next() time.Duration {
	next := min(n.holder.Next(), n.gossip.Next())
	if t := n.transport.Next(); !t.IsZero() {
		next = min(next, steadyReading(t))
	}
	if n.voter != nil {
		next = min(next, steadyReading(n.voter.Next()))
	}
	if n.settings.Application != nil {
		next = min(next, n.applicationNext)
	}
	for _, p := range n.proposals.pending {
		next = min(next, p.nextAttempt)
	}
	return next
}

// maxUpdateBytes is what a message may carry beside of who is there; voters, who hear all agents, say more in
// grants, in fleets of up to largeFleetAgents agents: the more there are, the more grants a voter's pace has to
// bear.
const maxUpdateBytes, maxGrantUpdateBytes, largeFleetAgents = 64, 200, 1000

// grantUpdateBytes is the same for a grant.
func (s Settings) grantUpdateBytes() int {
	return max(min(maxGrantUpdateBytes, maxGrantUpdateBytes*largeFleetAgents/s.Agents), maxUpdateBytes)
}

// say sends a message with a word of who is there before it.
func (n *Node) sendWithUpdate(now ClockReading, to int, channel uint8, b []byte) {
	if to == n.settings.Self {
		n.send(now, to, channel, b)
		return
	}
	most := maxUpdateBytes
	if channel == channelLeaseGrant {
		most = n.settings.grantUpdateBytes()
	}
	if room := fragment.MaxShortBytes - 1 - len(b); room > 0 {
		most = min(most, room) // a message that fits into one datagram still does
	}
	n.members.NoteSent(now.Mono, to)
	word := n.members.Update(now.Mono, to, most)
	n.send(now, to, channel, slices.Concat([]byte{byte(len(word))}, word, b))
}

// said takes the word off a message.
func (n *Node) takeUpdate(now ClockReading, from int, b []byte) (rest []byte, ok bool) {
	if from == n.settings.Self {
		return b, true
	}
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		n.dropped++
		return nil, false
	}
	if word := b[1 : 1+b[0]]; len(word) == 0 {
		n.members.NoteReceived(now.Mono, from)
	} else if n.members.ApplyUpdate(now.Mono, from, word) != nil {
		n.dropped++
	}
	return b[1+b[0]:], true
}

// tell sends a message, or has this agent hear it itself. One for which there is no room is lost, like any
// other.
func (n *Node) send(now ClockReading, to int, channel uint8, b []byte) {
	if to == n.settings.Self {
		n.selfMessages = append(n.selfMessages, selfMessage{channel, b})
		return
	}
	if err := n.transport.Send(steadyTime(now), uint32(to), channel, b); err != nil {
		n.dropped++
	}
}

func (n *Node) handleMessage(now ClockReading, from int, channel uint8, b []byte) {
	if channel == channelGossip || channel == channelLeaseRequest || channel == channelLeaseGrant {
		var ok bool
		if b, ok = n.takeUpdate(now, from, b); !ok {
			return
		}
	}
	switch channel {
	case channelRaft:
		if n.voter != nil {
			n.stepVoter(now, raftlog.MessageReceived{From: uint32(from), Bytes: b})
		}
	case channelGossip:
		n.handleGossip(now, from, b)
	case channelLeaseRequest:
		n.handleLeaseRequest(now, from, b)
	case channelLeaseGrant:
		if g, err := lease.DecodeGrant(b); err == nil {
			n.holder.HandleGrant(now, from, g)
		} else {
			n.dropped++
		}
	case channelProposal:
		n.handleProposal(now, from, b)
	case channelProposalReply:
		n.handleProposalReply(now, b)
	case channelApplication:
		if n.settings.Application == nil {
			n.dropped++
		} else if answer := n.settings.Application.HandleMessage(now, from, b); answer != nil {
			n.send(now, from, channelApplicationReply, answer)
		}
	case channelApplicationReply:
		if n.settings.Application != nil {
			n.settings.Application.HandleReply(now, from, b)
		}
	default:
		n.dropped++
	}
}

// turn does what is due, until nothing is.
func (n *Node) runDue(now ClockReading) {
	if n.voter != nil {
		n.stepVoter(now, raftlog.TimePassed{})
	}
	n.runGossip(now)
	n.applyNew(now)
	n.runApplication(now)
	if to, r, send := n.holder.Tick(now); send {
		if n.settings.Application != nil {
			r.Note = n.settings.Application.LeaseNote()
		}
		n.sendWithUpdate(now, to, channelLeaseRequest, r.Encode())
	}
	n.sendDueProposals(now)
	for len(n.selfMessages) > 0 {
		own := n.selfMessages
		n.selfMessages = nil
		for _, m := range own {
			n.handleMessage(now, n.settings.Self, m.channel, m.bytes)
		}
		n.sendDueProposals(now)
	}
	n.applyNew(now)
	n.reportLeaseChange(now)
}

// watch tells of changes that staff want to know of.
func (n *Node) reportLeaseChange(now ClockReading) {
	if holds := n.holder.Holds(now); holds != n.isHolding {
		n.isHolding = holds
		kind := LeaseLost
		if holds {
			kind = LeaseAcquired
		}
		n.addEvent(Event{Kind: kind, Position: n.applied})
	}
}

// event keeps one to be told; without a reader they do not pile up.
func (n *Node) addEvent(e Event) {
	if len(n.output.Events) < 64 {
		n.output.Events = append(n.output.Events, e)
	}
}

// apply gives the machines what the copy of the log has and they do not.
func (n *Node) applyNew(now ClockReading) {
	if n.log.Last() == n.applied {
		return
	}
	epoch := n.applied.Epoch
	if s := n.log.Snapshot(); s.Epoch != n.applied.Epoch || s.Seq > n.applied.Seq {
		n.restoreMachines(s)
	}
	for n.applied.Seq < n.log.Last().Seq {
		r, ok := n.log.Record(n.applied.Seq + 1)
		if !ok {
			break
		}
		n.applyRecord(r)
	}
	n.applied = n.log.Last()
	if n.settings.Application != nil {
		n.settings.Application.RecordsApplied(now, n.applied.Epoch != epoch)
		n.applicationNext = 0
	}
	n.holder.SetApplied(n.applied)
	n.output.HasApplied = true
	n.compactIfFull()
}

func (n *Node) applyRecord(r replica.Record) {
	n.applied.Seq = r.Seq
	if err := n.machines.apply(r.Seq, r.Data); err != nil {
		n.addEvent(Event{Kind: UnknownRecord, Position: n.applied, Err: err})
	}
	if _, t, _, ok := decodeRecord(r.Data); ok && t.origin == n.proposals.origin {
		n.proposals.settle(t.number, Committed)
	}
}

// restore has the machines go on from a snapshot. One that can't be read leaves them at the beginning: it
// came from agents that know more than this program, which says so.
func (n *Node) restoreMachines(s replica.Snapshot) {
	if s.Epoch > n.applied.Epoch && n.applied.Epoch > 0 {
		n.addEvent(Event{Kind: LogRestarted, Position: s.Position()})
	}
	if err := n.machines.restore(s.Data); err != nil {
		n.addEvent(Event{Kind: VoterStopped, Err: err})
		_ = n.machines.restore(nil)
	}
	n.applied = s.Position()
}

// compactThreshold is the part of a log's bounds from which on it is compacted.
const compactThreshold = 0.75

// compact lets go of records once there are many: the machines' state stands for them.
func (n *Node) compactIfFull() {
	l := n.log.Limits()
	few := float64(n.log.Len()) < compactThreshold*float64(l.MaxRecords)
	if few && float64(n.log.Bytes()) < compactThreshold*float64(l.MaxRecordBytes) {
		return
	}
	if data, err := n.machines.snapshot(); err == nil {
		_ = n.log.Compact(replica.Snapshot{Epoch: n.applied.Epoch, Seq: n.applied.Seq, Sum: n.applied.Sum, Data: data})
	}
}
