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

// tally is the machine that is played: it counts what was applied, so that what is done twice shows.
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

// judge sees all agents from the outside, with the true time.
type judge struct {
	lab        *Lab
	sums       map[[2]uint64]uint64 // by epoch and number
	observed   []observedRecord     // records, as they were first agreed, in order of time
	binding    replica.Position     // what nobody may act without any more
	newest     replica.Position
	proposals  map[uint64]*trackedProposal
	last       uint64
	violations []string
	decisions  struct{ Full, Floor, New uint64 }
}

type observedRecord struct {
	position  replica.Position
	firstSeen time.Time
}

// asked is a proposal.
type trackedProposal struct {
	number      uint64
	host        *host
	incarnation uint64
	ticket      fleet.Ticket
	result      fleet.Result
	epoch       uint64 // of the log as it was seen to be taken
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

// Violations are what was promised and not kept, in words; none: all was.
func (l *Lab) Violations() []string { return l.judge.violations }

// Decisions are how many were looked at, by what the agent could act on.
func (l *Lab) Decisions() (full, floor, fresh uint64) {
	d := l.judge.decisions
	return d.Full, d.Floor, d.New
}

// events takes what a node tells staff: that logs differ is never to be.
func (j *judge) events(h *host, events []fleet.Event) {
	for _, e := range events {
		switch e.Kind {
		case fleet.LogDiverged:
			j.addViolation("agent %d: the log differs from agent %d's: %v", h.self, e.Agent, e.Err)
		case fleet.VoterStopped:
			j.addViolation("agent %d: the voter stopped: %v", h.self, e.Err)
		}
	}
}

// look follows each step of an agent: its log, and as it could decide at any moment, what it could act on.
func (j *judge) check(h *host) {
	if h.node == nil {
		return
	}
	at := h.node.Applied()
	key := [2]uint64{at.Epoch, at.Seq}
	if sum, is := j.sums[key]; !is {
		j.sums[key] = at.Sum
	} else if sum != at.Sum {
		j.addViolation("agent %d has another record %d of epoch %d", h.self, at.Seq, at.Epoch)
	}
	if now := j.lab.World.Now(); at.Covers(j.newest) && at != j.newest {
		j.newest = at
		j.observed = append(j.observed, observedRecord{at, now})
	}
	j.checkDecision(h)
}

// decide has an agent decide, and holds it against what binds.
func (j *judge) checkDecision(h *host) {
	now := j.lab.World.Now()
	for len(j.observed) > 0 && now.Sub(j.observed[0].firstSeen) > j.lab.opts.Terms.FenceWait() {
		j.binding = j.observed[0].position
		j.observed = j.observed[1:]
	}
	if decided := j.lab.opts.OnDecision; decided != nil {
		decided(h.self, now, j.lab.Reading(h.self), h.node)
	}
	switch h.node.Standing(j.lab.Reading(h.self)) {
	case lease.Full:
		j.decisions.Full++
		if !h.node.Applied().Covers(j.binding) {
			j.addViolation("agent %d acts on record %d of epoch %d, where %d of %d binds", h.self, h.node.Applied().Seq,
				h.node.Applied().Epoch, j.binding.Seq, j.binding.Epoch)
		}
	case lease.Floor:
		j.decisions.Floor++
	default:
		j.decisions.New++
	}
}

// Decide has all agents that run decide now, beside what they do by themselves.
func (l *Lab) Decide() {
	for a, h := range l.hosts {
		if h.node != nil && !l.World.IsPaused(uint32(a)) {
			l.judge.checkDecision(h)
		}
	}
}

// Propose has an agent propose something, and follows what becomes of it; false: it does not run.
func (l *Lab) Propose(a int) bool {
	j := &l.judge
	h := l.hosts[a]
	return l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		j.last++
		t, err := h.node.Propose(h.reading(now), 0, binary.BigEndian.AppendUint64(nil, j.last), 3*time.Second)
		if err == nil {
			j.proposals[j.last] = &trackedProposal{number: j.last, host: h, incarnation: h.incarnation, ticket: t, at: l.World.Now()}
		}
	})
}

// ProposeRecord has an agent propose a record of what is above, and looks no further; false: it does not
// run.
func (l *Lab) ProposeRecord(a int, machine uint8, data []byte) (asked bool) {
	l.World.Call(uint32(a), func(_ simnet.Process, now time.Time) {
		_, err := l.hosts[a].node.Propose(l.hosts[a].reading(now), machine, data, 3*time.Second)
		asked = err == nil
	})
	return asked
}

// UpdateOutcomes looks what became of all proposals.
func (l *Lab) UpdateOutcomes() {
	for _, p := range l.judge.proposals {
		if p.result == fleet.Pending && p.host.node != nil && p.host.incarnation == p.incarnation {
			if p.result = p.host.node.Result(p.ticket); p.result != fleet.Pending {
				p.epoch, p.took = p.host.node.Applied().Epoch, l.World.Now().Sub(p.at)
			}
		}
	}
}

// Results counts proposals by what became of them.
func (l *Lab) Results() map[fleet.Result]int {
	l.UpdateOutcomes()
	counts := map[fleet.Result]int{}
	for _, p := range l.judge.proposals {
		counts[p.result]++
	}
	return counts
}

// Settle ends all troubles, waits for so long, and judges the end: all agents are alike, hold leases and
// are ready, and what was told of each proposal is true.
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
			j.addViolation("agent %d at the end: %v, ready %t, at %v, agent 0 at %v", a, s.Standing, s.Ready, s.Applied,
				l.hosts[0].node.Applied())
			if s.Voter != nil {
				j.addViolation("agent %d: voter %v %v", a, s.Voter.Phase, s.Voter.Identity)
			}
		}
	}
	j.end(l.hosts[0])
}

// end holds what was told of proposals against an agent's tally. Where a log was lost, only what the
// present one has can be held against anything.
func (j *judge) end(h *host) {
	for n, times := range h.tally.times {
		if times > 1 {
			j.addViolation("proposal %d was done %d times", n, times)
		}
		if p := j.proposals[n]; p != nil && p.result == fleet.NotCommitted {
			j.addViolation("proposal %d was told not taken, and is in the log", n)
		}
	}
	for _, p := range j.proposals {
		if p.result == fleet.Committed && p.epoch == h.node.Applied().Epoch && h.tally.times[p.number] == 0 {
			j.addViolation("proposal %d was told taken, and is not in the log", p.number)
		}
	}
}
