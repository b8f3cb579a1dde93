package routing

import (
	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
)

// What a fleet agrees on is passed on to the decision module, where that takes it: overload.Controller does,
// a test's module may not.

type fleetPolicyUser interface {
	ApplyFleetPolicy(quotas []float64, classes []balancer.RetryPolicy, maxFailedRatio float64)
}

type exclusionUser interface {
	SetExclusions(a *balancer.Exclusions)
	TenantStats() []balancer.TenantStats
}

type ringAssignmentUser interface {
	SetRingAssignment(p *balancer.RingAssignment)
}

// SetFleetPolicy has the decision module follow the fleet's policy, from the next input on; nil: its settings
// alone.
func (r *Router) SetFleetPolicy(e *policy.Effect) {
	module, ok := r.module.(fleetPolicyUser)
	if !ok {
		return
	}
	if e == nil {
		e = &policy.Effect{}
	}
	classes := make([]balancer.RetryPolicy, 0, len(e.Classes))
	for _, c := range e.Classes {
		classes = append(classes, balancer.RetryPolicy{
			MaxAttempts: c.MaxAttempts, Hedging: c.Hedging, MinAttemptInterval: c.MinAttemptInterval,
		})
	}
	module.ApplyFleetPolicy(e.Quota, classes, e.MaxFailedRatio)
}

// SetExclusions has the decision module keep tenants' keys away from endpoints, from the next input on; nil:
// from none.
func (r *Router) SetExclusions(x *balancer.Exclusions) {
	if module, ok := r.module.(exclusionUser); ok {
		module.SetExclusions(x)
	}
}

// SetRingAssignment has the decision module follow an agreed assignment of the ring, from the next input on;
// nil: its own list alone.
func (r *Router) SetRingAssignment(a *balancer.RingAssignment) {
	if module, ok := r.module.(ringAssignmentUser); ok {
		module.SetRingAssignment(a)
	}
}

// TenantStats returns how the tenants' requests have fared; nil: the decision module does not know.
func (r *Router) TenantStats() []balancer.TenantStats {
	if module, ok := r.module.(exclusionUser); ok {
		return module.TenantStats()
	}
	return nil
}
