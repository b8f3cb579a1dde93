package probation

import "time"

const (
	trialObjectiveFraction    = 0.4 // of the latency objective: a trial's timeout; leaves time for two retries
	trialLatencyMultiple      = 4.0 // times the usual latency: the same, where that is longer
	maxTrialObjectiveFraction = 0.5 // of the latency objective: the most
	waitObjectiveFraction     = 0.2 // of the latency objective: the wait at a fresh list
	recheckInterval           = 10 * time.Millisecond
)

// Request is what counts of a request that needs a server.
type Request struct {
	LatencyObjective time.Duration
	Idempotent       bool
	MayHedge         bool // two attempts of it may be in flight at once
	Attempts         int  // that it has had
	MaxAttempts      int
	HasEndedAttempt  bool
	// WaitUntil is until when it waits for a proved server: see List.WaitDeadline. Zero: it did not wait yet.
	WaitUntil time.Duration
}

// NeedsAnsweringServer reports whether the request goes only to servers that have responded, for as long as
// it waits: where it is not idempotent, or has been at a bad server already.
func (r Request) NeedsAnsweringServer(now time.Duration) bool {
	return (!r.Idempotent || r.HasEndedAttempt) && (r.WaitUntil <= 0 || now < r.WaitUntil)
}

// RecheckDelay is after how long a request that waits looks for a server again: at least a tick.
func (r Request) RecheckDelay(now, tick time.Duration) time.Duration {
	return min(max(recheckInterval, tick), r.WaitUntil-now)
}

// TrialTimeout is how long an attempt of an idempotent request may take at a server that is not proved. The
// usual latency is zero where it is not known: a response that is only slow need not be retried.
func TrialTimeout(objective, usualLatency time.Duration) time.Duration {
	byObjective := time.Duration(trialObjectiveFraction * float64(objective))
	byLatency := time.Duration(trialLatencyMultiple * float64(usualLatency))
	return min(max(byObjective, byLatency), time.Duration(maxTrialObjectiveFraction*float64(objective)))
}

// WaitTime is how long a request waits for a server that is proved before it goes to any other: the longer,
// the less the list is trusted.
func WaitTime(objective time.Duration, trust float64) time.Duration {
	return time.Duration(waitObjectiveFraction * (2 - trust) * float64(objective))
}
