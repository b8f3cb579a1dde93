package balancer

import "dunestep/internal/balancer/outlier"

const (
	// failureLatencyFraction of the objective is what a failure counts as at least: a server that fails fast
	// must not look idle.
	failureLatencyFraction = 0.5
	// failureGain is the weight of a new attempt in the fraction of failures.
	failureGain = 0.005
)

// observeAttempt learns what an attempt's end says of the server and of the key.
func (b *Balancer) observeAttempt(r *request, a *attempt, e *AttemptDone) {
	b.observeZone(a.server, a, e)
	b.recordLoadReport(a.server, e.LoadReport)
	b.observeReport(a, e)
	b.observeFailedProbe(a, e)
	// it says nothing of the server
	if e.Outcome == NotSent || e.Outcome == Canceled || e.Evidence.LocalShortage {
		b.detectEnd(a, e, r.class)
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

func (b *Balancer) observeServed(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	b.failureFraction -= failureGain * b.failureFraction
	s.silentSince, s.lastResponseAt, s.probeLatency = b.now, b.now, 0
	b.recordLatency(s, seconds(e.Latency), a.inFlightAtSend)
	b.baseline.add(seconds(e.Latency))
	s.kindBaseline.add(seconds(e.Latency))
	s.lastServedAt = b.now
	delete(b.blamedKeys, r.hash)
	b.detectEnd(a, e, r.class)
}

// observeRejected takes a rejection for an answer that was slow enough to pass the key on.
func (b *Balancer) observeRejected(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	s.silentSince = b.now
	latency := max(seconds(e.Latency), s.latency, seconds(r.class.LatencyObjective)*affinityFraction)
	b.recordLatency(s, latency, a.inFlightAtSend)
	b.detectEnd(a, e, r.class)
}

// observeFailure counts a failure against the server, unless its key is to blame.
func (b *Balancer) observeFailure(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	if e.Outcome == ServerError || e.Outcome == ConnectionLost {
		s.silentSince = b.now
	}
	b.failureFraction += failureGain * (1 - b.failureFraction)
	if r.hasKey && e.Outcome != ConnectFailed && b.blameKey(r.hash, s, a.outlier.StartedAt) {
		b.detector.AttemptEnded(b.now, s.outlier, a.outlier, outlier.NoEvidence, e.Latency, &e.Evidence)
		return
	}
	least := failureLatencyFraction * seconds(min(r.class.LatencyObjective, r.deadline-a.outlier.StartedAt))
	b.recordLatency(s, max(seconds(e.Latency), least), a.inFlightAtSend)
	b.detectEnd(a, e, r.class)
}

// chargeAccount charges the server's fairness account for what an attempt took.
func (b *Balancer) chargeAccount(r *request, s *server, e *AttemptDone) {
	took := seconds(e.Latency)
	if e.Outcome != Served && e.Outcome != TimedOut {
		took = max(took, failureLatencyFraction*seconds(r.class.LatencyObjective))
	}
	b.accounts.RequestEnded(&s.account, took)
}
