package storm

import "dunestep/decide"

// SetExclusions has the module keep tenants' keys off servers, from the next Step on: see decide.Balancer. The gate
// lets in as many as before.
func (g *Gate) Avoid(a *decide.Exclusions) { g.module.SetExclusions(a) }

// SetRingAssignment has the module go by an agreed generation of the ring, from the next Step on: see decide.Balancer.
// The gate goes on reckoning with all servers of the list.
func (g *Gate) Place(p *decide.RingAssignment) { g.module.SetRingAssignment(p) }

// TenantStats is the module's, and with it the requests that the gate itself turned away.
func (g *Gate) Strain() []decide.TenantStats {
	all := g.module.TenantStats()
	for i := range all {
		n := g.turned[all[i].Tenant]
		all[i].Requests += n
		all[i].Rejected += n
	}
	return all
}

// noteTurned counts a request that is turned away here. Guards against tenants' names that clients invent.
func (g *Gate) noteTurned(tenant string) {
	if _, known := g.turned[tenant]; !known {
		tenant = decide.NoTenant
	}
	g.turned[tenant]++
}
