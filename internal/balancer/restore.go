package balancer

import (
	"math"
	"time"
)

// Half-lives of the weight of a Snapshot's values.
const (
	baselineHalfLife = time.Hour        // speed of machine kinds
	trafficHalfLife  = 10 * time.Minute // arrivals and sent requests
	faultHalfLife    = 30 * time.Second // failures
)

const (
	// minReportWeight is the weight below which the calibration of load reports is not restored.
	minReportWeight = 0.25
	// maxLatency, in seconds, and the limits after it are the maximum values accepted from a Snapshot.
	maxLatency = 3600
	maxAmount  = 1e12
	maxSamples = 1e9
	maxAge     = 365 * 24 * time.Hour
	// maxPenaltyMultiple is the maximum of a restored flap penalty, as a multiple of the suppress limit.
	maxPenaltyMultiple = 10
)

// Restore restores a Snapshot of the given age. It must be called after the server list is known and before
// the first request. Servers that are not listed or were restarted since are left out, and so are invalid
// values: a Snapshot is external input and must do no harm. A negative age, as after a clock was set back,
// means that the age is unknown, and nothing is restored.
func (b *Balancer) Restore(now time.Duration, m Snapshot, age time.Duration) {
	b.now = max(b.now, now)
	if age < 0 {
		return
	}
	age = validAge(age)
	b.restoreMeans(&m, age)
	for _, k := range m.Kinds {
		if l := k.BaselineLatency.decayed(remainingWeight(age, baselineHalfLife)); l.samples > 0 {
			*b.kindBaseline(k.Name) = l // in place, since servers point to it
		}
	}
	for _, z := range m.Zones {
		if validAmount(z.ReportedInFlight) > 0 && remainingWeight(age, faultHalfLife) > minReportWeight {
			b.zoneReports[z.Name] = &zoneReport{wait: validAmount(z.ReportedWait), inFlight: z.ReportedInFlight}
		}
	}
	for _, c := range m.Classes {
		if known := b.classes[c.Name]; known != nil {
			known.maxClientTimeout = min(max(known.maxClientTimeout, c.MaxClientTimeout), known.Deadline)
		}
	}
	for _, t := range m.Tenants {
		b.quotas.SetTokens(t.Name, validAmount(t.Tokens), b.now-validAge(t.UpdatedAgo)-age)
	}
	for i := range m.Servers {
		s := b.servers[m.Servers[i].ID]
		if s != nil && s.ringPlace.IsMember() && s.StartedAt == m.Servers[i].StartedAt {
			b.restoreServer(s, &m.Servers[i], m.Classes, age)
		}
	}
	for _, k := range m.BlamedKeys[:min(len(m.BlamedKeys), maxBlamedKeys)] {
		if left := min(k.BlamedFor, poisonDuration) - age; left > 0 {
			b.blamedKeys[k.Hash] = &blamedKey{
				servers: make([]*server, poisonServers), lastFailureAt: b.now, until: b.now + left,
			}
		}
	}
	b.weights.isStale = true
	b.updateWeights()
}

// restoreMeans restores the values that are not about a single server, zone, class or tenant.
func (b *Balancer) restoreMeans(m *Snapshot, age time.Duration) {
	traffic, fault := remainingWeight(age, trafficHalfLife), remainingWeight(age, faultHalfLife)
	b.baseline = m.BaselineLatency.decayed(remainingWeight(age, baselineHalfLife))
	b.meanLatency = blend(fault, m.MeanLatency, b.baseline.seconds)
	b.failureFraction = fault * min(validAmount(m.FailureRatio), 1)
	b.sendRate = traffic * validAmount(m.SendRate)
	b.typicalInFlight = blend(traffic, m.TypicalInFlight, b.typicalInFlight)
	b.quotas.Restore(b.now, traffic*validAmount(m.ArrivalRate), traffic*validAmount(m.MeanArrivalRate))
	b.meanWork, b.meanReportedInFlight = validAmount(m.MeanWork), fault*validAmount(m.MeanReportedInFlight)
	b.retryTokens = min(b.retryTokens, blend(fault, m.RetryTokens, b.retryTokens))
}

func (b *Balancer) restoreServer(s *server, m *ServerSnapshot, classes []ClassSnapshot, age time.Duration) {
	if l := validAmount(m.Latency); l > 0 && l < maxLatency && validAmount(m.LatencyInFlight) > 0 {
		s.latency, s.latencyInFlight, s.latencyAt = l, m.LatencyInFlight, b.now-validAge(m.SampledAgo)-age
	}
	if m.ReportedAgo > 0 {
		s.reportedInFlight, s.reportedAt = validAmount(m.ReportedInFlight), b.now-validAge(m.ReportedAgo)-age
	}
	penalty := min(validAmount(m.FlapPenalty), maxPenaltyMultiple*b.tuning.SuppressLimit)
	b.setPenalty(s, penalty, b.now-age)
	if left := min(m.DampedFor, dampingDuration) - age; left > 0 {
		s.dampedUntil = b.now + left
	}
	known := m.Outlier
	known.Classes = nil
	for _, l := range m.Outlier.Classes {
		if l.Class >= 0 && l.Class < len(classes) && b.classes[classes[l.Class].Name] != nil {
			l.Class = b.classes[classes[l.Class].Name].index
			known.Classes = append(known.Classes, l)
		}
	}
	b.detector.Restore(b.now, s.outlier, known, age)
	if s.wasDown = s.outlier.IsEjected(); s.wasDown {
		s.slowStart.Start(b.now, 1) // permits one probe request at once, since the server may have recovered
	}
	if m.RecoveredAgo > 0 {
		s.recoveredAt = max(b.now-validAge(m.RecoveredAgo)-age, 1)
	}
	b.updatePlacement(s)
	b.watch(s)
}

// remainingWeight returns the weight, from 1 down to 0, of a value of the given age.
func remainingWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// blend returns the mean of a restored value with its weight, from 0 to 1, and another value.
func blend(weight, restored, other float64) float64 {
	return weight*validAmount(restored) + (1-weight)*other
}

// decayed returns the baseline with its number of samples reduced by the weight, so that new samples count
// more. The latency stays as it is, since no better estimate is known. Invalid values give the zero value.
func (m BaselineSnapshot) decayed(weight float64) baselineLatency {
	l := baselineLatency{
		seconds: validAmount(m.Latency),
		samples: math.Floor(weight * min(validAmount(m.Samples), maxSamples)),
	}
	if l.seconds == 0 || l.seconds > maxLatency || l.samples < 1 {
		return baselineLatency{}
	}
	return l
}

// validAmount returns v, or zero if v is not positive or exceeds maxAmount.
func validAmount(v float64) float64 {
	if !(v > 0) || v > maxAmount {
		return 0
	}
	return v
}

// validAge returns d limited to the range from zero to maxAge.
func validAge(d time.Duration) time.Duration { return min(max(d, 0), maxAge) }
