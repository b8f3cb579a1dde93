package overload

import "time"

// A storm of repeats is seen by what comes: more repeats than first tries, and room for less than half of
// all. A peak of first tries is none. While it lasts, those who ignore when to come back, and those who come
// a fourth time, are turned away before others wait for them.
const (
	retryRateHalfLife       = time.Second
	stormRetryRatio         = 1.0 // for each first try
	stormForwardedFraction  = 0.5 // of what comes: room for less
	stormConfirmedAfter     = time.Second
	normalRetryRatio        = 0.5
	normalForwardedFraction = 0.8
	normalConfirmedAfter    = 2 * time.Second
	stormGrowthFactor       = 2.0 // times the repeats that were told of last
)

const retryStormText = "storm of repeats%s: %.0f a second to %.0f first tries, room for %.0f%%"

type retryStorm struct {
	firstAttempts, retries decayingSum
	changingSince          time.Duration // since when it looks otherwise than it is; zero: it doesn't
	isActive               bool
	startedAt              time.Duration
	loggedRate             float64 // repeats a second, when last told of
	rejectedCount          int
}

func newRetryStorm() retryStorm {
	return retryStorm{firstAttempts: decayingSum{halfLife: retryRateHalfLife}, retries: decayingSum{halfLife: retryRateHalfLife}}
}

// recordArrival counts a request in, and tells whether it is to be turned away at once.
func (g *Controller) recordArrival(repeat, late bool) (away bool) {
	r := &g.retryStorm
	if repeat {
		r.retries.add(g.now, 1)
	} else {
		r.firstAttempts.add(g.now, 1)
	}
	if away = r.isActive && late && g.outage.phase == phaseNormal && g.forwardedFraction() < maxForwardedFraction; away {
		r.rejectedCount++
	}
	return away
}

// updateRetryStorm begins and ends a storm of repeats.
func (g *Controller) updateRetryStorm() {
	r := &g.retryStorm
	first, again, carried := r.firstAttempts.perSecond(g.now), r.retries.perSecond(g.now), g.forwardedFraction()
	turns := again > stormRetryRatio*first && again >= 1 && carried < stormForwardedFraction && g.outage.phase == phaseNormal
	steady := stormConfirmedAfter
	if r.isActive {
		turns = again < normalRetryRatio*first || carried > normalForwardedFraction
		steady = normalConfirmedAfter
	}
	switch {
	case !turns:
		r.changingSince = 0
	case r.changingSince == 0:
		r.changingSince = g.now
	case g.now-r.changingSince >= steady && r.isActive:
		r.isActive, r.changingSince = false, 0
		g.logf("storm of repeats over after %v, %d were turned away at once",
			(g.now - r.startedAt).Round(time.Millisecond), r.rejectedCount)
	case g.now-r.changingSince >= steady:
		r.isActive, r.changingSince, r.startedAt, r.rejectedCount, r.loggedRate = true, 0, g.now, 0, again
		g.logf(retryStormText, "", again, first, 100*carried)
	}
	if r.isActive && again > stormGrowthFactor*r.loggedRate {
		r.loggedRate = again
		g.logf(retryStormText, " grows", again, first, 100*carried)
	}
}
