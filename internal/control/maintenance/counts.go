package maintenance

import (
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// TenantCounts is how a tenant's requests fared at one agent since it told last.
type TenantCounts struct {
	_                  struct{} `cbor:",toarray"`
	Tenant             string
	Requests           uint32
	Served             uint32
	Failed             uint32 // or refused
	ExclusionOverrides uint32 // sent to a server that they should have kept off, as no other was left
}

// word is what an agent tells voters while a window moves something.
type loadReport struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Number      uint64 // rises with each
	Overloaded  bool
	Counts      []TenantCounts
}

const (
	// ReportInterval is how often agents tell, SumPeriod for how long what they told counts.
	ReportInterval = 2 * time.Second
	SumPeriod      = 10 * time.Second
	// MinReportLeases is for how long, in leases' lengths, a voter has to have heard agents until what it did not hear
	// counts too; never for less than SumPeriod.
	MinReportLeases = 7
	// silent is how long no agent at all may be silent for what was told to count as unbroken.
	maxSilence = 3 * ReportInterval
	// MaxCounts are told at once, of the tenants that a window moves; maxAgents are heard, maxReports of each.
	MaxCounts  = 32
	maxAgents  = 512
	maxReports = 6
	// asking is within how many leases' lengths an agent that holds leases has asked each voter, though requests
	// are lost.
	maxLeaseGap = 15
	// enough requests of a tenant, in what counts, say something about its service.
	minRequests = 20
	// stormy is the part of those that tell whose storm gate is on from which it is trouble.
	overloadedFraction = 0.2
)

// EncodeReport returns what an agent tells voters. Counts are those since it told last.
func EncodeReport(incarnation, number uint64, counts []TenantCounts, storm bool) []byte {
	return marshal(loadReport{
		Incarnation: incarnation, Number: number, Overloaded: storm,
		Counts: counts[:min(len(counts), MaxCounts)],
	})
}

// told is a word, and when it came.
type receivedReport struct {
	loadReport
	receivedAt lease.ClockReading
}

// hearing is what one voter has heard of late.
type reportLog struct {
	agents      map[int][]receivedReport // the newest last
	since       lease.ClockReading       // unbroken
	last        lease.ClockReading
	started     bool
	leases      map[int]lease.ClockReading // when this voter granted an agent one last
	leaseLength time.Duration              // of a lease
}

// heard takes a word. What comes twice or too late counts once.
func (h *reportLog) add(now lease.ClockReading, agent int, data []byte) {
	var w loadReport
	if len(data) > 8<<10 || decoding.Unmarshal(data, &w) != nil || len(w.Counts) > MaxCounts {
		return
	}
	all, known := h.agents[agent]
	if !known && len(h.agents) >= maxAgents {
		return
	}
	for _, t := range all {
		if t.Incarnation > w.Incarnation || t.Incarnation == w.Incarnation && t.Number >= w.Number {
			return
		}
	}
	if !h.started || now.Since(h.last) > maxSilence {
		h.since, h.started = now, true
	}
	h.last = now
	all = append(all, receivedReport{w, now})
	h.agents[agent] = all[max(len(all)-maxReports, 0):]
}

// forget drops what counts no more.
func (h *reportLog) dropExpired(now lease.ClockReading) {
	for agent, all := range h.agents {
		all = slices.DeleteFunc(all, func(t receivedReport) bool { return now.Since(t.receivedAt) >= SumPeriod })
		if h.agents[agent] = all; len(all) == 0 {
			delete(h.agents, agent)
		}
	}
	maps.DeleteFunc(h.leases, func(_ int, at lease.ClockReading) bool { return now.Since(at) >= maxLeaseGap*h.leaseLength })
}

// granted takes that this voter has granted an agent a lease. Agents ask the voters in turn.
func (h *reportLog) leaseGranted(now lease.ClockReading, agent int) {
	if _, known := h.leases[agent]; known || len(h.leases) < maxAgents {
		h.leases[agent] = now
	}
}

// stranger tells of an agent that holds leases and tells nothing: it is of a build that knows no windows.
func (h *reportLog) silentHolder(now lease.ClockReading) (agent int, is bool) {
	for agent, at := range h.leases {
		if minElapsed(at, now) < maxLeaseGap*h.leaseLength && len(h.agents[agent]) == 0 {
			return agent, true
		}
	}
	return 0, false
}

// whole tells whether what was heard reaches back for long enough: as far as counts are summed, and such that
// each agent that holds leases will have asked for one here.
func (h *reportLog) isComplete(now lease.ClockReading) bool {
	return h.started && now.Since(h.last) <= maxSilence && minElapsed(h.since, now) >= max(MinReportLeases*h.leaseLength, SumPeriod)
}

// sum adds up what was told of a tenant.
func (h *reportLog) sum(tenant string) (c TenantCounts) {
	for _, all := range h.agents {
		for _, t := range all {
			for _, k := range t.Counts {
				if k.Tenant == tenant {
					c.Requests, c.Served = c.Requests+k.Requests, c.Served+k.Served
					c.Failed, c.ExclusionOverrides = c.Failed+k.Failed, c.ExclusionOverrides+k.ExclusionOverrides
				}
			}
		}
	}
	return c
}

// storms tells whether more than a part of those that tell have their storm gate on.
func (h *reportLog) isOverloaded() bool {
	n := 0
	for _, all := range h.agents {
		if len(all) > 0 && all[len(all)-1].Overloaded {
			n++
		}
	}
	return float64(n) > overloadedFraction*float64(len(h.agents))
}

// since is how long ago an earlier reading was at the least, by the clock that says less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
