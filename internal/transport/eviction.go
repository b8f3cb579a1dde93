package transport

import "time"

// evict closes the connection if it is still in the state in which it was chosen and has no input: first its
// write side and, if the client does not close its own side in time, the whole connection at the next call.
func (c *downstreamConn) evict(state connState, since time.Time) (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != state || !c.stateSince.Equal(since):
		return false
	case (state != connClosing || c.wasEvictedIdle) && c.hasInput():
		c.setState(connReading) // no effect in connClosing: the input is discarded first
		return false
	case state == connClosing:
		c.finishClosing()
		return true
	}
	c.wasEvictedIdle = state != connReading
	return c.startClosing()
}

// finishClosing ends the discarding of input, so that the connection is closed by its reader. The caller
// holds mu.
func (c *downstreamConn) finishClosing() {
	c.skipsLinger = true
	_ = c.SetReadDeadline(time.Now()) // fails only on a closed connection
}

// evictionRank tells how readily a connection is evicted: lower ranks first, each from an age on.
type evictionRank int

const (
	notEvictable     evictionRank = iota - 1
	rankIdle                      // idle for minIdleTime, or evicted before and not closed by its client
	rankSilent                    // nothing was ever received, or it is closing
	rankStalled                   // its request makes no progress
	rankRecentlyIdle              // idle for a short time: a request that crosses the close is sent again
)

// evictionCandidacy returns how readily the connection can be evicted, and its state. Ranks above rankIdle
// are for the case that descriptors are short.
func (c *downstreamConn) evictionCandidacy(
	now time.Time,
) (rank evictionRank, state connState, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.stateSince)
	rank = notEvictable
	switch {
	case c.skipsLinger: // about to be closed
	case c.state == connClosing && c.wasEvictedIdle && age >= closeGracePeriod:
		rank = rankIdle
	case (c.state == connIdle || c.state == connNew) && age >= minIdleTime:
		rank = rankIdle
	case c.state == connClosing && age >= minSilentTime, c.state == connNew && age >= minSilentTime:
		rank = rankSilent
	case c.isStalled(now):
		rank = rankStalled
	case c.state == connIdle && age >= minSilentTime:
		rank = rankRecentlyIdle
	}
	return rank, c.state, c.stateSince
}
