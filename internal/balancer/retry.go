package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
)

// retrySpacing is the wait before a request's first, second and further retries, in objectives.
func retrySpacing(retries int) float64 {
	switch {
	case retries <= 0:
		return 0
	case retries == 1:
		return 0.06
	}
	return 0.18
}

// retry sends the request again, now or after a wait, or ends it.
func (b *Balancer) retry(r *request) {
	wait := b.retryDelay(r, retrySpacing(len(r.attempts)-int(r.hedges)-1))
	if reason := b.checkRetry(r, wait); reason != notEnded {
		b.rejectOrFail(r, reason)
		return
	}
	r.needsRetryToken = true
	if r.waiting = wait > 0; r.waiting {
		b.setTimer(wait, r.id, timerRetry)
	} else {
		b.route(r)
	}
}

// checkRetry returns why the request is not retried after the wait. Whether a server is too slow for the
// retry is for selectServer to say.
func (b *Balancer) checkRetry(r *request, wait time.Duration) endReason {
	left := r.objectiveAt - b.now - wait
	switch {
	case len(r.attempts) >= r.class.maxAttempts:
		return endAttemptsUsed
	case b.retryTokens < 1 && !r.lastUnprocessed:
		return endNoRetryToken
	case seconds(left) < b.meanLatency:
		return endObjectiveMissed
	case b.isTooLate(r, wait):
		return endDeadline
	}
	return notEnded
}

// retryDelay is how long the request waits for its next attempt: so many objectives, and what is left of the
// fleet's least interval. That interval is kept also when something else wakes the request up. It does not
// hold hedges back.
func (b *Balancer) retryDelay(r *request, objectives float64) time.Duration {
	wait := time.Duration(objectives * float64(r.class.LatencyObjective))
	if r.class.minAttemptInterval > 0 {
		r.notBefore = r.attempts[len(r.attempts)-1].outlier.StartedAt + r.class.minAttemptInterval
		wait = max(wait, r.notBefore-b.now)
	}
	return wait
}

// earnRetryTokens credits the retry budgets with a new request.
func (b *Balancer) earnRetryTokens() {
	b.retryTokens = min(b.retryTokens+b.tuning.RetryRatio, b.tuning.RetryBurst)
	earned := b.unprocessedRetryTokens + b.tuning.UnprocessedRetryRatio
	b.unprocessedRetryTokens = min(earned, b.tuning.UnprocessedRetryBurst)
}

// spendRetryToken pays for a retry at the server and reports whether the budget allows it; first attempts are
// free. A retry of an unprocessed attempt adds no load to the fleet: at a healthy server a larger budget
// pays.
func (b *Balancer) spendRetryToken(r *request, s *server) bool {
	if !r.needsRetryToken {
		return true
	}
	budget := &b.retryTokens
	if r.lastUnprocessed && b.detector.Verdict(s.outlier, r.class.index) == outlier.Healthy {
		budget = &b.unprocessedRetryTokens
	}
	if *budget < 1 {
		return false
	}
	*budget--
	r.needsRetryToken = false
	return true
}
