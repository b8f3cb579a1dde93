package voterlab

import (
	"time"

	"dunestep/internal/fleet/raftlog"
)

// check checks an agent after each of its steps.
func (l *Lab) check(a uint32) {
	h := l.hosts[a]
	s := h.voter.Status()
	if s.Err != nil {
		l.addViolation("agent %d stopped: %v", a, s.Err)
	}
	if s.Phase == raftlog.Leading {
		at := place{s.Identity.Epoch, s.Term}
		if id, isKnown := l.leaders[at]; isKnown && id != s.Identity.ID {
			l.addViolation("epoch %d has two leaders in term %d: %d and %d", at.epoch, at.at, id, s.Identity.ID)
		}
		l.leaders[at] = s.Identity.ID
	}
	l.checkFresh(h, s)
}

// clockError is the maximum by which an agent's clock is changed in a Hunt, and clockOffset its offset
// without that: no two are equal, as clocks that begin with the machine are not.
const clockError = 20 * time.Millisecond

func clockOffset(a uint32) time.Duration { return -time.Duration(a) * 10 * 365 * 24 * time.Hour }

// checkFresh checks that everything that was reported as committed before the voter's FreshAsOf is applied
// here.
func (l *Lab) checkFresh(h *host, s raftlog.Status) {
	if s.FreshAsOf.IsZero() {
		return
	}
	for i := len(l.acknowledgements) - 1; i >= 0 && i > len(l.acknowledgements)-50; i-- {
		t := l.acknowledgements[i]
		at := t.at.Add(clockOffset(h.agent) + clockError) // by the voter's own clock
		if t.epoch == s.Identity.Epoch && at.Before(s.FreshAsOf) && s.AppliedIndex < t.place.at {
			l.addViolation("agent %d is fresh as of %v, but has not applied %d, reported at %v", h.agent,
				s.FreshAsOf.Sub(Start), t.place.at, t.at.Sub(Start))
		}
	}
}

// checkApplied compares a record with what others have at its index.
func (l *Lab) checkApplied(h *host, e raftlog.Entry, value uint64) {
	l.epochs[h.epoch] = true
	at := place{h.epoch, e.Index}
	if c, isKnown := l.chains[at]; isKnown && c != h.state.chain {
		l.addViolation("agent %d has another record %d than others", h.agent, e.Index)
	}
	l.chains[at] = h.state.chain
	epoch := place{epoch: h.epoch}
	if l.applied[epoch] == nil {
		l.applied[epoch] = map[raftlog.ProposalID]uint64{}
	}
	if i, isKnown := l.applied[epoch][e.ID]; isKnown && i != e.Index {
		l.addViolation("proposal %v is applied twice: at %d and %d", e.ID, i, e.Index)
	}
	l.applied[epoch][e.ID] = e.Index
	l.results[e.ID] = value
}

// checkRestored compares a snapshot with what others had at its index.
func (l *Lab) checkRestored(h *host) {
	for i := h.state.index; i > 0 && i+100 > h.state.index; i-- {
		if c, isKnown := l.chains[place{h.epoch, i}]; isKnown {
			if c != h.state.chain {
				l.addViolation("agent %d restored another state at %d than others had", h.agent, h.state.index)
			}
			return
		}
	}
}

// Settle ends all faults, waits until the voters are healthy, and checks that nothing that was reported as
// committed is lost, and that a new proposal is committed. It returns how long the voters took to become
// healthy, at most within.
func (l *Lab) Settle(within time.Duration) time.Duration {
	l.Calm()
	for a := range l.hosts {
		l.World.Resume(uint32(a))
		l.World.SetClock(uint32(a), clockOffset(uint32(a)))
	}
	for _, a := range l.configured {
		l.World.Start(a)
	}
	began := l.World.Now()
	for !l.Healthy() {
		if l.World.Now().Sub(began) > within {
			l.addViolation("not healthy %v after the faults", within)
			l.explain()
			return within
		}
		l.World.Run(l.World.Now().Add(50 * time.Millisecond))
	}
	took := l.World.Now().Sub(began)
	before := l.acknowledgements
	l.checkProposal()
	for _, a := range l.configured {
		s, _ := l.Status(a)
		for _, t := range before {
			if t.epoch == s.Identity.Epoch && s.AppliedIndex < t.place.at {
				l.addViolation("agent %d lacks %d, which was reported as committed", a, t.place.at)
			}
		}
	}
	return took
}

func (l *Lab) checkProposal() {
	leader, hasLeader := l.Leader()
	if !hasLeader {
		l.addViolation("healthy without a leader")
		return
	}
	id, err := l.Propose(leader, 0, 1<<40)
	c := &call{op: op{true, 0, 1 << 40}, id: id, from: l.World.Now(), client: -1}
	l.calls = append(l.calls, c)
	l.World.Run(l.World.Now().Add(5 * time.Second))
	for _, a := range l.configured {
		if l.Outcome(a, id) != raftlog.Committed {
			l.addViolation("agent %d does not have a proposal after 5 s: %v", a, err)
			l.explain()
		}
	}
}

func (l *Lab) explain() {
	l.addViolation("configured %v", l.configured)
	for a := range l.hosts {
		if s, isRunning := l.Status(uint32(a)); isRunning {
			l.addViolation("agent %d: %v %+v term %d leader %v %v applied %d commit %d members %+v, %d dropped",
				a, s.Phase, s.Identity, s.Term, s.Leader, s.HasLeader, s.AppliedIndex, s.CommitIndex, s.Members,
				s.Dropped)
		}
	}
}
