package routing

import "time"

// ResponseStage is how far the response to an attempt has come.
type ResponseStage uint8

// The stages.
const (
	NoResponse ResponseStage = iota // no byte has arrived
	// ResponseArriving means that bytes have arrived, read or not, and the head is not complete.
	ResponseArriving
	ShortResponseBegun // the head is complete, and announces a body that is buffered to its end
	ResponseBegun      // the head is complete, and the body is or may be long: only its first bytes are timed
)

// ForwardMargin is how long before the end of its request's time a response that has begun is forwarded at
// the latest, so that its first bytes reach the client in time.
const ForwardMargin = 100 * time.Millisecond

// AttemptTime decides how long an attempt lasts. Its own time is what its endpoint is given for an answer
// that is of use to the client. It ends the attempt only while nothing of a response has arrived: what an
// endpoint still gives is not cut off as long as the client waits. Times are those of a clock of the caller's
// choice.
type AttemptTime struct {
	GiveUpAt time.Duration // end of its own time
	Deadline time.Duration // of the request's final response
}

// AttemptStep is what follows for an attempt whose response is not complete.
type AttemptStep struct {
	IsOver    bool          // the attempt ends as TimedOut
	IsOverdue bool          // its own time is over, and it goes on: to be reported to Router.AttemptOverdue
	NextAt    time.Duration // when to decide again, unless IsOver
}

// overdueAt returns when an attempt whose response has begun is overdue.
func (t AttemptTime) overdueAt() time.Duration { return min(t.GiveUpAt, t.Deadline-ForwardMargin) }

// FirstStepAt returns when to decide for the first time.
func (t AttemptTime) FirstStepAt() time.Duration { return t.overdueAt() }

// Next decides at a time, for the stage that the response has reached by then.
func (t AttemptTime) Next(now time.Duration, stage ResponseStage) AttemptStep {
	switch {
	case stage == NoResponse && now < t.overdueAt():
		return AttemptStep{NextAt: t.overdueAt()}
	case stage == NoResponse:
		return AttemptStep{IsOver: now >= t.GiveUpAt, NextAt: t.GiveUpAt}
	case now >= t.Deadline:
		return AttemptStep{IsOver: true}
	case now < t.overdueAt():
		return AttemptStep{NextAt: t.overdueAt()}
	case now < t.Deadline-ForwardMargin:
		return AttemptStep{IsOverdue: true, NextAt: t.Deadline - ForwardMargin}
	}
	return AttemptStep{IsOverdue: true, NextAt: t.Deadline}
}

// OverdueAttempt is what the caller that carries out an overdue attempt has observed of it.
type OverdueAttempt struct {
	Stage ResponseStage
	// HasBody means that a part of the response's body has arrived.
	HasBody bool
	// IsLocal means that this process has not read what arrived, has no memory for it or was not scheduled, or
	// that the attempt's own time is not over: that nothing more has come is no evidence about the endpoint.
	IsLocal bool
	Result  AttemptResult // as far as it is known
}
