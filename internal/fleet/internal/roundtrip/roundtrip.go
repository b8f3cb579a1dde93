// Package roundtrip estimates the round-trip time of messages between the agents of a fleet, and derives
// timeouts from it. An Estimate is not safe for concurrent use.
package roundtrip

import "time"

const (
	// smoothing is the divisor of the difference between a new sample and the estimate, by which the estimate
	// changes.
	smoothing = 8
	// timeoutFactor is the ratio of the timeout to the estimate.
	timeoutFactor = 4
)

// Estimate is a smoothed round-trip time. Its zero value has no sample yet.
type Estimate struct {
	smoothed time.Duration // 0: no sample yet
}

// AddSample adds a sample.
func (e *Estimate) AddSample(sample time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = sample
	}
	e.smoothed = max(e.smoothed+(sample-e.smoothed)/smoothing, 1)
}

// Timeout returns the timeout for a reply: four round trips, at most limit and at least limit/minDivisor. It
// returns limit if there is no sample yet.
func (e *Estimate) Timeout(limit, minDivisor time.Duration) time.Duration {
	if e.smoothed == 0 {
		return limit
	}
	return min(max(timeoutFactor*e.smoothed, limit/minDivisor), limit)
}
