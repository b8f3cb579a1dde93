package agent

import (
	"context"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// request is a request that the router knows, under its number. All but response is the agent's actor's.
type request struct {
	*protocol.Request
	id       uint32
	response chan protocol.Response // holds the one final response
	attempts []*attempt             // by their numbers; nil: not started
}

const (
	// fleetWaitFraction of its client's time, and maxFleetWait, is how long a request waits at most in a
	// process that has just started and does not know yet what its fleet has agreed on.
	fleetWaitFraction = 0.5
	maxFleetWait      = time.Second
	// fleetPollInterval is how often it is looked whether that is known.
	fleetPollInterval = 2 * time.Millisecond
)

// HandleRequest carries a request out and returns its final response; false where the client left before. In
// a process that has just started it may wait first: see waitForFleetState.
func (a *Agent) HandleRequest(ctx context.Context, r *protocol.Request) (protocol.Response, bool) {
	if !a.waitForFleetState(ctx, r.TimeLeft) {
		r.Release()
		return protocol.Response{}, false
	}
	tracked := &request{Request: r, response: make(chan protocol.Response, 1)}
	a.mail.put(tracked)
	complete := r.BodyComplete
	for {
		select {
		case response := <-tracked.response:
			return response, true
		case <-complete:
			complete = nil
			a.mail.put(bodyComplete{tracked})
		case <-ctx.Done():
			a.mail.put(clientGone{tracked})
			return protocol.Response{}, false
		}
	}
}

// waitForFleetState has a request that arrives before this process has caught up with its fleet wait a
// little: forwarded at once it could reach an endpoint that operators were told is free of such requests.
// False: the client has left.
func (a *Agent) waitForFleetState(ctx context.Context, timeLeft time.Duration) bool {
	if a.fleetCaughtUp == nil || a.fleetCaughtUp() {
		return true
	}
	timeout := time.NewTimer(min(time.Duration(fleetWaitFraction*float64(timeLeft)), maxFleetWait))
	defer timeout.Stop()
	poll := time.NewTicker(fleetPollInterval)
	defer poll.Stop()
	for !a.fleetCaughtUp() {
		select {
		case <-poll.C:
		case <-timeout.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// startRequest hands a request to the router, which gives it its number.
func (a *Agent) startRequest(now time.Duration, r *request) {
	id, out := a.router.RequestArrived(now, r.Request, a.clock.at(r.ArrivedAt))
	r.id = id
	a.requests[id] = r
	a.carryOutAll(out)
}

// startResponse takes a response that is longer than what is buffered.
func (a *Agent) startResponse(now time.Duration, m responseStarted) {
	a.response = m.response
	if m.attempt.timer.Stop() { // else its time is up, and its end will be told
		a.carryOutAll(a.router.ResponseStarted(now, m.attempt.request.id, m.attempt.number))
	}
	a.closeUnusedResponse()
}

// endAttempt takes the end of an attempt, with the response that it may have.
func (a *Agent) endAttempt(now time.Duration, m attemptEnded) {
	a.response = m.response
	a.carryOutAll(a.router.AttemptEnded(now, m.attempt.request.id, m.attempt.number, m.result))
	a.closeUnusedResponse()
}

// closeUnusedResponse closes the response in hand where it has not become a request's.
func (a *Agent) closeUnusedResponse() {
	if a.response.BodyStream != nil {
		a.response.BodyStream.CloseRead()
	}
	a.response = protocol.UpstreamResponse{}
}

// closeUntakenResponse closes a response that was given while the client left.
func (r *request) closeUntakenResponse() {
	select {
	case response := <-r.response:
		if response.BodyStream != nil {
			response.BodyStream.CloseRead()
		}
	default:
	}
}

// carryOutForRequest carries out what the router asks for one request.
func (a *Agent) carryOutForRequest(r *request, out *routing.Output) {
	switch out.Kind {
	case routing.Respond:
		a.respond(r, out)
	case routing.StartAttempt:
		started := newAttempt(r, *out, a.clock)
		for len(r.attempts) <= out.Attempt {
			r.attempts = append(r.attempts, nil)
		}
		r.attempts[out.Attempt] = started
		a.upstreams[out.Endpoint].mail.put(started)
	case routing.RescheduleAttempt:
		r.attempts[out.Attempt].reschedule(a.clock.time(out.At), a.clock.time(out.Deadline))
	case routing.CancelAttempt:
		r.attempts[out.Attempt].cancel(out.Why)
	case routing.CancelIfUnsent:
		r.attempts[out.Attempt].cancelIfUnsent()
	case routing.ForgetRequest:
		r.Release()
		delete(a.requests, out.Request)
	}
}

// respond gives the one final response. A successful one has the body of the response in hand.
func (a *Agent) respond(r *request, out *routing.Output) {
	response := protocol.Response{
		Kind: out.Result, RetryAfter: out.After, OverQuota: out.OverQuota,
		Quota: out.Quota, Body: []byte(out.Text),
	}
	if out.Result == protocol.Served {
		response = protocol.Response{
			Kind: protocol.Served, BodyStream: a.response.BodyStream, ContentType: a.response.ContentType,
			Status: a.response.Status,
		}
		a.response.BodyStream = nil // the request's from now on
	}
	response.Streaming = out.Streaming
	r.response <- response
}
