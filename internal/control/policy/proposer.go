package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer brings an open change to its end. Each voter has one, and the leader proposes what its own
// returns. A new leader continues from the log, and from when it applied the change itself.
type Proposer struct {
	self        int
	times       Times
	localAnswer Answer // of the agent in the same process
	state       State

	voters      []int
	membership  uint64             // changes with the voters; see SetVoters
	votersSince lease.ClockReading // when these became the voters
	votersKnown bool

	openNumber       uint64
	openSince        lease.ClockReading // when the open change was applied here
	formerReplacedBy uint64
	floorReplacedAt  lease.ClockReading // when the replacement of the floor was applied here

	last    lastProposal
	retryAt time.Duration // by the monotonic clock
}

// lastProposal is what was last proposed. The same is not proposed again before retryAt, unless the change
// has moved on.
type lastProposal struct {
	open        uint64
	effectiveAt time.Duration
	ready       readiness
	formerFloor uint64
}

// readiness tells whether the open change may be activated.
type readiness uint8

const (
	notReady readiness = iota
	ready              // nobody that may act has not promised, and the document can be used here
)

// settledRecheckInterval is how often the proposer checks while no change is open.
const settledRecheckInterval = time.Second

// NewProposer returns a Proposer that knows of no voters, so that only the fence counts.
func NewProposer(self int, times Times) *Proposer {
	return &Proposer{self: self, times: times.WithDefaults()}
}

// SetVoters takes who may grant leases from now on; the first call also covers the time before. Membership is
// any number that changes with each of the voters, as the log index of their last change: a voter that came
// back with a new store is another one, whose former process may still run. While those that were voters
// before may have granted leases that hold, no reports of the others stand for them.
func (p *Proposer) SetVoters(now lease.ClockReading, voters []int, membership uint64) {
	if p.votersKnown && p.membership == membership && slices.Equal(p.voters, voters) {
		return
	}
	p.voters, p.membership, p.votersSince, p.votersKnown = slices.Clone(voters), membership, now, true
}

// Learn takes the present state as soon as records were applied, at any voter, and the answer of the agent in
// the same process, which has learnt the state before. Without that answer a document that no other agent
// could check would be activated at the fence, when nobody holds a lease any more who could reject it.
func (p *Proposer) Learn(now lease.ClockReading, m *StateMachine, localAnswer []byte) {
	p.state = m.State()
	p.localAnswer, _ = DecodeAnswer(localAnswer) // it is this process's own, and always decodes
	if o := p.state.OpenChange; o != nil && o.Number != p.openNumber {
		p.openNumber, p.openSince = o.Number, now
	}
	if f := p.state.FormerFloor; f != nil && f.ReplacedBy != p.formerReplacedBy {
		p.formerReplacedBy, p.floorReplacedAt = f.ReplacedBy, now
	}
}

// Due returns what the leader is to propose to the log, in this order, and the latest time at which to call
// it again, by the monotonic clock.
func (p *Proposer) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	var current lastProposal
	if o := p.state.OpenChange; o != nil {
		current.open, current.effectiveAt, current.ready = o.Number, o.EffectiveAt, p.readiness(now)
		records = p.advanceChange(now, o, current.ready)
	}
	if f := p.state.FormerFloor; f != nil && p.isFormerFloorUnused(now, f) {
		current.formerFloor = f.ReplacedBy
		records = append(records, marshal(record{Kind: kindFloorReleased, Version: f.ReplacedBy}))
	}
	switch {
	case len(records) == 0 && p.state.OpenChange != nil:
		return nil, now.Mono + recheckInterval
	case len(records) == 0:
		return nil, now.Mono + settledRecheckInterval
	case current == p.last && now.Mono < p.retryAt:
		return nil, p.retryAt
	}
	p.last, p.retryAt = current, now.Mono+proposeRetryInterval
	return records, p.retryAt
}

// advanceChange returns the records that bring an open change closer to its end: an abandonment, or a
// postponement and an activation where they are due.
func (p *Proposer) advanceChange(now lease.ClockReading, open *Change, r readiness) (records [][]byte) {
	if open.EffectiveAt > now.Unix+2*maxLeadTime { // the proposer's clock was wrong
		return [][]byte{marshal(record{Kind: kindAbandoned, Version: open.Number})}
	}
	if p.localAnswer.Version == open.Number && p.localAnswer.Code != Accepted {
		return [][]byte{marshal(record{
			Kind: kindAbandoned, Version: open.Number, Agent: p.self, Code: p.localAnswer.Code,
			Text: p.localAnswer.Text,
		})}
	}
	if effectiveAt := p.postponedTo(now, open, r); effectiveAt > open.EffectiveAt {
		records = append(records, marshal(record{
			Kind: kindPostponed, Version: open.Number, EffectiveAt: effectiveAt,
		}))
	}
	if r == ready {
		records = append(records, marshal(record{Kind: kindActivated, Version: open.Number}))
	}
	return records
}

// postponedTo is when a change can take effect that not all agents would learn of in time; zero: its time
// stands. Agents may be slow to answer, or down: the change is postponed by half the time for which it has
// been open, and in the end until the leases have expired.
func (p *Proposer) postponedTo(now lease.ClockReading, open *Change, r readiness) time.Duration {
	if now.Unix < open.EffectiveAt-p.times.ActivationLead {
		return 0
	}
	wait := time.Duration(0)
	if passed := minElapsed(p.openSince, now); r == notReady {
		if wait = p.times.maxLeaseAge() - passed; wait < 0 {
			wait = p.times.Terms.FenceWait() - passed
		}
		wait = min(wait, passed/2)
	}
	return now.Unix + max(wait, 0) + 2*p.times.ActivationLead
}

// readiness tells whether every process that may act has promised, and the document can be used here.
func (p *Proposer) readiness(now lease.ClockReading) readiness {
	switch {
	case p.localAnswer.Version != p.state.OpenChange.Number || p.localAnswer.Code != Accepted:
		return notReady
	case p.times.Terms.FencePassed(p.openSince, now):
		return ready
	case !p.votersKnown || !p.times.Terms.FencePassed(p.votersSince, now):
		return notReady
	}
	for _, v := range p.voters {
		if _, reported := slices.BinarySearch(p.state.OpenChange.PromisedVoters, v); !reported {
			return notReady
		}
	}
	if len(p.voters) == 0 {
		return notReady
	}
	return ready
}

// isFormerFloorUnused tells whether no agent can act by a floor that was replaced: the last lease of an agent
// that does not know of the replacement has expired by the fence, the time for which such an agent then acts
// by the floor is over too, and the version that replaced it has taken effect by any clock.
func (p *Proposer) isFormerFloorUnused(now lease.ClockReading, f *FormerFloor) bool {
	validity := p.times.withClockDrift(p.times.FloorValidity)
	return minElapsed(p.floorReplacedAt, now) >= p.times.Terms.FenceWait()+validity &&
		now.Unix >= f.ReplacedAt+validity+2*p.times.Terms.MaxClockError
}
