package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// FaultKind is the reason for which a window is paused, or returned early.
type FaultKind uint8

const (
	// NoFault means that the window may proceed.
	NoFault FaultKind = iota
	// FleetOverloaded means that too many agents shed load.
	FleetOverloaded
	// TenantUnderserved means that a smaller fraction of a tenant's requests is served than its contract
	// requires.
	TenantUnderserved
	// CapacityTooLow means that less capacity remains for a tenant than its contract requires.
	CapacityTooLow
	// ExclusionsOverridden means that requests were sent to the window's servers because no other server was
	// available.
	ExclusionsOverridden
	// ContractMissing means that a tenant no longer has a contract.
	ContractMissing
	// ContractForbids means that a tenant's contract no longer allows the rest of the window.
	ContractForbids
)

// Fault is a reason to pause or return a window; its zero value means that there is none.
type Fault struct {
	Kind   FaultKind
	Tenant string // affected tenant; empty: the fault is not specific to a tenant
}

// String returns the reason that is stored in records and shown to operators.
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

// capacityTolerance is the relative rounding error allowed in sums of capacities.
const capacityTolerance = 1e-9

// contractFault returns a fault if a tenant's contract is missing or no longer allows the rest of a window.
// It returns no fault at a leader that does not know the contracts in force.
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

// observe records whether a window in progress has a fault, and since when.
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

// findFault returns the fault of a window in progress, based on the agents' reports and the leader's view.
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

// areExclusionsOverridden reports whether any agent reported, within SumPeriod, requests of the window's
// tenants that were sent to servers that they should have kept off.
func (p *Proposer) areExclusionsOverridden(w *storedWindow) bool {
	return slices.ContainsFunc(w.Tenants, func(tenant string) bool {
		return p.reports.sum(tenant).ExclusionOverrides > 0
	})
}

// sumCapacity returns the total capacity of servers, including absent ones.
func sumCapacity(servers []Server) (sum float64) {
	for _, s := range servers {
		sum += s.Capacity
	}
	return sum
}

// remainingCapacity returns the capacity that a tenant has left: that of the servers that are not absent and
// that no window moves the tenant off.
func (p *Proposer) remainingCapacity(at time.Duration, v LeaderView, tenant string) (sum float64) {
	excluded := map[string]bool{}
	for _, w := range p.windows {
		if !w.isOver() && w.plannedSteps(at) > 0 && slices.Contains(w.Tenants, tenant) {
			for _, id := range w.Nodes {
				excluded[id] = true
			}
		}
	}
	for _, s := range v.Servers {
		if !excluded[s.ID] && !s.Absent {
			sum += s.Capacity
		}
	}
	return sum
}
