package backoff

import "time"

// CallResult is how a call to discovery has ended.
type CallResult uint8

// The results of a call.
const (
	ResultUnknown CallResult = iota // not known, as in the simulator
	WatchSilent                     // a watch was open, and nothing came on it any more
	WatchLost                       // a watch was open and was closed, or could not be read
	CallFailed                      // the call was refused, failed, or was not answered in time
	Unreadable                      // something came that could not be used: it counts as known all the same
	AddressMoved                    // as CallFailed, of the first call to another address of discovery
)

const (
	// MinDelay is the mean delay after the first failed call in a small fleet.
	MinDelay = 200 * time.Millisecond
	// MaxDoublings is how many times the delay doubles, one failed call after another.
	MaxDoublings = 3
	// SmallFleetAgents is up to how many agents that holds; in a larger fleet the delay grows with their number.
	SmallFleetAgents = 6.0
	// AssumedKnownAfter is when a change that was not received counts as known: from when discovery had it and
	// could be reached, or from when a watch fell silent where that missed it.
	AssumedKnownAfter = 6 * time.Second

	staleFor        = 6 * time.Second        // after a failed call, what was not received may have changed
	responseTime    = 500 * time.Millisecond // that an answer takes, from a discovery with capacity
	callTimeout     = 2 * time.Second
	movedKnownAfter = 4 * time.Second // as AssumedKnownAfter, from when discovery was moved to another address
)

// Settings are the deployment's settings that the delays follow from.
type Settings struct {
	Agents          int
	MaxPollInterval time.Duration // a bound of AssumedKnownAfter without a watch; zero: none
	DrainGrace      time.Duration // for how long a draining server may be sent to, from when that is known
}

// assumedKnownAfter is when a change that was not received counts as known, from when it was made.
func (s Settings) assumedKnownAfter() time.Duration {
	if s.MaxPollInterval > 0 {
		return min(s.MaxPollInterval, AssumedKnownAfter)
	}
	return AssumedKnownAfter
}
