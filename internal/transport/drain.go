package transport

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// minDrainIdleTime is how long a connection must have been idle to be closed while draining: a client that
	// is about to send its next request has the time to.
	minDrainIdleTime = 400 * time.Millisecond
	// sweepInterval is how often idle connections are looked for while draining; slowSweepInterval once the
	// deadline for all of them has passed.
	sweepInterval, slowSweepInterval = 50 * time.Millisecond, 500 * time.Millisecond
)

// idleScope says which idle connections are closed.
type idleScope uint8

const (
	idleLong idleScope = iota // those that have been idle for minDrainIdleTime
	idleAll                   // all, except those that were only just accepted
)

// drainState is the one state in which clients are turned to other agents, by an operator or before the
// process ends: not ready, Connection: close with every response, connections closed as they become idle.
type drainState struct {
	mu           sync.Mutex
	startedAt    time.Time     // zero: not draining
	idleDeadline time.Duration // after startedAt, all idle connections are closed, however short their idle time
	isFinal      bool          // StopDrain has no effect
	sweepTimer   *time.Timer
}

// isActive reports whether the listener is draining.
func (d *drainState) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

// StartDrain has clients leave: after the idle deadline no connection stays idle any more. New connections
// are served meanwhile, and closed after their response.
func (f *Listener) StartDrain(idleDeadline time.Duration) {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	f.startDrain(idleDeadline)
}

// StartFinalDrain is StartDrain, after which StopDrain has no effect any more.
func (f *Listener) StartFinalDrain(idleDeadline time.Duration) {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFinal = true
	f.startDrain(idleDeadline)
}

// startDrain starts to drain or, where it has begun, moves the idle deadline if it is sooner. The caller
// holds the drain's mu.
func (f *Listener) startDrain(idleDeadline time.Duration) {
	d := &f.drain
	if d.startedAt.IsZero() {
		d.startedAt, d.idleDeadline = time.Now(), idleDeadline
		d.sweepTimer = time.AfterFunc(0, f.closeIdleConns)
		return
	}
	d.idleDeadline = min(d.idleDeadline, time.Since(d.startedAt)+idleDeadline)
}

// StopDrain accepts clients again. A connection that is about to be closed is closed.
func (f *Listener) StopDrain() {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.startedAt.IsZero() && !d.isFinal {
		d.startedAt = time.Time{}
		d.sweepTimer.Stop()
	}
}

// IsDraining reports whether clients are asked to leave.
func (f *Listener) IsDraining() bool { return f.drain.isActive() }

// closeIdleConns closes the connections that have been idle for long enough, again and again until StopDrain.
func (f *Listener) closeIdleConns() {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		return
	}
	isDeadlineOver := time.Since(d.startedAt) >= d.idleDeadline
	scope := idleLong
	if isDeadlineOver {
		scope = idleAll
	}
	f.conns.closeIdle(scope)
	if isDeadlineOver && !d.isFinal {
		d.sweepTimer.Reset(slowSweepInterval)
	} else {
		d.sweepTimer.Reset(sweepInterval)
	}
}

// StopListening has no further client connect. A socket that another process has too stays open there.
func (f *Listener) StopListening() {
	for _, l := range f.listeners {
		_ = l.Close() // an error would leave nothing to do
	}
}

// WaitClosed waits, after StartDrain and StopListening, until all client connections are closed, or ctx ends.
func (f *Listener) WaitClosed(ctx context.Context) error {
	for f.conns.count() > 0 {
		select {
		case <-f.conns.allClosed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes all sockets and connections at once.
func (f *Listener) Close() {
	f.StopListening()
	f.conns.skipLinger()
	_ = f.server.Close() // of listeners that are closed
}

// announceClose sets Connection: close where the connection is to be closed, or the listener is draining,
// unless its next request is already coming: that one is served first.
func (f *Listener) announceClose(c *downstreamConn, response http.Header) {
	if (f.IsDraining() || c.shouldClose()) && !c.hasNextRequest() {
		response.Set("Connection", "close")
	}
}

// serveReadiness answers a readiness check.
func (f *Listener) serveReadiness(w http.ResponseWriter) {
	if f.IsDraining() || !f.handler.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeIdle has the connection's reader close it unless there is input: a request that the kernel has by now
// is served. With idleAll, a client that does not close its side after the write side was closed is not
// waited for longer than an evicted one.
func (c *downstreamConn) closeIdle(scope idleScope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.stateSince)
	if scope == idleAll && c.state == connClosing && age >= minSilentTime && !c.hasInput() {
		c.finishClosing()
		return
	}
	isLong := age >= minDrainIdleTime
	if c.state == connIdle && (isLong || scope == idleAll) || c.state == connNew && isLong {
		c.closesUnlessInput = true
		_ = c.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

// isReadTimeoutFinal reports whether a Read's timeout ends the connection: not if it was set by closeIdle and
// there is input by now.
func (c *downstreamConn) isReadTimeoutFinal() bool {
	c.mu.Lock()
	closesUnlessInput := c.closesUnlessInput
	c.closesUnlessInput = false
	c.mu.Unlock()
	if !closesUnlessInput {
		return true
	}
	if c.hasInput() {
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout)) // fails only on a closed connection
		return false
	}
	return true
}
