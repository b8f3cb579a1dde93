// Package roundtrip estimates how long replies take, for the timeouts of the fleet's own messages. An
// Estimate is not safe for concurrent use.
package roundtrip

import "time"

const (
	// smoothing is the divisor by which a new sample moves the estimate.
	smoothing = 8
	// timeoutFactor is the multiple of the estimate for which a reply is waited for.
	timeoutFactor = 4
)

// Estimate is a smoothed round trip. Its zero value has no sample yet.
type Estimate struct {
	smoothed time.Duration // 0: no sample yet
}

// Note adds a sample.
func (e *Estimate) Note(sample time.Duration) {
	if e.smoothed == 0 {
		e.smoothed = sample
	}
	e.smoothed = max(e.smoothed+(sample-e.smoothed)/smoothing, 1)
}

// Timeout returns how long a reply is waited for: four round trips, at most limit and at least
// limit/minDivisor; without a sample, limit.
func (e *Estimate) Timeout(limit, minDivisor time.Duration) time.Duration {
	if e.smoothed == 0 {
		return limit
	}
	return min(max(timeoutFactor*e.smoothed, limit/minDivisor), limit)
}
