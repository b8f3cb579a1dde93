package routing

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/core"
	"dunestep/internal/figures"
	"dunestep/internal/flow"
	"dunestep/internal/memory"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// watchEvery is how often it is looked whether an answer that has begun may go on.
const watchEvery = 50 * time.Millisecond

// attemptBegan tells the module's actor that an attempt's answer is longer than what is held whole.
type attemptBegan struct {
	attempt *attempt
	reply   protocol.Reply
}

// attemptEnded tells the module's actor how an attempt ended.
type attemptEnded struct {
	attempt *attempt
	saw     core.Sighting
	reply   protocol.Reply
}

// upstreamSettings is what a booking server's actor goes by.
type upstreamSettings struct {
	clock          clock
	connectTimeout time.Duration
	settle         time.Duration // see core.SettleTime
	idleLimit      *idleLimit
	connects       *connects
	descriptors    *transport.Descriptors
	bodies         *transport.Bodies
	figures        *figures.Figures
}

// idleLimit is the core's, which all booking servers' actors share.
type idleLimit struct {
	mu   sync.Mutex
	core *core.IdleLimit
}

func (l *idleLimit) Limit() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Limit()
}

func (l *idleLimit) note(now time.Duration, saw core.Sighting) {
	if stood, lost, counts := saw.Connection(); counts {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.core.Note(now, stood, lost)
	}
}

// connects is the core's, which all booking servers' actors share.
type connects struct {
	mu   sync.Mutex
	core core.Connects
}

func (c *connects) wait(most, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Wait(most, left)
}

// ended takes in how a connect ended that was begun at a time; one that was called off or refused says
// nothing of how long they take.
func (c *connects) ended(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.core.Up(time.Since(began))
	} else if slow := net.Error(nil); errors.As(err, &slow) && slow.Timeout() {
		c.core.Unheard()
	}
}

// booking is the actor of one booking server, with its pool of connections; the reading and writing of each
// runs beside it.
type booking struct {
	set    upstreamSettings
	mail   *mailbox[any]
	report func(any) // attemptBegan and attemptEnded
	pool   *core.Pool[*transport.Upstream]
	expiry *time.Timer   // until the next idle connection is to be closed
	due    time.Duration // when that is; zero: nothing is waited for
}

// The messages of a booking server's actor, beside *attempt.
type (
	moved       struct{ addr netip.AddrPort }
	attemptOver struct {
		lease  core.Lease[*transport.Upstream]
		conn   *transport.Upstream // nil: closed
		unused bool                // it is the lease's, and nothing was written on it
		sent   time.Duration       // where it was reused and gave no answer, of its attempt; else zero
	}
	idleOver  struct{}
	connEnded struct{ conn *transport.Upstream }
	rest      struct{} // keep no idle connections
	letGo     struct{} // close half of the idle connections
	retire    struct{} // the server has left: end when nothing is out
)

func startBooking(set upstreamSettings, addr netip.AddrPort, report func(any)) *booking {
	b := &booking{
		set: set, mail: newMailbox[any](), report: report,
		pool: core.NewPool[*transport.Upstream](addr, set.idleLimit, set.settle),
	}
	go b.mail.receive(b.handle)
	return b
}

func (b *booking) handle(m any) bool {
	now := b.set.clock.now()
	var closing []*transport.Upstream
	switch m := m.(type) {
	case *attempt:
		var lease core.Lease[*transport.Upstream]
		lease, closing = b.pool.Begin(now)
		go b.carry(m, lease)
	case attemptOver:
		switch {
		case m.sent != 0:
			closing = b.pool.OverSilent(m.sent)
		case m.conn == nil:
			b.pool.OverClosed()
		case m.unused:
			closing = b.pool.Unused(m.lease, m.conn.Ended())
		default:
			closing = b.pool.Over(now, m.conn, m.lease.Addr, m.conn.Ended())
		}
	case idleOver:
		b.due = 0
		closing = b.pool.Expire(now)
	case connEnded:
		closing = b.pool.Ended(m.conn)
	case moved:
		closing = b.pool.Move(m.addr)
	case rest:
		closing = b.pool.Rest()
	case letGo:
		closing = b.pool.LetGo()
	case retire:
		closing = b.pool.Retire()
	}
	for _, conn := range closing {
		conn.Close()
	}
	b.expire()
	return !b.pool.Done()
}

// expire waits until the next idle connection is to be closed.
func (b *booking) expire() {
	at, any := b.pool.Due()
	if !any || b.due != 0 && b.due <= at { // one that is due sooner than any is left says so itself
		return
	}
	b.due = at
	if b.expiry != nil {
		b.expiry.Stop()
	}
	b.expiry = time.AfterFunc(b.set.clock.until(at), func() { b.mail.put(idleOver{}) })
}

// carry carries an attempt out, on the connection of its lease or a new one, and reports how it ended. It
// runs beside the actor.
func (b *booking) carry(attempt *attempt, lease core.Lease[*transport.Upstream]) {
	defer attempt.cancel(nil)
	conn := lease.Conn
	var begun *flow.Flow
	exchange := func() (protocol.Reply, bool, error) {
		if !attempt.mayWrite() {
			return protocol.Reply{}, true, transport.ErrUnused // the connection is as good as before
		}
		op, wait := attempt.operation.Operation, attempt.times.Load().wait() // after the dial
		return conn.Exchange(attempt.ctx, transport.Step{
			Head: protocol.AppendRouteStep(nil, op, wait),
			Body: op.Body, Rest: op.Rest, Chunked: op.Length < 0,
			AtOnce: attempt.streamed, GraphQL: op.GraphQL,
			Written: func() { attempt.written = time.Now(); b.set.figures.Tried() },
			Begun: func(r protocol.Reply) {
				begun = r.Flow
				b.begin(attempt, r)
			},
		})
	}
	saw := core.Sighting{Phase: core.Unused, Reused: lease.Reused, Stood: lease.Stood}
	var reply protocol.Reply
	var reuse bool
	var err error
	if lease.Reused {
		attempt.settles(conn, lease.Settles)
		reply, reuse, err = exchange()
		saw.Phase = phaseOf(err)
	}
	if saw.Again() && !reuse { // else it was called off before it was written
		attempt.unwritten()
		saw = core.Sighting{Phase: core.Connecting}
		began := time.Now()
		wait := b.set.connects.wait(b.set.connectTimeout, time.Until(attempt.times.Load().until))
		conn, err = transport.DialUpstream(attempt.ctx, attempt.server, lease.Addr, wait,
			b.set.descriptors, b.set.bodies, func(u *transport.Upstream) { b.mail.put(connEnded{u}) })
		if b.set.connects.ended(began, err); err == nil {
			reply, reuse, err = exchange()
			saw.Phase = phaseOf(err)
		} else {
			saw.Refused = errors.Is(err, syscall.ECONNREFUSED)
			saw.Ours = errors.Is(err, transport.ErrNoDescriptor) || errors.Is(err, syscall.EMFILE)
		}
	}
	saw.Spent = attempt.operation.Rest != nil && attempt.operation.Rest.Progress().Taken
	saw.Ours = saw.Ours || saw.Phase == core.Writing && errors.Is(err, transport.ErrClient) ||
		saw.Phase == core.Unused && reuse // nothing was tried
	over := attemptOver{lease: lease}
	if reuse {
		over.conn, over.unused = conn, saw.Phase == core.Unused && conn == lease.Conn
	}
	if saw.Ending = endingOf(err, attempt.ctx); saw.Ending == core.OutOfTime {
		saw.Late = max(time.Since(attempt.times.Load().until), 0)
	}
	if saw.Silent() && begun == nil {
		over.sent = b.set.clock.now() - time.Since(attempt.sent)
	}
	b.mail.put(over)
	b.report(b.judge(attempt, saw, reply, begun, err))
}

// phaseOf tells how far an attempt came, by its error.
func phaseOf(err error) core.Phase {
	switch {
	case errors.Is(err, transport.ErrUnused):
		return core.Unused
	case errors.Is(err, transport.ErrUnwritten):
		return core.Writing
	case err == nil || errors.Is(err, transport.ErrSpoilt):
		return core.Answering
	}
	return core.Waiting
}

// begin has an answer begin: from then on it is looked whether it may go on.
func (b *booking) begin(attempt *attempt, r protocol.Reply) {
	context.AfterFunc(attempt.ctx, func() { r.Flow.Cut(context.Cause(attempt.ctx)) })
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() {
		if attempt.ctx.Err() != nil {
			return
		}
		p, left, lag := r.Flow.Progress(), time.Until(attempt.times.Load().deadline), b.set.bodies.Rules().Lag
		body := progress(p)
		body.Stream = attempt.streamed
		if why := body.MayGoOn(time.Since(attempt.sent), left, p.Quiet, lag); why != core.GoesOn {
			attempt.cancel(why)
			return
		}
		watch.Reset(watchEvery)
	})
	watch.Reset(watchEvery)
	b.report(attemptBegan{attempt, r})
}

// progress is what the core goes by.
func progress(p flow.Progress) core.Progress {
	return core.Progress{
		Length: p.Length, Came: p.Came, Before: p.Before, HeldUp: p.HeldUp, Coming: p.Coming,
		Whole: p.Whole,
	}
}

// judge tells how an attempt ended. For an answer that had begun it waits until nobody takes it any more.
func (b *booking) judge(attempt *attempt, saw core.Sighting, reply protocol.Reply, begun *flow.Flow,
	err error,
) attemptEnded {
	ended := attemptEnded{attempt: attempt, reply: reply}
	var p flow.Progress
	if begun != nil {
		ended.reply.Flow = nil // somebody has it
		<-begun.Over()
		if p, err = begun.Progress(), begun.Result(); errors.Is(err, io.EOF) {
			err = nil
		}
		saw.Phase, saw.Begun = core.Answering, true
	} else if reply.Flow != nil {
		p = reply.Flow.Progress()
	}
	saw.Ending, saw.Reply, saw.Body = endingOf(err, attempt.ctx), reply.Outcome, progress(p)
	saw.Latency = serverTime(p, begun != nil, attempt.began(), time.Now())
	b.set.idleLimit.note(b.set.clock.now(), saw)
	ended.saw = saw
	return ended
}

// serverTime is how long the booking server took for what came of its answer, without what this side held
// it up.
func serverTime(p flow.Progress, begun bool, sent, ended time.Time) time.Duration {
	if p.Whole && !p.LastCame.IsZero() { // else it was waited for until the end
		ended = p.LastCame
	}
	if begun { // what is timed is its beginning: the rest takes as long as its length
		return ended.Sub(sent) - p.Before - p.HeldUp - p.Coming
	}
	return ended.Sub(sent) - p.Before - p.HeldUp
}

// endingOf tells how an attempt ended by its error and its context. This agent's own reason to end it
// counts: what the connection says then follows from it.
func endingOf(err error, ctx context.Context) core.Ending {
	var own core.Ending
	switch {
	case err == nil:
		return core.Completed
	case errors.Is(err, memory.ErrFull):
		return core.NoMemory
	case errors.As(context.Cause(ctx), &own):
		return own
	case errors.Is(err, flow.ErrLeft):
		return core.ClientLeft
	case errors.Is(err, transport.ErrSpoilt):
		return core.Spoilt
	}
	return core.BrokenOff
}
