package balancer

import (
	"cmp"
	"math"
)

const (
	// homeZoneFraction of the objective: below this expected latency the zone's own owner of a key gets it.
	homeZoneFraction = 0.12
	// maxSaturatedScan is how many saturated owners of a key are looked at, by their scanWeight, before the
	// fastest of them is taken.
	maxSaturatedScan = 3
	// maxWarmScan is how many warm owners with capacity are skipped, while warm servers are saturated, in search
	// of one in slow start.
	maxWarmScan = 3
	// probeTestFraction of the requests for which all probes failed are sent nevertheless, to test the probes.
	probeTestFraction = 0.1
	// baselineRelaxation lowers the baseline where it alone keeps every request from being sent.
	baselineRelaxation = 0.9
)

// selection is the search for one request's server: what was found on the walk round the ring.
type selection struct {
	request      *request
	hash         uint32  // where the walk starts
	latencyLimit float64 // seconds; a server where more is expected gets nothing
	sparse       bool    // see IsSparse

	// Servers that would do if nothing better is found, in the order in which they are fallen back on.
	warm          *server // has capacity, but one in slow start was searched for
	overFairShare *server // has capacity, but has had its fair share; the one with most credit
	rejecting     *server // has been rejecting requests
	fastest       *server // saturated; the one with the lowest expected latency
	suspect       *server // may be failing
	unresponsive  *server // its probes fail

	overFairShareCredit float64
	fastestLatency      float64 // seconds
	saturatedScan       float64 // sum of the saturated owners' scanWeight
	warmScan            int     // warm owners with capacity that were skipped
}

// selectServer returns the server that gets the request now: the first one clockwise from its key that may,
// can and should have it, or nil. Each step looks for a server of one kind.
func (b *Balancer) selectServer(r *request) *server {
	sel := selection{request: r, hash: b.startOfWalk(r), fastestLatency: math.Inf(1)}
	b.checkExclusions(r, sel.hash)
	r.hedgedProbe = nil
	sel.latencyLimit, sel.sparse = b.latencyLimit(r), b.IsSparse()
	if s := b.selectOutsideRing(&sel, reliefOnly); s != nil {
		return s
	}
	if s := b.selectInHomeZone(&sel); s != nil {
		return s
	}
	if s := b.selectOnRing(&sel); s != nil {
		return s
	}
	if s := cmp.Or(sel.warm, sel.overFairShare); s != nil {
		return s
	}
	if s := b.selectOutsideRing(&sel, anyCapacity); s != nil {
		return s
	}
	if s := b.selectFallback(&sel); s != nil {
		return s
	}
	if b.baseline.seconds > r.class.latencyLimit {
		// A fleet that looks too slow for any request would never be tried again.
		b.baseline.seconds *= baselineRelaxation
	}
	return nil
}

// startOfWalk returns the key's place on the ring, or without a key the less loaded of two random places.
func (b *Balancer) startOfWalk(r *request) uint32 {
	if r.hasKey || len(b.ring.Members()) == 0 {
		return r.hash
	}
	hash := b.rng.Uint32()
	if other := b.rng.Uint32(); b.ring.Owner(other).inFlight < b.ring.Owner(hash).inFlight {
		return other
	}
	return hash
}

// selectInHomeZone returns the key's owner in this balancer's zone, while that is fast, where crossing zones
// costs more than a request's whole work. Key affinity saves less than a crossing costs.
func (b *Balancer) selectInHomeZone(sel *selection) (chosen *server) {
	r := sel.request
	crossingIsDear := b.settings.Costs.CrossZone > b.settings.Costs.WastedWork
	mayProbeHome := r.probes < 2 || !b.hasFewObservations() // the other probes go to other zones
	if !crossingIsDear || !mayProbeHome {
		return nil
	}
	b.ring.Walk(sel.hash, func(s *server) bool {
		reason, purpose := b.checkTrust(r, s)
		expected := b.expectedLatency(s)
		if reason == notSkipped && purpose == serveRequest && s.Zone == b.settings.Zone &&
			expected < homeZoneFraction*seconds(r.class.LatencyObjective) &&
			b.checkAcceptsNow(r, s, expected, sel.latencyLimit) == notSkipped {
			chosen = s
		}
		return chosen == nil
	})
	return chosen
}

// selectOnRing walks round the ring from the key and returns the first server that is not skipped. The others
// are noted in the selection, for the steps that follow.
func (b *Balancer) selectOnRing(sel *selection) (chosen *server) {
	b.ring.Walk(sel.hash, func(s *server) bool {
		if b.consider(sel, s) == notSkipped {
			chosen = s
			return false
		}
		return sel.warmScan < maxWarmScan &&
			(sel.saturatedScan < maxSaturatedScan || sel.fastestLatency > sel.latencyLimit)
	})
	return chosen
}

// consider returns why the server is skipped, or notSkipped, and notes what it is good for otherwise.
func (b *Balancer) consider(sel *selection, s *server) skipReason {
	r := sel.request
	if reason := b.checkPermitted(r, s); reason != notSkipped {
		return reason
	}
	reason, purpose := b.checkTrust(r, s)
	if reason != notSkipped {
		return reason
	}
	if !b.hasSlowStartCapacity(s, purpose) {
		return skipWarmingUp
	}
	expected, ownsKey := b.expectedLatency(s), b.activeAssignment != nil || b.keyFitsWeight(sel.hash, s)
	if purpose == probeServer {
		if b.mayHedgeProbe(r) {
			r.hedgedProbe = cmp.Or(r.hedgedProbe, s)
			return skipHedgedProbe
		}
		if ownsKey {
			return notSkipped
		}
		return b.noteSaturated(sel, s, expected, skipKeyBeyondWeight)
	}
	if reason = b.checkCondition(sel, s, expected); reason != notSkipped {
		return reason
	}
	switch {
	case !ownsKey:
		return b.noteSaturated(sel, s, expected, skipKeyBeyondWeight)
	case b.isSaturated(r, s, expected, sel.latencyLimit):
		reason = b.noteSaturated(sel, s, expected, skipSaturated)
		sel.saturatedScan += b.scanWeight(s)
		return reason
	}
	return b.checkFairShare(sel, s)
}

// checkCondition skips servers that are rejecting requests or may be failing, while others may do.
func (b *Balancer) checkCondition(sel *selection, s *server, expected float64) skipReason {
	r := sel.request
	switch {
	case s.outlier.IsAvoided(b.now):
		if sel.rejecting == nil && expected <= sel.latencyLimit {
			sel.rejecting = s
		}
		return skipRejecting
	case r.class.Idempotency == NotIdempotent && b.isSuspect(r, s):
		if sel.suspect == nil && expected <= sel.latencyLimit {
			sel.suspect = s
		}
		return skipSuspect
	}
	return notSkipped
}

// checkFairShare skips, for a sparse balancer, servers with capacity that have had their fair share of its
// requests, and warm ones while one in slow start is searched for.
func (b *Balancer) checkFairShare(sel *selection, s *server) skipReason {
	if !sel.sparse {
		return notSkipped
	}
	if !b.relievesWarmServers(s) && b.fairnessCredit(s) < 1 {
		credit := b.fairnessCredit(s) / b.trafficWeight(s)
		if sel.overFairShare == nil || credit > sel.overFairShareCredit {
			sel.overFairShare, sel.overFairShareCredit = s, credit
		}
		return skipOverFairShare
	}
	if b.searchesWarmingUp(s) {
		sel.warm = cmp.Or(sel.warm, s)
		sel.warmScan++
		return skipSearchingWarmingUp
	}
	return notSkipped
}

// noteSaturated notes a server that may get the request if all others are saturated too.
func (b *Balancer) noteSaturated(sel *selection, s *server, expected float64, reason skipReason) skipReason {
	if sel.unresponsive == nil && math.IsInf(expected, 1) && s.probeOutcome != Rejected {
		sel.unresponsive = s
	}
	if expected < sel.fastestLatency {
		sel.fastest, sel.fastestLatency = s, expected
	}
	return reason
}

// selectFallback returns the best of the servers that were skipped on the ring, or nil.
func (b *Balancer) selectFallback(sel *selection) *server {
	r := sel.request
	if sel.rejecting != nil && len(r.attempts)+1 < r.class.maxAttempts {
		return sel.rejecting // another rejection costs little while a retry is left
	}
	limit := sel.latencyLimit
	if r.deadline < r.objectiveAt && !r.overQuota {
		// The client gives less than the objective, which does not mean that servers are saturated.
		limit = min(r.class.latencyLimit, seconds(r.deadline-b.now))
	}
	if sel.fastest != nil && sel.fastestLatency <= limit {
		return sel.fastest
	}
	if s := cmp.Or(sel.suspect, sel.rejecting); s != nil {
		return s
	}
	if s := r.hedgedProbe; s != nil { // nothing is left to hedge: the request itself goes there
		r.hedgedProbe = nil
		return s
	}
	// Probes that fail falsely would never be noticed if nothing were sent in spite of them.
	if sel.unresponsive != nil && b.rng.Float64() < probeTestFraction {
		r.ignoresProbes = true
		return sel.unresponsive
	}
	return nil
}
