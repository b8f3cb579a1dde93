package transport

import (
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// bodyHeldBack follows how the latest body of a connection arrives, if it is long.
type bodyHeldBack struct {
	routing.HeldBack
	request   int // number of the request on its connection, from 1; zero: none
	readBytes int64
}

// isLong reports whether a request's body is streamed, or may be.
func (f *requestFrame) isLong() bool { return f.isChunked || f.length > protocol.MaxBufferedBody }

// isLongBodyDrained reports whether a long body is being received and all of it that the client has written
// so far was read.
func (c *downstreamConn) isLongBodyDrained() bool {
	c.mu.Lock()
	latest := c.framing.latest()
	isLong := c.framing.isInBody() && latest != nil && latest.isLong()
	c.mu.Unlock()
	return isLong && !c.hasInput()
}

// recordHeldBack records that bytes were read, for the latest body if it is long. The caller holds mu.
func (c *downstreamConn) recordHeldBack(bytes int, a arrival) {
	latest := c.framing.latest()
	if latest == nil || !latest.isLong() {
		return
	}
	h := &c.heldBack
	if h.request != c.framing.headersStarted {
		h.request, h.readBytes = c.framing.headersStarted, 0
		h.Start(c.receivedAt)
	}
	if a.isDrained {
		h.Drained(c.receivedAt)
	}
	h.readBytes += int64(bytes)
	unread, _ := c.unreadBytes()
	h.Observe(time.Now(), h.readBytes+unread)
}

// followsHeldBack reports whether the body that is followed is that of the current request. The caller holds
// mu.
func (c *downstreamConn) followsHeldBack() bool {
	return c.heldBack.request > 0 && c.heldBack.request == c.requestsStarted
}

// unreadBytes returns how many bytes the system has received that were not read; false if it does not tell.
func (c *downstreamConn) unreadBytes() (unread int64, isKnown bool) {
	err := c.rawConn.Control(func(fd uintptr) { unread, isKnown = unreadBytes(fd) })
	return unread, isKnown && err == nil
}

// writtenBefore returns when the client can have written the last byte of a long body that arrived at a time.
// The caller holds mu.
func (c *downstreamConn) writtenBefore(arrivedAt time.Time) time.Time {
	if !c.followsHeldBack() {
		return arrivedAt
	}
	if at, isPossible := c.heldBack.WrittenSince(0); isPossible && at.Before(arrivedAt) {
		return at
	}
	return arrivedAt
}

// heldBackFor returns for how long the client of a long body may have waited since it wrote the last byte, if
// so many bytes of it were not read. The caller holds mu.
func (c *downstreamConn) heldBackFor(now time.Time, unread int64) time.Duration {
	current := c.framing.current()
	if current == nil || current.isComplete || !c.followsHeldBack() {
		return 0
	}
	c.heldBack.Observe(now, c.heldBack.readBytes+unread)
	missing := int64(-1)
	if !current.isChunked {
		missing = max(c.framing.bodyLeft-unread, 0)
	}
	at, isPossible := c.heldBack.WrittenSince(missing)
	if !isPossible {
		return 0
	}
	return max(now.Sub(at), 0)
}
