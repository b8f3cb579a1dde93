package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
)

// recorder writes what passes on the wire to the run's sink. It reuses one event; the sink copies it.
type recorder struct {
	w         *world
	ev        record.Event
	startedAt map[int]time.Duration // by agent number: start of a process that is not ready yet
}

// add writes an event with the present time.
func (r *recorder) add(ev record.Event) {
	ev.At = max(r.w.now, 0) // real agents get ready before time zero
	r.ev = ev
	r.w.sink.Observe(&r.ev)
}

// try records an event of a client's try.
func (r *recorder) try(kind record.Kind, t *try) {
	q := t.request
	r.add(record.Event{
		Kind: kind, RequestID: t.id, Chain: q.chain, Agent: int32(t.agent.number),
		Class: uint8(q.class), Tenant: q.tenant, Key: q.key, Work: seconds(q.work), Left: t.deadline - r.w.now,
		Try: uint8(t.number), ClosedByShutdown: kind == record.RequestUnreached && t.closedUnanswered,
	})
}

func (r *recorder) answered(t *try) {
	r.add(record.Event{
		Kind: record.Answered, RequestID: t.id, Agent: int32(t.agent.number), Answer: t.answer,
		After: t.retryAfter, Attempt: int8(t.attempt),
	})
}

// event returns an event with the fields that all events of an attempt have in common.
func (s *attempt) event(kind record.Kind) record.Event {
	ev := record.Event{
		Kind: kind, RequestID: s.try.id, Agent: int32(s.proc.agent.number), Attempt: int8(s.index),
		Server: -1, NewConn: !s.checkout.Reused,
	}
	if s.conn != nil {
		ev.Server = int32(s.conn.link.server.number)
		ev.CrossZone = s.conn.link.crossesZone
	}
	return ev
}

func (r *recorder) sent(s *attempt) {
	ev := s.event(record.AttemptSent)
	ev.Left = s.deadline - r.w.now
	r.add(ev)
}

func (r *recorder) reached(s *attempt, p *serverProcess) {
	ev := s.event(record.AttemptReached)
	ev.Work, ev.Capacity, ev.SlowStart = seconds(s.work), p.capacity(), p.warming
	r.add(ev)
}

func (r *recorder) worked(s *attempt, spent float64) {
	ev := s.event(record.WorkDone)
	ev.Work, ev.Ran = seconds(spent), s.ran
	r.add(ev)
}

func (r *recorder) ended(s *attempt, outcome record.Outcome) {
	ev := s.event(record.AttemptEnded)
	ev.Outcome = outcome
	r.add(ev)
}

func (r *recorder) conn(kind record.Kind, c *conn) {
	r.add(record.Event{Kind: kind, Agent: int32(c.link.agent.number), Server: int32(c.link.server.number)})
}

func (r *recorder) server(kind record.Kind, p *serverProcess) {
	r.add(record.Event{
		Kind: kind, Server: int32(p.server.number), SlowStart: p.warming, Capacity: p.capacity(),
		Started: p.started,
	})
}

// listed records an entry of the endpoint list.
func (r *recorder) listed(kind record.Kind, a *agent, l listEntry) {
	ev := record.Event{Kind: kind, Server: int32(l.server.number), Started: l.started}
	if a != nil {
		ev.Agent = int32(a.number)
	}
	switch l.state {
	case balancer.Draining:
		ev.State = record.Draining
	case balancer.Gone:
		ev.State = record.Gone
	}
	r.add(ev)
}

func (r *recorder) agent(kind record.Kind, a *agent) {
	ev := record.Event{Kind: kind, Agent: int32(a.number)}
	switch startedAt, ok := r.startedAt[a.number]; kind {
	case record.AgentStarts:
		if r.startedAt == nil {
			r.startedAt = map[int]time.Duration{}
		}
		r.startedAt[a.number] = r.w.now
		if r.w.now <= 0 { // the first start of the run
			return
		}
	case record.AgentUp:
		if ok {
			ev.After = r.w.now - startedAt
			delete(r.startedAt, a.number)
		}
	}
	r.add(ev)
}

func (r *recorder) fault(kind record.Kind, n int) {
	r.add(record.Event{Kind: kind, Fault: int16(n)})
}

func (r *recorder) window(kind record.Kind, t *injection, s *server) {
	r.add(record.Event{Kind: kind, Fault: int16(t.index), Server: int32(s.number)})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sampling takes the sample of the second that ends.
type sampling struct {
	w         *world
	busy      []float64        // by server: its process's core seconds at the last sample
	processes []*serverProcess // by server: the process of the last sample
	sample    record.Sample
}

func (s *sampling) fire() {
	w := s.w
	s.sample.At, s.sample.Servers, s.sample.Held = w.now, s.sample.Servers[:0], s.sample.Held[:0]
	for len(s.busy) < len(w.servers) {
		s.busy, s.processes = append(s.busy, 0), append(s.processes, nil)
	}
	for i, v := range w.servers {
		p := v.process
		if p == nil || p.state == processDown {
			continue
		}
		p.advance()
		if s.processes[i] != p {
			s.processes[i], s.busy[i] = p, 0
		}
		s.sample.Servers = append(s.sample.Servers, record.Load{
			Server: i,
			Busy:   (p.busy - s.busy[i]) / float64(v.machine.cores), Capacity: p.capacity(),
			Running: p.usedSlots, Waiting: p.waiting.len(), Conns: len(p.conns),
		})
		s.busy[i] = p.busy
	}
	for _, a := range w.agents {
		held := 0
		if a.proc != nil {
			held = len(a.proc.requests)
		}
		s.sample.Held = append(s.sample.Held, held)
	}
	w.sink.Sample(&s.sample)
	w.scheduleAfter(time.Second, rankSample, s)
}
