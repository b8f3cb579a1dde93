package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	attemptEndsHalfLife     = 400 * time.Millisecond
	usualInFlightHalfLife   = 10 * time.Second
	outageMinRequests       = 5 // requests without a success, before its absence means anything
	outageMinFailures       = 12
	outageFailingFor        = 500 * time.Millisecond
	silentOutageObjectives  = 2 // latency objectives without a success, for an outage by silence
	silentOutageMinFailures = 3 // failures in that time

	minTrialsPerSecond = 1.0
	maxSavedTrials     = 2.0
	stalledTrialAfter  = 300 * time.Millisecond // without an attempt: resets the balancer's view

	// warmingUpHold, times the number of agents, is how long a server that warms up is left alone after a
	// failure.
	warmingUpHold = 80 * time.Millisecond
)

// phase is how far an outage has come.
type phase uint8

const (
	phaseNormal     phase = iota
	phaseOutage           // no server responds: only trials are forwarded
	phaseRecovering       // servers respond again, and are held to what they prove to serve
)

// outageState follows an outage: that no server responds any more, and the recovery from it.
type outageState struct {
	phase           phase
	startedAt       time.Duration
	recoveringSince time.Duration
	healthySince    time.Duration // since when all that comes is admitted and served; zero: it is not

	attemptEnds   decayingSum // attempts that ended
	successes     decayingSum // of these, served
	rejections    decayingSum // requests that were rejected for it
	usualInFlight decayingSum // decaying mean of the requests in flight in normal times

	lastSuccessAt        time.Duration
	requestsSinceSuccess int
	failuresSinceSuccess int
	connectionFaults     int // since the last success in normal times: processes that may be starting anew

	rejectedCount int // in this outage
	trialTokens   float64
	trialTokensAt time.Duration
	lastSentAt    time.Duration
	lastResetAt   time.Duration // of the balancer's view of the servers, as it sent no trial
}

func newOutageState() outageState {
	ends := decayingSum{halfLife: attemptEndsHalfLife}
	return outageState{
		attemptEnds: ends, successes: ends, rejections: ends,
		usualInFlight: decayingSum{halfLife: usualInFlightHalfLife},
	}
}

// resetSinceSuccess starts the counts since the last success anew.
func (o *outageState) resetSinceSuccess(now time.Duration) {
	o.requestsSinceSuccess, o.failuresSinceSuccess, o.lastSuccessAt = 0, 0, now
}

// recordAttemptEnd takes in how an attempt at a server ended.
func (c *Controller) recordAttemptEnd(s *server, outcome balancer.Outcome) {
	switch outcome {
	case balancer.Canceled, balancer.NotSent:
	case balancer.Served:
		c.recordSuccess(s)
	default:
		c.recordFailure(s, outcome)
	}
}

func (c *Controller) recordSuccess(s *server) {
	o := &c.outage
	o.successes.add(c.now, 1)
	o.attemptEnds.add(c.now, 1)
	if o.resetSinceSuccess(c.now); o.phase == phaseNormal {
		o.connectionFaults = 0
	}
	s.lastSuccessAt = c.now
	s.inFlightLimit = min(max(s.inFlightLimit, 1)+1, c.maxServerInFlight())
	switch {
	case o.phase == phaseOutage:
		c.startRecovery()
	case o.phase == phaseRecovering && s.consecutiveFaults >= resetAfterFaults:
		c.resetServers(s)
	}
	s.consecutiveFailures, s.consecutiveFaults = 0, 0
}

func (c *Controller) recordFailure(s *server, outcome balancer.Outcome) {
	o := &c.outage
	if s.consecutiveFailures++; outcome != balancer.Rejected { // which a server does that is merely saturated
		s.consecutiveFaults++
	}
	o.attemptEnds.add(c.now, 1)
	o.failuresSinceSuccess++
	if outcome == balancer.ConnectFailed || outcome == balancer.ConnectionLost {
		o.connectionFaults++
	}
	s.holdUntil = c.now + warmingUpHold*time.Duration(c.agents)
	if s.inFlightLimit /= 2; c.now > s.lastSuccessAt+provenDuration {
		s.inFlightLimit = 0
	}
}

// updateOutage moves between the phases.
func (c *Controller) updateOutage() {
	o := &c.outage
	switch o.phase {
	case phaseNormal:
		o.usualInFlight.trackMean(c.now, float64(c.inFlight.count))
		c.detectOutage()
	case phaseOutage: // a success ends it: recordSuccess
	case phaseRecovering:
		c.detectOutage()
		c.detectRecovered()
	}
}

// detectOutage notices that no server responds any more: by failures, or by silence.
func (c *Controller) detectOutage() {
	o := &c.outage
	if o.lastSuccessAt == 0 {
		o.lastSuccessAt = c.now
	}
	without := c.now - o.lastSuccessAt
	isFailing := o.failuresSinceSuccess >= outageMinFailures && without >= outageFailingFor
	isSilent := without >= silentOutageObjectives*c.longestObjective &&
		(o.failuresSinceSuccess >= silentOutageMinFailures || c.readyServers() == 0)
	if o.requestsSinceSuccess < outageMinRequests || !isFailing && !isSilent || c.episode.isShedding {
		return
	}
	if o.phase == phaseNormal {
		o.startedAt, o.rejectedCount = c.now, 0
	}
	c.logf("outage: nothing was served for %v, %d attempts failed, %d servers listed; "+
		"of %.0f requests a second only trials are forwarded", without.Round(time.Millisecond),
		o.failuresSinceSuccess, c.readyServers(), c.arrivals.perSecond(c.now))
	o.phase = phaseOutage
}

// checkOutage decides on a request while an outage is not over: during recovery by what the servers have
// proved, with the fraction of requests that come before it in the order of fairness; and by trials.
func (c *Controller) checkOutage(e *balancer.Request, before float64) rejectReason {
	switch c.outage.phase {
	case phaseNormal:
		return notRejected
	case phaseRecovering:
		if c.hasProvenCapacity(before) || c.admitTrial(e) {
			return notRejected
		}
		return rejectRecovering
	default:
		if c.admitTrial(e) {
			return notRejected
		}
		return rejectOutage
	}
}

// admitTrial admits a few requests, of classes that clients may repeat where there are any.
func (c *Controller) admitTrial(e *balancer.Request) bool {
	o := &c.outage
	rate := max(c.config.TrialFraction*c.retryStorm.firstAttempts.perSecond(c.now), minTrialsPerSecond)
	o.trialTokens = min(o.trialTokens+rate*(c.now-o.trialTokensAt).Seconds(), maxSavedTrials)
	o.trialTokensAt = c.now
	if o.trialTokens < 1 || c.hasRepeatableClass && !c.isRepeatable(e.Class) {
		return false
	}
	o.trialTokens--
	if o.phase == phaseOutage && c.now-max(o.lastSentAt, o.startedAt, o.lastResetAt) > stalledTrialAfter {
		o.lastResetAt = c.now
		c.resetServers(c.serversByID...) // the balancer sends no trial, by what it saw before
	}
	return true
}

// isRepeatable reports whether a client may repeat a failed request of a class.
func (c *Controller) isRepeatable(class string) bool {
	i, known := c.fairness.classIndex[class]
	return known && c.settings.Classes[i].Idempotency != balancer.NotIdempotent
}
