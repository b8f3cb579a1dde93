package ringassignment

import (
	"cmp"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

// PaceMeter finds how quick one agent's answers show the kinds of servers to be, against what is agreed that they
// can do. It takes kinds for machines of as many cores: of more cores, or of fewer, the time of an answer
// tells nothing.
type PaceMeter struct {
	MinAnswers float64 // answers that a kind needs to be told of; zero: 50

	counts    map[string]answerCounts
	turnBegan time.Duration // when before was set, by the steady clock
	started   bool
}

// gauged is how many answers of a kind there had been.
type answerCounts struct{ turnBefore, turnStart float64 }

const (
	// meterTurn and defaultMinAnswers: a kind is told of while so many answers came within the last one or two turns.
	// Guards against an agent of few requests, whose first answers say little, and against one that has heard
	// nothing for long.
	meterTurn         = 2 * time.Minute
	defaultMinAnswers = 50
)

// kindStats is what is known of a kind.
type kindStats struct {
	servers  float64
	capacity float64 // of all of them
	ratio    float64 // of what its answers show to what is agreed for one of them; zero: not known
}

// Update takes how quick the kinds were, and the agent's own list with agreed capacities; nil: there is nothing
// to say. What it says of a kind is against the kind in the middle, by capacity: of a single kind nothing can
// be said, nor where half of the fleet is not known. It is to be called every few seconds; now is of the
// steady clock.
func (g *PaceMeter) Measure(now time.Duration, quick []balancer.BaselineLatency, servers []Server) map[string]float64 {
	kinds, all := map[string]*kindStats{}, 0.0
	for i := range servers {
		s := &servers[i]
		if kinds[s.Kind] == nil {
			kinds[s.Kind] = &kindStats{}
		}
		k := kinds[s.Kind]
		k.servers, k.capacity, all = k.servers+1, k.capacity+s.validCapacity(), all+s.validCapacity()
	}
	fresh := g.recentAnswers(now, quick, kinds)
	least := cmp.Or(g.MinAnswers, defaultMinAnswers)
	for _, q := range quick {
		if k := kinds[q.MachineKind]; k != nil && fresh[q.MachineKind] >= least && q.Latency > 0 {
			k.ratio = 1 / q.Latency.Seconds() * k.servers / k.capacity
		}
	}
	return relativePaces(kinds, all)
}

// count tells how many answers came of late.
func (g *PaceMeter) recentAnswers(now time.Duration, quick []balancer.BaselineLatency, kinds map[string]*kindStats) map[string]float64 {
	turns := g.started && now-g.turnBegan >= meterTurn
	if turns || !g.started {
		g.turnBegan, g.started = now, true
	}
	known, fresh := map[string]answerCounts{}, map[string]float64{}
	for _, q := range quick {
		if kinds[q.MachineKind] == nil {
			continue
		}
		was, is := g.counts[q.MachineKind]
		if !is || q.Samples < was.turnStart {
			was = answerCounts{turnBefore: q.Samples, turnStart: q.Samples}
		}
		fresh[q.MachineKind] = q.Samples - was.turnBefore
		if turns {
			was = answerCounts{turnBefore: was.turnStart, turnStart: q.Samples}
		}
		known[q.MachineKind] = was
	}
	g.counts = known
	return fresh
}

// against is each known kind's ratio to that of the middle one.
func relativePaces(kinds map[string]*kindStats, all float64) map[string]float64 {
	var known []*kindStats
	sum := 0.0
	for _, k := range kinds { // in any order: sorted below
		if k.ratio > 0 {
			known, sum = append(known, k), sum+k.capacity
		}
	}
	if len(known) < 2 || 2*sum <= all {
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
	said := map[string]float64{}
	for name, k := range kinds {
		if k.ratio > 0 {
			said[name] = k.ratio / middle
		}
	}
	return said
}
