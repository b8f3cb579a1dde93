package overload

import "time"

const (
	sheddingStartDelay            = 60 * time.Millisecond // time for the message to reach the other agents
	uncoordinatedSheddingFraction = 0.7                   // of SheddingFraction, as some agents miss the episode
	queueDrainTime                = 700 * time.Millisecond
	healthyFactor                 = 0.9 // times the usual service time, under reduced load
	improvedFraction              = 0.6 // of the peak factor
	improvedFactor                = 1.1 // times the usual service time
	joinFactor                    = 1.4 // times the usual service time from which an agent joins
	joinGrowth                    = 1.15
	rejoinAfter                   = 1500 * time.Millisecond
	maxBackoffDoublings           = 6
)

// shedding is a planned or current period of load shedding, in which all agents admit a fraction of the
// rate that the servers sustained, so that the servers can recover.
type shedding struct {
	isShedding        bool
	isExtended        bool // prolonged by another agent's start
	isUncoordinated   bool // planned without evidence from others: starts at a multiple of MinShedding
	sheddingFrom      time.Duration
	sheddingUntil     time.Duration
	admittedPerSecond float64       // requests
	factorAtStart     float64       // times the usual service time, when shedding was planned
	peakFactor        float64       // maximum factor since queueDrainTime
	announcedStart    time.Duration // start announced by another agent and not joined yet; zero: none
}

// isSheddingNow reports whether load is shed at this moment, rather than only planned to be.
func (c *Controller) isSheddingNow() bool {
	e := &c.episode
	return e.isShedding && c.now >= e.sheddingFrom && c.now < e.sheddingUntil
}

// takesPartInShedding reports whether this agent sheds load at all. An agent of a large fleet that sends
// little and uses the throttle does so only with SheddingWhenSparse.
func (c *Controller) takesPartInShedding() bool {
	return c.config.SheddingWhenSparse || c.config.WastedFraction >= 1 || !c.balancer.IsSparse()
}

// sheddingStart returns when to start: as soon as the announcement can have reached the other agents.
// Without evidence from others it is the next multiple of MinShedding on the shared clock, so that all
// agents that notice the episode start at the same time.
func (c *Controller) sheddingStart() time.Duration {
	e := &c.episode
	if c.settings.Balancers == 1 || !e.hasNoFreshPeer(c.now) {
		return c.now + sheddingStartDelay
	}
	e.isUncoordinated = true
	return c.now.Truncate(c.config.MinShedding) + c.config.MinShedding
}

// planShedding plans load shedding from the given time on, and computes the rate to admit.
func (c *Controller) planShedding(from time.Duration) {
	e := &c.episode
	e.isShedding, e.isExtended, e.sheddingFrom, e.sheddingUntil = true, false, from, from+c.config.MaxShedding
	fraction := 1.0
	if e.isUncoordinated {
		e.sheddingUntil += c.config.MinShedding
		fraction = uncoordinatedSheddingFraction
	}
	e.factorAtStart, _ = e.pooledEvidence(c.now)
	// Part of the recently served requests date from before the episode.
	e.admittedPerSecond = fraction * c.config.SheddingFraction *
		min(c.successes.perSecond(c.now), c.usualSuccesses.perSecond(c.now)/e.factorAtStart)
	e.peakFactor, e.slowSince, e.announcedStart = 0, 0, 0
}

// updateShedding ends shedding at its scheduled end, or earlier once service has become fast: faster than
// usual under the reduced load, or far faster than at the peak.
func (c *Controller) updateShedding(factor, weight float64) {
	e := &c.episode
	elapsed := c.now - e.sheddingFrom
	if elapsed > queueDrainTime && elapsed < c.config.MinShedding && weight >= minEndWeight {
		e.peakFactor = max(e.peakFactor, factor)
	}
	isFast := elapsed > queueDrainTime && factor < healthyFactor ||
		elapsed > c.config.MinShedding && factor < min(improvedFraction*e.peakFactor, improvedFactor)
	switch {
	case isFast && weight >= minEndWeight:
		e.noSheddingBefore = c.now + c.config.SheddingBackoff // detectEnd resets it if the episode is over
		c.logf("latency episode over after %v of load shedding, responses take %.1f times the usual",
			elapsed.Round(time.Millisecond), factor)
	case c.now >= e.sheddingUntil:
		e.noSheddingBefore = c.now + c.config.SheddingBackoff<<min(e.failedSheddings, maxBackoffDoublings)
		e.failedSheddings++
		c.logf("latency episode goes on after load shedding, responses take %.1f times the usual; "+
			"no shedding for %v", factor, e.noSheddingBefore-c.now)
	default:
		return
	}
	e.isShedding, e.isUncoordinated, e.sheddingEndedAt, e.usualSince, e.factorSinceShedding =
		false, false, c.now, 0, 0
	c.outage.resetSinceSuccess(c.now) // requests that were shed could not succeed
}

// sheddingAdmittedFraction returns the fraction of requests that is admitted while load is shed. It shrinks
// if service has become even slower.
func (c *Controller) sheddingAdmittedFraction() float64 {
	e := &c.episode
	fraction := 1.0
	if factor, weight := e.pooledEvidence(c.now); weight >= minEndWeight {
		fraction = min(1, e.factorAtStart/factor)
	}
	return fraction * e.admittedPerSecond / max(c.arrivals.perSecond(c.now), 1)
}

// joinShedding joins the shedding that another agent announced as soon as this agent's own responses
// support it, because some agents notice an episode later than others.
func (c *Controller) joinShedding() {
	e := &c.episode
	switch {
	case !c.takesPartInShedding() || !c.isSettled() || e.isShedding || e.announcedStart == 0:
		return
	case e.sheddingEndedAt > 0 && c.now < e.sheddingEndedAt+rejoinAfter:
		return
	case c.now > e.announcedStart+c.config.MaxShedding: // shedding ended without this agent
		// This agent does not plan shedding for a while either.
		e.announcedStart, e.sheddingEndedAt, e.factorSinceShedding = 0, c.now, 0
		e.noSheddingBefore = c.now + c.config.SheddingBackoff
		return
	}
	factor, _ := e.pooledEvidence(c.now)
	if c.now > e.announcedStart+c.config.MaxShedding/2 || factor < joinFactor/c.serverCapacityFraction() ||
		!e.ownEvidenceAgrees(c.now) || !e.maySheddingHelp(c.now, factor, joinGrowth) {
		return
	}
	c.planShedding(e.announcedStart)
	c.logf("latency episode: joining the load shedding announced by another agent")
	if c.settings.Balancers > peersPerMessage+1 {
		c.sendToPeers(messageShedding) // the first announcement may not have reached all agents
	}
}
