package search

import (
	"fmt"
	"math"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// agentMode returns the present mode of an agent, and updates its lastLeaseAt.
func (state *systemState) agentMode(a *agent) policy.Mode {
	for _, g := range a.grants[:a.grantCount] {
		if state.now-g.requestedAt < leaseLength && a.applied >= g.coveredRecords {
			a.lastLeaseAt = state.now
			return policy.ModeFull
		}
	}
	if a.lastLeaseAt != never && state.now-a.lastLeaseAt < floorValidity {
		return policy.ModeFloor
	}
	return policy.ModeBottom
}

// checkRequests sends a request from each agent. It returns a description of the first violation, or an empty
// string if there is none.
func (k *worker) checkRequests(state *systemState) string {
	for i := range state.agents[:k.setup.Agents] {
		a := &state.agents[i]
		mode := state.agentMode(a)
		p, excluded := state.log.at(a.applied), exclusion{}
		if p.agent != nil || mode == policy.ModeBottom {
			excluded = k.exclusionFor(state, a, p, mode)
		}
		if text := k.sendRequest(state, i, excluded); text != "" {
			return text
		}
	}
	if state.log.state == maintenance.Free && state.now < returnFrom &&
		state.now < state.lastSentAt+maxInFlight {
		return fmt.Sprintf("a request sent at %d may arrive while the server is free", state.lastSentAt)
	}
	return ""
}

// exclusionFor returns what an agent excludes, with the disabled protection taken into account.
func (k *worker) exclusionFor(state *systemState, a *agent, p *logPosition, mode policy.Mode) exclusion {
	at := state.now
	switch {
	case k.setup.Without == "own clock":
		at = max(a.lastLeaseAt, windowFrom-1)
	case k.setup.Without == "early return" && at >= returnFrom && at < windowTo+windowTo-returnFrom:
		at -= windowTo - returnFrom
	}
	standing := lease.Floor
	if mode == policy.ModeFull {
		standing = lease.Full
	} else if a.lastLeaseAt == never {
		standing = lease.New
	}
	return cached(k, k.exclusionResults, exclusionKey{p, at, standing, mode}, func() exclusion {
		component := p.agent
		if component == nil {
			component = k.newAgentAt(k.emptyLog.stateMachine)
		}
		exclusions := component.Exclusions(reading(int(at)), standing, k.active[mode])
		if exclusions == nil {
			return exclusion{}
		}
		return exclusion{
			exclusions.Tenants["east"]["n"], exclusions.AllTenants != nil && exclusions.AllTenants("n", ""),
		}
	})
}

// sendRequest sends a request with the key that is moved last, unless the server is excluded for it, and
// one with the key that is moved first. It returns a description of a violation, or an empty string if
// there is none.
func (k *worker) sendRequest(state *systemState, i int, excluded exclusion) string {
	if excluded.below > 0 && (state.now < windowFrom || state.now >= windowTo) {
		return fmt.Sprintf("agent %d excludes the server outside the window's time", i)
	}
	if excluded.below == math.MaxUint32 || excluded.byTurn {
		return ""
	}
	if state.now < returnFrom && state.log.state == maintenance.Free {
		return fmt.Sprintf("agent %d sends to the server while it is free", i)
	}
	state.lastSentAt = state.now
	return ""
}
