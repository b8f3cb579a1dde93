package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// The model checker (package search) copies the parts of a simulated fleet before each step, and identifies
// the fleet's states by the fingerprints of the parts.

// Fork returns an independent copy of the agent.
func (a *Agent) Fork() *Agent {
	b := *a
	b.acknowledgedBy = slices.Clone(a.acknowledgedBy)
	return &b
}

// Fork returns an independent copy of the voter.
func (v *Voter) Fork() *Voter {
	w := *v
	w.holders = make(map[int][]holder, len(v.holders))
	for agent, processes := range v.holders {
		w.holders[agent] = slices.Clone(processes)
	}
	return &w
}

// Fork returns an independent copy of the proposer.
func (p *Proposer) Fork() *Proposer { fork := *p; return &fork }

// ResetRetries lets the voter repeat its last proposal at once. A search needs this because no time passes
// between its steps.
func (v *Voter) ResetRetries() { v.proposedFor, v.retryAt = 0, 0 }

// ResetRetries lets the proposer repeat its last proposal at once.
func (p *Proposer) ResetRetries() { p.last, p.retryAt = lastProposal{}, 0 }

// Fingerprint appends to b what distinguishes the agent from others that have applied the same records, as
// long as no floor that it knows expires.
func (a *Agent) Fingerprint(b []byte) []byte {
	hadLease := byte(0)
	if a.hadLease {
		hadLease = 1
	}
	return append(b, byte(a.lastAnswer.Version), byte(a.lastAnswer.Code), byte(a.newestEffective), hadLease)
}

// Fingerprint appends to b what distinguishes the voter from others that have applied the same records.
func (v *Voter) Fingerprint(now lease.ClockReading, b []byte) []byte {
	b = appendAge(b, v.startedAt, now, v.times.maxLeaseAge())
	b = append(b, byte(v.rejection.agent), byte(v.rejection.answer.Version))
	for _, agent := range slices.Sorted(maps.Keys(v.holders)) {
		for _, h := range v.holders[agent] {
			if h.answer.Code == Accepted && v.isExpired(h, now) {
				continue // an expired lease of a process that has promised has no effect
			}
			b = append(appendAge(b, h.grantedAt, now, v.times.maxLeaseAge()), byte(agent), byte(h.incarnation),
				byte(h.answer.Version), byte(h.answer.Code))
		}
	}
	return b
}

// Fingerprint appends to b what distinguishes the proposer from others that have applied the same records.
func (p *Proposer) Fingerprint(now lease.ClockReading, b []byte) []byte {
	wait := p.times.Terms.FenceWait()
	return appendAge(appendAge(append(b, byte(p.openNumber)), p.votersSince, now, wait), p.openSince, now, wait)
}

// appendAge appends to b the age of a clock reading, limited to maxAge, above which ages make no difference.
func appendAge(b []byte, r, now lease.ClockReading, maxAge time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(minElapsed(r, now), maxAge)))
}
