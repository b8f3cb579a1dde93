package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// The events of a response that is not complete: it begins with its head, its attempt may become overdue, and
// it is started when it is passed on to the client.

// ResponseBegun handles the head of an attempt's successful response whose body has to be waited for, and the
// beginning of a body that was overdue. isShort means that it is known to be buffered to its end.
func (r *Router) ResponseBegun(now time.Duration, id uint32, attempt int, isShort, hasBody bool) []Output {
	r.out = r.out[:0]
	if req := r.runningAttempt(id, attempt); req != nil {
		req.attempts[attempt].canForward = !isShort
		r.decide(now, &balancer.ResponseBegun{ID: id, Attempt: attempt, HasBody: hasBody})
	}
	return r.out
}

// AttemptOverdue handles the end of an attempt's own time while its response is under way. A response that is
// not known to be short becomes the request's now, as the first bytes of a long one are timed, unless another
// attempt may still be faster. An attempt whose request has its response, or no client, ends.
func (r *Router) AttemptOverdue(now time.Duration, id uint32, attempt int, o OverdueAttempt) []Output {
	r.out = r.out[:0]
	req := r.runningAttempt(id, attempt)
	switch {
	case req == nil, req.streamingAttempt == attempt+1: // its response was started meanwhile
		return r.out
	case req.answered: // nobody waits for it
		r.cancel(req, attempt, TimedOut)
		return r.out
	}
	req.attempts[attempt].canForward = o.Stage == ResponseBegun
	r.decide(now, &balancer.AttemptOverdue{
		ID: id, Attempt: attempt, IsSilent: !o.HasBody && !o.IsLocal, Evidence: o.Result.Evidence(),
	})
	mustForward := req.openAttempts == 1 || now >= req.deadline-ForwardMargin
	if req.attempts[attempt].canForward && mustForward {
		r.forward(req, attempt)
	}
	return r.out
}

// ResponseStarted handles the beginning of an attempt's successful response that is too long to be buffered;
// AttemptEnded reports how it ended. The first such response is the request's final one, however it ends. It
// may take as long as the endpoint sends, since the latency objective applies to the first bytes.
func (r *Router) ResponseStarted(now time.Duration, id uint32, attempt int) []Output {
	r.out = r.out[:0]
	req := r.runningAttempt(id, attempt)
	if req == nil {
		return r.out
	}
	if reason := checkStart(req.answered, req.deadline-now); reason != NotEnded {
		r.cancel(req, attempt, reason)
		return r.out
	}
	req.streamingAttempt = attempt + 1
	r.respond(req, Output{Result: protocol.Served, Attempt: attempt, Streaming: true})
	r.decide(now, &balancer.StreamStarted{ID: id, Attempt: attempt})
	return r.out
}

// forward makes a response that has begun the request's.
func (r *Router) forward(req *requestState, attempt int) {
	r.emit(Output{Kind: ForwardResponse, Request: req.id, Attempt: attempt})
}

// cancelStreaming cancels the response that is being streamed to the client, if any.
func (r *Router) cancelStreaming(req *requestState, reason EndReason) {
	if req.streamingAttempt > 0 && req.attempts[req.streamingAttempt-1].running {
		r.cancel(req, req.streamingAttempt-1, reason)
	}
	req.streamingAttempt = 0
}
