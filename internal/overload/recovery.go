package overload

import "time"

const (
	healthySuccessRatio = 0.8  // of the attempts: where more are served all is well
	maxRejectedFraction = 0.02 // of the requests: where fewer are rejected all is admitted
	healthyDuration     = 2 * time.Second

	initialInFlightPerServer = 8.0 // requests of all agents, where the usual number is not known yet
	rampAfter                = 5 * time.Second
	rampPerSecond            = 0.2 // of the usual number in flight, admitted in addition after rampAfter
	lowestRankCapacity       = 0.5 // of the proven capacity: for what comes last in the order of fairness
	provenDuration           = 2 * time.Second
	settledAfterRecovery     = 2 * time.Second
	resetAfterFaults         = 2 // consecutive
)

// startRecovery begins to admit what the servers prove that they can serve.
func (c *Controller) startRecovery() {
	o := &c.outage
	o.phase, o.recoveringSince, o.healthySince = phaseRecovering, c.now, 0
	for _, s := range c.serversByID {
		if s.lastSuccessAt < c.now {
			s.inFlightLimit = 0
		}
	}
	c.logf("outage: served again after %v, admitting as much as servers prove to serve; "+
		"%d requests were rejected",
		(c.now - o.startedAt).Round(time.Millisecond), o.rejectedCount)
	c.resetServers(c.serversByID...)
	c.sendToPeers(messageServedAgain)
}

// detectRecovered ends an outage once all that comes has been admitted and served for a while.
func (c *Controller) detectRecovered() {
	o := &c.outage
	isHealthy := o.successes.perSecond(c.now) >= healthySuccessRatio*o.attemptEnds.perSecond(c.now) &&
		o.rejections.perSecond(c.now) <= maxRejectedFraction*c.arrivals.perSecond(c.now)
	switch {
	case !isHealthy:
		o.healthySince = 0
	case o.healthySince == 0:
		o.healthySince = c.now
	case c.now-o.healthySince >= healthyDuration:
		o.phase = phaseNormal
		c.logf("outage over after %v", (c.now - o.startedAt).Round(time.Millisecond))
	}
}

// hasProvenCapacity reports whether the servers have proved to serve one more request, which comes after the
// given fraction of requests in the order of fairness.
func (c *Controller) hasProvenCapacity(before float64) bool {
	capacity := 0.0
	for _, s := range c.serversByID {
		if s.isReady {
			capacity += max(s.inFlightLimit, 1)
		}
	}
	return float64(c.inFlight.count) < capacity*(1-(1-lowestRankCapacity)*before)
}

// maxServerInFlight is the upper bound of a server's in-flight limit while an outage is not over: somewhat
// more than the usual number, and more with time, or growth would never be admitted.
func (c *Controller) maxServerInFlight() float64 {
	o := &c.outage
	limit := c.config.RecoveryHeadroom*o.usualInFlight.weight/max(c.recentPeakServers(), 1) + 1
	if o.usualInFlight.weight == 0 {
		limit = initialInFlightPerServer / float64(c.agents)
	}
	if ramp := c.now - o.recoveringSince - rampAfter; o.phase == phaseRecovering && ramp > 0 {
		limit *= 1 + rampPerSecond*ramp.Seconds()
	}
	return max(limit, 2)
}

// isSettled reports whether responses show service times: not those of an outage, nor those after it while
// servers may be warming up.
func (c *Controller) isSettled() bool {
	o := &c.outage
	settleTime := settledAfterRecovery
	if o.connectionFaults > 0 {
		settleTime = max(settleTime, c.settings.Rules.SlowStartDuration)
	}
	return o.phase == phaseNormal || o.phase == phaseRecovering && c.now > o.recoveringSince+settleTime
}
