package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// attempt is one attempt of a request at one endpoint. The upstream's actor starts a goroutine that carries
// it out; the agent's actor may end it at any time.
type attempt struct {
	request   *request
	number    int // within its request, from 0
	endpoint  string
	streams   bool // the response is forwarded from the first byte on
	deadlines atomic.Pointer[attemptDeadlines]
	ctx       context.Context // canceled when the attempt is given up, with a routing.EndReason as the cause
	cancelCtx context.CancelCauseFunc
	cancel    context.CancelCauseFunc // stops the timer as well
	timeout   attemptTimeout
	// readsLate means that the attempt's time is over, and what arrived before is being read. Accessed only by
	// timeOut.
	readsLate bool
	writeBy   time.Time // when it must have been written; zero: at any time
	// serverTime is the endpoint's time for a buffered request, counted from when it has the last byte.
	serverTime time.Duration
	uptake     atomic.Pointer[uptakeWatch] // nil: not watched

	// Accessed only by the attempt's goroutine.
	sent    time.Time // start of the endpoint's time
	written time.Time // when the last byte was written; zero: not yet

	mu       sync.Mutex
	obsolete bool // the request has its response, or its client has left
	writing  bool // the attempt is being written, or has been
	isWhole  bool // the last byte has been written

	clock    clock
	report   func(any) // to the agent's actor
	response responseArrival
	// isOverdue means that the attempt goes on until the request's deadline, since its response is under way.
	isOverdue atomic.Bool
}

// attemptDeadlines are the deadlines of an attempt. They change once, when its request's body is complete.
type attemptDeadlines struct {
	giveUpAt time.Time // end of the attempt, unless its response has begun
	deadline time.Time // of the request's final response
	// timeAfterBody is the client's time counted from the last byte of the body, until that is received; else
	// zero.
	timeAfterBody time.Duration
}

// newAttempt returns an attempt for a StartAttempt output of the router. Its timeout starts now. report
// passes messages to the agent's actor.
func newAttempt(r *request, start routing.Output, c clock, report func(any)) *attempt {
	a := &attempt{
		request: r, number: start.Attempt, endpoint: start.Endpoint, streams: start.Streaming,
		sent: time.Now(),
	}
	giveUpAt := c.time(start.At)
	a.deadlines.Store(&attemptDeadlines{giveUpAt, c.time(start.Deadline), start.After})
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx = ctx
	a.cancelCtx, a.serverTime = cancel, giveUpAt.Sub(a.sent)
	a.clock, a.report = c, report
	a.timeout.start(c.until(a.time().FirstStepAt()), a.timeOut)
	a.cancel = func(why error) { a.timeout.stop(); cancel(why) }
	if start.WriteBy != 0 {
		a.writeBy = c.time(start.WriteBy)
		late := time.AfterFunc(time.Until(a.writeBy), a.cancelIfUnsent)
		context.AfterFunc(ctx, func() { late.Stop() })
	}
	return a
}

const (
	// maxTimerDelay is the delay of a timer from which on this process was not scheduled meanwhile.
	maxTimerDelay = 20 * time.Millisecond
	// lateReadTime is the time for reading a response that arrived meanwhile.
	lateReadTime = 20 * time.Millisecond
)

// timeOut ends the attempt, or returns for how much longer it lasts: the endpoint is still taking its
// request, its response is under way, or the time was changed meanwhile. If the timer is late, the response
// may have arrived in time all the same, and is read first.
func (a *attempt) timeOut() (extension time.Duration) {
	if extension = a.extensionForUptake(); extension > 0 {
		return extension
	}
	step := a.nextStep()
	if step.IsOverdue {
		a.reportOverdue(a.observeOverdue())
	}
	if !step.IsOver {
		return max(a.clock.until(step.NextAt), minStepWait)
	}
	if !a.readsLate && time.Since(a.endsAt()) > maxTimerDelay {
		a.readsLate = true
		return lateReadTime
	}
	a.cancelCtx(routing.TimedOut)
	return 0
}

// minStepWait is the minimum time between two steps of an attempt's timer.
const minStepWait = time.Millisecond

// extensionForUptake returns for how much longer the attempt lasts, since the endpoint has had the whole
// request only for a part of its time, or is still taking it. The request's deadline stays.
func (a *attempt) extensionForUptake() time.Duration {
	watch, d := a.uptake.Load(), a.deadlines.Load()
	if watch == nil || a.request.Rest != nil || time.Until(d.giveUpAt) > 0 {
		return 0
	}
	end := watch.attemptEnd(d.giveUpAt, a.serverTime)
	if end.After(d.deadline) {
		end = d.deadline
	}
	left := time.Until(end)
	if left <= 0 || !a.deadlines.CompareAndSwap(d, &attemptDeadlines{giveUpAt: end, deadline: d.deadline}) {
		return 0
	}
	return left
}

// waitUntilWritable waits for delay, after which a reused connection may be written. It returns early if the
// connection ends or the attempt is given up.
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
	a.sent = time.Now() // the delay does not count as the endpoint's time
}

// sleepUntil waits, and reports whether the attempt goes on and the end is not reached.
func (a *attempt) sleepUntil(wait time.Duration, end time.Time) bool {
	if time.Now().Add(wait).After(end) {
		return false
	}
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// beginWriting reports whether the attempt may be written now, and marks it as being written if so. It may
// not be written once it was given up, or its request has its response or no client. Clock and client are
// asked anew: in a process that was not scheduled, timers and messages are late.
func (a *attempt) beginWriting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.obsolete && !time.Now().Before(a.deadlines.Load().giveUpAt) {
		a.cancel(routing.TimedOut)
	}
	isLate := !a.writeBy.IsZero() && time.Now().After(a.writeBy)
	a.obsolete = a.obsolete || isLate || a.ctx.Err() == nil && !a.request.beginForwarding()
	if a.obsolete {
		a.cancel(routing.Canceled)
	}
	a.writing = a.ctx.Err() == nil
	return a.writing
}

// resetWriting records that nothing was written after all, before a new connection is tried.
func (a *attempt) resetWriting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	if a.obsolete {
		a.cancel(routing.Canceled)
	}
}

// cancelIfUnsent cancels the attempt if it is not written yet: the request has its response, or no client. An
// attempt that is being written, or has been, continues to its end, unless its body is streamed: an endpoint
// begins a request with its last byte, and that may be written much later.
func (a *attempt) cancelIfUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.obsolete = true
	if !a.writing || a.request.Rest != nil && !a.isWhole {
		a.cancel(routing.Canceled)
	}
}

// recordWritten records that the last byte has been written.
func (a *attempt) recordWritten() {
	a.written = time.Now()
	if watch := a.uptake.Load(); watch != nil {
		watch.recordWritten()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isWhole = true
}

// reschedule changes the deadlines, now that the request's body is complete.
func (a *attempt) reschedule(giveUpAt, deadline time.Time) {
	a.deadlines.Store(&attemptDeadlines{giveUpAt: giveUpAt, deadline: deadline})
	a.timeout.reset(a.clock.until(a.time().FirstStepAt()))
}

// announcedTimeout returns the attempt's remaining time, which is sent to the endpoint with the request.
func (a *attempt) announcedTimeout() time.Duration {
	d := a.deadlines.Load()
	switch {
	case d.timeAfterBody == 0:
		return time.Until(d.giveUpAt)
	case a.request.ClientWaited == nil:
		return d.timeAfterBody
	}
	return max(min(d.timeAfterBody, a.request.TimeLeft-a.request.ClientWaited()), 0)
}

// latencyStart returns the start of the endpoint's time: when it can have had the last byte of a request
// that took it long to take.
func (a *attempt) latencyStart() time.Time {
	if watch := a.uptake.Load(); watch != nil && !a.written.IsZero() {
		return watch.serverStart(a.written)
	}
	return a.sent
}
