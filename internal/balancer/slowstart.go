package balancer

import "dunestep/internal/balancer/slowstart"

// saturatedMargin multiplies a balancer's part of a server in slow start while the warm servers are
// saturated. Keys come too seldom to use it all, and at the default margin all parts together overload no
// server as long as the fleet is sent no more than 1.25 times its warm capacity.
const saturatedMargin = 2.0

// SetWarmServersSaturated says whether the warm servers are saturated, as far as the caller can tell by how
// recent attempts ended: a sparse balancer has too little in flight to see it. One more request to a warm
// server is then in vain, while one in slow start with capacity likely serves it.
func (b *Balancer) SetWarmServersSaturated(saturated bool) { b.warmSaturated = saturated }

// setSlowStartTerms sets the terms for both cases.
func (b *Balancer) setSlowStartTerms(t slowstart.Params) {
	b.slowStart, b.slowStartSaturated = t, t
	b.slowStartSaturated.Margin *= saturatedMargin
	b.slowStartSaturated.MaxOfWarm *= saturatedMargin
}

// slowStartTerms are what this balancer may send servers in slow start now. Under a ring assignment such a
// server has few points: they bound what all balancers send it, and the budget only what others pass on.
func (b *Balancer) slowStartTerms() *slowstart.Params {
	if b.warmSaturated || b.activeAssignment != nil {
		return &b.slowStartSaturated
	}
	return &b.slowStart
}

// warmth is the fraction of its capacity that a server has at least, since its listed start or its return
// after connections to it failed: a process that was gone likely comes back cold, whatever the list says.
func (b *Balancer) warmth(s *server) float64 {
	return b.slowStart.CapacityFraction(b.now, max(s.recoveredAt, s.StartedAt))
}

// hasSlowStartCapacity reports whether an attempt keeps to this balancer's part of the server's slow-start
// budget, which also pays for probe requests. Those to a zone that is cut off are counted by the zone.
func (b *Balancer) hasSlowStartCapacity(s *server, purpose attemptPurpose) bool {
	warmth, size, kind := b.warmth(s), 1.0, slowstart.Regular
	if purpose == probeServer && !b.isZoneCutOff(s) {
		kind = slowstart.Probes
	}
	if b.largestWeight > 0 {
		size = s.Weight / b.largestWeight
	}
	return warmth >= 1 && kind == slowstart.Regular ||
		s.slowStart.HasCapacity(b.slowStartTerms(), b.now, warmth, b.sendRate/b.memberCount(), size, kind)
}

// relievesWarmServers reports whether a server in slow start takes requests from saturated warm ones,
// whatever its fairness account says: its budget bounds it already, and the account would hold most balancers
// of a sparse fleet back for longer than the slow start lasts. One whose zone may be unreachable is no
// relief.
func (b *Balancer) relievesWarmServers(s *server) bool {
	return b.warmSaturated && b.warmth(s) < 1 && !b.zoneReach.IsDoubtful(s.Zone)
}

// searchesWarmingUp reports whether a warm server is skipped in search of one in slow start.
func (b *Balancer) searchesWarmingUp(s *server) bool {
	return b.warmSaturated && b.anyWarmingUp && b.warmth(s) >= 1
}
