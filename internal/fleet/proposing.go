package fleet

import (
	"encoding/binary"
	"errors"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/raftlog"
)

// Any agent may propose. It asks the voters in turn: each answers what is known of the proposal, the same
// one under the same name however often it is asked, and takes it to the log where nothing is.

// Ticket names a proposal of this process.
type Ticket uint64

// Result is what became of a proposal.
type Result uint8

// The results.
const (
	// Pending: it is not known yet.
	Pending Result = iota
	// Committed: it is in the log, and is applied here.
	Committed
	// NotCommitted: it is not, and never will be.
	NotCommitted
	// Indeterminate: what became of it can't be known, as no voter answered in time, or it is long ago. The newest
	// records show it.
	Indeterminate
)

func (r Result) String() string {
	return [...]string{"waiting", "taken", "not taken", "ask again"}[min(r, Indeterminate)]
}

// Errors of Propose.
var (
	ErrTooLong  = errors.New("fleet: a proposal is longer than the log bears")
	ErrTooMany  = errors.New("fleet: too many proposals are waiting")
	ErrNoVoters = errors.New("fleet: no voters are named")
)

const (
	maxPendingProposals = 16
	// proposalRetryAfter is after how long without an answer the next voter is asked; proposalFastRetryAfter, for the first
	// few times where what is asked fits into one datagram, which may just be lost.
	proposalRetryAfter, proposalFastRetryAfter = 250 * time.Millisecond, 60 * time.Millisecond
	proposalFastRetries                        = 6
	// maxRememberedResults is how many proposals are remembered after they were answered, the latest ones.
	maxRememberedResults = 64
)

// proposal is one that is waiting.
type proposal struct {
	name        proposalName
	baseIndex   uint64 // raft's index that the first voter named; zero: none has yet
	record      []byte // the record
	deadline    time.Duration
	nextAttempt time.Duration // when to ask the next voter
	voterTurn   int
	attempts    int
	isWithdrawn bool // its time is over: it is withdrawn, so that it is known some day
}

// proposals are those of this process. Times are by the steady clock.
type proposals struct {
	origin      uint64
	lastNumber  uint64
	pending     map[uint64]*proposal
	results     map[uint64]Result
	resultOrder []uint64 // of results, oldest first
}

func newProposals(origin uint64) proposals {
	return proposals{origin: origin, pending: map[uint64]*proposal{}, results: map[uint64]Result{}}
}

func (p *proposals) settle(number uint64, r Result) {
	if p.pending[number] == nil {
		return
	}
	delete(p.pending, number)
	p.results[number] = r
	if p.resultOrder = append(p.resultOrder, number); len(p.resultOrder) > maxRememberedResults {
		delete(p.results, p.resultOrder[0])
		p.resultOrder = p.resultOrder[1:]
	}
}

// sorted are the numbers of those that are waiting, so that what is done does not go by a map's order.
func (p *proposals) pendingNumbers() (numbers []uint64) {
	for n := range p.lastNumber {
		if p.pending[n+1] != nil {
			numbers = append(numbers, n+1)
		}
	}
	return numbers
}

// Propose asks for a record of a machine to be agreed, for so long; then it is withdrawn. Result tells
// what became of it.
func (n *Node) Propose(now ClockReading, machine uint8, data []byte, within time.Duration) (Ticket, error) {
	t, err := n.startProposal(now, machine, data, within)
	n.runDue(now)
	return t, err
}

func (n *Node) startProposal(now ClockReading, machine uint8, data []byte, within time.Duration) (Ticket, error) {
	switch {
	case len(data) > raftlog.MaxProposalBytes-recordHeaderBytes:
		return 0, ErrTooLong
	case len(n.proposals.pending) >= maxPendingProposals:
		return 0, ErrTooMany
	case len(n.settings.Voters) == 0:
		return 0, ErrNoVoters
	}
	p := &n.proposals
	p.lastNumber++
	t := proposalName{p.origin, p.lastNumber}
	p.pending[p.lastNumber] = &proposal{
		name: t, record: encodeRecord(machine, t, data), deadline: now.Mono + within,
		nextAttempt: now.Mono, voterTurn: n.rng.IntN(len(n.settings.Voters)),
	}
	return Ticket(p.lastNumber), nil
}

// Result tells what became of a proposal of this process.
func (n *Node) Result(t Ticket) Result {
	if n.proposals.pending[uint64(t)] != nil {
		return Pending
	}
	if r, is := n.proposals.results[uint64(t)]; is {
		return r
	}
	return Indeterminate
}

// withdrawalTimeout is how long a proposal whose time is over is asked about until nobody can tell.
const withdrawalTimeout = 2 * time.Second

// propose asks the voters about what is waiting, where it is time.
func (n *Node) sendDueProposals(now ClockReading) {
	for _, number := range n.proposals.pendingNumbers() {
		p := n.proposals.pending[number]
		if !p.isWithdrawn && now.Mono >= p.deadline {
			p.isWithdrawn, p.nextAttempt = true, now.Mono
		}
		switch {
		case p.isWithdrawn && now.Mono >= p.deadline+withdrawalTimeout:
			n.proposals.settle(number, Indeterminate)
		case p.isWithdrawn && p.baseIndex == 0: // no voter ever had it
			n.proposals.settle(number, NotCommitted)
		case now.Mono >= p.nextAttempt:
			ask := p.encode()
			p.nextAttempt = now.Mono + proposalRetryAfter
			if p.attempts++; p.attempts <= proposalFastRetries && len(ask) <= fragment.MaxShortBytes {
				p.nextAttempt = now.Mono + proposalFastRetryAfter
			}
			p.voterTurn = (p.voterTurn + 1) % len(n.settings.Voters)
			n.send(now, n.settings.Voters[p.voterTurn], channelProposal, ask)
		}
	}
}

// A proposal on its way to a voter: its name, what is asked, and the record.
const (
	proposalHeaderBytes = 3*8 + 1

	requestPropose  = 0
	requestWithdraw = 1
)

func (p *proposal) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalHeaderBytes+len(p.record)), p.name.origin)
	b = binary.BigEndian.AppendUint64(b, p.name.number)
	b = binary.BigEndian.AppendUint64(b, p.baseIndex)
	if p.isWithdrawn {
		return append(b, requestWithdraw)
	}
	if b = append(b, requestPropose); p.baseIndex == 0 {
		return b // the first voter names the index from which it may be taken
	}
	return append(b, p.record...)
}

// The answer of a voter: the proposal's name, its base, and what is known.
const proposalReplyBytes = 2*8 + 8 + 1

const (
	replyBase         = iota // propose it with this base
	replyUnknown             // it may yet be taken
	replyCommitted           //
	replyNotCommitted        //
	replyForgotten           //
	replyNoLeader            // ask another one
)

// proposed takes a proposal to the log, for any agent, and answers what is known of it.
func (n *Node) handleProposal(now ClockReading, from int, b []byte) {
	if n.voter == nil || len(b) < proposalHeaderBytes {
		n.dropped++
		return
	}
	id := raftlog.ProposalID{
		Origin: binary.BigEndian.Uint64(b), Number: binary.BigEndian.Uint64(b[8:]),
		Base: binary.BigEndian.Uint64(b[16:]),
	}
	ask, data := b[24], b[proposalHeaderBytes:]
	answer := func(what byte, base uint64) {
		a := append(append(make([]byte, 0, proposalReplyBytes), b[:16]...), make([]byte, 9)...)
		binary.BigEndian.PutUint64(a[16:], base)
		a[24] = what
		n.send(now, from, channelProposalReply, a)
	}
	status := n.voterStatus()
	switch {
	case status.Phase != raftlog.Voting && status.Phase != raftlog.Leading:
		answer(replyNoLeader, id.Base)
		return
	case id.Base == 0 && ask == requestPropose:
		answer(replyBase, max(status.AppliedIndex, 1))
		return
	}
	if outcome, _ := n.voter.Outcome(id); outcome != raftlog.Unknown {
		answer(replyFor(outcome), id.Base)
		return
	}
	if ask == requestWithdraw {
		n.stepVoter(now, raftlog.Withdraw{ID: id})
	} else if len(data) >= recordHeaderBytes {
		n.stepVoter(now, raftlog.Propose{ID: id, Data: data})
	}
	if n.voter == nil {
		return // it has just stood down
	}
	outcome, _ := n.voter.Outcome(id)
	answer(replyFor(outcome), id.Base)
}

func replyFor(o raftlog.Outcome) byte {
	return [...]byte{replyUnknown, replyCommitted, replyNotCommitted, replyForgotten}[o]
}

// answered takes a voter's answer. That a proposal was taken is told once its record is applied here,
// which is soon: who asks for the newest state after that has it.
func (n *Node) handleProposalReply(now ClockReading, b []byte) {
	if len(b) != proposalReplyBytes || binary.BigEndian.Uint64(b) != n.proposals.origin {
		n.dropped++
		return
	}
	number, base := binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])
	p := n.proposals.pending[number]
	if p == nil {
		return
	}
	switch b[24] {
	case replyBase:
		if p.baseIndex == 0 && base > 0 && !p.isWithdrawn {
			p.baseIndex, p.nextAttempt = base, now.Mono
		}
	case replyNotCommitted:
		n.proposals.settle(number, NotCommitted)
	case replyForgotten:
		n.proposals.settle(number, Indeterminate)
	case replyNoLeader:
		p.nextAttempt = min(p.nextAttempt, now.Mono+proposalRetryAfter/4)
	}
}
