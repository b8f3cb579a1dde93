package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	throttleHalfLife    = 500 * time.Millisecond
	throttleHeadroom    = 2.0 // times what was answered, admitted beyond that where nothing was wasted
	minThrottleHeadroom = 0.1 // the same, however much was wasted
	minWastedWeight     = 1.0 // attempts: below, a single unlucky request would have others rejected
	throttleOffAfter    = 2 * time.Second
)

// adaptiveThrottle bounds what an agent of a large fleet admits. What such an agent has in flight says
// nothing of how busy the servers are, so that the balancer finds capacity for everything that comes. The
// throttle admits what was answered of late and some headroom: the more, the fewer of the agent's attempts
// were wasted.
type adaptiveThrottle struct {
	arrivals        decayingSum // requests, also those that it rejected
	answered        decayingSum // attempts
	wasted          decayingSum // attempts: timed out or rejected
	isActive        bool
	startedAt       time.Duration
	lastRejectionAt time.Duration
	rejectedCount   int // since it became active
}

func newAdaptiveThrottle() adaptiveThrottle {
	sum := decayingSum{halfLife: throttleHalfLife}
	return adaptiveThrottle{arrivals: sum, answered: sum, wasted: sum}
}

// recordAttemptEnd counts the end of an attempt. A connection that did not come up or was lost says nothing
// of a want of capacity.
func (t *adaptiveThrottle) recordAttemptEnd(now time.Duration, outcome balancer.Outcome) {
	switch outcome {
	case balancer.Served:
		t.answered.add(now, 1)
	case balancer.TimedOut, balancer.Rejected:
		t.wasted.add(now, 1)
	}
}

// admittedFraction is the fraction of requests that is admitted, up to 1. Where the given fraction of
// attempts is wasted, it is hardly more than what is answered.
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

// isThrottled reports whether the throttle rejects a request, in the order of fairness. During shedding and
// outages those balancer.
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

// usesThrottle reports whether the throttle decides at this moment.
func (c *Controller) usesThrottle() bool {
	return !c.config.Disabled && c.config.WastedFraction < 1 && !c.isSheddingNow() &&
		c.outage.phase == phaseNormal && c.balancer.IsSparse()
}

// updateThrottle ends the throttle once nothing has been rejected for a while.
func (c *Controller) updateThrottle() {
	if t := &c.throttle; t.isActive && c.now-t.lastRejectionAt > throttleOffAfter {
		t.isActive = false
		c.logf("adaptive throttle off: admitting all requests, %d were rejected in %v", t.rejectedCount,
			(t.lastRejectionAt - t.startedAt).Round(time.Millisecond))
	}
}
