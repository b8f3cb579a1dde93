package routing

import (
	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
)

// The optional interfaces of a Module that uses what a fleet has agreed on. overload.Controller implements
// all of them, a test's module may not.

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

// SetFleetPolicy makes the decision module apply the fleet's policy from the next input on;
// nil: only its settings.
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

// SetExclusions makes the decision module exclude endpoints for tenants' requests from the
// next input on; nil: none.
func (r *Router) SetExclusions(x *balancer.Exclusions) {
	if module, ok := r.module.(exclusionUser); ok {
		module.SetExclusions(x)
	}
}

// SetRingAssignment makes the decision module use an agreed ring assignment from the next input on; nil: only
// its own endpoint list.
func (r *Router) SetRingAssignment(a *balancer.RingAssignment) {
	if module, ok := r.module.(ringAssignmentUser); ok {
		module.SetRingAssignment(a)
	}
}

// TenantStats returns the statistics of the tenants' requests; nil: the decision module has none.
func (r *Router) TenantStats() []balancer.TenantStats {
	if module, ok := r.module.(exclusionUser); ok {
		return module.TenantStats()
	}
	return nil
}
