package maintenance

import (
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// TenantCounts has the numbers of a tenant's requests at one agent since its last report, by result.
type TenantCounts struct {
	_                  struct{} `cbor:",toarray"`
	Tenant             string
	Requests           uint32
	Served             uint32
	Failed             uint32 // failed or rejected
	ExclusionOverrides uint32 // sent to an excluded server because no other server was available
}

// isServedBelow reports whether the served fraction of the requests is below minServed, 0 to 1. It returns
// false for fewer than minRequests requests.
func (c TenantCounts) isServedBelow(minServed float64) bool {
	return c.Requests >= minRequests && float64(c.Served) < minServed*float64(c.Served+c.Failed)
}

// Report is what an agent sends to the voters while a window moves traffic. It is encoded as an array.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Number      uint64         // sequence number within the incarnation
	Overloaded  bool           // whether the agent sheds load
	Counts      []TenantCounts // since the last report, at most MaxCounts
}

const (
	// ReportInterval is the interval between two reports of an agent.
	ReportInterval = 2 * time.Second
	// SumPeriod is the time for which a report is included in sums.
	SumPeriod = 10 * time.Second
	// MinReportLeases is the time, in lease durations, for which a voter must have received reports without a
	// break before it concludes anything from a missing report. This time is at least SumPeriod.
	MinReportLeases = 7
	// MaxCounts is the maximum number of tenants in one report.
	MaxCounts = 32

	maxSilence         = 3 * ReportInterval // maximum interval between reports without a break
	maxReportSize      = 8 << 10            // bytes
	maxAgents          = 512                // agents whose reports are kept
	maxReports         = 6                  // reports kept per agent
	maxLeaseGap        = 15                 // lease durations within which a holder polls every voter
	minRequests        = 20                 // a tenant's requests in SumPeriod needed to assess its service
	overloadedFraction = 0.2                // fraction of the reporting agents; more is a fault
)

// EncodeReport returns the encoded report. Counts beyond the first MaxCounts are omitted.
func EncodeReport(r Report) []byte {
	r.Counts = r.Counts[:min(len(r.Counts), MaxCounts)]
	return marshal(r)
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	Report
	receivedAt lease.ClockReading
}

// reportLog has the reports and lease grants of one voter that still count.
type reportLog struct {
	agents         map[int][]receivedReport   // oldest first
	unbrokenSince  lease.ClockReading         // start of the present sequence of reports without a break
	lastReceivedAt lease.ClockReading         // time of the last report
	hasReports     bool                       // whether unbrokenSince and lastReceivedAt are valid
	lastLeaseAt    map[int]lease.ClockReading // when this voter last granted a lease, by agent
	leaseLength    time.Duration
}

func newReportLog(leaseLength time.Duration) reportLog {
	return reportLog{
		agents: map[int][]receivedReport{}, lastLeaseAt: map[int]lease.ClockReading{},
		leaseLength: leaseLength,
	}
}

// add adds a report. Malformed, duplicate and out-of-order reports are ignored.
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
	if !l.hasReports || now.Since(l.lastReceivedAt) > maxSilence {
		l.unbrokenSince, l.hasReports = now, true
	}
	l.lastReceivedAt = now
	reports = append(reports, receivedReport{r, now})
	l.agents[agent] = reports[max(len(reports)-maxReports, 0):]
}

// dropExpired removes reports older than SumPeriod and leases older than maxLeaseGap lease durations.
func (l *reportLog) dropExpired(now lease.ClockReading) {
	for agent, reports := range l.agents {
		reports = slices.DeleteFunc(reports, func(r receivedReport) bool {
			return now.Since(r.receivedAt) >= SumPeriod
		})
		if l.agents[agent] = reports; len(reports) == 0 {
			delete(l.agents, agent)
		}
	}
	maps.DeleteFunc(l.lastLeaseAt, func(_ int, at lease.ClockReading) bool {
		return now.Since(at) >= maxLeaseGap*l.leaseLength
	})
}

// leaseGranted records that this voter has granted an agent a lease. Agents poll the voters in rotation.
func (l *reportLog) leaseGranted(now lease.ClockReading, agent int) {
	if _, known := l.lastLeaseAt[agent]; known || len(l.lastLeaseAt) < maxAgents {
		l.lastLeaseAt[agent] = now
	}
}

// hasNonReportingHolder reports whether an agent is granted leases but sends no reports: its build does not
// support windows.
func (l *reportLog) hasNonReportingHolder(now lease.ClockReading) bool {
	for agent, at := range l.lastLeaseAt {
		if minElapsed(at, now) < maxLeaseGap*l.leaseLength && len(l.agents[agent]) == 0 {
			return true
		}
	}
	return false
}

// isComplete reports whether reports have been received without a break for long enough: for SumPeriod, and
// until each agent that holds leases has requested one from this voter.
func (l *reportLog) isComplete(now lease.ClockReading) bool {
	return l.hasReports && now.Since(l.lastReceivedAt) <= maxSilence &&
		minElapsed(l.unbrokenSince, now) >= max(MinReportLeases*l.leaseLength, SumPeriod)
}

// sum returns the sum of a tenant's counts over all kept reports.
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

// Add adds the counts of another report about the same tenant.
func (c *TenantCounts) Add(other TenantCounts) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.Failed += other.Failed
	c.ExclusionOverrides += other.ExclusionOverrides
}

// isOverloaded reports whether more than overloadedFraction of the reporting agents shed load, by their
// latest reports.
func (l *reportLog) isOverloaded() bool {
	overloaded := 0
	for _, reports := range l.agents {
		if len(reports) > 0 && reports[len(reports)-1].Overloaded {
			overloaded++
		}
	}
	return float64(overloaded) > overloadedFraction*float64(len(l.agents))
}

// minElapsed returns the time between two readings by whichever of the two clocks, Unix or monotonic,
// advanced less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
