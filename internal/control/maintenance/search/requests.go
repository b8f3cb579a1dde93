package search

import (
	"fmt"
	"math"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// mode is what an agent acts on now.
func (w *world) mode(a *agent) policy.Mode {
	for _, g := range a.grants[:a.grantCount] {
		if w.now-g.requestedAt < leaseLength && a.known >= g.covers {
			a.lastLeased = w.now
			return policy.ModeFull
		}
	}
	if a.lastLeased != never && w.now-a.lastLeased < floorValidity {
		return policy.ModeFloor
	}
	return policy.ModeBottom
}

// checkRequests has each agent send a request, and says what is wrong with one; empty: nothing.
func (k *worker) checkRequests(w *world) string {
	for i := range w.agents[:k.setup.Agents] {
		a := &w.agents[i]
		how := w.mode(a)
		p, off := w.log.at(a.known), exclusion{}
		if p.agent != nil || how == policy.ModeBottom {
			off = k.exclusionOf(w, a, p, how)
		}
		if text := k.sendRequest(w, i, off); text != "" {
			return text
		}
	}
	if w.log.state == maintenance.Free && w.now < returnFrom && w.now < w.lastSent+maxInFlight {
		return fmt.Sprintf("what was sent at %d arrives while the server is free", w.lastSent)
	}
	return ""
}

// exclusionOf is what an agent keeps off, as the protections leave it.
func (k *worker) exclusionOf(w *world, a *agent, p *logPosition, how policy.Mode) exclusion {
	at := w.now
	switch {
	case k.setup.Without == "own clock":
		at = max(a.lastLeased, windowFrom-1)
	case k.setup.Without == "early return" && at >= returnFrom && at < windowTo+windowTo-returnFrom:
		at -= windowTo - returnFrom
	}
	standing := lease.Floor
	if how == policy.ModeFull {
		standing = lease.Full
	} else if a.lastLeased == never {
		standing = lease.New
	}
	return cached(k, k.exclusionResults, exclusionKey{p, at, standing, how}, func() exclusion {
		part := p.agent
		if part == nil {
			part = k.agentAt(k.emptyLog.stateMachine)
		}
		avoid := part.Exclusions(reading(int(at)), standing, k.active[how])
		if avoid == nil {
			return exclusion{}
		}
		return exclusion{avoid.Tenants["east"]["n"], avoid.AllTenants != nil && avoid.AllTenants("n", "")}
	})
}

// sendRequest has an agent send a request of a key that is moved last, unless it keeps off the server, and
// one of a key that is moved first. It says what is wrong with them; empty: nothing.
func (k *worker) sendRequest(w *world, i int, off exclusion) string {
	if off.below > 0 && (w.now < windowFrom || w.now >= windowTo) {
		return fmt.Sprintf("agent %d keeps off the server outside the window's time", i)
	}
	if off.below == math.MaxUint32 || off.turn {
		return ""
	}
	if w.now < returnFrom && w.log.state == maintenance.Free {
		return fmt.Sprintf("agent %d sends to the server while it is free", i)
	}
	w.lastSent = w.now
	return ""
}
