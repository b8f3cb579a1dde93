package main

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/assignmentlog"
	"dunestep/internal/fleet"
)

// ringControl carries out agreed ring assignments at this agent. Only the fleet's actor accesses it, except
// for nextMeasurement.
type ringControl struct {
	adapter         *assignmentlog.Adapter
	isVoter         bool // as the leader, it proposes assignments from its own list
	meter           ringassignment.PaceMeter
	loggedPaces     map[string]uint16 // last logged paces in percent, by machine kind
	nextMeasurement time.Time         // of paces; accessed only by watchEndpoints
}

const (
	// voterListInterval is how often a voter's list is checked for changes. The next assignment must take
	// servers into account that appear and disappear within seconds.
	voterListInterval = 200 * time.Millisecond
	// paceInterval is how often the paces of machine kinds are measured.
	paceInterval = 10 * time.Second
)

// startRing enables agreed ring assignments, and returns their adapter.
func (f *fleetMember) startRing(n *fleet.Settings) *assignmentlog.Adapter {
	f.ring = &ringControl{isVoter: n.IsVoter(), adapter: assignmentlog.New(assignmentlog.Settings{
		IsVoter: n.IsVoter(), Incarnation: n.Incarnation, MachineNumber: ringMachine,
		Parameters: ringassignment.Parameters{
			Terms:     n.Terms,
			SlowStart: f.settings.slowStartParams(),
			UsePaces:  f.settings.operator.Fleet.BaselineLatencies,
		},
	}, agent.ReadClocks())}
	return f.ring.adapter
}

// updateRingView passes this agent's own list to the ring's adapter. The fleet's actor calls it.
func (f *fleetMember) updateRingView(n *fleet.Node, now fleet.ClockReading) {
	if f.ring == nil {
		return
	}
	active := f.policies.Active(now, n.Standing(now))
	f.ring.adapter.SetView(now, ringassignment.View{
		Now: now.Unix, Servers: ringServers(f.endpoints, active.Effect.Capacity),
		FullyDrained: f.fullyDrained(n, now),
	})
}

// fullyDrained returns the ids of the servers whose keys are now all moved away by maintenance windows.
func (f *fleetMember) fullyDrained(n *fleet.Node, now fleet.ClockReading) map[string]bool {
	if f.maintenance == nil {
		return nil
	}
	var tenants []string
	for _, t := range f.settings.Settings.Tenants {
		tenants = append(tenants, t.Name)
	}
	standing := n.Standing(now)
	exclusions := f.maintenance.adapter.Exclusions(now, standing, f.policies.Active(now, standing))
	return maintenance.FullyDrained(exclusions, tenants)
}

// reportPaces measures the paces of machine kinds every paceInterval, reports them to voters, and logs the
// agreed ones.
func (f *fleetMember) reportPaces(actor *agent.FleetActor) {
	if f.ring == nil || !f.settings.operator.Fleet.BaselineLatencies ||
		time.Now().Before(f.ring.nextMeasurement) {
		return
	}
	f.ring.nextMeasurement = time.Now().Add(paceInterval)
	ctx, cancel := context.WithTimeout(context.Background(), endpointListInterval)
	defer cancel()
	latencies := f.manual.agent.BaselineLatencies(ctx)
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		servers := ringServers(f.endpoints, f.policies.Active(now, n.Standing(now)).Effect.Capacity)
		f.ring.adapter.SetPaces(f.ring.meter.Measure(now.Mono, latencies, servers))
		f.ring.logPaces()
	})
}

// logPaces logs each change of an agreed pace once.
func (r *ringControl) logPaces() {
	agreed := map[string]uint16{}
	for _, pace := range r.adapter.State().Paces {
		agreed[pace.Kind] = pace.Percent
	}
	for kind, pace := range agreed {
		if r.loggedPaces[kind] != pace {
			slog.Info("fleet: agreed pace of a machine kind differs from its configured capacity", "kind", kind,
				"part", float64(pace)/percent)
		}
	}
	r.loggedPaces = agreed
}

// watchRing returns at the time until. At a voter, it passes changes of its own list to the ring's adapter
// meanwhile.
func (f *fleetMember) watchRing(actor *agent.FleetActor, until time.Time) {
	for time.Now().Add(voterListInterval).Before(until) {
		time.Sleep(voterListInterval)
		if f.ring != nil && f.ring.isVoter {
			f.updateChangedList(actor)
		}
	}
	time.Sleep(time.Until(until))
}

// updateChangedList reads this agent's list, and updates the ring's view if the list has changed.
func (f *fleetMember) updateChangedList(actor *agent.FleetActor) {
	ctx, cancel := context.WithTimeout(context.Background(), endpointListInterval)
	defer cancel()
	endpoints, known := f.manual.agent.Endpoints(ctx)
	if !known {
		return
	}
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if !slices.Equal(endpoints, f.endpoints) {
			f.endpoints = endpoints
			f.updateRingView(n, now)
		}
	})
}

// ringServers returns an endpoint list in the form from which assignments are computed.
func ringServers(endpoints []balancer.Server, c policy.Capacity) (servers []ringassignment.Server) {
	for _, s := range endpoints {
		servers = append(servers, ringassignment.Server{
			ID: s.ID, Zone: s.Zone, Kind: s.MachineKind, Ready: s.State == balancer.Ready,
			Draining: s.State == balancer.Draining, StartedAt: s.StartedAt, Capacity: c.Of(s.ID, s.MachineKind),
		})
	}
	return servers
}
