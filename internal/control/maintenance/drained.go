package maintenance

import (
	"math"

	"dunestep/internal/balancer"
)

// FullyDrained returns the ids of the servers that all keys of all tenants and of NoTenant are kept off, by
// one window or by several together; nil if there are none. The tenants are those of the settings. It does
// not include servers that are excluded because it is their turn: only an agent at policy.ModeBottom excludes
// those.
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
