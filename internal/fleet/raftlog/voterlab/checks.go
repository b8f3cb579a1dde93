package voterlab

import (
	"time"

	"dunestep/internal/fleet/raftlog"
)

// check checks the guarantees for an agent after each of its steps.
func (l *Lab) check(a uint32) {
	h := l.hosts[a]
	s := h.voter.Status()
	if s.Err != nil {
		l.addViolation("agent %d stopped: %v", a, s.Err)
	}
	if s.Phase == raftlog.Leading {
		at := epochPosition{s.Identity.Epoch, s.Term}
		if id, isKnown := l.leaders[at]; isKnown && id != s.Identity.ID {
			l.addViolation("epoch %d has two leaders in term %d: %d and %d", at.epoch, at.at, id, s.Identity.ID)
		}
		l.leaders[at] = s.Identity.ID
	}
	l.checkFresh(h, s)
}

// clockError is an upper bound of the clock errors that InjectFaults introduces.
const clockError = 20 * time.Millisecond

// clockOffset returns the offset of an agent's clock without faults. No two agents have equal offsets, just
// as clocks that start when a machine boots differ.
func clockOffset(a uint32) time.Duration { return -time.Duration(a) * 10 * 365 * 24 * time.Hour }

// checkFresh checks that the voter has applied everything that was reported as committed before its
// FreshAsOf.
func (l *Lab) checkFresh(h *host, s raftlog.Status) {
	if s.FreshAsOf.IsZero() {
		return
	}
	for i := len(l.acknowledgements) - 1; i >= 0 && i > len(l.acknowledgements)-50; i-- {
		ack := l.acknowledgements[i]
		at := ack.at.Add(clockOffset(h.agent) + clockError) // by the voter's own clock
		if ack.epoch == s.Identity.Epoch && at.Before(s.FreshAsOf) && s.AppliedIndex < ack.epochPosition.at {
			l.addViolation("agent %d is fresh as of %v, but has not applied record %d, reported at %v", h.agent,
				s.FreshAsOf.Sub(Start), ack.epochPosition.at, ack.at.Sub(Start))
		}
	}
}

// checkApplied checks that an applied record equals the one that other agents applied at its index, and that
// no proposal is applied twice.
func (l *Lab) checkApplied(h *host, e raftlog.Entry, value uint64) {
	l.epochs[h.epoch] = true
	at := epochPosition{h.epoch, e.Index}
	if c, isKnown := l.chains[at]; isKnown && c != h.state.chain {
		l.addViolation("agent %d applied another record %d than other agents", h.agent, e.Index)
	}
	l.chains[at] = h.state.chain
	epoch := epochPosition{epoch: h.epoch}
	if l.applied[epoch] == nil {
		l.applied[epoch] = map[raftlog.ProposalID]uint64{}
	}
	if i, isKnown := l.applied[epoch][e.ID]; isKnown && i != e.Index {
		l.addViolation("proposal %v is applied twice: at %d and %d", e.ID, i, e.Index)
	}
	l.applied[epoch][e.ID] = e.Index
	l.results[e.ID] = value
}

// checkRestored checks that a restored snapshot equals the state that other agents had at its index.
func (l *Lab) checkRestored(h *host) {
	for i := h.state.index; i > 0 && i+100 > h.state.index; i-- {
		if c, isKnown := l.chains[epochPosition{h.epoch, i}]; isKnown {
			if c != h.state.chain {
				l.addViolation("agent %d restored another state at record %d than other agents had",
					h.agent, h.state.index)
			}
			return
		}
	}
}

// Settle ends all faults, waits until the voters are healthy, and checks that no record that was reported as
// committed is lost and that a new proposal is committed. It returns the time that the voters took to become
// healthy, at most within.
func (l *Lab) Settle(within time.Duration) time.Duration {
	l.ClearNetworkFaults()
	for a := range l.hosts {
		l.World.Resume(uint32(a))
		l.World.SetClock(uint32(a), clockOffset(uint32(a)))
	}
	for _, a := range l.configured {
		l.World.Start(a)
	}
	startedAt := l.World.Now()
	for !l.AreVotersHealthy() {
		if l.World.Now().Sub(startedAt) > within {
			l.addViolation("voters are not healthy %v after the faults", within)
			l.addDiagnostics()
			return within
		}
		l.World.Run(l.World.Now().Add(50 * time.Millisecond))
	}
	took := l.World.Now().Sub(startedAt)
	before := l.acknowledgements
	l.checkProposal()
	for _, a := range l.configured {
		s, _ := l.Status(a)
		for _, ack := range before {
			if ack.epoch == s.Identity.Epoch && s.AppliedIndex < ack.epochPosition.at {
				l.addViolation("agent %d lacks record %d, which was reported as committed", a, ack.epochPosition.at)
			}
		}
	}
	return took
}

// checkProposal checks that a new proposal is committed at all configured voters within 5 s.
func (l *Lab) checkProposal() {
	leader, hasLeader := l.Leader()
	if !hasLeader {
		l.addViolation("voters are healthy, but have no leader")
		return
	}
	id, err := l.Propose(leader, 0, 1<<40)
	c := &call{op: op{true, 0, 1 << 40}, id: id, from: l.World.Now(), client: -1}
	l.calls = append(l.calls, c)
	l.World.Run(l.World.Now().Add(5 * time.Second))
	for _, a := range l.configured {
		if l.Outcome(a, id) != raftlog.Committed {
			l.addViolation("agent %d has not committed a proposal after 5 s: %v", a, err)
			l.addDiagnostics()
		}
	}
}

// addDiagnostics adds the status of all running voters to the violations.
func (l *Lab) addDiagnostics() {
	l.addViolation("configured voters %v", l.configured)
	for a := range l.hosts {
		if s, isRunning := l.Status(uint32(a)); isRunning {
			l.addViolation("agent %d: %v %+v term %d leader %v %v applied %d commit %d members %+v, %d dropped",
				a, s.Phase, s.Identity, s.Term, s.Leader, s.HasLeader, s.AppliedIndex, s.CommitIndex, s.Members,
				s.Dropped)
		}
	}
}
