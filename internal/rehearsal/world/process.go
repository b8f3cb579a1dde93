package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
)

const (
	// warmupInterval is the time between two updates of the capacity of a process that is warming up.
	warmupInterval = 50 * time.Millisecond
	// minEfficiency is the lowest efficiency of an overcommitted process.
	minEfficiency = 0.2
)

// processState is the state of a server process.
type processState uint8

const (
	processUp processState = iota
	processDraining
	processDown
)

// serverProcess is one run of an upstream server's program, with its connections and its work.
//
// Its cores are shared evenly among the running jobs, so that all of them progress at one rate. A job
// is done when the work that each job has received since the process started (attained) has grown by
// the job's work.
type serverProcess struct {
	w       *world
	server  *server
	state   processState
	started time.Duration
	warming bool

	pausing bool

	updatedAt time.Duration // time of the last update of the following
	attained  float64       // work that a running job has received, in seconds of standard work
	rate      float64       // growth of attained per second
	doneWork  float64       // total work done, in seconds of standard work
	busy      float64       // core seconds used
	nextDone  time.Duration // when the next job is done, as scheduled; zero: none

	running    jobHeap // up to slots attempts, and any number of handshakes
	usedSlots  int     // in use
	waiting    jobQueue
	unread     []*job // arrived while the server was silent
	conns      []*conn
	keys       keyCache
	warmupLoad warmupLoad
}

// job is work of a process: an attempt or the handshake of a new connection.
type job struct {
	process   *serverProcess
	conn      *conn
	attempt   *attempt
	handshake bool
	work      float64 // seconds on a standard core
	target    float64 // value of attained at which it is done
	waiting   bool
}

// efficiency is the fraction of its speed that a process keeps with its running jobs. It falls once
// there are more than thrashAt jobs per core.
func (p *serverProcess) efficiency() float64 {
	m := &p.server.machine
	over := float64(len(p.running.jobs))/float64(m.cores) - m.thrashAt
	if over <= 0 {
		return 1
	}
	return max(1-m.thrash*over, minEfficiency)
}

// warmupLevel is the fraction of its capacity that a process has reached since it started. It grows with the
// work done, and at least linearly over the rules' slow start duration.
func (p *serverProcess) warmupLevel() float64 {
	if !p.warming {
		return 1
	}
	m := &p.server.machine
	progress := 1.0
	if m.warmupTime > 0 {
		progress = p.busy / (m.warmupTime.Seconds() * float64(m.cores))
	}
	if slowStart := p.w.scenario.Rules.SlowStartTime; slowStart > 0 {
		progress = max(progress, float64(p.w.now-p.started)/float64(slowStart))
	}
	return m.initialCapacity + (1-m.initialCapacity)*min(progress, 1)
}

// capacity is the work that the process can do per second now, at full efficiency.
func (p *serverProcess) capacity() float64 {
	m := &p.server.machine
	connUse := 0.0
	if m.conns > 0 {
		connUse = min(float64(len(p.conns))/float64(m.conns), 1)
	}
	return float64(m.cores) * m.speed * p.warmupLevel() * (1 - m.connOverhead*connUse) / p.w.slowdown
}

// advance accounts for the work done up to now. It must be called before any change of the rate.
func (p *serverProcess) advance() {
	elapsed := (p.w.now - p.updatedAt).Seconds()
	p.updatedAt = p.w.now
	if n := len(p.running.jobs); n > 0 && elapsed > 0 {
		p.attained += p.rate * elapsed
		p.doneWork += p.rate * elapsed * float64(n)
		if p.rate > 0 {
			p.busy += min(float64(n), float64(p.server.machine.cores)) * elapsed
		}
	}
}

// replan recomputes the rate and schedules the next completion. It must be called after any change of
// the rate.
func (p *serverProcess) replan() {
	n := len(p.running.jobs)
	p.rate = 0
	if n == 0 || p.server.silent || p.pausing {
		p.nextDone = 0
		return
	}
	m := &p.server.machine
	p.rate = p.capacity() * p.efficiency() / float64(max(n, m.cores))
	left := max(p.running.jobs[0].target-p.attained, 0)
	// One nanosecond more, so that rounding never schedules the end before the work is done.
	if due := p.w.now + time.Duration(left/p.rate*1e9) + 1; due != p.nextDone {
		p.nextDone = due
		p.w.schedule(due, rankServer, (*workDone)(p))
	}
}

// workDone is the completion of the running job with the least work left.
type workDone serverProcess

func (d *workDone) fire() {
	p := (*serverProcess)(d)
	if p.state == processDown || p.w.now != p.nextDone { // rescheduled since
		return
	}
	p.nextDone = 0
	p.advance()
	for len(p.running.jobs) > 0 && p.running.jobs[0].target <= p.attained+1e-12 {
		p.finish(p.running.pop())
	}
	p.replan()
}

// warmupUpdate updates the capacity of a process that is warming up.
type warmupUpdate serverProcess

func (g *warmupUpdate) fire() {
	p := (*serverProcess)(g)
	if p.state == processDown || !p.warming {
		return
	}
	p.advance()
	if p.warmupLevel() >= 1 {
		p.warming = false
	} else {
		p.w.scheduleAfter(warmupInterval, rankServer, g)
	}
	p.replan()
}

// serverPauseStarts and serverPauseEnds bound a process's own pauses, in which no job progresses.
type (
	serverPauseStarts serverProcess
	serverPauseEnds   serverProcess
)

func (b *serverPauseStarts) fire() {
	p := (*serverProcess)(b)
	if p.state == processDown {
		return
	}
	p.advance()
	p.pausing = true
	p.replan()
	duration := time.Duration(p.server.rng.Float64() * float64(p.server.machine.pause))
	p.w.scheduleAfter(duration, rankServer, (*serverPauseEnds)(p))
}

func (e *serverPauseEnds) fire() {
	p := (*serverProcess)(e)
	if p.state == processDown {
		return
	}
	p.advance()
	p.pausing = false
	p.replan()
	p.schedulePause()
}

// schedulePause schedules the next pause, if the machine has any.
func (p *serverProcess) schedulePause() {
	if m := &p.server.machine; m.pauseEvery > 0 && m.pause > 0 {
		p.w.scheduleAfter(p.server.rng.wait(m.pauseEvery), rankServer, (*serverPauseStarts)(p))
	}
}

// arrive handles an attempt whose last byte has arrived.
func (p *serverProcess) arrive(s *attempt) {
	j := &job{process: p, conn: s.conn, attempt: s, work: s.work}
	s.job = j
	if p.server.silent {
		p.unread = append(p.unread, j)
		return
	}
	p.read(j)
}

// read reads an attempt from its connection. The first one on a connection waits for the handshake.
func (p *serverProcess) read(j *job) {
	p.countLoad(j)
	if p.state == processDown { // crashed by overload
		return
	}
	if !j.conn.handshakeDone {
		j.conn.handshakeDone = true
		if work := j.conn.handshakeWork; work > 0 {
			p.advance()
			p.startJob(&job{process: p, conn: j.conn, attempt: j.attempt, handshake: true, work: work})
			p.replan()
			return
		}
	}
	p.admit(j)
}

// admit starts, queues or rejects an attempt.
func (p *serverProcess) admit(j *job) {
	m := &p.server.machine
	s := j.attempt
	switch {
	case j.conn.ended:
		s.done(0)
	case p.state == processDraining || p.server.refusing:
		p.reject(s, replyUnprocessed)
	case p.server.failing > 0 && hashedDraw(p.w.seed, s.drawSeed, drawFailing) < p.server.failing:
		p.reject(s, replyError)
	case p.usedSlots < m.slots:
		p.advance()
		p.beginAttempt(j)
		p.replan()
	case p.waiting.len() < m.queue:
		j.waiting = true
		p.waiting.push(j)
	default:
		p.reject(s, replyUnprocessed)
	}
}

// reject answers an attempt without running it.
func (p *serverProcess) reject(s *attempt, kind replyKind) {
	s.done(0)
	s.conn.answer(s, kind)
}

// beginAttempt runs an attempt. It is less work if its key is cached.
func (p *serverProcess) beginAttempt(j *job) {
	m := &p.server.machine
	if key := j.attempt.try.request.key; key != 0 && p.keys.touch(key, p.w.now) {
		j.work *= 1 - m.cacheSaving
	}
	p.usedSlots++
	j.attempt.ran = true
	p.startJob(j)
}

// startJob adds a job to the running ones.
func (p *serverProcess) startJob(j *job) {
	j.target = p.attained + j.work
	p.running.push(j)
}

// finish completes a job. After a handshake the process admits the attempt that waits for it; after an
// attempt it sends the answer and starts waiting attempts.
func (p *serverProcess) finish(j *job) {
	if j.handshake {
		p.admit(j.attempt.job)
		return
	}
	p.usedSlots--
	s := j.attempt
	s.done(j.work)
	kind := replyServed
	if hashedDraw(p.w.seed, s.drawSeed, drawError) < p.server.machine.errorRate {
		kind = replyError
	} else if hashedDraw(p.w.seed, s.drawSeed, drawUnreadable) < p.server.unreadable {
		kind = replyUnreadable
	}
	if hashedDraw(p.w.seed, s.drawSeed, drawWireFault) < p.server.faultShare {
		s.fault = p.server.fault
	}
	s.conn.answer(s, kind)
	p.startWaiting()
}

// startWaiting starts waiting attempts in the free slots.
func (p *serverProcess) startWaiting() {
	m := &p.server.machine
	for p.usedSlots < m.slots {
		j := p.waiting.pop()
		if j == nil {
			return
		}
		if m.dropsExpired && p.w.now >= j.attempt.deadline {
			p.reject(j.attempt, replyUnprocessed)
			continue
		}
		p.beginAttempt(j)
	}
}

// connClosed handles the agent's close of a connection. A waiting attempt is dropped if the machine's
// kind does so; a running one continues.
func (p *serverProcess) connClosed(c *conn) {
	p.advance()
	p.remove(c)
	if s := c.attempt; s != nil && s.job != nil && s.job.waiting && p.server.machine.dropsWaiting {
		p.waiting.drop(s.job)
		s.done(0)
	}
	p.replan()
}

// remove removes a connection, if the process has it.
func (p *serverProcess) remove(c *conn) {
	last := len(p.conns) - 1
	if c.processIndex < 0 {
		return
	}
	p.conns[c.processIndex] = p.conns[last]
	p.conns[c.processIndex].processIndex = c.processIndex
	p.conns[last] = nil
	p.conns = p.conns[:last]
	c.processIndex = -1
}

// accept adds a new connection and reports whether there was room for it.
func (p *serverProcess) accept(c *conn) bool {
	if p.state == processDown || p.full() {
		return false
	}
	p.advance()
	c.processIndex = len(p.conns)
	p.conns = append(p.conns, c)
	p.replan()
	return true
}

// full reports whether the process accepts no further connection.
func (p *serverProcess) full() bool {
	return float64(len(p.conns)) >= max(float64(p.server.machine.conns)*p.server.connShare, 1)
}

// readPending reads what arrived while the process was silent. It drops attempts on connections that
// have ended meanwhile, as a process finds out when it reads.
func (p *serverProcess) readPending() {
	unread := p.unread
	p.unread = nil
	for _, j := range unread {
		if j.conn.ended || p.state == processDown {
			j.attempt.done(0)
		} else {
			p.read(j)
		}
	}
}

// change runs f, which may change the rate.
func (p *serverProcess) change(f func()) {
	p.advance()
	f()
	p.replan()
}

// terminate ends the process: its connections are reset and its work is lost.
func (p *serverProcess) terminate() {
	if p.state == processDown {
		return
	}
	p.advance()
	p.state = processDown
	lost := p.unread
	for j := p.waiting.pop(); j != nil; j = p.waiting.pop() {
		lost = append(lost, j)
	}
	for _, j := range p.running.jobs {
		if j.handshake {
			j.attempt.done(0)
		} else {
			j.attempt.done(j.work - max(j.target-p.attained, 0))
		}
	}
	for _, j := range lost {
		j.attempt.done(0)
	}
	for len(p.conns) > 0 {
		c := p.conns[len(p.conns)-1]
		p.remove(c)
		c.reset()
	}
	p.running, p.unread, p.usedSlots, p.nextDone, p.rate = jobHeap{}, nil, 0, 0, 0
}

// warmupLoad is the work recently sent to a process that is warming up.
type warmupLoad struct {
	sent  []sentWork // by time; entries before first have expired
	first int
	sum   float64
}

type sentWork struct {
	at   time.Duration
	work float64
}

// countLoad counts the work that a process gets while it is warming up, including what it rejects. If
// that exceeds the rules' multiple of its present capacity over their window, the process crashes and
// stays down.
func (p *serverProcess) countLoad(j *job) {
	if !p.warming {
		return
	}
	rules := &p.w.scenario.Rules
	q := &p.warmupLoad
	q.sent = append(q.sent, sentWork{p.w.now, j.work})
	q.sum += j.work
	for q.sent[q.first].at <= p.w.now-rules.OverloadWindow {
		q.sum -= q.sent[q.first].work
		q.first++
	}
	if q.sum > rules.OverloadLimit(p.capacity(), p.w.scenario.MeanWork(p.w.meanWork)).Seconds() {
		p.w.record.server(record.ServerOverloaded, p)
		j.attempt.done(0)
		p.server.stop()
	}
}
