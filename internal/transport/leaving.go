package transport

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// quietBefore is how long a client's connection must have stood idle to be closed while clients are sent
	// away: who is about to ask again has the time to.
	quietBefore = 400 * time.Millisecond
	// sweepEvery is how often it is looked for such connections, and seldom once all that were there are gone.
	sweepEvery, sweepSeldom = 50 * time.Millisecond, 500 * time.Millisecond
)

// leaving is the one state in which clients are sent away, by hand or before the process ends: not ready,
// Connection: close with every answer, connections closed as they stand idle.
type drainState struct {
	mu           sync.Mutex
	since        time.Time     // zero: clients are taken
	idleDeadline time.Duration // after since, all idle connections are closed, however short they have stood so
	ending       bool          // there is no way back
	sweep        *time.Timer
}

// on tells whether clients are sent away.
func (l *drainState) on() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero()
}

// StartDrain sends clients away: by then, no connection stands idle any more. New ones are served meanwhile, and
// closed after their answer. Where ending is true, StopDrain does nothing from now on.
func (f *Listener) StartDrain(by time.Duration, ending bool) {
	l := &f.drain
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = l.ending || ending
	if l.since.IsZero() {
		l.since, l.idleDeadline = time.Now(), by
		l.sweep = time.AfterFunc(0, f.sweep)
		return
	}
	l.idleDeadline = min(l.idleDeadline, time.Since(l.since)+by)
}

// StopDrain takes clients again. A connection that is about to be closed is closed all the same.
func (f *Listener) StopDrain() {
	l := &f.drain
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() && !l.ending {
		l.since = time.Time{}
		l.sweep.Stop()
	}
}

// IsDraining tells whether clients are sent away.
func (f *Listener) IsDraining() bool { return f.drain.on() }

// sweep ends the connections that have stood idle for long enough.
func (f *Listener) sweep() {
	l := &f.drain
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return
	}
	over := time.Since(l.since) >= l.idleDeadline
	f.clients.endIdle(over)
	if over && !l.ending {
		l.sweep.Reset(sweepSeldom)
	} else {
		l.sweep.Reset(sweepEvery)
	}
}

// StopListening has no further client connect. It does not end the sockets where another process has them
// too.
func (f *Listener) StopListening() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// WaitClosed waits, after StartDrain and StopListening, until all client connections are closed, or ctx ends.
func (f *Listener) WaitClosed(ctx context.Context) error {
	for f.clients.count() > 0 {
		select {
		case <-f.clients.empty:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close ends all at once.
func (f *Listener) Close() {
	f.StopListening()
	f.clients.hurry()
	_ = f.server.Close()
}

// announceClose announces a close with the answer where the connection is to give way, or clients are sent away,
// unless its next request is already coming: that one is served before.
func (f *Listener) announceClose(c *downstreamConn, answer http.Header) {
	if (f.IsDraining() || c.givesWay()) && !c.nextCame() {
		answer.Set("Connection", "close")
	}
}

func (f *Listener) serveReadiness(w http.ResponseWriter) {
	if f.IsDraining() || !f.handler.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// endIdle ends the connections that have stood idle; all, where all is true, but those that have only just
// connected.
func (l *downstreamConns) endIdle(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIdle(all)
	}
}

// hurry has every connection's Close wait for nothing.
func (l *downstreamConns) hurry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.hurry()
	}
}

func (l *downstreamConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// endIdle has the connection's reader end it, unless something has come. Guards against a close that crosses
// a request: what the machine has of one by now is served. Where all are to go, a client that was told and
// does not end its connection is not waited for longer than one that gives way.
func (c *downstreamConn) endIdle(all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.since)
	if all && c.state == connEnding && age >= silentBefore && !c.hasInput() {
		c.finish()
		return
	}
	quiet := age >= quietBefore
	if c.state == connIdle && (quiet || all) || c.state == connSilent && quiet {
		c.gentle = true
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// endsGently tells, where a Read's time is up, whether that is the end of the connection: not if it was to
// end only where nothing has come, and something has.
func (c *downstreamConn) endsGently() bool {
	c.mu.Lock()
	gentle := c.gentle
	c.gentle = false
	c.mu.Unlock()
	if !gentle {
		return true
	}
	if c.hasInput() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(requestWait))
		return false
	}
	return true
}
