package balancer

import "dunestep/internal/balancer/outlier"

// skipReason says why a server does not get a request.
type skipReason uint8

const (
	notSkipped skipReason = iota
	// The rules forbid it.
	skipNotListed          // the list says that it is draining or gone
	skipExcluded           // the tenant's key is excluded from it, as by a maintenance window
	skipTried              // the request has been there
	skipNotIdempotent      // an earlier attempt may have been processed
	skipDedupWindowOver    // servers may have forgotten the earlier attempt's key
	skipOutsideDedupScope  // it does not share the memory of the earlier attempt's server
	skipZoneUnreachable    // its zone is cut off from this balancer
	skipDown               // it is ejected or damped
	skipPossiblyReplaced   // it is ejected, and the list that would tell of a replacement can't be updated
	skipOnProbation        // it is on an unconfirmed list and has as much as it may have
	skipWarmingUp          // it has had its part in slow start, or its part of probe requests
	skipHedgedProbe        // it gets a hedged probe request beside the request
	skipRejecting          // it has been rejecting requests
	skipSuspect            // it may be failing, and the request must not be processed twice
	skipKeyBeyondWeight    // the key is beyond what its weight gives it
	skipSaturated          // it has no capacity, or is too slow
	skipOverFairShare      // it has had its fair share of this balancer's requests
	skipSearchingWarmingUp // it is warm, and warm servers are saturated: one in slow start is searched for
)

var skipReasonTexts = [...]string{
	notSkipped:             "not skipped",
	skipNotListed:          "draining or gone",
	skipExcluded:           "excluded for the tenant",
	skipTried:              "tried before",
	skipNotIdempotent:      "not idempotent",
	skipDedupWindowOver:    "deduplication window over",
	skipOutsideDedupScope:  "outside the deduplication scope",
	skipZoneUnreachable:    "zone unreachable",
	skipDown:               "ejected or damped",
	skipPossiblyReplaced:   "possibly replaced",
	skipOnProbation:        "on probation",
	skipWarmingUp:          "warming up",
	skipHedgedProbe:        "gets a hedged probe request",
	skipRejecting:          "rejecting requests",
	skipSuspect:            "possibly failing",
	skipKeyBeyondWeight:    "key beyond its weight",
	skipSaturated:          "saturated",
	skipOverFairShare:      "over its fair share",
	skipSearchingWarmingUp: "searching for a server in slow start",
}

func (r skipReason) String() string { return skipReasonTexts[r] }

// attemptPurpose says what an attempt is for beside the request.
type attemptPurpose uint8

const (
	// serveRequest: nothing.
	serveRequest attemptPurpose = iota
	// probeServer: to learn whether a server that is down serves again. Such an attempt is a probe request.
	probeServer
)

// isListed reports whether the list allows sending. That ends with the notice of a drain.
func (b *Balancer) isListed(s *server) bool {
	return !s.sawDraining && (s.State == Ready || b.settings.Rules.GoneUsable && s.State == Gone)
}

// checkPermitted applies the rules that hold whatever the server's condition: the list, exclusions, and what
// an earlier attempt that may have been processed forbids.
func (b *Balancer) checkPermitted(r *request, s *server) skipReason {
	switch {
	case !b.isListed(s):
		return skipNotListed
	case isExcluded(r, s):
		return skipExcluded
	}
	for i := range r.attempts {
		if reason := b.checkRepeat(r.class, &r.attempts[i], s); reason != notSkipped {
			return reason
		}
	}
	return notSkipped
}

// checkRepeat reports whether an earlier attempt forbids another one at the server.
func (b *Balancer) checkRepeat(c *class, earlier *attempt, s *server) skipReason {
	switch {
	case earlier.server == s:
		return skipTried
	case earlier.unprocessed || c.Idempotency == Idempotent:
		return notSkipped
	case c.Idempotency == NotIdempotent:
		return skipNotIdempotent
	case b.now-earlier.outlier.StartedAt >= c.DedupWindow-b.settings.Tick:
		return skipDedupWindowOver
	case c.DedupScope == DedupScopeZone && s.Zone != earlier.server.Zone,
		c.DedupScope == DedupScopeCell && s.Cell != earlier.server.Cell:
		return skipOutsideDedupScope
	}
	return notSkipped
}

// checkTrust reports whether the server is trusted with the request, and what for. For one on probation that
// is whether it has room for one more attempt.
func (b *Balancer) checkTrust(r *request, s *server) (skipReason, attemptPurpose) {
	if s.probation == nil {
		return b.checkHealth(r, s)
	}
	if !s.probation.HasCapacity(b.now, r.probationRequest().NeedsAnsweringServer(b.now)) {
		return skipOnProbation, serveRequest
	}
	return notSkipped, serveRequest
}

// checkHealth reports whether the server is healthy, or due for a probe request. Where most servers look bad
// for one cause near this balancer, verdicts are ignored and only the expected latency decides.
func (b *Balancer) checkHealth(r *request, s *server) (skipReason, attemptPurpose) {
	damped := s.isDamped(b.now)
	if b.isZoneCutOff(s) {
		if r.class.Idempotency != NotIdempotent && b.zoneReach.IsTrialDue(b.now, s.Zone) {
			return notSkipped, probeServer
		}
		return skipZoneUnreachable, serveRequest
	}
	if b.detector.DistrustReason() != "" ||
		!damped && b.detector.Verdict(s.outlier, r.class.index) != outlier.Ejected {
		return notSkipped, serveRequest
	}
	// What listens there next may be another server, which only an updated list would tell.
	if s.outlier.IsNotListening() && b.discovery.IsStale(b.now) {
		return skipPossiblyReplaced, serveRequest
	}
	// With probes the server is probed first. One that is down for a class alone can only show by that class
	// that it serves again.
	if !damped && (r.class.Idempotency != NotIdempotent || b.settings.Limits.Probes || !s.outlier.IsEjected()) {
		return notSkipped, probeServer
	}
	return skipDown, serveRequest
}

// isSuspect reports whether others should get first what must not be processed twice.
func (b *Balancer) isSuspect(r *request, s *server) bool {
	return b.detector.Verdict(s.outlier, r.class.index) == outlier.Suspect && b.detector.DistrustReason() == ""
}

// checkAcceptsNow returns why a trusted server does not get the request at once.
func (b *Balancer) checkAcceptsNow(r *request, s *server, expected, latencyLimit float64) skipReason {
	if reason := b.checkPermitted(r, s); reason != notSkipped {
		return reason
	}
	switch {
	case !b.hasSlowStartCapacity(s, serveRequest):
		return skipWarmingUp
	case b.isSaturated(r, s, expected, latencyLimit):
		return skipSaturated
	case s.outlier.IsAvoided(b.now):
		return skipRejecting
	case r.class.Idempotency == NotIdempotent && b.isSuspect(r, s):
		return skipSuspect
	}
	return notSkipped
}
