package overload

import "time"

const (
	sparseFactorHalfLife = 700 * time.Millisecond // for an agent that has too few responses in factorHalfLife

	minOwnWeight    = 8.0  // responses: from then on an agent's own evidence counts by itself
	minSparseWeight = 2.0  // the same over the longer time
	minPooledWeight = 20.0 // responses of all agents, for an episode to begin
	minAloneWeight  = 12.0 // the same for an agent that hears no other
	minEndWeight    = 12.0 // responses, for an episode to be over

	unusualFactor         = 1.25 // times the usual service time: from then on there is something to tell others
	minSlowServerFraction = 0.7  // of the servers with recent responses: so many are slow in an episode
	maxForwardedFraction  = 0.9  // where more is forwarded, shedding costs more than the episode

	learningDuration      = 5 * time.Second        // from the first response on: until then nothing is unusual
	episodeConfirmedAfter = 150 * time.Millisecond // of slow service, before load is shed
	episodeOverAfter      = time.Second            // of usual service

	newEpisodeGrowth      = 1.35 // times the factor after shedding that did not help: a new episode on top
	growthMinAge          = 1800 * time.Millisecond
	episodeFactorHalfLife = 3 * time.Second
)

// episode follows latency episodes: work that is slow at every server at once, and the load shedding that
// ends them.
type episode struct {
	own       evidence // latest responses of this agent
	ownSparse evidence // the same, over a longer time
	peers     [maxPeerEvidence]peerEvidence
	sentAt    time.Duration // when evidence was last sent

	slowSince  time.Duration // zero: it is not slow
	quietSince time.Duration // since when service is as usual; zero: it is not

	shedding
	failedSheddings       int // of this episode, that did not end it
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

// observe takes in a response: the logarithm of how many times the usual service time it took.
func (e *episode) observe(now time.Duration, logFactor float64) {
	for _, own := range [...]*evidence{&e.own, &e.ownSparse} {
		own.decayAll(now)
		own.observe(logFactor)
	}
}

// pooled is the factor by all agents' evidence, and how many responses it rests on. An agent that hears no
// other goes by its own responses, over a longer time.
func (e *episode) pooled(now time.Duration) (factor, weight float64) {
	e.own.decayAll(now)
	if e.hearsNoPeer(now) && e.own.weight < minAloneWeight {
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

// supports reports whether this agent's own responses say the same as the others: what others say alone,
// forged or not, never has requests rejected.
func (e *episode) supports(now time.Duration) bool {
	if e.own.weight >= minOwnWeight {
		return e.own.factor() >= unusualFactor
	}
	e.ownSparse.decayAll(now)
	return e.ownSparse.weight >= minSparseWeight && e.ownSparse.factor() >= unusualFactor
}

// detectEnd notices that an episode is over.
func (e *episode) detectEnd(now time.Duration, factor, weight float64) {
	switch {
	case weight < minEndWeight || factor >= slowServerFactor:
		e.quietSince = 0
	case e.quietSince == 0:
		e.quietSince = now
	case now-e.quietSince > episodeOverAfter:
		e.noSheddingBefore, e.failedSheddings = 0, 0
	}
}

// maySheddingHelp reports whether to shed load (again): not in an episode that shedding did not end, unless
// service has become slower still by the growth, which is another episode on top.
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

// updateEpisode looks at the evidence: it begins and ends load shedding, and notifies other agents.
func (c *Controller) updateEpisode() {
	e := &c.episode
	if !c.isSettled() { // what is slow then is due to the outage
		e.slowSince, e.announcedStart, e.isShedding = 0, 0, false
		return
	}
	factor, weight := e.pooled(c.now)
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

// isSlow reports whether there is a latency episode: service is slow at every server by all agents' evidence,
// this agent's own does not contradict, and requests find no capacity for it.
func (c *Controller) isSlow(factor, weight float64) bool {
	e := &c.episode
	minWeight := minPooledWeight
	if e.hearsNoPeer(c.now) {
		minWeight = minAloneWeight
	}
	knowsUsual := c.firstResponseAt > 0 && c.now >= c.firstResponseAt+learningDuration
	hasEvidence := c.takesPartInShedding() && knowsUsual && weight >= minWeight
	return hasEvidence && factor >= c.config.EpisodeFactor &&
		factor >= c.config.EpisodeFactor/c.serverCapacityFraction() && e.supports(c.now) &&
		c.slowServerFraction() >= minSlowServerFraction && c.forwardedFraction() < maxForwardedFraction
}
