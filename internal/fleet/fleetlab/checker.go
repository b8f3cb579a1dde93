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

// proposalCounter is the lab's state machine. It counts how often each proposal was applied, by its number.
type proposalCounter struct{ counts map[uint64]uint32 }

// Apply implements fleet.StateMachine.
func (c *proposalCounter) Apply(_ uint64, data []byte) {
	if c.counts == nil {
		c.counts = map[uint64]uint32{}
	}
	if len(data) >= 8 {
		c.counts[binary.BigEndian.Uint64(data)]++
	}
}

// Snapshot implements fleet.StateMachine.
func (c *proposalCounter) Snapshot() (b []byte) {
	for _, n := range slices.Sorted(maps.Keys(c.counts)) {
		b = binary.BigEndian.AppendUint64(b, n)
		b = binary.BigEndian.AppendUint32(b, c.counts[n])
	}
	return b
}

// Restore implements fleet.StateMachine.
func (c *proposalCounter) Restore(b []byte) error {
	c.counts = map[uint64]uint32{}
	for ; len(b) >= 12; b = b[12:] {
		c.counts[binary.BigEndian.Uint64(b)] = binary.BigEndian.Uint32(b[8:])
	}
	return nil
}

// checker checks the guarantees for all agents, by the time of the simulation instead of the agents' clocks.
type checker struct {
	lab        *Lab
	sums       map[[2]uint64]uint64 // checksums by epoch and sequence number
	observed   []observedRecord     // positions first applied less than a fence ago, in order of time
	required   replica.Position     // agents must have applied it to act with a lease
	newest     replica.Position     // newest position that any agent has applied
	proposals  map[uint64]*trackedProposal
	lastNumber uint64 // number of the last proposal
	violations []string
	decisions  struct{ Full, Floor, New uint64 }
}

// observedRecord is the position of a record and the time when an agent first applied it.
type observedRecord struct {
	position  replica.Position
	firstSeen time.Time
}

// trackedProposal is a proposal whose result is checked.
type trackedProposal struct {
	number      uint64
	host        *host
	incarnation uint64
	ticket      fleet.Ticket
	result      fleet.Result
	epoch       uint64 // of the log when the result became known
	proposedAt  time.Time
	latency     time.Duration // until the result became known
}

func newChecker(l *Lab) checker {
	return checker{lab: l, sums: map[[2]uint64]uint64{}, proposals: map[uint64]*trackedProposal{}}
}

// maxViolations is the maximum number of violations that are described.
const maxViolations = 20

func (j *checker) addViolation(format string, args ...any) {
	if len(j.violations) < maxViolations {
		at := j.lab.World.Now().Sub(j.lab.begin)
		j.violations = append(j.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

// Violations returns a description of each violation of a guarantee, up to maxViolations.
func (l *Lab) Violations() []string { return l.checker.violations }

// Decisions returns the number of checked decisions, by the standing of the agent.
func (l *Lab) Decisions() (full, floor, none uint64) {
	d := l.checker.decisions
	return d.Full, d.Floor, d.New
}

// checkEvents checks the events of a node: logs must never diverge and voters must never stop.
func (j *checker) checkEvents(h *host, events []fleet.Event) {
	for _, e := range events {
		switch e.Kind {
		case fleet.LogDiverged:
			j.addViolation("agent %d: the log differs from agent %d's: %v", h.self, e.Agent, e.Err)
		case fleet.VoterStopped:
			j.addViolation("agent %d: the voter stopped: %v", h.self, e.Err)
		}
	}
}

// check is called after each step of an agent. It checks the agent's log and, as the agent could decide at
// any time, a decision.
func (j *checker) check(h *host) {
	if h.node == nil {
		return
	}
	applied := h.node.Applied()
	key := [2]uint64{applied.Epoch, applied.Seq}
	if sum, isKnown := j.sums[key]; !isKnown {
		j.sums[key] = applied.Sum
	} else if sum != applied.Sum {
		j.addViolation("agent %d has a different record %d of epoch %d", h.self, applied.Seq, applied.Epoch)
	}
	if now := j.lab.World.Now(); applied.Covers(j.newest) && applied != j.newest {
		j.newest = applied
		j.observed = append(j.observed, observedRecord{applied, now})
	}
	j.checkDecision(h)
}

// checkDecision checks a decision of an agent at the present time: an agent that acts with a lease must have
// applied the required position.
func (j *checker) checkDecision(h *host) {
	now := j.lab.World.Now()
	for len(j.observed) > 0 && now.Sub(j.observed[0].firstSeen) > j.lab.opts.Terms.FenceWait() {
		j.required = j.observed[0].position
		j.observed = j.observed[1:]
	}
	if onDecision := j.lab.opts.OnDecision; onDecision != nil {
		onDecision(h.self, now, j.lab.Reading(h.self), h.node)
	}
	switch h.node.Standing(j.lab.Reading(h.self)) {
	case lease.Full:
		j.decisions.Full++
		if !h.node.Applied().Covers(j.required) {
			j.addViolation("agent %d acts on record %d of epoch %d, but record %d of epoch %d is required", h.self,
				h.node.Applied().Seq, h.node.Applied().Epoch, j.required.Seq, j.required.Epoch)
		}
	case lease.Floor:
		j.decisions.Floor++
	default:
		j.decisions.New++
	}
}

// CheckDecisions checks a decision of each running agent at the present time.
func (l *Lab) CheckDecisions() {
	for a, h := range l.hosts {
		if h.node != nil && !l.World.IsPaused(uint32(a)) {
			l.checker.checkDecision(h)
		}
	}
}

// Propose lets an agent propose a record whose result is checked. It returns false if the agent is not
// running.
func (l *Lab) Propose(a int) bool {
	j := &l.checker
	h := l.hosts[a]
	return l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		j.lastNumber++
		t, err := h.node.Propose(h.reading(now), 0, binary.BigEndian.AppendUint64(nil, j.lastNumber), 3*time.Second)
		if err == nil {
			j.proposals[j.lastNumber] = &trackedProposal{
				number: j.lastNumber, host: h, incarnation: h.incarnation, ticket: t, proposedAt: l.World.Now(),
			}
		}
	})
}

// ProposeRecord lets an agent propose a record of a state machine, whose result is not checked. It returns
// false if the agent is not running or rejects the proposal.
func (l *Lab) ProposeRecord(a int, machine uint8, data []byte) (isProposed bool) {
	l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		_, err := l.hosts[a].node.Propose(l.hosts[a].reading(now), machine, data, 3*time.Second)
		isProposed = err == nil
	})
	return isProposed
}

// UpdateOutcomes updates the results of all pending proposals.
func (l *Lab) UpdateOutcomes() {
	for _, p := range l.checker.proposals {
		if p.result == fleet.Pending && p.host.node != nil && p.host.incarnation == p.incarnation {
			if p.result = p.host.node.Result(p.ticket); p.result != fleet.Pending {
				p.epoch, p.latency = p.host.node.Applied().Epoch, l.World.Now().Sub(p.proposedAt)
			}
		}
	}
}

// Results returns the number of proposals by result.
func (l *Lab) Results() map[fleet.Result]int {
	l.UpdateOutcomes()
	counts := map[fleet.Result]int{}
	for _, p := range l.checker.proposals {
		counts[p.result]++
	}
	return counts
}

// RecoverAndCheck ends all faults, runs for the given time, and checks the final state: all agents have
// applied the same records, hold leases and are ready, and the reported results of proposals agree with the
// log.
func (l *Lab) RecoverAndCheck(length time.Duration) {
	l.ClearNetworkFaults()
	for a := range l.hosts {
		l.World.SetClock(uint32(a), 0)
		l.World.Resume(uint32(a))
		l.World.Start(uint32(a))
	}
	l.Run(length)
	l.UpdateOutcomes()
	j := &l.checker
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

// checkResults checks the reported results of proposals against an agent's proposalCounter. If a log was
// lost, only the results of the present one can be checked.
func (j *checker) checkResults(h *host) {
	for n, times := range h.counter.counts {
		if times > 1 {
			j.addViolation("proposal %d was applied %d times", n, times)
		}
		if p := j.proposals[n]; p != nil && p.result == fleet.NotCommitted {
			j.addViolation("proposal %d was reported as not committed, but is in the log", n)
		}
	}
	for _, p := range j.proposals {
		if p.result == fleet.Committed && p.epoch == h.node.Applied().Epoch && h.counter.counts[p.number] == 0 {
			j.addViolation("proposal %d was reported as committed, but is not in the log", p.number)
		}
	}
}
