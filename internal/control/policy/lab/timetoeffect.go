package lab

import (
	"math"
	"slices"
	"time"

	"dunestep/internal/simnet"
)

// TimeToEffect is the time from the proposal of a change until fractions of the running agents have acted
// on it; negative if they never did.
type TimeToEffect struct{ Half, NinetyNinePercent, All time.Duration }

// AgentFaults are the fractions of the agents that are down or cut off when the change is proposed.
type AgentFaults struct {
	Down, CutOff float64
}

// MeasureTimeToEffect simulates one change in a fleet of three voters, with a loss rate of datagrams.
func MeasureTimeToEffect(seed uint64, agents int, loss float64, leadTime time.Duration,
	faults AgentFaults,
) TimeToEffect {
	l := New(Setup{
		Seed: seed, Voters: 3, Agents: agents, LeadTime: leadTime,
		Faults: simnet.Faults{Loss: loss, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond},
	})
	// Voters report before the end of the fence only if they have run for longer than a lease.
	l.Run(l.Now() + 12*time.Second)
	proposedAt := l.Now()
	affected := int(float64(agents) * (faults.Down + faults.CutOff))
	for i := range affected {
		n := len(l.voters) + i
		if i < int(float64(agents)*faults.Down) {
			l.Stop(n)
			continue
		}
		for other := range len(l.voters) + agents {
			l.SetCut(n, other, true)
			l.SetCut(other, n, true)
		}
	}
	l.Propose(0, ExampleDocument(2, 2, 0.5))
	for step := range 6000 {
		l.At(proposedAt+time.Duration(step)*10*time.Millisecond, l.Decide)
	}
	l.Run(proposedAt + 15*time.Second)
	var took []time.Duration
	for _, at := range l.FirstActedAt[1] {
		took = append(took, at-proposedAt)
	}
	return timeToEffect(took, agents-affected)
}

// timeToEffect returns the quantiles of the times that a number of agents took. Agents that are missing in
// took never acted.
func timeToEffect(took []time.Duration, agents int) TimeToEffect {
	slices.Sort(took)
	quantile := func(fraction float64) time.Duration {
		if n := int(math.Ceil(fraction*float64(agents))) - 1; n < len(took) {
			return took[n]
		}
		return -1
	}
	return TimeToEffect{quantile(0.5), quantile(0.99), quantile(1)}
}
