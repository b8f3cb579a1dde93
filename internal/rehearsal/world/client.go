package world

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

const (
	// agentIdle is how long an agent keeps an idle client connection open; crowdedIdle applies when
	// clients hold many connections.
	agentIdle   = 30 * time.Second
	crowdedIdle = 2 * time.Second
	// wireSlack is added to the answer slack because real sockets take time.
	wireSlack = 50 * time.Millisecond
)

// client is a copy of the calling application, with its connections to the agent beside it.
type client struct {
	w     *world
	agent *agent
	idle  []*clientConn // the most recently used last
}

// clientConn is a client's connection to an agent.
type clientConn struct {
	client    *client
	proc      *agentProcess
	counted   bool // the agent has a descriptor for it
	used      bool // an answer has been sent on it
	closed    bool
	idleSince time.Duration
	idleCheck bool // an idle check is scheduled
	activeTry *try // of a connection to a real agent: the try that uses it
	Handle    ClientConnHandle
}

// listener is an agent's listener.
type listener struct {
	waiting  []*try // on new connections that wait for a descriptor
	accepted int    // open connections that have a descriptor
}

// request is one request of a caller, including its retries.
type request struct {
	client   *client
	class    int
	tenant   uint8
	key      uint32  // numbered from 1; 0: none
	work     float64 // seconds on a standard core
	drawSeed uint64  // seed of its random draws
	deadline time.Duration
	chain    uint32 // ID of its first try
}

// try is one try of a client's request, as sent to an agent.
type try struct {
	request          *request
	agent            *agent
	proc             *agentProcess
	conn             *clientConn
	agentRequest     *agentRequest
	id               uint32 // unique in the run
	number           int    // 0: the first try of the request
	sentAt           time.Duration
	deadline         time.Duration // when the client stops waiting
	impatient        bool          // the client leaves earlier and does not retry
	attemptsSeen     int           // attempts that upstream servers have received, with real agents
	accepted         bool          // the agent has accepted it
	notAccepted      bool          // no agent accepted it
	closedUnanswered bool          // a stopping agent closed the new connection without an answer
	timedOut         bool          // an answer no longer counts
	ended            bool
	answerSent       bool
	answer           record.Answer
	retryAfter       time.Duration
	attempt          int // the attempt that produced the answer; negative: none did
}

// send makes a try of the request, the first with number 0. It goes to the agent beside the client. A
// retry, or a first try while that agent sends its clients away, goes to the next agent that accepts
// connections if the scenario lets clients do so.
func (q *request) send(number int) {
	w := q.client.w
	a := q.client.agent
	if (number > 0 || a.proc != nil && a.proc.sendingAway) && w.scenario.Clients.RetryElsewhere {
		for range w.agents {
			if a.accepting() {
				break
			}
			a = w.agents[(a.number+1)%len(w.agents)]
		}
	}
	w.tryCount++
	w.pending++
	t := &try{request: q, agent: a, number: number, id: w.tryCount, sentAt: w.now, attempt: -1}
	if a.accepting() {
		t.proc = a.proc
	}
	if number == 0 {
		q.chain = t.id
	}
	deadline := w.scenario.Classes[q.class].Deadline
	t.deadline = min(w.now+time.Duration(w.tryTimeoutShare*float64(deadline)), q.deadline)
	if t.impatient = hashedDraw(q.drawSeed, uint64(number), drawLeaves) < w.impatientShare; t.impatient {
		wait := time.Duration(hashedDraw(q.drawSeed, uint64(number), drawLeaveTime) * float64(t.deadline-w.now))
		w.scheduleAfter(wait, rankClient, (*clientLeaves)(t))
	} else {
		w.schedule(t.deadline, rankClient, (*tryTimesOut)(t))
	}
	if t.conn = a.client.acquire(t.proc); t.proc != nil {
		t.proc = t.conn.proc // the connection may belong to an earlier process
	}
	w.scheduleAfter(w.network.client, rankArrival, (*tryArrives)(t))
}

// acquire returns an idle connection or a new one.
func (c *client) acquire(l *agentProcess) *clientConn {
	if n := len(c.idle); n > 0 {
		f := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return f
	}
	return &clientConn{client: c, proc: l}
}

// The events of a try.
type (
	tryArrives          try // its last byte reaches the agent
	clientSeesUnreached try // the client learns that no agent accepted it
	tryAnswered         try // the answer's last byte reaches the client
	clientSeesLost      try // the client learns that the agent has ended the connection
	tryTimesOut         try // its timeout expires
	clientLeaves        try // its client leaves
	tryRetries          try // its client retries
	clientLeft          try // the agent learns that the client has left
)

func (r *tryArrives) fire() {
	t := (*try)(r)
	l := t.proc
	switch {
	case t.ended:
	case l == nil || l.ended:
		t.unreached()
	case l.external:
		t.sendExternal()
	case t.conn.counted:
		t.accept()
	case l.shutdown.closing:
		t.unreached()
	default:
		l.listener.waiting = append(l.listener.waiting, t)
		l.listener.acceptWaiting(l)
	}
}

// unreached ends the try's connection because no agent accepts it.
func (t *try) unreached() {
	w := t.agent.w
	t.notAccepted = true
	t.closedUnanswered = t.proc != nil && (t.proc.shutdown.closing || t.proc.shutdown.exited)
	t.conn.closed = true
	w.record.try(record.RequestUnreached, t)
	w.scheduleAfter(w.network.client, rankArrival, (*clientSeesUnreached)(t))
}

// acceptWaiting accepts waiting connections while descriptors are available.
func (f *listener) acceptWaiting(l *agentProcess) {
	for len(f.waiting) > 0 {
		t := f.waiting[0]
		if !t.ended {
			if ok, _ := l.descriptors.AcquireDownstream(); !ok {
				return
			}
		}
		f.waiting = f.waiting[1:] // before accept, which may release descriptors and recurse
		if !t.ended {
			t.conn.counted = true
			f.accepted++
			t.accept()
		}
	}
}

// accept passes the try to the agent.
func (t *try) accept() {
	t.accepted = true
	t.agent.w.record.try(record.RequestReceived, t)
	if s := t.agent.w.delayedView; s != nil {
		s.arrivedWork += t.request.work
	}
	t.proc.post(message{kind: requestArrived, try: t})
}

// respond sends the router's final answer to the client. It closes the connection if descriptors are
// short or the agent is shutting down or sending its clients away.
func (l *agentProcess) respond(o *routing.Output) {
	t := l.requests[o.Request].try
	if t.answerSent { // a second answer: the client ignores it, and the judge must see it
		l.w.record.answered(t)
		return
	}
	t.answerSent = true
	switch o.Result {
	case protocol.Served:
		t.answer, t.attempt = record.Served, o.Attempt
	case protocol.Rejected:
		t.answer, t.retryAfter = record.Refused, o.After
	default:
		t.answer = record.Failed
	}
	f := t.conn
	crowded, pressing := l.descriptors.Pressure()
	if pressing || crowded && !f.used || l.shutdown.closing || l.sendingAway {
		f.close()
	}
	f.used = true
	l.w.scheduleAfter(l.w.network.client, rankArrival, (*tryAnswered)(t))
}

// close closes the connection at both ends.
func (f *clientConn) close() {
	if f.closed {
		return
	}
	f.closed = true
	if f.proc.external {
		f.client.w.wire.CloseConn(f)
	}
	if f.counted && !f.proc.ended {
		f.counted = false
		f.proc.descriptors.ReleaseDownstream()
		f.proc.listener.accepted--
		f.proc.listener.acceptWaiting(f.proc)
		f.proc.exitIfUnused()
	}
}

func (a *tryAnswered) fire() {
	t := (*try)(a)
	if t.proc.ended { // undelivered data is lost with the process
		(*clientSeesLost)(t).fire()
		return
	}
	if t.ended {
		return
	}
	t.end()
	w := t.agent.w
	w.record.answered(t)
	t.conn.release()
	if t.answer != record.Served {
		t.retry(t.answer == record.Refused)
	}
}

// release keeps the connection for the next try, unless it is closed or clients keep no idle
// connections.
func (f *clientConn) release() {
	w := f.client.w
	keep := w.scenario.Clients.KeepIdle
	switch {
	case f.closed || f.proc.ended:
	case keep == 0:
		f.close()
	default:
		f.idleSince = w.now
		f.client.idle = append(f.client.idle, f)
		if !f.idleCheck {
			f.idleCheck = true
			w.scheduleAfter(f.idleTimeout(), rankClient, (*clientConnIdleCheck)(f))
		}
	}
}

// idleTimeout is how long the connection may stay idle at present.
func (f *clientConn) idleTimeout() time.Duration {
	timeout := min(f.client.w.scenario.Clients.KeepIdle, agentIdle)
	if crowded, _ := f.proc.descriptors.Pressure(); crowded {
		timeout = min(timeout, crowdedIdle)
	}
	return timeout
}

// clientConnIdleCheck closes a connection that has been idle for idleTimeout.
type clientConnIdleCheck clientConn

func (i *clientConnIdleCheck) fire() {
	f := (*clientConn)(i)
	f.idleCheck = false
	at := slices.Index(f.client.idle, f)
	if f.closed || f.proc.ended || at < 0 {
		return
	}
	w := f.client.w
	if left := f.idleSince + f.idleTimeout() - w.now; left > 0 {
		f.idleCheck = true
		w.scheduleAfter(left, rankClient, i)
		return
	}
	f.client.idle = slices.Delete(f.client.idle, at, at+1)
	f.close()
}

// fire makes the client retry or give up. The client leaves a little later, so that an answer within
// the slack is recorded as late and not as missing.
func (l *tryTimesOut) fire() {
	t := (*try)(l)
	if t.ended {
		return
	}
	t.agent.w.scheduleAfter(t.agent.w.scenario.Rules.AnswerSlack+wireSlack, rankClient, (*clientLeaves)(t))
	t.retry(false)
	t.timedOut = true
}

func (l *clientLeaves) fire() {
	t := (*try)(l)
	if t.ended {
		return
	}
	t.end()
	w := t.agent.w
	if t.accepted {
		w.record.add(record.Event{Kind: record.ClientLeft, RequestID: t.id, Agent: int32(t.agent.number)})
	} else if !t.notAccepted { // it never reached the agent
		w.record.try(record.RequestUnreached, t)
	}
	w.scheduleAfter(w.network.client, rankArrival, (*clientLeft)(t))
}

func (l *clientLeft) fire() {
	t := (*try)(l)
	t.conn.close()
	if t.accepted && t.proc.external {
		delete(t.proc.requests, t.id)
	}
	if t.accepted && !t.proc.ended {
		t.proc.post(message{kind: clientGone, try: t})
	}
}

// resetConns breaks the client's connections to an agent process that has ended.
func (c *client) resetConns(l *agentProcess) {
	c.idle = slices.DeleteFunc(c.idle, func(f *clientConn) bool { return f.proc == l })
	w := c.w
	for _, t := range l.unanswered() {
		w.scheduleAfter(w.network.client, rankArrival, (*clientSeesLost)(t))
	}
	for _, t := range l.listener.waiting {
		if !t.ended {
			t.unreached()
		}
	}
}

// unanswered returns the accepted tries whose clients still wait, in order of arrival.
func (l *agentProcess) unanswered() []*try {
	var waiting []*try
	for _, o := range l.requests {
		if !o.try.ended && !o.try.answerSent {
			waiting = append(waiting, o.try)
		}
	}
	slices.SortFunc(waiting, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return waiting
}

func (l *clientSeesLost) fire() {
	t := (*try)(l)
	if t.ended {
		return
	}
	t.end()
	t.agent.w.record.add(
		record.Event{Kind: record.ConnectionLost, RequestID: t.id, Agent: int32(t.agent.number)})
	t.retry(false)
}

func (u *clientSeesUnreached) fire() {
	if t := (*try)(u); !t.ended {
		t.end()
		t.retry(true)
	}
}

// end ends the try: the client no longer waits for it.
func (t *try) end() {
	t.ended = true
	t.agent.w.pending--
}

// retry schedules the client's next try, if the request cannot have run or is safe to repeat, and if
// retries and time are left. After a timeout the retry has already been scheduled.
func (t *try) retry(neverRan bool) {
	if t.timedOut {
		return
	}
	q := t.request
	w := t.agent.w
	clients := &w.scenario.Clients
	class := &w.scenario.Classes[q.class]
	wait := w.backoff
	switch clients.Backoff {
	case scenario.AtOnce:
		wait = 0
	case scenario.Exponential:
		wait <<= min(t.number, 20)
	}
	if w.scenario.Allow.RetryAfter && hashedDraw(q.drawSeed, 0, drawHonorsRetryAfter) < w.honorShare {
		wait = max(wait, min(t.retryAfter, w.scenario.Allow.MaxRetryAfter))
	}
	repeatable := neverRan || class.Effect == scenario.Safe
	if !repeatable || t.number >= clients.Retries || w.now+wait >= q.deadline {
		return
	}
	w.pending++
	w.scheduleAfter(wait, rankClient, (*tryRetries)(t))
}

func (a *tryRetries) fire() {
	t := (*try)(a)
	t.agent.w.pending--
	t.request.send(t.number + 1)
}

// source generates the first tries of a client in an open loop, independent of the answers.
type source struct {
	client *client
	rng    stream
	perS   float64 // mean requests per second
	from   time.Duration
	until  time.Duration
	next   time.Duration
}

// start schedules the first request.
func (s *source) start() {
	s.next = s.from
	s.scheduleNext()
}

// scheduleNext draws the time of the next request or burst by thinning: candidates arrive at the run's
// peak rate and are discarded so that the rate at that time remains.
func (s *source) scheduleNext() {
	w := s.client.w
	peak := s.perS * w.peakFactor
	if w.scenario.Load.Arrivals == scenario.Bursty {
		peak /= max(w.scenario.Load.BurstMean, 1)
	}
	if peak <= 0 {
		return
	}
	for {
		s.next += time.Duration(s.rng.ExpFloat64() / peak * float64(time.Second))
		if s.next >= s.until || s.next < 0 {
			return
		}
		if s.rng.Float64()*w.peakFactor < w.loadFactor(s.next) {
			break
		}
	}
	w.schedule(s.next, rankClient, s)
}

func (s *source) fire() {
	w := s.client.w
	n, span := 1, time.Duration(0)
	if w.scenario.Load.Arrivals == scenario.Bursty {
		span = w.scenario.Load.BurstSpan
		if mean := w.scenario.Load.BurstMean; mean > 1 {
			n += int(math.Log(1-s.rng.Float64()) / math.Log(1-1/mean))
		}
	}
	for range n {
		q := s.draw()
		wait := time.Duration(s.rng.Float64() * float64(span))
		dropped := w.trafficKept < 1 && hashedDraw(q.drawSeed, 0, drawKept) >= w.trafficKept
		if dropped || s.next+wait >= s.until { // no request after the end of the run
			continue
		}
		w.pending++
		w.scheduleAfter(wait, rankClient, (*requestStarts)(q))
	}
	s.scheduleNext()
}

// requestStarts sends the first try of a request.
type requestStarts request

func (r *requestStarts) fire() {
	q := (*request)(r)
	w := q.client.w
	w.pending--
	if w.plan != nil {
		w.plan.addArrival(w.now, q)
		return
	}
	q.deadline = w.now + w.scenario.Classes[q.class].Deadline
	q.send(0)
}

// draw draws a request's properties.
func (s *source) draw() *request {
	w := s.client.w
	q := &request{client: s.client, class: w.classes.pick(s.rng), tenant: record.NoTenant}
	if len(w.tenants) > 0 {
		q.tenant = uint8(w.tenants.pick(s.rng))
	}
	if len(w.keys) > 0 {
		q.key = uint32(w.keys.pick(s.rng)) + 1
	}
	class := &w.scenario.Classes[q.class]
	exp, normal := s.rng.ExpFloat64(), s.rng.NormFloat64()
	q.work = w.meanWork[q.class].Seconds()
	switch class.Dist {
	case "exp":
		q.work *= exp
	case "lognormal":
		q.work *= lognormal(w.workCV[q.class], normal)
	}
	q.work = max(q.work, 1e-6)
	q.drawSeed = s.rng.Uint64()
	return q
}
