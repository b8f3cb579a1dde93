package lab

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/judge"
	"dunestep/internal/simnet"
)

// PaceProtections can be disabled in RunPaceChange, to check that the judge detects their absence.
var PaceProtections = []string{
	"median",  // the agent with false paces also reports as three others
	"samples", // paces from few answers count
}

// Machine kinds.
const (
	fastKind = "rapid"
	slowKind = "lent"
)

const (
	measureInterval  = 10 * time.Second
	reportInterval   = 30 * time.Second
	answersPerSecond = 4.0 // answers of each kind that an agent gets per second
)

// paceState is an agent's state of pace measurements and reports.
type paceState struct {
	meter        ringassignment.PaceMeter
	answersUntil time.Duration // true time until which answers are counted
	answers      float64       // number of answers of each kind
	report       []byte
	nextMeasureAt,
	nextReportAt time.Duration // by the monotonic clock
}

// kindOf returns the machine kind of a server by its capacity.
func kindOf(capacity float64) string {
	if capacity > 1 {
		return fastKind
	}
	return slowKind
}

// runPaceReports measures the paces of machine kinds at an agent and reports them to the voters, each when
// due.
func (l *Lab) runPaceReports(nd *node, mono time.Duration) {
	p := &nd.pace
	if mono >= p.nextMeasureAt {
		p.nextMeasureAt = mono + measureInterval
		p.report = ringassignment.EncodePaceReport(
			l.reportedPaces(nd, p.meter.Measure(mono, l.baselineLatencies(nd), l.listedServers(nd))))
	}
	if mono >= p.nextReportAt && len(p.report) > 1 {
		p.nextReportAt = mono + reportInterval
		for v := range voters {
			l.send(nd.number, v, message{kind: messagePaceReport, paceReport: p.report})
		}
	}
}

// reportedPaces returns the paces that an agent reports: those that it measured, or false ones at the last
// agent.
func (l *Lab) reportedPaces(nd *node, measured map[string]float64) map[string]float64 {
	if l.hasFalseReports && nd.number == len(l.nodes)-1 {
		return map[string]float64{fastKind: 100, slowKind: 0.01}
	}
	return measured
}

// hasFewRequests reports whether an agent gets hardly any requests.
func (l *Lab) hasFewRequests(nd *node) bool {
	return l.hasFalseReports && nd.number < len(l.nodes)-1 && nd.number >= len(l.nodes)-3
}

// baselineLatencies returns the latencies and the numbers of answers by kind as a balancer measures them.
func (l *Lab) baselineLatencies(nd *node) (all []balancer.BaselineLatency) {
	p, rate := &nd.pace, answersPerSecond
	if l.hasFewRequests(nd) {
		rate = 0.02
	}
	p.answers += rate * (l.Now() - p.answersUntil).Seconds()
	p.answersUntil = l.Now()
	for _, kind := range []string{slowKind, fastKind} {
		latency := 0.96 + 0.08*l.Rand().Float64()
		if kind == fastKind {
			latency /= 2 * l.fastKindSpeed
		}
		if l.hasFewRequests(nd) && kind == slowKind {
			latency *= 3
		}
		all = append(all, balancer.BaselineLatency{
			MachineKind: kind, Latency: time.Duration(latency * float64(20*time.Millisecond)),
			Samples: p.answers,
		})
	}
	return all
}

// listedServers returns the servers on an agent's own list.
func (l *Lab) listedServers(nd *node) (all []ringassignment.Server) {
	for _, s := range l.lists[nd.list] {
		if s.listed {
			all = append(all, ringassignment.Server{
				ID: s.name, Zone: s.zone, Kind: kindOf(s.capacity), Ready: s.ready,
				Draining: s.draining, StartedAt: s.startedAt, Capacity: s.capacity,
			})
		}
	}
	return all
}

// receivePaceReport passes an agent's pace report to a voter's proposer.
func (l *Lab) receivePaceReport(nd *node, from int, data []byte) {
	now := l.reading(nd.number)
	nd.proposer.PaceReportReceived(now, from, data)
	for i := range 3 {
		if l.setup.Without == "median" && from == len(l.nodes)-1 {
			nd.proposer.PaceReportReceived(now, 100*i+from, data)
		}
	}
}

// RunPaceChange runs a fleet for stableTime, then makes the servers of one kind half as fast and runs the
// fleet for duration. One agent reports false paces, two have hardly any requests, agents are cut off and
// leaders stop.
func RunPaceChange(seed uint64, without string, duration time.Duration) (l *Lab, j *judge.PaceJudge) {
	setup := Setup{
		Seed: seed, Agents: 5, Servers: 20, Keys: 4000, Without: without,
		Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond,
			MaxDelay: 20 * time.Millisecond,
		},
	}
	setup.Parameters.UsePaces = true
	l = New(setup)
	l.hasFalseReports = true
	if without == "samples" {
		for _, nd := range l.nodes {
			nd.pace.meter.MinAnswers = 1
		}
	}
	j = &judge.PaceJudge{}
	l.Run(l.Now() + settleTime)
	start := l.Now()
	end := start + stableTime + duration
	l.every(start, end, 10*time.Second, func() { j.AddDensity(l.Now(), l.density()) })
	l.every(start, end-time.Minute, 20*time.Second, func() { l.injectAgentFault(end - time.Minute) })
	l.Run(start + stableTime)
	l.fastKindSpeed = 0.5
	j.KindChanged(l.Now())
	l.Run(end)
	return l, j
}

// stableTime is the time before the change. It is longer than a measured pace needs to change.
const stableTime = 8 * time.Minute

// density returns the keys per capacity of the fast servers, relative to those of the slow ones, in the
// agreed generation.
func (l *Lab) density() float64 {
	state := l.reference.State()
	points := map[string]int{}
	for i := range state.Members {
		points[state.Members[i].ID] = state.Members[i].PointsOnRing()
	}
	owners := l.rings.ownersOf(points, nil)
	keys, capacity := map[string]float64{}, map[string]float64{}
	for _, o := range owners {
		keys[kindOf(l.servers[o].capacity)]++
	}
	for i := range l.servers {
		capacity[kindOf(l.servers[i].capacity)] += l.servers[i].capacity
	}
	return keys[fastKind] / capacity[fastKind] / (keys[slowKind] / capacity[slowKind])
}
