package balancer

import "dunestep/internal/balancer/outlier"

const (
	// failureLatencyFraction is the minimum latency that a failure is recorded with, as a fraction of the
	// latency objective, so that a server that fails fast does not look idle.
	failureLatencyFraction = 0.5
	// failureGain is the weight of a new attempt in the fraction of failures.
	failureGain = 0.005
)

// observeAttempt updates what is known of the server and the key from the end of an attempt.
func (b *Balancer) observeAttempt(r *request, a *attempt, e *AttemptDone) {
	b.observeZone(a.server, a, e)
	b.recordLoadReport(a.server, e.LoadReport)
	b.observeReport(a, e)
	b.observeFailedProbe(a, e)
	// These ends are no evidence about the server.
	if e.Outcome == NotSent || e.Outcome == Canceled || e.Evidence.LocalShortage {
		b.reportToDetector(a, e, r.class)
		return
	}
	b.chargeAccount(r, a.server, e)
	switch e.Outcome {
	case Served:
		b.observeServed(r, a, e)
	case Rejected:
		b.observeRejected(r, a, e)
	default:
		b.observeFailure(r, a, e)
	}
}

// observeServed records a response, which also clears any blame on the request's key.
func (b *Balancer) observeServed(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	b.failureFraction -= failureGain * b.failureFraction
	s.silentSince, s.lastResponseAt, s.probeLatency = b.now, b.now, 0
	b.recordLatency(s, seconds(e.Latency), a.inFlightAtSend)
	b.baseline.add(seconds(e.Latency))
	s.kindBaseline.add(seconds(e.Latency))
	s.lastServedAt = b.now
	delete(b.blamedKeys, r.hash)
	b.reportToDetector(a, e, r.class)
}

// observeRejected records a rejection as a response with at least the latency at which keys may be passed on
// to other servers.
func (b *Balancer) observeRejected(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	s.silentSince = b.now
	latency := max(seconds(e.Latency), s.latency, seconds(r.class.LatencyObjective)*affinityFraction)
	b.recordLatency(s, latency, a.inFlightAtSend)
	b.reportToDetector(a, e, r.class)
}

// observeFailure records a failure of the server, unless the failure is blamed on the request's key.
func (b *Balancer) observeFailure(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	if e.Outcome == ServerError || e.Outcome == ConnectionLost {
		s.silentSince = b.now
	}
	b.failureFraction += failureGain * (1 - b.failureFraction)
	if r.hasKey && e.Outcome != ConnectFailed && b.blameKey(r.hash, s, a.outlier.StartedAt) {
		b.detector.AttemptEnded(b.now, s.outlier, a.outlier, outlier.NoEvidence, e.Latency, &e.Evidence)
		b.watch(s)
		return
	}
	minLatency := failureLatencyFraction * seconds(min(r.class.LatencyObjective, r.deadline-a.outlier.StartedAt))
	b.recordLatency(s, max(seconds(e.Latency), minLatency), a.inFlightAtSend)
	b.reportToDetector(a, e, r.class)
}

// chargeAccount charges the attempt's latency to the server's fairness account. An attempt that failed
// early or was rejected is charged at least failureLatencyFraction of the latency objective.
func (b *Balancer) chargeAccount(r *request, s *server, e *AttemptDone) {
	latency := seconds(e.Latency)
	if e.Outcome != Served && e.Outcome != TimedOut {
		latency = max(latency, failureLatencyFraction*seconds(r.class.LatencyObjective))
	}
	b.accounts.RequestEnded(&s.account, latency)
}
