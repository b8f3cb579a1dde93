package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxLatencyFraction of the objective: nothing is sent where more is expected.
	maxLatencyFraction = 0.5
	// lowestRankFraction of the most valuable class's limit is what the least valuable class may have at least.
	lowestRankFraction = 0.5
	// latencyGain is the weight of a new latency in a server's mean.
	latencyGain = 0.15
	// otherBalancersInFlight stands for what other balancers have in flight at a server, in requests.
	otherBalancersInFlight = 2
	// halfLifeObjectives is the half-life of an observation of a server, in the longest objective.
	halfLifeObjectives = 4.0
	// maxObservationHalfLife bounds it.
	maxObservationHalfLife = 2 * time.Second
	// baselineStep is the least relative change of a baseline by one answer.
	baselineStep = 0.01
	// minKindSamples answers make a machine kind's baseline known; minKindSamplesSparse for a sparse balancer,
	// which would wait seconds for as many, and needs to tell kinds apart only roughly.
	minKindSamples       = 50
	minKindSamplesSparse = 12
)

// baselineLatency is the latency of fast answers: that which a quarter of all answers stay below.
type baselineLatency struct{ seconds, samples float64 }

// add counts an answer's latency in seconds. Failures say nothing of how fast a server can be. The first
// answers count for more, or a balancer that sees one a second would depend on its first one all day.
func (l *baselineLatency) add(latency float64) {
	l.samples++
	step := max(baselineStep, 0.5/l.samples)
	l.seconds = cmp.Or(l.seconds, latency)
	l.seconds *= 1 + step
	if latency < l.seconds {
		l.seconds *= 1 - min(4*step, 0.75) // three steps down for one up: a quarter of the answers stay below
	}
}

// isKnown reports whether enough answers came.
func (l *baselineLatency) isKnown(sparse bool) bool {
	return l.samples >= minKindSamples || sparse && l.samples >= minKindSamplesSparse
}

// kindBaseline returns the baseline of a machine kind.
func (b *Balancer) kindBaseline(machineKind string) *baselineLatency {
	k := b.kindBaselines[machineKind]
	if k == nil {
		k = &baselineLatency{}
		b.kindBaselines[machineKind] = k
	}
	return k
}

// recordLatency counts a latency in seconds that was seen at a server with so many others in flight.
func (b *Balancer) recordLatency(s *server, latency float64, inFlight int32) {
	n := float64(inFlight + 1)
	s.latency, s.latencyInFlight = cmp.Or(s.latency, latency), cmp.Or(s.latencyInFlight, n)
	s.latency += latencyGain * (latency - s.latency)
	s.latencyInFlight += latencyGain * (n - s.latencyInFlight)
	s.latencyAt = b.now
	b.meanLatency += latencyGain / b.memberCount() * (latency - b.meanLatency)
}

// expectedLatency is the time in seconds that one more request would likely take at the server: by what was
// seen of it, and no less than what its probes, its reports and its present silence say. It is infinite where
// probes fail.
func (b *Balancer) expectedLatency(s *server) float64 {
	t := b.latencyOfNewServer(s)
	if s.latency > 0 {
		t = b.latencyByHistory(s)
	}
	if t = b.latencyByProbes(s, t); math.IsInf(t, 1) {
		return t
	}
	t = b.latencyByReports(s, t)
	if s.inFlight > 0 {
		t = max(t, seconds(b.now-s.silentSince))
	}
	return t
}

// latencyOfNewServer is what is expected of a server that nothing is known of: idle, it is taken for a fast
// one, under the usual load for a usual one. So it gets some requests, but not at once all that the others
// have no capacity for.
func (b *Balancer) latencyOfNewServer(s *server) float64 {
	queueing := max(b.meanLatency-b.baseline.seconds, b.baseline.seconds)
	byLoad := queueing * float64(s.inFlight) / (b.typicalInFlight + 1)
	return b.baseline.seconds + byLoad
}

// latencyByHistory is the latency that was seen, decaying to the baseline with its age, scaled to what is in
// flight now. A rare heavy request makes a server look slow too.
func (b *Balancer) latencyByHistory(s *server) float64 {
	t := s.latency
	if t > b.baseline.seconds {
		age := float64(b.now-s.latencyAt) / float64(b.observationHalfLife)
		t = b.baseline.seconds + (t-b.baseline.seconds)*math.Exp2(-age)
	}
	f := (float64(s.inFlight) + 1 + otherBalancersInFlight) / (s.latencyInFlight + otherBalancersInFlight)
	if f > 1 {
		t *= f
	} else if t > b.baseline.seconds {
		// Its queue has emptied since, and with it the queue's part of the latency.
		t = b.baseline.seconds + (t-b.baseline.seconds)*f
	}
	return t
}

// latencyLimit is the longest expected latency, in seconds, at which the request is still sent.
func (b *Balancer) latencyLimit(r *request) float64 {
	t := min(r.class.latencyLimit, b.latencyLimitFraction*seconds(min(r.objectiveAt, r.deadline)-b.now))
	if r.overQuota && t > b.baseline.seconds { // a part of the queueing time: an idle server takes its time too
		t = b.baseline.seconds + b.tuning.OverQuotaQueueFraction*(t-b.baseline.seconds)
		if !b.settings.Limits.Gossip {
			// Without gossip the quotas themselves are a guess: see package quota.
			t += (1 - b.tuning.OverQuotaQueueFraction) / 2 / b.tuning.OverQuotaQueueFraction * (t - b.baseline.seconds)
		}
	}
	return t
}

// setLatencyLimits sets each class's latency limit. All classes wait in the same queues, so the one with the
// longest limit would shut the others out: none accepts more than the most valuable class, and the others
// less by their value in the score, where a class's weight counts in the total and any class may be the worst
// one.
func (b *Balancer) setLatencyLimits() {
	b.latencyLimitFraction = maxLatencyFraction
	if miss := b.settings.ScoreWeights.TailMissRatio; b.settings.ScoreWeights.TailLatency > 0 && miss > 0 &&
		miss < 1 {
		// Where the tail counts, no more than this ratio may miss the objective. With exponentially distributed
		// latencies that holds while their mean is below the objective over ln(1/miss).
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
