package routing

import "time"

const (
	// connectFraction is the fraction of an attempt's time left that it waits for a connection. A request
	// that was never sent can go to another endpoint while there is time for it.
	connectFraction = 0.25
	// connectMultiple sets a lower bound of the timeout: this multiple of the decayed longest connect time.
	connectMultiple = 3
	// minConnectTimeout is the minimum, for attempts with little time left and agents without measurements.
	minConnectTimeout = 20 * time.Millisecond
	// connectDecay is the factor by which each new connection reduces the longest connect time.
	connectDecay = 0.9
	// maxEarlyTimeouts is the maximum number of consecutive early timeouts, over all endpoints. After
	// that, the timeout is the configured one until a connection is established: this detects a network
	// that has become slower.
	maxEarlyTimeouts = 8
)

// ConnectTimeouts learns how long an attempt should wait for a new connection. The configured timeout may be
// longer than an attempt's time. An attempt that needs a connection to an unreachable machine would then
// spend all its time on it, though another endpoint could have served the request.
type ConnectTimeouts struct {
	slowest             time.Duration // decayed longest connect time
	consecutiveTimeouts int           // since a connection was last established
}

// Timeout returns how long an attempt waits for a connection. left is the time that the attempt has left;
// limit is the configured timeout, which is the maximum.
func (c *ConnectTimeouts) Timeout(limit, left time.Duration) time.Duration {
	if c.consecutiveTimeouts >= maxEarlyTimeouts {
		return limit
	}
	timeout := max(time.Duration(connectFraction*float64(left)), connectMultiple*c.slowest, minConnectTimeout)
	return min(limit, timeout)
}

// Connected records that a connection was established, and how long that took.
func (c *ConnectTimeouts) Connected(took time.Duration) {
	c.slowest, c.consecutiveTimeouts = max(time.Duration(connectDecay*float64(c.slowest)), took), 0
}

// TimedOut records that a connection was not established within its Timeout.
func (c *ConnectTimeouts) TimedOut() { c.consecutiveTimeouts++ }
