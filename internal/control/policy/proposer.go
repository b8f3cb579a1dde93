package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer decides when an open change is activated, postponed or abandoned. Each voter has a Proposer, and
// the leader proposes the records that its Proposer returns. A new leader continues from the log, and from
// the time at which it applied the change itself.
type Proposer struct {
	self        int
	times       Times
	localAnswer Answer // the answer of the agent in the same process
	state       State

	voters      []int
	membership  uint64             // changes with the voters; see SetVoters
	votersSince lease.ClockReading // time of the last change of voters or membership
	votersKnown bool

	openNumber       uint64
	openSince        lease.ClockReading // when the open change was applied here
	formerReplacedBy uint64
	floorReplacedAt  lease.ClockReading // when the replacement of the floor was applied here

	last    lastProposal
	retryAt time.Duration // by the monotonic clock
}

// lastProposal is the state for which records were last proposed. While it is the same, nothing is proposed
// again before retryAt.
type lastProposal struct {
	open        uint64
	effectiveAt time.Duration
	ready       readiness
	formerFloor uint64
}

// readiness is whether the open change may be activated.
type readiness uint8

const (
	notReady readiness = iota
	ready              // all that may act have promised, and the document can be used here
)

// settledRecheckInterval is the interval between the proposer's checks while no change is open.
const settledRecheckInterval = time.Second

// NewProposer returns a Proposer that does not know the voters, so that an activation waits for the fence.
func NewProposer(self int, times Times) *Proposer {
	return &Proposer{self: self, times: times.WithDefaults()}
}

// SetVoters sets the voters that may grant leases from now on. Membership is any number that changes whenever
// the voters change, such as the log index of their last change. It also changes when a voter returns with a
// new store: that is a different voter, whose former process may still run. After a change the reports of the
// new voters do not count until leases that the former voters may have granted have expired.
func (p *Proposer) SetVoters(now lease.ClockReading, voters []int, membership uint64) {
	if p.votersKnown && p.membership == membership && slices.Equal(p.voters, voters) {
		return
	}
	p.voters, p.membership, p.votersSince, p.votersKnown = slices.Clone(voters), membership, now, true
}

// Learn updates the proposer with the current agreed state and with the encoded answer of the agent in the
// same process, which must have been updated first. Every voter calls it as soon as records were applied.
// Without the local answer, a document that no other agent could check would be activated at the fence, when
// no agent that could reject it has a lease any more.
func (p *Proposer) Learn(now lease.ClockReading, m *StateMachine, localAnswer []byte) {
	p.state = m.State()
	p.localAnswer, _ = DecodeAnswer(localAnswer) // always succeeds: this process encoded it
	if o := p.state.OpenChange; o != nil && o.Number != p.openNumber {
		p.openNumber, p.openSince = o.Number, now
	}
	if f := p.state.FormerFloor; f != nil && f.ReplacedBy != p.formerReplacedBy {
		p.formerReplacedBy, p.floorReplacedAt = f.ReplacedBy, now
	}
}

// Due returns the records that the leader has to propose to the log, in order, and the latest time of the
// next call, by the monotonic clock.
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

// advanceChange returns the records that are due for an open change: an abandonment, or a postponement, an
// activation or both.
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

// postponedTo returns the later time at which a change can take effect if its activation could not reach all
// agents before its present time, or zero if the change need not be postponed. Agents may be slow to answer,
// or down: a change that is not ready is postponed by half the time for which it has been open, at most until
// the leases have expired or the fence has passed.
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

// readiness returns ready if every process that may act has promised and the document can be used here.
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

// isFormerFloorUnused reports whether no agent can act within a replaced floor any more. That is so once the
// fence has passed, so that agents that do not know of the replacement have no lease any more, the validity
// of the floor after their last lease is over too, and the version that replaced the floor has taken effect
// by every clock.
func (p *Proposer) isFormerFloorUnused(now lease.ClockReading, f *FormerFloor) bool {
	validity := p.times.withClockDrift(p.times.FloorValidity)
	return minElapsed(p.floorReplacedAt, now) >= p.times.Terms.FenceWait()+validity &&
		now.Unix >= f.ReplacedAt+validity+2*p.times.Terms.MaxClockError
}
