package overload

import "dunestep/internal/balancer"

// SetExclusions has the module keep tenants' keys off servers, from the next Step on: see balancer.Balancer. The gate
// lets in as many as before.
func (g *Controller) SetExclusions(a *balancer.Exclusions) { g.balancer.SetExclusions(a) }

// SetRingAssignment has the module go by an agreed generation of the ring, from the next Step on: see balancer.Balancer.
// The gate goes on reckoning with all servers of the list.
func (g *Controller) SetRingAssignment(p *balancer.RingAssignment) { g.balancer.SetRingAssignment(p) }

// TenantStats is the module's, and with it the requests that the gate itself turned away.
func (g *Controller) TenantStats() []balancer.TenantStats {
	all := g.balancer.TenantStats()
	for i := range all {
		n := g.rejected[all[i].Tenant]
		all[i].Requests += n
		all[i].Rejected += n
	}
	return all
}

// countRejected counts a request that is turned away here. Guards against tenants' names that clients invent.
func (g *Controller) countRejected(tenant string) {
	if _, known := g.rejected[tenant]; !known {
		tenant = balancer.NoTenant
	}
	g.rejected[tenant]++
}
