package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLatencyFraction is the fraction of the latency objective above which a server's expected latency is
	// too high to send it the request.
	maxLatencyFraction = 0.5
	// lowestRankFraction is the minimum latency limit of a class, as a fraction of the most valuable class's.
	lowestRankFraction = 0.5
	// latencyGain is the weight of a new latency in a server's mean.
	latencyGain = 0.15
	// otherBalancersInFlight is the assumed number of requests that other balancers have in flight at a server.
	otherBalancersInFlight = 2
	// halfLifeObjectives is the half-life of an observation of a server, as a multiple of the longest latency
	// objective.
	halfLifeObjectives = 4.0
	// maxObservationHalfLife is the maximum half-life of an observation of a server.
	maxObservationHalfLife = 2 * time.Second
	// baselineStep is the minimum relative change of a baseline by one response.
	baselineStep = 0.01
	// minKindSamples is how many responses of a machine kind make its baseline known. For a sparse balancer
	// minKindSamplesSparse are enough: it would wait seconds for more, and needs only a rough comparison of
	// machine kinds.
	minKindSamples       = 50
	minKindSamplesSparse = 12
)

// baselineLatency is an estimate of the 25th percentile of response latencies, in seconds, and the number of
// responses it was made from.
type baselineLatency struct{ seconds, samples float64 }

// add updates the estimate with the latency, in seconds, of a served attempt. Failures are not added, since
// they do not show how fast a server can be. The first responses change the estimate more, or a balancer that
// sees one a second would depend on its first one all day.
func (l *baselineLatency) add(latency float64) {
	l.samples++
	step := max(baselineStep, 0.5/l.samples)
	l.seconds = cmp.Or(l.seconds, latency)
	l.seconds *= 1 + step
	if latency < l.seconds {
		l.seconds *= 1 - min(4*step, 0.75) // net three steps down for one up: converges to the 25th percentile
	}
}

// isKnown reports whether there were enough responses to rely on the estimate.
func (l *baselineLatency) isKnown(sparse bool) bool {
	return l.samples >= minKindSamples || sparse && l.samples >= minKindSamplesSparse
}

// kindBaseline returns the baseline latency of a machine kind, which it adds if there is none.
func (b *Balancer) kindBaseline(machineKind string) *baselineLatency {
	k := b.kindBaselines[machineKind]
	if k == nil {
		k = &baselineLatency{}
		b.kindBaselines[machineKind] = k
	}
	return k
}

// recordLatency updates the mean latency of the server and that over all servers with the latency of an
// attempt, in seconds. inFlight is the number of other requests that were in flight at the server when the
// attempt was sent.
func (b *Balancer) recordLatency(s *server, latency float64, inFlight int32) {
	n := float64(inFlight + 1)
	s.latency, s.latencyInFlight = cmp.Or(s.latency, latency), cmp.Or(s.latencyInFlight, n)
	s.latency += latencyGain * (latency - s.latency)
	s.latencyInFlight += latencyGain * (n - s.latencyInFlight)
	s.latencyAt = b.now
	b.meanLatency += latencyGain / b.memberCount() * (latency - b.meanLatency)
}

// expectedLatency returns the latency, in seconds, to expect of one more request to the server. It is based
// on the server's past latency, and at least what its probes, its load reports and the time since its last
// response suggest. It is infinite while its probes fail.
func (b *Balancer) expectedLatency(s *server) float64 {
	expected := b.latencyOfNewServer(s)
	if s.latency > 0 {
		expected = b.latencyByHistory(s)
	}
	if expected = b.latencyByProbes(s, expected); math.IsInf(expected, 1) {
		return expected
	}
	expected = b.latencyByReports(s, expected)
	if s.inFlight > s.responding {
		expected = max(expected, seconds(b.now-s.silentSince))
	}
	return expected
}

// latencyOfNewServer returns the expected latency, in seconds, of a server without a measured latency. An
// idle one is assumed to be fast, and one with the typical number in flight to be as slow as the mean. So a
// new server gets some requests, but not at once all that the other servers have no capacity for.
func (b *Balancer) latencyOfNewServer(s *server) float64 {
	queueing := max(b.meanLatency-b.baseline.seconds, b.baseline.seconds)
	byLoad := queueing * float64(s.inFlight) / (b.typicalInFlight + 1)
	return b.baseline.seconds + byLoad
}

// latencyByHistory returns the server's measured mean latency, in seconds, scaled to the requests in flight
// now. The part above the baseline decays with age, since a rare heavy request also makes a server look slow.
func (b *Balancer) latencyByHistory(s *server) float64 {
	expected := s.latency
	if expected > b.baseline.seconds {
		ageHalfLives := float64(b.now-s.latencyAt) / float64(b.observationHalfLife)
		expected = b.baseline.seconds + (expected-b.baseline.seconds)*math.Exp2(-ageHalfLives)
	}
	scale := (float64(s.inFlight) + 1 + otherBalancersInFlight) / (s.latencyInFlight + otherBalancersInFlight)
	if scale > 1 {
		expected *= scale
	} else if expected > b.baseline.seconds {
		// The server's queue is shorter than when the latency was measured, so the queueing time shrinks with it.
		expected = b.baseline.seconds + (expected-b.baseline.seconds)*scale
	}
	return expected
}

// latencyLimit returns the maximum expected latency, in seconds, of a server that gets the request.
func (b *Balancer) latencyLimit(r *request) float64 {
	limit := min(r.class.latencyLimit, b.latencyLimitFraction*seconds(min(r.objectiveAt, r.deadline)-b.now))
	if r.overQuota && limit > b.baseline.seconds { // reduces only the queueing time, which excludes the baseline
		limit = b.baseline.seconds + b.tuning.OverQuotaQueueFraction*(limit-b.baseline.seconds)
		if !b.settings.Limits.Gossip {
			// Without gossip each balancer's part of a quota is only an estimate: see package quota.
			limit += (1 - b.tuning.OverQuotaQueueFraction) / 2 / b.tuning.OverQuotaQueueFraction *
				(limit - b.baseline.seconds)
		}
	}
	return limit
}

// setLatencyLimits sets each class's latency limit. All classes share the servers' queues, so a class with a
// longer limit would crowd out the others. Therefore no class accepts more latency than the one with the
// highest priority weight, and the others accept less by their value in the score: a class's weight counts
// in the total, and any class may be the worst one.
func (b *Balancer) setLatencyLimits() {
	b.latencyLimitFraction = maxLatencyFraction
	if miss := b.settings.ScoreWeights.TailMissRatio; b.settings.ScoreWeights.TailLatency > 0 && miss > 0 &&
		miss < 1 {
		// If tail latency counts in the score, at most this ratio of requests may miss the objective. With
		// exponentially distributed latencies that is so while their mean is below objective/ln(1/miss).
		b.latencyLimitFraction = min(maxLatencyFraction, 1/math.Log(1/miss))
	}
	byWeight := func(p, q Class) int { return cmp.Compare(p.PriorityWeight, q.PriorityWeight) }
	top := slices.MaxFunc(b.settings.Classes, byWeight)
	weights := b.settings.ScoreWeights
	value := func(c Class) float64 {
		return weights.Total*c.PriorityWeight/max(top.PriorityWeight, 1e-9) + weights.WorstClass
	}
	for _, c := range b.classes {
		rank := 1.0
		if v := value(top); v > 0 {
			rank = lowestRankFraction + (1-lowestRankFraction)*value(c.Class)/v
		}
		objective := min(seconds(c.LatencyObjective), rank*seconds(top.LatencyObjective))
		c.latencyLimit = b.latencyLimitFraction * objective
	}
}
