package balancer

import "time"

// TenantStats counts a tenant's requests since the start. One that is under way, or whose client has left, is
// only among Requests.
type TenantStats struct {
	Tenant             string // or NoTenant
	Requests           uint64
	Served             uint64
	Rejected           uint64
	Failed             uint64
	ExclusionOverrides uint64 // attempts at servers in spite of an exclusion, since no other was left
}

// tenantCounter is a tenant's entry in exclusionState.
type tenantCounter struct {
	TenantStats
	loggedAt time.Duration // an override; zero: never
}

// TenantStats returns the counts of NoTenant first and then of the tenants as in the settings.
func (b *Balancer) TenantStats() []TenantStats {
	all := make([]TenantStats, len(b.exclusions.tenants))
	for i := range all {
		all[i] = b.exclusions.tenants[i].TenantStats
	}
	return all
}

// countRequest counts a new request and returns its tenant's number.
func (b *Balancer) countRequest(e *Request) int32 {
	n := b.exclusions.tenantNumbers[e.Tenant]
	b.exclusions.tenants[n].Requests++
	return int32(n)
}

// countDone counts a request whose client has got the answer of an attempt.
func (b *Balancer) countDone(r *request, o Outcome) {
	if o == Served {
		b.exclusions.tenants[r.tenant].Served++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
}

// countAnswer counts a request that ends without an attempt's answer.
func (b *Balancer) countAnswer(r *request, kind ActionKind) {
	if kind == Reject {
		b.exclusions.tenants[r.tenant].Rejected++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
}
