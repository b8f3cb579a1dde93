package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// ShortTimes returns the times of the scenarios. They are short, so that a short run has many events.
func ShortTimes() policy.Times {
	return policy.Times{Terms: lease.Terms{
		Duration: 2 * time.Second, MaxKnowledgeAge: 500 * time.Millisecond,
		MaxClockError: 100 * time.Millisecond, MaxDrift: 0.01,
	}, ActivationLead: 300 * time.Millisecond, FloorValidity: 2 * time.Second}
}

const (
	faultyTime  = 20 * time.Second // duration of the part with faults
	healthyTime = 8 * time.Second  // duration of the part without faults that follows
)

// focus is the kind of event that a scenario emphasizes.
type focus int

const (
	mixed         focus = iota
	voterForgets        // when a change is proposed, a voter loses the leases that it granted
	agentsCutOff        // when a change is proposed, all agents are cut off, so that none can reject it
	floorNarrowed       // the floor is narrowed and used while an agent is cut off
)

// hasFewFaults reports whether the scenario has fewer other faults, so that its focus occurs.
func (l *Lab) hasFewFaults() bool { return l.focus == voterForgets || l.focus == floorNarrowed }

// RunScenario runs policy changes with all faults for faultyTime, and then without faults for healthyTime. It
// returns the Lab at the end.
func RunScenario(seed uint64, agents int, without Protection) *Lab {
	l := New(Setup{
		Seed: seed, Voters: 3, Agents: agents, Times: ShortTimes(), LeadTime: 800 * time.Millisecond,
		Without: without, Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond,
			MaxDelay: 20 * time.Millisecond, Late: 0.05, Lateness: 3 * time.Second,
		},
	})
	begin := l.Now()
	end := begin + faultyTime
	l.every(begin, end+healthyTime, 100*time.Millisecond, l.Decide)
	l.every(begin+2*time.Second, end, 1500*time.Millisecond, l.proposeRandomChange)
	l.every(begin+2*time.Second, end, 800*time.Millisecond, func() { l.injectFault(end) })
	l.injectFaultsAtRecords()
	if l.focus = focus(seed % 4); l.focus == floorNarrowed {
		l.At(begin+2*time.Second, func() { l.cutOff(len(l.voters)+agents-1, end) })
	}
	if l.focus == mixed {
		l.LimitAttempts(0)
	}
	l.Run(end)
	l.heal()
	l.Run(end + healthyTime)
	return l
}

// every calls do once in each step between two true times, at a random time within the step.
func (l *Lab) every(from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}

// proposeRandomChange proposes a random document at a random node, unless that node is stopped or paused.
func (l *Lab) proposeRandomChange() {
	n := l.Rand().IntN(l.nodeCount())
	if l.node(n).incarnation == 0 || l.IsPaused(n) {
		return
	}
	attempts := max(1, l.Rand().IntN(4)) // 1 in half of the cases, which is below some floors
	floor := min(1+l.Rand().IntN(2), attempts)
	switch {
	case l.focus == voterForgets: // every agent can use this document
		floor, attempts = 2, 2
	case l.focus == floorNarrowed && l.State().InForce.Number == 0:
		floor, attempts = 1, 2
	case l.focus == floorNarrowed:
		floor, attempts = 1, 1
	}
	l.Propose(n, ExampleDocument(floor, attempts, 0.3+0.4*l.Rand().Float64()))
}

// ExampleDocument returns a policy document with the attempts of the floor, the attempts of class find and
// the share of tenant east.
func ExampleDocument(floor, attempts int, share float64) string {
	return fmt.Sprintf("format = 1\n[floor]\nattempts = %d\nshare = 0.4\n[classes.find]\nattempts = %d\n"+
		"[tenants.east]\nshare = %.3f\n[tenants.west]\nshare = %.3f\n", floor, attempts, share, 1-share-0.001)
}
