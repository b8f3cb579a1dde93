package routing

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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

// routeStep is one attempt at an operation.
type routeStep struct {
	operation *operation
	attempt   int
	server    string
	streamed  bool // its answer is passed on from the first byte on
	sent      time.Time
	written   time.Time // its last byte; zero: not yet
	times     atomic.Pointer[stepTimes]
	ctx       context.Context // ends when the step is given up; the cause is a core.Ending
	cancel    context.CancelCauseFunc
	timer     *time.Timer // gives it up; the module's actor's

	mu       sync.Mutex // of the two below
	unwanted bool       // its operation has its final answer, or its client has gone
	writes   bool       // it is written, or has been
}

// settles waits until something may be written on a connection that was used before, or until that has ended
// or the step is given up.
func (s *routeStep) settles(conn *transport.Upstream, wait time.Duration) {
	if wait <= 0 {
		return
	}
	settled := time.NewTimer(wait)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-conn.Over():
	case <-s.ctx.Done():
	}
	s.sent = time.Now() // the booking server's time does not run before
}

// mayWrite tells whether the step may be written now. Once its operation has its final answer, its client has
// gone or it was given up, it may not: it would be sent on after that.
func (s *routeStep) mayWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = !s.unwanted && s.ctx.Err() == nil
	if s.unwanted {
		s.cancel(core.CalledOff)
	}
	return s.writes
}

// unwritten takes in that nothing was written after all, and that a new connection is tried.
func (s *routeStep) unwritten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = false
	if s.unwanted {
		s.cancel(core.CalledOff)
	}
}

// unwant takes in that its operation has its final answer, or its client has gone: one that is not written
// yet is called off, one that is goes on to its end.
func (s *routeStep) unwant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwanted = true
	if !s.writes {
		s.cancel(core.CalledOff)
	}
}

// stepTimes are until when a route step lasts. They change when an operation has come whole.
type stepTimes struct {
	until    time.Time     // when it is given up, unless its answer has begun
	deadline time.Time     // of the operation's final answer
	after    time.Duration // while the operation is still coming: how long it is waited for from its end on
}

// wait is how long the route step is waited for, as a booking server is told that gets it now.
func (t *stepTimes) wait() time.Duration {
	if t.after > 0 {
		return t.after
	}
	return time.Until(t.until)
}

// retime sets them anew, as the operation has come whole.
func (s *routeStep) retime(until, deadline time.Time) {
	s.times.Store(&stepTimes{until: until, deadline: deadline})
	if s.timer.Stop() { // else its time is up
		s.timer.Reset(time.Until(until))
	}
}

// newStep prepares a route step that the core has asked for.
func newStep(o *operation, start core.Output, c clock) *routeStep {
	s := &routeStep{operation: o, attempt: start.Attempt, server: start.Server, streamed: start.Begins,
		sent: time.Now()}
	until := c.time(start.At)
	s.times.Store(&stepTimes{until, c.time(start.Deadline), start.After})
	ctx, cancel := context.WithCancelCause(context.Background())
	s.ctx = ctx
	s.timer = time.AfterFunc(until.Sub(s.sent), func() { cancel(core.OutOfTime) })
	s.cancel = func(why error) { s.timer.Stop(); cancel(why) }
	return s
}

// stepBegan tells the module's actor that a route step's answer is longer than what is held whole.
type stepBegan struct {
	step  *routeStep
	reply protocol.Reply
}

// stepEnded tells the module's actor how a route step ended.
type stepEnded struct {
	step  *routeStep
	saw   core.Sighting
	reply protocol.Reply
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
	report func(any) // stepBegan and stepEnded
	pool   *core.Pool[*transport.Upstream]
	expiry *time.Timer   // until the next idle connection is to be closed
	due    time.Duration // when that is; zero: nothing is waited for
}

// The messages of a booking server's actor, beside *routeStep.
type (
	moved    struct{ addr netip.AddrPort }
	stepOver struct {
		lease  core.Lease[*transport.Upstream]
		conn   *transport.Upstream // nil: closed
		unused bool                // it is the lease's, and nothing was written on it
		sent   time.Duration       // where it was reused and gave no answer, of its step; else zero
	}
	idleOver  struct{}
	connEnded struct{ conn *transport.Upstream }
	rest      struct{} // keep no idle connections
	letGo     struct{} // close half of the idle connections
	retire    struct{} // the server has left: end when nothing is out
)

func startBooking(set upstreamSettings, addr netip.AddrPort, report func(any)) *booking {
	b := &booking{set: set, mail: newMailbox[any](), report: report,
		pool: core.NewPool[*transport.Upstream](addr, set.idleLimit, set.settle)}
	go b.mail.receive(b.handle)
	return b
}

func (b *booking) handle(m any) bool {
	now := b.set.clock.now()
	var closing []*transport.Upstream
	switch m := m.(type) {
	case *routeStep:
		var lease core.Lease[*transport.Upstream]
		lease, closing = b.pool.Begin(now)
		go b.carry(m, lease)
	case stepOver:
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

// carry carries a route step out, on the connection of its lease or a new one, and reports how it ended. It
// runs beside the actor.
func (b *booking) carry(step *routeStep, lease core.Lease[*transport.Upstream]) {
	defer step.cancel(nil)
	conn := lease.Conn
	var begun *flow.Flow
	exchange := func() (protocol.Reply, bool, error) {
		if !step.mayWrite() {
			return protocol.Reply{}, true, transport.ErrUnused // the connection is as good as before
		}
		op, wait := step.operation.Operation, step.times.Load().wait() // after the dial
		return conn.Exchange(step.ctx, transport.Step{Head: protocol.AppendRouteStep(nil, op, wait), Body: op.Body,
			Rest: op.Rest, Chunked: op.Length < 0,
			AtOnce: step.streamed, GraphQL: op.GraphQL,
			Written: func() { step.written = time.Now(); b.set.figures.Tried() },
			Begun: func(r protocol.Reply) {
				begun = r.Flow
				b.begin(step, r)
			}})
	}
	saw := core.Sighting{Phase: core.Unused, Reused: lease.Reused, Stood: lease.Stood}
	var reply protocol.Reply
	var reuse bool
	var err error
	if lease.Reused {
		step.settles(conn, lease.Settles)
		reply, reuse, err = exchange()
		saw.Phase = phaseOf(err)
	}
	if saw.Again() && !reuse { // else it was called off before it was written
		step.unwritten()
		saw = core.Sighting{Phase: core.Connecting}
		began := time.Now()
		wait := b.set.connects.wait(b.set.connectTimeout, time.Until(step.times.Load().until))
		conn, err = transport.DialUpstream(step.ctx, step.server, lease.Addr, wait,
			b.set.descriptors, b.set.bodies, func(u *transport.Upstream) { b.mail.put(connEnded{u}) })
		if b.set.connects.ended(began, err); err == nil {
			reply, reuse, err = exchange()
			saw.Phase = phaseOf(err)
		} else {
			saw.Refused = errors.Is(err, syscall.ECONNREFUSED)
			saw.Ours = errors.Is(err, transport.ErrNoDescriptor) || errors.Is(err, syscall.EMFILE)
		}
	}
	saw.Spent = step.operation.Rest != nil && step.operation.Rest.Progress().Taken
	saw.Ours = saw.Ours || saw.Phase == core.Writing && errors.Is(err, transport.ErrClient) ||
		saw.Phase == core.Unused && reuse // nothing was tried
	over := stepOver{lease: lease}
	if reuse {
		over.conn, over.unused = conn, saw.Phase == core.Unused && conn == lease.Conn
	}
	if saw.Ending = endingOf(err, step.ctx); saw.Ending == core.OutOfTime {
		saw.Late = max(time.Since(step.times.Load().until), 0)
	}
	if saw.Silent() && begun == nil {
		over.sent = b.set.clock.now() - time.Since(step.sent)
	}
	b.mail.put(over)
	b.report(b.judge(step, saw, reply, begun, err))
}

// phaseOf tells how far a route step came, by its error.
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
func (b *booking) begin(step *routeStep, r protocol.Reply) {
	context.AfterFunc(step.ctx, func() { r.Flow.Cut(context.Cause(step.ctx)) })
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() {
		if step.ctx.Err() != nil {
			return
		}
		p, left, lag := r.Flow.Progress(), time.Until(step.times.Load().deadline), b.set.bodies.Rules().Lag
		body := progress(p)
		body.Stream = step.streamed
		if why := body.MayGoOn(time.Since(step.sent), left, p.Quiet, lag); why != core.GoesOn {
			step.cancel(why)
			return
		}
		watch.Reset(watchEvery)
	})
	watch.Reset(watchEvery)
	b.report(stepBegan{step, r})
}

// progress is what the core goes by.
func progress(p flow.Progress) core.Progress {
	return core.Progress{Length: p.Length, Came: p.Came, Before: p.Before, HeldUp: p.HeldUp, Coming: p.Coming,
		Whole: p.Whole}
}

// began is from when on the booking server's time counts.
func (s *routeStep) began() time.Time {
	if s.operation.Rest != nil && !s.written.IsZero() {
		return s.written
	}
	return s.sent
}

// judge tells how a route step ended. For an answer that had begun it waits until nobody takes it any more.
func (b *booking) judge(step *routeStep, saw core.Sighting, reply protocol.Reply, begun *flow.Flow,
	err error) stepEnded {
	ended := stepEnded{step: step, reply: reply}
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
	saw.Ending, saw.Reply, saw.Body = endingOf(err, step.ctx), reply.Outcome, progress(p)
	saw.Latency = serverTime(p, begun != nil, step.began(), time.Now())
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

// endingOf tells how a route step ended by its error and its context. This agent's own reason to end it
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
