package agent

import (
	"sync"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// responseArrival is how far the response to an attempt has come. It is the only record of when a response
// has begun: with its head. It is safe for concurrent use.
type responseArrival struct {
	mu     sync.Mutex
	conn   *transport.UpstreamConn // on which the request was written; nil: not yet
	head   *transport.ResponseHead // nil: not read yet
	headAt time.Time
}

// expect begins to watch a connection on which the request is written.
func (r *responseArrival) expect(conn *transport.UpstreamConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn, r.head, r.headAt = conn, nil, time.Time{}
}

// begin records that the head was read.
func (r *responseArrival) begin(head transport.ResponseHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headAt = &head, time.Now()
}

// setAside records that the response may be a copy of one to an earlier request: none has begun.
func (r *responseArrival) setAside() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headAt = nil, time.Time{}
}

// beganAt returns when the head was read; false if it was not.
func (r *responseArrival) beganAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headAt, r.head != nil
}

// stage returns how far the response has come, by what has arrived at this machine.
func (r *responseArrival) stage() routing.ResponseStage {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.head != nil && r.head.IsShort:
		return routing.ShortResponseBegun
	case r.head != nil:
		return routing.ResponseBegun
	case r.conn != nil && r.conn.HasResponseBytes():
		return routing.ResponseArriving
	}
	return routing.NoResponse
}

// progress returns the progress of the body; zero before the head.
func (r *responseArrival) progress() (p bodystream.Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head != nil {
		p = r.head.Body.Progress()
	}
	return p
}

// hasUnread reports whether the system has bytes of the response that this process has not read.
func (r *responseArrival) hasUnread() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil && r.conn.HasUnread()
}

// forward starts the response, if its head was read and announces no short body. One that waits for memory is
// not started: its client would hold a connection for as long as the memory is short.
func (r *responseArrival) forward() {
	r.mu.Lock()
	head := r.head
	r.mu.Unlock()
	if head != nil && !head.IsShort && !head.Body.Progress().WaitsForMemory {
		head.Start()
	}
}

// time returns the times by which it is decided how long the attempt lasts.
func (a *attempt) time() routing.AttemptTime {
	d := a.deadlines.Load()
	return routing.AttemptTime{GiveUpAt: a.clock.at(d.giveUpAt), Deadline: a.clock.at(d.deadline)}
}

// nextStep returns what follows for the attempt now.
func (a *attempt) nextStep() routing.AttemptStep {
	return a.time().Next(a.clock.now(), a.response.stage())
}

// endsAt returns when the attempt ends, as far as that is known.
func (a *attempt) endsAt() time.Time {
	d := a.deadlines.Load()
	if a.isOverdue.Load() {
		return d.deadline
	}
	return d.giveUpAt
}

// recordHead records that the response has begun. If that is after the attempt's own time, it is reported at
// once.
func (a *attempt) recordHead(head transport.ResponseHead) {
	a.response.begin(head)
	logResponseBegun(a, head.Length)
	if a.nextStep().IsOverdue {
		observed := a.observeOverdue()
		observed.IsLocal = true // what came with the head was not read yet
		a.reportOverdue(observed)
	}
}

// recordBodyAwaited reports that the response has begun and more of it has to be waited for.
func (a *attempt) recordBodyAwaited() {
	a.report(responseBegun{attempt: a, isShort: a.response.stage() == routing.ShortResponseBegun})
}

// recordBodyBegun reports that the body has begun, if it was overdue.
func (a *attempt) recordBodyBegun() {
	if a.isOverdue.Load() {
		isShort := a.response.stage() == routing.ShortResponseBegun
		a.report(responseBegun{attempt: a, isShort: isShort, hasBody: true})
	}
}

// observeOverdue returns how far the response of an overdue attempt has come. An attempt that is overdue
// before its own time is over, since its client's time ends, says nothing of its endpoint.
func (a *attempt) observeOverdue() routing.OverdueAttempt {
	p, late := a.response.progress(), time.Since(a.deadlines.Load().giveUpAt)
	return routing.OverdueAttempt{
		Stage: a.response.stage(), HasBody: p.Received > 0,
		IsLocal: p.WaitsForMemory || a.response.hasUnread() || late < 0,
		Result: routing.AttemptResult{
			Phase: routing.Responding, EndReason: routing.TimedOut, LocalDelay: max(late, 0),
			WasBeingTaken: a.isBeingTaken(),
		},
	}
}

// reportOverdue reports that the attempt is overdue while its response is under way.
func (a *attempt) reportOverdue(observed routing.OverdueAttempt) {
	a.isOverdue.Store(true)
	logAttemptOverdue(a, observed, a.response.progress())
	a.report(attemptOverdue{a, observed})
}

// isBeingTaken reports whether the endpoint is still taking the request: it works, only not fast enough.
func (a *attempt) isBeingTaken() bool {
	watch := a.uptake.Load()
	return watch != nil && watch.isBeingTaken()
}

// headAfter returns how long after the start of the endpoint's time the head of its response was read; zero:
// it was not.
func (a *attempt) headAfter() time.Duration {
	at, hasBegun := a.response.beganAt()
	if !hasBegun {
		return 0
	}
	return at.Sub(a.sent)
}
