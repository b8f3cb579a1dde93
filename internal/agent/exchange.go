package agent

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// progressInterval is the interval at which the limits of a streamed response are checked.
const progressInterval = 50 * time.Millisecond

// responseStarted reports to the agent's actor that an attempt's response has begun and is too long to be
// buffered.
type responseStarted struct {
	attempt  *attempt
	response protocol.UpstreamResponse
}

// responseBegun reports to the agent's actor that the head of an attempt's response was read, and that more
// of the response has to be waited for; or that its body has begun after it was overdue.
type responseBegun struct {
	attempt *attempt
	isShort bool // the body is known to be buffered to its end
	hasBody bool
}

// attemptOverdue reports to the agent's actor that an attempt's own time is over while its response is under
// way.
type attemptOverdue struct {
	attempt  *attempt
	observed routing.OverdueAttempt
}

// attemptEnded reports to the agent's actor how an attempt ended.
type attemptEnded struct {
	attempt  *attempt
	result   routing.AttemptResult
	response protocol.UpstreamResponse
}

// exchange is the exchange of one attempt with its endpoint. It is accessed only by the attempt's goroutine.
type exchange struct {
	upstream *upstream
	attempt  *attempt
	checkout routing.Checkout[*transport.UpstreamConn]

	conn     *transport.UpstreamConn
	reusable bool // conn can be used for another request
	response protocol.UpstreamResponse
	streamed *bodystream.Stream // body of the response once it is being forwarded; else nil
	readLate time.Duration      // time for which the complete response lay unread
	result   routing.AttemptResult
	err      error
}

// carryOut carries out an attempt on the connection of its checkout or a new one, returns the connection to
// the upstream's actor, and reports how the attempt ended. It runs in the attempt's goroutine.
func (u *upstream) carryOut(a *attempt, checkout routing.Checkout[*transport.UpstreamConn]) {
	defer a.cancel(nil)
	e := &exchange{upstream: u, attempt: a, checkout: checkout, conn: checkout.Conn}
	e.result = routing.AttemptResult{
		Phase: routing.StaleConnection, Reused: checkout.Reused, IdleFor: checkout.IdleFor,
	}
	if checkout.Reused {
		a.waitUntilWritable(e.conn, checkout.WriteDelay)
		e.roundTrip()
	}
	if e.result.NeedsResend() && !e.reusable { // else it was canceled before it was written
		a.resetWriting()
		e.result = routing.AttemptResult{Phase: routing.Connecting}
		if e.connect() {
			e.roundTrip()
		}
	}
	e.completeResult()
	u.mail.put(e.returnedConnection())
	u.report(e.end())
}

// The wait before connecting again after a fault of this machine doubles from the first to the second.
const minConnectWait, maxConnectWait = 5 * time.Millisecond, 40 * time.Millisecond

// connect opens a new connection and reports whether it is established. After a fault of this machine it
// tries again, as long as an attempt waits for its connection at most: another server would not be reached
// either.
func (e *exchange) connect() bool {
	s := &e.upstream.settings
	timeout := s.connectTimeouts.timeout(s.maxConnectTimeout, time.Until(e.attempt.deadlines.Load().giveUpAt))
	end := time.Now().Add(s.maxConnectTimeout)
	for wait := minConnectWait; ; wait = min(2*wait, maxConnectWait) {
		if e.attempt.request.hasEnded() {
			e.attempt.cancelIfUnsent()
		}
		began := time.Now()
		limit := min(timeout, time.Until(end))
		e.conn, e.err = transport.DialUpstream(e.attempt.ctx, e.attempt.endpoint, e.checkout.Addr, limit,
			s.descriptors, s.bodies, &e.upstream.times, e.upstream.idleConnectionEnded)
		isLate := e.err != nil && time.Since(began)-limit > maxTimerDelay // it may have been established meanwhile
		if !isLate {
			s.connectTimeouts.record(began, e.err)
		}
		if e.err == nil {
			return true
		}
		e.result.Refused = errors.Is(e.err, syscall.ECONNREFUSED)
		e.result.LocalFault = isLate || transport.IsLocalFault(e.err)
		if !e.result.LocalFault || errors.Is(e.err, transport.ErrNoDescriptor) || !e.attempt.sleepUntil(wait, end) {
			return false
		}
	}
}

// roundTrip writes the request and reads the response. If the attempt may not be written any more, nothing is
// written and the connection stays reusable.
func (e *exchange) roundTrip() {
	a := e.attempt
	if !a.beginWriting() {
		e.reusable, e.err = true, transport.ErrStaleConnection
		e.result.Phase = phaseOf(e.err)
		return
	}
	mayWrite := true
	a.response.expect(e.conn)
	r, timeout := a.request.Request, a.announcedTimeout()
	if r.Rest != nil || len(r.Body) > minWatchedBody {
		watch := startUptakeWatch(e.conn, e.upstream.settings.clock, e.checkStall)
		a.uptake.Store(watch)
		defer watch.stop()
	}
	e.response, e.reusable, e.err = e.conn.RoundTrip(a.ctx, transport.UpstreamRequest{
		Head: protocol.AppendUpstreamRequest(nil, r, timeout),
		Body: r.Body, Rest: r.Rest, Chunked: r.Length < 0,
		Streamed: a.streams, IsGraphQL: r.IsGraphQL,
		// Asked again: this process may not have been scheduled since beginWriting.
		MayWrite:       func() bool { mayWrite = a.beginWriting(); return mayWrite },
		OnWritten:      func() { a.recordWritten(); e.upstream.settings.metrics.AttemptSent() },
		OnResponseHead: a.recordHead, OnBodyAwaited: a.recordBodyAwaited,
		OnBodyBegun: a.recordBodyBegun, OnSetAside: a.response.setAside,
		OnResponseStart: func(response protocol.UpstreamResponse) {
			e.streamed = response.BodyStream
			e.startStreaming(response)
		},
	})
	e.reusable = e.reusable || !mayWrite // nothing was written, and the attempt needs no other connection
	e.result.Phase = phaseOf(e.err)
	if e.err == nil && e.streamed == nil {
		e.readLate = e.conn.TimeSinceData()
	}
}

// checkStall ends the attempt if the endpoint takes nothing of a streamed body. That of a buffered one ends
// by its timeout.
func (e *exchange) checkStall() {
	a := e.attempt
	watch, clientTime := a.uptake.Load(), a.deadlines.Load().timeAfterBody
	if watch == nil || clientTime == 0 { // from the last byte on, the attempt ends with the client's time
		return
	}
	if reason := routing.CheckServerStall(watch.stalledFor(), clientTime); reason != routing.NotEnded {
		logAttemptStalled(a, watch.stalledFor())
		a.cancel(reason)
	}
}

// startStreaming reports that the response has begun, and checks its limits every
// progressInterval from then on.
func (e *exchange) startStreaming(response protocol.UpstreamResponse) {
	a, body := e.attempt, response.BodyStream
	context.AfterFunc(a.ctx, func() { body.Abort(context.Cause(a.ctx)) })
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() { // Reset below, once watch is set
		if a.ctx.Err() != nil {
			return
		}
		p, left := body.Progress(), time.Until(a.deadlines.Load().deadline)
		progress := responseProgress(p)
		progress.Stream = a.streams
		lag := e.upstream.settings.bodies.Rules().MaxClientLag
		if reason := progress.CheckLimits(time.Since(a.sent), left, p.SilentFor, lag); reason != routing.NotEnded {
			a.cancel(reason)
			return
		}
		watch.Reset(progressInterval)
	})
	watch.Reset(progressInterval)
	e.upstream.report(responseStarted{a, response})
}

// completeResult sets the fields of the result that follow from the exchange's error.
func (e *exchange) completeResult() {
	rest := e.attempt.request.Rest
	e.result.BodyConsumed = rest != nil && rest.Progress().HasConsumed
	clientStopped := e.result.Phase == routing.Writing && errors.Is(e.err, transport.ErrClientStopped)
	notTried := e.result.Phase == routing.StaleConnection && e.reusable
	e.result.LocalFault = e.result.LocalFault || clientStopped || notTried
	e.result.EndReason = endReasonOf(e.attempt.ctx, e.err)
	if _, hasBegun := e.attempt.response.beganAt(); hasBegun && e.result.Phase == routing.AwaitingResponse {
		e.result.Phase = routing.Responding
	}
	if e.result.EndReason == routing.TimedOut {
		e.result.WasBeingTaken = e.attempt.isBeingTaken()
		e.result.LocalDelay = max(time.Since(e.attempt.endsAt()), 0)
	}
}

// returnedConnection returns the message that returns the connection to the upstream's actor.
func (e *exchange) returnedConnection() connectionReturned {
	m := connectionReturned{checkout: e.checkout}
	if e.reusable {
		m.conn = e.conn
		m.unused = e.result.Phase == routing.StaleConnection && e.conn == e.checkout.Conn
		m.rejected = !m.unused && e.response.Outcome == balancer.Rejected
	}
	if e.result.IsUnanswered() && e.streamed == nil {
		m.unansweredSince = e.upstream.settings.clock.now() - time.Since(e.attempt.sent)
	}
	return m
}

// end returns the message that reports how the attempt ended. If the response is being forwarded, it
// waits until that has ended.
func (e *exchange) end() attemptEnded {
	ended := attemptEnded{attempt: e.attempt, response: e.response}
	var p bodystream.Progress
	if e.streamed != nil {
		ended.response.BodyStream = nil // it belongs to the request now
		<-e.streamed.Done()
		if p, e.err = e.streamed.Progress(), e.streamed.Result(); errors.Is(e.err, io.EOF) {
			e.err = nil
		}
		e.result.Phase, e.result.Streamed = routing.Responding, true
	} else if e.response.BodyStream != nil {
		p = e.response.BodyStream.Progress()
	}
	e.result.EndReason, e.result.Response = endReasonOf(e.attempt.ctx, e.err), e.response.Outcome
	e.result.Progress = responseProgress(p)
	e.result.Latency = e.endpointLatency(p, time.Now())
	e.upstream.settings.idleLimit.record(e.upstream.settings.clock.now(), e.result)
	ended.result = e.result
	return ended
}

// endpointLatency returns the time that the endpoint took for the part of its response that was received,
// without delays by this agent. Of a streamed response only the beginning, its head, is timed, since the time
// for the rest depends on its length.
func (e *exchange) endpointLatency(p bodystream.Progress, ended time.Time) time.Duration {
	if e.streamed != nil {
		if beganAt, hasBegun := e.attempt.response.beganAt(); hasBegun {
			return max(beganAt.Sub(e.attempt.latencyStart()), 0)
		}
	}
	if p.IsComplete && !p.LastReceivedAt.IsZero() { // else the attempt waited for the response until its end
		ended = p.LastReceivedAt
	}
	latency := ended.Sub(e.attempt.latencyStart()) - p.MemoryWait - p.StalledFor - e.readLate
	if e.streamed != nil {
		latency -= p.ReceivingFor
	}
	return max(latency, 0)
}

// responseProgress converts the progress of a body to the router's type.
func responseProgress(p bodystream.Progress) routing.ResponseProgress {
	return routing.ResponseProgress{
		Length: p.Length, Received: p.Received, DelayBefore: p.MemoryWait, Blocked: p.StalledFor,
		Receiving: p.ReceivingFor,
		Complete:  p.IsComplete,
	}
}

// phaseOf returns the phase that an exchange reached, from its error.
func phaseOf(err error) routing.AttemptPhase {
	switch {
	case errors.Is(err, transport.ErrStaleConnection):
		return routing.StaleConnection
	case errors.Is(err, transport.ErrNotWritten):
		return routing.Writing
	case err == nil || errors.Is(err, transport.ErrInvalidResponse):
		return routing.Responding
	}
	return routing.AwaitingResponse
}

// endReasonOf returns why an attempt ended, from its context and error. This agent's own reason for ending
// it has precedence over the connection's error, which is a consequence of it.
func endReasonOf(ctx context.Context, err error) routing.EndReason {
	var reason routing.EndReason
	switch {
	case err == nil:
		return routing.Completed
	case errors.Is(err, bytebudget.ErrFull):
		return routing.NoMemory
	case errors.As(context.Cause(ctx), &reason):
		return reason
	case errors.Is(err, bodystream.ErrAbandoned):
		return routing.ClientLeft
	case errors.Is(err, transport.ErrInvalidResponse):
		return routing.InvalidResponse
	}
	return routing.BrokenByEndpoint
}
