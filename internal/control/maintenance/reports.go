package maintenance

import (
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// TenantCounts is how a tenant's requests fared at one agent since its last report.
type TenantCounts struct {
	_                  struct{} `cbor:",toarray"`
	Tenant             string
	Requests           uint32
	Served             uint32
	Failed             uint32 // or rejected
	ExclusionOverrides uint32 // sent to a server that they should have kept off, as no other was left
}

// isServedBelow tells whether a smaller fraction of the requests was served than a minimum, 0 to 1. Few
// requests tell nothing.
func (c TenantCounts) isServedBelow(minServed float64) bool {
	return c.Requests >= minRequests && float64(c.Served) < minServed*float64(c.Served+c.Failed)
}

// Report is what an agent sends to the voters while a window moves traffic. It is encoded as an array.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Number      uint64         // grows with each report of an incarnation
	Overloaded  bool           // the agent sheds load
	Counts      []TenantCounts // since the last report, at most MaxCounts
}

const (
	// ReportInterval is how often agents report.
	ReportInterval = 2 * time.Second
	// SumPeriod is how long a report counts.
	SumPeriod = 10 * time.Second
	// MinReportLeases is for how long, in durations of a lease, a voter has to have received reports before the
	// lack of a report counts too; it is never less than SumPeriod.
	MinReportLeases = 7
	// MaxCounts is the most tenants of one report.
	MaxCounts = 32

	maxSilence         = 3 * ReportInterval // without a report of any agent, for reports to count as unbroken
	maxReportSize      = 8 << 10            // bytes
	maxAgents          = 512                // whose reports are kept
	maxReports         = 6                  // kept of one agent
	maxLeaseGap        = 15                 // durations of a lease within which a holder has asked each voter
	minRequests        = 20                 // of a tenant within SumPeriod that tell about its service
	overloadedFraction = 0.2                // of the agents that report; more are a fault
)

// EncodeReport returns the bytes of a report. Counts beyond MaxCounts are left out.
func EncodeReport(r Report) []byte {
	r.Counts = r.Counts[:min(len(r.Counts), MaxCounts)]
	return marshal(r)
}

// receivedReport is a report, and when it came.
type receivedReport struct {
	Report
	receivedAt lease.ClockReading
}

// reportLog is what one voter has lately received.
type reportLog struct {
	agents      map[int][]receivedReport // the newest last
	since       lease.ClockReading       // reports have come without a break
	last        lease.ClockReading       // when one came last
	started     bool                     // since and last are valid
	leases      map[int]lease.ClockReading
	leaseLength time.Duration
}

func newReportLog(leaseLength time.Duration) reportLog {
	return reportLog{
		agents: map[int][]receivedReport{}, leases: map[int]lease.ClockReading{},
		leaseLength: leaseLength,
	}
}

// add takes a report. One that comes twice, or after a later one, is ignored.
func (l *reportLog) add(now lease.ClockReading, agent int, data []byte) {
	var r Report
	if len(data) > maxReportSize || decoding.Unmarshal(data, &r) != nil || len(r.Counts) > MaxCounts {
		return
	}
	reports, known := l.agents[agent]
	if !known && len(l.agents) >= maxAgents {
		return
	}
	for _, earlier := range reports {
		if earlier.Incarnation > r.Incarnation ||
			earlier.Incarnation == r.Incarnation && earlier.Number >= r.Number {
			return
		}
	}
	if !l.started || now.Since(l.last) > maxSilence {
		l.since, l.started = now, true
	}
	l.last = now
	reports = append(reports, receivedReport{r, now})
	l.agents[agent] = reports[max(len(reports)-maxReports, 0):]
}

// dropExpired drops reports and leases that do not count any more.
func (l *reportLog) dropExpired(now lease.ClockReading) {
	for agent, reports := range l.agents {
		reports = slices.DeleteFunc(reports, func(r receivedReport) bool {
			return now.Since(r.receivedAt) >= SumPeriod
		})
		if l.agents[agent] = reports; len(reports) == 0 {
			delete(l.agents, agent)
		}
	}
	maps.DeleteFunc(l.leases, func(_ int, at lease.ClockReading) bool {
		return now.Since(at) >= maxLeaseGap*l.leaseLength
	})
}

// leaseGranted notes that this voter has granted an agent a lease. Agents ask the voters in turn.
func (l *reportLog) leaseGranted(now lease.ClockReading, agent int) {
	if _, known := l.leases[agent]; known || len(l.leases) < maxAgents {
		l.leases[agent] = now
	}
}

// hasSilentHolder tells whether an agent holds leases and sends no reports: it is of a build that knows no
// windows.
func (l *reportLog) hasSilentHolder(now lease.ClockReading) bool {
	for agent, at := range l.leases {
		if minElapsed(at, now) < maxLeaseGap*l.leaseLength && len(l.agents[agent]) == 0 {
			return true
		}
	}
	return false
}

// isComplete tells whether reports reach back far enough: as far as counts are summed, and so far that each
// agent which holds leases has asked for one here.
func (l *reportLog) isComplete(now lease.ClockReading) bool {
	return l.started && now.Since(l.last) <= maxSilence &&
		minElapsed(l.since, now) >= max(MinReportLeases*l.leaseLength, SumPeriod)
}

// sum adds up the counts of a tenant.
func (l *reportLog) sum(tenant string) (sum TenantCounts) {
	for _, reports := range l.agents {
		for _, r := range reports {
			for _, c := range r.Counts {
				if c.Tenant == tenant {
					sum.Add(c)
				}
			}
		}
	}
	return sum
}

// Add adds the counts of another report of the same tenant.
func (c *TenantCounts) Add(other TenantCounts) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.Failed += other.Failed
	c.ExclusionOverrides += other.ExclusionOverrides
}

// isOverloaded tells whether too large a fraction of the agents that report sheds load.
func (l *reportLog) isOverloaded() bool {
	overloaded := 0
	for _, reports := range l.agents {
		if len(reports) > 0 && reports[len(reports)-1].Overloaded {
			overloaded++
		}
	}
	return float64(overloaded) > overloadedFraction*float64(len(l.agents))
}

// minElapsed is the least time that has passed between two readings: the one of the two clocks that advanced
// less counts.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
