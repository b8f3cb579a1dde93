package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// For searches that try all that can happen (package search): parts of a world are copied before each step,
// and told apart by their fingerprints.

// Fork returns a copy that goes its own way.
func (a *Agent) Fork() *Agent {
	b := *a
	b.acknowledgedBy = slices.Clone(a.acknowledgedBy)
	return &b
}

// Fork returns a copy that goes its own way.
func (v *Voter) Fork() *Voter {
	w := *v
	w.holders = make(map[int][]holder, len(v.holders))
	for agent, all := range v.holders {
		w.holders[agent] = slices.Clone(all)
	}
	return &w
}

// Fork returns a copy that goes its own way.
func (c *Proposer) Fork() *Proposer { d := *c; return &d }

// ResetRetries has the voter propose again at once what it proposed: time stands still between a search's steps.
func (v *Voter) ResetRetries() { v.proposedFor, v.retryAt = 0, 0 }

// ResetRetries has the council propose again at once what it proposed.
func (c *Proposer) ResetRetries() { c.last, c.retryAt = lastProposal{}, 0 }

// Fingerprint appends what tells the agent from others that have learnt the same records, as long as no floor
// that it knows runs out.
func (a *Agent) Fingerprint(b []byte) []byte {
	return append(b, byte(a.lastAnswer.Version), byte(a.lastAnswer.Code), byte(a.newestEffective), bit(a.hadLease))
}

// Fingerprint appends what tells the voter from others that have learnt the same records.
func (v *Voter) Fingerprint(now lease.ClockReading, b []byte) []byte {
	b = age(b, v.startedAt, now, v.times.maxLeaseAge())
	b = append(b, byte(v.rejection.agent), byte(v.rejection.answer.Version))
	for _, agent := range slices.Sorted(maps.Keys(v.holders)) {
		for _, h := range v.holders[agent] {
			if h.answer.Code == Accepted && minElapsed(h.grantedAt, now) >= v.times.maxLeaseAge() {
				continue // it plays no part any more
			}
			b = append(age(b, h.grantedAt, now, v.times.maxLeaseAge()), byte(agent), byte(h.incarnation),
				byte(h.answer.Version), byte(h.answer.Code))
		}
	}
	return b
}

// Fingerprint appends what tells the council from others that have learnt the same records.
func (c *Proposer) Fingerprint(now lease.ClockReading, b []byte) []byte {
	wait := c.times.Terms.FenceWait()
	return age(age(append(b, byte(c.openNumber)), c.votersSince, now, wait), c.openSince, now, wait)
}

func bit(is bool) byte {
	if is {
		return 1
	}
	return 0
}

// age appends how old a reading is, as far as that counts.
func age(b []byte, r, now lease.ClockReading, most time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(minElapsed(r, now), most)))
}
