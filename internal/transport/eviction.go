package transport

import (
	"log/slog"
	"time"
)

// evict closes the connection if it is still in the state in which it was selected and has no input. It
// closes the write side first and, if the client does not close its own side in time, the whole connection
// at the next call. It reports whether it closed anything.
func (c *downstreamConn) evict(state connState, since time.Time) (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != state || !c.stateSince.Equal(since):
		return false
	case c.refuseMemory != nil:
		slog.Debug("request refused for want of memory", "age", time.Since(since))
		c.refuseMemory()
		c.refuseMemory = nil
		return true
	case (state != connClosing || c.wasEvictedIdle) && c.hasInput():
		c.setState(connReading) // no effect in connClosing, where the input is discarded first
		return false
	case state == connClosing:
		c.finishClosing()
		return true
	}
	slog.Debug("client connection evicted", "state", connStateNames[state], "age", time.Since(since))
	c.wasEvictedIdle = state != connReading
	return c.startClosing()
}

// finishClosing stops discarding input, so that the goroutine that reads closes the connection. The caller
// holds mu.
func (c *downstreamConn) finishClosing() {
	c.skipsLinger = true
	c.interruptRead()
}

// evictionRank orders connections for eviction: lower ranks first. A connection gets a rank at a certain age.
type evictionRank int

const (
	notEvictable evictionRank = iota - 1
	rankIdle                  // idle for minIdleTime, or evicted before and not closed by its client
	rankSilent                // nothing was ever received, or the connection is closing
	rankStalled               // its request makes no progress
	// The next ranks apply only while memory is short.
	rankSlowHeader     // its request's header was begun some time ago and is not complete
	rankWaitsForMemory // its body waits for memory, and has not arrived
	rankPausedBody     // nothing of its request's body came for a while
	rankSlowBody       // its request was begun long ago and is not complete
	rankRecentlyIdle   // idle for a short time: a client sends a request that crosses the close again
)

// evictionCandidacy returns the connection's eviction rank, its state and since when it is in that state.
// Ranks above rankIdle apply only if descriptors or memory are short.
func (c *downstreamConn) evictionCandidacy(
	now time.Time, isMemoryFull bool,
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
	case isMemoryFull && c.state == connReading && age >= minSilentTime && c.incompleteRank(now) != notEvictable:
		rank = c.incompleteRank(now)
	case c.state == connIdle && age >= minSilentTime:
		rank = rankRecentlyIdle
	}
	return rank, c.state, c.stateSince
}

// incompleteRank returns the rank of a connection whose request is incomplete, while memory is short. The
// caller holds mu.
func (c *downstreamConn) incompleteRank(now time.Time) evictionRank {
	switch {
	case c.isRequestComplete():
		return notEvictable
	case !c.isHeaderRead && c.framing.phase == inHeader:
		return rankSlowHeader
	case !c.isHeaderRead: // its handler is about to run
		return notEvictable
	case c.refuseMemory != nil && !c.hasBodyArrived():
		return rankWaitsForMemory
	case c.isPaused:
		return notEvictable
	case now.Sub(c.receivedAt) >= minSilentTime && now.Sub(c.resumedAt) >= minSilentTime:
		return rankPausedBody
	case now.Sub(c.stateSince) >= stallTimeout && now.Sub(c.resumedAt) >= stallTimeout:
		return rankSlowBody
	}
	return notEvictable
}

// isRequestComplete reports whether the current request was read to its last byte, whether or not its
// handler runs. The caller holds mu.
func (c *downstreamConn) isRequestComplete() bool {
	current := c.framing.current()
	return current != nil && current.isComplete
}

// hasBodyArrived reports whether the rest of the body of known length lies unread in the system. The caller
// holds mu.
func (c *downstreamConn) hasBodyArrived() bool {
	current := c.framing.current()
	if current == nil {
		return false
	}
	var unread int64
	var isKnown bool
	err := c.rawConn.Control(func(fd uintptr) { unread, isKnown = unreadBytes(fd) })
	return err == nil && isKnown && !current.isChunked && unread >= c.framing.bodyLeft
}
