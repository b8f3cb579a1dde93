package balancer

import "time"

// TenantStats are the counts of a tenant's requests since the start. Requests without a final answer, because
// they are in flight or their client disconnected, count only as Requests.
type TenantStats struct {
	Tenant             string // name, or NoTenant
	Requests           uint64
	Served             uint64
	Rejected           uint64
	Failed             uint64
	ExclusionOverrides uint64 // attempts that overrode an exclusion because no other server was available
}

// tenantCounter is a tenant's entry in exclusionState.
type tenantCounter struct {
	TenantStats
	overrideLoggedAt time.Duration // last log line about an override; zero: never
}

// TenantStats returns the counts of NoTenant, followed by those of the tenants in the order of the settings.
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

// countAttemptAnswer counts a request whose final answer is the result of an attempt.
func (b *Balancer) countAttemptAnswer(r *request, o Outcome) {
	if o == Served {
		b.exclusions.tenants[r.tenant].Served++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
}

// countRejectOrFail counts a request that the balancer itself answers with Reject or Fail.
func (b *Balancer) countRejectOrFail(r *request, kind ActionKind) {
	if kind == Reject {
		b.exclusions.tenants[r.tenant].Rejected++
	} else {
		b.exclusions.tenants[r.tenant].Failed++
	}
}
