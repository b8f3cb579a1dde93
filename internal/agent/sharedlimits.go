package agent

import (
	"errors"
	"net"
	"sync"
	"time"

	"dunestep/internal/routing"
)

// idleLimit is the limit on idle connections, which all upstreams share. It is safe for concurrent use.
type idleLimit struct {
	mu     sync.Mutex
	shared *routing.IdleLimit
}

// Limit implements routing.Limiter.
func (l *idleLimit) Limit() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared.Limit()
}

// record records what an attempt shows of idle connections.
func (l *idleLimit) record(now time.Duration, result routing.AttemptResult) {
	if idleFor, lost, counts := result.IdleEvidence(); counts {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.shared.Record(now, idleFor, lost)
	}
}

// Snapshot implements state.IdleLimiter.
func (l *idleLimit) Snapshot(now time.Duration) routing.IdleSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared.Snapshot(now)
}

// Restore implements state.IdleLimiter.
func (l *idleLimit) Restore(s routing.IdleSnapshot, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.Restore(s, age)
}

// connectTimeouts are how long connections are waited for, which all upstreams share. It is safe for
// concurrent use.
type connectTimeouts struct {
	mu     sync.Mutex
	shared routing.ConnectTimeouts
}

// timeout is how long an attempt with so much time left waits for its connection.
func (c *connectTimeouts) timeout(longest, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared.Timeout(longest, left)
}

// record records how a connect ended that began at a time. One that was canceled or refused shows nothing.
func (c *connectTimeouts) record(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var netErr net.Error
	switch {
	case err == nil:
		c.shared.Connected(time.Since(began))
	case errors.As(err, &netErr) && netErr.Timeout():
		c.shared.GaveUp()
	}
}
