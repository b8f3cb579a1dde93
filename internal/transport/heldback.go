package transport

import (
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// bodyHeldBack follows how the current body of a connection arrives, if it is long.
type bodyHeldBack struct {
	routing.HeldBack
	isTracked bool
	readBytes int64
}

// isLong reports whether a request's body is streamed, or may be.
func (f *requestFrame) isLong() bool { return f.isChunked || f.length > protocol.MaxBufferedBody }

// isLongBodyDrained reports whether a long body is being received and all of it that the client has written so
// far was read.
func (c *downstreamConn) isLongBodyDrained() bool {
	c.mu.Lock()
	current := c.framing.current()
	isLong := c.framing.isInBody() && current != nil && current.isLong()
	c.mu.Unlock()
	return isLong && !c.hasInput()
}

// recordHeldBack records that bytes were read, for the current body if it is long. The caller holds mu.
func (c *downstreamConn) recordHeldBack(bytes int, a arrival) {
	current := c.framing.current()
	if current == nil || !current.isLong() {
		c.heldBack.isTracked = false
		return
	}
	h := &c.heldBack
	if !h.isTracked {
		h.isTracked, h.readBytes = true, 0
		h.Start(c.receivedAt)
	}
	if a.isDrained {
		h.Drained(c.receivedAt)
	}
	h.readBytes += int64(bytes)
	unread, _ := c.unreadBytes()
	h.Observe(time.Now(), h.readBytes+unread)
}

// unreadBytes returns how many bytes the system has received that were not read; false if it does not tell.
func (c *downstreamConn) unreadBytes() (unread int64, isKnown bool) {
	err := c.rawConn.Control(func(fd uintptr) { unread, isKnown = unreadBytes(fd) })
	return unread, isKnown && err == nil
}

// writtenBefore returns when the client can have written the last byte of a long body that arrived at a time.
// The caller holds mu.
func (c *downstreamConn) writtenBefore(arrivedAt time.Time) time.Time {
	if !c.heldBack.isTracked {
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
	if current == nil || current.isComplete || !c.heldBack.isTracked {
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
