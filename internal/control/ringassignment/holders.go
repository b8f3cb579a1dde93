package ringassignment

import (
	"encoding/binary"
	"math"
	"time"

	"dunestep/internal/fleet/lease"
)

// GenerationID identifies a generation. Agents send it to voters once they have applied the generation, and
// voters send it to each other once all holders of their leases have applied it. EffectiveAt distinguishes
// generations with the same number in a former log and in the new log that replaced it.
type GenerationID struct {
	Number      uint64
	EffectiveAt time.Duration
}

// GenerationIDSize is the size of an encoded GenerationID, in bytes.
const GenerationIDSize = 16

// Encode appends the encoded generation ID to b.
func (m GenerationID) Encode(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, m.Number), uint64(m.EffectiveAt))
}

// DecodeGenerationID decodes a generation ID. It returns false if b does not have GenerationIDSize bytes.
func DecodeGenerationID(b []byte) (m GenerationID, ok bool) {
	if len(b) != GenerationIDSize {
		return m, false
	}
	return GenerationID{binary.BigEndian.Uint64(b), time.Duration(binary.BigEndian.Uint64(b[8:]))}, true
}

// covers reports whether a process that has applied m has also applied the other generation.
func (m GenerationID) covers(other GenerationID) bool {
	return m.Number >= other.Number && m.EffectiveAt >= other.EffectiveAt
}

func (st *State) generationID() GenerationID { return GenerationID{st.Number, st.EffectiveAt} }

// holders tracks the processes that may hold a lease from this voter. Once all of them have applied the
// current generation, the next one need not wait for the fence. A lease covers all records that were agreed
// up to Terms.MaxKnowledgeAge before it was granted. So, once that time has passed since the voter applied a
// generation, each new lease covers the generation, and only the holders of earlier leases have to report it.
type holders struct {
	terms lease.Terms
	// startedAt is the start of this process. Before it, an earlier process of this voter may have granted
	// leases that are not known here.
	startedAt lease.ClockReading
	agents    map[int][]holder
}

// holder is a process that was granted a lease.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // time of the last grant
	applied     GenerationID
}

// maxProcesses is the maximum number of processes of one agent that are tracked separately; during an upgrade
// an agent has two.
const maxProcesses = 4

// withClockDrift returns how long this machine has to wait by its own clocks until a duration d has passed by
// another machine's clocks.
func (h *holders) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+h.terms.MaxDrift)/(1-h.terms.MaxDrift))) + 1
}

// minElapsed returns the time between two readings by the clock (wall or monotonic) that advanced less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}

// isExpired reports whether a holder's last lease has expired by every clock.
func (h *holders) isExpired(o holder, now lease.ClockReading) bool {
	return minElapsed(o.grantedAt, now) >= h.withClockDrift(h.terms.Duration)
}

// leaseGranted records a granted lease. If the agent has more than maxProcesses, the new process takes over
// the entry of another one. The entry then counts as having applied nothing, so that it is valid for both.
func (h *holders) leaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	if o, spare := h.find(now, agent, incarnation); o != nil {
		o.grantedAt = now
	} else {
		spare.incarnation, spare.grantedAt, spare.applied = incarnation, now, GenerationID{}
	}
}

// appliedGenerationReceived records the generation that a process has applied, even if the process has no
// lease from this voter yet.
func (h *holders) appliedGenerationReceived(now lease.ClockReading, agent int, incarnation uint64,
	m GenerationID,
) {
	if o, spare := h.find(now, agent, incarnation); o == nil && h.isExpired(*spare, now) {
		*spare = holder{incarnation: incarnation, applied: m}
	} else if o != nil && m.covers(o.applied) {
		o.applied = m
	}
}

// find returns the entry of a process. If it has none, find returns nil and a spare entry that can be
// overwritten, one of an expired lease if possible.
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

// allApplied reports whether every process that may hold a lease from this voter has applied the generation
// m, which was applied here at appliedAt.
func (h *holders) allApplied(now, appliedAt lease.ClockReading, m GenerationID) bool {
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
