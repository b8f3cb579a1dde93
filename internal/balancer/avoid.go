package balancer

import (
	"math"
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
)

// Some tenants' keys keep off some servers for a while, as a fleet has agreed on that: a window in which
// staff have a server to themselves.

// NoTenant stands for the requests of none of the tenants of the settings.
const NoTenant = "-"

// Exclusions says which servers a tenant's keys keep off for a while, and which of the keys. It is not to be
// changed once given. Tenants and servers that are not known are passed over, until they are.
type Exclusions struct {
	// Tenants: by name, or NoTenant, and by the server's id the keys that keep off it: those whose KeyRank is below
	// this; math.MaxUint32: all, also where requests have no key.
	Tenants map[string]map[string]uint32
	// AllTenants tells which servers all tenants keep off altogether; nil: none. It is asked once for each server that
	// is listed, and has to answer the same each time.
	AllTenants func(server, zone string) bool
}

// TenantStats is how a tenant's requests have fared since the start. One that is under way, or whose client has
// left, is only among those asked.
type TenantStats struct {
	Tenant   string // or NoTenant
	Requests uint64
	Served   uint64
	// Rejected and Failed are those answered so.
	Rejected uint64
	Failed   uint64
	// ExclusionOverrides counts the attempts at servers that the request should have kept off, since none was left: serving
	// went first.
	ExclusionOverrides uint64
}

// KeyRank is where a key's place on the ring stands among all keys for a server, from 0 to math.MaxUint32: the
// same at every agent, uniform over the keys, and another order at each server.
func KeyRank(hash uint32, server string) uint32 { return keyRank(hash, ring.Hash(server)) }

// keyRank mixes a key's and a server's hash, so that it has nothing to do with the lots of fits.
func keyRank(key, server uint32) uint32 {
	x := uint64(key)<<32 | uint64(server)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return uint32((x ^ x>>31) >> 32)
}

// overrideLogInterval is how often it is logged that a tenant is sent where it should have kept off, at most.
const overrideLogInterval = 10 * time.Second

// A tenantCounter is what is counted of a tenant.
type tenantCounter struct {
	TenantStats
	loggedAt time.Duration // that serving went first; zero: never
}

// exclusionState is what is to be kept off, taken apart: each server has the tenants' thresholds by their numbers.
type exclusionState struct {
	given         *Exclusions
	tenantNumbers map[string]int  // tenants' numbers; zero: none of the settings'
	tenants       []tenantCounter // by their numbers
	lastFound     int             // the member that was found to be left last
}

func newExclusionState(tenants []Tenant) exclusionState {
	k := exclusionState{tenantNumbers: make(map[string]int, len(tenants)), tenants: make([]tenantCounter, 1, len(tenants)+1)}
	k.tenants[0].Tenant = NoTenant
	for _, t := range tenants {
		if _, twice := k.tenantNumbers[t.Name]; !twice && t.Name != NoTenant {
			k.tenantNumbers[t.Name] = len(k.tenants)
			k.tenants = append(k.tenants, tenantCounter{TenantStats: TenantStats{Tenant: t.Name}})
		}
	}
	return k
}

// Exclusions has the Balancer keep tenants' keys off servers, from the next Step on; nil: off none. What is under
// way there goes on. It holds for every way in which a request can be sent, first and further attempts,
// second copies, trials and tests. Only while a request has no server left that is listed, not known to be
// down, and not to be kept off, it is sent as if there were nothing to keep off: serving goes first. That
// the others are busy or were tried is no reason.
func (b *Balancer) SetExclusions(a *Exclusions) {
	if a == b.exclusions.given {
		return
	}
	b.exclusions.given = a
	for _, s := range b.servers { // in any order: each by itself
		b.applyExclusions(s)
	}
}

// applyExclusions sets which keys keep off a server.
func (b *Balancer) applyExclusions(s *server) {
	a := b.exclusions.given
	if s.excludedBelow = nil; a == nil {
		return
	}
	turned := a.AllTenants != nil && a.AllTenants(s.ID, s.Zone)
	for i := range b.exclusions.tenants {
		below := a.Tenants[b.exclusions.tenants[i].Tenant][s.ID]
		if turned {
			below = math.MaxUint32
		}
		if below > 0 && s.excludedBelow == nil {
			s.excludedBelow = make([]uint32, len(b.exclusions.tenants))
		}
		if below > 0 {
			s.excludedBelow[i] = below
		}
	}
}

// countRequest counts a request that came in, and finds its tenant's number.
func (b *Balancer) countRequest(e *Request) int32 {
	n := b.exclusions.tenantNumbers[e.Tenant]
	b.exclusions.tenants[n].Requests++
	return int32(n)
}

// billed is the tenant whose share a request counts against; empty: none's.
func (e *Request) quotaTenant() string {
	if e.QuotaCounted {
		return ""
	}
	return e.Tenant
}

// heed notes, before a request is sent anywhere, by which hash it keeps off servers, and whether serving goes
// first.
func (b *Balancer) checkExclusions(r *request, hash uint32) {
	r.exclusionHash, r.ignoresExclusions = hash, false
	if b.exclusions.given != nil {
		r.ignoresExclusions = !b.hasServerLeft(r)
	}
}

// hasServerLeft tells whether there is a server that the request need not keep off, and that is not known to be
// down, also where that is doubted: no tenant is left without a server for a doubt. Members are ready, or,
// where a list that names none proves nothing, were so last. It looks first where it found one last.
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

// open is the part of all requests that may go to a server. Guards against others that get no more than their
// part of what a server which a window has emptied would have.
func (b *Balancer) permittedFraction(s *server) float64 {
	open, asked := 0.0, 0.0
	for i := range b.exclusions.tenants {
		n := float64(b.exclusions.tenants[i].Requests)
		asked += n
		open += n * (1 - float64(s.excludedBelow[i])/math.MaxUint32)
	}
	return open / max(asked, 1)
}

// isExcluded tells whether a request has to keep off a server.
func isExcluded(r *request, s *server) bool {
	return s.excludedBelow != nil && !r.ignoresExclusions && matchesExclusion(r, s)
}

func matchesExclusion(r *request, s *server) bool {
	below := s.excludedBelow[r.tenant]
	return below == math.MaxUint32 || below > 0 && keyRank(r.exclusionHash, s.hash) < below
}

// countOverride counts and logs an attempt at a server that the request should have kept off.
func (b *Balancer) countOverride(r *request, s *server) {
	if !r.ignoresExclusions || s.excludedBelow == nil || !matchesExclusion(r, s) {
		return
	}
	t := &b.exclusions.tenants[r.tenant]
	t.ExclusionOverrides++
	if t.loggedAt == 0 || b.now-t.loggedAt >= overrideLogInterval {
		t.loggedAt = max(b.now, 1)
		b.logf("serving first: %s sent to %s, which it should keep off: none is left", t.Tenant, s.ID)
	}
}

// countEnd counts a request whose client has its answer, or is about to.
func (b *Balancer) countEnd(r *request, served bool) {
	if served {
		b.exclusions.tenants[r.tenant].Served++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
}

// answer gives the final answer, and counts it.
func (b *Balancer) sendFinalAnswer(r *request, a Action) {
	if a.Kind == Reject {
		b.exclusions.tenants[r.tenant].Rejected++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
	b.emit(a)
}

// TenantStats returns what was counted since the start, NoTenant first and then the tenants as in the settings.
func (b *Balancer) TenantStats() []TenantStats {
	all := make([]TenantStats, len(b.exclusions.tenants))
	for i := range all {
		all[i] = b.exclusions.tenants[i].TenantStats
	}
	return all
}
