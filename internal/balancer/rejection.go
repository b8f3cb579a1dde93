package balancer

import "time"

// endReason is the reason why a request was rejected or failed.
type endReason uint8

const (
	notEnded           endReason = iota
	endPoisonedKey               // requests with its key failed at several healthy servers
	endObjectiveMissed           // an answer would miss the latency objective and have no value
	endDeadline                  // the client would give up before an answer
	endAttemptsUsed              // maximum number of attempts reached
	endNoRetryToken              // retry budget used up
	endNoServer                  // no eligible server, and none expected in time
)

var endReasonTexts = [...]string{
	notEnded: "not ended", endPoisonedKey: "poisoned key", endObjectiveMissed: "objective missed",
	endDeadline: "deadline", endAttemptsUsed: "attempts used", endNoRetryToken: "no retry token",
	endNoServer: "no server",
}

func (r endReason) String() string { return endReasonTexts[r] }

// minRetryAfter and retryAfterSpread set the retry-after of a rejection, in latency objectives: the minimum
// plus a random part of the spread, so that clients rejected together do not all return together.
const minRetryAfter, retryAfterSpread = 0.5, 1.0

// rejectOrFail gives the request's final answer and closes it. The answer is a rejection if the client can
// safely try again, else a failure.
func (b *Balancer) rejectOrFail(r *request, reason endReason) {
	r.endReason = reason
	answer := Action{Kind: Fail, ID: r.id, Reason: reason.String()}
	if reason == endNoServer {
		answer.Skipped = b.skipped
	}
	if b.mayReject(r) {
		answer.Kind = Reject
		if b.settings.Limits.RetryAfter {
			objectives := minRetryAfter + retryAfterSpread*b.rng.Float64()
			after := time.Duration(objectives * float64(r.class.LatencyObjective))
			answer.After = min(after, b.settings.Limits.MaxRetryAfter)
		}
	}
	b.countRejectOrFail(r, answer.Kind)
	b.emit(answer)
	b.closeRequest(r)
}

// mayReject reports whether the client can safely repeat the request: each attempt so far was unprocessed, or
// repeating it does no harm.
func (b *Balancer) mayReject(r *request) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.unprocessed && !r.class.AllowsRejectionAfter(b.now-a.outlier.StartedAt) {
			return false
		}
	}
	return true
}
