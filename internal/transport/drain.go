package transport

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// minDrainIdleTime is how long a connection must have been idle to be closed while draining, so that a
	// client that is about to send its next request can do so.
	minDrainIdleTime = 400 * time.Millisecond
	// sweepInterval is the interval at which idle connections are closed while draining; slowSweepInterval is
	// the interval after the idle deadline.
	sweepInterval, slowSweepInterval = 50 * time.Millisecond, 500 * time.Millisecond
)

// idleScope selects the idle connections to close.
type idleScope uint8

const (
	idleLong idleScope = iota // those that have been idle for minDrainIdleTime
	idleAll                   // all, except those that were accepted less than minDrainIdleTime ago
)

// drainState is the state of a drain, started by an operator or before the process ends. While draining, the
// agent is not ready, sends Connection: close with every response and closes connections when they become
// idle, so that clients move to other agents.
type drainState struct {
	mu           sync.Mutex
	startedAt    time.Time     // zero: not draining
	idleDeadline time.Duration // after startedAt; from then on, all idle connections are closed
	isFinal      bool          // StopDrain has no effect
	sweepTimer   *time.Timer
}

// isActive reports whether the listener is draining.
func (d *drainState) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

// StartDrain makes clients move to other agents. After idleDeadline, connections are closed as soon as they
// are idle. New connections are still served, and closed after their response.
func (f *Listener) StartDrain(idleDeadline time.Duration) {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	f.startDrain(idleDeadline)
}

// StartFinalDrain is like StartDrain, but StopDrain has no effect any more.
func (f *Listener) StartFinalDrain(idleDeadline time.Duration) {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFinal = true
	f.startDrain(idleDeadline)
}

// startDrain starts to drain. If the listener is already draining, the earlier of the two idle deadlines
// applies. The caller holds the drain's mu.
func (f *Listener) startDrain(idleDeadline time.Duration) {
	d := &f.drain
	if d.startedAt.IsZero() {
		d.startedAt, d.idleDeadline = time.Now(), idleDeadline
		d.sweepTimer = time.AfterFunc(0, f.closeIdleConns)
		return
	}
	d.idleDeadline = min(d.idleDeadline, time.Since(d.startedAt)+idleDeadline)
}

// StopDrain ends a drain that is not final. A connection that is already being closed is still closed.
func (f *Listener) StopDrain() {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.startedAt.IsZero() && !d.isFinal {
		d.startedAt = time.Time{}
		d.sweepTimer.Stop()
	}
}

// IsDraining reports whether the listener is draining.
func (f *Listener) IsDraining() bool { return f.drain.isActive() }

// closeIdleConns closes the connections that have been idle long enough, and repeats that until StopDrain.
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

// StopListening closes the listening sockets. A socket that another process has too stays open there.
func (f *Listener) StopListening() {
	for _, l := range f.listeners {
		_ = l.Close() // nothing is left to do on an error
	}
}

// WaitClosed waits until all client connections are closed, or ctx ends, whose error it returns. It is called
// after StartDrain and StopListening.
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
	_ = f.server.Close() // the only errors are those of listeners, which are closed already
}

// announceClose sets Connection: close if the connection should be closed or the listener is draining, unless
// a part of the next request was received: that request is served first.
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

// closeIdle makes the goroutine that reads the connection close it unless there is input: a request that the
// kernel has received by now is served. With idleAll, a client that does not close its side after the write
// side was closed is given no more time than an evicted one.
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
		slog.Debug("idle client connection closed for the shutdown", "age", age)
		c.closesUnlessInput = true
		c.interruptRead()
	}
}

// isReadTimeoutFinal reports whether a Read's timeout ends the connection. It does not if closeIdle set the
// timeout and there is input by now.
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
