package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
)

// recorder puts what passes on the wire into the day's sink. The event is used again: the sink copies it.
type recorder struct {
	w     *world
	ev    record.Event
	began map[int]time.Duration // processes of agents that are not ready, by number
}

func (r *recorder) take(ev record.Event) {
	ev.At = max(r.w.now, 0) // real agents get ready before the day begins
	r.ev = ev
	r.w.sink.Take(&r.ev)
}

// try tells of a client's try.
func (r *recorder) try(kind record.Kind, t *try) {
	q := t.request
	r.take(record.Event{
		Kind: kind, Op: t.op, Chain: q.chain, Agent: int32(t.agent.number),
		Class: uint8(q.class), Tenant: q.tenant, Key: q.key, Work: seconds(q.work), Left: t.leaves - r.w.now,
		Try: uint8(t.nth), Shut: kind == record.Unreached && t.shut,
	})
}

func (r *recorder) answered(t *try) {
	r.take(record.Event{
		Kind: record.Answered, Op: t.op, Agent: int32(t.agent.number), Answer: t.answer,
		After: t.advice, Attempt: int8(t.attempt),
	})
}

// event is what the events of a route step have in common.
func (s *step) event(kind record.Kind) record.Event {
	ev := record.Event{
		Kind: kind, Op: s.try.op, Agent: int32(s.life.agent.number), Attempt: int8(s.attempt),
		Server: -1, NewConn: !s.lease.Reused,
	}
	if s.conn != nil {
		ev.Server = int32(s.conn.link.server.number)
		ev.Crossed = s.conn.link.crosses
	}
	return ev
}

func (r *recorder) sent(s *step) {
	ev := s.event(record.Sent)
	ev.Left = s.until - r.w.now
	r.take(ev)
}

func (r *recorder) reached(s *step, p *process) {
	ev := s.event(record.Reached)
	ev.Work, ev.Capacity, ev.Cold = seconds(s.work), p.capacity(), p.cold
	r.take(ev)
}

func (r *recorder) worked(s *step, spent float64) {
	ev := s.event(record.Worked)
	ev.Work, ev.Ran = seconds(spent), s.ran
	r.take(ev)
}

func (r *recorder) ended(s *step, outcome record.Outcome) {
	ev := s.event(record.Ended)
	ev.Outcome = outcome
	r.take(ev)
}

func (r *recorder) conn(kind record.Kind, c *conn) {
	r.take(record.Event{Kind: kind, Agent: int32(c.link.agent.number), Server: int32(c.link.server.number)})
}

func (r *recorder) server(kind record.Kind, p *process) {
	r.take(record.Event{
		Kind: kind, Server: int32(p.server.number), Cold: p.cold, Capacity: p.capacity(),
		Started: p.started,
	})
}

// listed tells of a server's standing on the list.
func (r *recorder) listed(kind record.Kind, a *agent, l listed) {
	ev := record.Event{Kind: kind, Server: int32(l.server.number), Started: l.started}
	if a != nil {
		ev.Agent = int32(a.number)
	}
	switch l.state {
	case balancer.Draining:
		ev.State = record.Leaving
	case balancer.Gone:
		ev.State = record.Gone
	}
	r.take(ev)
}

func (r *recorder) agent(kind record.Kind, a *agent) {
	ev := record.Event{Kind: kind, Agent: int32(a.number)}
	switch began, starts := r.began[a.number]; kind {
	case record.AgentStarts:
		if r.began == nil {
			r.began = map[int]time.Duration{}
		}
		r.began[a.number] = r.w.now
		if r.w.now <= 0 { // the day's first start
			return
		}
	case record.AgentUp:
		if starts {
			ev.After = r.w.now - began
			delete(r.began, a.number)
		}
	}
	r.take(ev)
}

func (r *recorder) trouble(kind record.Kind, n int) {
	r.take(record.Event{Kind: kind, Trouble: int16(n)})
}

func (r *recorder) window(kind record.Kind, t *trouble, s *server) {
	r.take(record.Event{Kind: kind, Trouble: int16(t.number), Server: int32(s.number)})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sampling counts the second that ends.
type sampling struct {
	w      *world
	busy   []float64 // of each server's present process, at the last sample
	of     []*process
	sample record.Sample
}

func (s *sampling) happen() {
	w := s.w
	s.sample.At, s.sample.Servers, s.sample.Held = w.now, s.sample.Servers[:0], s.sample.Held[:0]
	for len(s.busy) < len(w.servers) {
		s.busy, s.of = append(s.busy, 0), append(s.of, nil)
	}
	for i, v := range w.servers {
		p := v.process
		if p == nil || p.state == processDown {
			continue
		}
		p.reckon()
		if s.of[i] != p {
			s.of[i], s.busy[i] = p, 0
		}
		s.sample.Servers = append(s.sample.Servers, record.Load{
			Server: i,
			Busy:   (p.busy - s.busy[i]) / float64(v.machine.cores), Capacity: p.capacity(),
			Running: p.slots, Waiting: p.waiting.len(), Conns: len(p.conns),
		})
		s.busy[i] = p.busy
	}
	for _, a := range w.agents {
		held := 0
		if a.life != nil {
			held = len(a.life.operations)
		}
		s.sample.Held = append(s.sample.Held, held)
	}
	w.sink.Sample(&s.sample)
	w.after(time.Second, rankSample, s)
}
