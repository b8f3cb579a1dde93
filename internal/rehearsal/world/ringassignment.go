package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet/lease"
)

// Generations of the agreed ring assignment (package ringassignment) during a run. The proposer of one voter
// computes them from that agent's endpoint list, and each agent learns of them after a delay. The Raft log
// and the leases are reduced to their guarantees: records are applied in order, and the leader is not cut
// off.

const (
	// proposeInterval is how often the leader checks for a new generation.
	proposeInterval = 100 * time.Millisecond
	// voterCount is the number of agents that may lead; the first one that can does.
	voterCount = 5
	// minLearnDelay and maxLearnDelay bound the time from the proposal of a generation until an agent
	// learns of it.
	minLearnDelay, maxLearnDelay = 30 * time.Millisecond, 350 * time.Millisecond
	// settleTime is simulated before the run, without faults, so that the run begins with settled
	// generations.
	settleTime, settleStep = 10 * time.Minute, 250 * time.Millisecond
	// maxLeaseTime is the maximum time for which a lease is valid. reportDelay is the time until the
	// voters have reported to each other that every agent has a generation: a lease request may miss it
	// for a second.
	maxLeaseTime, reportDelay = 5100 * time.Millisecond, 1100 * time.Millisecond
	// monotonicStart is the monotonic clock at the start of the run; it keeps it positive during settleTime.
	monotonicStart = time.Hour
)

// generations produces the generations of the ring assignment during a run.
type generations struct {
	w            *world
	parameters   ringassignment.Parameters
	stateMachine *ringassignment.StateMachine // immutable once agents have it
	proposer     *ringassignment.Proposer
	leader       *agentProcess
	generationID ringassignment.GenerationID // of the present generation
	allAppliedAt time.Duration               // when all lease holders had applied it; zero: they have not
	rng          stream
	kindCapacity map[string]float64 // agreed capacities, by machine kind
}

func newGenerations(w *world) *generations {
	f, r := balancer.DefaultTuning(), &w.scenario.Rules
	g := &generations{
		w: w, stateMachine: ringassignment.NewStateMachine(), rng: newStream(w.seed, "generations"),
		kindCapacity: map[string]float64{},
	}
	g.parameters.SlowStart = slowstart.Params{
		InitialCapacity:  r.SlowStartShare,
		Duration:         r.SlowStartTime,
		OverloadMultiple: r.OverloadMultiple,
		OverloadWindow:   r.OverloadWindow,
		Margin:           f.SlowStartMargin,
		MaxWarmMultiple:  f.SlowStartMax,
		Balancers:        w.scenario.Agents.Count,
	}
	mean := 0.0
	for i := range w.scenario.Kinds {
		k := &w.scenario.Kinds[i]
		g.kindCapacity[k.Name] = float64(k.Cores) * k.Speed.Mean()
		mean += k.Share * g.kindCapacity[k.Name]
	}
	for kind := range g.kindCapacity {
		g.kindCapacity[kind] /= mean
	}
	return g
}

// clockReading returns the time on the machines' clocks, which are all exact.
func (w *world) clockReading() lease.ClockReading {
	return lease.ClockReading{Unix: clockStart + w.now, Mono: monotonicStart + w.now}
}

// settle computes the generations of the settling time, with the servers that run at its end.
func (g *generations) settle() {
	var view ringassignment.View
	for _, l := range g.w.discovery.learned {
		view.Servers = append(view.Servers, g.serverView(balancer.Server{
			ID: l.server.id, MachineKind: l.server.machine.kind,
			Zone: g.w.scenario.Network.Zones[l.server.zone],
		}))
	}
	at := func(t time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: clockStart - t, Mono: monotonicStart - t}
	}
	proposer := ringassignment.NewProposer(g.parameters, at(settleTime))
	proposer.SetMembers(at(settleTime), g.members(), 1)
	for left := settleTime; left > 0; left -= settleStep {
		now := at(left)
		view.Now = now.Unix
		proposer.SetView(now, view)
		records, _ := proposer.Due(now)
		for _, r := range records {
			g.stateMachine.Apply(0, r)
			proposer.Learn(now, g.stateMachine)
		}
	}
	g.updateGenerationID()
	g.w.scheduleAfter(proposeInterval, rankTimer, g)
}

// members returns the voters. There is effectively one, which reports the leases of all agents.
func (g *generations) members() []int { return []int{0} }

// updateGenerationID records that there is a new generation.
func (g *generations) updateGenerationID() {
	all := ringassignment.NewAgent()
	all.Learn(g.stateMachine)
	g.generationID, g.allAppliedAt = all.Applied(), 0
}

// report reports to the proposer that all lease holders have applied the present generation, after
// reportDelay.
func (g *generations) report() {
	w, have := g.w, true
	for _, a := range w.agents {
		l := a.proc
		switch {
		case l == nil || l.ring == nil:
		case !g.isolated(a) && l.pauseCount == 0:
			l.lastConnected = w.now
			have = have && l.ring.Applied() == g.generationID
		default: // its lease may still be valid
			have = have && (l.ring.Applied() == g.generationID || w.now-l.lastConnected > maxLeaseTime)
		}
	}
	if g.allAppliedAt == 0 && have {
		g.allAppliedAt = w.now
	}
	if g.allAppliedAt > 0 && w.now-g.allAppliedAt >= reportDelay {
		g.proposer.ReportReceived(0, g.generationID)
	}
}

// serverView converts a server of an agent's list for the proposer.
func (g *generations) serverView(s balancer.Server) ringassignment.Server {
	return ringassignment.Server{
		ID: s.ID, Zone: s.Zone, Kind: s.MachineKind, Ready: s.State == balancer.Ready,
		Draining: s.State == balancer.Draining, StartedAt: s.StartedAt, Capacity: g.kindCapacity[s.MachineKind],
	}
}

// fire proposes the next generation, if there is one.
func (g *generations) fire() {
	w, now := g.w, g.w.clockReading()
	w.scheduleAfter(proposeInterval, rankTimer, g)
	if !g.elect() {
		return
	}
	view := ringassignment.View{
		Now: now.Unix, FullyDrained: maintenance.FullyDrained(w.exclusions, w.tenantNames()),
	}
	for _, s := range g.leader.list.Endpoints() {
		view.Servers = append(view.Servers, g.serverView(s))
	}
	g.proposer.SetView(now, view)
	g.report()
	records, _ := g.proposer.Due(now)
	for _, r := range records {
		next := *g.stateMachine
		next.Apply(0, r)
		g.stateMachine = &next
		g.proposer.Learn(now, g.stateMachine)
		g.updateGenerationID()
		for _, a := range w.agents {
			wait := minLearnDelay + time.Duration(g.rng.Float64()*float64(maxLearnDelay-minLearnDelay))
			w.scheduleAfter(wait, rankArrival, &assignmentLearned{agent: a, stateMachine: g.stateMachine})
		}
	}
}

// elect selects the leader, which stays the same while it can lead, and reports whether there is one.
func (g *generations) elect() bool {
	can := func(l *agentProcess) bool {
		return l != nil && !l.ended && l.pauseCount == 0 && !g.isolated(l.agent)
	}
	if can(g.leader) {
		return true
	}
	for _, a := range g.w.agents[:min(voterCount, len(g.w.agents))] {
		if can(a.proc) {
			g.leader, g.proposer = a.proc, ringassignment.NewProposer(g.parameters, g.w.clockReading())
			g.proposer.SetMembers(g.w.clockReading(), g.members(), uint64(a.number)+2)
			g.proposer.Learn(g.w.clockReading(), g.stateMachine)
			return true
		}
	}
	return false
}

// isolated reports whether an agent gets nothing from the others, because its zone is cut off.
func (g *generations) isolated(a *agent) bool { return g.w.zoneCut[a.zone] > g.w.now }

// assignmentLearned delivers a generation to an agent, once it is not cut off.
type assignmentLearned struct {
	agent        *agent
	stateMachine *ringassignment.StateMachine
}

func (t *assignmentLearned) fire() {
	w := t.agent.w
	if w.generations.isolated(t.agent) {
		w.schedule(w.zoneCut[t.agent.zone]+maxLearnDelay, rankArrival, t)
	} else if l := t.agent.proc; l != nil && l.ring != nil {
		if l.pauseCount > 0 {
			w.scheduleAfter(proposeInterval, rankArrival, t)
			return
		}
		l.ring.Learn(t.stateMachine)
	}
}

// updateAssignment applies the present generation to the router before the next message.
func (l *agentProcess) updateAssignment() {
	if l.ring == nil {
		return
	}
	standing := lease.Full
	if l.w.generations.isolated(l.agent) {
		standing = lease.Floor
	}
	if p := l.ring.Assignment(l.w.clockReading(), standing); p != l.appliedAssignment {
		l.appliedAssignment = p
		l.router.SetRingAssignment(p)
	}
}

// joinRing gives a starting agent the present generation, which it needs to become ready.
func (l *agentProcess) joinRing() {
	if l.w.generations != nil {
		l.ring = ringassignment.NewAgent()
		l.ring.Learn(l.w.generations.stateMachine)
	}
}
