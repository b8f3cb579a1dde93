package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	attemptEndsHalfLife     = 400 * time.Millisecond
	usualInFlightHalfLife   = 10 * time.Second
	outageMinRequests       = 5 // requests without a success that are required to detect an outage
	outageMinFailures       = 12
	outageFailingFor        = 500 * time.Millisecond
	silentOutageObjectives  = 2 // latency objectives without a success that count as a silent outage
	silentOutageMinFailures = 3 // failures in that time that are required as well

	minTrialsPerSecond = 1.0
	maxSavedTrials     = 2.0
	stalledTrialAfter  = 300 * time.Millisecond // time without an attempt until the balancer's view is reset

	// slowStartHold, multiplied by the number of agents, is the pause of a server in slow start after a
	// failure.
	slowStartHold = 80 * time.Millisecond
)

// phase distinguishes normal operation, an outage and the recovery from it.
type phase uint8

const (
	phaseNormal     phase = iota
	phaseOutage           // no server responds: only trials are forwarded
	phaseRecovering       // servers respond again and get no more than they prove able to serve
)

// outageState is the state of outage detection and recovery. In an outage, no server responds.
type outageState struct {
	phase           phase
	startedAt       time.Duration
	recoveringSince time.Duration
	healthySince    time.Duration // nearly all requests admitted and served since then; zero: not healthy

	attemptEnds   decayingSum // attempts that ended
	successes     decayingSum // of these, served
	rejections    decayingSum // requests rejected for a reason that delaysRecovery
	usualInFlight decayingSum // decaying mean of the requests in flight in normal times

	lastSuccessAt        time.Duration
	requestsSinceSuccess int
	failuresSinceSuccess int
	connectionFaults     int // since the last success in phaseNormal; servers may be restarting

	rejectedCount int // during this outage
	trialTokens   float64
	trialTokensAt time.Duration
	lastSentAt    time.Duration
	lastResetAt   time.Duration // last reset of the balancer's view of the servers, because it sent no trial
}

func newOutageState() outageState {
	ends := decayingSum{halfLife: attemptEndsHalfLife}
	return outageState{
		attemptEnds: ends, successes: ends, rejections: ends,
		usualInFlight: decayingSum{halfLife: usualInFlightHalfLife},
	}
}

// resetSinceSuccess restarts the counts since the last success.
func (o *outageState) resetSinceSuccess(now time.Duration) {
	o.requestsSinceSuccess, o.failuresSinceSuccess, o.lastSuccessAt = 0, 0, now
}

// recordAttemptEnd records the outcome of an attempt at a server.
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
	c.recount(s)
}

func (c *Controller) recordFailure(s *server, outcome balancer.Outcome) {
	o := &c.outage
	if s.consecutiveFailures++; outcome != balancer.Rejected { // a saturated server rejects although it works
		s.consecutiveFaults++
	}
	o.attemptEnds.add(c.now, 1)
	o.failuresSinceSuccess++
	if outcome == balancer.ConnectFailed || outcome == balancer.ConnectionLost {
		o.connectionFaults++
	}
	s.holdUntil = c.now + slowStartHold*time.Duration(c.agents)
	if s.inFlightLimit /= 2; c.now > s.lastSuccessAt+provenDuration {
		s.inFlightLimit = 0
	}
	c.recount(s)
}

// updateOutage detects the transitions between phases that depend on time and rates.
func (c *Controller) updateOutage() {
	o := &c.outage
	switch o.phase {
	case phaseNormal:
		o.usualInFlight.trackMean(c.now, float64(c.inFlight.count))
		c.detectOutage()
	case phaseOutage: // ended by a success: see recordSuccess
	case phaseRecovering:
		c.detectOutage()
		c.detectRecovered()
	}
}

// detectOutage enters phaseOutage when servers have stopped responding, shown by failures or by silence.
func (c *Controller) detectOutage() {
	o := &c.outage
	if o.lastSuccessAt == 0 {
		o.lastSuccessAt = c.now
	}
	sinceSuccess := c.now - o.lastSuccessAt
	isFailing := o.failuresSinceSuccess >= outageMinFailures && sinceSuccess >= outageFailingFor
	isSilent := sinceSuccess >= silentOutageObjectives*c.longestObjective &&
		(o.failuresSinceSuccess >= silentOutageMinFailures || c.serverCounts.ready == 0)
	if o.requestsSinceSuccess < outageMinRequests || !isFailing && !isSilent || c.episode.isShedding {
		return
	}
	if o.phase == phaseNormal {
		o.startedAt, o.rejectedCount = c.now, 0
	}
	c.logf("outage: nothing was served for %v, %d attempts failed, %d servers are ready; "+
		"forwarding only trials of %.0f requests per second", sinceSuccess.Round(time.Millisecond),
		o.failuresSinceSuccess, c.serverCounts.ready, c.arrivals.perSecond(c.now))
	o.phase = phaseOutage
}

// checkOutage decides on a request until an outage is over. During the outage, only trials are admitted.
// During recovery, requests within the proven capacity are admitted too; before is the fraction of requests
// that precede this one in the fairness order.
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

// admitTrial admits a few requests as trials; if there are classes that clients may repeat, only requests
// of these.
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
		c.resetServers(c.serversByID...) // because of its old view, the balancer sends no trial
	}
	return true
}

// isRepeatable reports whether clients may repeat a failed request of a class; false for an unknown class.
func (c *Controller) isRepeatable(class string) bool {
	i, known := c.fairness.classIndex[class]
	return known && c.settings.Classes[i].Idempotency != balancer.NotIdempotent
}
