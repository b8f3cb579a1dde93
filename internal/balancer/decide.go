// The decision module. Its whole interface, the settings, events and actions, is in api.go.
//
// "Why this server?": route asks pick, pick walks the ring from the key's point, and each server on the way
// is asked lawful (may it?), trusted (is it well?), hasSlowStartCapacity (is it warm enough?) and crowded (has it room?).

package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/discovery/backoff"
)

// The other open figures of the design: see Tuning. Times that depend on a deployment are derived from its
// settings instead.
const (
	pointsPerServer = 100 // ring points of each server
	roundInterval   = time.Second

	flapPenaltyStep     = 1.0 // for each change between up and down
	flapPenaltyHalfLife = 10 * time.Second
	dampingDuration     = 20 * time.Second
	gossipFanout        = 2 // k: peers asked before a server is damped, and told each round

	maxFalseProbeFraction = 0.5 // of contradictions: when more of the probes than this lie, they are not heeded

	affinityFraction       = 0.35 // of the aim: below this expected time an owner keeps its keys
	homeZoneFraction       = 0.12 // of the aim: below this expected time the owner in the own zone is quick enough
	maxLatencyFraction     = 0.5  // of the aim: above this expected time nothing is sent
	lowestRankFraction     = 0.5  // of the most valued class's limit at least, for the class of the least value
	probeWaitFraction      = 0.05 // of the aim: how long a probe's answer is waited for before the next owner is asked
	maxProbesPerRequest    = 4    // owners asked for a request
	falseProbeGain         = 0.4  // two tests that contradict failed probes are enough to stop asking
	probeTestFraction      = 0.1  // of the requests for which no probe is answered: sent all the same
	reportGain             = 0.05
	reportPrior            = 0.25 // of the quick time: the wait for each request that a server says it holds
	maxSpillScan           = 3    // crowded owners looked at before the least crowded one is taken: see counts
	failureLatencyFraction = 0.5  // of the aim: what a failure counts as
	surgeDeviations        = 2.0  // in flight at a server: the usual mean and this many roots of it
	inFlightGain           = 0.1
	initialInFlight        = 8.0 // of all balancers together, until this one has its own usual count
	sparseFraction         = 0.1 // of a request: less than this of what a busy server has in flight is a sparse one's
	sendRateGainUp         = 0.5 // gain of what is sent in a round, where it is more than before
	sendRateGainDown       = 0.02
	idleRoundFraction      = 0.1
	latencyGain            = 0.15 // weight of a new sample of latency
	baselineStep           = 0.01
	minRelativeSpeed       = 0.25 // of the quickest kind's
	halfLifeObjectives     = 4.0  // longest aims: after which what was seen has faded by half
	maxObservationHalfLife = 2 * time.Second

	failureGain             = 0.005
	maxBlameFailureFraction = 0.02 // of the attempts: where more fail, it is no key's fault
	poisonServers           = 3    // distinct healthy servers that a key must fail on to be blamed itself
	poisonDuration          = 10 * time.Second
	forgetAfter             = 2 * dampingDuration // after a server's end
)

// retrySpacing is in aims.
var retrySpacing = [...]float64{0, 0.06, 0.18}

// Step tells the Balancer of one event and returns the actions to take, valid until the next Step.
func (b *Balancer) Step(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	b.now = max(b.now, now)
	switch e := ev.(type) {
	case *Request:
		b.onRequest(e)
	case *AttemptDone:
		b.onAttemptDone(e)
	case *StreamStarted:
		if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			b.onResponseStarted(r, &r.attempts[e.Attempt])
		}
	case *ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.closeRequest(r)
		}
	case *ServerListUpdate:
		b.onServerListUpdate(e)
	case *ProbeDone:
		b.onProbeDone(e)
	case *PeerMessage:
		b.onPeerMessage(e)
	case *TimerDue:
		b.onTimer(e.Tag)
	}
	return b.actions
}

func (b *Balancer) onTimer(tag uint64) {
	r := b.requests[uint32(tag>>2)]
	switch purpose := tag & 3; {
	case purpose == timerRound && b.started:
		b.endRound()
	case purpose == timerPoll:
		if b.pollScheduled = false; b.discovery.IsMissingChanges() { // else it is watched again, as at another address
			b.pollDiscovery()
		}
	case r == nil || r.closed:
	case purpose == timerRetry && r.waiting && b.now >= max(r.waitUntil, r.notBefore):
		r.waiting = false
		b.route(r)
	}
}

func (b *Balancer) onServerListUpdate(e *ServerListUpdate) {
	if !b.started {
		b.started = true
		b.setTimer(roundInterval, 0, timerRound)
		b.pollDiscovery()
	} else if e.Kind == UpdateFailed {
		b.onWatchEnded(&e.Watch)
	} else if !e.Watch.Local {
		b.pollAgainAt = 0
		if !e.Watch.Opened {
			b.discovery.Answered(len(e.Servers) > 0)
		}
	}
	if e.Kind == UpdateFailed {
		return
	}
	changed := false
	listed := make(map[string]bool, len(e.Servers))
	for i := range e.Servers {
		listed[e.Servers[i].ID] = true
		changed = b.updateServer(&e.Servers[i]) || changed
	}
	if e.Kind != UpdateIncremental {
		for id, s := range b.servers {
			if !listed[id] && s.State != Gone {
				s.State = Gone
				changed = true
			}
		}
	}
	if changed {
		b.updateRing()
	}
}

// onWatchEnded asks again where a call has ended: the old list holds, and is soon wrong.
func (b *Balancer) onWatchEnded(w *WatchStatus) {
	if w.End == backoff.WatchSilent {
		b.discovery.WatchFellSilent(b.now, w.SilentFor)
	}
	if w.Replaced {
		return
	}
	b.pollAgainAt = 0
	wait := b.discovery.CallEnded(b.now, w.End, b.rng.Float64())
	if !b.pollScheduled {
		b.pollScheduled = true
		b.setTimer(wait, 0, timerPoll)
	}
}

// forgetGoneServers drops the servers that are long gone, with their points. Guards against a ring and maps that
// grow with every release for as long as the balancer runs; a flap within that time finds its penalty kept.
func (b *Balancer) forgetGoneServers() {
	maps.DeleteFunc(b.servers, func(_ string, s *server) bool {
		gone := s.State == Gone && !s.ringPlace.IsMember() && s.inFlight == 0 && b.now-s.leftRingAt > forgetAfter
		if gone {
			b.detector.RemoveServer(s.outlier)
			b.ring.Remove(s.ringPlace)
			b.outsideRing.Remove(s.outsidePlace)
			if b.byHash[s.hash] == s {
				delete(b.byHash, s.hash)
			}
		}
		return gone
	})
}

func (b *Balancer) updateServer(e *Server) (changed bool) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{
			hash: ring.Hash(e.ID), flapPenalty: b.meanPenalty(), flapPenaltyAt: b.now,
			outlier: b.detector.AddServer(),
		}
		s.State, s.ID = Gone, e.ID
		b.servers[e.ID], b.byHash[s.hash] = s, s
	}
	changed = s.State != e.State
	if e.StartedAt != s.StartedAt || s.ringPlace == nil { // restarted or new: what was known of it is of another process
		s.latency, s.latencyInFlight = 0, 0
		b.detector.ServerRestarted(s.outlier)
		s.slowStart.Start(b.now, b.rng.Float64())
	}
	s.Server, s.kindBaseline = *e, b.kindBaseline(e.MachineKind)
	b.applyExclusions(s)
	s.sawDraining = e.State == Draining || s.sawDraining && e.State == Gone
	return changed
}

// pick returns the first server clockwise from the request's point that may, can and should have it.
func (b *Balancer) selectServer(r *request) (chosen *server) {
	hash := r.hash
	if !r.hasKey && len(b.ring.Members()) > 0 { // the better of two
		hash = b.rng.Uint32()
		if other := b.rng.Uint32(); b.ring.Owner(other).inFlight < b.ring.Owner(hash).inFlight {
			hash = other
		}
	}
	b.checkExclusions(r, hash)
	var best, mute, passed, later, owing, ready *server
	span := 0 // of warm servers that would do, while those are full
	r.hedgedProbe = nil
	bestTime, looked, limit, sparse, owes := math.Inf(1), 0.0, b.latencyLimit(r), b.sparse(), 0.0
	if chosen = b.selectOutsideRing(r, hash, limit, true); chosen != nil {
		return chosen
	}
	// Where crossing zones is priced above a request's whole work (what waste costs), its zone's own owner keeps
	// a key while quick: affinity saves less than a crossing costs. Of the owners asked, two are of it.
	if b.settings.Costs.CrossZone > b.settings.Costs.WastedWork && (r.probes < 2 || !b.hasFewObservations()) {
		b.ring.Walk(hash, func(s *server) bool {
			ok, try := b.checkTrust(r, s)
			t := b.expectedLatency(s)
			if ok && !try && s.Zone == b.settings.Zone && t < homeZoneFraction*seconds(r.class.LatencyObjective) && b.acceptsNow(r, s, t, limit) {
				chosen = s
			}
			return chosen == nil
		})
		if chosen != nil {
			return chosen
		}
	}
	b.ring.Walk(hash, func(s *server) bool {
		if !b.isPermitted(r, s) {
			return true
		}
		ok, try := b.checkTrust(r, s)
		if !ok || !b.hasSlowStartCapacity(s, try) {
			return true
		}
		t, fits := b.expectedLatency(s), b.activeAssignment != nil || b.keyFitsWeight(hash, s)
		switch {
		case try && b.mayHedgeProbe(r): // the trial is a second copy, and the request is sent on all the same
			r.hedgedProbe = cmp.Or(r.hedgedProbe, s)
			return true
		case try:
		case s.outlier.IsAvoided(b.now):
			if passed == nil && t <= limit {
				passed = s
			}
			return true
		case r.class.Idempotency == NotIdempotent && b.isSuspect(r, s):
			if later == nil && t <= limit {
				later = s
			}
			return true
		}
		if fits && (try || !b.isSaturated(r, s, t, limit)) {
			if !sparse || try || b.relievesWarmServers(s) || b.fairnessCredit(s) >= 1 {
				if sparse && !try && b.searchesWarmingUp(s) {
					ready, span = cmp.Or(ready, s), span+1
					return span < saturatedScan
				}
				chosen = s
				return false
			} else if even := b.fairnessCredit(s) / b.trafficWeight(s); owing == nil || even > owes {
				owing, owes = s, even
			}
			return true
		}
		if mute == nil && math.IsInf(t, 1) && s.probeOutcome != Rejected {
			mute = s
		}
		if t < bestTime {
			best, bestTime = s, t
		}
		if fits {
			looked += b.scanWeight(s)
		}
		return looked < maxSpillScan || bestTime > limit
	})
	if chosen = cmp.Or(chosen, ready, owing); chosen == nil { // all have had their part: the one least over it
		chosen = b.selectOutsideRing(r, hash, limit, false)
	}
	// One that likely turns the request away costs little as long as a further attempt is left.
	if chosen == nil && len(r.attempts)+1 < r.class.maxAttempts {
		chosen = passed
	}
	if r.deadline < r.objectiveAt && !r.overQuota { // its client gives less than the aim: that is no sign of a crowd
		limit = min(r.class.latencyLimit, seconds(r.deadline-b.now))
	}
	if chosen == nil && bestTime <= limit {
		chosen = best
	}
	if chosen = cmp.Or(chosen, later, passed, r.hedgedProbe); chosen == r.hedgedProbe {
		r.hedgedProbe = nil
	}
	// What rests on failed probes alone is put to the test now and then, or false ones would never be noticed.
	if chosen == nil && mute != nil && b.rng.Float64() < probeTestFraction {
		chosen, r.ignoresProbes = mute, true
	}
	if chosen == nil && b.baseline.seconds > r.class.latencyLimit {
		b.baseline.seconds *= 0.9 // or a fleet that looks slow, to which nothing is sent, would never be tried again
	}
	return chosen
}

// listed tells whether the list allows sending: not from the moment told of a drain or an end.
func (b *Balancer) isListed(s *server) bool {
	return !s.sawDraining && (s.State == Ready || b.settings.Rules.GoneUsable && s.State == Gone)
}

// fits passes on the part of a small server's keys that its listed size leaves over, the same keys at every
// balancer: uniform points give all as many. Guards against small machines that drown while large ones idle,
// where own counts are too few to show it; a size listed wrongly moves keys for nothing.
func (b *Balancer) keyFitsWeight(hash uint32, s *server) bool {
	lot := (hash ^ s.hash) * 0x9E3779B1 // spreads the bits
	return float64(lot)/(1<<32)*b.largestWeight <= b.effectiveWeight(s)
}

// size is a server's listed size, by how quick its kind of machine has been.
func (b *Balancer) effectiveWeight(s *server) float64 {
	if k := s.kindBaseline; k.seconds > 0 && b.lowestBaseline > 0 {
		return s.Weight * min(max(b.lowestBaseline/k.seconds, minRelativeSpeed), 1)
	}
	return s.Weight
}

// measure finds the quickest kind of machine, the largest size among the members, and the sum of those up.
func (b *Balancer) updateWeights() {
	b.lowestBaseline = 0
	for _, k := range b.kindBaselines {
		if k.isKnown(b.sparse()) && (b.lowestBaseline == 0 || k.seconds < b.lowestBaseline) {
			b.lowestBaseline = k.seconds
		}
	}
	b.largestWeight, b.maxMemberPoints, b.weightSum, b.anyWarmingUp = 0, 1, 0, false
	for _, s := range b.ring.Members() {
		b.largestWeight, b.anyWarmingUp = max(b.largestWeight, b.effectiveWeight(s)), b.anyWarmingUp || b.warmth(s) < 1
		b.maxMemberPoints = max(b.maxMemberPoints, s.ringPlace.Points())
		if !s.outlier.IsEjected() && b.now >= s.dampedUntil {
			b.weightSum += b.trafficWeight(s)
		}
	}
}

// lawful keeps the rules: no draining or gone server, none to be kept off, no second visit, no repeat outside
// its group.
func (b *Balancer) isPermitted(r *request, s *server) bool {
	if !b.isListed(s) || isExcluded(r, s) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s {
			return false
		}
		if a.unprocessed || r.class.Idempotency == Idempotent {
			continue
		}
		if r.class.Idempotency == NotIdempotent || b.now-a.outlier.StartedAt >= r.class.DedupWindow-b.settings.Tick {
			return false
		}
		if r.class.DedupScope == DedupScopeZone && s.Zone != a.server.Zone ||
			r.class.DedupScope == DedupScopeCell && s.Cell != a.server.Cell {
			return false
		}
	}
	return true
}

// expected is the time that a further request would likely take there: the latency seen, scaled to what is
// in flight, fading to the fleet's quick time when old; never less than the present silence, nor than what a
// probe or report says. Guards against slow, crowded and silent servers; a rare heavy request looks so too.
func (b *Balancer) expectedLatency(s *server) float64 {
	// Of a new server nothing is known: idle it is taken for a quick one, under the usual load for a usual one.
	// Guards against sending it at once all that the others have no room for, and against never trying it.
	t := b.baseline.seconds + max(b.meanLatency-b.baseline.seconds, b.baseline.seconds)*float64(s.inFlight)/(b.typicalInFlight+1)
	if s.latency > 0 {
		t = s.latency
		if t > b.baseline.seconds {
			age := float64(b.now-s.latencyAt) / float64(b.observationHalfLife)
			t = b.baseline.seconds + (t-b.baseline.seconds)*math.Exp2(-age)
		}
		const others = 2 // stands for what other balancers have in flight there
		if f := (float64(s.inFlight) + 1 + others) / (s.latencyInFlight + others); f > 1 {
			t *= f
		} else if t > b.baseline.seconds { // its queue has run empty since: what was slow for its crowd is not left idle
			t = b.baseline.seconds + (t-b.baseline.seconds)*f
		}
	}
	if b.falseProbeFraction <= maxFalseProbeFraction { // a probe in the queue waits as long as a request would
		wait := time.Duration(0)
		if b.now-s.lastResponseAt < b.observationHalfLife {
			wait = s.probeLatency
		}
		if s.probePending {
			wait = max(wait, b.now-s.probeSentAt)
		}
		t = max(t, b.baseline.seconds+seconds(wait))
		if s.probeFailedAt > 0 && b.now-s.probeFailedAt < roundInterval {
			return math.Inf(1)
		}
	}
	if b.hasFreshReport(s) {
		z := b.zoneReport(s)
		t = max(t, b.baseline.seconds+z.wait/max(z.inFlight, 0.1)*s.reportedInFlight)
	}
	if s.inFlight > 0 {
		t = max(t, seconds(b.now-s.silentSince))
	}
	return t
}

// thin tells whether this balancer sends a server less than one request in the time that what it saw itself
// lasts: then it goes by what servers say when asked, and in answers, else by its own counts and times.
func (b *Balancer) hasFewObservations() bool {
	return b.sendRate*seconds(b.observationHalfLife) < b.memberCount()
}

// reported tells whether the server said lately how many requests it holds, and that is to count.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < b.observationHalfLife && b.hasFewObservations()
}

// sparse tells whether this balancer is one of so many, and thin, that what it has in flight at a server says
// nothing of how busy that is: with few balancers the bounded load by own requests in flight is enough.
func (b *Balancer) sparse() bool {
	return initialInFlight < sparseFraction*float64(b.settings.Balancers) && b.hasFewObservations()
}

// even is what a server has left of its part of this balancer's requests: the bounded load over a longer
// time, for a sparse one, which has nothing in flight at most servers whenever it looks.
func (b *Balancer) fairnessCredit(s *server) float64 {
	b.accounts.Open(&s.account, b.rng.Float64())
	return b.accounts.Credit(&s.account, b.trafficWeight(s)/max(b.weightSum, 1e-9))
}

// crowded tells whether an owner passes the request on: over the bounded load while no longer quick (below
// the soft time affinity saves more than a spill), or too slow for the request's aim.
func (b *Balancer) isSaturated(r *request, s *server, t, limit float64) bool {
	// Its probe is not answered in the time that the request waits for it.
	unheard := s.probePending && float64(b.now-s.probeSentAt) >= probeWaitFraction*float64(r.class.LatencyObjective) && b.falseProbeFraction <= maxFalseProbeFraction
	if t > limit || unheard || float64(s.inFlight) > max(b.typicalInFlight+surgeDeviations*math.Sqrt(b.typicalInFlight), 1) {
		return true
	}
	load, mean := float64(s.inFlight), float64(b.inFlight+1)/b.memberCount()
	if b.hasFreshReport(s) {
		load, mean = s.reportedInFlight, b.meanReportedInFlight
	}
	return t > affinityFraction*seconds(r.class.LatencyObjective) && load+1 > b.tuning.BoundedLoadFactor*mean
}

// latencyLimit is the longest expected time at which the request is still sent.
func (b *Balancer) latencyLimit(r *request) float64 {
	t := min(r.class.latencyLimit, b.latencyLimitFraction*seconds(min(r.objectiveAt, r.deadline)-b.now))
	if r.overQuota && t > b.baseline.seconds { // a share of the queue: what even an idle server takes is not counted
		if t = b.baseline.seconds + b.tuning.OverQuotaQueueFraction*(t-b.baseline.seconds); !b.settings.Limits.Gossip {
			t += (1 - b.tuning.OverQuotaQueueFraction) / 2 / b.tuning.OverQuotaQueueFraction * (t - b.baseline.seconds) // a guess: see package quota
		}
	}
	return t
}

func (b *Balancer) onRequest(e *Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil { // unknown: treated like the least repeatable
		c = &class{Class: Class{LatencyObjective: e.ClientTimeout, Deadline: e.ClientTimeout, Idempotency: NotIdempotent}, latencyLimit: seconds(e.ClientTimeout)}
		c.index, c.maxAttempts = -1, b.settings.Limits.MaxAttempts
	}
	r := &request{id: e.ID, class: c, workUnits: 1, deadline: b.now + max(e.ClientTimeout, 0), tenant: b.countRequest(e)}
	aim := c.LatencyObjective + time.Duration(c.ObjectivePerWork*float64(e.WorkHint))
	r.objectiveAt = b.now + min(aim, c.Deadline)
	// A repeat's budget under the longest seen is what the client's deadline leaves: it is this old. Guards
	// against serving repeats that come too late to count; a client with short budgets of its own is hurt
	// where repeats are not marked. Where they are, a first try that was long on its way is not taken for one.
	c.maxClientTimeout = max(c.maxClientTimeout, e.ClientTimeout)
	if e.ClientTimeout < c.maxClientTimeout-b.settings.Tick && (e.ClientRetry || !b.settings.ClientsMarkRetries) {
		r.objectiveAt -= c.Deadline - e.ClientTimeout
	}
	if c.LateWeight > 0 {
		r.objectiveAt = r.deadline
	}
	if e.WorkHint > 0 {
		w := seconds(e.WorkHint)
		b.meanWork = cmp.Or(b.meanWork, w)
		b.meanWork += 0.01 * (w - b.meanWork)
		r.workUnits = w / b.meanWork
	}
	if e.Key != "" {
		r.hasKey, r.hash = true, ring.Hash(e.Key)
	}
	r.overQuota = b.quotas.IsOverQuota(b.now, e.quotaTenant())
	b.retryTokens = min(b.retryTokens+b.tuning.RetryRatio, b.tuning.RetryBurst)
	b.unprocessedRetryTokens = min(b.unprocessedRetryTokens+b.tuning.UnprocessedRetryRatio, b.tuning.UnprocessedRetryBurst)
	b.requests[e.ID] = r
	if r.hasKey && b.isPoisoned(r.hash) || r.objectiveAt <= b.now {
		b.rejectOrFail(r)
	} else {
		b.route(r)
	}
}

// route sends the request on, or ends it at once.
func (b *Balancer) route(r *request) {
	var s *server
	if !b.isTooLate(r, 0) && len(r.attempts) < r.class.maxAttempts {
		s = b.selectServer(r)
	}
	switch {
	case s != nil && !b.spendRetryToken(r, s):
		b.rejectOrFail(r)
	case s != nil && (!b.needsProbe(r, s) || r.probes == maxProbesPerRequest && b.baseline.seconds+b.meanProbeWait <= b.latencyLimit(r)):
		b.dispatch(r, s)
		if t := r.hedgedProbe; t != nil {
			b.sendAttempt(r, t)
			r.attempts[len(r.attempts)-1].hedged = true
			r.openHedges, r.hedges = r.openHedges+1, r.hedges+1
		}
	case s != nil && r.probes < maxProbesPerRequest:
		b.probeFirst(r, s)
	default:
		b.waitForProbation(r)
	}
}

// probeFirst probes an owner of which nothing was heard lately; the first owner asked that answers gets the
// request. A large fleet's balancer meets a server too seldom to know it by its own attempts: a probe tells
// dead, silent and crowded ones apart before an attempt is spent, the only one of an unsafe request. It costs
// a probe and its time; probes that fail falsely are noticed (see learn) and asked for no more.
func (b *Balancer) probeFirst(r *request, s *server) {
	if r.probes++; !s.probePending {
		b.sendProbe(s)
	}
	wait := min(time.Duration(probeWaitFraction*float64(r.class.LatencyObjective)), r.deadline-b.now)
	s.awaitingProbe = append(s.awaitingProbe, r)
	r.waiting, r.waitUntil = true, b.now+wait
	b.setTimer(wait, r.id, timerRetry)
}

// unknown tells whether a server must be asked before it is sent to: nothing was heard of it for half an aim,
// and it is not one that the request tests. Who asked in vain and finds only such servers takes one unasked
// while probes wait little on the whole, else it is refused.
func (b *Balancer) needsProbe(r *request, s *server) bool {
	return b.settings.Limits.Probes && b.settings.Costs.Probe <= b.settings.Costs.LateFailure && b.falseProbeFraction <= maxFalseProbeFraction &&
		b.now-s.lastResponseAt >= r.class.LatencyObjective/2 && !r.ignoresProbes && (b.hasFewObservations() || s.outlier.IsEjected())
}

func (b *Balancer) sendAttempt(r *request, s *server) {
	limit := b.attemptTimeout(r, s, r.deadline-b.now)
	if aimed := r.objectiveAt - b.now - b.settings.Tick; !r.class.Streaming && aimed > 0 {
		limit = min(limit, aimed) // an answer after the aim is worth nothing and keeps the server busy
	}
	held, despite := -1.0, time.Duration(0)
	if s.probeFailedAt > 0 && b.now-s.probeFailedAt < b.observationHalfLife {
		despite = s.probeLatency // an answer sooner than this contradicts the probe's silence
		if s.probeOutcome == ServerError || s.probeOutcome == ConnectFailed {
			despite = r.class.Deadline // any answer contradicts an error
		}
	}
	if b.hasFreshReport(s) {
		held = s.reportedInFlight
		s.reportedInFlight++
	}
	r.attempts = append(r.attempts, attempt{
		server: s, inFlightAtSend: int32(s.inFlight), reportedInFlight: held,
		failedProbeLatency: despite, outlier: b.detector.AttemptStarted(b.now, s.outlier, r.class.index, limit),
	})
	r.openAttempts++
	if s.inFlight == 0 {
		s.silentSince = b.now
	}
	b.addInFlight(&r.attempts[len(r.attempts)-1], 1)
	b.sentThisRound += r.workUnits
	s.slowStart.Spend(r.workUnits)
	b.zoneReach.RecordTrial(b.now, s.Zone)
	b.accounts.RequestSent(&s.account, r.workUnits)
	b.emit(Action{Kind: Send, ID: r.id, Server: s.ID, After: limit})
	b.countOverride(r, s)
}

func (b *Balancer) onAttemptDone(e *AttemptDone) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done, a.unprocessed = true, e.Outcome.Unprocessed()
	r.openAttempts--
	if a.hedged {
		r.openHedges--
	}
	b.addInFlight(a, -1)
	b.onAttemptEnd(r, a, e)
	if e.RequestDone || r.closed {
		b.closeRequest(r)
	} else if r.openAttempts == r.openHedges && !r.streaming && !r.waiting {
		r.lastUnprocessed = a.unprocessed
		b.retry(r)
	}
}

// again retries where the class allows it, the aim leaves time and retries are not crowding out first tries.
func (b *Balancer) retry(r *request) {
	n := len(r.attempts)
	wait := b.retryDelay(r, retrySpacing[min(n-int(r.hedges)-1, len(retrySpacing)-1)])
	// What is too slow for a further attempt is for pick to say; the mean holds failures too.
	left := r.objectiveAt - b.now - wait
	if n >= r.class.maxAttempts || b.retryTokens < 1 && !r.lastUnprocessed || seconds(left) < b.meanLatency || b.isTooLate(r, wait) {
		b.rejectOrFail(r)
		return
	}
	r.needsRetryToken = true
	if r.waiting = wait > 0; r.waiting {
		b.setTimer(wait, r.id, timerRetry)
	} else {
		b.route(r)
	}
}

// afford pays for a further attempt, out of the budget that guards against storms of them. Where the last one
// never ran it adds nothing to what runs: at a server not in trouble it is paid for out of a larger budget.
func (b *Balancer) spendRetryToken(r *request, s *server) bool {
	budget := &b.retryTokens
	switch {
	case !r.needsRetryToken:
		return true
	case r.lastUnprocessed && b.detector.Verdict(s.outlier, r.class.index) == outlier.Healthy:
		budget = &b.unprocessedRetryTokens
	}
	if *budget < 1 {
		return false
	}
	*budget--
	r.needsRetryToken = false
	return true
}

// rejectOrFail gives the final answer: a refusal where the rules let the client be told that trying again is
// harmless, else a failure.
func (b *Balancer) rejectOrFail(r *request) {
	answer := Action{Kind: Reject, ID: r.id}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		anywhere := c.Idempotency == IdempotentWithKey && c.DedupScope == DedupScopeAll && b.now-a.outlier.StartedAt < c.DedupWindow
		if !a.unprocessed && c.Idempotency != Idempotent && !anywhere {
			answer.Kind = Fail
		}
	}
	if answer.Kind == Reject && b.settings.Limits.RetryAfter {
		answer.After = min(time.Duration((0.5+b.rng.Float64())*float64(r.class.LatencyObjective)), b.settings.Limits.MaxRetryAfter)
	}
	b.sendFinalAnswer(r, answer)
	b.closeRequest(r)
}

// learn takes what an outcome says of the server and of the key.
func (b *Balancer) observeAttempt(r *request, a *attempt, e *AttemptDone) {
	s := a.server
	b.observeZone(s, a, e)
	b.recordLoadReport(s, e.LoadReport)
	if a.reportedInFlight >= 0 && (e.Outcome == Served || e.Outcome == TimedOut) {
		z := b.zoneReport(s)
		z.wait += reportGain * (max(seconds(e.Latency)-b.baseline.seconds, 0) - z.wait)
		z.inFlight += reportGain * (a.reportedInFlight - z.inFlight)
	}
	if a.failedProbeLatency > 0 { // what a failed probe said was not heeded: true, unless served sooner than its silence
		b.falseProbeFraction *= 1 - falseProbeGain
		if e.Outcome == Served && e.Latency < a.failedProbeLatency {
			b.falseProbeFraction += falseProbeGain
		}
	}
	if e.Outcome == NotSent || e.Outcome == Canceled || e.Evidence.LocalShortage { // on this side, or by the client
		b.observeEnd(s, a, e, r.class)
		return
	}
	b.chargeAccount(r, s, e)
	switch e.Outcome {
	case Served:
		b.failureFraction -= failureGain * b.failureFraction
		s.silentSince, s.lastResponseAt, s.probeLatency = b.now, b.now, 0
		b.recordLatency(s, seconds(e.Latency), int(a.inFlightAtSend))
		b.baseline.add(seconds(e.Latency))
		s.kindBaseline.add(seconds(e.Latency))
		s.lastServedAt = b.now
		delete(b.blamedKeys, r.hash)
		b.observeEnd(s, a, e, r.class)
		return
	case Rejected, ServerError, ConnectionLost:
		s.silentSince = b.now
	}
	if e.Outcome == Rejected {
		b.recordLatency(s, max(seconds(e.Latency), s.latency, seconds(r.class.LatencyObjective)*affinityFraction), int(a.inFlightAtSend))
		b.observeEnd(s, a, e, r.class)
		return
	}
	b.failureFraction += failureGain * (1 - b.failureFraction)
	if r.hasKey && e.Outcome != ConnectFailed && b.blameKey(r.hash, s, a.outlier.StartedAt) {
		b.detector.AttemptEnded(b.now, s.outlier, a.outlier, outlier.NoEvidence, e.Latency, &e.Evidence)
		return
	}
	// A failure counts as an answer near the aim. Guards against servers that fail quickly and so look idle.
	b.recordLatency(s, max(seconds(e.Latency), failureLatencyFraction*seconds(min(r.class.LatencyObjective, r.deadline-a.outlier.StartedAt))), int(a.inFlightAtSend))
	b.observeEnd(s, a, e, r.class)
}

// found tells the detector how an attempt ended.
func (b *Balancer) observeEnd(s *server, a *attempt, e *AttemptDone, c *class) {
	b.onOutlierChange(s, b.detector.AttemptEnded(b.now, s.outlier, a.outlier, outlierEnds[e.Outcome], e.Latency, &e.Evidence), c)
}

// judged takes in what the detector found. A server that was down or comes back gets its cold budget anew.
func (b *Balancer) onOutlierChange(s *server, found outlier.Change, c *class) {
	switch found {
	case outlier.Unchanged:
		return
	case outlier.ClassEjected:
		b.logf("down %s for %s: %s", s.ID, c.Name, s.outlier.Reason())
		return
	case outlier.ClassReadmitted:
		b.logf("up %s for %s: %s", s.ID, c.Name, s.outlier.Reason())
		return
	case outlier.ServerEjected:
		b.logf("down %s: %s", s.ID, s.outlier.Reason())
	case outlier.ServerReadmitted:
		if s.outlier.IsNotListening() {
			s.recoveredAt = b.now
		}
		b.logf("up %s: %s", s.ID, s.outlier.Reason())
	}
	s.slowStart.Start(b.now, b.rng.Float64())
	b.logDoubt()
}

// swing raises the penalty of a server that is not in the state of the round before: what went down and came
// back inside a round has not swung. Nor has what one cause near this balancer takes down with most others.
func (b *Balancer) countFlap(s *server) {
	if down := s.outlier.IsEjected(); down != s.wasDown && b.detector.DistrustReason() == "" {
		s.wasDown = down
		s.flapPenalty, s.flapPenaltyAt = s.decayedPenalty(b.now)+flapPenaltyStep, b.now
		if s.flapPenalty > b.tuning.SuppressLimit && b.now >= s.dampedUntil {
			b.dampOrConsult(s)
		}
	}
}

// endRound judges each server by the round's sends and starts the next round.
func (b *Balancer) endRound() {
	b.setTimer(roundInterval, 0, timerRound)
	b.detector.EndRound()
	for _, s := range b.ring.Members() {
		b.onOutlierChange(s, b.detector.Reevaluate(b.now, s.outlier), nil)
		b.countFlap(s)
	}
	// Up fast and down slowly: what is held back because servers look slow or cold must not make it look as if a
	// warm server carried that little, or the cold ones among them would be starved for good.
	gain := sendRateGainUp
	if b.sentThisRound < b.sendRate {
		gain = sendRateGainDown
	}
	if b.changeInFlight(0); b.sentThisRound >= idleRoundFraction*b.sendRate { // a round that sends next to nothing shows nothing
		b.sendRate += gain * (b.sentThisRound - b.sendRate)
		b.typicalInFlight += inFlightGain * (b.inFlightSeconds/seconds(roundInterval)/b.memberCount() - b.typicalInFlight)
	} else {
		b.meanLatency /= 2 // it holds failures, by which nothing would be sent again
	}
	b.inFlightSeconds, b.sentThisRound = 0, 0
	b.falseProbeFraction *= math.Exp2(-float64(roundInterval) / float64(flapPenaltyHalfLife)) // so that they are asked again
	if mean, tell := b.quotas.EndRound(); tell {
		b.gossip(encodeRateMessage(mean))
	}
	maps.DeleteFunc(b.blamedKeys, func(_ uint32, k *blamedKey) bool { return b.now > max(k.lastFailureAt+poisonDuration, k.until) })
	b.forgetGoneServers()
	b.reviewAssignment()
	b.updateWeights()
	b.updateDetector()
	b.logDoubt()
	if b.pollAgainAt > 0 && b.now >= b.pollAgainAt {
		b.pollDiscovery()
	}
}

// trusted tells whether a server is on the ring for this balancer, or owed a trial. When most of the ring
// looks bad for one cause near this balancer, only the expected time decides.
func (b *Balancer) checkHealth(r *request, s *server) (ok, trial bool) {
	damped := b.now < s.dampedUntil
	if b.isZoneCutOff(s) {
		due := r.class.Idempotency != NotIdempotent && b.zoneReach.IsTrialDue(b.now, s.Zone)
		return due, due
	}
	if b.detector.DistrustReason() != "" || !damped && b.detector.Verdict(s.outlier, r.class.index) != outlier.Ejected {
		return true, false
	}
	// What listens there next may be another server, of which a list that can't be heard would have told.
	if s.outlier.IsNotListening() && b.discovery.IsStale(b.now) {
		return false, false
	}
	// With probes it is asked first; one that hangs on a class alone can prove itself by that class only.
	cheap := !damped && (r.class.Idempotency != NotIdempotent || b.settings.Limits.Probes || !s.outlier.IsEjected())
	return cheap, cheap
}

// suspect tells whether others should be asked first with what must not run twice.
func (b *Balancer) isSuspect(r *request, s *server) bool {
	return b.detector.Verdict(s.outlier, r.class.index) == outlier.Suspect && b.detector.DistrustReason() == ""
}

// copies tells whether a trial of the request may be a second copy, so that it costs the client nothing.
func (b *Balancer) mayHedgeProbe(r *request) bool {
	return r.class.Idempotency == Idempotent && !r.class.Streaming && r.class.hedging && !b.settings.Limits.Probes &&
		len(r.attempts) == 0 && r.class.maxAttempts > 1
}

// blameKey notes a key's failure on a server that answers others, and tells whether the key is to blame: it
// failed on several. Guards against requests that break whichever server gets them. Where attempts fail
// right and left, whatever their keys, an unlucky key proves nothing.
func (b *Balancer) blameKey(key uint32, s *server, sent time.Duration) bool {
	if s.lastServedAt+roundInterval < sent || b.failureFraction > maxBlameFailureFraction {
		return false
	}
	bl := b.blamedKeys[key]
	if bl == nil {
		bl = &blamedKey{}
		b.blamedKeys[key] = bl
	}
	bl.lastFailureAt = b.now
	if len(bl.servers) < poisonServers && !slices.Contains(bl.servers, s) {
		if bl.servers = append(bl.servers, s); len(bl.servers) == poisonServers {
			bl.until = b.now + poisonDuration
			b.logf("key %08x blamed", key)
		}
	}
	return len(bl.servers) > 1
}

// poisoned tells whether the key is blamed; one request in a while is let through to see.
func (b *Balancer) isPoisoned(key uint32) bool {
	bl := b.blamedKeys[key]
	if bl == nil || len(bl.servers) < poisonServers {
		return false
	} else if b.now >= bl.until {
		bl.until = b.now + poisonDuration
		return false
	}
	return true
}

// warmth is the share of its capacity that a server surely has: by its listed start, or by its return after
// no connection came up, since a process that was gone likely comes back cold whatever the list says.
func (b *Balancer) warmth(s *server) float64 {
	return b.slowStart.CapacityFraction(b.now, max(s.recoveredAt, s.StartedAt))
}

// hasSlowStartCapacity keeps to this balancer's part of a cold server's budget, of which a down one's trials come too.
func (b *Balancer) hasSlowStartCapacity(s *server, trial bool) bool {
	w, size := b.warmth(s), 1.0
	trial = trial && !b.isZoneCutOff(s) // which is tried by the zone
	if b.largestWeight > 0 {
		size = s.Weight / b.largestWeight
	}
	return w >= 1 && !trial || s.slowStart.HasCapacity(b.slowStartTerms(), b.now, w, b.sendRate/b.memberCount(), size, trial)
}

// setLatencyLimits sets how long an expected time each class accepts. All wait in the same queues, so the one that
// accepts most would shut the others out: none accepts more than the most valued, and less by its value in
// the goal, where a class's worth counts in the whole and any class may be the worst one.
func (b *Balancer) setLatencyLimits() {
	b.latencyLimitFraction = maxLatencyFraction
	if miss := b.settings.ScoreWeights.TailMissRatio; b.settings.ScoreWeights.TailLatency > 0 && miss > 0 && miss < 1 {
		// Where the tail counts, no more than this part may miss the aim: by exponential times, that is so
		// while the mean is under the aim over ln(1/miss). A request refused in time is no miss.
		b.latencyLimitFraction = min(maxLatencyFraction, 1/math.Log(1/miss))
	}
	byWorth := func(p, q Class) int { return cmp.Compare(p.PriorityWeight, q.PriorityWeight) }
	top := slices.MaxFunc(b.settings.Classes, byWorth)
	goal := b.settings.ScoreWeights
	value := func(c Class) float64 {
		return goal.Total*c.PriorityWeight/max(top.PriorityWeight, 1e-9) + goal.WorstClass
	}
	for _, c := range b.classes {
		rank := 1.0
		if v := value(top); v > 0 {
			rank = lowestRankFraction + (1-lowestRankFraction)*value(c.Class)/v
		}
		c.latencyLimit = b.latencyLimitFraction * min(seconds(c.LatencyObjective), rank*seconds(top.LatencyObjective))
	}
}

// tell sends a message to k peers, or to all where there are no more: never to all of a large fleet.
func (b *Balancer) gossip(data []byte) {
	others := b.settings.Balancers - 1
	if !b.settings.Limits.Gossip {
		return
	}
	first := b.rng.IntN(max(others, 1))
	for i := range min(gossipFanout, others) {
		peer := (b.settings.Self + 1 + (first+i)%others) % b.settings.Balancers
		b.emit(Action{Kind: SendToPeer, Peer: peer, Data: data})
	}
}

// ask subscribes where discovery must be asked; a failure is followed by another try, and so is silence well
// before the rules take this balancer as told of what it has not heard.
func (b *Balancer) pollDiscovery() {
	if b.settings.DiscoveryOnDemand {
		b.discovery.CallStarted(b.now)
		b.pollAgainAt = b.now + max(b.settings.Rules.MaxPollInterval/4, roundInterval)
		b.emit(Action{Kind: Subscribe})
	}
}

func (b *Balancer) onProbeDone(e *ProbeDone) {
	s := b.servers[e.Server]
	if s == nil {
		return
	}
	s.probePending, s.probeOutcome, s.probeLatency = false, e.Outcome, e.Latency
	b.recordLoadReport(s, e.LoadReport)
	if e.Outcome == Served {
		s.lastResponseAt, s.probeFailedAt = b.now, 0
	} else {
		s.probeFailedAt = b.now
	}
	switch wait := seconds(e.Latency); e.Outcome {
	case Rejected: // too many wait there already
		b.meanProbeWait += inFlightGain * (b.latencyLimitFraction*seconds(b.longestObjective) - b.meanProbeWait)
	case Served, TimedOut:
		b.meanProbeWait += inFlightGain * (wait - b.meanProbeWait)
	}
	waiting := s.awaitingProbe
	s.awaitingProbe = nil
	for _, r := range waiting {
		if r.waiting && !r.closed && r.probes > 0 && b.now >= r.notBefore {
			r.waiting = false
			b.route(r)
		}
	}
}

// dampOrConsult damps a flapping server: with peers after a damp-req to k of them, else by the local score. A
// peer's silence for a round counts as agreement when the next swing comes.
func (b *Balancer) dampOrConsult(s *server) {
	if b.settings.Limits.Gossip && b.settings.Balancers > 1 && b.now-s.dampRequestedAt > dampingDuration {
		s.dampRequestedAt = b.now
		b.gossip(encodeDampMessage(messageDampRequest, s, b.now))
		return
	}
	b.damp(s)
}

func (b *Balancer) damp(s *server) {
	s.dampedUntil = b.now + dampingDuration
	b.logf("damped %s", s.ID)
	b.updateDetector()
}

func (b *Balancer) onPeerMessage(e *PeerMessage) {
	m := decodePeerMessage(e.Data)
	if e.From < 0 || e.From >= b.settings.Balancers || e.From == b.settings.Self {
		return
	}
	if m.kind == messageArrivalRate {
		b.quotas.RecordPeerMean(m.score)
		return
	}
	s := b.byHash[m.hash]
	switch {
	case s == nil || !s.ringPlace.IsMember():
	case m.kind == messageDampRequest:
		b.emit(Action{Kind: SendToPeer, Peer: e.From, Data: encodeDampMessage(messageDampResponse, s, b.now)})
	case m.kind == messageDampResponse && s.dampRequestedAt > 0 && b.now-s.dampRequestedAt <= roundInterval && b.now >= s.dampedUntil &&
		min(s.decayedPenalty(b.now), m.score) > b.tuning.SuppressLimit/2:
		b.damp(s)
	}
}
