package balancer

// openAttempt returns an attempt that has not ended, and its request; nil if there is none.
func (b *Balancer) openAttempt(id uint32, number int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].done {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// onResponseBegun handles the head of a response, and the first bytes of its body if that was overdue. From
// then on the server is not silent.
func (b *Balancer) onResponseBegun(e *ResponseBegun) {
	r, a := b.openAttempt(e.ID, e.Attempt)
	switch {
	case a == nil:
	case e.HasBody:
		a.isSilent = false
		b.onBodyBegun(r, a)
	default:
		b.beginResponding(a)
	}
}

// onBodyBegun stops counting an attempt as in flight once the body of a response that is being streamed has
// begun, so that a client that reads a long response slowly does not make the server look busy and silent.
// Attempts of streaming classes still count, since the server works until the end of the response.
func (b *Balancer) onBodyBegun(r *request, a *attempt) {
	a.server.silentSince = b.now
	if a.isStreaming && !a.done && !a.responseStarted && !r.class.Streaming {
		b.endInFlight(a)
		a.responseStarted = true
		return
	}
	b.beginResponding(a)
}

// beginResponding records that an attempt's response is under way. Its server is silent only while others are
// in flight there.
func (b *Balancer) beginResponding(a *attempt) {
	a.server.silentSince = b.now
	if a.isResponding || a.done {
		return
	}
	a.isResponding = true
	if a.countsAsInFlight() {
		a.server.responding++
	}
}

// endResponding records that nothing more comes of an attempt's response.
func (b *Balancer) endResponding(a *attempt) {
	if a.isResponding && !a.done && a.countsAsInFlight() {
		a.server.responding--
	}
	a.isResponding = false
}

// countsAsInFlight reports whether an attempt that has not ended counts as in flight at its server.
func (a *attempt) countsAsInFlight() bool { return !a.responseStarted && !a.isReceiving }

// onAttemptOverdue counts a response that has begun, and of which nothing more has come in its attempt's
// time, as a timeout: a server that gives heads only is found out like a silent one. If the response comes
// after all, its end says so. The request is sent to another server as well if there is time for that.
func (b *Balancer) onAttemptOverdue(e *AttemptOverdue) {
	r, a := b.openAttempt(e.ID, e.Attempt)
	if a == nil || r.closed || a.isOverdue {
		return
	}
	if e.IsSilent && !e.Evidence.IsLocal() {
		a.isOverdue, a.isSilent = true, true
		b.endResponding(a)
		found := b.detector.AttemptOverdue(b.now, a.server.outlier, a.outlier)
		b.onOutlierChange(a.server, found, r.class)
		b.watch(a.server)
	}
	b.hedgeOverdue(r)
}

// hedgeOverdue sends a request whose only attempt is overdue to a second server, if its class permits that
// and an answer may still come within the objective.
func (b *Balancer) hedgeOverdue(r *request) {
	mayHedge := r.class.Idempotency == Idempotent && !r.class.Streaming && r.class.hedging
	isTooLate := r.objectiveAt-b.now <= b.settings.Tick || b.checkRetry(r, 0) != notEnded
	if !mayHedge || isTooLate || r.openAttempts != 1 || r.streaming || r.waiting {
		return
	}
	s := b.selectServer(r)
	if s == nil || b.needsProbe(r, s) {
		return
	}
	r.needsRetryToken, r.lastUnprocessed = true, false
	if !b.spendRetryToken(r, s) {
		r.needsRetryToken = false
		return
	}
	b.sendAttempt(r, s)
	r.markHedged(len(r.attempts) - 1)
}
