package probation

import "time"

const (
	unprovenTimeoutFraction    = 0.4 // fraction of the latency objective; leaves time for two retries
	unprovenLatencyMultiple    = 4.0 // multiple of the usual latency; applies if it gives a longer timeout
	maxUnprovenTimeoutFraction = 0.5 // fraction of the latency objective
	waitObjectiveFraction      = 0.2 // fraction of the latency objective, at full trust
	recheckInterval            = 10 * time.Millisecond
)

// Request is the state of a request that needs a server, as far as it matters to probation.
type Request struct {
	LatencyObjective time.Duration
	Idempotent       bool
	MayHedge         bool // two attempts may be in flight at once
	Attempts         int  // attempts made so far
	MaxAttempts      int
	HasEndedAttempt  bool
	// WaitUntil is when the request stops waiting for a proven server: see List.WaitDeadline. It is zero if the
	// request has not waited yet.
	WaitUntil time.Duration
}

// NeedsAnsweringServer reports whether the request goes only to servers that have responded, until its wait
// is over: if it is not idempotent, or if an attempt of it has ended already.
func (r Request) NeedsAnsweringServer(now time.Duration) bool {
	return (!r.Idempotent || r.HasEndedAttempt) && (r.WaitUntil <= 0 || now < r.WaitUntil)
}

// RecheckDelay returns the delay until a waiting request looks for a server again: at least a tick, but not
// beyond WaitUntil.
func (r Request) RecheckDelay(now, tick time.Duration) time.Duration {
	return min(max(recheckInterval, tick), r.WaitUntil-now)
}

// UnprovenTimeout returns the timeout of an attempt of an idempotent request at an unproven server. It
// covers a multiple of the usual latency, so that a slow response is not retried. The usual latency is zero
// if unknown.
func UnprovenTimeout(objective, usualLatency time.Duration) time.Duration {
	byObjective := time.Duration(unprovenTimeoutFraction * float64(objective))
	byLatency := time.Duration(unprovenLatencyMultiple * float64(usualLatency))
	return min(max(byObjective, byLatency), time.Duration(maxUnprovenTimeoutFraction*float64(objective)))
}

// WaitTime returns how long a request waits for a proven server before it goes to any other server. The wait
// grows as the trust in the list falls.
func WaitTime(objective time.Duration, trust float64) time.Duration {
	return time.Duration(waitObjectiveFraction * (2 - trust) * float64(objective))
}
