package balancer

// FleetSize has the numbers of live agents by which limits of the whole fleet are divided. In each field,
// zero means the number in the settings. The numbers come from gossip and may be wrong: see
// EffectiveFleetSize.
type FleetSize struct {
	// ProbeRequests divides the rate of probe requests that all agents together send to a server that is down.
	ProbeRequests int
	// Quotas divides the tenants' quotas. Each agent's part also depends on its part of all arrivals.
	Quotas int
}

// SetFleetSize sets the numbers of live agents from the next Step on. The zero value restores the settings'
// number.
//
// Even if the numbers are wrong at every agent, all agents together send at most 1.5 times the intended probe
// requests to a server that is down, and no tenant gets more than 1.5 times its quota. The load on servers in
// slow start does not depend on the number of agents.
func (b *Balancer) SetFleetSize(size FleetSize) {
	b.slowStart.Balancers = EffectiveFleetSize(size.ProbeRequests, b.settings.Balancers)
	b.slowStartSaturated.Balancers = b.slowStart.Balancers
	b.quotas.SetBalancers(EffectiveFleetSize(size.Quotas, b.settings.Balancers))
}

// EffectiveFleetSize returns the number of agents to divide a limit by. live is the number of agents reported
// live; zero or less: not known. named is the number in the settings. The result is live, but at least two
// thirds of named and at most named; if live is not known, it is named. Even with wrong numbers, the parts of
// all agents thus add up to at most 1.5 times the limit.
func EffectiveFleetSize(live, named int) int {
	if live <= 0 {
		return named
	}
	return min(max(live, (2*named+2)/3), named)
}
