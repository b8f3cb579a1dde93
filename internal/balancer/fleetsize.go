package balancer

// FleetSize is how many agents are live, as far as is known, for what is divided by their number; zero: as
// many as the settings name. It comes from gossip, so it may be wrong: see EffectiveFleetSize.
type FleetSize struct {
	// ProbeRequests divides the probe requests to a server that is down, of which all agents together make a
	// certain number a second.
	ProbeRequests int
	// Quotas divides the tenants' quotas, of which each agent has a part by its part of all arrivals.
	Quotas int
}

// SetFleetSize has the Balancer divide by other numbers from the next Step on; the zero value takes that
// back.
//
// However wrong the numbers are, and at however many agents, all together make at most half as many probe
// requests again to a server that is down, and no tenant gets more than half its quota again. What servers in
// slow start get does not depend on the number of agents.
func (b *Balancer) SetFleetSize(size FleetSize) {
	b.slowStart.Balancers = EffectiveFleetSize(size.ProbeRequests, b.settings.Balancers)
	b.slowStartSaturated.Balancers = b.slowStart.Balancers
	b.quotas.SetBalancers(EffectiveFleetSize(size.Quotas, b.settings.Balancers))
}

// EffectiveFleetSize is the number of agents to divide by where the settings name so many and so many are
// said to be live: at least two thirds of the named, at most all of them. A sum over all live agents is so at
// most half as much again as where each divides by the number that the settings name.
func EffectiveFleetSize(live, named int) int {
	if live <= 0 {
		return named
	}
	return min(max(live, (2*named+2)/3), named)
}
