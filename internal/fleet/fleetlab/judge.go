package fleetlab

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// tally is the lab's state machine: it counts how often each proposal was applied.
type tally struct{ times map[uint64]uint32 }

// Apply implements fleet.StateMachine.
func (t *tally) Apply(_ uint64, data []byte) {
	if t.times == nil {
		t.times = map[uint64]uint32{}
	}
	if len(data) >= 8 {
		t.times[binary.BigEndian.Uint64(data)]++
	}
}

// Snapshot implements fleet.StateMachine.
func (t *tally) Snapshot() (b []byte) {
	for _, n := range slices.Sorted(maps.Keys(t.times)) {
		b = binary.BigEndian.AppendUint64(b, n)
		b = binary.BigEndian.AppendUint32(b, t.times[n])
	}
	return b
}

// Restore implements fleet.StateMachine.
func (t *tally) Restore(b []byte) error {
	t.times = map[uint64]uint32{}
	for ; len(b) >= 12; b = b[12:] {
		t.times[binary.BigEndian.Uint64(b)] = binary.BigEndian.Uint32(b[8:])
	}
	return nil
}

// judge observes all agents from the outside, with the true time.
type judge struct {
	lab        *Lab
	sums       map[[2]uint64]uint64 // by the epoch and the number
	observed   []observedRecord     // positions as they were first applied, in order of time
	binding    replica.Position     // no agent may act without it any more
	newest     replica.Position
	proposals  map[uint64]*trackedProposal
	lastNumber uint64 // of the proposals
	violations []string
	decisions  struct{ Full, Floor, New uint64 }
}

type observedRecord struct {
	position  replica.Position
	firstSeen time.Time
}

// trackedProposal is a proposal whose outcome is checked.
type trackedProposal struct {
	number      uint64
	host        *host
	incarnation uint64
	ticket      fleet.Ticket
	result      fleet.Result
	epoch       uint64 // of the log when its result became known
	at          time.Time
	took        time.Duration
}

func newJudge(l *Lab) judge {
	return judge{lab: l, sums: map[[2]uint64]uint64{}, proposals: map[uint64]*trackedProposal{}}
}

const maxViolations = 20

func (j *judge) addViolation(format string, args ...any) {
	if len(j.violations) < maxViolations {
		at := j.lab.World.Now().Sub(j.lab.begin)
		j.violations = append(j.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// Violations returns descriptions of what violated a guarantee.
func (l *Lab) Violations() []string { return l.judge.violations }

// Decisions returns how many decisions were checked, by the standing of the agent.
func (l *Lab) Decisions() (full, floor, none uint64) {
	d := l.judge.decisions
	return d.Full, d.Floor, d.New
}

// checkEvents checks what a node reports to operators: logs must never diverge.
func (j *judge) checkEvents(h *host, events []fleet.Event) {
	for _, e := range events {
		switch e.Kind {
		case fleet.LogDiverged:
			j.addViolation("agent %d: the log differs from agent %d's: %v", h.self, e.Agent, e.Err)
		case fleet.VoterStopped:
			j.addViolation("agent %d: the voter stopped: %v", h.self, e.Err)
		}
	}
}

// check is called after each step of an agent: it checks its log and, as it could decide at any time, a
// decision.
func (j *judge) check(h *host) {
	if h.node == nil {
		return
	}
	applied := h.node.Applied()
	key := [2]uint64{applied.Epoch, applied.Seq}
	if sum, isKnown := j.sums[key]; !isKnown {
		j.sums[key] = applied.Sum
	} else if sum != applied.Sum {
		j.addViolation("agent %d has another record %d of epoch %d", h.self, applied.Seq, applied.Epoch)
	}
	if now := j.lab.World.Now(); applied.Covers(j.newest) && applied != j.newest {
		j.newest = applied
		j.observed = append(j.observed, observedRecord{applied, now})
	}
	j.checkDecision(h)
}

// checkDecision has an agent make a decision, and checks it against what binds.
func (j *judge) checkDecision(h *host) {
	now := j.lab.World.Now()
	for len(j.observed) > 0 && now.Sub(j.observed[0].firstSeen) > j.lab.opts.Terms.FenceWait() {
		j.binding = j.observed[0].position
		j.observed = j.observed[1:]
	}
	if onDecision := j.lab.opts.OnDecision; onDecision != nil {
		onDecision(h.self, now, j.lab.Reading(h.self), h.node)
	}
	switch h.node.Standing(j.lab.Reading(h.self)) {
	case lease.Full:
		j.decisions.Full++
		if !h.node.Applied().Covers(j.binding) {
			j.addViolation("agent %d acts on record %d of epoch %d, where %d of %d binds", h.self,
				h.node.Applied().Seq, h.node.Applied().Epoch, j.binding.Seq, j.binding.Epoch)
		}
	case lease.Floor:
		j.decisions.Floor++
	default:
		j.decisions.New++
	}
}

// Decide has all running agents make a decision now.
func (l *Lab) Decide() {
	for a, h := range l.hosts {
		if h.node != nil && !l.World.IsPaused(uint32(a)) {
			l.judge.checkDecision(h)
		}
	}
}

// Propose has an agent propose something whose outcome is checked; false: the agent is not running.
func (l *Lab) Propose(a int) bool {
	j := &l.judge
	h := l.hosts[a]
	return l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		j.lastNumber++
		t, err := h.node.Propose(h.reading(now), 0, binary.BigEndian.AppendUint64(nil, j.lastNumber), 3*time.Second)
		if err == nil {
			j.proposals[j.lastNumber] = &trackedProposal{
				number: j.lastNumber, host: h, incarnation: h.incarnation, ticket: t, at: l.World.Now(),
			}
		}
	})
}

// ProposeRecord has an agent propose a record of a state machine, whose outcome is not checked; false: the
// agent is not running.
func (l *Lab) ProposeRecord(a int, machine uint8, data []byte) (isProposed bool) {
	l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		_, err := l.hosts[a].node.Propose(l.hosts[a].reading(now), machine, data, 3*time.Second)
		isProposed = err == nil
	})
	return isProposed
}

// UpdateOutcomes asks for the results of all pending proposals.
func (l *Lab) UpdateOutcomes() {
	for _, p := range l.judge.proposals {
		if p.result == fleet.Pending && p.host.node != nil && p.host.incarnation == p.incarnation {
			if p.result = p.host.node.Result(p.ticket); p.result != fleet.Pending {
				p.epoch, p.took = p.host.node.Applied().Epoch, l.World.Now().Sub(p.at)
			}
		}
	}
}

// Results counts the proposals by their results.
func (l *Lab) Results() map[fleet.Result]int {
	l.UpdateOutcomes()
	counts := map[fleet.Result]int{}
	for _, p := range l.judge.proposals {
		counts[p.result]++
	}
	return counts
}

// Settle ends all faults, runs for a time, and checks the final state: all agents have applied the same, hold
// leases and are ready, and the reported result of each proposal is true.
func (l *Lab) Settle(within time.Duration) {
	l.Calm()
	for a := range l.hosts {
		l.World.SetClock(uint32(a), 0)
		l.World.Resume(uint32(a))
		l.World.Start(uint32(a))
	}
	l.Run(within)
	l.UpdateOutcomes()
	j := &l.judge
	for a, h := range l.hosts {
		s := h.node.Status(l.Reading(a))
		if s.Standing != lease.Full || !s.Ready || s.Applied != l.hosts[0].node.Applied() {
			j.addViolation("agent %d at the end: %v, ready %t, at %v, agent 0 at %v", a, s.Standing, s.Ready,
				s.Applied, l.hosts[0].node.Applied())
			if s.Voter != nil {
				j.addViolation("agent %d: voter %v %v", a, s.Voter.Phase, s.Voter.Identity)
			}
		}
	}
	j.checkResults(l.hosts[0])
}

// checkResults checks the reported results of proposals against an agent's tally. If a log was lost, only
// those of the current one can be checked.
func (j *judge) checkResults(h *host) {
	for n, times := range h.tally.times {
		if times > 1 {
			j.addViolation("proposal %d was applied %d times", n, times)
		}
		if p := j.proposals[n]; p != nil && p.result == fleet.NotCommitted {
			j.addViolation("proposal %d was reported as not committed, and is in the log", n)
		}
	}
	for _, p := range j.proposals {
		if p.result == fleet.Committed && p.epoch == h.node.Applied().Epoch && h.tally.times[p.number] == 0 {
			j.addViolation("proposal %d was reported as committed, and is not in the log", p.number)
		}
	}
}
