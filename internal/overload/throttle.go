package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	throttleHalfLife    = 500 * time.Millisecond
	throttleHeadroom    = 2.0 // extra admission relative to answered attempts, if none is wasted
	minThrottleHeadroom = 0.1 // minimum of the same, however many attempts are wasted
	minWastedWeight     = 1.0 // attempts; below it, a single wasted attempt would cause rejections
	throttleOffAfter    = 2 * time.Second
)

// adaptiveThrottle limits what an agent of a large fleet admits. Such an agent's requests in flight do not
// show how busy the servers are, so the balancer finds capacity for every request. The throttle admits the
// number of recently answered attempts plus a headroom, which shrinks as more of the agent's attempts are
// wasted.
type adaptiveThrottle struct {
	arrivals        decayingSum // requests, including those that it rejected
	answered        decayingSum // attempts
	wasted          decayingSum // attempts that timed out or were rejected
	isActive        bool
	startedAt       time.Duration
	lastRejectionAt time.Duration
	rejectedCount   int // since it became active
}

func newAdaptiveThrottle() adaptiveThrottle {
	sum := decayingSum{halfLife: throttleHalfLife}
	return adaptiveThrottle{arrivals: sum, answered: sum, wasted: sum}
}

// recordAttemptEnd counts the end of an attempt. A connection that failed or was lost is no evidence of a
// lack of capacity.
func (t *adaptiveThrottle) recordAttemptEnd(now time.Duration, outcome balancer.Outcome) {
	switch outcome {
	case balancer.Served:
		t.answered.add(now, 1)
	case balancer.TimedOut, balancer.Rejected:
		t.wasted.add(now, 1)
	}
}

// admittedFraction returns the fraction of requests to admit, up to 1. When wastedFraction of the attempts
// are wasted, hardly more is admitted than is answered.
func (t *adaptiveThrottle) admittedFraction(now time.Duration, wastedFraction float64) float64 {
	t.wasted.decay(now)
	if t.wasted.weight < minWastedWeight {
		return 1
	}
	t.arrivals.decay(now)
	t.answered.decay(now)
	wasted := t.wasted.weight / (t.wasted.weight + t.answered.weight)
	headroom := max(throttleHeadroom*(1-wasted/wastedFraction), minThrottleHeadroom)
	return min((t.answered.weight*(1+headroom)+1)/(t.arrivals.weight+1), 1)
}

// isThrottled reports whether the throttle rejects a request, by its place in the fairness order. During
// shedding and outages the throttle rejects nothing.
func (c *Controller) isThrottled(e *balancer.Request, tier int) bool {
	t := &c.throttle
	t.arrivals.add(c.now, 1)
	if !c.usesThrottle() {
		return false
	}
	admitted := t.admittedFraction(c.now, c.config.WastedFraction)
	if admitted >= 1 || c.fairness.fractionBefore(c.now, tier, c.fairnessRank(e)) < admitted {
		return false
	}
	if t.rejectedCount++; !t.isActive {
		t.isActive, t.startedAt, t.rejectedCount = true, c.now, 1
		c.logf("adaptive throttle on: servers respond too rarely in time, admitting %.0f%% of requests",
			100*admitted)
	}
	t.lastRejectionAt = c.now
	return true
}

// usesThrottle reports whether the throttle may reject requests at this moment.
func (c *Controller) usesThrottle() bool {
	return !c.config.Disabled && c.config.WastedFraction < 1 && !c.isSheddingNow() &&
		c.outage.phase == phaseNormal && c.balancer.IsSparse()
}

// updateThrottle deactivates the throttle once it has rejected nothing for throttleOffAfter.
func (c *Controller) updateThrottle() {
	if t := &c.throttle; t.isActive && c.now-t.lastRejectionAt > throttleOffAfter {
		t.isActive = false
		c.logf("adaptive throttle off: admitting all requests, %d were rejected in %v", t.rejectedCount,
			(t.lastRejectionAt - t.startedAt).Round(time.Millisecond))
	}
}
