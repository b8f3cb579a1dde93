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
	drawSeed     uint64  // seed of its random draws
	work         float64 // seconds on a standard core
	startedAt    time.Duration
	deadline     time.Duration // when the agent gives it up; sent to the server
	checkout     routing.Checkout[*conn]
	phase        routing.AttemptPhase
	ended        bool // at the agent
	reply        replyKind

	job           *job // at the process, until it is done or dropped
	ran           bool
	reset         bool // a fault resets its connection
	resetAfterRun bool // only after it has run
	fault         scenario.ConnFault
}

// The events of an attempt.
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
	if reset := s.w.resetShare; reset > 0 && hashedDraw(s.w.seed, s.drawSeed, drawReset) < reset {
		s.reset = true
		s.resetAfterRun = hashedDraw(s.w.seed, s.drawSeed, drawResetTime) < 0.5
		if !s.resetAfterRun {
			s.done(0)
			c.drop()
			return
		}
	}
	p.arrive(s)
}

// done records that the process has finished or dropped the attempt, with the work spent in seconds of
// standard work.
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
	if !s.proc.deferIfPaused(o) && !s.ended && !s.proc.ended {
		s.end(routing.TimedOut)
	}
}

func (u *connectTimesOut) fire() {
	s := (*attempt)(u)
	if !s.proc.deferIfPaused(u) && !s.ended && !s.proc.ended && s.phase == routing.Connecting {
		s.proc.connectTimeouts.TimedOut()
		s.end(routing.TimedOut)
	}
}

// startAttempt sends a request to an upstream server, on an idle connection or a new one.
func (l *agentProcess) startAttempt(o *routing.Output) {
	w := l.w
	req := l.requests[o.Request]
	u := l.upstreams[o.Endpoint]
	t := req.try
	s := &attempt{
		w: w, proc: l, agentRequest: req, try: t, index: o.Attempt, upstream: u, startedAt: w.now,
		deadline: o.At - clockStart,
	}
	s.drawSeed = mix(t.request.drawSeed + uint64(t.number)<<32 + uint64(o.Attempt))
	s.work = t.request.work * lognormal(w.noise[t.request.class], hashedNormal(w.seed, s.drawSeed))
	req.attempts = append(req.attempts, s)
	w.pending++
	checkout, closing := u.pool.Acquire(l.clock())
	closeAll(closing)
	s.checkout = checkout
	w.schedule(s.deadline, rankTimer, (*attemptTimesOut)(s))
	if !checkout.Reused {
		l.dial(s)
		return
	}
	s.conn = checkout.Conn
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
	server := w.byAddr[s.checkout.Addr]
	c := &conn{
		link: l.agent.link(server), proc: l, upstream: s.upstream, attempt: s, processIndex: -1, usedAt: w.now,
		openIndex: len(l.openConns),
	}
	l.openConns = append(l.openConns, c)
	s.conn = c
	c.open()
	wait := l.connectTimeouts.Timeout(w.scenario.Connections.ConnectTimeout, s.deadline-w.now)
	w.schedule(min(w.now+wait, s.deadline), rankTimer, (*connectTimesOut)(s))
}

// connReleased removes a closed connection from the open ones and releases its descriptor.
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
func (s *attempt) end(reason routing.EndReason) {
	l := s.proc
	result := routing.AttemptResult{
		Phase: s.phase, EndReason: reason, Response: s.reply.outcome(), Latency: s.w.now - s.startedAt,
		Reused: s.checkout.Reused, IdleFor: s.checkout.IdleFor,
	}
	if s.phase == routing.Connecting && reason == routing.BrokenByEndpoint {
		result.Refused, result.LocalFault = s.conn != nil, s.conn == nil
	}
	if idleFor, lost, counts := result.IdleEvidence(); counts {
		l.idleLimit.Record(l.clock(), idleFor, lost)
	}
	s.finish(wireOutcome(result))
	if c := s.conn; reason == routing.Completed {
		closeAll(s.upstream.pool.Release(l.clock(), c, s.checkout.Addr, false))
		s.upstream.scheduleExpiry()
	} else {
		if result.IsUnanswered() {
			closeAll(s.upstream.pool.ReleaseUnanswered(l.clock() - (s.w.now - s.startedAt)))
		} else {
			s.upstream.pool.ReleaseClosed()
		}
		if c != nil {
			c.close()
		}
	}
	l.post(message{kind: attemptEnded, id: s.agentRequest.id, attempt: s.index, result: result})
}

// finish records the outcome of the attempt.
func (s *attempt) finish(outcome record.Outcome) {
	s.ended = true
	s.w.pending--
	s.w.record.ended(s, outcome)
}

// wireOutcome returns the outcome on the wire, however the agent classifies it.
func wireOutcome(result routing.AttemptResult) record.Outcome {
	switch {
	case result.Phase <= routing.Writing:
		return record.NoConnection
	case result.EndReason == routing.BrokenByEndpoint:
		return record.Broken
	case result.EndReason == routing.InvalidResponse:
		return record.UnreadableAnswer
	case result.EndReason != routing.Completed:
		return record.Abandoned
	case result.Response == balancer.Served:
		return record.OK
	case result.Response == balancer.Rejected:
		return record.Rejected
	}
	return record.Error
}

// scheduleExpiry schedules the check of idle connections for when the first one expires.
func (u *upstream) scheduleExpiry() {
	at, any := u.pool.NextExpiry()
	if at -= clockStart; any && (u.expiry == 0 || at < u.expiry) {
		u.expiry = at
		u.proc.w.schedule(at, rankTimer, (*upstreamIdleCheck)(u))
	}
}

// upstreamIdleCheck closes the connections that have been idle for too long.
type upstreamIdleCheck upstream

func (d *upstreamIdleCheck) fire() {
	u := (*upstream)(d)
	if u.proc.ended || u.proc.deferIfPaused(d) || u.expiry == 0 || u.expiry > u.proc.w.now {
		return
	}
	u.expiry = 0
	closeAll(u.pool.Expire(u.proc.clock()))
	u.scheduleExpiry()
}
