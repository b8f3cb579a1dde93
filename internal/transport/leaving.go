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
type leaving struct {
	mu     sync.Mutex
	since  time.Time     // zero: clients are taken
	by     time.Duration // after since, all idle connections are closed, however short they have stood so
	ending bool          // there is no way back
	sweep  *time.Timer
}

// on tells whether clients are sent away.
func (l *leaving) on() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero()
}

// Leave sends clients away: by then, no connection stands idle any more. New ones are served meanwhile, and
// closed after their answer. Where ending is true, Return does nothing from now on.
func (f *Front) Leave(by time.Duration, ending bool) {
	l := &f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = l.ending || ending
	if l.since.IsZero() {
		l.since, l.by = time.Now(), by
		l.sweep = time.AfterFunc(0, f.sweep)
		return
	}
	l.by = min(l.by, time.Since(l.since)+by)
}

// Return takes clients again. A connection that is about to be closed is closed all the same.
func (f *Front) Return() {
	l := &f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() && !l.ending {
		l.since = time.Time{}
		l.sweep.Stop()
	}
}

// Leaving tells whether clients are sent away.
func (f *Front) Leaving() bool { return f.leaving.on() }

// sweep ends the connections that have stood idle for long enough.
func (f *Front) sweep() {
	l := &f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return
	}
	over := time.Since(l.since) >= l.by
	f.clients.endIdle(over)
	if over && !l.ending {
		l.sweep.Reset(sweepSeldom)
	} else {
		l.sweep.Reset(sweepEvery)
	}
}

// StopListening has no further client connect. It does not end the sockets where another process has them
// too.
func (f *Front) StopListening() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// Gone waits, after Leave and StopListening, until all client connections are closed, or ctx ends.
func (f *Front) Gone(ctx context.Context) error {
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
func (f *Front) Close() {
	f.StopListening()
	f.clients.hurry()
	_ = f.server.Close()
}

// closeWith announces a close with the answer where the connection is to give way, or clients are sent away,
// unless its next request is already coming: that one is served before.
func (f *Front) closeWith(c *frontConn, answer http.Header) {
	if (f.Leaving() || c.givesWay()) && !c.nextCame() {
		answer.Set("Connection", "close")
	}
}

func (f *Front) ready(w http.ResponseWriter) {
	if f.Leaving() || !f.operator.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// endIdle ends the connections that have stood idle; all, where all is true, but those that have only just
// connected.
func (l *clients) endIdle(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIdle(all)
	}
}

// hurry has every connection's Close wait for nothing.
func (l *clients) hurry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.hurry()
	}
}

func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// endIdle has the connection's reader end it, unless something has come. Guards against a close that crosses
// a request: what the machine has of one by now is served. Where all are to go, a client that was told and
// does not end its connection is not waited for longer than one that gives way.
func (c *frontConn) endIdle(all bool) {
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
func (c *frontConn) endsGently() bool {
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
