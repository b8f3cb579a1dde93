package maintenance

import (
	"encoding/binary"
	"maps"
	"time"

	"dunestep/internal/fleet/lease"
)

// The model checker (package search) copies the parts of a world before each step, and tells worlds apart by
// their fingerprints.

// Fork returns an independent copy.
func (p *Proposer) Fork() *Proposer {
	fork := *p
	fork.progress, fork.lastProposed = maps.Clone(p.progress), maps.Clone(p.lastProposed)
	fork.reports.agents, fork.reports.leases = maps.Clone(p.reports.agents), maps.Clone(p.reports.leases)
	return &fork
}

// ResetRetries has the proposer propose at once again what it proposed, and forget all reports: no time
// passes between a search's steps.
func (p *Proposer) ResetRetries() {
	p.lastProposed, p.reports = map[string]lastRecord{}, newReportLog(p.reports.leaseLength)
}

// SetReports has the proposer have received one agent's reports for long, the latest with these counts.
func (p *Proposer) SetReports(now lease.ClockReading, counts []TenantCounts) {
	ago := max(MinReportLeases*p.reports.leaseLength, SumPeriod)
	p.reports.started, p.reports.last = true, now
	p.reports.since = lease.ClockReading{Unix: now.Unix - ago, Mono: now.Mono - ago}
	p.reports.agents = map[int][]receivedReport{0: {{Report{Counts: counts}, now}}}
}

// FingerprintDetail is how much a fingerprint distinguishes.
type FingerprintDetail uint8

const (
	// Everything distinguishes all that there is.
	Everything FingerprintDetail = iota
	// Alive leaves out what has no effect any more at a proposer that knows the whole log: when a window that is
	// not planned was applied, how long there has been no fault where it cannot be paused any more, and
	// everything once it returns.
	Alive
	// Lagging is for a proposer that does not know the whole log: what it proposes has no effect, and it applies
	// what it lacks later.
	Lagging
	// Quiet is Alive where no fault is to come: a past one is over at the next check, and how long there has
	// been none matters to a paused window alone.
	Quiet
	// QuietLagging is both Quiet and Lagging, where the window may be paused.
	QuietLagging
	// FingerprintDetails is the number of these.
	FingerprintDetails
)

// Fingerprint appends what distinguishes the proposer from others that have learnt the same records and whose
// retries were reset. MaxWait is the longest that it waits after records.
func (p *Proposer) Fingerprint(now lease.ClockReading, maxWait time.Duration, d FingerprintDetail,
	b []byte,
) []byte {
	for _, w := range p.windows {
		progress := p.progress[w.ID]
		if d != Everything && (w.State == Returning || w.isOver()) {
			continue
		}
		if d == Everything || (d == Alive || d == Quiet) && w.State == Planned {
			b = age(b, progress.appliedAt, now, maxWait)
		}
		if d >= Quiet {
			if d == QuietLagging || w.State == Paused {
				b = progress.appendHealthy(b, now)
			}
			continue
		}
		if b = append(b, byte(progress.fault.Kind)); progress.fault.Kind != NoFault {
			b = age(b, progress.faultSince, now, maxFaultTime)
		} else if d == Everything || w.State != Free {
			b = progress.appendHealthy(b, now)
		}
	}
	return b
}

// appendHealthy appends since when there has been no fault, or that the next check without one is the first.
func (l *windowProgress) appendHealthy(b []byte, now lease.ClockReading) []byte {
	if l.fault.Kind != NoFault || l.healthySince == (lease.ClockReading{}) {
		return append(b, 0xff)
	}
	return age(b, l.healthySince, now, recoveryTime)
}

// age appends the age of a reading, bounded by the greatest age that makes a difference.
func age(b []byte, r, now lease.ClockReading, maxAge time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(minElapsed(r, now), maxAge)))
}

// IsTrafficFreeRecord tells whether a record declares a window's servers free.
func IsTrafficFreeRecord(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kindTrafficFree
}
