package balancer

// mayHedgeProbe reports whether a probe request to a server that is down can be sent as a hedged request. The
// request then also goes to a healthy server, so that the probe does not delay the client.
func (b *Balancer) mayHedgeProbe(r *request) bool {
	return r.class.Idempotency == Idempotent && !r.class.Streaming &&
		r.class.hedging && !b.settings.Limits.Probes &&
		len(r.attempts) == 0 &&
		r.class.maxAttempts > 1
}

// sendHedgedProbe sends the hedged probe request if the selection found a server for one.
func (b *Balancer) sendHedgedProbe(r *request) {
	if s := r.hedgedProbe; s != nil {
		b.sendAttempt(r, s)
		r.markHedged(len(r.attempts) - 1)
	}
}

// dispatch sends the request to the server and, if the server's probation requires hedging, at once to a
// second one. The second attempt then counts as the request's own, and the first one as the hedge.
func (b *Balancer) dispatch(r *request, s *server) {
	twice := s.probation != nil && s.probation.ShouldHedge(r.probationRequest())
	b.sendAttempt(r, s)
	if !twice {
		return
	}
	if other := b.selectServer(r); other != nil {
		b.sendAttempt(r, other)
		r.markHedged(0)
	}
}

// markHedged marks an open attempt, by its number, as a hedge. A retry does not wait for its end.
func (r *request) markHedged(attempt int) {
	r.attempts[attempt].hedged = true
	r.openHedges, r.hedges = r.openHedges+1, r.hedges+1
}
