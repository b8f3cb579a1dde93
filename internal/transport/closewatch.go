package transport

import (
	"context"
	"time"
)

// net/http notices that a client has gone by the end of its input. It does not read on once it has a byte of
// the next request, nor while this agent pauses the reading of a body. While a request may be in that state,
// a closeWatch asks the system.

// closeCheckInterval is the interval at which a closeWatch looks at its connection.
const closeCheckInterval = 20 * time.Millisecond

// closeWatch cancels the request in flight on a connection once the client has closed it. The connection's mu
// guards it.
type closeWatch struct {
	cancel    context.CancelFunc // of the request; nil: none is in flight
	timer     *time.Timer
	isStarted bool // the timer runs
}

// requestContext returns the context of the request in flight, which ends if the client closes the
// connection. The caller calls end when the request has its response.
func (c *downstreamConn) requestContext(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWatch.cancel = cancel
	if c.hasReadNextRequest() {
		c.startCloseWatch()
	}
	return ctx, func() {
		c.stopCloseWatch()
		cancel()
	}
}

// watchClose starts to look whether the client has closed the connection, as its input is not read for a
// while.
func (c *downstreamConn) watchClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCloseWatch()
}

// startCloseWatch starts to look whether the client has closed the connection, until the request ends. The
// caller holds mu.
func (c *downstreamConn) startCloseWatch() {
	w := &c.closeWatch
	if w.cancel == nil || w.isStarted {
		return
	}
	w.isStarted = true
	if w.timer == nil {
		w.timer = time.AfterFunc(closeCheckInterval, c.checkClosed)
	} else {
		w.timer.Reset(closeCheckInterval)
	}
}

func (c *downstreamConn) stopCloseWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.closeWatch
	w.cancel, w.isStarted = nil, false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// checkClosed cancels the request in flight if its client has closed the connection.
func (c *downstreamConn) checkClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.closeWatch
	switch {
	case !w.isStarted: // stopped meanwhile
	case c.isClosedByClient():
		w.isStarted = false
		w.cancel()
	default:
		w.timer.Reset(closeCheckInterval)
	}
}
