package fleet

import (
	"errors"
	"time"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/raftlog"
)

// Any agent may propose. It sends its request to the voters in turn. Each voter replies with the outcome of
// the proposal, and proposes it to the log if the outcome is unknown. A repeated proposal has the same ID, so
// that it is committed at most once.

// Ticket identifies a proposal of this process.
type Ticket uint64

// Result is the result of a proposal.
type Result uint8

// The results.
const (
	// Pending proposals have no result yet.
	Pending Result = iota
	// Committed proposals are in the log and applied at this agent.
	Committed
	// NotCommitted proposals are not in the log and never will be.
	NotCommitted
	// Indeterminate proposals have a result that is not known, as no voter replied in time or they are too old.
	// The newest records show whether they were committed.
	Indeterminate
)

// String returns the name that operators' commands show.
func (r Result) String() string {
	return [...]string{"waiting", "taken", "not taken", "ask again"}[min(r, Indeterminate)]
}

// Errors that Propose returns.
var (
	// ErrTooLong reports that a proposal exceeds the maximum size of a record.
	ErrTooLong = errors.New("fleet: the proposal exceeds the maximum size of a record")
	// ErrTooMany reports that too many proposals of this process are pending.
	ErrTooMany = errors.New("fleet: too many proposals are pending")
	// ErrNoVoters reports that no voters are configured.
	ErrNoVoters = errors.New("fleet: no voters are configured")
)

const (
	maxPendingProposals = 16
	// proposalRetryAfter is the time without a reply after which the request is sent to the next voter.
	// proposalFastRetryAfter replaces it for the first proposalFastRetries attempts if the request fits into one
	// datagram, as the transport does not resend a lost datagram.
	proposalRetryAfter, proposalFastRetryAfter = 250 * time.Millisecond, 60 * time.Millisecond
	proposalFastRetries                        = 6
	// noLeaderRetryAfter is the time after which the next voter is tried if a voter knows no leader.
	noLeaderRetryAfter = proposalRetryAfter / 4
	// withdrawalTimeout is the time after which a withdrawal without a reply gives the result Indeterminate.
	withdrawalTimeout = 2 * time.Second
	// maxRememberedResults is the maximum number of results that are remembered; the oldest are discarded.
	maxRememberedResults = 64
)

// proposal is a pending proposal.
type proposal struct {
	id          proposalID
	baseIndex   uint64 // raft index that the first voter assigned; 0: not assigned yet
	record      []byte
	deadline    time.Duration // by the steady clock
	nextAttempt time.Duration // by the steady clock
	voterIndex  int           // index of the voter that was tried last
	attempts    int
	isWithdrawn bool // the deadline has passed: the proposal is withdrawn, so that its result becomes known
}

// proposals are the proposals of this process.
type proposals struct {
	origin      uint64 // unique to this process
	lastNumber  uint64
	pending     map[uint64]*proposal
	results     map[uint64]Result
	resultOrder []uint64 // keys of results, oldest first
}

func newProposals(origin uint64) proposals {
	return proposals{origin: origin, pending: map[uint64]*proposal{}, results: map[uint64]Result{}}
}

// settle records the result of a proposal if it is pending.
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

// pendingNumbers returns the numbers of the pending proposals in ascending order, so that runs do not depend
// on the order of a map.
func (p *proposals) pendingNumbers() (numbers []uint64) {
	for n := range p.lastNumber {
		if p.pending[n+1] != nil {
			numbers = append(numbers, n+1)
		}
	}
	return numbers
}

// Propose proposes a record of a state machine, and returns the ticket with which Result returns its result.
// The proposal is withdrawn after the timeout. The errors are ErrTooLong, ErrTooMany and ErrNoVoters.
func (n *Node) Propose(now ClockReading, machine uint8, data []byte, timeout time.Duration) (Ticket, error) {
	t, err := n.startProposal(now, machine, data, timeout)
	n.runDue(now)
	return t, err
}

func (n *Node) startProposal(
	now ClockReading, machine uint8, data []byte, timeout time.Duration,
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
	id := proposalID{p.origin, p.lastNumber}
	p.pending[p.lastNumber] = &proposal{
		id: id, record: encodeRecord(machine, id, data), deadline: now.Mono + timeout,
		nextAttempt: now.Mono, voterIndex: n.rng.IntN(len(n.settings.Voters)),
	}
	return Ticket(p.lastNumber), nil
}

// Result returns the result of a proposal of this process. It is Indeterminate if the proposal is unknown or
// its result was discarded.
func (n *Node) Result(t Ticket) Result {
	if n.proposals.pending[uint64(t)] != nil {
		return Pending
	}
	if r, isKnown := n.proposals.results[uint64(t)]; isKnown {
		return r
	}
	return Indeterminate
}

// sendDueProposals sends the requests of pending proposals that are due, and withdraws proposals past their
// deadline.
func (n *Node) sendDueProposals(now ClockReading) {
	for _, number := range n.proposals.pendingNumbers() {
		p := n.proposals.pending[number]
		if !p.isWithdrawn && now.Mono >= p.deadline {
			p.isWithdrawn, p.nextAttempt = true, now.Mono
		}
		switch {
		case p.isWithdrawn && now.Mono >= p.deadline+withdrawalTimeout:
			n.proposals.settle(number, Indeterminate)
		case p.isWithdrawn && p.baseIndex == 0: // the record was never sent to a voter
			n.proposals.settle(number, NotCommitted)
		case now.Mono >= p.nextAttempt:
			n.sendProposal(now, p)
		}
	}
}

// sendProposal sends the request of a proposal to the next voter.
func (n *Node) sendProposal(now ClockReading, p *proposal) {
	request := p.request().encode()
	p.nextAttempt = now.Mono + proposalRetryAfter
	if p.attempts++; p.attempts <= proposalFastRetries && len(request) <= fragment.MaxShortBytes {
		p.nextAttempt = now.Mono + proposalFastRetryAfter
	}
	p.voterIndex = (p.voterIndex + 1) % len(n.settings.Voters)
	n.send(now, n.settings.Voters[p.voterIndex], channelProposal, request)
}

// request returns the next request to a voter. It contains the record once the base index is known.
func (p *proposal) request() proposalRequest {
	r := proposalRequest{id: p.id, baseIndex: p.baseIndex, kind: requestPropose}
	switch {
	case p.isWithdrawn:
		r.kind = requestWithdraw
	case p.baseIndex != 0:
		r.record = p.record
	}
	return r
}

// handleProposal processes the request of any agent to propose or withdraw a record, and replies with the
// outcome.
func (n *Node) handleProposal(now ClockReading, from int, b []byte) {
	r, isValid := decodeProposalRequest(b)
	if n.voter == nil || !isValid {
		n.dropped++
		return
	}
	reply := func(outcome proposalOutcome, baseIndex uint64) {
		n.send(now, from, channelProposalReply, proposalReply{r.id, baseIndex, outcome}.encode())
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
	id := raftlog.ProposalID{Origin: r.id.origin, Number: r.id.number, Base: r.baseIndex}
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
		return // this agent has just stopped being a voter
	}
	outcome, _ := n.voter.Outcome(id)
	reply(replyFor(outcome), r.baseIndex)
}

// handleProposalReply processes a voter's reply. A committed proposal gets its result only when its record is
// applied at this agent, so that the state read after that includes it.
func (n *Node) handleProposalReply(now ClockReading, b []byte) {
	r, isValid := decodeProposalReply(b)
	if !isValid || r.id.origin != n.proposals.origin {
		n.dropped++
		return
	}
	p := n.proposals.pending[r.id.number]
	if p == nil {
		return // the proposal already has a result
	}
	switch r.outcome {
	case replyBase:
		if p.baseIndex == 0 && r.baseIndex > 0 && !p.isWithdrawn {
			p.baseIndex, p.nextAttempt = r.baseIndex, now.Mono
		}
	case replyNotCommitted:
		n.proposals.settle(r.id.number, NotCommitted)
	case replyForgotten:
		n.proposals.settle(r.id.number, Indeterminate)
	case replyNoLeader:
		p.nextAttempt = min(p.nextAttempt, now.Mono+noLeaderRetryAfter)
	case replyUnknown, replyCommitted:
		// If unknown, the request is repeated; if committed, the record will be applied soon.
	}
}
