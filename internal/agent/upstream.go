package agent

import (
	"net/netip"
	"time"

	"dunestep/internal/metrics"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// upstreamSettings are what all upstreams share.
type upstreamSettings struct {
	clock             clock
	maxConnectTimeout time.Duration
	reuseDelay        time.Duration // see routing.ReuseDelay
	idleLimit         *idleLimit
	connectTimeouts   *connectTimeouts
	descriptors       *transport.Descriptors
	bodies            *transport.BodyLimits
	metrics           *metrics.Counters
}

// upstream is the actor of one endpoint, with its pool of connections. Attempts run beside it, in goroutines
// that it starts and that end with the attempt.
type upstream struct {
	settings upstreamSettings
	mail     *mailbox[any]
	report   func(any) // takes responseStarted and attemptEnded; the agent's actor handles them
	pool     *routing.Pool[*transport.UpstreamConn]
	expiry   *time.Timer   // until the next idle connection is to be closed; nil: never set
	expiryAt time.Duration // when that is, on the clock; zero: it is not set
}

// The messages of an upstream's actor, beside *attempt.
type (
	addressChanged     struct{ addr netip.AddrPort }
	connectionReturned struct {
		checkout routing.Checkout[*transport.UpstreamConn]
		conn     *transport.UpstreamConn // nil: closed
		unused   bool                    // it is the checkout's, and nothing was written on it
		// when its attempt was sent, where it was reused and got no answer; else zero
		unansweredSince time.Duration
	}
	idleExpired     struct{}
	connectionEnded struct{ conn *transport.UpstreamConn }
	// stopReuse: no idle connections are held from now on.
	stopReuse struct{}
	// closeIdleHalf: half of the idle connections are to be closed.
	closeIdleHalf struct{}
	// retire: the endpoint was removed; the actor ends when no connection is in use.
	retire struct{}
)

// startUpstream starts the actor of an endpoint.
func startUpstream(settings upstreamSettings, addr netip.AddrPort, report func(any)) *upstream {
	u := &upstream{
		settings: settings, mail: newMailbox[any](), report: report,
		pool: routing.NewPool[*transport.UpstreamConn](addr, settings.idleLimit, settings.reuseDelay),
	}
	go u.mail.receive(u.handle)
	return u
}

// handle handles one message, and tells whether the actor goes on.
func (u *upstream) handle(m any) bool {
	now := u.settings.clock.now()
	var closing []*transport.UpstreamConn
	switch m := m.(type) {
	case *attempt:
		var checkout routing.Checkout[*transport.UpstreamConn]
		checkout, closing = u.pool.Acquire(now)
		go u.carryOut(m, checkout)
	case connectionReturned:
		closing = u.takeBack(now, m)
	case idleExpired:
		u.expiryAt = 0
		closing = u.pool.Expire(now)
	case connectionEnded:
		closing = u.pool.ConnectionEnded(m.conn)
	case addressChanged:
		closing = u.pool.SetAddress(m.addr)
	case stopReuse:
		closing = u.pool.StopReuse()
	case closeIdleHalf:
		closing = u.pool.CloseIdleHalf()
	case retire:
		closing = u.pool.Retire()
	}
	for _, conn := range closing {
		conn.Close()
	}
	u.scheduleExpiry()
	return !u.pool.IsDone()
}

// takeBack returns a connection to the pool, and those that are to be closed for it.
func (u *upstream) takeBack(now time.Duration, m connectionReturned) (closing []*transport.UpstreamConn) {
	switch {
	case m.unansweredSince != 0:
		return u.pool.ReleaseUnanswered(m.unansweredSince)
	case m.conn == nil:
		u.pool.ReleaseClosed()
		return nil
	case m.unused:
		return u.pool.ReturnUnused(m.checkout, m.conn.HasEnded())
	}
	return u.pool.Release(now, m.conn, m.checkout.Addr, m.conn.HasEnded())
}

// scheduleExpiry sets the timer for the next idle connection that is to be closed. One that is set for
// earlier stays: when it fires, the next is set.
func (u *upstream) scheduleExpiry() {
	at, any := u.pool.NextExpiry()
	if !any || u.expiryAt != 0 && u.expiryAt <= at {
		return
	}
	u.expiryAt = at
	if u.expiry != nil {
		u.expiry.Stop()
	}
	u.expiry = time.AfterFunc(u.settings.clock.until(at), func() { u.mail.put(idleExpired{}) })
}
