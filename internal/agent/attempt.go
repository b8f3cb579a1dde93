package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// attempt is one attempt at a request, at one endpoint. Its goroutine, which the upstream's actor starts,
// carries it out, while the agent's actor may end it at any time.
type attempt struct {
	request   *request
	number    int // among those of its request, from 0
	endpoint  string
	streams   bool // its response is forwarded from the first byte on
	deadlines atomic.Pointer[attemptDeadlines]
	ctx       context.Context // ends when the attempt is given up; the cause is a routing.EndReason
	cancel    context.CancelCauseFunc
	timer     *time.Timer // gives it up; the agent's actor's

	// Of its goroutine.
	sent    time.Time // from when on it waits for the endpoint
	written time.Time // its last byte; zero: not yet

	mu       sync.Mutex
	unwanted bool // its request has its response, or its client has left
	writing  bool // it is being written, or has been
}

// attemptDeadlines are until when an attempt lasts. They change once when its request's body is complete.
type attemptDeadlines struct {
	giveUpAt time.Time // unless its response has begun
	deadline time.Time // of the request's final response
	// while the body is still coming: how long it waits from its end on; else zero
	timeoutAfterBody time.Duration
}

// newAttempt prepares an attempt that the router has asked for.
func newAttempt(r *request, start routing.Output, c clock) *attempt {
	a := &attempt{
		request: r, number: start.Attempt, endpoint: start.Endpoint, streams: start.Streaming,
		sent: time.Now(),
	}
	giveUpAt := c.time(start.At)
	a.deadlines.Store(&attemptDeadlines{giveUpAt, c.time(start.Deadline), start.After})
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx = ctx
	a.timer = time.AfterFunc(giveUpAt.Sub(a.sent), func() { cancel(routing.TimedOut) })
	a.cancel = func(why error) { a.timer.Stop(); cancel(why) }
	return a
}

// waitUntilWritable waits until a reused connection may be written, or until it has ended or the attempt is
// given up.
func (a *attempt) waitUntilWritable(conn *transport.UpstreamConn, delay time.Duration) {
	if delay <= 0 {
		return
	}
	writable := time.NewTimer(delay)
	defer writable.Stop()
	select {
	case <-writable.C:
	case <-conn.Done():
	case <-a.ctx.Done():
	}
	a.sent = time.Now() // the endpoint's time does not run before
}

// beginWriting tells whether the attempt may be written now. Once it was given up, or its request has its
// response or no client, it may not.
func (a *attempt) beginWriting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = !a.unwanted && a.ctx.Err() == nil
	if a.unwanted {
		a.cancel(routing.Canceled)
	}
	return a.writing
}

// resetWriting tells that nothing was written after all, and that a new connection is tried.
func (a *attempt) resetWriting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	if a.unwanted {
		a.cancel(routing.Canceled)
	}
}

// cancelIfUnsent tells that the request has its response, or no client: an attempt that is not written yet is
// canceled, one that is goes on to its end.
func (a *attempt) cancelIfUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwanted = true
	if !a.writing {
		a.cancel(routing.Canceled)
	}
}

// reschedule changes the deadlines, since the request's body is complete.
func (a *attempt) reschedule(giveUpAt, deadline time.Time) {
	a.deadlines.Store(&attemptDeadlines{giveUpAt: giveUpAt, deadline: deadline})
	if a.timer.Stop() { // else its time is up
		a.timer.Reset(time.Until(giveUpAt))
	}
}

// announcedTimeout is how long the attempt waits, as the endpoint is told that gets it now.
func (d *attemptDeadlines) announcedTimeout() time.Duration {
	if d.timeoutAfterBody > 0 {
		return d.timeoutAfterBody
	}
	return time.Until(d.giveUpAt)
}

// timedFrom is from when on the endpoint's time counts: of a body that is forwarded as it comes, from its end
// on.
func (a *attempt) timedFrom() time.Time {
	if a.request.Rest != nil && !a.written.IsZero() {
		return a.written
	}
	return a.sent
}
