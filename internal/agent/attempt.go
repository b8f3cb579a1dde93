package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// attempt is one attempt at an operation, at one booking server. The booking server's actor carries it out in
// a goroutine of its own, while the module's actor may end it at any time.
type attempt struct {
	request *request
	number  int // among those of its operation, from 0
	server  string
	streams bool // its answer is passed on from the first byte on
	sent    time.Time
	written time.Time // its last byte; zero: not yet
	times   atomic.Pointer[attemptDeadlines]
	ctx     context.Context // ends when the attempt is given up; the cause is a routing.EndReason
	cancel  context.CancelCauseFunc
	timer   *time.Timer // gives it up; the module's actor's

	mu       sync.Mutex // of the two below
	unwanted bool       // its operation has its final answer, or its client has gone
	writes   bool       // it is written, or has been
}

// settles waits until something may be written on a connection that was used before, or until that has ended
// or the attempt is given up.
func (a *attempt) waitUntilWritable(conn *transport.UpstreamConn, wait time.Duration) {
	if wait <= 0 {
		return
	}
	settled := time.NewTimer(wait)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-conn.Done():
	case <-a.ctx.Done():
	}
	a.sent = time.Now() // the booking server's time does not run before
}

// mayWrite tells whether the attempt may be written now. Once its operation has its final answer, its client
// has gone or it was given up, it may not: it would be sent on after that.
func (a *attempt) mayWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes = !a.unwanted && a.ctx.Err() == nil
	if a.unwanted {
		a.cancel(routing.Canceled)
	}
	return a.writes
}

// unwritten takes in that nothing was written after all, and that a new connection is tried.
func (a *attempt) resetWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes = false
	if a.unwanted {
		a.cancel(routing.Canceled)
	}
}

// unwant takes in that its operation has its final answer, or its client has gone: one that is not written
// yet is called off, one that is goes on to its end.
func (a *attempt) cancelIfUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwanted = true
	if !a.writes {
		a.cancel(routing.Canceled)
	}
}

// attemptDeadlines are until when an attempt lasts. They change when an operation has come whole.
type attemptDeadlines struct {
	giveUpAt         time.Time     // when it is given up, unless its answer has begun
	deadline         time.Time     // of the operation's final answer
	timeoutAfterBody time.Duration // while the operation is still coming: how long it is waited for from its end on
}

// wait is how long the attempt is waited for, as a booking server is told that gets it now.
func (t *attemptDeadlines) announcedTimeout() time.Duration {
	if t.timeoutAfterBody > 0 {
		return t.timeoutAfterBody
	}
	return time.Until(t.giveUpAt)
}

// retime sets them anew, as the operation has come whole.
func (a *attempt) reschedule(until, deadline time.Time) {
	a.times.Store(&attemptDeadlines{giveUpAt: until, deadline: deadline})
	if a.timer.Stop() { // else its time is up
		a.timer.Reset(time.Until(until))
	}
}

// newAttempt prepares an attempt that the core has asked for.
func newAttempt(o *request, start routing.Output, c clock) *attempt {
	a := &attempt{
		request: o, number: start.Attempt, server: start.Endpoint, streams: start.Streaming,
		sent: time.Now(),
	}
	until := c.time(start.At)
	a.times.Store(&attemptDeadlines{until, c.time(start.Deadline), start.After})
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx = ctx
	a.timer = time.AfterFunc(until.Sub(a.sent), func() { cancel(routing.TimedOut) })
	a.cancel = func(why error) { a.timer.Stop(); cancel(why) }
	return a
}

// began is from when on the booking server's time counts.
func (a *attempt) timedFrom() time.Time {
	if a.request.Rest != nil && !a.written.IsZero() {
		return a.written
	}
	return a.sent
}
