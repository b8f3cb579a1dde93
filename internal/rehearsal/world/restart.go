package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/routing"
)

// clientNoticeTime is how long clients still open connections to an agent that shuts down.
const clientNoticeTime = 300 * time.Millisecond

// shutdown is the state of a process's graceful shutdown.
type shutdown struct {
	plan         routing.ShutdownPlan
	requested    bool
	acceptsUntil time.Duration // until when clients open connections to it
	exited       bool          // the process has exited by itself
	closing      bool          // no connection is accepted, and open ones are closed when idle
}

// drain starts a graceful shutdown of the program, in the same phases as the daemon's.
func (l *agentProcess) drain() {
	if l.shutdown.requested {
		return
	}
	if l.external {
		l.shutdown = shutdown{requested: true, acceptsUntil: l.w.now + clientNoticeTime}
		l.w.wire.Drain(l.agent.number)
		return
	}
	l.shutdown = shutdown{
		plan: routing.NewShutdownPlan(l.clock(), l.w.deployment(l.agent).Classes), requested: true,
		acceptsUntil: l.w.now + clientNoticeTime,
	}
	l.saveState()
	(*shutdownPhase)(l).fire()
}

// The events of a shutdown.
type (
	shutdownPhase agentProcess // the next phase of a shutdown begins
	processExits  agentProcess // a shutdown is complete
)

func (d *shutdownPhase) fire() {
	l := (*agentProcess)(d)
	if l.ended || l.deferIfPaused(d) {
		return
	}
	phase, until := l.shutdown.plan.PhaseAt(l.clock())
	switch phase {
	case routing.ShutdownClosing:
		l.shutdown.closing = true
		l.closeIdle()
		l.exitIfUnused()
	case routing.ShutdownFailing:
		l.post(message{kind: failAll})
	case routing.ShutdownEnding:
		l.post(message{kind: endResponses})
	case routing.ShutdownOver:
		(*processExits)(l).fire()
		return
	}
	l.w.schedule(until-clockStart, rankTimer, d)
}

// closeIdle closes the clients' idle connections.
func (l *agentProcess) closeIdle() {
	var own, others []*clientConn
	for _, f := range l.agent.client.idle {
		if f.proc == l {
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

// exitIfUnused exits a process that is shutting down once it has no client connections and its last
// answer has arrived.
func (l *agentProcess) exitIfUnused() {
	if l.shutdown.closing && l.listener.accepted == 0 && len(l.listener.waiting) == 0 {
		l.w.scheduleAfter(l.w.network.client, rankTimer, (*processExits)(l))
	}
}

func (o *processExits) fire() {
	l := (*agentProcess)(o)
	if l.ended || l.deferIfPaused(o) {
		return
	}
	w, a := l.w, l.agent
	l.shutdown.exited = true
	for _, t := range l.unanswered() { // the program exited by itself: unanswered tries are lost
		w.record.add(record.Event{Kind: record.ConnectionLost, RequestID: t.id, Agent: int32(a.number)})
		t.end()
		t.retry(false)
	}
	if l.replaced {
		l.terminate()
		return
	}
	a.kill()
	a.restart()
}

// accepting reports whether a client can reach the agent, on an idle connection or a new one.
func (a *agent) accepting() bool {
	l := a.proc
	switch {
	case l == nil:
		return false
	case len(a.client.idle) > 0:
		return true
	}
	return (!l.shutdown.requested || a.w.now < l.shutdown.acceptsUntil) &&
		(!l.sendingAway || a.w.now < l.sendingAwaySince+clientNoticeTime)
}

// restart starts the agent's program again, unless it runs or a fault keeps it down.
func (a *agent) restart() {
	if a.proc != nil || a.downFaults > 0 {
		return
	}
	wait := a.w.scenario.Agents.RestartTime
	if a.w.wire != nil { // a real program needs its own start time
		wait = 0
	} else {
		a.w.record.agent(record.AgentStarts, a)
	}
	a.w.scheduleAfter(wait, rankEnvironment, (*agentRestarts)(a))
}

// agentRestarts starts an agent's program again.
type agentRestarts agent

func (b *agentRestarts) fire() {
	a := (*agent)(b)
	if a.proc == nil && a.starting == nil && a.downFaults == 0 {
		_ = a.start() // the same settings were valid at the start of the run
	}
}
