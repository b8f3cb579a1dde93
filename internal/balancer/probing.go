package balancer

import (
	"math"
	"time"
)

// A large fleet's balancer meets a server too seldom to know it by its own attempts. A probe tells a dead,
// silent or saturated one apart before an attempt is spent on it. Probes that fail falsely are noticed: see
// observeFailedProbe.

const (
	// probeWaitFraction of the objective is how long a probe's answer is waited for before the next probe.
	probeWaitFraction = 0.05
	// maxProbesPerRequest is how many servers are probed on behalf of one request.
	maxProbesPerRequest = 4
	// maxFalseProbeFraction: when requests contradict more of the failed probes, probes are ignored.
	maxFalseProbeFraction = 0.5
	// falseProbeGain is the weight of a new contradiction: two in a row are enough to ignore probes.
	falseProbeGain = 0.4
	// probeWaitGain is the weight of a new wait in the mean.
	probeWaitGain = 0.1
)

// trustsProbes reports whether failed probes have been true of late.
func (b *Balancer) trustsProbes() bool { return b.falseProbeFraction <= maxFalseProbeFraction }

// needsProbe reports whether the server must be probed before the request goes there: it has not responded
// for half an objective, and the request is not one that tests the probes.
func (b *Balancer) needsProbe(r *request, s *server) bool {
	return b.settings.Limits.Probes && b.settings.Costs.Probe <= b.settings.Costs.LateFailure &&
		b.trustsProbes() &&
		b.now-s.lastResponseAt >= r.class.LatencyObjective/2 &&
		!r.ignoresProbes &&
		(b.hasFewObservations() || s.outlier.IsEjected())
}

// mayGoUnprobed reports whether a request that has been probed for as often as it may goes to a server
// without one: while probes are answered quickly on the whole.
func (b *Balancer) mayGoUnprobed(r *request) bool {
	return r.probes == maxProbesPerRequest && b.baseline.seconds+b.meanProbeWait <= b.latencyLimit(r)
}

// probeFirst has the request wait for a probe's answer. The first probed server that answers gets it.
func (b *Balancer) probeFirst(r *request, s *server) {
	if r.probes++; !s.probePending {
		s.probePending, s.probeSentAt = true, b.now
		b.emit(Action{Kind: Probe, Server: s.ID})
	}
	s.awaitingProbe = append(s.awaitingProbe, r)
	b.wait(r, min(time.Duration(probeWaitFraction*float64(r.class.LatencyObjective)), r.deadline-b.now))
}

func (b *Balancer) onProbeDone(e *ProbeDone) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	s.probePending, s.probeOutcome, s.probeLatency = false, e.Outcome, e.Latency
	b.recordLoadReport(s, e.LoadReport)
	if e.Outcome == Served {
		s.lastResponseAt, s.probeFailedAt = b.now, 0
	} else {
		s.probeFailedAt = b.now
	}
	switch wait := seconds(e.Latency); e.Outcome {
	case Rejected: // too many are waiting there already
		b.meanProbeWait += probeWaitGain * (b.latencyLimitFraction*seconds(b.longestObjective) - b.meanProbeWait)
	case Served, TimedOut:
		b.meanProbeWait += probeWaitGain * (wait - b.meanProbeWait)
	}
	waiting := s.awaitingProbe
	s.awaitingProbe = nil
	for _, r := range waiting {
		if r.waiting && !r.closed && r.probes > 0 && b.now >= r.notBefore {
			r.waiting = false
			b.route(r)
		}
	}
}

// latencyByProbes raises the expected latency, in seconds, to what probes of the server say: a probe in the
// queue waits as long as a request would. A failed one makes it infinite for a round.
func (b *Balancer) latencyByProbes(s *server, expected float64) float64 {
	if !b.trustsProbes() {
		return expected
	}
	if s.probeFailedAt > 0 && b.now-s.probeFailedAt < roundInterval {
		return math.Inf(1)
	}
	wait := time.Duration(0)
	if b.now-s.lastResponseAt < b.observationHalfLife {
		wait = s.probeLatency
	}
	if s.probePending {
		wait = max(wait, b.now-s.probeSentAt)
	}
	return max(expected, b.baseline.seconds+seconds(wait))
}

// contradictionLatency is the latency below which a served attempt would contradict the server's failed
// probe; zero: no probe has failed lately.
func (b *Balancer) contradictionLatency(r *request, s *server) time.Duration {
	if s.probeFailedAt <= 0 || b.now-s.probeFailedAt >= b.observationHalfLife {
		return 0
	}
	if s.probeOutcome == ServerError || s.probeOutcome == ConnectFailed {
		return r.class.Deadline // any answer contradicts an error
	}
	return s.probeLatency // an answer sooner than this contradicts silence
}

// observeFailedProbe records whether an attempt that was sent in spite of a failed probe contradicts it.
func (b *Balancer) observeFailedProbe(a *attempt, e *AttemptDone) {
	if a.failedProbeLatency <= 0 {
		return
	}
	b.falseProbeFraction *= 1 - falseProbeGain
	if e.Outcome == Served && e.Latency < a.failedProbeLatency {
		b.falseProbeFraction += falseProbeGain
	}
}
