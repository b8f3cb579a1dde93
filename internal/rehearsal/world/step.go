package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// replyKind is what a process answers.
type replyKind uint8

const (
	replyServed replyKind = iota
	replyError
	replyUnprocessed
	replySpoilt
)

// step is a route step on its way.
type step struct {
	w         *world
	life      *life
	operation *operation
	try       *try
	attempt   int
	pool      *upstream
	conn      *conn
	number    uint64 // for its lots
	work      float64
	begun     time.Duration
	until     time.Duration // when the agent gives it up, as it tells the booking server
	lease     routing.Checkout[*conn]
	phase     routing.AttemptPhase
	ended     bool // at the agent
	reply     replyKind

	job         *job // at the process, until that is done with it
	ran         bool
	resets      bool // a trouble resets its connection
	resetsAfter bool // only when it has run
	fault       scenario.Fault
}

type (
	stepReaches  step // its last byte is at the machine
	stepAnswered step // the answer's last byte is at the agent
	stepOver     step // the agent waits no longer
	stepUnheard  step // the connection is not up in time
)

func (r *stepReaches) happen() {
	s := (*step)(r)
	c := s.conn
	if c.process == nil || c.over { // what comes for a connection that is over is answered with a reset
		s.w.enter(c.link.arrival(&c.toAgent, 1), rankArrival, (*connBreaking)(c))
		return
	}
	p := c.process
	c.quietSince = s.w.now
	s.w.record.reached(s, p)
	if reset := s.w.resetting; reset > 0 && lot(s.w.seed, s.number, lotReset) < reset {
		s.resets = true
		s.resetsAfter = lot(s.w.seed, s.number, lotResetWhen) < 0.5
		if !s.resetsAfter {
			s.done(0)
			c.drop()
			return
		}
	}
	p.arrive(s)
}

// done notes that the process is done with it, or has dropped it, with so much work spent.
func (s *step) done(spent float64) {
	s.job = nil
	s.w.record.worked(s, spent)
}

func (a *stepAnswered) happen() {
	s := (*step)(a)
	if s.life.still(a) || s.ended || s.conn.closed {
		return
	}
	s.conn.usedAt = s.w.now
	if s.conn.wire != nil {
		s.answerWire()
		return
	}
	s.phase = routing.Responding
	if s.reply == replySpoilt {
		s.end(routing.InvalidResponse)
	} else {
		s.end(routing.Completed)
	}
}

func (k replyKind) outcome() balancer.Outcome {
	switch k {
	case replyServed:
		return balancer.Served
	case replyUnprocessed:
		return balancer.Rejected
	}
	return balancer.ServerError
}

func (o *stepOver) happen() {
	s := (*step)(o)
	if !s.life.still(o) && !s.ended && !s.life.dead {
		s.end(routing.TimedOut)
	}
}

func (u *stepUnheard) happen() {
	s := (*step)(u)
	if !s.life.still(u) && !s.ended && !s.life.dead && s.phase == routing.Connecting {
		s.life.connects.GaveUp()
		s.end(routing.TimedOut)
	}
}

// startStep sends an operation to a booking server, on a connection that is idle or a new one.
func (l *life) startStep(o *routing.Output) {
	w := l.w
	op := l.operations[o.Request]
	u := l.upstreams[o.Endpoint]
	t := op.try
	s := &step{
		w: w, life: l, operation: op, try: t, attempt: o.Attempt, pool: u, begun: w.now,
		until: o.At - clockStart,
	}
	s.number = mix(t.request.lots + uint64(t.nth)<<32 + uint64(o.Attempt))
	s.work = t.request.work * lognormal(w.noise[t.request.class], lotNormalOf(w.seed, s.number))
	op.steps = append(op.steps, s)
	w.open++
	lease, closing := u.pool.Acquire(l.clock())
	closeAll(closing)
	s.lease = lease
	w.enter(s.until, rankTimer, (*stepOver)(s))
	if !lease.Reused {
		l.dial(s)
		return
	}
	s.conn = lease.Conn
	s.conn.step = s
	s.conn.write()
}

// dial opens a connection for a route step.
func (l *life) dial(s *step) {
	w := l.w
	if !l.descriptors.AcquireUpstream() {
		l.post(message{kind: reclaim})
		s.end(routing.BrokenByEndpoint)
		return
	}
	to := w.at[s.lease.Addr]
	c := &conn{
		link: l.agent.link(to), life: l, pool: s.pool, step: s, place: -1, usedAt: w.now,
		slot: len(l.open),
	}
	l.open = append(l.open, c)
	s.conn = c
	c.open()
	wait := l.connects.Timeout(w.set.Connections.ConnectTimeout, s.until-w.now)
	w.enter(min(w.now+wait, s.until), rankTimer, (*stepUnheard)(s))
}

// released takes in that a connection is closed.
func (l *life) released(c *conn) {
	l.descriptors.ReleaseUpstream()
	last := len(l.open) - 1
	l.open[c.slot] = l.open[last]
	l.open[c.slot].slot = c.slot
	l.open[last] = nil
	l.open = l.open[:last]
	l.clients.freed(l)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// end ends a route step at the agent. The connection is closed, unless it can carry another.
func (s *step) end(how routing.EndReason) {
	l := s.life
	saw := routing.AttemptResult{
		Phase: s.phase, EndReason: how, Response: s.reply.outcome(), Latency: s.w.now - s.begun,
		Reused: s.lease.Reused, IdleFor: s.lease.IdleFor,
	}
	if s.phase == routing.Connecting && how == routing.BrokenByEndpoint {
		saw.Refused, saw.LocalFault = s.conn != nil, s.conn == nil
	}
	if stood, lost, counts := saw.IdleEvidence(); counts {
		l.idle.Record(l.clock(), stood, lost)
	}
	s.over(wireOutcome(saw))
	if c := s.conn; how == routing.Completed {
		closeAll(s.pool.pool.Release(l.clock(), c, s.lease.Addr, false))
		s.pool.planExpiry()
	} else {
		if saw.IsUnanswered() {
			closeAll(s.pool.pool.ReleaseUnanswered(l.clock() - (s.w.now - s.begun)))
		} else {
			s.pool.pool.ReleaseClosed()
		}
		if c != nil {
			c.close()
		}
	}
	l.post(message{kind: stepEnded, id: s.operation.id, attempt: s.attempt, saw: saw})
}

// over notes how the route step ended.
func (s *step) over(how record.Outcome) {
	s.ended = true
	s.w.open--
	s.w.record.ended(s, how)
}

// wireOutcome is what passed on the wire, whatever the agent makes of it.
func wireOutcome(saw routing.AttemptResult) record.Outcome {
	switch {
	case saw.Phase <= routing.Writing:
		return record.NoConnection
	case saw.EndReason == routing.BrokenByEndpoint:
		return record.Broken
	case saw.EndReason == routing.InvalidResponse:
		return record.SpoiltAnswer
	case saw.EndReason != routing.Completed:
		return record.GivenUp
	case saw.Response == balancer.Served:
		return record.OK
	case saw.Response == balancer.Rejected:
		return record.TurnedAway
	}
	return record.Error
}

// planExpiry has the idle connections looked at when the first has stood for as long as it may.
func (u *upstream) planExpiry() {
	at, any := u.pool.NextExpiry()
	if at -= clockStart; any && (u.expiry == 0 || at < u.expiry) {
		u.expiry = at
		u.life.w.enter(at, rankTimer, (*idleDue)(u))
	}
}

type idleDue upstream

func (d *idleDue) happen() {
	u := (*upstream)(d)
	if u.life.dead || u.life.still(d) || u.expiry == 0 || u.expiry > u.life.w.now {
		return
	}
	u.expiry = 0
	closeAll(u.pool.Expire(u.life.clock()))
	u.planExpiry()
}
