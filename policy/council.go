package policy

import (
	"slices"
	"time"

	"dunestep/fleet/lease"
)

// Council brings a change to its end. Each voter has one, and the leader proposes what its says; whoever
// becomes leader goes on from the log, and from when it applied the change itself.
type Council struct {
	self    int
	times   Times
	own     Note // of the agent in the same process
	st      State
	voters  []int
	members uint64
	set     lease.Reading // since when these are the voters
	began   bool          // voters are known
	open    uint64
	opened  lease.Reading // when the open change was applied here
	former  uint64
	closed  lease.Reading // when the floor was replaced, as applied here
	last    proposal
	again   time.Duration
}

// proposal is what was last proposed: not again before a while, unless the change has moved on.
type proposal struct {
	open   uint64
	by     time.Duration
	ready  bool
	former uint64
}

// NewCouncil returns a Council that knows of no voters, so that the fence alone counts.
func NewCouncil(self int, times Times) *Council { return &Council{self: self, times: times.Usual()} }

// Voters takes who may grant leases, from now on and in the time before where it is first told. Members is
// any number that changes whenever one of them does, as the log's index of their last change: a voter that
// came back with a new store is another one, whose former process may still run. While those who just could
// may have granted leases that hold, no report of the others stands for them.
func (c *Council) Voters(now lease.Reading, voters []int, members uint64) {
	if c.began && c.members == members && slices.Equal(c.voters, voters) {
		return
	}
	c.voters, c.members, c.set, c.began = slices.Clone(voters), members, now, true
}

// Learn takes what the log says now, as soon as records were applied, by any voter, and the answer of the
// agent in the same process, which has learnt them before. Without that, a document that no other agent could
// look at would be activated at the fence, as nobody holds a lease any more who could say no.
func (c *Council) Learn(now lease.Reading, m *Machine, own []byte) {
	c.st = m.State()
	c.own, _ = DecodeNote(own)
	if o := c.st.Open; o != nil && o.Number != c.open {
		c.open, c.opened = o.Number, now
	}
	if f := c.st.Former; f != nil && f.Since != c.former {
		c.former, c.closed = f.Since, now
	}
}

// Due returns what the leader is to propose to the log, in this order, and when to ask again at the latest,
// by the steady clock.
func (c *Council) Due(now lease.Reading) (records [][]byte, next time.Duration) {
	var p proposal
	if o := c.st.Open; o != nil {
		p.open, p.by, p.ready = o.Number, o.By, c.ready(now)
		records = c.end(now, o, p.ready)
	}
	if f := c.st.Former; f != nil && c.unused(now, f) {
		p.former = f.Since
		records = append(records, marshal(record{Kind: settled, Version: f.Since}))
	}
	switch {
	case len(records) == 0 && c.st.Open != nil:
		return nil, now.Mono + lookAgain
	case len(records) == 0:
		return nil, now.Mono + time.Second
	case p == c.last && now.Mono < c.again:
		return nil, c.again
	}
	c.last, c.again = p, now.Mono+proposeAgain
	return records, c.again
}

// end brings an open change nearer to its end.
func (c *Council) end(now lease.Reading, o *Change, ready bool) (records [][]byte) {
	if o.By > now.Unix+2*furthest {
		return [][]byte{marshal(record{Kind: abandoned, Version: o.Number})}
	}
	if c.own.Version == o.Number && c.own.Code != Yes {
		return [][]byte{marshal(record{
			Kind: abandoned, Version: o.Number, Who: c.self, Code: c.own.Code,
			Text: c.own.Text,
		})}
	}
	if by := c.later(now, o, ready); by > o.By {
		records = append(records, marshal(record{Kind: postponed, Version: o.Number, By: by}))
	}
	if ready {
		records = append(records, marshal(record{Kind: activated, Version: o.Number}))
	}
	return records
}

// later is when a change can take hold whose agents would not all know in time that it does. Some may be slow
// to answer, or down: it is put off for half as long as it has been open, and at last until leases are over.
func (c *Council) later(now lease.Reading, o *Change, ready bool) time.Duration {
	if now.Unix < o.By-c.times.Ahead {
		return 0
	}
	wait := time.Duration(0)
	if passed := since(c.opened, now); !ready {
		if wait = c.times.mayLast() - passed; wait < 0 {
			wait = c.times.Terms.Wait() - passed
		}
		wait = min(wait, passed/2)
	}
	return now.Unix + max(wait, 0) + 2*c.times.Ahead
}

// ready tells whether nobody that may act has not promised, and the document can be used here.
func (c *Council) ready(now lease.Reading) bool {
	if c.own.Version != c.st.Open.Number || c.own.Code != Yes {
		return false
	}
	if c.times.Terms.Passed(c.opened, now) {
		return true
	}
	if !c.began || !c.times.Terms.Passed(c.set, now) {
		return false
	}
	for _, v := range c.voters {
		if _, is := slices.BinarySearch(c.st.Open.Yes, v); !is {
			return false
		}
	}
	return len(c.voters) > 0
}

// unused tells whether nobody can go by a floor that was replaced: the last lease of one that does not know
// of that is over by the fence, the time for which it goes by the floor then is over too, and the version
// that has replaced it has taken hold by any clock.
func (c *Council) unused(now lease.Reading, f *Former) bool {
	return since(c.closed, now) >= c.times.Terms.Wait()+c.times.stretched(c.times.Floor) &&
		now.Unix >= f.SinceBy+c.times.stretched(c.times.Floor)+2*c.times.Terms.Clocks
}
