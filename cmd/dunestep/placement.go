package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment"
	placementseat "dunestep/internal/control/ringassignment/assignmentlog"
	"dunestep/internal/fleet"
)

// ringControl is what this agent has for generations of the ring; nil: each agent places by its own list.
type ringControl struct {
	seat  *placementseat.Adapter
	votes bool // it may lead, and make generations by its own list
	gauge ringassignment.PaceMeter
	paces map[string]uint16 // that were last seen to be agreed, by kind
	looks time.Time         // when kinds are measured next
}

// ringEvery is how often a voter's list is looked at for what has changed: servers that come and go within
// seconds are to be in the next generation, or to be held off.
const ringEvery = 200 * time.Millisecond

// sitPlaces has generations of the ring hold here.
func (p *fleetMember) sitPlaces(n *fleet.Settings) *placementseat.Adapter {
	p.places = &ringControl{votes: n.IsVoter(), seat: placementseat.New(placementseat.Settings{
		IsVoter:       n.IsVoter(),
		Incarnation:   n.Incarnation,
		MachineNumber: placementMachine,
		Parameters: ringassignment.Parameters{
			Terms: n.Terms, SlowStart: p.told.cold(),
			UsePaces: p.told.operator.Fleet.Paces,
		},
	}, agent.ReadClocks())}
	return p.places.seat
}

// cold is what the settings let cold servers have, as the module goes by it.
func (s settings) cold() slowstart.Params {
	rules, f := s.Settings.Rules, balancer.DefaultTuning()
	return slowstart.Params{
		InitialCapacity: rules.SlowStartCapacity, Duration: rules.SlowStartDuration, OverloadMultiple: rules.OverloadMultiple,
		OverloadWindow: rules.OverloadWindow, Margin: f.SlowStartMargin, MaxOfWarm: f.SlowStartMax, Balancers: s.Settings.Balancers,
	}
}

// ringStatus is what staff see of the ring's generation.
type ringStatus struct {
	Generation uint64    `json:"generation"`
	By         time.Time `json:"by,omitzero"`
	Off        bool      `json:"off,omitempty"` // agents place by their own lists for now
	Acting     uint64    `json:"acting"`        // the generation that this agent places by; 0: none
	// Paces are how quick kinds of servers are agreed to be measured, 1: as their capacity says; those that
	// are 1 are left out. Tell is how many agents have told this voter of late what they measure.
	Paces   map[string]float64 `json:"paces,omitempty"`
	Tell    int                `json:"tell,omitempty"`
	Servers []ringServer       `json:"servers"`
}

type ringServer struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Points int    `json:"points"` // on the ring
}

// ringStatus is the present one; nil: placement is off.
func (p *fleetMember) ringStatus(n *fleet.Node, now fleet.ClockReading) *ringStatus {
	if p.places == nil {
		return nil
	}
	st := p.places.seat.State()
	out := &ringStatus{Generation: st.Number, By: unixTime(st.EffectiveAt), Off: st.Suspended, Servers: []ringServer{}}
	if placed := p.places.seat.Assignment(now, n.Standing(now)); placed != nil {
		out.Acting = placed.Generation
	}
	out.Tell = p.places.seat.PaceReporters(now)
	for _, pace := range st.Paces {
		if out.Paces == nil {
			out.Paces = map[string]float64{}
		}
		out.Paces[pace.Kind] = float64(pace.Percent) / 100
	}
	for i := range st.Members {
		one := &st.Members[i]
		out.Servers = append(out.Servers, ringServer{one.ID, one.Phase.String(), one.OnRing()})
	}
	return out
}

func (r *ringStatus) write(w io.Writer) {
	if r == nil {
		return
	}
	acting := "this agent places by its own list"
	if r.Acting > 0 {
		acting = fmt.Sprintf("this agent places by %d", r.Acting)
	}
	fmt.Fprintf(w, "ring\tgeneration %d\t%s\n", r.Generation, acting)
	for _, kind := range slices.Sorted(maps.Keys(r.Paces)) {
		fmt.Fprintf(w, "  kind %s\tmeasured %.2f of its capacity\n", kind, r.Paces[kind])
	}
	for _, s := range r.Servers {
		fmt.Fprintf(w, "  %s\t%s\t%d points\n", s.ID, s.Phase, s.Points)
	}
}

// see tells the placement's seat this agent's own list.
func (p *fleetMember) see(n *fleet.Node, now fleet.ClockReading) {
	if p.places != nil {
		acting := p.seat.Active(now, n.Standing(now))
		p.places.seat.SetView(now, ringassignment.View{
			Now: now.Unix, Servers: seen(p.servers, acting.Effect.Capacity),
			FullyDrained: p.emptied(n, now),
		})
	}
}

// emptied are the servers that windows keep all keys off now.
func (p *fleetMember) emptied(n *fleet.Node, now fleet.ClockReading) map[string]bool {
	if p.windows == nil {
		return nil
	}
	standing := n.Standing(now)
	var tenants []string
	for _, t := range p.told.Settings.Tenants {
		tenants = append(tenants, t.Name)
	}
	return maintenance.FullyDrained(p.windows.seat.Exclusions(now, standing, p.seat.Active(now, standing)), tenants)
}

// gaugeEvery is how often it is looked at how quick kinds of servers are.
const gaugeEvery = 10 * time.Second

// tellPaces measures how quick the kinds of servers are, for voters, and writes to the log what is agreed on.
func (p *fleetMember) tellPaces(actor *agent.FleetActor) {
	if p.places == nil || !p.told.operator.Fleet.Paces || time.Now().Before(p.places.looks) {
		return
	}
	p.places.looks = time.Now().Add(gaugeEvery)
	ctx, cancel := context.WithTimeout(context.Background(), watchEvery)
	defer cancel()
	quicks := p.hand.agent.BaselineLatencies(ctx)
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		list := seen(p.servers, p.seat.Active(now, n.Standing(now)).Effect.Capacity)
		p.places.seat.SetPaces(p.places.gauge.Measure(now.Mono, quicks, list))
		p.places.noteAgreed()
	})
}

// noteAgreed writes to the log which paces are agreed on, each change once.
func (p *ringControl) noteAgreed() {
	agreed := map[string]uint16{}
	for _, pace := range p.seat.State().Paces {
		agreed[pace.Kind] = pace.Percent
	}
	for kind, per := range agreed {
		if p.paces[kind] != per {
			slog.Info("fleet: agreed pace of a machine kind differs from its configured capacity", "kind", kind,
				"part", float64(per)/100)
		}
	}
	p.paces = agreed
}

// lookAtRing tells the seat of a voter what has changed on its list, until a time.
func (p *fleetMember) lookAtRing(actor *agent.FleetActor, until time.Time) {
	for time.Now().Add(ringEvery).Before(until) {
		time.Sleep(ringEvery)
		if p.places != nil && p.places.votes {
			p.lookForChange(actor)
		}
	}
	time.Sleep(time.Until(until))
}

func (p *fleetMember) lookForChange(actor *agent.FleetActor) {
	ctx, cancel := context.WithTimeout(context.Background(), watchEvery)
	defer cancel()
	servers, known := p.hand.agent.Endpoints(ctx)
	if !known {
		return
	}
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if !slices.Equal(servers, p.servers) {
			p.servers = servers
			p.see(n, now)
		}
	})
}

// seen is this agent's own list, as a leader makes generations of it.
func seen(servers []balancer.Server, c policy.Capacity) (all []ringassignment.Server) {
	for _, s := range servers {
		all = append(all, ringassignment.Server{
			ID: s.ID, Zone: s.Zone, Kind: s.MachineKind, Ready: s.State == balancer.Ready,
			Draining: s.State == balancer.Draining, StartedAt: s.StartedAt, Capacity: c.Of(s.ID, s.MachineKind),
		})
	}
	return all
}
