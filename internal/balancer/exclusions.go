package balancer

import (
	"math"
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
)

// Exclusions keep some tenants' keys away from some servers, as during a maintenance window that the fleet
// has agreed on.

// NoTenant is the tenant name for requests of none of the settings' tenants.
const NoTenant = "-"

// excludeAll is the rank limit that excludes all requests, including those without a key.
const excludeAll = math.MaxUint32

// overrideLogInterval is the minimum time between two log lines about a tenant's overridden exclusions.
const overrideLogInterval = 10 * time.Second

// Exclusions defines which of a tenant's keys are excluded from which servers. It must not be changed after
// SetExclusions. Unknown tenants and servers are ignored; a server's exclusions apply once it is listed.
type Exclusions struct {
	// Tenants maps a tenant's name, or NoTenant, and a server's id to a rank limit: keys whose KeyRank is below
	// it are excluded from the server. math.MaxUint32 excludes all requests, including those without a key.
	Tenants map[string]map[string]uint32
	// AllTenants reports whether all tenants are excluded from a server; nil: from none. It is called once for
	// each server that is listed and must always return the same result for it.
	AllTenants func(server, zone string) bool
}

// KeyRank returns the rank of a key, given by its hash, at a server: from 0 to math.MaxUint32, uniformly
// distributed, the same at every agent, and independent between servers.
func KeyRank(hash uint32, server string) uint32 { return keyRank(hash, ring.Hash(server)) }

// keyRank returns KeyRank by the hashes of the key and the server. It is independent of the rank that
// keyFitsWeight uses.
func keyRank(key, server uint32) uint32 {
	x := uint64(key)<<32 | uint64(server)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return uint32((x ^ x>>31) >> 32)
}

// exclusionState is the current exclusions, and the numbers of the tenants by which servers store them.
type exclusionState struct {
	current        *Exclusions
	tenantNumbers  map[string]int  // by name; zero, also for unknown names: NoTenant
	tenants        []tenantCounter // by number
	lastFoundIndex int             // index of the member that hasPermittedServer found last
}

func newExclusionState(tenants []Tenant) exclusionState {
	state := exclusionState{
		tenantNumbers: make(map[string]int, len(tenants)),
		tenants:       make([]tenantCounter, 1, len(tenants)+1),
	}
	state.tenants[0].Tenant = NoTenant
	for _, t := range tenants {
		if _, known := state.tenantNumbers[t.Name]; !known && t.Name != NoTenant {
			state.tenantNumbers[t.Name] = len(state.tenants)
			state.tenants = append(state.tenants, tenantCounter{TenantStats: TenantStats{Tenant: t.Name}})
		}
	}
	return state
}

// SetExclusions replaces the exclusions from the next Step on; nil removes them all. They apply to every kind
// of new attempt: first attempts, retries, hedged requests and probe requests. Attempts in flight continue.
// A request ignores its exclusions only if every listed server that it is not excluded from is known to be
// down. A server that is busy or was tried before does not count as down.
func (b *Balancer) SetExclusions(exclusions *Exclusions) {
	if exclusions == b.exclusions.current {
		return
	}
	b.exclusions.current = exclusions
	for _, s := range b.servers { // in any order: they are independent
		b.applyExclusions(s)
	}
}

// applyExclusions sets the server's excluded key ranks from the current exclusions.
func (b *Balancer) applyExclusions(s *server) {
	exclusions := b.exclusions.current
	s.excludedBelow = nil
	if exclusions == nil {
		return
	}
	excludesAllTenants := exclusions.AllTenants != nil && exclusions.AllTenants(s.ID, s.Zone)
	for i := range b.exclusions.tenants {
		below := exclusions.Tenants[b.exclusions.tenants[i].Tenant][s.ID]
		if excludesAllTenants {
			below = excludeAll
		}
		if below > 0 && s.excludedBelow == nil {
			s.excludedBelow = make([]uint32, len(b.exclusions.tenants))
		}
		if below > 0 {
			s.excludedBelow[i] = below
		}
	}
}

// checkExclusions prepares the request for selecting a server: it sets the hash by which exclusions apply,
// and whether they are overridden.
func (b *Balancer) checkExclusions(r *request, hash uint32) {
	r.exclusionHash, r.ignoresExclusions = hash, false
	if b.exclusions.current != nil {
		r.ignoresExclusions = !b.hasPermittedServer(r)
	}
}

// hasPermittedServer reports whether the exclusions permit the request at a listed server that is not known
// to be down. Verdicts count here even while they are distrusted. The search starts at the server found
// last.
func (b *Balancer) hasPermittedServer(r *request) bool {
	members := b.ring.Members()
	for i := range members {
		at := i + b.exclusions.lastFoundIndex
		if at >= len(members) {
			at %= len(members)
		}
		s := members[at]
		if b.isListed(s) && !isExcluded(r, s) && b.detector.Verdict(s.outlier, r.class.index) != outlier.Ejected {
			b.exclusions.lastFoundIndex = at
			return true
		}
	}
	return false
}

// isExcluded reports whether an exclusion that is not overridden keeps the request away from the server.
func isExcluded(r *request, s *server) bool {
	return s.excludedBelow != nil && !r.ignoresExclusions && matchesExclusion(r, s)
}

// matchesExclusion reports whether an exclusion of the server matches the request, overridden or not. The
// server must have exclusions.
func matchesExclusion(r *request, s *server) bool {
	below := s.excludedBelow[r.tenant]
	return below == excludeAll || below > 0 && keyRank(r.exclusionHash, s.hash) < below
}

// countOverride counts an attempt that overrides an exclusion, and logs it at most once in
// overrideLogInterval for each tenant.
func (b *Balancer) countOverride(r *request, s *server) {
	if !r.ignoresExclusions || s.excludedBelow == nil || !matchesExclusion(r, s) {
		return
	}
	t := &b.exclusions.tenants[r.tenant]
	t.ExclusionOverrides++
	if t.overrideLoggedAt == 0 || b.now-t.overrideLoggedAt >= overrideLogInterval {
		t.overrideLoggedAt = max(b.now, 1)
		b.logf("exclusion overridden: tenant %s sent to server %s, no other server is left", t.Tenant, s.ID)
	}
}
