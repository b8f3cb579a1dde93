package world

import (
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Faults of the agents and of the paths between them: lost datagrams, blocked streams and paused processes.

// targets returns the agents that the fault affects.
func (t *injection) targets() []*agent {
	all := t.w.agents
	if len(t.config.Agents) == 0 {
		if t.config.Count == 0 {
			return all
		}
		return all[:min(t.config.Count, len(all))]
	}
	var some []*agent
	for _, n := range t.config.Agents {
		if n < len(all) {
			some = append(some, all[n])
		}
	}
	return some
}

// startAgentFault starts a fault of an agent or its paths; other kinds have no effect here.
func (t *injection) startAgentFault() {
	switch w := t.w; t.config.Kind {
	case scenario.Datagrams:
		id, err := w.datagramFaults.Begin(t.datagramFault)
		if t.datagramFaultID = id; err != nil { // the scenario has been validated
			panic(err)
		}
	case scenario.Streams:
		until := w.now + t.duration
		if t.onTime > 0 {
			until = min(w.now+t.onTime, t.start+t.duration)
		}
		for _, a := range t.targets() {
			a.blockStreams(t.config.Stream, t.config.Fault, until)
			t.setWireStreams(a, true)
		}
	case scenario.AgentsPaused:
		t.paused = t.paused[:0]
		for _, a := range t.targets() {
			if l := a.current(); l != nil {
				t.paused = append(t.paused, l)
				if l.pauseFaults++; l.pauseFaults == 1 {
					w.record.agent(record.AgentPaused, a)
				}
				l.pause()
			}
		}
	case scenario.AgentsSlowed:
		(*slowSlice)(t).fire()
	}
}

// endAgentFault ends a fault of an agent or its paths.
func (t *injection) endAgentFault() {
	switch t.config.Kind {
	case scenario.Datagrams:
		t.w.datagramFaults.End(t.datagramFaultID)
	case scenario.Streams:
		for _, a := range t.targets() {
			t.setWireStreams(a, false)
		}
		if t.config.Stream != "servers" && t.config.Fault != scenario.StreamReset {
			t.w.discovery.resumeWatches(t.targets())
		}
	case scenario.AgentsPaused:
		for _, l := range t.paused {
			if l.pauseFaults--; l.pauseFaults == 0 && !l.ended {
				t.w.record.agent(record.AgentResumed, l.agent)
			}
			l.resume()
		}
	}
}

// setWireStreams turns the fault of a real agent's streams to discovery on or off. The stand-in sends
// its keep-alive lines itself, so that the simulation cannot hold them back.
func (t *injection) setWireStreams(a *agent, on bool) {
	if t.w.wire != nil && t.config.Stream != "servers" {
		t.w.wire.SetStreamFault(a.number, t.config.Fault, on)
	}
}

// slowSlice pauses slowed agents for the part of a time slice in which they do not run.
type slowSlice injection

func (s *slowSlice) fire() {
	t := (*injection)(s)
	if t.ended {
		return
	}
	pause := time.Duration((1 - t.size) * float64(scenario.SlowSlice))
	for _, a := range t.targets() {
		if l := a.current(); l != nil {
			l.pause()
			t.w.scheduleAfter(pause, rankEnvironment, (*agentPauseEnds)(l))
		}
	}
	t.w.scheduleAfter(scenario.SlowSlice, rankEnvironment, s)
}

// agentPauseEnds ends one pause of an agent process.
type agentPauseEnds agentProcess

func (o *agentPauseEnds) fire() { (*agentProcess)(o).resume() }

// pause stops an agent's process: it handles no event until it is resumed as often as paused.
func (l *agentProcess) pause() {
	if l.pauseCount++; l.pauseCount == 1 && l.external && !l.ended {
		l.w.wire.Pause(l.agent.number)
	}
}

// resume ends one pause. After the last one, the events that were deferred fire now, in their order.
func (l *agentProcess) resume() {
	if l.pauseCount--; l.pauseCount > 0 || l.ended {
		return
	}
	if l.external {
		l.w.wire.Resume(l.agent.number)
		return
	}
	for len(l.deferred) > 0 && l.pauseCount == 0 && !l.ended {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next.fire()
	}
	if len(l.deferred) == 0 {
		l.deferred = nil
	}
}

// deferIfPaused reports whether the process is paused, and defers the event until it is resumed.
func (l *agentProcess) deferIfPaused(ev event) bool {
	if l.pauseCount == 0 || l.external || l.ended {
		return false
	}
	l.deferred = append(l.deferred, ev)
	return true
}

// streamBlock holds the times until which an agent's streams pass nothing from the agent (out) or to it
// (back), or are reset.
type streamBlock struct{ out, back, reset time.Duration }

// add extends the block by a fault until a time.
func (h *streamBlock) add(fault scenario.ConnFault, until time.Duration) {
	switch fault {
	case scenario.StreamReset:
		h.reset = max(h.reset, until)
	case scenario.StreamSilent:
		h.out, h.back = max(h.out, until), max(h.back, until)
	case scenario.StreamFromAgent:
		h.back = max(h.back, until)
	case scenario.StreamToAgent:
		h.out = max(h.out, until)
	}
}

// blockStreams applies a stream fault to an agent until a time.
func (a *agent) blockStreams(stream string, fault scenario.ConnFault, until time.Duration) {
	reset := fault == scenario.StreamReset
	if stream != "servers" {
		a.toDiscovery.add(fault, until)
		a.w.discovery.blockCalls(a, reset)
	}
	if stream == "discovery" {
		return
	}
	a.toServers.add(fault, until)
	for _, s := range a.w.servers {
		if p := s.process; reset && p != nil && p.state != processDown {
			for _, c := range append([]*conn(nil), p.conns...) {
				if c.proc.agent == a {
					c.drop()
				}
			}
		}
	}
}

// blockCalls applies a stream fault to an agent's calls. A watch that is blocked is recorded as failed,
// because the agent cannot learn of list changes from then on.
func (d *discovery) blockCalls(a *agent, reset bool) {
	for _, c := range append([]*call(nil), d.calls...) {
		switch {
		case c.proc.agent != a || c.ended:
		case reset:
			c.fail(errReset)
		case c.accepted && c.watch && a.toDiscovery.back > d.w.now:
			d.w.record.agent(record.CallFailed, a)
			if c.wire == nil { // a real agent detects it by itself
				d.w.schedule(c.silenceDetected(), rankArrival, (*watchBlocked)(c))
			}
		}
	}
}

// resumeWatches sends the changes that watches have missed during a stream fault that has ended.
func (d *discovery) resumeWatches(agents []*agent) {
	for _, a := range agents {
		for _, c := range d.calls {
			if c.proc.agent == a && !c.ended && c.watch && c.accepted {
				d.w.record.agent(record.WatchOpened, a)
				d.w.schedule(a.toDiscovery.back, rankServer, (*watchUpdate)(c))
			}
		}
	}
}

// description describes the fault for the timeline.
func (t *injection) description() string {
	if t.config.Kind == scenario.Datagrams {
		return t.config.Describe() + ": " + t.datagramFault.Impairment.String()
	}
	return t.config.Describe()
}
