package ringassignment

import (
	"cmp"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

const (
	// meterTurn is how long answers are counted: a kind is reported while enough of them came within the last
	// one or two turns. So an agent of few requests, whose first answers say little, reports nothing, and
	// neither does one that has received no answers for long.
	meterTurn         = 2 * time.Minute
	defaultMinAnswers = 50
)

// PaceMeter works out how fast the kinds of machines are by one agent's latencies, against their agreed
// capacity. It assumes that the kinds have as many cores each: from more or fewer cores a latency tells
// nothing.
type PaceMeter struct {
	MinAnswers float64 // of a kind, to report it; zero: 50

	counts    map[string]answerCounts // by kind
	turnBegan time.Duration           // by the monotonic clock
	started   bool                    // turnBegan is valid
}

// answerCounts are how many answers of a kind there had been at the start of the turn before, and of this
// one.
type answerCounts struct{ turnBefore, turnStart float64 }

// kindStats is what is known of a kind.
type kindStats struct {
	servers  float64
	capacity float64 // of all of them
	ratio    float64 // of the measured speed to the agreed capacity of one; zero: not known
}

// Measure takes the baseline latencies by kind, and the agent's own endpoint list with agreed capacities. It
// returns the pace of each kind that is known, against the kind in the middle by capacity; nil: there is
// nothing to report, as where there is a single kind, or half of the fleet is not known. It is to be called
// every few seconds; now is by the monotonic clock.
func (g *PaceMeter) Measure(now time.Duration, latencies []balancer.BaselineLatency,
	servers []Server,
) map[string]float64 {
	kinds, capacity := map[string]*kindStats{}, 0.0
	for i := range servers {
		s := &servers[i]
		if kinds[s.Kind] == nil {
			kinds[s.Kind] = &kindStats{}
		}
		k := kinds[s.Kind]
		k.servers, k.capacity, capacity = k.servers+1, k.capacity+s.validCapacity(), capacity+s.validCapacity()
	}
	recent := g.recentAnswers(now, latencies, kinds)
	minAnswers := cmp.Or(g.MinAnswers, defaultMinAnswers)
	for _, l := range latencies {
		if k := kinds[l.MachineKind]; k != nil && recent[l.MachineKind] >= minAnswers && l.Latency > 0 {
			k.ratio = 1 / l.Latency.Seconds() * k.servers / k.capacity
		}
	}
	return relativePaces(kinds, capacity)
}

// recentAnswers counts the answers of each kind since the start of the turn before.
func (g *PaceMeter) recentAnswers(now time.Duration, latencies []balancer.BaselineLatency,
	kinds map[string]*kindStats,
) map[string]float64 {
	newTurn := g.started && now-g.turnBegan >= meterTurn
	if newTurn || !g.started {
		g.turnBegan, g.started = now, true
	}
	counts, recent := map[string]answerCounts{}, map[string]float64{}
	for _, l := range latencies {
		if kinds[l.MachineKind] == nil {
			continue
		}
		c, known := g.counts[l.MachineKind]
		if !known || l.Samples < c.turnStart {
			c = answerCounts{turnBefore: l.Samples, turnStart: l.Samples}
		}
		recent[l.MachineKind] = l.Samples - c.turnBefore
		if newTurn {
			c = answerCounts{turnBefore: c.turnStart, turnStart: l.Samples}
		}
		counts[l.MachineKind] = c
	}
	g.counts = counts
	return recent
}

// relativePaces is the ratio of each known kind to that of the kind in the middle.
func relativePaces(kinds map[string]*kindStats, capacity float64) map[string]float64 {
	var known []*kindStats
	sum := 0.0
	for _, k := range kinds { // in any order: sorted below
		if k.ratio > 0 {
			known, sum = append(known, k), sum+k.capacity
		}
	}
	if len(known) < 2 || 2*sum <= capacity {
		return nil
	}
	slices.SortFunc(known, func(a, b *kindStats) int {
		return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.capacity, b.capacity))
	})
	middle, passed := 0.0, 0.0
	for _, k := range known {
		if passed += k.capacity; 2*passed >= sum {
			middle = k.ratio
			break
		}
	}
	paces := map[string]float64{}
	for kind, k := range kinds {
		if k.ratio > 0 {
			paces[kind] = k.ratio / middle
		}
	}
	return paces
}
