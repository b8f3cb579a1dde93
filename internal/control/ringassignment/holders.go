package ringassignment

import (
	"encoding/binary"
	"math"
	"time"

	"dunestep/internal/fleet/lease"
)

// Mark names a generation: agents send it to voters once they have applied it, and voters to each other once
// all that hold a lease from them have. EffectiveAt tells generations of a log that was started anew apart.
type Mark struct {
	Number      uint64
	EffectiveAt time.Duration
}

// MarkSize is how many bytes an encoded Mark has.
const MarkSize = 16

// Encode appends the mark's bytes.
func (m Mark) Encode(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, m.Number), uint64(m.EffectiveAt))
}

// DecodeMark reads a mark; false: the bytes are none.
func DecodeMark(b []byte) (m Mark, ok bool) {
	if len(b) != MarkSize {
		return m, false
	}
	return Mark{binary.BigEndian.Uint64(b), time.Duration(binary.BigEndian.Uint64(b[8:]))}, true
}

// covers tells whether a process that has applied m has applied the other generation.
func (m Mark) covers(other Mark) bool {
	return m.Number >= other.Number && m.EffectiveAt >= other.EffectiveAt
}

func (st *State) mark() Mark { return Mark{st.Number, st.EffectiveAt} }

// holders are the processes that may hold a lease from this voter, so that the next generation need not wait
// for the fence. A lease covers all that was agreed up to Terms.MaxKnowledgeAge before it was granted. So,
// that long after the voter applied a generation, no lease that it grants can leave the generation out, and
// only holders of earlier leases have to have reported it.
type holders struct {
	terms lease.Terms
	// startedAt is when this process began. An earlier process of this voter may have granted leases before it,
	// of which nothing is known here.
	startedAt lease.ClockReading
	agents    map[int][]holder
}

// holder is a process that was granted a lease.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // the last time
	applied     Mark
}

// maxProcesses is how many processes of one agent are told apart; during an upgrade there are two.
const maxProcesses = 4

// withClockDrift is how long this machine has to wait by its own clocks for a duration that another machine
// measures by its clocks.
func (h *holders) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+h.terms.MaxDrift)/(1-h.terms.MaxDrift))) + 1
}

// minElapsed is the least time that has passed between two readings: the one of the two clocks that advanced
// less counts.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}

// isExpired tells whether a holder's last lease is over by any clock.
func (h *holders) isExpired(o holder, now lease.ClockReading) bool {
	return minElapsed(o.grantedAt, now) >= h.withClockDrift(h.terms.Duration)
}

// leaseGranted notes a lease. Where one agent has too many processes, the last two are merged into one that
// has applied what both have.
func (h *holders) leaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	if o, spare := h.find(now, agent, incarnation); o != nil {
		o.grantedAt = now
	} else {
		spare.incarnation, spare.grantedAt, spare.applied = incarnation, now, Mark{}
	}
}

// markReceived notes what a process has applied, also of one that has no lease from here yet.
func (h *holders) markReceived(now lease.ClockReading, agent int, incarnation uint64, m Mark) {
	if o, spare := h.find(now, agent, incarnation); o == nil && h.isExpired(*spare, now) {
		*spare = holder{incarnation: incarnation, applied: m}
	} else if o != nil && m.covers(o.applied) {
		o.applied = m
	}
}

// find is the entry of a process; nil: it has none, and spare is one for it, that of an expired lease if
// there is one.
func (h *holders) find(now lease.ClockReading, agent int, incarnation uint64) (found, spare *holder) {
	processes := h.agents[agent]
	for i := range processes {
		if processes[i].incarnation == incarnation {
			return &processes[i], nil
		}
		if spare == nil || h.isExpired(processes[i], now) {
			spare = &processes[i]
		}
	}
	if len(processes) < maxProcesses {
		h.agents[agent] = append(processes, holder{})
		spare = &h.agents[agent][len(processes)]
	}
	return nil, spare
}

// allApplied tells whether no process holds a lease from here that leaves out a generation which was applied
// here at a time.
func (h *holders) allApplied(now, appliedAt lease.ClockReading, m Mark) bool {
	if minElapsed(h.startedAt, now) < h.withClockDrift(h.terms.Duration) {
		return false
	}
	if minElapsed(appliedAt, now) < h.withClockDrift(h.terms.MaxKnowledgeAge) {
		return false
	}
	for _, processes := range h.agents {
		for _, o := range processes {
			if !o.applied.covers(m) && !h.isExpired(o, now) {
				return false
			}
		}
	}
	return true
}
