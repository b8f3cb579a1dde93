package judge

import (
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// A listEntry is the state of an upstream server on the list, and its time.
type listEntry struct {
	state   record.State
	at      time.Duration // for leaving and gone: when the server first left the active state
	started time.Duration
}

// apply applies a change. A server that is gone after leaving counts as leaving since the first of the two
// changes.
func (n *listEntry) apply(e *record.Event) {
	if e.State == record.Active || n.state == record.Active {
		n.at = e.At
	}
	n.state, n.started = e.State, e.Started
}

// An agentView is the state of an agent's connection to discovery and what discovery has sent it.
type agentView struct {
	watching    bool
	since       time.Duration // when its watch was accepted, or its last request for the list
	failed      bool          // the last call failed
	silent      bool          // a watch went silent and no call was accepted since
	silentUntil time.Duration // time at which the changes withheld by the silence count as received
	pausedAt    time.Duration // when it was paused; 0: it is running
	notified    map[int32]*listEntry
	outages     int           // active faults that make discovery unreachable
	reachableAt time.Duration // when the last of them ended
}

// discoveryView is what discovery knows, and what each agent has received from it or counts as having
// received.
type discoveryView struct {
	scenario *scenario.Scenario
	rules    scenario.Rules
	listed   map[int32]*listEntry
	agents   []agentView
}

func newDiscoveryView(sc *scenario.Scenario, agents int) *discoveryView {
	k := &discoveryView{
		scenario: sc, rules: sc.Rules, listed: map[int32]*listEntry{}, agents: make([]agentView, agents),
	}
	for i := range k.agents {
		k.agents[i].notified = map[int32]*listEntry{}
	}
	return k
}

func applyChange(all map[int32]*listEntry, e *record.Event) {
	n := all[e.Server]
	if n == nil {
		n = &listEntry{}
		all[e.Server] = n
	}
	n.apply(e)
}

func (k *discoveryView) observe(e *record.Event) {
	switch e.Kind {
	case record.ListChanged:
		applyChange(k.listed, e)
	case record.Notified:
		applyChange(k.agents[e.Agent].notified, e)
	case record.WatchOpened:
		a := &k.agents[e.Agent]
		a.watching, a.since, a.failed, a.silent = true, e.At, false, false
	case record.ListRequested:
		a := &k.agents[e.Agent]
		a.since, a.failed, a.silent = e.At, false, false
	case record.WatchSilent:
		k.agents[e.Agent].watchSilent(e, k.rules.NotifyWithin)
	case record.FaultBegan:
		k.countOutage(e, 1)
	case record.FaultEnded:
		k.countOutage(e, -1)
		k.restartClocks(e)
	case record.CallFailed:
		a := &k.agents[e.Agent]
		a.watching, a.since, a.failed = false, e.At, true
	case record.AgentPaused:
		k.agents[e.Agent].pausedAt = e.At
	case record.AgentResumed:
		k.agents[e.Agent].resume(e.At)
	case record.AgentUp: // starts without state and gets time to request the list
		was := &k.agents[e.Agent]
		*was = agentView{
			since: e.At, notified: map[int32]*listEntry{}, outages: was.outages,
			reachableAt: was.reachableAt,
		}
	}
}

// silenceGrace is how long after the latest possible answer to a silent call the agent counts as notified.
const silenceGrace = 2 * time.Second

// watchSilent records that the agent's watch went silent. All changes that the silence withholds count as
// received at the same time, however soon the call is given up and repeated, until a call is accepted.
func (a *agentView) watchSilent(e *record.Event, within time.Duration) {
	if a.silent { // the changes withheld by the first silence are still missing
		return
	}
	a.silent, a.silentUntil = true, max(e.At+within, e.At+e.Left+silenceGrace)
}

// restartClocks restarts the clock of the agents without a watch after discovery was down.
func (k *discoveryView) restartClocks(e *record.Event) {
	if n := int(e.Fault); n >= len(k.scenario.Faults) ||
		k.scenario.Faults[n].Kind != scenario.DiscoveryDown {
		return
	}
	for i := range k.agents {
		if a := &k.agents[i]; !a.watching {
			a.since = max(a.since, e.At)
		}
	}
}

// countOutage updates the number of active faults that make discovery unreachable, for all agents or for
// some: by is 1 if the fault begins and -1 if it ends.
func (k *discoveryView) countOutage(e *record.Event, by int) {
	if int(e.Fault) >= len(k.scenario.Faults) {
		return
	}
	t := &k.scenario.Faults[e.Fault]
	streams := t.Kind == scenario.Streams && t.Stream != "servers"
	if !streams && t.Kind != scenario.DiscoveryDown {
		return
	}
	for i := range k.agents {
		if !streams || len(t.Agents) == 0 || slices.Contains(t.Agents, i) {
			a := &k.agents[i]
			a.outages, a.reachableAt = max(a.outages+by, 0), e.At
		}
	}
}

// resume gives a paused agent back the time that it could not use: everything that it received counts as
// received later by that time.
func (a *agentView) resume(at time.Duration) {
	if a.pausedAt == 0 {
		return
	}
	a.since += at - max(a.pausedAt, a.since)
	if a.silent {
		a.silentUntil += max(at-max(a.pausedAt, a.silentUntil), 0)
	}
	for _, n := range a.notified {
		n.at += at - max(a.pausedAt, n.at)
	}
	a.pausedAt = 0
}

// failedCallFactor multiplies the time that an agent may go without the list after a failed call.
const failedCallFactor = 4

// notifiedBy returns when an agent counts as notified of what discovery has known since a given time. With
// a watch, that is NotifyWithin later; during a silence, silentUntil. Without a watch it is RequestWithin
// after the last request, and longer after a failed call, but no later than with a watch once discovery is
// reachable again.
func (k *discoveryView) notifiedBy(agent int32, since time.Duration) time.Duration {
	a := &k.agents[agent]
	if a.silent {
		return max(a.silentUntil, since)
	}
	if a.watching {
		return max(a.since, since) + k.rules.NotifyWithin
	}
	at := max(a.since, since) + k.rules.RequestWithin
	if a.failed {
		at = max(a.since, since) + failedCallFactor*k.rules.RequestWithin
		if a.outages == 0 { // discovery is reachable: the longer time after a failed call does not apply
			at = min(at, max(a.reachableAt, since)+k.rules.NotifyWithin)
		}
	}
	return at
}

// notifiedToStop returns when the agent was notified, or counts as notified, that a server drains or is
// gone; ok is false if it was not.
func (k *discoveryView) notifiedToStop(agent, server int32) (at time.Duration, ok bool) {
	notified, listed := k.agents[agent].notified[server], k.listed[server]
	if notified != nil && notified.state != record.Active {
		return notified.at, true
	}
	if listed == nil || listed.state == record.Active || notified != nil && notified.at > listed.at {
		return 0, false
	}
	return k.notifiedBy(agent, listed.at), true
}

// clockSlack is the maximum by which a listed start time precedes the true one: the list has whole
// milliseconds.
const clockSlack = time.Millisecond

// notifiedOfStart reports whether the agent has by now been notified, or counts as notified, that a server
// started at the given time.
func (k *discoveryView) notifiedOfStart(agent, server int32, started, now time.Duration) bool {
	if notified := k.agents[agent].notified[server]; notified != nil && notified.started+clockSlack >= started {
		return true
	}
	listed := k.listed[server]
	return listed != nil && listed.started+clockSlack >= started && k.notifiedBy(agent, listed.at) <= now
}
