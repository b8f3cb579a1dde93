package balancer

import (
	"math"
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
)

// A maintenance window that a fleet has agreed on keeps some tenants' keys away from some servers for a
// while.

// NoTenant stands for requests of none of the settings' tenants.
const NoTenant = "-"

// excludeAll is the rank limit that excludes all keys, also requests without a key.
const excludeAll = math.MaxUint32

// overrideLogInterval is the least time between two log lines about a tenant's overridden exclusions.
const overrideLogInterval = 10 * time.Second

// Exclusions says which of a tenant's keys are kept away from which servers. It must not be changed once
// given. Tenants and servers that are not known are ignored until they are.
type Exclusions struct {
	// Tenants by name, or NoTenant, and by server id: the keys whose KeyRank is below the number are excluded;
	// math.MaxUint32: all, also requests without a key.
	Tenants map[string]map[string]uint32
	// AllTenants tells which servers are closed to all tenants; nil: none. It is called once for each listed
	// server, and must always give the same answer.
	AllTenants func(server, zone string) bool
}

// KeyRank orders all keys at a server, from 0 to math.MaxUint32, by the hash of the key: uniformly, in the
// same order at every agent, and in another one at each server.
func KeyRank(hash uint32, server string) uint32 { return keyRank(hash, ring.Hash(server)) }

// keyRank mixes a key's and a server's hash, independently of keyFitsWeight.
func keyRank(key, server uint32) uint32 {
	x := uint64(key)<<32 | uint64(server)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return uint32((x ^ x>>31) >> 32)
}

// exclusionState is the exclusions in force and the tenants' numbers, by which servers store them.
type exclusionState struct {
	given         *Exclusions
	tenantNumbers map[string]int  // zero, as of all other names: NoTenant
	tenants       []tenantCounter // by number
	lastFound     int             // the member that hasServerLeft found last
}

func newExclusionState(tenants []Tenant) exclusionState {
	x := exclusionState{
		tenantNumbers: make(map[string]int, len(tenants)),
		tenants:       make([]tenantCounter, 1, len(tenants)+1),
	}
	x.tenants[0].Tenant = NoTenant
	for _, t := range tenants {
		if _, known := x.tenantNumbers[t.Name]; !known && t.Name != NoTenant {
			x.tenantNumbers[t.Name] = len(x.tenants)
			x.tenants = append(x.tenants, tenantCounter{TenantStats: TenantStats{Tenant: t.Name}})
		}
	}
	return x
}

// SetExclusions has the Balancer keep tenants' keys away from servers from the next Step on; nil: from none.
// Attempts that are under way go on. It holds for attempts of every kind: first ones, retries, hedged and
// probe requests. Only while a request has no other server that is listed and not known to be down,
// exclusions are overridden; that the others are busy or were tried is no reason.
func (b *Balancer) SetExclusions(x *Exclusions) {
	if x == b.exclusions.given {
		return
	}
	b.exclusions.given = x
	for _, s := range b.servers { // in any order: they are independent
		b.applyExclusions(s)
	}
}

// applyExclusions sets which keys are excluded from a server.
func (b *Balancer) applyExclusions(s *server) {
	x := b.exclusions.given
	s.excludedBelow = nil
	if x == nil {
		return
	}
	closed := x.AllTenants != nil && x.AllTenants(s.ID, s.Zone)
	for i := range b.exclusions.tenants {
		below := x.Tenants[b.exclusions.tenants[i].Tenant][s.ID]
		if closed {
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

// checkExclusions notes, before a server is selected, the hash by which exclusions apply to the request, and
// whether they are overridden.
func (b *Balancer) checkExclusions(r *request, hash uint32) {
	r.exclusionHash, r.ignoresExclusions = hash, false
	if b.exclusions.given != nil {
		r.ignoresExclusions = !b.hasServerLeft(r)
	}
}

// hasServerLeft reports whether a listed server that is not excluded is not known to be down, also where
// verdicts are distrusted. It looks first where it found one last.
func (b *Balancer) hasServerLeft(r *request) bool {
	members := b.ring.Members()
	for i := range members {
		at := i + b.exclusions.lastFound
		if at >= len(members) {
			at %= len(members)
		}
		s := members[at]
		if b.isListed(s) && !isExcluded(r, s) && b.detector.Verdict(s.outlier, r.class.index) != outlier.Ejected {
			b.exclusions.lastFound = at
			return true
		}
	}
	return false
}

// isExcluded reports whether the request must not go to the server.
func isExcluded(r *request, s *server) bool {
	return s.excludedBelow != nil && !r.ignoresExclusions && matchesExclusion(r, s)
}

// matchesExclusion reports whether an exclusion of the server applies to the request, overridden or not.
func matchesExclusion(r *request, s *server) bool {
	below := s.excludedBelow[r.tenant]
	return below == excludeAll || below > 0 && keyRank(r.exclusionHash, s.hash) < below
}

// countOverride counts and logs an attempt in spite of an exclusion.
func (b *Balancer) countOverride(r *request, s *server) {
	if !r.ignoresExclusions || s.excludedBelow == nil || !matchesExclusion(r, s) {
		return
	}
	t := &b.exclusions.tenants[r.tenant]
	t.ExclusionOverrides++
	if t.loggedAt == 0 || b.now-t.loggedAt >= overrideLogInterval {
		t.loggedAt = max(b.now, 1)
		b.logf("exclusion overridden: tenant %s sent to server %s, no other server is left", t.Tenant, s.ID)
	}
}
