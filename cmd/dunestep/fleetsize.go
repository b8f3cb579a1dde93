package main

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/fleet"
)

// fleetSizeInterval is how often the number of present agents is polled.
const fleetSizeInterval = time.Second

// watchFleetSize passes the number of present agents to the agent whenever it changes. It does not return.
func (f *fleetMember) watchFleetSize(actor *agent.FleetActor) {
	known := 0
	for range time.Tick(fleetSizeInterval) {
		present := 0 // if the actor does not answer in time: the settings' number applies
		ctx, cancel := context.WithTimeout(context.Background(), fleetSizeInterval)
		actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) { present = n.PresentAgents(now) })
		cancel()
		if present != known {
			known = present
			slog.Info("fleet: number of present agents changed", "there", present, "counted",
				balancer.EffectiveFleetSize(present, f.settings.Settings.Balancers))
			f.manual.agent.SetFleetSize(f.effectiveSizes(present))
		}
	}
}

// effectiveSizes returns the fleet sizes for the parts of balancer and overload control that use the number
// of present agents. Zero means that the settings' number applies.
func (f *fleetMember) effectiveSizes(present int) (forBalancer balancer.FleetSize, forOverload int) {
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
