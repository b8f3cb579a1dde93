package agent

import (
	"net/netip"
	"time"

	"dunestep/internal/metrics"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// upstreamSettings are the settings and resources that all upstreams share.
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

// upstream is the actor of one endpoint, with its pool of connections. It starts a goroutine for each
// attempt, which ends with the attempt.
type upstream struct {
	settings    upstreamSettings
	mail        *mailbox[any]
	report      func(any) // takes responseStarted and attemptEnded; the agent's actor handles them
	pool        *routing.Pool[*transport.UpstreamConn]
	times       transport.ResponseTimes
	expiryTimer *time.Timer   // fires when the next idle connection must be closed; nil: never set
	expiryAt    time.Duration // when expiryTimer fires, on the clock; zero: it is not set
}

// The messages of an upstream's actor, in addition to *attempt.
type (
	addressChanged struct{ addr netip.AddrPort }
	// processReplaced reports that a new process has started at the endpoint.
	processReplaced    struct{}
	connectionReturned struct {
		checkout routing.Checkout[*transport.UpstreamConn]
		conn     *transport.UpstreamConn // nil: closed
		unused   bool                    // conn is the checkout's, and nothing was written on it
		rejected bool                    // the endpoint has rejected the attempt
		// unansweredSince is when the attempt was sent, if it got no response on a reused
		// connection; else zero.
		unansweredSince time.Duration
	}
	idleExpired     struct{}
	connectionEnded struct{ conn *transport.UpstreamConn }
	// stopReuse closes idle connections, and others after their response.
	stopReuse struct{}
	// closeIdleHalf closes half of the idle connections.
	closeIdleHalf struct{}
	// retire reports that the endpoint was removed; the actor ends when no connection is in use.
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

// handle handles one message, and reports whether the actor continues.
func (u *upstream) handle(m any) bool {
	now := u.settings.clock.now()
	var closing []*transport.UpstreamConn
	switch m := m.(type) {
	case *attempt:
		var checkout routing.Checkout[*transport.UpstreamConn]
		checkout, closing = u.pool.Acquire(now)
		go u.carryOut(m, checkout)
	case connectionReturned:
		closing = u.checkIn(now, m)
	case idleExpired:
		u.expiryAt = 0
		closing = u.pool.Expire(now)
	case connectionEnded:
		closing = u.pool.ConnectionEnded(m.conn)
	case addressChanged:
		closing = u.pool.SetAddress(m.addr)
	case processReplaced:
		closing = u.pool.ProcessReplaced()
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

// idleConnectionEnded reports to the actor that a connection has ended, or has received something, while no
// attempt used it.
func (u *upstream) idleConnectionEnded(c *transport.UpstreamConn) { u.mail.put(connectionEnded{c}) }

// checkIn returns a connection to the pool. The result is the connections to close.
func (u *upstream) checkIn(now time.Duration, m connectionReturned) (closing []*transport.UpstreamConn) {
	hasEnded := u.pool.WasReplaced(m.checkout) || m.conn != nil && m.conn.HasEnded()
	switch {
	case m.unansweredSince != 0:
		return u.pool.ReleaseUnanswered(m.unansweredSince)
	case m.conn == nil:
		u.pool.ReleaseClosed()
		return nil
	case m.unused:
		return u.pool.ReturnUnused(m.checkout, hasEnded)
	}
	if m.rejected {
		return u.pool.ReleaseRejected(now, m.conn, m.checkout.Addr, hasEnded)
	}
	return u.pool.Release(now, m.conn, m.checkout.Addr, hasEnded)
}

// scheduleExpiry sets the timer for the next idle connection to close. A timer that is set for an earlier
// time stays: when it fires, it is set again.
func (u *upstream) scheduleExpiry() {
	at, ok := u.pool.NextExpiry()
	if !ok || u.expiryAt != 0 && u.expiryAt <= at {
		return
	}
	u.expiryAt = at
	if u.expiryTimer != nil {
		u.expiryTimer.Stop()
	}
	u.expiryTimer = time.AfterFunc(u.settings.clock.until(at), func() { u.mail.put(idleExpired{}) })
}
