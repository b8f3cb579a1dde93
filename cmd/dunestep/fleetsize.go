package main

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/fleet"
)

// fleetSizeInterval is how often the number of present agents is looked at.
const fleetSizeInterval = time.Second

// watchFleetSize tells the agent how many agents are present, until the process ends.
func (f *fleetMember) watchFleetSize(actor *agent.FleetActor) {
	known := 0
	for range time.Tick(fleetSizeInterval) {
		present := 0 // where there is no answer in time: as many as the settings name
		ctx, cancel := context.WithTimeout(context.Background(), fleetSizeInterval)
		actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) { present = n.PresentAgents(now) })
		cancel()
		if present != known {
			known = present
			slog.Info("fleet: number of present agents changed", "there", present, "counted",
				balancer.EffectiveFleetSize(present, f.settings.Settings.Balancers))
			f.manual.agent.SetFleetSize(f.divideBy(present))
		}
	}
}

// divideBy returns the fleet's size for those parts of balancer and overload control that go by the present
// agents; zero: as many as the settings name.
func (f *fleetMember) divideBy(present int) (forBalancer balancer.FleetSize, forOverload int) {
	o := f.settings.operator.Fleet
	if o.LiveSizeForProbes {
		forBalancer.ProbeRequests = present
	}
	if o.LiveSizeForQuotas {
		forBalancer.Quotas = present
	}
	if o.LiveSizeForOverload {
		forOverload = present
	}
	return forBalancer, forOverload
}
