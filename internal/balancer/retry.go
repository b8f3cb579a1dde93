package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
)

// retrySpacing returns the wait before the next retry, in latency objectives, by the number of earlier
// retries.
func retrySpacing(retries int) float64 {
	switch {
	case retries <= 0:
		return 0
	case retries == 1:
		return 0.06
	}
	return 0.18
}

// retry sends the request again, now or after a wait, or ends it with a rejection or failure.
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

// checkRetry returns why the request cannot be retried after the wait, or notEnded. It does not check whether
// a server is fast enough for the retry: selectServer does.
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

// retryDelay returns how long the request waits before its next attempt: the given number of latency
// objectives, or what is left of the fleet policy's minimum attempt interval if that is longer. It stores the
// end of the interval in notBefore, so that no other event resumes the request earlier. The interval does not
// apply to hedged requests.
func (b *Balancer) retryDelay(r *request, objectives float64) time.Duration {
	wait := time.Duration(objectives * float64(r.class.LatencyObjective))
	if r.class.minAttemptInterval > 0 {
		r.notBefore = r.attempts[len(r.attempts)-1].outlier.StartedAt + r.class.minAttemptInterval
		wait = max(wait, r.notBefore-b.now)
	}
	return wait
}

// earnRetryTokens adds the tokens that one new request earns to both retry budgets.
func (b *Balancer) earnRetryTokens() {
	b.retryTokens = min(b.retryTokens+b.tuning.RetryRatio, b.tuning.RetryBurst)
	earned := b.unprocessedRetryTokens + b.tuning.UnprocessedRetryRatio
	b.unprocessedRetryTokens = min(earned, b.tuning.UnprocessedRetryBurst)
}

// spendRetryToken takes a retry token if the next attempt needs one, and reports whether the attempt may be
// sent to the server. First attempts need none. Retries of unprocessed attempts add no load to the fleet, so
// those to a healthy server use a separate, larger budget.
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
