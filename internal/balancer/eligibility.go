package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
)

// skipReason is the reason why a server does not get a request.
type skipReason uint8

const (
	notSkipped skipReason = iota
	// The reasons from here to skipOutsideDedupScope are rules that always apply: see checkPermitted.
	skipNotListed          // draining or gone by the server list
	skipExcluded           // the tenant's key is excluded from the server, as by a maintenance window
	skipTried              // an earlier attempt of the request went to the server
	skipNotIdempotent      // an earlier attempt may have been processed
	skipDedupWindowOver    // servers may have forgotten the earlier attempt's key
	skipOutsideDedupScope  // does not share deduplication state with the earlier attempt's server
	skipZoneUnreachable    // the server's zone is unreachable from this balancer
	skipDown               // ejected or damped
	skipPossiblyReplaced   // ejected, and a stale server list can't show whether it was replaced
	skipOnProbation        // on probation, without capacity for one more attempt
	skipWarmingUp          // slow-start budget, which also pays for probe requests, is used up
	skipHedgedProbe        // gets a hedged probe request in addition to the request
	skipRejecting          // has been rejecting requests
	skipSuspect            // may be failing, and the request must not be processed twice
	skipKeyBeyondWeight    // the server's weight is too low for this key: see keyFitsWeight
	skipSaturated          // no capacity, or too slow
	skipOverFairShare      // has used up its fair share of this balancer's requests
	skipSearchingWarmingUp // warm, while warm servers are saturated and one in slow start is searched for
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

// attemptPurpose is the purpose of an attempt.
type attemptPurpose uint8

const (
	// serveRequest is the purpose of an ordinary attempt.
	serveRequest attemptPurpose = iota
	// probeServer is the purpose of a probe request, which also tests whether a server that is down has
	// recovered.
	probeServer
)

// isListed reports whether the server list allows requests to the server. Once the list has shown the server
// as draining it allows none, even if the server is listed as gone afterwards.
func (b *Balancer) isListed(s *server) bool {
	return !s.sawDraining && (s.State == Ready || b.settings.Rules.GoneUsable && s.State == Gone)
}

// checkPermitted returns why the rules that apply whatever the server's condition forbid sending the request
// there, or notSkipped. They are the server list, exclusions, and the limits on repeating an attempt that may
// have been processed.
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

// checkRepeat returns why an earlier attempt forbids another one at the server, or notSkipped.
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

// dedupWindowLeft returns for how long servers still recognize a repeat of earlier attempts; zero if there is
// no limit, because none of them may have been processed or the class may be processed repeatedly.
func (b *Balancer) dedupWindowLeft(c *class, earlier []attempt) (left time.Duration) {
	if c.Idempotency == Idempotent {
		return 0
	}
	for i := range earlier {
		a := &earlier[i]
		if a.unprocessed {
			continue
		}
		windowLeft := c.DedupWindow - b.settings.Tick - (b.now - a.outlier.StartedAt)
		if left == 0 || windowLeft < left {
			left = windowLeft
		}
	}
	return left
}

// checkTrust returns why the server's health forbids sending the request there, or notSkipped, and the
// purpose of the attempt. A server on probation is skipped only while it has no capacity for one more
// attempt.
func (b *Balancer) checkTrust(r *request, s *server) (skipReason, attemptPurpose) {
	if s.probation == nil {
		return b.checkHealth(r, s)
	}
	if !s.probation.HasCapacity(b.now, r.probationRequest().NeedsAnsweringServer(b.now)) {
		return skipOnProbation, serveRequest
	}
	return notSkipped, serveRequest
}

// checkHealth returns notSkipped if the server is healthy or may get a probe request, else the reason, and
// the purpose of the attempt. While the outlier detector distrusts its verdicts, because most servers look
// bad for a cause near this balancer, they are ignored and only the expected latency counts.
func (b *Balancer) checkHealth(r *request, s *server) (skipReason, attemptPurpose) {
	damped := s.isDamped(b.now)
	if b.isZoneUnreachable(s) {
		if r.class.Idempotency != NotIdempotent && b.zoneReach.IsProbeDue(b.now, s.Zone) {
			return notSkipped, probeServer
		}
		return skipZoneUnreachable, serveRequest
	}
	if b.detector.DistrustReason() != "" ||
		!damped && b.detector.Verdict(s.outlier, r.class.index) != outlier.Ejected {
		return notSkipped, serveRequest
	}
	// Another server may listen at this address next. Only an updated list shows that.
	if s.outlier.IsNotListening() && b.discovery.IsStale(b.now) {
		return skipPossiblyReplaced, serveRequest
	}
	// Requests that are not idempotent may serve as probe requests where probes are allowed, since the server is
	// then probed first, and where the server is ejected for a class only, since only requests of that class
	// show that it has recovered.
	if !damped && (r.class.Idempotency != NotIdempotent || b.settings.Limits.Probes || !s.outlier.IsEjected()) {
		return notSkipped, probeServer
	}
	return skipDown, serveRequest
}

// isSuspect reports whether the server may be failing for the request's class, so that requests that must not
// be processed twice go to other servers first.
func (b *Balancer) isSuspect(r *request, s *server) bool {
	return b.detector.Verdict(s.outlier, r.class.index) == outlier.Suspect && b.detector.DistrustReason() == ""
}

// checkAcceptsNow returns why a server that passed checkTrust does not get the request now, or notSkipped.
// Expected is its expected latency; both latencies are in seconds.
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
