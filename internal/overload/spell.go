package overload

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	factorHalfLife       = 300 * time.Millisecond
	rateHalfLife         = 400 * time.Millisecond
	usualRateHalfLife    = 3 * time.Second
	sparseFactorHalfLife = 700 * time.Millisecond // for an agent that meets too few answers in that time
	peerEvidenceValidFor = 400 * time.Millisecond
	maxPeerEvidence      = 16 // whose evidence is kept
	peersPerMessage      = 8  // at once
	evidenceInterval     = 150 * time.Millisecond
	checkInterval        = 10 * time.Millisecond

	minOwnWeight          = 8.0 // answers in a moment, for an agent's own evidence to count by itself
	minSparseWeight       = 2.0 // in the longer time
	minPooledWeight       = 20.0
	minAloneWeight        = 12.0
	minEndWeight          = 12.0 // answers that must say that it is over
	unusualFactor         = 1.25 // factor from which on there is something to tell
	joinFactor            = 1.4  // factor of all evidence, for an agent to join a purge
	slowServerFactor      = 1.2  // factor at one server
	minSlowServerFraction = 0.7  // of the servers heard: slow ones, in a spell
	recentResponse        = 2 * time.Second
	maxForwardedFraction  = 0.9 // of what comes: where more is sent on, a purge would cost more than the spell

	learningDuration      = 5 * time.Second // what is usual, before anything is unusual
	episodeConfirmedAfter = 150 * time.Millisecond
	aloneSheddingFraction = 0.7                   // of a purge's share: makes up for agents that do not see the spell
	sheddingStartDelay    = 60 * time.Millisecond // the time that the news needs
	maxLateStart          = 200 * time.Millisecond
	maxEarlyStart         = time.Second
	queueDrainTime        = 700 * time.Millisecond // of a purge: by then what was queued is done
	healthyFactor         = 0.9                    // factor with the crowd gone
	improvedFraction      = 0.6                    // of the largest factor in the purge
	improvedFactor        = 1.1
	newEpisodeGrowth      = 1.35 // times the factor after a purge in vain: another spell on top
	joinGrowth            = 1.15 // likewise, where another agent says so
	growthMinAge          = 1800 * time.Millisecond
	rejoinAfter           = 1500 * time.Millisecond
	episodeFactorHalfLife = 3 * time.Second
	episodeOverAfter      = time.Second
)

// spell is what is made of work that is slow at every server at once.
type episode struct {
	own       evidence // latest answers of this agent
	ownSparse evidence // the same, over a longer time
	peers     [maxPeerEvidence]peerEvidence

	slowSince  time.Duration // zero: it is not slow
	quietSince time.Duration // since when work is as usual; zero: it is not
	checkedAt  time.Duration
	sentAt     time.Duration

	announcedStart        time.Duration // when a purge begins that was heard of and not joined yet
	isShedding            bool
	isExtended            bool          // a purge was lengthened
	isAlone               bool          // it goes by the clock
	sheddingFrom          time.Duration // of the purge
	sheddingUntil         time.Duration
	admittedPerSecond     float64 // requests a second let through
	factorAtStart         float64 // factor when it was planned
	peakFactor            float64 // largest factor in it, once what was queued is done
	failedSheddings       int     // purges of this spell that did not end it
	sheddingEndedAt       time.Duration
	noSheddingBefore      time.Duration // no purge before
	factorSinceShedding   float64       // factor since the purge
	factorSinceSheddingAt time.Duration
}

// peerEvidence is the latest evidence of another agent.
type peerEvidence struct {
	from              int
	logFactor, weight float64
	receivedAt        time.Duration
}

func newEpisode() episode {
	return episode{own: evidence{decayingSum: decayingSum{halfLife: factorHalfLife}}, ownSparse: evidence{decayingSum: decayingSum{halfLife: sparseFactorHalfLife}}}
}

// answered takes an answer in: how its time compares with the usual one.
func (s *episode) observe(now time.Duration, r float64) {
	for _, e := range [...]*evidence{&s.own, &s.ownSparse} {
		e.logSum *= e.decay(now)
		e.add(r)
	}
}

// pooled is the factor by all evidence at hand, and how many answers it rests on. An agent that hears of no
// other goes by its own answers, over a longer time.
func (s *episode) pooled(now time.Duration) (factor, weight float64) {
	s.own.logSum *= s.own.decay(now)
	if s.hearsNoPeer(now) && s.own.weight < minAloneWeight {
		s.ownSparse.logSum *= s.ownSparse.decay(now)
		return s.ownSparse.factor(), s.ownSparse.weight
	}
	all := s.own
	if all.weight > maxWeight {
		all.logSum, all.weight = all.logSum/all.weight*maxWeight, maxWeight
	}
	for i := range s.peers {
		if p := &s.peers[i]; p.receivedAt > 0 && now-p.receivedAt < peerEvidenceValidFor {
			all.logSum += p.logFactor * p.weight
			all.weight += p.weight
		}
	}
	return all.factor(), all.weight
}

// alone tells whether no other agent was heard of late.
func (s *episode) hearsNoPeer(now time.Duration) bool {
	for i := range s.peers {
		if p := &s.peers[i]; p.receivedAt > 0 && now-p.receivedAt < peerEvidenceValidFor {
			return false
		}
	}
	return true
}

// supports tells whether this agent's own answers say the same as the others: what they say alone, forged or
// not, never makes it refuse.
func (s *episode) supports(now time.Duration) bool {
	if s.own.weight >= minOwnWeight {
		return s.own.factor() >= unusualFactor
	}
	s.ownSparse.logSum *= s.ownSparse.decay(now)
	return s.ownSparse.weight >= minSparseWeight && s.ownSparse.factor() >= unusualFactor
}

// heard keeps a peer's evidence, in place of its last one or of the oldest.
func (s *episode) recordPeer(now time.Duration, from int, m message) {
	place := &s.peers[0]
	for i := range s.peers {
		p := &s.peers[i]
		if p.receivedAt > 0 && p.from == from {
			place = p
			break
		}
		if p.receivedAt < place.receivedAt {
			place = p
		}
	}
	*place = peerEvidence{from: from, logFactor: m.logFactor, weight: m.weight, receivedAt: now}
}

// updateEpisode looks at what there is of evidence.
func (g *Controller) updateEpisode() {
	s := &g.episode
	if g.now < s.checkedAt+checkInterval {
		return
	}
	s.checkedAt = g.now
	g.updateRetryStorm()
	g.updateThrottle()
	if !g.isSettled() { // what is slow then is what comes back
		s.slowSince, s.announcedStart, s.isShedding = 0, 0, false
		return
	}
	factor, weight := s.pooled(g.now)
	if (s.isShedding || s.own.weight >= minSparseWeight && s.own.factor() > unusualFactor) && g.now >= s.sentAt+evidenceInterval {
		g.sendToPeers(messageEvidence)
	}
	if s.isShedding {
		if g.now >= s.sheddingFrom {
			g.updateShedding(factor, weight)
		}
		return
	}
	g.joinShedding()
	s.detectEnd(g.now, factor, weight)
	if !g.isSlow(factor, weight) || !s.maySheddingHelp(g.now, factor, newEpisodeGrowth) {
		s.slowSince = 0
		return
	}
	if s.slowSince == 0 {
		s.slowSince = g.now
	}
	if g.now-s.slowSince >= episodeConfirmedAfter {
		g.planShedding(g.sheddingStart())
		g.logf("slow spell: work takes %.1f times the usual, %.0f%% of requests find room; purge for %v at most",
			factor, 100*g.forwardedFraction(), g.config.MaxShedding)
		g.sendToPeers(messageShedding)
	}
}

// purges tells whether this agent takes part in purges. Where it is one of many that send little each, and
// has a throttle, it does not, unless that is set: all spells seen at that size ran their course, purged or
// not.
func (g *Controller) takesPartInShedding() bool {
	return g.config.SheddingWhenSparse || g.config.WastedFraction >= 1 || !g.balancer.Sparse()
}

// isSlow tells whether all evidence says, and this agent's own does not deny, that work is slow at every
// server, and that requests find no room for it.
func (g *Controller) isSlow(factor, weight float64) bool {
	s := &g.episode
	least := minPooledWeight
	if s.hearsNoPeer(g.now) {
		least = minAloneWeight
	}
	known := g.firstResponseAt > 0 && g.now >= g.firstResponseAt+learningDuration
	return g.takesPartInShedding() && known && weight >= least && factor >= g.config.EpisodeFactor &&
		factor >= g.config.EpisodeFactor/g.serverCapacityFraction() && s.supports(g.now) &&
		g.slowServerFraction() >= minSlowServerFraction && g.forwardedFraction() < maxForwardedFraction
}

// able is what the servers that take requests can do, as a part of what is usual. Guards against a purge
// where servers are missing: with many of them out or cold, work takes longer everywhere for want of room,
// and to rest those that are left mends nothing.
func (g *Controller) serverCapacityFraction() float64 {
	can := 0.0
	for _, s := range g.serversByID {
		if !s.isReady {
			continue
		}
		warmth := 1.0
		if age, cold := g.now-s.entry.StartedAt, g.settings.Rules.SlowStartDuration; s.entry.StartedAt > 0 && age < cold {
			from := g.settings.Rules.SlowStartCapacity
			warmth = from + (1-from)*max(float64(age)/float64(cold), 0)
		}
		can += warmth
	}
	return min(max(can/max(g.recentPeakServers(), 1), 0.1), 1)
}

// detectEnd notices that a spell is over.
func (s *episode) detectEnd(now time.Duration, factor, weight float64) {
	switch {
	case weight < minEndWeight || factor >= slowServerFactor:
		s.quietSince = 0
	case s.quietSince == 0:
		s.quietSince = now
	case now-s.quietSince > episodeOverAfter:
		s.noSheddingBefore, s.failedSheddings = 0, 0
	}
}

// may tells whether a purge is of use: not again in a spell that it did not end, unless work has become
// slower still, which is another spell on top.
func (s *episode) maySheddingHelp(now time.Duration, factor, grown float64) bool {
	if now >= s.noSheddingBefore {
		return true
	}
	since := now - s.sheddingEndedAt
	if since < episodeOverAfter {
		return false
	}
	if s.factorSinceShedding == 0 {
		s.factorSinceShedding, s.factorSinceSheddingAt = factor, now
	}
	is := factor > grown*s.factorSinceShedding && since > growthMinAge
	l := decayingSum{halfLife: episodeFactorHalfLife, updatedAt: s.factorSinceSheddingAt}
	s.factorSinceShedding += (factor - s.factorSinceShedding) * (1 - l.decay(now))
	s.factorSinceSheddingAt = now
	return is
}

// start is when a purge is to begin: as soon as the others can know. Where no other agent is heard it is the
// next beat of the clock that all machines read, so that those that see the spell meet all the same, and the
// purge lasts for a beat more.
func (g *Controller) sheddingStart() time.Duration {
	s := &g.episode
	if g.settings.Balancers == 1 || !s.hearsNoPeer(g.now) {
		return g.now + sheddingStartDelay
	}
	s.isAlone = true
	return g.now.Truncate(g.config.MinShedding) + g.config.MinShedding
}

// planShedding lets through a part of what the servers carry now, from the given time on.
func (g *Controller) planShedding(from time.Duration) {
	s := &g.episode
	s.isShedding, s.isExtended, s.sheddingFrom, s.sheddingUntil = true, false, from, from+g.config.MaxShedding
	deeper := 1.0
	if s.isAlone {
		s.sheddingUntil += g.config.MinShedding
		deeper = aloneSheddingFraction
	}
	s.factorAtStart, _ = s.pooled(g.now)
	// What was served of late is partly from before the spell.
	s.admittedPerSecond = deeper * g.config.SheddingFraction * min(g.successes.perSecond(g.now), g.usualSuccesses.perSecond(g.now)/s.factorAtStart)
	s.peakFactor, s.slowSince, s.announcedStart = 0, 0, 0
}

// updateShedding ends a purge when its time is up, or before when it shows that work is quick: it takes less than
// usual with the crowd gone, or far less than before in the same purge.
func (g *Controller) updateShedding(factor, weight float64) {
	s := &g.episode
	in := g.now - s.sheddingFrom
	if in > queueDrainTime && in < g.config.MinShedding && weight >= minEndWeight {
		s.peakFactor = max(s.peakFactor, factor)
	}
	quick := in > queueDrainTime && factor < healthyFactor ||
		in > g.config.MinShedding && factor < min(improvedFraction*s.peakFactor, improvedFactor)
	switch {
	case quick && weight >= minEndWeight:
		s.noSheddingBefore = g.now + g.config.SheddingBackoff // unless it stays over: see detectEnd
		g.logf("slow spell over after %v of purge, work takes %.1f times the usual",
			in.Round(time.Millisecond), factor)
	case g.now >= s.sheddingUntil:
		s.noSheddingBefore = g.now + g.config.SheddingBackoff<<min(s.failedSheddings, 6)
		s.failedSheddings++
		g.logf("slow spell goes on after the purge, work takes %.1f times the usual; none for %v", factor,
			s.noSheddingBefore-g.now)
	default:
		return
	}
	s.isShedding, s.isAlone, s.sheddingEndedAt, s.quietSince, s.factorSinceShedding = false, false, g.now, 0, 0
	g.outage.resetSinceSuccess(g.now) // what was not sent on could not be answered
}

// sheddingAdmittedFraction is the part of all that is offered that a purge lets in: less where work has become slower still.
func (g *Controller) sheddingAdmittedFraction() float64 {
	s := &g.episode
	deeper := 1.0
	if factor, weight := s.pooled(g.now); weight >= minEndWeight {
		deeper = min(1, s.factorAtStart/factor)
	}
	return deeper * s.admittedPerSecond / max(g.arrivals.perSecond(g.now), 1)
}

func (g *Controller) isSheddingNow() bool {
	return g.episode.isShedding && g.now >= g.episode.sheddingFrom && g.now < g.episode.sheddingUntil
}

// IsShedding tells whether requests are held back at this moment: for a slow spell, an outage or a storm of
// repeats.
func (g *Controller) IsShedding() bool {
	return g.isSheddingNow() || g.outage.phase != phaseNormal || g.retryStorm.isActive
}

// sendToPeers tells other agents, a few of a large fleet at a time.
func (g *Controller) sendToPeers(says byte) {
	others := g.settings.Balancers - 1
	if !g.settings.Limits.Gossip || others < 1 {
		return
	}
	s := &g.episode
	s.sentAt = g.now
	m := message{kind: says, logFactor: s.own.logSum / max(s.own.weight, 1e-9), weight: s.own.weight}
	if says == messageShedding {
		m.startsAt = s.sheddingFrom
	}
	data := m.encode()
	first := g.rng.IntN(others)
	for i := range min(peersPerMessage, others) {
		peer := (g.settings.Self + 1 + (first+i)%others) % g.settings.Balancers
		g.actions = append(g.actions, balancer.Action{Kind: balancer.SendToPeer, Peer: peer, Data: data})
	}
}

// onPeerMessage takes another agent's message in. A purge that it announces is joined where this agent's own
// answers speak for it; one that begins while another is under way lengthens that one, once.
func (g *Controller) onPeerMessage(from int, data []byte) {
	m, ok := decodeMessage(data)
	if !ok || from < 0 || from >= g.settings.Balancers || from == g.settings.Self {
		return
	}
	s := &g.episode
	if s.recordPeer(g.now, from, m); g.config.Disabled {
		return
	}
	if m.kind == messageServedAgain && g.outage.phase == phaseOutage {
		g.outage.trialTokens = max(g.outage.trialTokens, 1) // another agent is served again: worth a trial at once
		g.outage.lastSentAt = 0                             // by what is seen anew
	}
	if s.own.weight >= minSparseWeight && g.now >= s.sentAt+evidenceInterval {
		g.sendToPeers(messageEvidence) // that all is as usual here counts too
	}
	if m.kind != messageShedding || m.startsAt <= g.now-maxLateStart || m.startsAt >= g.now+maxEarlyStart {
		return
	}
	if s.isShedding && !s.isExtended && m.startsAt > s.sheddingFrom+episodeOverAfter && s.supports(g.now) {
		s.isExtended, s.sheddingUntil = true, m.startsAt+g.config.MaxShedding
	}
	if !s.isShedding {
		s.announcedStart = m.startsAt
		g.joinShedding()
	}
}

// joinShedding joins a purge that was heard of, as soon as this agent's own answers speak for it: some see the
// spell a little later.
func (g *Controller) joinShedding() {
	s := &g.episode
	if !g.takesPartInShedding() || !g.isSettled() || s.isShedding || s.announcedStart == 0 || s.sheddingEndedAt > 0 && g.now < s.sheddingEndedAt+rejoinAfter {
		return
	}
	if g.now > s.announcedStart+g.config.MaxShedding { // the others did it; it is not proposed again for that long either
		s.announcedStart, s.sheddingEndedAt, s.factorSinceShedding, s.noSheddingBefore = 0, g.now, 0, g.now+g.config.SheddingBackoff
		return
	}
	factor, _ := s.pooled(g.now)
	if g.now > s.announcedStart+g.config.MaxShedding/2 || factor < joinFactor/g.serverCapacityFraction() || !s.supports(g.now) ||
		!s.maySheddingHelp(g.now, factor, joinGrowth) {
		return
	}
	g.planShedding(s.announcedStart)
	g.logf("slow spell: joins a purge")
	if g.settings.Balancers > peersPerMessage+1 {
		g.sendToPeers(messageShedding) // it may not have reached all
	}
}
