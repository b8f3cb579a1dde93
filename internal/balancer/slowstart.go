package balancer

import (
	"time"

	"dunestep/internal/balancer/slowstart"
)

// saturatedMargin multiplies a balancer's slow-start budget while the warm servers are saturated. Too few
// keys arrive to use the whole budget, and with the default SlowStartMargin the budgets of all balancers
// together overload no server as long as the fleet gets at most 1.25 times its warm capacity.
const saturatedMargin = 2.0

// SetWarmServersSaturated sets whether the warm servers are saturated, which the caller determines from the
// results of recent attempts. A sparse balancer has too few requests in flight to detect it. While it is set,
// servers in slow start that have capacity are preferred, since one more request to a warm server would
// likely fail.
func (b *Balancer) SetWarmServersSaturated(saturated bool) { b.warmServersSaturated = saturated }

// setSlowStartParams sets the slow-start parameters, and those that apply while warm servers are saturated.
func (b *Balancer) setSlowStartParams(params slowstart.Params) {
	b.slowStart, b.slowStartSaturated = params, params
	b.slowStartSaturated.Margin *= saturatedMargin
	b.slowStartSaturated.MaxWarmMultiple *= saturatedMargin
}

// slowStartParams returns the slow-start parameters that apply now. Under a ring assignment a server in slow
// start has few points, which bound the load from its own keys. The budget then only has to bound the
// requests that saturated servers pass on, so the larger one applies.
func (b *Balancer) slowStartParams() *slowstart.Params {
	if b.warmServersSaturated || b.activeAssignment != nil {
		return &b.slowStartSaturated
	}
	return &b.slowStart
}

// capacityFraction returns the fraction of its capacity that a server has at least, from 0 to 1, by the
// time since it started or recovered. Recovery after failed connections counts as a start even if the list
// does not show one, since the process was likely restarted.
func (b *Balancer) capacityFraction(s *server) float64 {
	return b.slowStart.CapacityFraction(b.now, b.startOf(s))
}

// startOf returns when the server started or recovered; zero: long ago.
func (b *Balancer) startOf(s *server) time.Duration { return max(s.recoveredAt, s.StartedAt) }

// hasSlowStartCapacity reports whether this balancer's slow-start budget for the server permits an attempt.
// The budget also pays for probe requests, except to an unreachable zone: those are limited for the zone as a
// whole.
func (b *Balancer) hasSlowStartCapacity(s *server, purpose attemptPurpose) bool {
	capacity, size, kind := b.capacityFraction(s), 1.0, slowstart.Regular
	if purpose == probeServer && !b.isZoneUnreachable(s) {
		kind = slowstart.Probes
	}
	if b.largestWeight > 0 {
		size = s.Weight / b.largestWeight
	}
	return capacity >= 1 && kind == slowstart.Regular ||
		s.slowStart.HasCapacity(b.slowStartParams(), b.now, capacity, b.sendRate/b.memberCount(), size, kind)
}

// relievesWarmServers reports whether the server is in slow start and takes requests from saturated warm
// servers even beyond its fair share. Its slow-start budget bounds its load already, and in a sparse fleet
// the fairness account would hold most balancers back for longer than slow start lasts. Servers in a zone
// that may be unreachable are left out.
func (b *Balancer) relievesWarmServers(s *server) bool {
	return b.warmServersSaturated && b.capacityFraction(s) < 1 && !b.zoneReach.IsDoubtful(s.Zone)
}

// searchesWarmingUp reports whether the server is warm and skipped in search of a server in slow start.
func (b *Balancer) searchesWarmingUp(s *server) bool {
	return b.warmServersSaturated && b.anyWarmingUp && b.capacityFraction(s) >= 1
}
