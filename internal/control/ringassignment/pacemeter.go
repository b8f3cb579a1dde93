package ringassignment

import (
	"cmp"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

const (
	// countWindow is the length of a counting window. A kind is reported only if enough answers arrived in the
	// current and the previous window. So an agent with few requests, whose latencies are not significant,
	// reports nothing, and neither does an agent that has not received answers for a long time.
	countWindow       = 2 * time.Minute
	defaultMinAnswers = 50
)

// PaceMeter estimates the speed of each machine kind, relative to its agreed capacity, from one agent's
// latencies. It assumes that all kinds have the same number of cores: a difference in cores does not show in
// a latency.
type PaceMeter struct {
	MinAnswers float64 // minimum number of recent answers of a kind to report it; zero means 50

	counts      map[string]answerCounts // by kind
	windowStart time.Duration           // start of the current window, by the monotonic clock
	started     bool                    // whether windowStart is valid
}

// answerCounts are the total numbers of answers of a kind at the start of the previous and of the current
// window.
type answerCounts struct{ atPreviousStart, atWindowStart float64 }

// kindStats is the data of one machine kind.
type kindStats struct {
	servers  float64 // number of servers
	capacity float64 // total capacity of the servers
	ratio    float64 // measured speed divided by the agreed capacity of one server; zero if unknown
}

// Measure takes the baseline latencies by kind, and the agent's own endpoint list with agreed capacities. It
// returns the pace of each kind with enough answers, relative to the median kind weighted by capacity. It
// returns nil if there is nothing to report: if only one kind has enough answers, or the kinds that have them
// make up no more than half of the capacity. The caller calls it every few seconds; now is by the monotonic
// clock.
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

// recentAnswers returns the number of answers of each kind since the start of the previous window.
func (g *PaceMeter) recentAnswers(now time.Duration, latencies []balancer.BaselineLatency,
	kinds map[string]*kindStats,
) map[string]float64 {
	newWindow := g.started && now-g.windowStart >= countWindow
	if newWindow || !g.started {
		g.windowStart, g.started = now, true
	}
	counts, recent := map[string]answerCounts{}, map[string]float64{}
	for _, l := range latencies {
		if kinds[l.MachineKind] == nil {
			continue
		}
		c, known := g.counts[l.MachineKind]
		if !known || l.Samples < c.atWindowStart {
			c = answerCounts{atPreviousStart: l.Samples, atWindowStart: l.Samples}
		}
		recent[l.MachineKind] = l.Samples - c.atPreviousStart
		if newWindow {
			c = answerCounts{atPreviousStart: c.atWindowStart, atWindowStart: l.Samples}
		}
		counts[l.MachineKind] = c
	}
	g.counts = counts
	return recent
}

// relativePaces returns the ratio of each known kind divided by that of the median kind, weighted by
// capacity.
func relativePaces(kinds map[string]*kindStats, capacity float64) map[string]float64 {
	var known []*kindStats
	sum := 0.0
	for _, k := range kinds { // the order does not matter: sorted below
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
	median, cumulative := 0.0, 0.0
	for _, k := range known {
		if cumulative += k.capacity; 2*cumulative >= sum {
			median = k.ratio
			break
		}
	}
	paces := map[string]float64{}
	for kind, k := range kinds {
		if k.ratio > 0 {
			paces[kind] = k.ratio / median
		}
	}
	return paces
}
