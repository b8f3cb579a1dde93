package routing

import "time"

const (
	// connectFraction of a route step's time is what a connection is waited for: what was never sent may go to
	// another booking server, as long as there is time for it.
	connectFraction = 0.25
	// connectMultiple is how many times as long as connections take of late one is waited for at least.
	connectMultiple = 3
	// minConnectTimeout guards steps with next to no time, and agents that know nothing yet.
	minConnectTimeout = 20 * time.Millisecond
	// connectDecay is what is left of the longest time that a connection took, with each that comes up.
	connectDecay = 0.9
	// maxEarlyTimeouts is how many in a row may be given up early, whichever booking server they were for. Guards
	// against a network that is slower than was thought: the next are waited for in full, and show it.
	maxEarlyTimeouts = 8
)

// ConnectTimeouts learns how long a connection to a booking server is worth waiting for. The settings say when one
// has failed; where that is longer than the time of a step, a machine that is cut off costs each step that
// needs a connection to it all its time, though it could have been served elsewhere.
type ConnectTimeouts struct {
	slowest      time.Duration
	gaveUpInARow int
}

// Timeout is how long a connection is waited for by a step that has so long left; most is the settings'.
func (c *ConnectTimeouts) Timeout(most, left time.Duration) time.Duration {
	if c.gaveUpInARow >= maxEarlyTimeouts {
		return most
	}
	return min(most, max(time.Duration(connectFraction*float64(left)), connectMultiple*c.slowest, minConnectTimeout))
}

// Connected takes in that a connection came up after so long.
func (c *ConnectTimeouts) Connected(took time.Duration) {
	c.slowest, c.gaveUpInARow = max(time.Duration(connectDecay*float64(c.slowest)), took), 0
}

// GaveUp takes in that nothing came in the time that it was waited for.
func (c *ConnectTimeouts) GaveUp() { c.gaveUpInARow++ }
