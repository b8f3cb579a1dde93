package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// FaultKind is why a window is paused, or returns before its time.
type FaultKind uint8

const (
	// NoFault means that the window may go on.
	NoFault FaultKind = iota
	// FleetOverloaded means that too many agents shed load.
	FleetOverloaded
	// TenantUnderserved means that fewer of a tenant's requests are served than its contract demands.
	TenantUnderserved
	// CapacityTooLow means that less capacity is left for a tenant than its contract keeps.
	CapacityTooLow
	// ExclusionsOverridden means that requests were sent to the window's servers, as no other server was left.
	ExclusionsOverridden
	// ContractMissing means that a tenant has no contract any more.
	ContractMissing
	// ContractForbids means that a tenant's contract does not allow the rest of the window any more.
	ContractForbids
)

// Fault is what is wrong with a window.
type Fault struct {
	Kind   FaultKind
	Tenant string // empty: not about a tenant
}

// String is the reason that records and operators get.
func (f Fault) String() string {
	switch f.Kind {
	case FleetOverloaded:
		return "the fleet is overloaded"
	case TenantUnderserved:
		return "tenant " + f.Tenant + " is served less than its contract keeps"
	case CapacityTooLow:
		return "less capacity remains for tenant " + f.Tenant + " than its contract keeps"
	case ExclusionsOverridden:
		return "requests were sent there, as no other server was left"
	case ContractMissing:
		return "tenant " + f.Tenant + " has no contract any more"
	case ContractForbids:
		return "the contract of tenant " + f.Tenant + " does not allow it any more"
	}
	return ""
}

// capacityTolerance is by which fraction sums of capacities may be off, for rounding.
const capacityTolerance = 1e-9

// contractFault tells whether a contract does not allow the rest of a window any more. A leader that does not
// know the contracts in force says nothing.
func contractFault(at time.Duration, v LeaderView, w *storedWindow) Fault {
	switch {
	case v.Standing != lease.Full || v.Active.Mode == policy.ModeBottom || v.Active.Version < w.PolicyVersion:
		return Fault{}
	case v.Active.Effect == nil || v.Active.Mode == policy.ModeFloor && v.Active.Effect.Contracts == nil:
		return Fault{}
	}
	at = max(at, w.From)
	for _, tenant := range w.Tenants {
		c := v.Active.Effect.Contracts[tenant]
		if c == nil {
			return Fault{ContractMissing, tenant}
		}
		if _, to, ok := c.RunAt(at); at < w.To && (!ok || to < w.To) {
			return Fault{ContractForbids, tenant}
		}
	}
	return Fault{}
}

// observe notes whether a window that is in progress has a fault, and since when.
func (p *Proposer) observe(now lease.ClockReading, v LeaderView, w *storedWindow, progress *windowProgress) {
	before := progress.fault.Kind
	progress.fault = p.findFault(now, v, w)
	switch healthy := progress.fault.Kind == NoFault; {
	case !healthy && before == NoFault:
		progress.faultSince = now
	case healthy && (before != NoFault || progress.healthySince == (lease.ClockReading{})):
		progress.healthySince = now
	}
}

// findFault is the fault of a window that is in progress, by what agents have reported and this process sees.
func (p *Proposer) findFault(now lease.ClockReading, v LeaderView, w *storedWindow) Fault {
	if p.areExclusionsOverridden(w) {
		return Fault{Kind: ExclusionsOverridden}
	}
	if p.reports.isOverloaded() {
		return Fault{Kind: FleetOverloaded}
	}
	for _, tenant := range w.Tenants {
		var minServed, keptCapacity float64
		if v.Active.Effect != nil && v.Active.Effect.Contracts[tenant] != nil {
			minServed = v.Active.Effect.Contracts[tenant].MinServed()
			keptCapacity = v.Active.Effect.Contracts[tenant].KeptCapacity()
		}
		if p.reports.sum(tenant).isServedBelow(minServed) {
			return Fault{TenantUnderserved, tenant}
		}
		if p.remainingCapacity(now.Unix, v, tenant) < keptCapacity*p.totalCapacity*(1-capacityTolerance) {
			return Fault{CapacityTooLow, tenant}
		}
	}
	return Fault{}
}

// areExclusionsOverridden tells whether requests of the window's tenants were lately sent to servers that
// they should have kept off.
func (p *Proposer) areExclusionsOverridden(w *storedWindow) bool {
	return slices.ContainsFunc(w.Tenants, func(tenant string) bool {
		return p.reports.sum(tenant).ExclusionOverrides > 0
	})
}

// sumCapacity is the capacity of servers, absent ones too.
func sumCapacity(servers []Server) (sum float64) {
	for _, s := range servers {
		sum += s.Capacity
	}
	return sum
}

// remainingCapacity is the capacity that a tenant has left, without servers that windows hold.
func (p *Proposer) remainingCapacity(at time.Duration, v LeaderView, tenant string) (sum float64) {
	held := map[string]bool{}
	for _, w := range p.windows {
		if !w.isOver() && w.plannedSteps(at) > 0 && slices.Contains(w.Tenants, tenant) {
			for _, id := range w.Nodes {
				held[id] = true
			}
		}
	}
	for _, s := range v.Servers {
		if !held[s.ID] && !s.Absent {
			sum += s.Capacity
		}
	}
	return sum
}
