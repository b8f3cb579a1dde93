package balancer

// FleetSize is how many agents are there, as far as is known, for what divides by their number; zero: as many
// as the settings name. It comes from what agents hear of one another, so it may be wrong, or a lie: see
// QuotaCounted.
type FleetSize struct {
	// ProbeRequests: the trials of a server that is down, of which all agents together make a certain number a second.
	ProbeRequests int
	// Quotas: the tenants' shares, of which each agent has a part by its part of all arrivals.
	Quotas int
}

// FleetSize has the Balancer divide by other numbers from the next Step on; the zero value takes that back.
//
// However wrong the numbers are at however many agents, all together make half as many trials again of a down
// server at the most: 0.75 a second for 0.5. The budget of a server that just started, and what a warm one
// sends it, do not go by any number of agents. Nor does a tenant get more than half its share again.
func (b *Balancer) SetFleetSize(p FleetSize) {
	b.slowStart.Balancers = EffectiveFleetSize(p.ProbeRequests, b.settings.Balancers)
	b.slowStartSaturated.Balancers = b.slowStart.Balancers
	b.quotas.SetBalancers(EffectiveFleetSize(p.Quotas, b.settings.Balancers))
}

// QuotaCounted is how many agents count of so many that the settings name, where so many are said to be there:
// two thirds of them at the least, and never more than there are. So a sum over all that are there is at most
// half as much again as where each divides by the number that the settings name.
func EffectiveFleetSize(there, named int) int {
	if there <= 0 {
		return named
	}
	return min(max(there, (2*named+2)/3), named)
}
