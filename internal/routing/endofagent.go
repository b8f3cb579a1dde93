package routing

import (
	"slices"

	"dunestep/internal/protocol"
)

// FailAll fails every request without a response, and makes the Router reject later requests: the agent is
// about to end. No attempt is started from here on. Responses that are being streamed go on, and those that
// have begun and may be long are streamed from now on.
func (r *Router) FailAll() []Output {
	r.out = r.out[:0]
	r.failingAll = true
	for _, id := range sorted(r.requests) {
		req := r.requests[id]
		if attempt, is := req.forwardableAttempt(); is && !req.answered {
			r.forward(req, attempt)
			continue
		}
		r.respondOnce(id, Output{Result: protocol.Failed, Text: FailedText, Cause: shutdownCause})
	}
	return r.out
}

// shutdownCause is why a request fails when the agent is about to end.
const shutdownCause = "shutting down"

// forwardableAttempt returns the first running attempt whose response has begun and is not known to be short.
func (req *requestState) forwardableAttempt() (number int, is bool) {
	number = slices.IndexFunc(req.attempts, func(a attemptState) bool { return a.running && a.canForward })
	return number, number >= 0
}

// EndResponses cancels the responses that are being streamed, and fails what has none: the agent ends now.
func (r *Router) EndResponses() []Output {
	r.out = r.out[:0]
	for _, id := range sorted(r.requests) {
		r.respondOnce(id, Output{Result: protocol.Failed, Text: FailedText, Cause: shutdownCause})
		if req := r.requests[id]; req != nil {
			r.cancelStreaming(req, AgentStopping)
		}
	}
	return r.out
}
