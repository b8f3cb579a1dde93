package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// replyKind is the kind of a process's answer.
type replyKind uint8

const (
	replyServed replyKind = iota
	replyError
	replyUnprocessed
	replyUnreadable
)

// attempt is one attempt of a request at an upstream server.
type attempt struct {
	w            *world
	proc         *agentProcess
	agentRequest *agentRequest
	try          *try
	index        int
	upstream     *upstream
	conn         *conn
	drawSeed     uint64 // seed of its random draws
	work         float64
	startedAt    time.Duration
	deadline     time.Duration // when the agent gives it up, as it tells the server
	checkout     routing.Checkout[*conn]
	phase        routing.AttemptPhase
	ended        bool // at the agent
	reply        replyKind

	job           *job // at the process, until it is done or dropped
	ran           bool
	reset         bool // a fault resets its connection
	resetAfterRun bool // after it has run
	fault         scenario.Fault
}

type (
	attemptArrives  attempt // its last byte reaches the server
	attemptAnswered attempt // the answer's last byte reaches the agent
	attemptTimesOut attempt // its deadline expires
	connectTimesOut attempt // its connection is not established in time
)

func (r *attemptArrives) fire() {
	s := (*attempt)(r)
	c := s.conn
	if c.process == nil || c.ended { // data on a connection that has ended is answered with a reset
		s.w.schedule(c.link.arrival(&c.lastToAgent, 1), rankArrival, (*connBreaking)(c))
		return
	}
	p := c.process
	c.idleSince = s.w.now
	s.w.record.reached(s, p)
	if reset := s.w.resetShare; reset > 0 && hashedDraw(s.w.seed, s.drawSeed, lotReset) < reset {
		s.reset = true
		s.resetAfterRun = hashedDraw(s.w.seed, s.drawSeed, lotResetWhen) < 0.5
		if !s.resetAfterRun {
			s.done(0)
			c.drop()
			return
		}
	}
	p.arrive(s)
}

// done records that the process has finished or dropped it, with the work spent in seconds of standard
// work.
func (s *attempt) done(spent float64) {
	s.job = nil
	s.w.record.worked(s, spent)
}

func (a *attemptAnswered) fire() {
	s := (*attempt)(a)
	if s.proc.deferIfPaused(a) || s.ended || s.conn.closed {
		return
	}
	s.conn.usedAt = s.w.now
	if s.conn.wire != nil {
		s.answerExternal()
		return
	}
	s.phase = routing.Responding
	if s.reply == replyUnreadable {
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

func (o *attemptTimesOut) fire() {
	s := (*attempt)(o)
	if !s.proc.deferIfPaused(o) && !s.ended && !s.proc.dead {
		s.end(routing.TimedOut)
	}
}

func (u *connectTimesOut) fire() {
	s := (*attempt)(u)
	if !s.proc.deferIfPaused(u) && !s.ended && !s.proc.dead && s.phase == routing.Connecting {
		s.proc.connectTimeouts.GaveUp()
		s.end(routing.TimedOut)
	}
}

// startAttempt sends a request to an upstream server, on an idle connection or a new one.
func (l *agentProcess) startAttempt(o *routing.Output) {
	w := l.w
	op := l.requests[o.Request]
	u := l.upstreams[o.Endpoint]
	t := op.try
	s := &attempt{
		w: w, proc: l, agentRequest: op, try: t, index: o.Attempt, upstream: u, startedAt: w.now,
		deadline: o.At - clockStart,
	}
	s.drawSeed = mix(t.request.drawSeed + uint64(t.number)<<32 + uint64(o.Attempt))
	s.work = t.request.work * lognormal(w.noise[t.request.class], hashedNormal(w.seed, s.drawSeed))
	op.attempts = append(op.attempts, s)
	w.pending++
	lease, closing := u.pool.Acquire(l.clock())
	closeAll(closing)
	s.checkout = lease
	w.schedule(s.deadline, rankTimer, (*attemptTimesOut)(s))
	if !lease.Reused {
		l.dial(s)
		return
	}
	s.conn = lease.Conn
	s.conn.attempt = s
	s.conn.send()
}

// dial opens a connection for an attempt.
func (l *agentProcess) dial(s *attempt) {
	w := l.w
	if !l.descriptors.AcquireUpstream() {
		l.post(message{kind: releaseIdle})
		s.end(routing.BrokenByEndpoint)
		return
	}
	to := w.byAddr[s.checkout.Addr]
	c := &conn{
		link: l.agent.link(to), proc: l, upstream: s.upstream, attempt: s, processIndex: -1, usedAt: w.now,
		openIndex: len(l.openConns),
	}
	l.openConns = append(l.openConns, c)
	s.conn = c
	c.open()
	wait := l.connectTimeouts.Timeout(w.scenario.Connections.ConnectTimeout, s.deadline-w.now)
	w.schedule(min(w.now+wait, s.deadline), rankTimer, (*connectTimesOut)(s))
}

// connReleased updates the open connections after one is closed.
func (l *agentProcess) connReleased(c *conn) {
	l.descriptors.ReleaseUpstream()
	last := len(l.openConns) - 1
	l.openConns[c.openIndex] = l.openConns[last]
	l.openConns[c.openIndex].openIndex = c.openIndex
	l.openConns[last] = nil
	l.openConns = l.openConns[:last]
	l.listener.acceptWaiting(l)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// end ends an attempt at the agent. Its connection is kept if it can be reused, and closed otherwise.
func (s *attempt) end(how routing.EndReason) {
	l := s.proc
	saw := routing.AttemptResult{
		Phase: s.phase, EndReason: how, Response: s.reply.outcome(), Latency: s.w.now - s.startedAt,
		Reused: s.checkout.Reused, IdleFor: s.checkout.IdleFor,
	}
	if s.phase == routing.Connecting && how == routing.BrokenByEndpoint {
		saw.Refused, saw.LocalFault = s.conn != nil, s.conn == nil
	}
	if stood, lost, counts := saw.IdleEvidence(); counts {
		l.idleLimit.Record(l.clock(), stood, lost)
	}
	s.finish(wireOutcome(saw))
	if c := s.conn; how == routing.Completed {
		closeAll(s.upstream.pool.Release(l.clock(), c, s.checkout.Addr, false))
		s.upstream.scheduleExpiry()
	} else {
		if saw.IsUnanswered() {
			closeAll(s.upstream.pool.ReleaseUnanswered(l.clock() - (s.w.now - s.startedAt)))
		} else {
			s.upstream.pool.ReleaseClosed()
		}
		if c != nil {
			c.close()
		}
	}
	l.post(message{kind: attemptEnded, id: s.agentRequest.id, attempt: s.index, result: saw})
}

// finish records the outcome of the attempt.
func (s *attempt) finish(how record.Outcome) {
	s.ended = true
	s.w.pending--
	s.w.record.ended(s, how)
}

// wireOutcome returns the outcome on the wire, however the agent classifies it.
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

// scheduleExpiry schedules the check of idle connections for when the first one expires.
func (u *upstream) scheduleExpiry() {
	at, any := u.pool.NextExpiry()
	if at -= clockStart; any && (u.expiry == 0 || at < u.expiry) {
		u.expiry = at
		u.proc.w.schedule(at, rankTimer, (*idleDue)(u))
	}
}

type idleDue upstream

func (d *idleDue) fire() {
	u := (*upstream)(d)
	if u.proc.dead || u.proc.deferIfPaused(d) || u.expiry == 0 || u.expiry > u.proc.w.now {
		return
	}
	u.expiry = 0
	closeAll(u.pool.Expire(u.proc.clock()))
	u.scheduleExpiry()
}
