package balancer

import (
	"cmp"
	"math"

	"dunestep/internal/balancer/ring"
)

const (
	// homeZoneFraction is a fraction of the latency objective. While the owner of a key in the balancer's own
	// zone has a lower expected latency than this, it gets the request.
	homeZoneFraction = 0.12
	// maxSaturatedScan is how many saturated owners of a key are examined, summed by their scanWeight, before
	// the search ends and the fastest of them is used.
	maxSaturatedScan = 3
	// maxWarmScan is how many warm owners with capacity are skipped in search of a server in slow start, while
	// warm servers are saturated.
	maxWarmScan = 3
	// maxWalked is how many servers a search examines at most. With thousands, a request that none accepts would
	// cost milliseconds; where hundreds in a row do not accept it, the others will hardly do.
	maxWalked = 256
	// probeTestFraction is the fraction of the requests without any other server that are sent to one whose
	// probe failed, to test whether the probes are right.
	probeTestFraction = 0.1
	// baselineRelaxation is the factor that lowers the baseline latency when it alone prevents every send.
	baselineRelaxation = 0.9
)

// selection is the state of the search for one request's server.
type selection struct {
	request      *request
	hash         uint32  // ring position where the walk starts
	latencyLimit float64 // seconds; maximum expected latency of a server that gets the request
	sparse       bool    // result of IsSparse
	skipped      SkipCounts

	// Fallback servers for when no better one is found, in order of preference.
	warm          *server // first warm one with capacity, skipped in search of a server in slow start
	overFairShare *server // has capacity but has used up its fair share; the one with the most credit
	rejecting     *server // first one that has been rejecting requests
	fastest       *server // saturated; the one with the lowest expected latency
	suspect       *server // first one that may be failing
	unresponsive  *server // first one whose probes fail

	overFairShareCredit float64 // requests for each unit of traffic weight
	fastestLatency      float64 // seconds
	saturatedScan       float64 // sum of scanWeight over the saturated owners examined
	warmScan            int     // number of warm owners with capacity that were skipped
}

// selectServer returns the server to send the request to now, or nil if there is none. It prefers the first
// eligible server with capacity clockwise from the request's key. Each step tries one group of servers.
func (b *Balancer) selectServer(r *request) *server {
	sel := selection{request: r, hash: b.walkStart(r), fastestLatency: math.Inf(1)}
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
		// Without this, no request would ever be sent again to servers that all look too slow.
		b.baseline.seconds *= baselineRelaxation
	}
	b.skipped = sel.skipped
	return nil
}

// walk visits members of a ring clockwise from a hash until visit returns false, maxWalked at most.
func walk(members *ring.Ring[*server], hash uint32, visit func(*server) bool) {
	left := maxWalked
	members.Walk(hash, func(s *server) bool {
		left--
		return visit(s) && left > 0
	})
}

// walkStart returns the ring position where the search for a server starts: the hash of the request's key,
// or without a key the one of two random positions whose owner has fewer requests in flight.
func (b *Balancer) walkStart(r *request) uint32 {
	if r.hasKey || b.ring.MemberCount() == 0 {
		return r.hash
	}
	hash := b.rng.Uint32()
	if other := b.rng.Uint32(); b.ring.Owner(other).inFlight < b.ring.Owner(hash).inFlight {
		return other
	}
	return hash
}

// selectInHomeZone returns the key's first owner in this balancer's zone that is fast and accepts the
// request, or nil. It applies only where crossing zones costs more than a request's work, which is more
// than key affinity can save.
func (b *Balancer) selectInHomeZone(sel *selection) (chosen *server) {
	r := sel.request
	crossingIsExpensive := b.settings.Costs.CrossZone > b.settings.Costs.WastedWork
	mayProbeHome := r.probes < 2 || !b.hasFewObservations() // further probes go to other zones
	if !crossingIsExpensive || !mayProbeHome {
		return nil
	}
	walk(b.ring, sel.hash, func(s *server) bool {
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

// selectOnRing walks the ring clockwise from the key and returns the first server that is not skipped, or
// nil. It records the skipped servers that later steps may fall back on in the selection.
func (b *Balancer) selectOnRing(sel *selection) (chosen *server) {
	walk(b.ring, sel.hash, func(s *server) bool {
		reason := b.checkServer(sel, s)
		if reason == notSkipped {
			chosen = s
			return false
		}
		sel.skipped.add(reason)
		return sel.warmScan < maxWarmScan &&
			(sel.saturatedScan < maxSaturatedScan || sel.fastestLatency > sel.latencyLimit)
	})
	return chosen
}

// checkServer returns why the server is skipped, or notSkipped. It records a skipped server in the selection
// where it can serve as a fallback.
func (b *Balancer) checkServer(sel *selection, s *server) skipReason {
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
		return b.addSaturated(sel, s, expected, skipKeyBeyondWeight)
	}
	if reason = b.checkCondition(sel, s, expected); reason != notSkipped {
		return reason
	}
	switch {
	case !ownsKey:
		return b.addSaturated(sel, s, expected, skipKeyBeyondWeight)
	case b.isSaturated(r, s, expected, sel.latencyLimit):
		reason = b.addSaturated(sel, s, expected, skipSaturated)
		sel.saturatedScan += b.scanWeight(s)
		return reason
	}
	return b.checkFairShare(sel, s)
}

// checkCondition returns why the server is skipped if it has been rejecting requests, or if it may be failing
// and the request must not be processed twice. Such servers remain a fallback.
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

// checkFairShare returns why a sparse balancer skips a server with capacity: the server has used up its fair
// share of the balancer's requests, or it is warm while a server in slow start is searched for. Other
// balancers skip none here.
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

// addSaturated adds a saturated server to the fallbacks of the selection and returns the reason unchanged.
func (b *Balancer) addSaturated(sel *selection, s *server, expected float64, reason skipReason) skipReason {
	if sel.unresponsive == nil && math.IsInf(expected, 1) && s.probeOutcome != Rejected {
		sel.unresponsive = s
	}
	if expected < sel.fastestLatency {
		sel.fastest, sel.fastestLatency = s, expected
	}
	return reason
}

// selectFallback returns the preferred server among those that selectOnRing skipped, or nil.
func (b *Balancer) selectFallback(sel *selection) *server {
	r := sel.request
	if sel.rejecting != nil && len(r.attempts)+1 < r.class.maxAttempts {
		return sel.rejecting // another rejection costs little while one more attempt is allowed
	}
	limit := sel.latencyLimit
	if r.deadline < r.objectiveAt && !r.overQuota {
		// A client timeout shorter than the objective does not mean that servers are saturated.
		limit = min(r.class.latencyLimit, seconds(r.deadline-b.now))
	}
	if sel.fastest != nil && sel.fastestLatency <= limit {
		return sel.fastest
	}
	if s := cmp.Or(sel.suspect, sel.rejecting); s != nil {
		return s
	}
	if s := r.hedgedProbe; s != nil { // no other server is left, so the request itself goes there
		r.hedgedProbe = nil
		return s
	}
	// Probes that fail although the server works are noticed only if some requests are sent regardless.
	if sel.unresponsive != nil && b.rng.Float64() < probeTestFraction {
		r.ignoresProbes = true
		return sel.unresponsive
	}
	return nil
}
