package overload

import (
	"time"

	"dunestep/internal/balancer"
)

// Throttle of an agent of a large fleet. What such an agent has in flight says nothing of how busy the
// servers are, so that the module finds room for all that comes: while there is too little for the whole
// fleet, and after a purge in vain, all agents together kept servers at work that was given up before it
// was done. Each agent lets in what was answered of late and some more: the more, the fewer of its attempts
// were in vain. So it is open again a second after the servers are well, and settles where a fifth of the
// attempts are in vain as long as they are not.
const (
	throttleHalfLife    = 500 * time.Millisecond
	throttleHeadroom    = 2.0 // times what was answered: let in beyond that, where nothing was in vain
	minThrottleHeadroom = 0.1 // the same, however much was in vain
	minWastedWeight     = 1.0 // attempts in vain, of late: below, one unlucky request would turn others away
	throttleOffAfter    = 2 * time.Second
)

type adaptiveThrottle struct {
	arrivals        decayingSum // requests, also those that it turned away
	answered        decayingSum // attempts
	wasted          decayingSum // attempts: not answered in time, or turned away
	isActive        bool
	startedAt       time.Duration
	lastRejectionAt time.Duration // that it turned a request away
	rejectedCount   int
}

func newAdaptiveThrottle() adaptiveThrottle {
	f := decayingSum{halfLife: throttleHalfLife}
	return adaptiveThrottle{arrivals: f, answered: f, wasted: f}
}

// ended takes the end of an attempt in. That no connection came up, or one was lost, says nothing of want
// of room.
func (t *adaptiveThrottle) recordAttemptEnd(now time.Duration, o balancer.Outcome) {
	switch o {
	case balancer.Served:
		t.answered.add(now, 1)
	case balancer.TimedOut, balancer.Rejected:
		t.wasted.add(now, 1)
	}
}

// room is the part of what comes that is let in. Where the given part of the attempts is in vain, it is
// hardly more than what is answered.
func (t *adaptiveThrottle) admittedFraction(now time.Duration, most float64) float64 {
	t.wasted.decay(now)
	if t.wasted.weight < minWastedWeight {
		return 1
	}
	t.arrivals.decay(now)
	t.answered.decay(now)
	vain := t.wasted.weight / (t.wasted.weight + t.answered.weight)
	more := max(throttleHeadroom*(1-vain/most), minThrottleHeadroom)
	return min((t.answered.weight*(1+more)+1)/(t.arrivals.weight+1), 1)
}

// throttled tells whether a request finds no room at an agent of a large fleet: the first things first, as
// in a purge. In a purge and in an outage others decide.
func (g *Controller) isThrottled(e *balancer.Request, tier int) bool {
	t := &g.throttle
	t.arrivals.add(g.now, 1)
	if g.config.Disabled || g.config.WastedFraction >= 1 || g.isSheddingNow() || g.outage.phase != phaseNormal || !g.balancer.Sparse() {
		return false
	}
	room := t.admittedFraction(g.now, g.config.WastedFraction)
	if room >= 1 || g.fairness.fractionBefore(g.now, tier, g.fairnessRank(e)) < room {
		return false
	}
	if t.rejectedCount++; !t.isActive {
		t.isActive, t.startedAt, t.rejectedCount = true, g.now, 1
		g.logf("servers answer too little in time: lets in %.0f%% of what comes", 100*room)
	}
	t.lastRejectionAt = g.now
	return true
}

// updateThrottle tells when nothing has been turned away for a while.
func (g *Controller) updateThrottle() {
	if t := &g.throttle; t.isActive && g.now-t.lastRejectionAt > throttleOffAfter {
		t.isActive = false
		g.logf("lets all in again, after %d of %v that found no room", t.rejectedCount,
			(t.lastRejectionAt - t.startedAt).Round(time.Millisecond))
	}
}
