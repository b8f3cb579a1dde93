package overload

import "time"

const (
	sheddingStartDelay    = 60 * time.Millisecond // for the message to get to the other agents
	aloneSheddingFraction = 0.7                   // of SheddingFraction, as not all agents notice
	queueDrainTime        = 700 * time.Millisecond
	healthyFactor         = 0.9 // times the usual service time, with little load
	improvedFraction      = 0.6 // of the peak factor
	improvedFactor        = 1.1 // times the usual service time
	joinFactor            = 1.4 // times the usual service time, by all agents: from then on an agent joins
	joinGrowth            = 1.15
	rejoinAfter           = 1500 * time.Millisecond
	maxBackoffDoublings   = 6
)

// shedding is a period of load shedding that is planned or under way: all agents admit a fraction of what the
// servers carried, so that these can recover.
type shedding struct {
	isShedding        bool
	isExtended        bool // another agent's start made it longer
	isAlone           bool // no other agent is heard: it starts by the clock
	sheddingFrom      time.Duration
	sheddingUntil     time.Duration
	admittedPerSecond float64       // requests
	factorAtStart     float64       // times the usual service time, when it was planned
	peakFactor        float64       // the largest since, once queues were drained
	announcedStart    time.Duration // of another agent's shedding that is not joined yet; zero: there is none
}

// isSheddingNow reports whether load is shed at this moment, not only planned to be.
func (c *Controller) isSheddingNow() bool {
	e := &c.episode
	return e.isShedding && c.now >= e.sheddingFrom && c.now < e.sheddingUntil
}

// takesPartInShedding reports whether this agent sheds load at all: not where it is one of many that send
// little each and has a throttle, unless it is configured.
func (c *Controller) takesPartInShedding() bool {
	return c.config.SheddingWhenSparse || c.config.WastedFraction >= 1 || !c.balancer.IsSparse()
}

// sheddingStart is when to start: as soon as the others can know. Where no other agent is heard it is the
// next multiple of MinShedding on the clock that all agents share, so that those that notice the episode meet
// all the same.
func (c *Controller) sheddingStart() time.Duration {
	e := &c.episode
	if c.settings.Balancers == 1 || !e.hearsNoPeer(c.now) {
		return c.now + sheddingStartDelay
	}
	e.isAlone = true
	return c.now.Truncate(c.config.MinShedding) + c.config.MinShedding
}

// planShedding has a fraction of what the servers carry now admitted, from the given time on.
func (c *Controller) planShedding(from time.Duration) {
	e := &c.episode
	e.isShedding, e.isExtended, e.sheddingFrom, e.sheddingUntil = true, false, from, from+c.config.MaxShedding
	fraction := 1.0
	if e.isAlone {
		e.sheddingUntil += c.config.MinShedding
		fraction = aloneSheddingFraction
	}
	e.factorAtStart, _ = e.pooled(c.now)
	// What was served of late is partly from before the episode.
	e.admittedPerSecond = fraction * c.config.SheddingFraction *
		min(c.successes.perSecond(c.now), c.usualSuccesses.perSecond(c.now)/e.factorAtStart)
	e.peakFactor, e.slowSince, e.announcedStart = 0, 0, 0
}

// updateShedding ends shedding when its time is up, or before when service is quick: quicker than usual with
// so little load, or far quicker than at first.
func (c *Controller) updateShedding(factor, weight float64) {
	e := &c.episode
	elapsed := c.now - e.sheddingFrom
	if elapsed > queueDrainTime && elapsed < c.config.MinShedding && weight >= minEndWeight {
		e.peakFactor = max(e.peakFactor, factor)
	}
	isQuick := elapsed > queueDrainTime && factor < healthyFactor ||
		elapsed > c.config.MinShedding && factor < min(improvedFraction*e.peakFactor, improvedFactor)
	switch {
	case isQuick && weight >= minEndWeight:
		e.noSheddingBefore = c.now + c.config.SheddingBackoff // unless the episode is over: see detectEnd
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
	e.isShedding, e.isAlone, e.sheddingEndedAt, e.quietSince, e.factorSinceShedding = false, false, c.now, 0, 0
	c.outage.resetSinceSuccess(c.now) // what was not forwarded could not be served
}

// sheddingAdmittedFraction is the fraction of all requests that is admitted while load is shed: less where
// service has become slower still.
func (c *Controller) sheddingAdmittedFraction() float64 {
	e := &c.episode
	fraction := 1.0
	if factor, weight := e.pooled(c.now); weight >= minEndWeight {
		fraction = min(1, e.factorAtStart/factor)
	}
	return fraction * e.admittedPerSecond / max(c.arrivals.perSecond(c.now), 1)
}

// joinShedding joins the shedding that another agent announced, as soon as this agent's own responses support
// it: some agents notice an episode a little later.
func (c *Controller) joinShedding() {
	e := &c.episode
	switch {
	case !c.takesPartInShedding() || !c.isSettled() || e.isShedding || e.announcedStart == 0:
		return
	case e.sheddingEndedAt > 0 && c.now < e.sheddingEndedAt+rejoinAfter:
		return
	case c.now > e.announcedStart+c.config.MaxShedding: // the others did it
		// This agent proposes none for a while either.
		e.announcedStart, e.sheddingEndedAt, e.factorSinceShedding = 0, c.now, 0
		e.noSheddingBefore = c.now + c.config.SheddingBackoff
		return
	}
	factor, _ := e.pooled(c.now)
	if c.now > e.announcedStart+c.config.MaxShedding/2 || factor < joinFactor/c.serverCapacityFraction() ||
		!e.supports(c.now) || !e.maySheddingHelp(c.now, factor, joinGrowth) {
		return
	}
	c.planShedding(e.announcedStart)
	c.logf("latency episode: joins load shedding")
	if c.settings.Balancers > peersPerMessage+1 {
		c.sendToPeers(messageShedding) // it may not have reached all
	}
}
