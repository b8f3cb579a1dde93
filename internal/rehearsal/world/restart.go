package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/routing"
)

// lateClients is how long clients still open connections to an agent that was told to end.
const lateClients = 300 * time.Millisecond

// draining is a life's planned end.
type draining struct {
	course  routing.ShutdownPlan
	told    bool
	arrives time.Duration // until when clients open connections to it
	over    bool          // it ended by itself
	closing bool          // no connection is taken, and those there are close as they fall idle
}

// drain tells the program to end: it does as the daemon does, and is gone when that is over.
func (l *life) drain() {
	if l.end.told {
		return
	}
	if l.remote {
		l.end = draining{told: true, arrives: l.w.now + lateClients}
		l.w.wire.Drain(l.agent.number)
		return
	}
	l.end = draining{
		course: routing.NewShutdownPlan(l.clock(), l.w.deployment(l.agent).Classes), told: true,
		arrives: l.w.now + lateClients,
	}
	l.keep()
	(*drainPhase)(l).happen()
}

type (
	drainPhase life // the next phase of a drain begins
	lifeOver   life // a drain is over
)

func (d *drainPhase) happen() {
	l := (*life)(d)
	if l.dead || l.still(d) {
		return
	}
	phase, until := l.end.course.PhaseAt(l.clock())
	switch phase {
	case routing.ShutdownClosing:
		l.end.closing = true
		l.closeIdle()
		l.endIfEmpty()
	case routing.ShutdownFailing:
		l.post(message{kind: abandon})
	case routing.ShutdownOver:
		(*lifeOver)(l).happen()
		return
	}
	l.w.enter(until-clockStart, rankTimer, d)
}

// closeIdle closes the clients' connections that stand idle.
func (l *life) closeIdle() {
	var own, others []*frontConn
	for _, f := range l.agent.client.idle {
		if f.life == l {
			own = append(own, f)
		} else {
			others = append(others, f)
		}
	}
	l.agent.client.idle = others
	for _, f := range own {
		f.close()
	}
}

// endIfEmpty ends a draining life that holds no client connection any more, once its last answer is there.
func (l *life) endIfEmpty() {
	if l.end.closing && l.clients.held == 0 && len(l.clients.waiting) == 0 {
		l.w.after(l.w.network.client, rankTimer, (*lifeOver)(l))
	}
}

func (o *lifeOver) happen() {
	l := (*life)(o)
	if l.dead || l.still(o) {
		return
	}
	w, a := l.w, l.agent
	l.end.over = true
	for _, t := range l.unanswered() { // this end was the agent's own: what it has not answered is lost
		w.record.take(record.Event{Kind: record.Lost, Op: t.op, Agent: int32(a.number)})
		t.end()
		t.again(false)
	}
	if l.replaced {
		l.finish()
		return
	}
	a.kill()
	a.rise()
}

// takes tells whether a client can reach the agent: by a connection that it has, or a new one.
func (a *agent) takes() bool {
	l := a.life
	switch {
	case l == nil:
		return false
	case len(a.client.idle) > 0:
		return true
	}
	return (!l.end.told || a.w.now < l.end.arrives) && (!l.away || a.w.now < l.awayFrom+lateClients)
}

// rise starts the agent's program again, unless it runs or a trouble keeps it down.
func (a *agent) rise() {
	if a.life != nil || a.kept > 0 {
		return
	}
	wait := a.w.set.Agents.BackIn
	if a.w.wire != nil { // a real one takes its own time
		wait = 0
	} else {
		a.w.record.agent(record.AgentStarts, a)
	}
	a.w.after(wait, rankTrouble, (*agentBack)(a))
}

type agentBack agent

func (b *agentBack) happen() {
	a := (*agent)(b)
	if a.life == nil && a.coming == nil && a.kept == 0 {
		_ = a.begin() // its settings were good when the day began
	}
}
