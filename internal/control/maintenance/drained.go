package maintenance

import (
	"math"

	"dunestep/internal/balancer"
)

// FullyDrained are the servers, by id, that all keys of all tenants and of NoTenant keep off, by one window
// or several together; nil: none. Tenants are those of the settings. Servers that are kept off for their turn
// are not among them: only an agent at policy.ModeBottom keeps off these.
func FullyDrained(exclusions *balancer.Exclusions, tenants []string) (all map[string]bool) {
	if exclusions == nil {
		return nil
	}
	for id, below := range exclusions.Tenants[NoTenant] {
		drained := below == math.MaxUint32
		for _, t := range tenants {
			drained = drained && exclusions.Tenants[t][id] == math.MaxUint32
		}
		if !drained {
			continue
		}
		if all == nil {
			all = map[string]bool{}
		}
		all[id] = true
	}
	return all
}
