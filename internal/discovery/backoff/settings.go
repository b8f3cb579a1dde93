package backoff

import "time"

// CallResult is how a call to discovery ended.
type CallResult uint8

// The results of a call.
const (
	ResultUnknown CallResult = iota // unknown, as in the simulator
	WatchSilent                     // an open watch stopped receiving anything
	WatchLost                       // an open watch was closed or could not be read
	CallFailed                      // the call was refused, failed, or was not answered in time
	Unreadable                      // received data was not usable; its changes still count as known
	AddressMoved                    // like CallFailed, for the first call to a new address of discovery
)

const (
	// MinDelay is the mean delay after the first failed call in a small fleet.
	MinDelay = 200 * time.Millisecond
	// MaxDoublings is the number of consecutive failed calls that double the delay.
	MaxDoublings = 3
	// SmallFleetAgents is the maximum size of a small fleet, in agents. In a larger fleet the delay grows in
	// proportion to the number of agents.
	SmallFleetAgents = 6.0
	// AssumedKnownAfter is the time after which a change that was not received counts as known. It starts when
	// discovery has the change and can be reached, or when the watch that missed the change fell silent.
	AssumedKnownAfter = 6 * time.Second

	staleFor     = 6 * time.Second        // time after a failed call in which recent changes may be missing
	responseTime = 500 * time.Millisecond // response time of a discovery service with capacity
	callTimeout  = 2 * time.Second
	// timerPrecision is by how much a timer may be due early: the simulator's have whole microseconds.
	timerPrecision = time.Microsecond
	// minAnswerTimeout is the shortest time after which a call without an answer is repeated.
	minAnswerTimeout = time.Second
	// pollsPerInterval is how often an unanswered call is repeated in Settings.MaxPollInterval.
	pollsPerInterval = 4
	movedKnownAfter  = 4 * time.Second // like AssumedKnownAfter, after discovery moved to a new address
)

// Settings are the settings of the deployment that determine the delays.
type Settings struct {
	Agents          int
	MaxPollInterval time.Duration // upper limit of AssumedKnownAfter without a watch; zero means none
	DrainGrace      time.Duration // time for which a server may get requests after its draining is known
}

// answerTimeout returns the time after which a call without an answer is repeated.
func (s Settings) answerTimeout() time.Duration {
	return max(s.MaxPollInterval/pollsPerInterval, minAnswerTimeout)
}

// assumedKnownAfter returns the time after which a change that was not received counts as known.
func (s Settings) assumedKnownAfter() time.Duration {
	if s.MaxPollInterval > 0 {
		return min(s.MaxPollInterval, AssumedKnownAfter)
	}
	return AssumedKnownAfter
}
