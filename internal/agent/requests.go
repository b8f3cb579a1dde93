package agent

import (
	"context"
	"sync"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// request is a request that was passed to the router, with its number there. Its fields, except response and
// those that mu guards, are accessed only by the agent's actor.
type request struct {
	*protocol.Request
	id       uint32
	isPassed bool                   // it was passed to the router, and has its number
	response chan protocol.Response // capacity 1, for the one final response
	settled  chan struct{}          // see protocol.Response.Settled; nil: not needed
	attempts []*attempt             // by number; nil: not started

	mu          sync.Mutex
	isOver      bool // it has its final response, or its client has left: no attempt may be written any more
	isForwarded bool // an attempt is being written, or was
}

// beginForwarding records that an attempt is about to be written, unless the request is over or its client
// has closed its connection.
func (r *request) beginForwarding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver || r.ClientGone != nil && r.ClientGone() {
		return false
	}
	r.isForwarded = true
	return true
}

// end ends the request and reports whether it was not over yet. Whoever ends it gives its final response, if
// one is due: the actor, or its client's goroutine.
func (r *request) end() (ended, wasForwarded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended = !r.isOver
	r.isOver = true
	return ended, r.isForwarded
}

func (r *request) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isOver
}

// endRequest handles the end of a request that its client's goroutine has ended.
func (a *Agent) endRequest(now time.Duration, r *request) {
	if r.isPassed {
		a.carryOutAll(a.router.ClientGone(now, r.id))
	}
	r.closeUndeliveredResponse()
	if r.settled != nil {
		close(r.settled)
	}
}

const (
	// fleetWaitFraction is the maximum fraction of its time left, and maxFleetWait the maximum time, that a
	// request waits for a process that has just started to learn what its fleet has agreed on.
	fleetWaitFraction = 0.5
	maxFleetWait      = time.Second
	// fleetPollInterval is the interval at which a waiting request polls for that.
	fleetPollInterval = 2 * time.Millisecond
)

// HandleRequest carries out a request and returns its final response; false if ctx ends first, because the
// client has left. In a process that has just started, it may wait first: see waitForFleetState. A request
// whose time is over gets its response here, whatever the actor is doing.
func (a *Agent) HandleRequest(ctx context.Context, r *protocol.Request) (protocol.Response, bool) {
	if !a.waitForFleetState(ctx, r.TimeLeft) {
		r.Release()
		return protocol.Response{}, false
	}
	useKnownArrival(r)
	if response, isRefused := waitForPrevious(ctx, r); isRefused {
		r.Release()
		return response, ctx.Err() == nil
	}
	if response, isRefused := a.openID(ctx, r); isRefused {
		r.Release()
		return response, true
	}
	tracked := &request{Request: r, response: make(chan protocol.Response, 1), settled: make(chan struct{})}
	a.mail.put(tracked)
	complete := r.BodyComplete
	timeOver := time.NewTimer(timeUntilOver(r))
	defer timeOver.Stop()
	for {
		select {
		case response := <-tracked.response:
			return response, true
		case completedAt := <-complete:
			complete = nil
			timeOver.Reset(time.Until(completedAt.Add(r.TimeLeft)))
			a.mail.put(bodyComplete{tracked, completedAt})
		case <-timeOver.C:
			if response, ended := tracked.endInTime(); ended {
				a.mail.put(requestOver{tracked})
				response.Settled = tracked.settled
				return response, true
			}
			timeOver.Reset(time.Hour) // the response is on its way
		case <-ctx.Done():
			tracked.end()
			a.mail.put(clientGone{tracked})
			return protocol.Response{}, false
		}
	}
}

// waitForPrevious waits until nothing of the request before on the same connection is queued, as long as
// the request has time. A request that was answered at the end of its time may still be queued: without
// this wait, one connection could queue more and more of them, and all others would wait behind them. A
// request that has no time left is refused, without being queued.
func waitForPrevious(ctx context.Context, r *protocol.Request) (refusal protocol.Response, isRefused bool) {
	refusal = protocol.Response{Kind: protocol.Rejected, Body: []byte(routing.RejectedText), Settled: r.Previous}
	left := timeUntilOver(r)
	if left <= 0 {
		return refusal, true
	}
	if r.Previous == nil {
		return protocol.Response{}, false
	}
	timeOver := time.NewTimer(left)
	defer timeOver.Stop()
	select {
	case <-r.Previous:
		return protocol.Response{}, false
	case <-timeOver.C:
	case <-ctx.Done():
	}
	return refusal, true
}

// useKnownArrival sets when a request arrived whose body is streamed, if the body has arrived already: its
// attempts must not be given more time than its client has left.
func useKnownArrival(r *protocol.Request) {
	select {
	case r.ArrivedAt = <-r.BodyComplete:
		r.BodyComplete = nil
	default:
	}
}

// timeUntilOver returns the time that the request's client still waits. That of a request whose body is not
// complete begins later.
func timeUntilOver(r *protocol.Request) time.Duration {
	if r.BodyComplete != nil {
		return routing.MaxBodyTime
	}
	return time.Until(r.ArrivedAt.Add(r.TimeLeft))
}

// endInTime ends a request whose time is over, with a rejection if nothing was forwarded. It returns false if
// the request has its response already.
func (r *request) endInTime() (response protocol.Response, ended bool) {
	ended, wasForwarded := r.end()
	if wasForwarded {
		return protocol.Response{Kind: protocol.Failed, Body: []byte(routing.FailedText)}, ended
	}
	return protocol.Response{Kind: protocol.Rejected, Body: []byte(routing.RejectedText)}, ended
}

// waitForFleetState delays a request that arrives before this process has caught up with its fleet, for a
// limited time: if forwarded at once, it could reach an endpoint that was reported to operators as free of
// such requests. It returns false if the client has left.
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

// startRequest passes a request to the router, which assigns its number. A request that ended while it waited
// is not passed on: nothing can be done for it any more, and others wait.
func (a *Agent) startRequest(now time.Duration, r *request) {
	if r.hasEnded() {
		r.Release()
		a.closeID(r)
		return
	}
	r.isPassed = true
	id, out := a.router.RequestArrived(now, r.Request, a.clock.at(r.ArrivedAt))
	r.id = id
	a.requests[id] = r
	a.carryOutAll(out)
}

// startResponse handles the beginning of a response that is too long to be buffered.
func (a *Agent) startResponse(now time.Duration, m responseStarted) {
	a.response = m.response
	if m.attempt.timeout.stop() { // else the attempt has timed out, and attemptEnded follows
		a.carryOutAll(a.router.ResponseStarted(now, m.attempt.request.id, m.attempt.number))
	}
	a.closeUnusedResponse()
}

// endAttempt handles the end of an attempt, with its response if there is one.
func (a *Agent) endAttempt(now time.Duration, m attemptEnded) {
	logAttemptEnded(m.attempt, m.result)
	a.response = m.response
	a.carryOutAll(a.router.AttemptEnded(now, m.attempt.request.id, m.attempt.number, m.result))
	a.closeUnusedResponse()
}

// closeUnusedResponse closes the reported response's body unless it has become the request's.
func (a *Agent) closeUnusedResponse() {
	if a.response.BodyStream != nil {
		a.response.BodyStream.CloseRead()
	}
	a.response = protocol.UpstreamResponse{}
}

// closeUndeliveredResponse closes a response that was given while the client was leaving.
func (r *request) closeUndeliveredResponse() {
	select {
	case response := <-r.response:
		if response.BodyStream != nil {
			response.BodyStream.CloseRead()
		}
	default:
	}
}

// carryOutForRequest carries out an output of the router that concerns one request.
func (a *Agent) carryOutForRequest(r *request, out *routing.Output) {
	switch out.Kind {
	case routing.Respond:
		a.respond(r, out)
	case routing.StartAttempt:
		started := newAttempt(r, *out, a.clock, func(m any) { a.mail.put(m) })
		logAttemptStarted(started)
		for len(r.attempts) <= out.Attempt {
			r.attempts = append(r.attempts, nil)
		}
		r.attempts[out.Attempt] = started
		a.upstreams[out.Endpoint].mail.put(started)
	case routing.RescheduleAttempt:
		r.attempts[out.Attempt].reschedule(a.clock.time(out.At), a.clock.time(out.Deadline))
	case routing.CancelAttempt:
		r.attempts[out.Attempt].cancel(out.Reason)
	case routing.ForwardResponse:
		r.attempts[out.Attempt].response.forward()
	case routing.CancelIfUnsent:
		r.attempts[out.Attempt].cancelIfUnsent()
	case routing.ForgetRequest:
		r.Release()
		if out.MayHaveRun {
			a.retainID(r)
		} else {
			a.closeID(r)
		}
		delete(a.requests, out.Request)
	}
}

// respond gives the one final response, unless the request is over. If it is served, its body is that of the
// reported response.
func (a *Agent) respond(r *request, out *routing.Output) {
	if ended, _ := r.end(); !ended {
		return
	}
	logResponse(r, out)
	response := protocol.Response{
		Kind: out.Result, RetryAfter: out.After, OverQuota: out.OverQuota,
		Quota: out.Quota, Body: []byte(out.Text),
	}
	if out.Result == protocol.Served {
		response = protocol.Response{
			Kind: protocol.Served, BodyStream: a.response.BodyStream, ContentType: a.response.ContentType,
			Status: a.response.Status,
		}
		a.response.BodyStream = nil // it belongs to the request now
	}
	response.Streaming = out.Streaming
	r.response <- response
}
