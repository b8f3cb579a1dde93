package routing

import "time"

const (
	// connectFraction of an attempt's time is what a connection is waited for: what was never sent may go to
	// another endpoint, as long as there is time for it.
	connectFraction = 0.25
	// connectMultiple times as long as connections have taken lately is waited for at least.
	connectMultiple = 3
	// minConnectTimeout is for attempts with next to no time, and agents that know nothing yet.
	minConnectTimeout = 20 * time.Millisecond
	// connectDecay is what each new connection leaves of the longest time that one took.
	connectDecay = 0.9
	// maxEarlyTimeouts is how many connections in a row may be given up early, whichever endpoints they were to.
	// The next ones are waited for in full, and show a network that is slower than was thought.
	maxEarlyTimeouts = 8
)

// ConnectTimeouts learns how long a connection to an endpoint is worth waiting for. The settings say when one
// has failed; where that is longer than an attempt's time, an unreachable machine costs each attempt that
// needs a connection to it all its time, though the request could have been served elsewhere.
type ConnectTimeouts struct {
	slowest      time.Duration
	gaveUpInARow int
}

// Timeout is how long an attempt that has so much time left waits for a connection; limit is the settings'.
func (c *ConnectTimeouts) Timeout(limit, left time.Duration) time.Duration {
	if c.gaveUpInARow >= maxEarlyTimeouts {
		return limit
	}
	wanted := max(time.Duration(connectFraction*float64(left)), connectMultiple*c.slowest, minConnectTimeout)
	return min(limit, wanted)
}

// Connected takes in how long a connection took to come up.
func (c *ConnectTimeouts) Connected(took time.Duration) {
	c.slowest, c.gaveUpInARow = max(time.Duration(connectDecay*float64(c.slowest)), took), 0
}

// GaveUp takes in that a connection did not come up in its Timeout.
func (c *ConnectTimeouts) GaveUp() { c.gaveUpInARow++ }
