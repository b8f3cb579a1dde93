package overload

import "time"

const (
	retryRateHalfLife       = time.Second
	stormRetryRatio         = 1.0 // retries per first attempt above which a storm begins
	stormForwardedFraction  = 0.5 // forwarded fraction of requests below which a storm begins
	stormConfirmedAfter     = time.Second
	normalRetryRatio        = 0.5
	normalForwardedFraction = 0.8
	normalConfirmedAfter    = 2 * time.Second
	stormGrowthFactor       = 2.0 // ratio to the last logged retry rate at which it is logged again
)

const retryStormText = "retry storm%s: %.0f retries a second to %.0f first attempts, " +
	"%.0f%% of requests are forwarded"

// retryStorm detects that client retries outnumber first attempts while most requests find no capacity; a
// peak of first attempts is no retry storm. While a storm lasts, clients that ignore their Retry-After are
// rejected at once, so that other clients do not wait behind them.
type retryStorm struct {
	firstAttempts, retries decayingSum
	changingSince          time.Duration // since when the rates contradict isActive; zero: they agree
	isActive               bool
	startedAt              time.Duration
	loggedRate             float64 // retries per second when last logged
	rejectedCount          int
}

func newRetryStorm() retryStorm {
	sum := decayingSum{halfLife: retryRateHalfLife}
	return retryStorm{firstAttempts: sum, retries: sum}
}

// recordArrival counts a request.
func (r *retryStorm) recordArrival(now time.Duration, kind arrivalKind) {
	if kind == clientRetry {
		r.retries.add(now, 1)
	} else {
		r.firstAttempts.add(now, 1)
	}
}

// rejectsEarlyRetry reports whether a client that ignores its Retry-After is rejected at once: in a retry
// storm, unless there is an outage or nearly all requests are forwarded.
func (c *Controller) rejectsEarlyRetry(p priority) bool {
	r := &c.retryStorm
	if !r.isActive || !p.ignoresRetryAfter || c.outage.phase != phaseNormal ||
		c.forwardedFraction() >= maxForwardedFraction {
		return false
	}
	r.rejectedCount++
	return true
}

// updateRetryStorm begins and ends a retry storm once its conditions have been met for the confirmation
// time.
func (c *Controller) updateRetryStorm() {
	r := &c.retryStorm
	first, retries := r.firstAttempts.perSecond(c.now), r.retries.perSecond(c.now)
	forwarded := c.forwardedFraction()
	contradicts := retries > stormRetryRatio*first && retries >= 1 && forwarded < stormForwardedFraction &&
		c.outage.phase == phaseNormal
	confirmedAfter := stormConfirmedAfter
	if r.isActive {
		contradicts = retries < normalRetryRatio*first || forwarded > normalForwardedFraction
		confirmedAfter = normalConfirmedAfter
	}
	switch {
	case !contradicts:
		r.changingSince = 0
	case r.changingSince == 0:
		r.changingSince = c.now
	case c.now-r.changingSince >= confirmedAfter && r.isActive:
		r.isActive, r.changingSince = false, 0
		c.logf("retry storm over after %v, %d requests were rejected at once",
			(c.now - r.startedAt).Round(time.Millisecond), r.rejectedCount)
	case c.now-r.changingSince >= confirmedAfter:
		r.isActive, r.changingSince, r.startedAt, r.rejectedCount, r.loggedRate = true, 0, c.now, 0, retries
		c.logf(retryStormText, "", retries, first, 100*forwarded)
	}
	if r.isActive && retries > stormGrowthFactor*r.loggedRate {
		r.loggedRate = retries
		c.logf(retryStormText, " grows", retries, first, 100*forwarded)
	}
}
