package world

import (
	"net/netip"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/routing"
)

// This file is what stands in place of an agent's code where the agents are real: it tells the wire what the
// world does, and the world what came from the wire.

// beginRemote starts an agent's real program. Its life begins when it says that it is ready.
func (a *agent) beginRemote() {
	w := a.w
	a.starts++
	w.record.agent(record.AgentStarts, a)
	age := w.set.Discovery.KnownAge.Draw(a.chance.Rand)
	list, version := w.discovery.asOf(max(w.now-age, 0))
	l := &life{
		w: w, agent: a, remote: true, descriptors: routing.NewDescriptors(w.set.Agents.Sockets),
		operations: map[uint32]*operation{}, calls: map[int]*call{},
	}
	a.coming = l
	l.writes(list, true)
	w.wire.Start(a.number, a.starts, w.discovery.config(list, version, true))
}

// AgentReady tells that an agent's program is ready, in the run of a number.
func (v *Live) AgentReady(agent, run int) {
	v.post(called(func() {
		a := v.w.agents[agent]
		v.ready[agent] = true
		if run == a.starts && a.coming != nil {
			a.life, a.coming = a.coming, nil
			v.w.record.agent(record.AgentUp, a)
		}
	}))
}

// AgentEnded tells that an agent's program has ended, in the run of a number. Crashed: nobody had told it to.
func (v *Live) AgentEnded(agent, run int, crashed bool) {
	v.post(called(func() {
		a := v.w.agents[agent]
		switch {
		case run != a.starts:
		case a.coming != nil: // it never got ready
			a.coming = nil
			v.w.after(restartsAfter, rankTrouble, (*agentBack)(a))
		case a.life != nil && crashed:
			a.kill()
			v.w.after(restartsAfter, rankTrouble, (*agentBack)(a))
		case a.life != nil:
			(*lifeOver)(a.life).happen()
		}
	}))
}

// restartsAfter is when a real program that ended by itself is started again.
const restartsAfter = time.Second

// Fail ends the day: it can't be played.
func (v *Live) Fail(err error) { v.post(called(func() { v.w.failed = err })) }

// endRemote ends the life of an agent that is real: its sockets tell the rest.
func (l *life) endRemote() {
	for _, f := range l.agent.client.idle {
		l.w.wire.HangUp(f)
	}
	l.w.wire.Kill(l.agent.number)
}

// postRemote hands an agent that is real what the world has for it.
func (l *life) postRemote(m message) {
	w := l.w
	switch m.kind {
	case callBegun, callSays, callEnded:
		c := l.calls[m.number]
		if c == nil {
			return
		}
		switch m.kind {
		case callBegun:
			c.wire.Begin()
		case callSays:
			c.wire.Say(m.config)
		case callEnded:
			c.wire.End(m.err == nil)
			delete(l.calls, m.number)
		}
	case datagramCame:
		w.wire.Datagram(m.from, l.agent.number, m.data)
	}
}

// alive is an agent's program, as far as it runs: also before it is ready.
func (a *agent) alive() *life {
	if a.life != nil {
		return a.life
	}
	return a.coming
}

// Call is an agent's call to discovery; the wire tells of its end by Gone.
type Call = call

// Called tells that an agent calls discovery: for a watch from a version on, or for the whole list.
func (v *Live) Called(agent int, watch bool, from int64, wire ListConn) *Call {
	c := &call{d: v.w.discovery, watch: watch, told: from, wire: wire}
	v.post(called(func() {
		w := v.w
		l := w.agents[agent].alive()
		if l == nil {
			wire.End(false)
			return
		}
		l.taken++
		c.life, c.number = l, int(l.taken)
		l.calls[c.number] = c
		c.lag = time.Duration(l.agent.chance.Float64() * float64(c.d.spread))
		w.enter(l.agent.callArrives(c.d), rankArrival, (*callReaches)(c))
	}))
	return c
}

// Uncalled tells that an agent has ended its call.
func (v *Live) Uncalled(c *Call) {
	v.post(called(func() {
		if c.life != nil && !c.over {
			c.forget()
			delete(c.life.calls, c.number)
		}
	}))
}

// Told tells of a datagram that an agent has sent to another, or to all others.
func (v *Live) Told(agent, peer int, data []byte) {
	v.post(called(func() {
		if l := v.w.agents[agent].alive(); l != nil {
			l.tell(peer, data)
		}
	}))
}

// Conn is an agent's connection to a booking server, as the world has it.
type Conn = conn

// Connected tells that an agent has connected to a booking server's address.
func (v *Live) Connected(agent int, addr netip.AddrPort, wire StepConn) *Conn {
	c := &conn{place: -1, wire: wire}
	v.post(called(func() {
		w := v.w
		l, s := w.agents[agent].alive(), w.at[addr]
		if l == nil || s == nil {
			c.closed = true
			wire.Reset()
			return
		}
		c.life, c.link, c.usedAt = l, l.agent.link(s), w.now
		(*connReaches)(c).happen()
	}))
	return c
}

// Sent tells that a route step has come on an agent's connection: for a client's try, with the time that the
// agent waits. Known is false for what can't be a route step.
func (v *Live) Sent(c *Conn, op uint32, left time.Duration) {
	v.post(called(func() {
		t := v.w.tries[op]
		if c.closed || c.link == nil {
			return
		}
		if t == nil {
			c.closed = true
			c.wire.Reset()
			return
		}
		s := &step{w: v.w, life: c.life, try: t, attempt: t.sends, conn: c, begun: v.w.now, until: v.w.now + left}
		s.lease.Reused = c.greetedOnce
		c.greetedOnce = true
		t.sends++
		s.number = mix(t.request.lots + uint64(t.nth)<<32 + uint64(s.attempt))
		s.work = t.request.work * lognormal(v.w.noise[t.request.class], lotNormalOf(v.w.seed, s.number))
		v.w.open++
		c.step = s
		c.write()
	}))
}

// Disconnected tells that an agent has ended its connection.
func (v *Live) Disconnected(c *Conn) {
	v.post(called(func() {
		if c.closed || c.link == nil {
			return
		}
		c.closed = true
		if s := c.step; s != nil && !s.ended {
			s.over(record.GivenUp)
		}
		v.w.enter(c.link.arrival(&c.toProcess, 1), rankArrival, (*connClosing)(c))
	}))
}

// breakWire carries out that the machine has ended a connection.
func (c *conn) breakWire() {
	c.closed = true
	if s := c.step; s != nil && !s.ended {
		s.over(record.Broken)
		c.wire.Reset()
		return
	}
	c.wire.Close()
}

// answerWire sends a booking server's answer on its way to an agent that is real.
func (s *step) answerWire() {
	a := Answer{Op: s.try.op, Attempt: s.attempt, Kind: AnswerKind(s.reply), Fault: s.fault}
	switch s.fault.Effect() {
	case scenario.Unanswered: // until the agent gives it up
	case scenario.Breaks:
		s.over(record.Broken)
	case scenario.Spoils:
		s.over(record.SpoiltAnswer)
	default:
		s.over(s.wireOutcome())
	}
	s.conn.wire.Answer(a)
}

// wireOutcome is what the agent sees of an answer.
func (s *step) wireOutcome() record.Outcome {
	switch s.reply {
	case replyServed:
		return record.OK
	case replyUnprocessed:
		return record.TurnedAway
	case replySpoilt:
		return record.SpoiltAnswer
	}
	return record.Error
}

// askRemote sends a try to an agent that is real.
func (t *try) askRemote() {
	w := t.agent.w
	q := t.request
	t.taken = true
	t.life.operations[t.op] = &operation{try: t}
	w.tries[t.op] = t
	w.enter(t.leaves+remembers, rankClient, (*tryForgotten)(t))
	w.record.try(record.Asked, t)
	query := &Query{
		Agent: t.agent.number, Op: t.op, Class: q.told(),
		Update: w.set.Classes[q.class].Effect != scenario.Safe,
		Repeat: t.nth > 0 && w.set.Clients.MarksRetry, TimeLeft: (t.leaves - t.asked).Truncate(time.Millisecond),
		Due: w.now, try: t,
	}
	if q.key > 0 {
		query.Key = w.keyNames[q.key-1]
	}
	if q.tenant != record.NoTenant {
		query.Tenant = w.set.Tenants[q.tenant].Name
	}
	t.conn.trying = t
	w.wire.Ask(t.conn, query)
}

type tryForgotten try

func (f *tryForgotten) happen() { delete(f.agent.w.tries, f.op) }

// current is the try that a connection of a client's is used for, if its client still waits.
func (f *frontConn) current() *try {
	if t := f.trying; t != nil && !t.over {
		return t
	}
	return nil
}

// Answered tells that an agent's final answer has come.
func (v *Live) Answered(f *FrontConn, a Final) {
	v.post(called(func() {
		t := f.current()
		if t == nil {
			return
		}
		f.trying = nil
		t.told, t.answer, t.advice, t.attempt = true, a.Answer, a.After, a.Attempt
		delete(t.life.operations, t.op)
		f.answered = true
		if a.Closes {
			f.close()
		}
		(*tryAnswered)(t).happen()
	}))
}

// Lost tells that an agent has ended a connection. Unread: it had not read what was on it, or may not have;
// what it has sent on it has read.
func (v *Live) Lost(f *FrontConn, unread bool) {
	v.post(called(func() {
		f.close()
		f.client.unrest(f)
		t := f.current()
		if t == nil {
			return
		}
		f.trying = nil
		delete(t.life.operations, t.op)
		if unread && t.sends == 0 {
			t.untakenRemote()
			return
		}
		(*tryLost)(t).happen()
	}))
}

// untakenRemote ends a try that the agent has not read: its client asks again at once.
func (t *try) untakenRemote() {
	w := t.agent.w
	t.end()
	w.record.take(record.Event{
		Kind: record.Left, Op: t.op, Agent: int32(t.agent.number),
		Shut: !t.conn.answered, Unread: true,
	})
	t.again(true)
}

// unrest takes a connection out of those that rest.
func (c *client) unrest(f *frontConn) {
	for i, g := range c.idle {
		if g == f {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

// gatesLook looks who may connect where: what a process's connections, its end or a cut change shows soon.
type gatesLook world

func (g *gatesLook) happen() {
	w := (*world)(g)
	for _, a := range w.agents {
		for _, s := range w.servers {
			if w.at[s.addr] != s {
				continue
			}
			gate := w.gate(a, s)
			if l := a.link(s); l.gate != gate {
				l.gate = gate
				w.wire.Gate(a.number, s.addr, gate)
			}
		}
	}
	// From now on the clock, not from when this look was due: the day's time zero is set once all agents are
	// ready, and to make up for the looks of the time that is skipped then kept the kit late for a second with
	// 200 agents.
	w.enter(max(w.now+gateStep, w.live.clock()), rankTrouble, g)
}

// gate is what becomes of an agent's wish to connect to a booking server now.
func (w *world) gate(a *agent, s *server) Gate {
	switch p := s.process; {
	case a.link(s).cutUntil() > 0 || s.mute || a.link(s).unheard():
		return Mute
	case p == nil || p.state == processDown || p.full():
		return Shut
	}
	return Open
}
