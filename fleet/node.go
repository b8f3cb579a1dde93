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

	"dunestep/fleet/chronicle"
	"dunestep/fleet/consensus"
	"dunestep/fleet/lease"
	"dunestep/fleet/pieces"
	"dunestep/fleet/roster"
	"dunestep/fleet/spread"
)

// Reading is what the machine's clocks show; see lease.Reading.
type Reading = lease.Reading

// Settings are one agent's; Agents, Voters, Terms and Machines have to be the same at all.
type Settings struct {
	Self, Agents int
	Voters       []int // agents that keep the log; none: the node does nothing
	// NoVote says that this agent is named as a voter and is none: its store can't be used. It follows.
	NoVote bool
	// Incarnation numbers this process: its start in Unix milliseconds, or anything higher than before.
	Incarnation uint64
	Seed        uint64 // another one at each process
	Terms       lease.Terms
	// Ready is after how long an agent that has heard of no log, or reaches nobody who has it, says that it is
	// ready all the same; 2 s.
	Ready time.Duration
	// Lasts says that what Persist asks for is written to a folder that outlives the process. Else a
	// voter that starts again is a new one.
	Lasts  bool
	Stored consensus.Stored // what that folder has
	// Memory bounds what messages on their way may take, in bytes; Rate and Burst pace what is sent, in
	// bytes a second and at once. Zero: as package pieces has them.
	Memory, Rate, Burst int
	Machines            []Machine // by their number in records; those of a later build come after them
	Above               Above     // nil: there is nothing
}

// The channels of messages between nodes.
const (
	channelVoters = iota + 1
	channelSpread
	channelLease
	channelGrant
	channelPropose
	channelOutcome
	channelAbove
	channelAboveAnswer
)

// EventKind names what is worth telling staff.
type EventKind uint8

// The events, with the fields of Event that each one uses.
const (
	Leads      EventKind = iota // At: this agent leads the voters from now on
	LeadsNot                    // it does not any more
	Began                       // At: a log that began anew, under a higher epoch, has replaced the one before
	Differs                     // At, Agent, Err: another agent has other records under the same numbers
	Stopped                     // Err: this voter takes no part any more
	LeaseHeld                   // a lease holds again, or for the first time
	LeaseEnded                  // none does
	Unknown                     // At, Err: others agree on something that this build does not know
)

// Event is one of those.
type Event struct {
	Kind  EventKind
	Agent int
	At    chronicle.Position
	Err   error
}

// Output is what is to be done.
type Output struct {
	Datagrams []pieces.Datagram
	Persist   *consensus.Persist // to be written, and its token told by Persisted
	Events    []Event
	Applied   bool // records were applied: what follows from the machines may have changed
}

// Node is one agent's. It is not safe for concurrent use.
type Node struct {
	set        Settings
	random     *rand.Rand
	carrier    *pieces.Carrier
	log        *chronicle.Log
	machines   machines
	at         chronicle.Position // what the machines have
	spread     *spread.Spreader
	roster     *roster.Roster
	spreads    chronicle.Position // what others were told of
	holder     *lease.Holder
	voter      *consensus.Voter // nil: not named as one
	granter    *lease.Granter
	given      uint64 // records that the voters' log has given out, as numbered by the chronicle
	fresh      time.Time
	proposals  proposals
	own        []told // messages to itself
	aboveNext  time.Duration
	leading    bool
	holding    bool
	stopped    bool
	standsDown bool         // see there
	differs    map[int]bool // agents of which it was told that they differ
	dropped    uint64
	began      time.Duration // by the steady clock
	out        Output
}

// told is a message from an agent to itself.
type told struct {
	channel uint8
	bytes   []byte
}

// New returns the node of a process that starts.
func New(set Settings, now Reading) (*Node, error) {
	set.Terms = set.Terms.Usual()
	if set.Ready <= 0 {
		set.Ready = 2 * time.Second
	}
	if err := set.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		set: set, began: now.Mono, differs: map[int]bool{},
		random: rand.New(rand.NewPCG(set.Seed, set.Incarnation)),
	}
	n.machines.known = set.Machines
	n.proposals = newProposals(n.random.Uint64())
	n.carrier = pieces.New(pieces.Config{
		Agents: set.Agents, Incarnation: set.Incarnation, Memory: set.Memory,
		Rate: set.Rate, Burst: set.Burst,
	})
	var err error
	limits := chronicle.Limits{Snapshot: consensus.MaxSnapshot}
	if n.log, err = chronicle.New(chronicle.Snapshot{}, limits); err != nil {
		return nil, err
	}
	n.holder = lease.NewHolder(lease.HolderSettings{
		Terms: set.Terms, Self: set.Self,
		Incarnation: set.Incarnation,
		Voters:      set.Voters, Seed: set.Seed,
	}, now)
	if set.Votes() {
		if err := n.startVoter(now); err != nil {
			return nil, err
		}
	}
	n.roster = roster.New(roster.Settings{
		Agents: set.Agents, Self: set.Self,
		Started: time.Duration(set.Incarnation) * time.Millisecond, Seed: set.Seed,
	}, now.Mono)
	n.startSpread(now)
	n.turn(now)
	return n, nil
}

// Votes tells whether this agent is one of the voters, and can be.
func (s Settings) Votes() bool { return slices.Contains(s.Voters, s.Self) && !s.NoVote }

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
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
	return s.Terms.Usual().Check()
}

// steady is the machine's steady clock as the parts below have it.
func steady(now Reading) time.Time { return time.Unix(0, int64(now.Mono)) }

func mono(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Receive takes a datagram of another agent's. What is not of this kind is dropped and counted.
func (n *Node) Receive(now Reading, from int, datagram []byte) {
	for _, m := range n.carrier.Receive(steady(now), uint32(from), datagram) {
		n.hear(now, int(m.From), m.Channel, m.Bytes)
	}
	n.turn(now)
}

// Wake does what is due by time: see Next.
func (n *Node) Wake(now Reading) { n.turn(now) }

// Persisted tells that a Persist is safe on disk.
func (n *Node) Persisted(now Reading, token uint64) {
	if n.voter != nil {
		n.vote(now, consensus.Persisted{Token: token})
	}
	n.turn(now)
}

// Out is what is to be done since it was last called.
func (n *Node) Out(now Reading) Output {
	out := n.out
	out.Datagrams = n.carrier.Out(steady(now))
	n.out = Output{}
	return out
}

// Next is when Wake is due, by the steady clock.
func (n *Node) Next() time.Duration {
	next := min(n.holder.Next(), n.spread.Next())
	if t := n.carrier.Next(); !t.IsZero() {
		next = min(next, mono(t))
	}
	if n.voter != nil {
		next = min(next, mono(n.voter.Next()))
	}
	if n.set.Above != nil {
		next = min(next, n.aboveNext)
	}
	for _, p := range n.proposals.waiting {
		next = min(next, p.next)
	}
	return next
}

// mostWord is what a message may carry beside of who is there; voters, who hear all agents, say more in
// grants, in fleets of up to largeFleet agents: the more there are, the more grants a voter's pace has to
// bear.
const mostWord, mostGrantWord, largeFleet = 64, 200, 1000

// grantWord is the same for a grant.
func (s Settings) grantWord() int {
	return max(min(mostGrantWord, mostGrantWord*largeFleet/s.Agents), mostWord)
}

// say sends a message with a word of who is there before it.
func (n *Node) say(now Reading, to int, channel uint8, b []byte) {
	if to == n.set.Self {
		n.tell(now, to, channel, b)
		return
	}
	most := mostWord
	if channel == channelGrant {
		most = n.set.grantWord()
	}
	if room := pieces.MaxShort - 1 - len(b); room > 0 {
		most = min(most, room) // a message that fits into one datagram still does
	}
	n.roster.Sent(now.Mono, to)
	word := n.roster.Word(now.Mono, to, most)
	n.tell(now, to, channel, slices.Concat([]byte{byte(len(word))}, word, b))
}

// said takes the word off a message.
func (n *Node) said(now Reading, from int, b []byte) (rest []byte, ok bool) {
	if from == n.set.Self {
		return b, true
	}
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		n.dropped++
		return nil, false
	}
	if word := b[1 : 1+b[0]]; len(word) == 0 {
		n.roster.Heard(now.Mono, from)
	} else if n.roster.Take(now.Mono, from, word) != nil {
		n.dropped++
	}
	return b[1+b[0]:], true
}

// tell sends a message, or has this agent hear it itself. One for which there is no room is lost, like any
// other.
func (n *Node) tell(now Reading, to int, channel uint8, b []byte) {
	if to == n.set.Self {
		n.own = append(n.own, told{channel, b})
		return
	}
	if err := n.carrier.Send(steady(now), uint32(to), channel, b); err != nil {
		n.dropped++
	}
}

func (n *Node) hear(now Reading, from int, channel uint8, b []byte) {
	if channel == channelSpread || channel == channelLease || channel == channelGrant {
		var ok bool
		if b, ok = n.said(now, from, b); !ok {
			return
		}
	}
	switch channel {
	case channelVoters:
		if n.voter != nil {
			n.vote(now, consensus.Received{From: uint32(from), Bytes: b})
		}
	case channelSpread:
		n.spreadHeard(now, from, b)
	case channelLease:
		n.asked(now, from, b)
	case channelGrant:
		if g, err := lease.DecodeGrant(b); err == nil {
			n.holder.Answered(now, from, g)
		} else {
			n.dropped++
		}
	case channelPropose:
		n.proposed(now, from, b)
	case channelOutcome:
		n.answered(now, b)
	case channelAbove:
		if n.set.Above == nil {
			n.dropped++
		} else if answer := n.set.Above.Heard(now, from, b); answer != nil {
			n.tell(now, from, channelAboveAnswer, answer)
		}
	case channelAboveAnswer:
		if n.set.Above != nil {
			n.set.Above.Answered(now, from, b)
		}
	default:
		n.dropped++
	}
}

// turn does what is due, until nothing is.
func (n *Node) turn(now Reading) {
	if n.voter != nil {
		n.vote(now, consensus.Passed{})
	}
	n.spreadTurn(now)
	n.apply(now)
	n.above(now)
	if to, r, send := n.holder.Tick(now); send {
		if n.set.Above != nil {
			r.Note = n.set.Above.Note()
		}
		n.say(now, to, channelLease, r.Encode())
	}
	n.propose(now)
	for len(n.own) > 0 {
		own := n.own
		n.own = nil
		for _, m := range own {
			n.hear(now, n.set.Self, m.channel, m.bytes)
		}
		n.propose(now)
	}
	n.apply(now)
	n.watch(now)
}

// watch tells of changes that staff want to know of.
func (n *Node) watch(now Reading) {
	if holds := n.holder.Holds(now); holds != n.holding {
		n.holding = holds
		kind := LeaseEnded
		if holds {
			kind = LeaseHeld
		}
		n.event(Event{Kind: kind, At: n.at})
	}
}

// event keeps one to be told; without a reader they do not pile up.
func (n *Node) event(e Event) {
	if len(n.out.Events) < 64 {
		n.out.Events = append(n.out.Events, e)
	}
}

// apply gives the machines what the copy of the log has and they do not.
func (n *Node) apply(now Reading) {
	if n.log.Last() == n.at {
		return
	}
	epoch := n.at.Epoch
	if s := n.log.Snapshot(); s.Epoch != n.at.Epoch || s.Seq > n.at.Seq {
		n.restore(s)
	}
	for n.at.Seq < n.log.Last().Seq {
		r, ok := n.log.Record(n.at.Seq + 1)
		if !ok {
			break
		}
		n.applyOne(r)
	}
	n.at = n.log.Last()
	if n.set.Above != nil {
		n.set.Above.Learn(now, n.at.Epoch != epoch)
		n.aboveNext = 0
	}
	n.holder.Applied(n.at)
	n.out.Applied = true
	n.compact()
}

func (n *Node) applyOne(r chronicle.Record) {
	n.at.Seq = r.Seq
	if err := n.machines.apply(r.Seq, r.Data); err != nil {
		n.event(Event{Kind: Unknown, At: n.at, Err: err})
	}
	if _, t, _, ok := decodeRecord(r.Data); ok && t.origin == n.proposals.origin {
		n.proposals.settle(t.number, Taken)
	}
}

// restore has the machines go on from a snapshot. One that can't be read leaves them at the beginning: it
// came from agents that know more than this program, which says so.
func (n *Node) restore(s chronicle.Snapshot) {
	if s.Epoch > n.at.Epoch && n.at.Epoch > 0 {
		n.event(Event{Kind: Began, At: s.At()})
	}
	if err := n.machines.restore(s.Data); err != nil {
		n.event(Event{Kind: Stopped, Err: err})
		_ = n.machines.restore(nil)
	}
	n.at = s.At()
}

// compactAt is the part of a log's bounds from which on it is compacted.
const compactAt = 0.75

// compact lets go of records once there are many: the machines' state stands for them.
func (n *Node) compact() {
	l := n.log.Limits()
	few := float64(n.log.Len()) < compactAt*float64(l.Records)
	if few && float64(n.log.Bytes()) < compactAt*float64(l.Bytes) {
		return
	}
	if data, err := n.machines.snapshot(); err == nil {
		_ = n.log.Compact(chronicle.Snapshot{Epoch: n.at.Epoch, Seq: n.at.Seq, Sum: n.at.Sum, Data: data})
	}
}
