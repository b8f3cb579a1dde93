package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet/lease"
)

// Agreed generations of the ring (package placement) over a day: the council of a voter makes them out of
// the list as that agent has it, and each agent learns of them some time after. The log and the leases are
// reduced to what they promise: records come one after the other, from a leader that is not cut off.

const (
	// ringLooks is how often the leader looks whether there is a next generation.
	ringLooks = 100 * time.Millisecond
	// ringVoters are the agents that may lead, the first of them that can.
	ringVoters = 5
	// A generation is known to an agent so long after it was proposed.
	ringToldLeast, ringToldMost = 30 * time.Millisecond, 350 * time.Millisecond
	// ringSettles is how long a calm before the day lasts: the day begins with what it came to.
	ringSettles, ringSettleStep = 10 * time.Minute, 250 * time.Millisecond
	// ringLeases is for how long a lease holds at the most, and ringTells what it takes until the voters have
	// told each other that all have a generation: what leases are asked for may lack it for a second.
	ringLeases, ringTells = 5100 * time.Millisecond, 1100 * time.Millisecond
	// steadyFrom keeps the steady clock above zero in that calm.
	steadyFrom = time.Hour
)

// generations makes a day's generations of the ring.
type generations struct {
	w       *world
	figures ringassignment.Parameters
	machine *ringassignment.StateMachine // never changed once others have it
	council *ringassignment.Proposer
	leader  *life
	mark    ringassignment.Mark // of the present one
	allHave time.Duration       // since when all that hold a lease have it; zero: they don't
	chance  stream
	sizes   map[string]float64 // agreed capacities, by kind
}

func newGenerations(w *world) *generations {
	f, r := balancer.DefaultTuning(), &w.set.Rules
	g := &generations{
		w: w, machine: ringassignment.NewStateMachine(), chance: newStream(w.seed, "generations"),
		sizes: map[string]float64{},
	}
	g.figures.SlowStart = slowstart.Params{
		InitialCapacity:  r.ColdShare,
		Duration:         r.ColdFor,
		OverloadMultiple: r.FallMultiple,
		OverloadWindow:   r.FallWindow,
		Margin:           f.SlowStartMargin,
		MaxOfWarm:        f.SlowStartMax,
		Balancers:        w.set.Agents.Count,
	}
	mean := 0.0
	for i := range w.set.Kinds {
		k := &w.set.Kinds[i]
		g.sizes[k.Name] = float64(k.Cores) * k.Speed.Mean()
		mean += k.Share * g.sizes[k.Name]
	}
	for kind := range g.sizes {
		g.sizes[kind] /= mean
	}
	return g
}

// reading is what clocks show now: all machines' are right.
func (w *world) reading() lease.ClockReading {
	return lease.ClockReading{Unix: clockStart + w.now, Mono: steadyFrom + w.now}
}

// settle has a calm pass before the day, with the servers that run when it begins.
func (g *generations) settle() {
	var view ringassignment.View
	for _, l := range g.w.discovery.known {
		view.Servers = append(view.Servers, g.seen(balancer.Server{
			ID: l.server.id, MachineKind: l.server.machine.kind,
			Zone: g.w.set.Network.Zones[l.server.zone],
		}))
	}
	at := func(t time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: clockStart - t, Mono: steadyFrom - t}
	}
	council := ringassignment.NewProposer(g.figures, at(ringSettles))
	council.SetMembers(at(ringSettles), g.members(), 1)
	for left := ringSettles; left > 0; left -= ringSettleStep {
		now := at(left)
		view.Now = now.Unix
		council.SetView(now, view)
		records, _ := council.Due(now)
		for _, r := range records {
			g.machine.Apply(0, r)
			council.Learn(now, g.machine)
		}
	}
	g.note()
	g.w.after(ringLooks, rankTimer, g)
}

// members are the voters: in effect one, whose word on leases is that of all.
func (g *generations) members() []int { return []int{0} }

// note takes in that the present generation is another one.
func (g *generations) note() {
	all := ringassignment.NewAgent()
	all.Learn(g.machine)
	g.mark, g.allHave = all.Applied(), 0
}

// report has the council know that all who hold a lease have the present generation, as soon as they have
// told that.
func (g *generations) report() {
	w, have := g.w, true
	for _, a := range w.agents {
		l := a.life
		switch {
		case l == nil || l.ring == nil:
		case !g.cut(a) && l.pauses == 0:
			l.heard = w.now
			have = have && l.ring.Applied() == g.mark
		default: // its lease may hold
			have = have && (l.ring.Applied() == g.mark || w.now-l.heard > ringLeases)
		}
	}
	if g.allHave == 0 && have {
		g.allHave = w.now
	}
	if g.allHave > 0 && w.now-g.allHave >= ringTells {
		g.council.ReportReceived(0, g.mark)
	}
}

// seen is how a server of an agent's list is told the council.
func (g *generations) seen(s balancer.Server) ringassignment.Server {
	return ringassignment.Server{
		ID: s.ID, Zone: s.Zone, Kind: s.MachineKind, Ready: s.State == balancer.Ready,
		Draining: s.State == balancer.Draining, StartedAt: s.StartedAt, Capacity: g.sizes[s.MachineKind],
	}
}

// happen is a look for the next generation.
func (g *generations) happen() {
	w, now := g.w, g.w.reading()
	w.after(ringLooks, rankTimer, g)
	if !g.leads() {
		return
	}
	view := ringassignment.View{Now: now.Unix, FullyDrained: maintenance.FullyDrained(w.avoid, w.tenantNames())}
	for _, s := range g.leader.list.Endpoints() {
		view.Servers = append(view.Servers, g.seen(s))
	}
	g.council.SetView(now, view)
	g.report()
	records, _ := g.council.Due(now)
	for _, r := range records {
		next := *g.machine
		next.Apply(0, r)
		g.machine = &next
		g.council.Learn(now, g.machine)
		g.note()
		for _, a := range w.agents {
			wait := ringToldLeast + time.Duration(g.chance.Float64()*float64(ringToldMost-ringToldLeast))
			w.after(wait, rankArrival, &ringTold{agent: a, machine: g.machine})
		}
	}
}

// leads finds who leads now: the one that did, as long as it can.
func (g *generations) leads() bool {
	can := func(l *life) bool { return l != nil && !l.dead && l.pauses == 0 && !g.cut(l.agent) }
	if can(g.leader) {
		return true
	}
	for _, a := range g.w.agents[:min(ringVoters, len(g.w.agents))] {
		if can(a.life) {
			g.leader, g.council = a.life, ringassignment.NewProposer(g.figures, g.w.reading())
			g.council.SetMembers(g.w.reading(), g.members(), uint64(a.number)+2)
			g.council.Learn(g.w.reading(), g.machine)
			return true
		}
	}
	return false
}

// cut tells whether an agent hears nothing of the others: the zone that it is in is cut off.
func (g *generations) cut(a *agent) bool { return g.w.zoneCut[a.zone] > g.w.now }

// ringTold is when an agent learns of a generation, once it is not cut off.
type ringTold struct {
	agent   *agent
	machine *ringassignment.StateMachine
}

func (t *ringTold) happen() {
	w := t.agent.w
	if w.rings.cut(t.agent) {
		w.enter(w.zoneCut[t.agent.zone]+ringToldMost, rankArrival, t)
	} else if l := t.agent.life; l != nil && l.ring != nil {
		if l.pauses > 0 {
			w.after(ringLooks, rankArrival, t)
			return
		}
		l.ring.Learn(t.machine)
	}
}

// places has an agent go by the generation of this moment, before it is told of anything.
func (l *life) places() {
	if l.ring == nil {
		return
	}
	standing := lease.Full
	if l.w.rings.cut(l.agent) {
		standing = lease.Floor
	}
	if p := l.ring.Assignment(l.w.reading(), standing); p != l.placed {
		l.placed = p
		l.router.SetRingAssignment(p)
	}
}

// joinRing gives an agent that begins the present generation: it waits for that before it is ready.
func (l *life) joinRing() {
	if l.w.rings != nil {
		l.ring = ringassignment.NewAgent()
		l.ring.Learn(l.w.rings.machine)
	}
}
