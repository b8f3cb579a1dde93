package maintenance

import (
	"encoding/binary"
	"maps"
	"time"

	"dunestep/internal/fleet/lease"
)

// For searches that try all that can happen (package search): parts of a world are copied before each step,
// and told apart by their fingerprints.

// Fork returns a copy that goes its own way.
func (c *Proposer) Fork() *Proposer {
	d := *c
	d.progress, d.lastProposed = maps.Clone(c.progress), maps.Clone(c.lastProposed)
	d.reports.agents, d.reports.leases = maps.Clone(c.reports.agents), maps.Clone(c.reports.leases)
	return &d
}

// ResetRetries has the council propose again at once what it proposed, and forget what it heard: time stands still
// between a search's steps.
func (c *Proposer) ResetRetries() {
	c.lastProposed, c.reports = map[string]lastRecord{}, reportLog{
		agents: map[int][]receivedReport{}, leases: map[int]lease.ClockReading{},
		leaseLength: c.reports.leaseLength,
	}
}

// SetReports has the council have heard one agent for long, which tells this now.
func (c *Proposer) SetReports(now lease.ClockReading, counts []TenantCounts) {
	ago := max(MinReportLeases*c.reports.leaseLength, SumPeriod)
	c.reports.started, c.reports.last = true, now
	c.reports.since = lease.ClockReading{Unix: now.Unix - ago, Mono: now.Mono - ago}
	c.reports.agents = map[int][]receivedReport{0: {{loadReport{Counts: counts}, now}}}
}

// FingerprintDetail is how much a fingerprint tells.
type FingerprintDetail uint8

const (
	// Everything there is.
	Everything FingerprintDetail = iota
	// Alive leaves out what can't matter any more to one that knows all that is agreed: when what is not planned
	// was applied, how long all has been well where it can't be paused any more, and everything once it returns.
	Alive
	// Lagging is of one that does not know all: what it proposes counts for nothing, and it applies what it
	// lacks later.
	Lagging
	// Quiet is Alive where no trouble is to come: what there was is over at the next look, and how long all has
	// been well matters to a paused one alone.
	Quiet
	// QuietLagging is both, where it may be paused.
	QuietLagging
	FingerprintDetails
)

// Fingerprint appends what tells the council from others that have learnt the same records and have hurried.
// MaxUtilization is the longest that it waits after records.
func (c *Proposer) Fingerprint(now lease.ClockReading, most time.Duration, d FingerprintDetail, b []byte) []byte {
	for _, f := range c.windows {
		l := c.progress[f.ID]
		if d != Everything && (f.State == Returning || f.isOver()) {
			continue
		}
		if d == Everything || (d == Alive || d == Quiet) && f.State == Planned {
			b = age(b, l.appliedAt, now, most)
		}
		if d >= Quiet {
			if d == QuietLagging || f.State == Paused {
				b = l.appendHealthy(b, now)
			}
			continue
		}
		if b = append(b, byte(len(l.fault))); l.fault != "" {
			b = age(b, l.faultSince, now, maxFaultTime)
		} else if d == Everything || f.State != Free {
			b = l.appendHealthy(b, now)
		}
	}
	return b
}

// calmed appends since when all is well, or that the next look without trouble is the first.
func (l *windowProgress) appendHealthy(b []byte, now lease.ClockReading) []byte {
	if l.fault != "" || l.healthySince == (lease.ClockReading{}) {
		return append(b, 0xff)
	}
	return age(b, l.healthySince, now, recoveryTime)
}

// age appends how old a reading is, as far as that counts.
func age(b []byte, r, now lease.ClockReading, most time.Duration) []byte {
	return binary.AppendVarint(b, int64(min(minElapsed(r, now), most)))
}

// IsTrafficFreeRecord tells whether a record has a window be free.
func IsTrafficFreeRecord(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kindTrafficFree
}
