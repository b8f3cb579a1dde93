package main

import (
	"context"
	"log/slog"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/fleet"
)

// presentEvery is how often it is looked how many agents are there.
const presentEvery = time.Second

// countPresent tells the module how many agents are there, until the process ends.
func (p *fleetMember) countPresent(actor *agent.FleetActor) {
	told := 0
	for range time.Tick(presentEvery) {
		here := 0 // where there is no answer in time: as many as the settings name
		ctx, cancel := context.WithTimeout(context.Background(), presentEvery)
		actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) { here = n.PresentAgents(now) })
		cancel()
		if here != told {
			told = here
			slog.Info("fleet: number of present agents changed", "there", here, "counted",
				balancer.EffectiveFleetSize(here, p.told.Settings.Balancers))
			p.hand.agent.SetFleetSize(p.counts(here))
		}
	}
}

// counts is what each part divides by that is to go by who is there.
func (p *fleetMember) counts(here int) (module balancer.FleetSize, storm int) {
	f := p.told.operator.Fleet
	if f.HereCold {
		module.ProbeRequests = here
	}
	if f.HereShares {
		module.Quotas = here
	}
	if f.HereStorm {
		storm = here
	}
	return module, storm
}
