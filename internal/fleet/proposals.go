package fleet

import (
	"errors"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/raftlog"
)

// Any agent may propose. It asks the voters in turn: each one replies with what it knows of the proposal,
// which has the same name however often it is repeated, and proposes it to the log if the outcome is unknown.

// Ticket identifies a proposal of this process.
type Ticket uint64

// Result is what became of a proposal.
type Result uint8

// The results.
const (
	// Pending proposals have no result yet.
	Pending Result = iota
	// Committed proposals are in the log, and applied here.
	Committed
	// NotCommitted proposals are not in the log and never will be.
	NotCommitted
	// Indeterminate proposals have no result that can be known, as no voter replied in time, or they are too
	// old. The newest records show it.
	Indeterminate
)

// String returns the name that operators' commands show.
func (r Result) String() string {
	return [...]string{"waiting", "taken", "not taken", "ask again"}[min(r, Indeterminate)]
}

// Reasons for which Propose rejects a proposal.
var (
	// ErrTooLong reports that a proposal exceeds what the log accepts.
	ErrTooLong = errors.New("fleet: the proposal exceeds the maximum size of a record")
	// ErrTooMany reports that too many proposals of this process are pending.
	ErrTooMany = errors.New("fleet: too many proposals are pending")
	// ErrNoVoters reports that no voters are configured.
	ErrNoVoters = errors.New("fleet: no voters are configured")
)

const (
	maxPendingProposals = 16
	// proposalRetryAfter is after what time without a reply the next voter is asked; proposalFastRetryAfter
	// applies to the first proposalFastRetries attempts if the request fits into one datagram, which may just be
	// lost.
	proposalRetryAfter, proposalFastRetryAfter = 250 * time.Millisecond, 60 * time.Millisecond
	proposalFastRetries                        = 6
	// noLeaderRetryAfter is after what time another voter is asked if one knows no leader.
	noLeaderRetryAfter = proposalRetryAfter / 4
	// withdrawalTimeout is how long a withdrawal is tried until the result is Indeterminate.
	withdrawalTimeout = 2 * time.Second
	// maxRememberedResults is the number of results, the latest ones, that are remembered.
	maxRememberedResults = 64
)

// proposal is a pending proposal.
type proposal struct {
	name        proposalName
	baseIndex   uint64 // the raft index that the first voter assigned; 0: none has yet
	record      []byte
	deadline    time.Duration // by the steady clock, as nextAttempt
	nextAttempt time.Duration
	voterTurn   int // the index of the voter that was asked last
	attempts    int
	isWithdrawn bool // past the deadline: it is withdrawn, so that its result becomes known
}

// proposals are those of this process.
type proposals struct {
	origin      uint64 // unique to this process
	lastNumber  uint64
	pending     map[uint64]*proposal
	results     map[uint64]Result
	resultOrder []uint64 // the keys of results, oldest first
}

func newProposals(origin uint64) proposals {
	return proposals{origin: origin, pending: map[uint64]*proposal{}, results: map[uint64]Result{}}
}

// settle records the result of a pending proposal.
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

// pendingNumbers returns the numbers of the pending proposals in ascending order, so that nothing depends on
// the order of a map.
func (p *proposals) pendingNumbers() (numbers []uint64) {
	for n := range p.lastNumber {
		if p.pending[n+1] != nil {
			numbers = append(numbers, n+1)
		}
	}
	return numbers
}

// Propose proposes a record of a state machine. After the given time it is withdrawn. Errors: ErrTooLong,
// ErrTooMany, ErrNoVoters.
func (n *Node) Propose(now ClockReading, machine uint8, data []byte, within time.Duration) (Ticket, error) {
	t, err := n.startProposal(now, machine, data, within)
	n.runDue(now)
	return t, err
}

func (n *Node) startProposal(
	now ClockReading, machine uint8, data []byte, within time.Duration,
) (Ticket, error) {
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
	name := proposalName{p.origin, p.lastNumber}
	p.pending[p.lastNumber] = &proposal{
		name: name, record: encodeRecord(machine, name, data), deadline: now.Mono + within,
		nextAttempt: now.Mono, voterTurn: n.rng.IntN(len(n.settings.Voters)),
	}
	return Ticket(p.lastNumber), nil
}

// Result returns what became of a proposal of this process.
func (n *Node) Result(t Ticket) Result {
	if n.proposals.pending[uint64(t)] != nil {
		return Pending
	}
	if r, isKnown := n.proposals.results[uint64(t)]; isKnown {
		return r
	}
	return Indeterminate
}

// sendDueProposals asks the voters about the pending proposals that are due.
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
			n.sendProposal(now, p)
		}
	}
}

// sendProposal asks the next voter about a proposal.
func (n *Node) sendProposal(now ClockReading, p *proposal) {
	request := p.request().encode()
	p.nextAttempt = now.Mono + proposalRetryAfter
	if p.attempts++; p.attempts <= proposalFastRetries && len(request) <= fragment.MaxShortBytes {
		p.nextAttempt = now.Mono + proposalFastRetryAfter
	}
	p.voterTurn = (p.voterTurn + 1) % len(n.settings.Voters)
	n.send(now, n.settings.Voters[p.voterTurn], channelProposal, request)
}

// request returns the next request to a voter. The record is sent once the base index is known.
func (p *proposal) request() proposalRequest {
	r := proposalRequest{name: p.name, baseIndex: p.baseIndex, kind: requestPropose}
	switch {
	case p.isWithdrawn:
		r.kind = requestWithdraw
	case p.baseIndex != 0:
		r.record = p.record
	}
	return r
}

// handleProposal proposes a record to the log for any agent, and replies with what is known of it.
func (n *Node) handleProposal(now ClockReading, from int, b []byte) {
	r, isValid := decodeProposalRequest(b)
	if n.voter == nil || !isValid {
		n.dropped++
		return
	}
	reply := func(outcome proposalOutcome, baseIndex uint64) {
		n.send(now, from, channelProposalReply, proposalReply{r.name, baseIndex, outcome}.encode())
	}
	status := n.voterStatus()
	switch {
	case status.Phase != raftlog.Voting && status.Phase != raftlog.Leading:
		reply(replyNoLeader, r.baseIndex)
		return
	case r.baseIndex == 0 && r.kind == requestPropose:
		reply(replyBase, max(status.AppliedIndex, 1))
		return
	}
	id := raftlog.ProposalID{Origin: r.name.origin, Number: r.name.number, Base: r.baseIndex}
	if outcome, _ := n.voter.Outcome(id); outcome != raftlog.Unknown {
		reply(replyFor(outcome), r.baseIndex)
		return
	}
	if r.kind == requestWithdraw {
		n.stepVoter(now, raftlog.Withdraw{ID: id})
	} else if len(r.record) >= recordHeaderBytes {
		n.stepVoter(now, raftlog.Propose{ID: id, Data: r.record})
	}
	if n.voter == nil {
		return // it has just stood down
	}
	outcome, _ := n.voter.Outcome(id)
	reply(replyFor(outcome), r.baseIndex)
}

// handleProposalReply processes a voter's reply. That a proposal was committed is reported once its record is
// applied here, which is soon: whoever asks for the newest state after that gets it.
func (n *Node) handleProposalReply(now ClockReading, b []byte) {
	r, isValid := decodeProposalReply(b)
	if !isValid || r.name.origin != n.proposals.origin {
		n.dropped++
		return
	}
	p := n.proposals.pending[r.name.number]
	if p == nil {
		return // it has a result already
	}
	switch r.outcome {
	case replyBase:
		if p.baseIndex == 0 && r.baseIndex > 0 && !p.isWithdrawn {
			p.baseIndex, p.nextAttempt = r.baseIndex, now.Mono
		}
	case replyNotCommitted:
		n.proposals.settle(r.name.number, NotCommitted)
	case replyForgotten:
		n.proposals.settle(r.name.number, Indeterminate)
	case replyNoLeader:
		p.nextAttempt = min(p.nextAttempt, now.Mono+noLeaderRetryAfter)
	case replyUnknown, replyCommitted:
		// Asked again, or applied soon.
	}
}
