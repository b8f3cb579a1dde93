package overload

import "time"

const (
	healthySuccessRatio = 0.8  // minimum ratio of successes to attempts in healthy operation
	maxRejectedFraction = 0.02 // maximum fraction of rejected requests in healthy operation
	healthyDuration     = 2 * time.Second

	initialInFlightPerServer = 8.0 // requests of all agents, if the usual number is unknown
	rampAfter                = 5 * time.Second
	rampPerSecond            = 0.2 // growth of the in-flight limit after rampAfter, per second
	lowestRankCapacity       = 0.5 // fraction of the proven capacity for the last request in the fairness order
	provenDuration           = 2 * time.Second
	settledAfterRecovery     = 2 * time.Second
	resetAfterFaults         = 2 // consecutive faults after which a success resets the view of the server
)

// startRecovery enters phaseRecovering, in which the servers get what they prove able to serve.
func (c *Controller) startRecovery() {
	o := &c.outage
	o.phase, o.recoveringSince, o.healthySince = phaseRecovering, c.now, 0
	for _, s := range c.serversByID {
		if s.lastSuccessAt < c.now {
			s.inFlightLimit = 0
			c.recount(s)
		}
	}
	c.logf("outage: served again after %v, admitting only what servers prove able to serve; "+
		"%d requests were rejected",
		(c.now - o.startedAt).Round(time.Millisecond), o.rejectedCount)
	c.resetServers(c.serversByID...)
	c.sendToPeers(messageServedAgain)
}

// detectRecovered ends an outage once nearly all requests have been admitted and served for
// healthyDuration.
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

// hasProvenCapacity reports whether the servers have proved able to serve one more request. The fraction of
// requests that precede it in the fairness order, before, reduces the capacity that it may use.
func (c *Controller) hasProvenCapacity(before float64) bool {
	return float64(c.inFlight.count) < c.serverCounts.provenCapacity*(1-(1-lowestRankCapacity)*before)
}

// maxServerInFlight returns the upper bound of a server's in-flight limit until an outage is over, at least
// 2: somewhat more than the usual number. It rises with time, because otherwise increased demand would
// never be admitted.
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

// isSettled reports whether latencies represent service times. Those during an outage do not, nor do those
// shortly after it, when servers may be in slow start.
func (c *Controller) isSettled() bool {
	o := &c.outage
	settleTime := settledAfterRecovery
	if o.connectionFaults > 0 {
		settleTime = max(settleTime, c.settings.Rules.SlowStartDuration)
	}
	return o.phase == phaseNormal || o.phase == phaseRecovering && c.now > o.recoveringSince+settleTime
}
