package balancer

import "dunestep/internal/balancer/slowstart"

// While the warm servers are full, what is sent to one more of them is in vain, and a cold one with room
// likely serves it. In a fleet that is large enough for sparse() a balancer has nothing in flight by which
// it could see that: what stands before it tells it, by how the attempts of late ended.
const (
	// saturatedMargin is how many times its usual part of a cold server a balancer uses then: keys come by too
	// seldom to use it all, and at 0.8 of the fall multiple all parts together make none fall as long as the
	// fleet is sent no more than 1.25 times what it can do once warm.
	saturatedMargin = 2.0
	// saturatedScan is how many warm owners with room are passed over in search of a cold one.
	saturatedScan = 3
)

// SetWarmServersSaturated says whether the servers that are warm are full, as far as what stands before the module can tell.
func (b *Balancer) SetWarmServersSaturated(on bool) { b.warmSaturated = on }

// terms are what this balancer may send cold servers. Where points are agreed on, a cold one has few: they
// bound what all balancers send it together, and the budget only what others pass on.
func (b *Balancer) slowStartTerms() *slowstart.Params {
	if b.warmSaturated || b.activeAssignment != nil {
		return &b.slowStartSaturated
	}
	return &b.slowStart
}

// setSlowStartTerms takes the terms in for both times.
func (b *Balancer) setSlowStartTerms(t slowstart.Params) {
	b.slowStart, b.slowStartSaturated = t, t
	b.slowStartSaturated.Margin *= saturatedMargin
	b.slowStartSaturated.MaxOfWarm *= saturatedMargin
}

// relieves tells whether a cold server takes a request from warm ones that are full, whatever its account
// says: its budget bounds it already, and its account holds most balancers of a sparse fleet back for longer
// than it is cold. One of a zone that was not heard last is no relief.
func (b *Balancer) relievesWarmServers(s *server) bool {
	return b.warmSaturated && b.warmth(s) < 1 && !b.zoneReach.IsDoubtful(s.Zone)
}

// searches tells whether a warm server that would do is passed over, in search of a cold one with room.
func (b *Balancer) searchesWarmingUp(s *server) bool {
	return b.warmSaturated && b.anyWarmingUp && b.warmth(s) >= 1
}
