package maintenance

import (
	"encoding/binary"
	"maps"
	"time"

	"dunestep/internal/fleet/lease"
)

// The methods below serve the model checker (package search), which copies the components of a simulated
// world before each step and distinguishes worlds by fingerprints.

// Fork returns an independent copy.
func (p *Proposer) Fork() *Proposer {
	fork := *p
	fork.progress, fork.lastProposed = maps.Clone(p.progress), maps.Clone(p.lastProposed)
	fork.reports.agents, fork.reports.lastLeaseAt = maps.Clone(p.reports.agents),
		maps.Clone(p.reports.lastLeaseAt)
	return &fork
}

// ResetRetries clears the retry times, so that the proposer proposes its records again at once, and drops all
// reports. The model checker calls it because no time passes between the steps of a search.
func (p *Proposer) ResetRetries() {
	p.lastProposed, p.reports = map[string]lastRecord{}, newReportLog(p.reports.leaseLength)
}

// SetReports replaces all reports by one report of one agent with these counts. The reports count as received
// without a break for long enough to be complete.
func (p *Proposer) SetReports(now lease.ClockReading, counts []TenantCounts) {
	ago := max(MinReportLeases*p.reports.leaseLength, SumPeriod)
	p.reports.hasReports, p.reports.lastReceivedAt = true, now
	p.reports.unbrokenSince = lease.ClockReading{Unix: now.Unix - ago, Mono: now.Mono - ago}
	p.reports.agents = map[int][]receivedReport{0: {{Report{Counts: counts}, now}}}
}

// FingerprintDetail selects which differences a fingerprint distinguishes.
type FingerprintDetail uint8

const (
	// DetailAll distinguishes all differences.
	DetailAll FingerprintDetail = iota
	// DetailEffective omits what no longer has an effect at a proposer that knows the whole log: the time at
	// which a state other than Planned was applied, the time without a fault of a window that can no longer be
	// paused, and everything about a window that returns.
	DetailEffective
	// DetailLagging applies to a proposer that does not know the whole log: its proposals have no effect, and it
	// applies the missing records later.
	DetailLagging
	// DetailFaultFree is DetailEffective for worlds in which no more faults occur: a past fault is over at the
	// next check, and the time without a fault matters only for a paused window.
	DetailFaultFree
	// DetailFaultFreeLagging combines DetailFaultFree and DetailLagging; the window may be paused.
	DetailFaultFreeLagging
	// DetailCount is the number of the values above.
	DetailCount
)

// Fingerprint appends to b, and returns, what distinguishes the proposer from others that have applied the
// same records and whose retries were reset. MaxWait is the longest time that it waits after a record is
// applied.
func (p *Proposer) Fingerprint(now lease.ClockReading, maxWait time.Duration, d FingerprintDetail,
	b []byte,
) []byte {
	for _, w := range p.windows {
		progress := p.progress[w.ID]
		if d != DetailAll && (w.State == Returning || w.isOver()) {
			continue
		}
		if d == DetailAll || (d == DetailEffective || d == DetailFaultFree) && w.State == Planned {
			b = appendAge(b, progress.appliedAt, now, maxWait)
		}
		if d >= DetailFaultFree {
			if d == DetailFaultFreeLagging || w.State == Paused {
				b = progress.appendHealthy(b, now)
			}
			continue
		}
		if b = append(b, byte(progress.fault.Kind)); progress.fault.Kind != NoFault {
			b = appendAge(b, progress.faultSince, now, maxFaultTime)
		} else if d == DetailAll || w.State != Free {
			b = progress.appendHealthy(b, now)
		}
	}
	return b
}

// appendHealthy appends how long there has been no fault, or 0xff if there is one or none was observed yet.
func (l *windowProgress) appendHealthy(b []byte, now lease.ClockReading) []byte {
	if l.fault.Kind != NoFault || l.healthySince == (lease.ClockReading{}) {
		return append(b, 0xff)
	}
	return appendAge(b, l.healthySince, now, recoveryTime)
}

// appendAge appends the age of a clock reading, bounded by maxAge, above which the age makes no difference.
func appendAge(b []byte, r, now lease.ClockReading, maxAge time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(minElapsed(r, now), maxAge)))
}

// IsTrafficFreeRecord reports whether a record declares a window's servers free.
func IsTrafficFreeRecord(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kindTrafficFree
}
