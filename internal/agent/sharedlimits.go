package agent

import (
	"errors"
	"net"
	"sync"
	"time"

	"dunestep/internal/routing"
)

// idleLimit is a routing.IdleLimit that all upstreams share. It is safe for concurrent use.
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

// record records what an attempt shows about idle connections.
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

// connectTimeouts is a routing.ConnectTimeouts that all upstreams share. It is safe for concurrent use.
type connectTimeouts struct {
	mu     sync.Mutex
	shared routing.ConnectTimeouts
}

// timeout returns how long an attempt with that much time left waits for its connection, at most longest.
func (c *connectTimeouts) timeout(longest, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared.Timeout(longest, left)
}

// record records the result of a connect that began at a time. Errors other than timeouts, such as
// cancellation or refusal, are ignored.
func (c *connectTimeouts) record(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var netErr net.Error
	switch {
	case err == nil:
		c.shared.Connected(time.Since(began))
	case errors.As(err, &netErr) && netErr.Timeout():
		c.shared.TimedOut()
	}
}
