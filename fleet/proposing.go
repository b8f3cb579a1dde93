package fleet

import (
	"encoding/binary"
	"errors"
	"time"

	"dunestep/fleet/consensus"
	"dunestep/fleet/pieces"
)

// Any agent may propose. It asks the voters in turn: each answers what is known of the proposal, the same
// one under the same name however often it is asked, and takes it to the log where nothing is.

// Ticket names a proposal of this process.
type Ticket uint64

// Result is what became of a proposal.
type Result uint8

// The results.
const (
	// Waiting: it is not known yet.
	Waiting Result = iota
	// Taken: it is in the log, and is applied here.
	Taken
	// NotTaken: it is not, and never will be.
	NotTaken
	// AskAgain: what became of it can't be known, as no voter answered in time, or it is long ago. The newest
	// records show it.
	AskAgain
)

func (r Result) String() string {
	return [...]string{"waiting", "taken", "not taken", "ask again"}[min(r, AskAgain)]
}

// Errors of Propose.
var (
	ErrTooLong = errors.New("fleet: a proposal is longer than the log bears")
	ErrTooMany = errors.New("fleet: too many proposals are waiting")
	ErrVoters  = errors.New("fleet: no voters are named")
)

const (
	mostProposals = 16
	// proposeAgain is after how long without an answer the next voter is asked; proposeSoon, for the first
	// few times where what is asked fits into one datagram, which may just be lost.
	proposeAgain, proposeSoon = 250 * time.Millisecond, 60 * time.Millisecond
	soonProposed              = 6
	// keptResults is how many proposals are remembered after they were answered, the latest ones.
	keptResults = 64
)

// proposal is one that is waiting.
type proposal struct {
	ticket  ticketOf
	base    uint64 // raft's index that the first voter named; zero: none has yet
	data    []byte // the record
	giveUp  time.Duration
	next    time.Duration // when to ask the next voter
	turn    int
	asked   int
	recalls bool // its time is over: it is withdrawn, so that it is known some day
}

// proposals are those of this process. Times are by the steady clock.
type proposals struct {
	origin  uint64
	last    uint64
	waiting map[uint64]*proposal
	results map[uint64]Result
	order   []uint64 // of results, oldest first
}

func newProposals(origin uint64) proposals {
	return proposals{origin: origin, waiting: map[uint64]*proposal{}, results: map[uint64]Result{}}
}

func (p *proposals) settle(number uint64, r Result) {
	if p.waiting[number] == nil {
		return
	}
	delete(p.waiting, number)
	p.results[number] = r
	if p.order = append(p.order, number); len(p.order) > keptResults {
		delete(p.results, p.order[0])
		p.order = p.order[1:]
	}
}

// sorted are the numbers of those that are waiting, so that what is done does not go by a map's order.
func (p *proposals) sorted() (numbers []uint64) {
	for n := range p.last {
		if p.waiting[n+1] != nil {
			numbers = append(numbers, n+1)
		}
	}
	return numbers
}

// Propose asks for a record of a machine to be agreed, for so long; then it is withdrawn. Result tells
// what became of it.
func (n *Node) Propose(now Reading, machine uint8, data []byte, within time.Duration) (Ticket, error) {
	t, err := n.begin(now, machine, data, within)
	n.turn(now)
	return t, err
}

func (n *Node) begin(now Reading, machine uint8, data []byte, within time.Duration) (Ticket, error) {
	switch {
	case len(data) > consensus.MaxData-recordHead:
		return 0, ErrTooLong
	case len(n.proposals.waiting) >= mostProposals:
		return 0, ErrTooMany
	case len(n.set.Voters) == 0:
		return 0, ErrVoters
	}
	p := &n.proposals
	p.last++
	t := ticketOf{p.origin, p.last}
	p.waiting[p.last] = &proposal{
		ticket: t, data: encodeRecord(machine, t, data), giveUp: now.Mono + within,
		next: now.Mono, turn: n.random.IntN(len(n.set.Voters)),
	}
	return Ticket(p.last), nil
}

// Result tells what became of a proposal of this process.
func (n *Node) Result(t Ticket) Result {
	if n.proposals.waiting[uint64(t)] != nil {
		return Waiting
	}
	if r, is := n.proposals.results[uint64(t)]; is {
		return r
	}
	return AskAgain
}

// withdrawFor is how long a proposal whose time is over is asked about until nobody can tell.
const withdrawFor = 2 * time.Second

// propose asks the voters about what is waiting, where it is time.
func (n *Node) propose(now Reading) {
	for _, number := range n.proposals.sorted() {
		p := n.proposals.waiting[number]
		if !p.recalls && now.Mono >= p.giveUp {
			p.recalls, p.next = true, now.Mono
		}
		switch {
		case p.recalls && now.Mono >= p.giveUp+withdrawFor:
			n.proposals.settle(number, AskAgain)
		case p.recalls && p.base == 0: // no voter ever had it
			n.proposals.settle(number, NotTaken)
		case now.Mono >= p.next:
			ask := p.encode()
			p.next = now.Mono + proposeAgain
			if p.asked++; p.asked <= soonProposed && len(ask) <= pieces.MaxShort {
				p.next = now.Mono + proposeSoon
			}
			p.turn = (p.turn + 1) % len(n.set.Voters)
			n.tell(now, n.set.Voters[p.turn], channelPropose, ask)
		}
	}
}

// A proposal on its way to a voter: its name, what is asked, and the record.
const (
	proposalHead = 3*8 + 1

	askProposal   = 0
	askWithdrawal = 1
)

func (p *proposal) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalHead+len(p.data)), p.ticket.origin)
	b = binary.BigEndian.AppendUint64(b, p.ticket.number)
	b = binary.BigEndian.AppendUint64(b, p.base)
	if p.recalls {
		return append(b, askWithdrawal)
	}
	if b = append(b, askProposal); p.base == 0 {
		return b // the first voter names the index from which it may be taken
	}
	return append(b, p.data...)
}

// The answer of a voter: the proposal's name, its base, and what is known.
const answerSize = 2*8 + 8 + 1

const (
	answerBase      = iota // propose it with this base
	answerUnknown          // it may yet be taken
	answerTaken            //
	answerNotTaken         //
	answerForgotten        //
	answerNoLeader         // ask another one
)

// proposed takes a proposal to the log, for any agent, and answers what is known of it.
func (n *Node) proposed(now Reading, from int, b []byte) {
	if n.voter == nil || len(b) < proposalHead {
		n.dropped++
		return
	}
	id := consensus.ID{
		Origin: binary.BigEndian.Uint64(b), Number: binary.BigEndian.Uint64(b[8:]),
		Base: binary.BigEndian.Uint64(b[16:]),
	}
	ask, data := b[24], b[proposalHead:]
	answer := func(what byte, base uint64) {
		a := append(append(make([]byte, 0, answerSize), b[:16]...), make([]byte, 9)...)
		binary.BigEndian.PutUint64(a[16:], base)
		a[24] = what
		n.tell(now, from, channelOutcome, a)
	}
	status := n.status()
	switch {
	case status.Phase != consensus.Voting && status.Phase != consensus.Leading:
		answer(answerNoLeader, id.Base)
		return
	case id.Base == 0 && ask == askProposal:
		answer(answerBase, max(status.Applied, 1))
		return
	}
	if outcome, _ := n.voter.Outcome(id); outcome != consensus.Unknown {
		answer(answerOf(outcome), id.Base)
		return
	}
	if ask == askWithdrawal {
		n.vote(now, consensus.Withdraw{ID: id})
	} else if len(data) >= recordHead {
		n.vote(now, consensus.Propose{ID: id, Data: data})
	}
	if n.voter == nil {
		return // it has just stood down
	}
	outcome, _ := n.voter.Outcome(id)
	answer(answerOf(outcome), id.Base)
}

func answerOf(o consensus.Outcome) byte {
	return [...]byte{answerUnknown, answerTaken, answerNotTaken, answerForgotten}[o]
}

// answered takes a voter's answer. That a proposal was taken is told once its record is applied here,
// which is soon: who asks for the newest state after that has it.
func (n *Node) answered(now Reading, b []byte) {
	if len(b) != answerSize || binary.BigEndian.Uint64(b) != n.proposals.origin {
		n.dropped++
		return
	}
	number, base := binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])
	p := n.proposals.waiting[number]
	if p == nil {
		return
	}
	switch b[24] {
	case answerBase:
		if p.base == 0 && base > 0 && !p.recalls {
			p.base, p.next = base, now.Mono
		}
	case answerNotTaken:
		n.proposals.settle(number, NotTaken)
	case answerForgotten:
		n.proposals.settle(number, AskAgain)
	case answerNoLeader:
		p.next = min(p.next, now.Mono+proposeAgain/4)
	}
}
