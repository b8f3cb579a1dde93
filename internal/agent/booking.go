package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// progressCheckInterval is how often it is looked whether an answer that has begun may go on.
const progressCheckInterval = 50 * time.Millisecond

// responseStarted tells the module's actor that an attempt's answer is longer than what is held whole.
type responseStarted struct {
	attempt  *attempt
	response protocol.UpstreamResponse
}

// attemptEnded tells the module's actor how an attempt ended.
type attemptEnded struct {
	attempt  *attempt
	result   routing.AttemptResult
	response protocol.UpstreamResponse
}

// upstreamSettings is what a booking server's actor goes by.
type upstreamSettings struct {
	clock           clock
	connectTimeout  time.Duration
	reuseDelay      time.Duration // see routing.ReuseDelay
	idleLimit       *idleLimit
	connectTimeouts *connectTimeouts
	descriptors     *transport.Descriptors
	bodies          *transport.BodyLimits
	metrics         *metrics.Figures
}

// idleLimit is the core's, which all booking servers' actors share.
type idleLimit struct {
	mu   sync.Mutex
	core *routing.IdleLimit
}

func (l *idleLimit) Limit() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Limit()
}

func (l *idleLimit) record(now time.Duration, saw routing.AttemptResult) {
	if stood, lost, counts := saw.IdleEvidence(); counts {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.core.Record(now, stood, lost)
	}
}

// connects is the core's, which all booking servers' actors share.
type connectTimeouts struct {
	mu   sync.Mutex
	core routing.ConnectTimeouts
}

func (c *connectTimeouts) timeout(most, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Timeout(most, left)
}

// ended takes in how a connect ended that was begun at a time; one that was called off or refused says
// nothing of how long they take.
func (c *connectTimeouts) ended(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.core.Connected(time.Since(began))
	} else if slow := net.Error(nil); errors.As(err, &slow) && slow.Timeout() {
		c.core.GaveUp()
	}
}

// booking is the actor of one booking server, with its pool of connections; the reading and writing of each
// runs beside it.
type upstream struct {
	settings upstreamSettings
	mail     *mailbox[any]
	report   func(any) // responseStarted and attemptEnded
	pool     *routing.Pool[*transport.UpstreamConn]
	expiry   *time.Timer   // until the next idle connection is to be closed
	due      time.Duration // when that is; zero: nothing is waited for
}

// The messages of a booking server's actor, beside *attempt.
type (
	addressChanged     struct{ addr netip.AddrPort }
	connectionReturned struct {
		checkout        routing.Checkout[*transport.UpstreamConn]
		conn            *transport.UpstreamConn // nil: closed
		unused          bool                    // it is the lease's, and nothing was written on it
		unansweredSince time.Duration           // where it was reused and gave no answer, of its attempt; else zero
	}
	idleExpired     struct{}
	connectionEnded struct{ conn *transport.UpstreamConn }
	stopReuse       struct{} // keep no idle connections
	closeIdleHalf   struct{} // close half of the idle connections
	retire          struct{} // the server has left: end when nothing is out
)

func startUpstream(set upstreamSettings, addr netip.AddrPort, report func(any)) *upstream {
	b := &upstream{
		settings: set, mail: newMailbox[any](), report: report,
		pool: routing.NewPool[*transport.UpstreamConn](addr, set.idleLimit, set.reuseDelay),
	}
	go b.mail.receive(b.handle)
	return b
}

func (b *upstream) handle(m any) bool {
	now := b.settings.clock.now()
	var closing []*transport.UpstreamConn
	switch m := m.(type) {
	case *attempt:
		var lease routing.Checkout[*transport.UpstreamConn]
		lease, closing = b.pool.Acquire(now)
		go b.carryOut(m, lease)
	case connectionReturned:
		switch {
		case m.unansweredSince != 0:
			closing = b.pool.ReleaseUnanswered(m.unansweredSince)
		case m.conn == nil:
			b.pool.ReleaseClosed()
		case m.unused:
			closing = b.pool.ReturnUnused(m.checkout, m.conn.HasEnded())
		default:
			closing = b.pool.Release(now, m.conn, m.checkout.Addr, m.conn.HasEnded())
		}
	case idleExpired:
		b.due = 0
		closing = b.pool.Expire(now)
	case connectionEnded:
		closing = b.pool.ConnectionEnded(m.conn)
	case addressChanged:
		closing = b.pool.SetAddress(m.addr)
	case stopReuse:
		closing = b.pool.StopReuse()
	case closeIdleHalf:
		closing = b.pool.CloseIdleHalf()
	case retire:
		closing = b.pool.Retire()
	}
	for _, conn := range closing {
		conn.Close()
	}
	b.scheduleExpiry()
	return !b.pool.IsDone()
}

// expire waits until the next idle connection is to be closed.
func (b *upstream) scheduleExpiry() {
	at, any := b.pool.NextExpiry()
	if !any || b.due != 0 && b.due <= at { // one that is due sooner than any is left says so itself
		return
	}
	b.due = at
	if b.expiry != nil {
		b.expiry.Stop()
	}
	b.expiry = time.AfterFunc(b.settings.clock.until(at), func() { b.mail.put(idleExpired{}) })
}

// carry carries an attempt out, on the connection of its lease or a new one, and reports how it ended. It
// runs beside the actor.
func (b *upstream) carryOut(attempt *attempt, lease routing.Checkout[*transport.UpstreamConn]) {
	defer attempt.cancel(nil)
	conn := lease.Conn
	var begun *bodystream.Flow
	exchange := func() (protocol.UpstreamResponse, bool, error) {
		if !attempt.mayWrite() {
			return protocol.UpstreamResponse{}, true, transport.ErrStaleConnection // the connection is as good as before
		}
		op, wait := attempt.request.Request, attempt.times.Load().announcedTimeout() // after the dial
		return conn.RoundTrip(attempt.ctx, transport.UpstreamRequest{
			Head: protocol.AppendUpstreamRequest(nil, op, wait),
			Body: op.Body, Rest: op.Rest, Chunked: op.Length < 0,
			Streamed: attempt.streams, IsGraphQL: op.IsGraphQL,
			OnWritten: func() { attempt.written = time.Now(); b.settings.metrics.Tried() },
			OnResponseStart: func(r protocol.UpstreamResponse) {
				begun = r.Flow
				b.startStreaming(attempt, r)
			},
		})
	}
	saw := routing.AttemptResult{Phase: routing.StaleConnection, Reused: lease.Reused, IdleFor: lease.IdleFor}
	var reply protocol.UpstreamResponse
	var reuse bool
	var err error
	if lease.Reused {
		attempt.waitUntilWritable(conn, lease.WriteDelay)
		reply, reuse, err = exchange()
		saw.Phase = phaseOf(err)
	}
	if saw.NeedsResend() && !reuse { // else it was called off before it was written
		attempt.resetWritten()
		saw = routing.AttemptResult{Phase: routing.Connecting}
		began := time.Now()
		wait := b.settings.connectTimeouts.timeout(b.settings.connectTimeout, time.Until(attempt.times.Load().giveUpAt))
		conn, err = transport.DialUpstream(attempt.ctx, attempt.server, lease.Addr, wait,
			b.settings.descriptors, b.settings.bodies, func(u *transport.UpstreamConn) { b.mail.put(connectionEnded{u}) })
		if b.settings.connectTimeouts.ended(began, err); err == nil {
			reply, reuse, err = exchange()
			saw.Phase = phaseOf(err)
		} else {
			saw.Refused = errors.Is(err, syscall.ECONNREFUSED)
			saw.LocalFault = errors.Is(err, transport.ErrNoDescriptor) || errors.Is(err, syscall.EMFILE)
		}
	}
	saw.BodyConsumed = attempt.request.Rest != nil && attempt.request.Rest.Progress().Taken
	saw.LocalFault = saw.LocalFault || saw.Phase == routing.Writing && errors.Is(err, transport.ErrClientStopped) ||
		saw.Phase == routing.StaleConnection && reuse // nothing was tried
	over := connectionReturned{checkout: lease}
	if reuse {
		over.conn, over.unused = conn, saw.Phase == routing.StaleConnection && conn == lease.Conn
	}
	if saw.EndReason = endReasonOf(err, attempt.ctx); saw.EndReason == routing.TimedOut {
		saw.LocalDelay = max(time.Since(attempt.times.Load().giveUpAt), 0)
	}
	if saw.IsUnanswered() && begun == nil {
		over.unansweredSince = b.settings.clock.now() - time.Since(attempt.sent)
	}
	b.mail.put(over)
	b.report(b.result(attempt, saw, reply, begun, err))
}

// phaseOf tells how far an attempt came, by its error.
func phaseOf(err error) routing.AttemptPhase {
	switch {
	case errors.Is(err, transport.ErrStaleConnection):
		return routing.StaleConnection
	case errors.Is(err, transport.ErrNotWritten):
		return routing.Writing
	case err == nil || errors.Is(err, transport.ErrInvalidResponse):
		return routing.Responding
	}
	return routing.AwaitingResponse
}

// begin has an answer begin: from then on it is looked whether it may go on.
func (b *upstream) startStreaming(attempt *attempt, r protocol.UpstreamResponse) {
	context.AfterFunc(attempt.ctx, func() { r.Flow.Cut(context.Cause(attempt.ctx)) })
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() {
		if attempt.ctx.Err() != nil {
			return
		}
		p, left, lag := r.Flow.Progress(), time.Until(attempt.times.Load().deadline), b.settings.bodies.Rules().ClientLag
		body := progress(p)
		body.Stream = attempt.streams
		if why := body.CheckLimits(time.Since(attempt.sent), left, p.Quiet, lag); why != routing.NotEnded {
			attempt.cancel(why)
			return
		}
		watch.Reset(progressCheckInterval)
	})
	watch.Reset(progressCheckInterval)
	b.report(responseStarted{attempt, r})
}

// progress is what the core goes by.
func progress(p bodystream.Progress) routing.ResponseProgress {
	return routing.ResponseProgress{
		Length: p.Length, Received: p.Came, DelayBefore: p.Before, Blocked: p.HeldUp, Receiving: p.Coming,
		Complete: p.Whole,
	}
}

// judge tells how an attempt ended. For an answer that had begun it waits until nobody takes it any more.
func (b *upstream) result(attempt *attempt, saw routing.AttemptResult, reply protocol.UpstreamResponse, begun *bodystream.Flow,
	err error,
) attemptEnded {
	ended := attemptEnded{attempt: attempt, response: reply}
	var p bodystream.Progress
	if begun != nil {
		ended.response.Flow = nil // somebody has it
		<-begun.Over()
		if p, err = begun.Progress(), begun.Result(); errors.Is(err, io.EOF) {
			err = nil
		}
		saw.Phase, saw.Streamed = routing.Responding, true
	} else if reply.Flow != nil {
		p = reply.Flow.Progress()
	}
	saw.EndReason, saw.Response, saw.Progress = endReasonOf(err, attempt.ctx), reply.Outcome, progress(p)
	saw.Latency = endpointLatency(p, begun != nil, attempt.timedFrom(), time.Now())
	b.settings.idleLimit.record(b.settings.clock.now(), saw)
	ended.result = saw
	return ended
}

// endpointLatency is how long the booking server took for what came of its answer, without what this side held
// it up.
func endpointLatency(p bodystream.Progress, begun bool, sent, ended time.Time) time.Duration {
	if p.Whole && !p.LastCame.IsZero() { // else it was waited for until the end
		ended = p.LastCame
	}
	if begun { // what is timed is its beginning: the rest takes as long as its length
		return ended.Sub(sent) - p.Before - p.HeldUp - p.Coming
	}
	return ended.Sub(sent) - p.Before - p.HeldUp
}

// endReasonOf tells how an attempt ended by its error and its context. This agent's own reason to end it
// counts: what the connection says then follows from it.
func endReasonOf(err error, ctx context.Context) routing.EndReason {
	var own routing.EndReason
	switch {
	case err == nil:
		return routing.Completed
	case errors.Is(err, bytebudget.ErrFull):
		return routing.NoMemory
	case errors.As(context.Cause(ctx), &own):
		return own
	case errors.Is(err, bodystream.ErrLeft):
		return routing.ClientLeft
	case errors.Is(err, transport.ErrInvalidResponse):
		return routing.InvalidResponse
	}
	return routing.BrokenByEndpoint
}
