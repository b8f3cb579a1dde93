package world

import (
	"net/netip"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// With real agents, this file replaces the simulated agents: it passes the simulation's actions to the wire
// and the wire's reports to the simulation.

// startExternal starts an agent's real program. Its process counts once it reports ready.
func (a *agent) startExternal() {
	w := a.w
	a.starts++
	w.record.agent(record.AgentStarts, a)
	age := w.scenario.Discovery.KnownAge.Draw(a.rng.Rand)
	list, version := w.discovery.asOf(max(w.now-age, 0))
	l := &agentProcess{
		w: w, agent: a, external: true, descriptors: routing.NewDescriptors(w.scenario.Agents.Sockets),
		requests: map[uint32]*agentRequest{}, calls: map[int]*call{},
	}
	a.starting = l
	l.recordList(list, true)
	w.wire.Start(a.number, a.starts, w.discovery.endpointList(list, version, true))
}

// AgentReady reports that the numbered run of an agent's program is ready.
func (v *LiveRun) AgentReady(agent, run int) {
	v.post(eventFunc(func() {
		a := v.w.agents[agent]
		v.ready[agent] = true
		if run == a.starts && a.starting != nil {
			a.proc, a.starting = a.starting, nil
			v.w.record.agent(record.AgentUp, a)
		}
	}))
}

// AgentEnded reports that the numbered run of an agent's program has ended; crashed means without a
// shutdown request.
func (v *LiveRun) AgentEnded(agent, run int, crashed bool) {
	v.post(eventFunc(func() {
		a := v.w.agents[agent]
		switch {
		case run != a.starts:
		case a.starting != nil: // ended before it was ready
			a.starting = nil
			v.w.scheduleAfter(crashRestartDelay, rankEnvironment, (*agentRestarts)(a))
		case a.proc != nil && crashed:
			a.kill()
			v.w.scheduleAfter(crashRestartDelay, rankEnvironment, (*agentRestarts)(a))
		case a.proc != nil:
			(*processExits)(a.proc).fire()
		}
	}))
}

// crashRestartDelay is the delay before a real program that crashed is started again.
const crashRestartDelay = time.Second

// Fail ends the run with an error.
func (v *LiveRun) Fail(err error) { v.post(eventFunc(func() { v.w.failed = err })) }

// killExternal kills a real agent's program. The rest shows on its sockets.
func (l *agentProcess) killExternal() {
	for _, f := range l.agent.client.idle {
		l.w.wire.CloseConn(f)
	}
	l.w.wire.Kill(l.agent.number)
}

// postExternal passes a message to a real agent.
func (l *agentProcess) postExternal(m message) {
	w := l.w
	switch m.kind {
	case callAccepted, callReceived, callEnded:
		c := l.calls[m.number]
		if c == nil {
			return
		}
		switch m.kind {
		case callAccepted:
			c.wire.Accept()
		case callReceived:
			c.wire.Send(m.list)
		case callEnded:
			c.wire.End(m.err == nil)
			delete(l.calls, m.number)
		}
	case datagramReceived:
		w.wire.Datagram(m.sender, l.agent.number, m.data)
	}
}

// current returns the agent's process, also before it is ready; nil if it has none.
func (a *agent) current() *agentProcess {
	if a.proc != nil {
		return a.proc
	}
	return a.starting
}

// Call is an agent's call to discovery. The wire reports its end by CallCanceled.
type Call = call

// CallStarted reports that an agent calls discovery: for a watch from a version on, or for the full list.
func (v *LiveRun) CallStarted(agent int, watch bool, from int64, wire CallConn) *Call {
	c := &call{discovery: v.w.discovery, watch: watch, sentVersion: from, wire: wire}
	v.post(eventFunc(func() {
		w := v.w
		l := w.agents[agent].current()
		if l == nil {
			wire.End(false)
			return
		}
		l.accepted++
		c.proc, c.number = l, int(l.accepted)
		l.calls[c.number] = c
		c.updateDelay = time.Duration(l.agent.rng.Float64() * float64(c.discovery.updateSpread))
		w.schedule(l.agent.callArrival(c.discovery), rankArrival, (*callArrives)(c))
	}))
	return c
}

// CallCanceled reports that an agent has ended its call.
func (v *LiveRun) CallCanceled(c *Call) {
	v.post(eventFunc(func() {
		if c.proc != nil && !c.ended {
			c.remove()
			delete(c.proc.calls, c.number)
		}
	}))
}

// DatagramSent reports that an agent has sent a datagram to another or to all others.
func (v *LiveRun) DatagramSent(agent, peer int, data []byte) {
	v.post(eventFunc(func() {
		if l := v.w.agents[agent].current(); l != nil {
			l.sendDatagram(peer, data)
		}
	}))
}

// Conn is an agent's connection to an upstream server.
type Conn = conn

// Connected reports that an agent has connected to an upstream server's address.
func (v *LiveRun) Connected(agent int, addr netip.AddrPort, wire AttemptConn) *Conn {
	c := &conn{processIndex: -1, wire: wire}
	v.post(eventFunc(func() {
		w := v.w
		l, s := w.agents[agent].current(), w.byAddr[addr]
		if l == nil || s == nil {
			c.closed = true
			wire.Reset()
			return
		}
		c.proc, c.link, c.usedAt = l, l.agent.link(s), w.now
		(*connArrives)(c).fire()
	}))
	return c
}

// AttemptArrived reports that an attempt of the try with the given ID has arrived on an agent's connection,
// with the time that the agent waits for it. The connection is reset if no try has that ID.
func (v *LiveRun) AttemptArrived(c *Conn, tryID uint32, left time.Duration) {
	v.post(eventFunc(func() {
		t := v.w.tries[tryID]
		if c.closed || c.link == nil {
			return
		}
		if t == nil {
			c.closed = true
			c.wire.Reset()
			return
		}
		s := &attempt{
			w: v.w, proc: c.proc, try: t, index: t.attemptsSeen, conn: c, startedAt: v.w.now,
			deadline: v.w.now + left,
		}
		s.checkout.Reused = c.used
		c.used = true
		t.attemptsSeen++
		s.drawSeed = mix(t.request.drawSeed + uint64(t.number)<<32 + uint64(s.index))
		s.work = t.request.work * lognormal(v.w.noise[t.request.class], hashedNormal(v.w.seed, s.drawSeed))
		v.w.pending++
		c.attempt = s
		c.send()
	}))
}

// Disconnected reports that an agent has closed its connection.
func (v *LiveRun) Disconnected(c *Conn) {
	v.post(eventFunc(func() {
		if c.closed || c.link == nil {
			return
		}
		c.closed = true
		if s := c.attempt; s != nil && !s.ended {
			s.finish(record.Abandoned)
		}
		v.w.schedule(c.link.arrival(&c.lastToServer, 1), rankArrival, (*connClosing)(c))
	}))
}

// breakExternal ends the connection of a real agent from the server's end.
func (c *conn) breakExternal() {
	c.closed = true
	if s := c.attempt; s != nil && !s.ended {
		s.finish(record.Broken)
		c.wire.Reset()
		return
	}
	c.wire.Close()
}

// answerExternal sends an upstream server's answer to a real agent.
func (s *attempt) answerExternal() {
	a := Answer{Op: s.try.id, Attempt: s.index, Kind: AnswerKind(s.reply), Fault: s.fault}
	switch s.fault.Effect() {
	case scenario.Unanswered: // the agent gives it up
	case scenario.BreaksConnection:
		s.finish(record.Broken)
	case scenario.Unreadable:
		s.finish(record.UnreadableAnswer)
	default:
		s.finish(s.wireOutcome())
	}
	s.conn.wire.Answer(a)
}

// wireOutcome returns the outcome that a real agent sees.
func (s *attempt) wireOutcome() record.Outcome {
	switch s.reply {
	case replyServed:
		return record.OK
	case replyUnprocessed:
		return record.Rejected
	case replyUnreadable:
		return record.UnreadableAnswer
	}
	return record.Error
}

// sendExternal sends a try to a real agent.
func (t *try) sendExternal() {
	w := t.agent.w
	q := t.request
	t.accepted = true
	t.proc.requests[t.id] = &agentRequest{try: t}
	w.tries[t.id] = t
	w.schedule(t.deadline+tryRetention, rankClient, (*tryExpires)(t))
	w.record.try(record.RequestReceived, t)
	query := &ClientRequest{
		Agent: t.agent.number, RequestID: t.id, Class: q.agentClass(),
		IsUpdate: w.scenario.Classes[q.class].Effect != scenario.Safe,
		IsRetry:  t.number > 0 && w.scenario.Clients.MarksRetry,
		TimeLeft: (t.deadline - t.sentAt).Truncate(time.Millisecond),
		SendAt:   w.now, try: t,
	}
	if q.key > 0 {
		query.Key = w.keyNames[q.key-1]
	}
	if q.tenant != record.NoTenant {
		query.Tenant = w.scenario.Tenants[q.tenant].Name
	}
	t.conn.activeTry = t
	w.wire.Send(t.conn, query)
}

// tryExpires makes upstream servers reject further attempts of a try.
type tryExpires try

func (f *tryExpires) fire() { delete(f.agent.w.tries, f.id) }

// pendingTry returns the try that uses the connection, if its client still waits.
func (f *clientConn) pendingTry() *try {
	if t := f.activeTry; t != nil && !t.ended {
		return t
	}
	return nil
}

// Answered reports that an agent's final answer has arrived.
func (v *LiveRun) Answered(f *ClientConn, a FinalAnswer) {
	v.post(eventFunc(func() {
		t := f.pendingTry()
		if t == nil {
			return
		}
		f.activeTry = nil
		t.answerSent, t.answer, t.retryAfter, t.attempt = true, a.Answer, a.RetryAfter, a.Attempt
		delete(t.proc.requests, t.id)
		f.used = true
		if a.Closes {
			f.close()
		}
		(*tryAnswered)(t).fire()
	}))
}

// ClientConnLost reports that an agent has closed a connection. Unread means that the agent may not have
// read the try; it has read it if it sent an attempt of it.
func (v *LiveRun) ClientConnLost(f *ClientConn, unread bool) {
	v.post(eventFunc(func() {
		f.close()
		f.client.removeIdle(f)
		t := f.pendingTry()
		if t == nil {
			return
		}
		f.activeTry = nil
		delete(t.proc.requests, t.id)
		if unread && t.attemptsSeen == 0 {
			t.unreadByExternal()
			return
		}
		(*clientSeesLost)(t).fire()
	}))
}

// unreadByExternal ends a try that the agent has not read; its client retries at once.
func (t *try) unreadByExternal() {
	w := t.agent.w
	t.end()
	w.record.add(record.Event{
		Kind: record.ClientLeft, RequestID: t.id, Agent: int32(t.agent.number),
		ClosedByShutdown: !t.conn.used, Unread: true,
	})
	t.retry(true)
}

// removeIdle removes a connection from the idle ones.
func (c *client) removeIdle(f *clientConn) {
	for i, g := range c.idle {
		if g == f {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

// gateUpdate sets each gate that has changed since its last update, because a process's connections,
// its end or a cut have changed.
type gateUpdate world

func (g *gateUpdate) fire() {
	w := (*world)(g)
	for _, a := range w.agents {
		for _, s := range w.servers {
			if w.byAddr[s.addr] != s {
				continue
			}
			gate := w.gate(a, s)
			if l := a.link(s); l.gate != gate {
				l.gate = gate
				w.wire.Gate(a.number, s.addr, gate)
			}
		}
	}
	// Scheduled by the clock, not by when this update was due: time zero is moved once all agents are ready, and
	// making up for the updates of the skipped time kept the kit late for a second with 200 agents.
	w.schedule(max(w.now+gateInterval, w.live.clock()), rankEnvironment, g)
}

// gate returns how an agent's connection request to an upstream server is handled now.
func (w *world) gate(a *agent, s *server) Gate {
	switch p := s.process; {
	case a.link(s).cutUntil() > 0 || s.ignoringConnects || a.link(s).connectLost():
		return Ignore
	case p == nil || p.state == processDown || p.full():
		return Refuse
	}
	return Accept
}
