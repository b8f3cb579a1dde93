package maintenance

import (
	"math"

	"dunestep/internal/balancer"
)

// FullyDrained are the servers that all tenants' keys keep off altogether, with NoTenant's, by one window or several
// together, by id; nil: none. TenantLoads are those of the settings. What is kept off for its turn is not among
// them: only an agent at the bottom does that.
func FullyDrained(a *balancer.Exclusions, tenants []string) (all map[string]bool) {
	if a == nil {
		return nil
	}
	for id, below := range a.Tenants[NoTenant] {
		whole := below == math.MaxUint32
		for _, t := range tenants {
			whole = whole && a.Tenants[t][id] == math.MaxUint32
		}
		if whole && all == nil {
			all = map[string]bool{}
		}
		if whole {
			all[id] = true
		}
	}
	return all
}
