package balancer

import "time"

// endReason says why a request was rejected or failed.
type endReason uint8

const (
	notEnded           endReason = iota
	endPoisonedKey               // its key has failed at several healthy servers
	endObjectiveMissed           // its answer would come too late to have a value
	endDeadline                  // the client would leave before an answer
	endAttemptsUsed              // it has had all its attempts
	endNoRetryToken              // the retry budget is used up
	endNoServer                  // no server may have it, and none will in time
)

var endReasonTexts = [...]string{
	notEnded: "not ended", endPoisonedKey: "poisoned key", endObjectiveMissed: "objective missed",
	endDeadline: "deadline", endAttemptsUsed: "attempts used", endNoRetryToken: "no retry token",
	endNoServer: "no server",
}

func (r endReason) String() string { return endReasonTexts[r] }

// minRetryAfter and retryAfterSpread say, in objectives, when a rejected client is to return: at random, so
// that clients rejected together do not return together.
const minRetryAfter, retryAfterSpread = 0.5, 1.0

// rejectOrFail gives the final answer: a rejection where the rules allow to tell the client that trying again
// is harmless, else a failure.
func (b *Balancer) rejectOrFail(r *request, reason endReason) {
	r.endReason = reason
	answer := Action{Kind: Fail, ID: r.id}
	if b.mayReject(r) {
		answer.Kind = Reject
		if b.settings.Limits.RetryAfter {
			objectives := minRetryAfter + retryAfterSpread*b.rng.Float64()
			after := time.Duration(objectives * float64(r.class.LatencyObjective))
			answer.After = min(after, b.settings.Limits.MaxRetryAfter)
		}
	}
	b.countAnswer(r, answer.Kind)
	b.emit(answer)
	b.closeRequest(r)
}

// mayReject reports whether the request can be tried again without being processed twice: each attempt was
// unprocessed, or is harmless.
func (b *Balancer) mayReject(r *request) bool {
	c := r.class
	for i := range r.attempts {
		a := &r.attempts[i]
		droppedAnywhere := c.Idempotency == IdempotentWithKey && c.DedupScope == DedupScopeAll &&
			b.now-a.outlier.StartedAt < c.DedupWindow
		if !a.unprocessed && c.Idempotency != Idempotent && !droppedAnywhere {
			return false
		}
	}
	return true
}
