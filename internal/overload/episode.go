package overload

import "time"

const (
	sparseFactorHalfLife = 700 * time.Millisecond // for agents with too few responses within factorHalfLife

	minOwnWeight          = 8.0  // responses from which an agent's own evidence is sufficient
	minSparseWeight       = 2.0  // the same over sparseFactorHalfLife
	minPooledWeight       = 20.0 // responses of all agents required to begin an episode
	minWeightWithoutPeers = 12.0 // the same for an agent without fresh evidence from others
	minEndWeight          = 12.0 // responses required to end an episode

	unusualFactor         = 1.25 // multiple of the usual service time from which own responses are unusual
	minSlowServerFraction = 0.7  // minimum slowServerFraction in an episode
	maxForwardedFraction  = 0.9  // fraction of requests; above it, shedding costs more than the episode

	learningDuration      = 5 * time.Second        // from the first response until service can count as slow
	episodeConfirmedAfter = 150 * time.Millisecond // duration of slow service after which load is shed
	episodeOverAfter      = time.Second            // duration of usual service after which an episode is over

	newEpisodeGrowth      = 1.35                    // factor growth after shedding that starts a new episode
	growthMinAge          = 1800 * time.Millisecond // minimum time since the end of shedding until growth counts
	episodeFactorHalfLife = 3 * time.Second
)

// episode is the state of latency episode detection, and of the load shedding that ends an episode: every
// server is slow at once.
type episode struct {
	own       evidence // this agent's latest responses
	ownSparse evidence // the same, with a longer half-life
	peers     [maxPeerEvidence]peerEvidence
	sentAt    time.Duration // when evidence was last sent

	slowSince  time.Duration // zero: service is not slow
	usualSince time.Duration // start of usual service; zero: service is not usual

	shedding
	failedSheddings       int // number of sheddings that did not end this episode
	sheddingEndedAt       time.Duration
	noSheddingBefore      time.Duration
	factorSinceShedding   float64 // decaying mean; zero: not known yet
	factorSinceSheddingAt time.Duration
}

func newEpisode() episode {
	return episode{
		own:       evidence{decayingSum: decayingSum{halfLife: factorHalfLife}},
		ownSparse: evidence{decayingSum: decayingSum{halfLife: sparseFactorHalfLife}},
	}
}

// observe records a response, given the natural logarithm of its latency divided by the usual service time.
func (e *episode) observe(now time.Duration, logFactor float64) {
	for _, own := range [...]*evidence{&e.own, &e.ownSparse} {
		own.decayAll(now)
		own.observe(logFactor)
	}
}

// pooledEvidence returns the factor by the evidence of all agents, and the number of responses behind it.
// An agent without fresh evidence from others uses its own responses, over a longer time if they are few.
func (e *episode) pooledEvidence(now time.Duration) (factor, weight float64) {
	e.own.decayAll(now)
	if e.hasNoFreshPeer(now) && e.own.weight < minWeightWithoutPeers {
		e.ownSparse.decayAll(now)
		return e.ownSparse.factor(), e.ownSparse.weight
	}
	all := e.own
	if all.weight > maxWeight {
		all.logSum, all.weight = all.logSum/all.weight*maxWeight, maxWeight
	}
	for i := range e.peers {
		if p := &e.peers[i]; p.isFresh(now) {
			all.logSum += p.logFactor * p.weight
			all.weight += p.weight
		}
	}
	return all.factor(), all.weight
}

// ownEvidenceAgrees reports whether this agent's own responses are slow too. Messages of other agents
// alone, forged or not, never cause rejections.
func (e *episode) ownEvidenceAgrees(now time.Duration) bool {
	if e.own.weight >= minOwnWeight {
		return e.own.factor() >= unusualFactor
	}
	e.ownSparse.decayAll(now)
	return e.ownSparse.weight >= minSparseWeight && e.ownSparse.factor() >= unusualFactor
}

// detectEnd lifts the restrictions on shedding once service has been as usual for more than
// episodeOverAfter, because the episode is then over.
func (e *episode) detectEnd(now time.Duration, factor, weight float64) {
	switch {
	case weight < minEndWeight || factor >= slowServerFactor:
		e.usualSince = 0
	case e.usualSince == 0:
		e.usualSince = now
	case now-e.usualSince > episodeOverAfter:
		e.noSheddingBefore, e.failedSheddings = 0, 0
	}
}

// maySheddingHelp reports whether to shed load. In an episode that earlier shedding did not end it returns
// false until noSheddingBefore, unless the factor has since grown by the given growth, which indicates
// another episode on top.
func (e *episode) maySheddingHelp(now time.Duration, factor, growth float64) bool {
	if now >= e.noSheddingBefore {
		return true
	}
	since := now - e.sheddingEndedAt
	if since < episodeOverAfter {
		return false
	}
	if e.factorSinceShedding == 0 {
		e.factorSinceShedding, e.factorSinceSheddingAt = factor, now
	}
	hasGrown := factor > growth*e.factorSinceShedding && since > growthMinAge
	mean := decayingSum{halfLife: episodeFactorHalfLife, updatedAt: e.factorSinceSheddingAt}
	e.factorSinceShedding += (factor - e.factorSinceShedding) * (1 - mean.decay(now))
	e.factorSinceSheddingAt = now
	return hasGrown
}

// updateEpisode evaluates the evidence, begins and ends load shedding, and notifies other agents.
func (c *Controller) updateEpisode() {
	e := &c.episode
	if !c.isSettled() { // slow responses are due to the outage
		e.slowSince, e.announcedStart, e.isShedding = 0, 0, false
		return
	}
	factor, weight := e.pooledEvidence(c.now)
	isUnusual := e.own.weight >= minSparseWeight && e.own.factor() > unusualFactor
	if (e.isShedding || isUnusual) && c.now >= e.sentAt+evidenceInterval {
		c.sendToPeers(messageEvidence)
	}
	if e.isShedding {
		if c.now >= e.sheddingFrom {
			c.updateShedding(factor, weight)
		}
		return
	}
	c.joinShedding()
	e.detectEnd(c.now, factor, weight)
	if !c.isSlow(factor, weight) || !e.maySheddingHelp(c.now, factor, newEpisodeGrowth) {
		e.slowSince = 0
		return
	}
	if e.slowSince == 0 {
		e.slowSince = c.now
	}
	if c.now-e.slowSince >= episodeConfirmedAfter {
		c.planShedding(c.sheddingStart())
		c.logf("latency episode: responses take %.1f times the usual, %.0f%% of requests are forwarded; "+
			"shedding load for %v at most", factor, 100*c.forwardedFraction(), c.config.MaxShedding)
		c.sendToPeers(messageShedding)
	}
}

// isSlow reports whether there is a latency episode: service is slow at most servers by the evidence of all
// agents, this agent's own evidence agrees, and requests find no capacity because of it.
func (c *Controller) isSlow(factor, weight float64) bool {
	e := &c.episode
	minWeight := minPooledWeight
	if e.hasNoFreshPeer(c.now) {
		minWeight = minWeightWithoutPeers
	}
	knowsUsual := c.firstResponseAt > 0 && c.now >= c.firstResponseAt+learningDuration
	hasEvidence := c.takesPartInShedding() && knowsUsual && weight >= minWeight
	return hasEvidence && factor >= c.config.EpisodeFactor &&
		e.ownEvidenceAgrees(c.now) && c.forwardedFraction() < maxForwardedFraction &&
		factor >= c.config.EpisodeFactor/c.serverCapacityFraction() &&
		c.slowServerFraction() >= minSlowServerFraction
}
