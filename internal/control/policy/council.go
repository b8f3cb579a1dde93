package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Proposer brings a change to its end. Each voter has one, and the leader proposes what its says; whoever
// becomes leader goes on from the log, and from when it applied the change itself.
type Proposer struct {
	self             int
	times            Times
	localAnswer      Answer // of the agent in the same process
	state            State
	voters           []int
	membership       uint64
	votersSince      lease.ClockReading // since when these are the voters
	votersKnown      bool               // voters are known
	openNumber       uint64
	openSince        lease.ClockReading // when the open change was applied here
	formerReplacedBy uint64
	floorReplacedAt  lease.ClockReading // when the floor was replaced, as applied here
	last             lastProposal
	retryAt          time.Duration
}

// proposal is what was last proposed: not again before a while, unless the change has moved on.
type lastProposal struct {
	open        uint64
	effectiveAt time.Duration
	ready       bool
	formerFloor uint64
}

// NewProposer returns a Proposer that knows of no voters, so that the fence alone counts.
func NewProposer(self int, times Times) *Proposer {
	return &Proposer{self: self, times: times.WithDefaults()}
}

// SetVoters takes who may grant leases, from now on and in the time before where it is first told. Members is
// any number that changes whenever one of them does, as the log's index of their last change: a voter that
// came back with a new store is another one, whose former process may still run. While those who just could
// may have granted leases that hold, no report of the others stands for them.
func (c *Proposer) SetVoters(now lease.ClockReading, voters []int, members uint64) {
	if c.votersKnown && c.membership == members && slices.Equal(c.voters, voters) {
		return
	}
	c.voters, c.membership, c.votersSince, c.votersKnown = slices.Clone(voters), members, now, true
}

// Learn takes what the log says now, as soon as records were applied, by any voter, and the answer of the
// agent in the same process, which has learnt them before. Without that, a document that no other agent could
// look at would be activated at the fence, as nobody holds a lease any more who could say no.
func (c *Proposer) Learn(now lease.ClockReading, m *StateMachine, own []byte) {
	c.state = m.State()
	c.localAnswer, _ = DecodeAnswer(own)
	if o := c.state.OpenChange; o != nil && o.Number != c.openNumber {
		c.openNumber, c.openSince = o.Number, now
	}
	if f := c.state.FormerFloor; f != nil && f.ReplacedBy != c.formerReplacedBy {
		c.formerReplacedBy, c.floorReplacedAt = f.ReplacedBy, now
	}
}

// Due returns what the leader is to propose to the log, in this order, and when to ask again at the latest,
// by the steady clock.
func (c *Proposer) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	var p lastProposal
	if o := c.state.OpenChange; o != nil {
		p.open, p.effectiveAt, p.ready = o.Number, o.EffectiveAt, c.isReady(now)
		records = c.advanceChange(now, o, p.ready)
	}
	if f := c.state.FormerFloor; f != nil && c.isFormerFloorUnused(now, f) {
		p.formerFloor = f.ReplacedBy
		records = append(records, marshal(record{Kind: kindFloorReleased, Version: f.ReplacedBy}))
	}
	switch {
	case len(records) == 0 && c.state.OpenChange != nil:
		return nil, now.Mono + recheckInterval
	case len(records) == 0:
		return nil, now.Mono + time.Second
	case p == c.last && now.Mono < c.retryAt:
		return nil, c.retryAt
	}
	c.last, c.retryAt = p, now.Mono+proposeRetryInterval
	return records, c.retryAt
}

// end brings an open change nearer to its end.
func (c *Proposer) advanceChange(now lease.ClockReading, o *Change, ready bool) (records [][]byte) {
	if o.EffectiveAt > now.Unix+2*maxLeadTime {
		return [][]byte{marshal(record{Kind: kindAbandoned, Version: o.Number})}
	}
	if c.localAnswer.Version == o.Number && c.localAnswer.Code != Accepted {
		return [][]byte{marshal(record{
			Kind: kindAbandoned, Version: o.Number, Agent: c.self, Code: c.localAnswer.Code,
			Text: c.localAnswer.Text,
		})}
	}
	if by := c.postponedTo(now, o, ready); by > o.EffectiveAt {
		records = append(records, marshal(record{Kind: kindPostponed, Version: o.Number, EffectiveAt: by}))
	}
	if ready {
		records = append(records, marshal(record{Kind: kindActivated, Version: o.Number}))
	}
	return records
}

// later is when a change can take hold whose agents would not all know in time that it does. Some may be slow
// to answer, or down: it is put off for half as long as it has been open, and at last until leases are over.
func (c *Proposer) postponedTo(now lease.ClockReading, o *Change, ready bool) time.Duration {
	if now.Unix < o.EffectiveAt-c.times.ActivationLead {
		return 0
	}
	wait := time.Duration(0)
	if passed := minElapsed(c.openSince, now); !ready {
		if wait = c.times.maxLeaseAge() - passed; wait < 0 {
			wait = c.times.Terms.FenceWait() - passed
		}
		wait = min(wait, passed/2)
	}
	return now.Unix + max(wait, 0) + 2*c.times.ActivationLead
}

// ready tells whether nobody that may act has not promised, and the document can be used here.
func (c *Proposer) isReady(now lease.ClockReading) bool {
	if c.localAnswer.Version != c.state.OpenChange.Number || c.localAnswer.Code != Accepted {
		return false
	}
	if c.times.Terms.FencePassed(c.openSince, now) {
		return true
	}
	if !c.votersKnown || !c.times.Terms.FencePassed(c.votersSince, now) {
		return false
	}
	for _, v := range c.voters {
		if _, is := slices.BinarySearch(c.state.OpenChange.PromisedVoters, v); !is {
			return false
		}
	}
	return len(c.voters) > 0
}

// unused tells whether nobody can go by a floor that was replaced: the last lease of one that does not know
// of that is over by the fence, the time for which it goes by the floor then is over too, and the version
// that has replaced it has taken hold by any clock.
func (c *Proposer) isFormerFloorUnused(now lease.ClockReading, f *FormerFloor) bool {
	return minElapsed(c.floorReplacedAt, now) >= c.times.Terms.FenceWait()+c.times.withClockDrift(c.times.FloorValidity) &&
		now.Unix >= f.ReplacedAt+c.times.withClockDrift(c.times.FloorValidity)+2*c.times.Terms.MaxClockError
}
