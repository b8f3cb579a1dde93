package world

import (
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/state"
)

// Operator actions on agents, as far as runs in virtual time simulate them.

// sendAwayTime is the time after which an agent that sends its clients away closes their idle
// connections.
const sendAwayTime = 1700 * time.Millisecond

// disableServers makes a running agent send no new attempts to the servers, whatever discovery lists.
func (a *agent) disableServers(servers []*server) {
	l := a.proc
	if l == nil || l.external {
		return
	}
	for _, s := range servers {
		outputs, known, err := l.list.Disable(s.id, l.clock())
		if !known || err != nil {
			continue // never on this agent's list
		}
		if a.disabledServers == nil {
			a.disabledServers = map[*server]bool{}
		}
		a.disabledServers[s] = true
		l.recordList([]listEntry{s.entry(balancer.Ready)}, false)
		l.executeList(outputs)
	}
	a.disabled = l.list.Disabled()
}

// enableServers makes a running agent use the servers again. An agent that is not running keeps them
// disabled, as its state file does.
func (a *agent) enableServers(servers []*server) {
	l := a.proc
	if l == nil || l.external {
		return
	}
	for _, s := range servers {
		if !a.disabledServers[s] {
			continue
		}
		delete(a.disabledServers, s)
		outputs, _ := l.list.Enable(s.id, l.clock())
		l.recordList([]listEntry{s.entry(s.listState())}, false)
		l.executeList(outputs)
	}
	a.disabled = l.list.Disabled()
}

// operatorRestart stops the processes of the servers that an operator has disabled. They start again
// when the injection ends.
type operatorRestart injection

func (r *operatorRestart) fire() {
	t := (*injection)(r)
	if t.ended {
		return
	}
	t.processes = nil
	for _, s := range t.servers {
		t.processes = append(t.processes, s.process)
		if s.running() {
			s.stop()
		}
	}
}

// sendClientsAway makes a running agent send its clients away: answers close their connections, and
// idle ones are closed after sendAwayTime. The agent still serves requests that arrive.
func (a *agent) sendClientsAway() {
	l := a.proc
	if l == nil || l.external || l.sendingAway {
		return
	}
	l.sendingAway, l.sendingAwaySince = true, a.w.now
	a.w.scheduleAfter(sendAwayTime, rankTimer, (*closeIdleClients)(l))
}

// acceptClients makes an agent accept clients again after sendClientsAway.
func (a *agent) acceptClients() {
	if a.proc != nil {
		a.proc.sendingAway = false
	}
}

// closeIdleClients closes the remaining idle connections of an agent that sends its clients away.
type closeIdleClients agentProcess

func (n *closeIdleClients) fire() {
	l := (*agentProcess)(n)
	if l.ended || l.deferIfPaused(n) || !l.sendingAway || l.w.now < l.sendingAwaySince+sendAwayTime {
		return
	}
	l.closeIdle()
}

// hasUpgrades reports whether the scenario upgrades agents.
func (w *world) hasUpgrades() bool {
	return slices.ContainsFunc(w.scenario.Faults, func(t scenario.FaultSpec) bool {
		return t.Kind == scenario.AgentsUpgraded
	})
}

// upgrade starts a new process of an agent, which takes over what the running one has learned and what
// operators have set. The old process accepts no new connection and shuts down gracefully.
func (a *agent) upgrade() {
	old := a.proc
	// There is no recorder with Options.ViewDelay.
	if old == nil || old.external || old.shutdown.requested || old.recorder == nil {
		return
	}
	raw, err := state.Encode(old.stateFile())
	if err != nil {
		return
	}
	disk := a.savedState
	a.savedState, a.proc, old.replaced = raw, nil, true
	err = a.start()
	if a.savedState = disk; err != nil { // the same settings were valid at the start of the run
		return
	}
	old.drain()
	old.sendingAway, old.sendingAwaySince = true, a.w.now
}
