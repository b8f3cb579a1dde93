package ringassignment

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Mark is a generation, as agents tell voters that they have applied it, and voters each other that all have
// that hold a lease from them. EffectiveAt keeps those of a log that began anew apart.
type Mark struct {
	Number      uint64
	EffectiveAt time.Duration
}

// MarkSize is how many bytes a Mark has.
const MarkSize = 16

// Encode appends the mark's bytes.
func (m Mark) Encode(b []byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, m.Number), uint64(m.EffectiveAt))
}

// DecodeMark reads a mark; ok is false where it is none.
func DecodeMark(b []byte) (m Mark, ok bool) {
	if len(b) != MarkSize {
		return m, false
	}
	return Mark{binary.BigEndian.Uint64(b), time.Duration(binary.BigEndian.Uint64(b[8:]))}, true
}

// covers tells whether who has applied m has applied the other.
func (m Mark) covers(other Mark) bool {
	return m.Number >= other.Number && m.EffectiveAt >= other.EffectiveAt
}

func (st *State) mark() Mark { return Mark{st.Number, st.EffectiveAt} }

// holders are who may hold a lease that was granted here, so that the next generation need not wait for the
// fence. What a voter grants names all that was agreed Heard before; so after that time since it applied a
// generation no grant can leave that out, and only who holds an earlier one has to have told.
type holders struct {
	terms     lease.Terms
	startedAt lease.ClockReading // before it, an earlier process may have granted leases that nobody knows of
	agents    map[int][]holder
}

// holder is a process that a lease was granted to.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // the last time
	applied     Mark
}

// maxProcesses of one agent are told apart: at an upgrade there are two for a while.
const maxProcesses = 4

func (h *holders) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+h.terms.MaxDrift)/(1-h.terms.MaxDrift))) + 1
}

// since is how long ago an earlier reading was at the least, by the clock that says less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}

func (h *holders) isExpired(o holder, now lease.ClockReading) bool {
	return minElapsed(o.grantedAt, now) >= h.withClockDrift(h.terms.Duration)
}

// granted notes a lease. Of too many processes of one agent the last two count as one that has what both
// have.
func (h *holders) leaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	if o, spare := h.find(now, agent, incarnation); o != nil {
		o.grantedAt = now
	} else {
		spare.incarnation, spare.grantedAt, spare.applied = incarnation, now, Mark{}
	}
}

// told takes what a process has applied, also of one that has no lease from here yet.
func (h *holders) markReceived(now lease.ClockReading, agent int, incarnation uint64, m Mark) {
	if o, spare := h.find(now, agent, incarnation); o == nil && h.isExpired(*spare, now) {
		*spare = holder{incarnation: incarnation, applied: m}
	} else if o != nil && m.covers(o.applied) {
		o.applied = m
	}
}

// of is the entry of a process; nil: none, and spare is one for it: of a lease that is over, if there is any.
func (h *holders) find(now lease.ClockReading, agent int, incarnation uint64) (o, spare *holder) {
	all := h.agents[agent]
	for i := range all {
		if all[i].incarnation == incarnation {
			return &all[i], nil
		}
		if spare == nil || h.isExpired(all[i], now) {
			spare = &all[i]
		}
	}
	if len(all) < maxProcesses {
		h.agents[agent] = append(all, holder{})
		spare = &h.agents[agent][len(all)]
	}
	return nil, spare
}

// all tells whether nobody goes by a lease from here that leaves out a generation applied here at a time.
func (h *holders) allApplied(now, applied lease.ClockReading, m Mark) bool {
	if minElapsed(h.startedAt, now) < h.withClockDrift(h.terms.Duration) || minElapsed(applied, now) < h.withClockDrift(h.terms.MaxKnowledgeAge) {
		return false
	}
	for _, all := range h.agents {
		for _, o := range all {
			if !o.applied.covers(m) && !h.isExpired(o, now) {
				return false
			}
		}
	}
	return true
}

// SetMembers takes who may grant leases, and any number that changes whenever one of them does. While those who
// just could may have granted leases that hold, only the fence counts.
func (c *Proposer) SetMembers(now lease.ClockReading, members []int, generation uint64) {
	if c.membersKnown && c.membership == generation && slices.Equal(c.members, members) {
		return
	}
	c.members, c.membership, c.membersSince, c.membersKnown = slices.Clone(members), generation, now, true
	c.reports = map[int]Mark{}
}

// LeaseGranted takes that this voter grants a lease, at the moment at which it does.
func (c *Proposer) LeaseGranted(now lease.ClockReading, agent int, incarnation uint64) {
	c.holders.leaseGranted(now, agent, incarnation)
}

// MarkReceived takes what an agent's process has applied.
func (c *Proposer) MarkReceived(now lease.ClockReading, agent int, incarnation uint64, m Mark) {
	c.holders.markReceived(now, agent, incarnation, m)
}

// Report is what this voter tells the others: that all that go by its leases have the present generation.
func (c *Proposer) Report(now lease.ClockReading) (m Mark, tell bool) {
	m = c.state.mark()
	return m, c.state.Number > 0 && !c.params.Terms.FencePassed(c.appliedAt, now) && c.holders.allApplied(now, c.appliedAt, m)
}

// ReportReceived takes another voter's report.
func (c *Proposer) ReportReceived(voter int, m Mark) {
	if slices.Contains(c.members, voter) && m.covers(c.reports[voter]) {
		c.reports[voter] = m
	}
}

// early tells whether all voters have reported the present generation.
func (c *Proposer) allReported(now lease.ClockReading) bool {
	if !c.membersKnown || len(c.members) == 0 || !c.params.Terms.FencePassed(c.membersSince, now) {
		return false
	}
	for _, v := range c.members {
		if m, is := c.reports[v]; !is || !m.covers(c.state.mark()) {
			return false
		}
	}
	return true
}
