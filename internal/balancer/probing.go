package balancer

import (
	"math"
	"time"
)

// In a large fleet one balancer sends a server too few attempts to know its condition. A probe detects a
// dead, silent or saturated server before an attempt is spent on it. observeFailedProbe detects probes that
// fail although the server works.

const (
	// probeWaitFraction is how long a request waits for a probe's response before another server is probed, as
	// a fraction of the latency objective.
	probeWaitFraction = 0.05
	// maxProbesPerRequest is the maximum number of probes for one request.
	maxProbesPerRequest = 4
	// maxFalseProbeFraction is the fraction of failed probes that requests contradict above which probes are
	// ignored.
	maxFalseProbeFraction = 0.5
	// falseProbeGain is the weight of a new observation in the fraction of false probes. Two contradicted
	// probes in a row are enough to ignore probes.
	falseProbeGain = 0.4
	// probeWaitGain is the weight of a new probe in the mean probe latency.
	probeWaitGain = 0.1
)

// trustsProbes reports whether recent probe failures were right often enough for probes to count.
func (b *Balancer) trustsProbes() bool { return b.falseProbeFraction <= maxFalseProbeFraction }

// needsProbe reports whether the server must be probed before the request is sent there: probes are
// permitted, trusted and cheap enough, the server has not responded for half the latency objective, this
// balancer has few observations or the server is ejected, and the request does not test the probes itself.
func (b *Balancer) needsProbe(r *request, s *server) bool {
	return b.settings.Limits.Probes && b.settings.Costs.Probe <= b.settings.Costs.LateFailure &&
		b.trustsProbes() &&
		b.now-s.lastResponseAt >= r.class.LatencyObjective/2 &&
		!r.ignoresProbes &&
		(b.hasFewObservations() || s.outlier.IsEjected())
}

// maySkipProbe reports whether a request with no probes left is sent without one. That is so while the mean
// wait for probes is short enough for the request's latency limit.
func (b *Balancer) maySkipProbe(r *request) bool {
	return r.probes == maxProbesPerRequest && b.baseline.seconds+b.meanProbeWait <= b.latencyLimit(r)
}

// probeAndWait probes the server, unless a probe is pending, and lets the request wait for the response. The
// first probed server that responds gets the request.
func (b *Balancer) probeAndWait(r *request, s *server) {
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
	case Rejected: // the server's queue is full, so the wait counts as the latency limit
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

// latencyByProbes returns the expected latency, in seconds, raised to the baseline plus the wait of the last
// or the pending probe: a probe waits in the server's queue as long as a request would. For a round after a
// failed probe it is infinite.
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

// contradictionLatency returns the latency below which a served attempt contradicts the server's last failed
// probe, or zero if no probe failed recently.
func (b *Balancer) contradictionLatency(r *request, s *server) time.Duration {
	if s.probeFailedAt <= 0 || b.now-s.probeFailedAt >= b.observationHalfLife {
		return 0
	}
	if s.probeOutcome == ServerError || s.probeOutcome == ConnectFailed {
		return r.class.Deadline // any response contradicts a failed connection or an error
	}
	return s.probeLatency // a faster response contradicts a probe timeout
}

// observeFailedProbe records whether an attempt that was sent despite a failed probe contradicts the probe.
func (b *Balancer) observeFailedProbe(a *attempt, e *AttemptDone) {
	if a.failedProbeLatency <= 0 {
		return
	}
	b.falseProbeFraction *= 1 - falseProbeGain
	if e.Outcome == Served && e.Latency < a.failedProbeLatency {
		b.falseProbeFraction += falseProbeGain
	}
}
