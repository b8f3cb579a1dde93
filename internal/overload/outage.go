package overload

import (
	"time"

	"dunestep/internal/balancer"
)

// While nothing is served little is sent, and what comes back is let prove itself.
const (
	attemptEndsHalfLife     = 400 * time.Millisecond
	minAttemptEnds          = 8.0 // ends of attempts in a moment, to judge by their outcomes
	outageSuccessRatio      = 0.1 // of the ends: where fewer are served, nothing is
	healthySuccessRatio     = 0.8 // of the ends: where more are served all is well
	outageFailingFor        = 500 * time.Millisecond
	outageMinFailures       = 12 // attempts that failed since the last answer
	silentOutageMinFailures = 3  // likewise, where nothing came for some aims
	outageMinRequests       = 5  // requests since the last answer, before its absence means anything
	silentOutageObjectives  = 2  // aims without any answer

	minTrialsPerSecond = 1.0 // a second
	maxSavedTrials     = 2.0 // saved up

	usualInFlightHalfLife    = 10 * time.Second
	initialInFlightPerServer = 8.0 // in flight at a server, of all agents, where none is usual yet
	rampAfter                = 5 * time.Second
	rampPerSecond            = 0.2 // of the usual, a second: let in more after that
	provenDuration           = 2 * time.Second
	stalledTrialAfter        = 300 * time.Millisecond
	settledAfterRecovery     = 2 * time.Second
	resetAfterFaults         = 2 // failures in a row
	// Between attempts at a cold server that fails them, of all agents together: what it turns away weighs as
	// well.
	warmingUpHold       = 80 * time.Millisecond
	lowestRankCapacity  = 0.5 // of the room: for what comes last in order
	healthyDuration     = 2 * time.Second
	maxRejectedFraction = 0.02 // of what comes: turned away by the gate, for it to be over
)

type phase uint8

// The phases of an outage.
const (
	phaseNormal phase = iota
	phaseOutage
	phaseRecovering
)

// damper follows an outage.
type outageState struct {
	phase                phase
	startedAt            time.Duration
	recoveringSince      time.Duration // since when there are answers again
	healthySince         time.Duration // since when all that comes is let in and served; zero: it is not
	attemptEnds          decayingSum   // of attempts
	successes            decayingSum   // of these, served
	requestsSinceSuccess int           // requests since the last answer
	failuresSinceSuccess int           // attempts, likewise
	connectionFaults     int           // of these, whose connections ended or did not come up: processes that may start anew
	lastSuccessAt        time.Duration // answer
	rejections           decayingSum   // requests that the gate turned away
	usualInFlight        decayingSum   // requests in flight: a mean over a longer time
	trialTokens          float64
	trialTokensAt        time.Duration
	rejectedCount        int           // in this outage
	lastSentAt           time.Duration // last attempt
	lastResetAt          time.Duration // the module's view of the servers, for want of one
}

func newOutageState() outageState {
	return outageState{
		attemptEnds: decayingSum{halfLife: attemptEndsHalfLife}, successes: decayingSum{halfLife: attemptEndsHalfLife}, rejections: decayingSum{halfLife: attemptEndsHalfLife},
		usualInFlight: decayingSum{halfLife: usualInFlightHalfLife},
	}
}

// recordAttemptEnd takes in how an attempt ended at a server.
func (g *Controller) recordAttemptEnd(s *server, o balancer.Outcome) {
	d := &g.outage
	switch o {
	case balancer.Canceled, balancer.NotSent:
		return
	case balancer.Served:
		d.successes.add(g.now, 1)
		d.attemptEnds.add(g.now, 1)
		if d.resetSinceSuccess(g.now); d.phase == phaseNormal {
			d.connectionFaults = 0
		}
		s.lastSuccessAt = g.now
		s.inFlightLimit = min(max(s.inFlightLimit, 1)+1, g.maxServerInFlight())
		switch {
		case d.phase == phaseOutage:
			g.startRecovery()
		case d.phase == phaseRecovering && s.consecutiveFaults >= resetAfterFaults:
			g.resetServers(s)
		}
		s.consecutiveFailures, s.consecutiveFaults = 0, 0
		return
	}
	if s.consecutiveFailures++; o != balancer.Rejected { // which a server does that is merely full
		s.consecutiveFaults++
	}
	d.attemptEnds.add(g.now, 1)
	d.failuresSinceSuccess++
	if o == balancer.ConnectFailed || o == balancer.ConnectionLost {
		d.connectionFaults++
	}
	s.holdUntil = g.now + warmingUpHold*time.Duration(g.agents)
	if s.inFlightLimit /= 2; g.now > s.lastSuccessAt+provenDuration {
		s.inFlightLimit = 0
	}
}

// settled tells whether answers show how long work takes: not those of an outage, nor those after it while
// servers may be cold.
func (g *Controller) isSettled() bool {
	d := &g.outage
	wait := settledAfterRecovery
	if d.connectionFaults > 0 {
		wait = max(wait, g.settings.Rules.SlowStartDuration)
	}
	return d.phase == phaseNormal || d.phase == phaseRecovering && g.now > d.recoveringSince+wait
}

// resetSinceSuccess starts the count of what has failed anew.
func (d *outageState) resetSinceSuccess(now time.Duration) {
	d.requestsSinceSuccess, d.failuresSinceSuccess, d.lastSuccessAt = 0, 0, now
}

// maxServerInFlight is how many requests may be in flight at a server while an outage is not over: somewhat more
// than is usual, and more with time, or growth would never be let in.
func (g *Controller) maxServerInFlight() float64 {
	d := &g.outage
	most := g.config.RecoveryHeadroom*d.usualInFlight.weight/max(g.recentPeakServers(), 1) + 1
	if d.usualInFlight.weight == 0 {
		most = initialInFlightPerServer / float64(g.agents)
	}
	if more := g.now - d.recoveringSince - rampAfter; d.phase == phaseRecovering && more > 0 {
		most *= 1 + rampPerSecond*more.Seconds()
	}
	return max(most, 2)
}

// updateOutage moves between the phases.
func (g *Controller) updateOutage() {
	d := &g.outage
	switch d.phase {
	case phaseNormal:
		d.usualInFlight.trackMean(g.now, float64(g.inFlight.count))
		g.detectOutage()
	case phaseOutage:
	case phaseRecovering:
		g.detectOutage()
		g.detectRecovered()
	}
}

// detectOutage sees that nothing is served any more: by what attempts end in, or by silence.
func (g *Controller) detectOutage() {
	d := &g.outage
	if d.lastSuccessAt == 0 {
		d.lastSuccessAt = g.now
	}
	none := g.now - d.lastSuccessAt
	failing := d.failuresSinceSuccess >= outageMinFailures && none >= outageFailingFor
	silent := none >= silentOutageObjectives*g.longestObjective && (d.failuresSinceSuccess >= silentOutageMinFailures || g.readyServers() == 0)
	if d.requestsSinceSuccess < outageMinRequests || !failing && !silent || g.episode.isShedding {
		return
	}
	if d.phase == phaseNormal {
		d.startedAt, d.rejectedCount = g.now, 0
	}
	g.logf("outage: nothing is served for %v, %d attempts failed, %d servers listed; of %.0f requests a second "+
		"only trials go on", none.Round(time.Millisecond), d.failuresSinceSuccess, g.readyServers(), g.arrivals.perSecond(g.now))
	d.phase = phaseOutage
}

// returns begins to let in what the servers prove that they can do.
func (g *Controller) startRecovery() {
	d := &g.outage
	d.phase, d.recoveringSince, d.healthySince = phaseRecovering, g.now, 0
	for _, s := range g.serversByID {
		if s.lastSuccessAt < g.now {
			s.inFlightLimit = 0
		}
	}
	g.logf("outage: served again after %v, let in by proof; %d requests were turned away",
		(g.now - d.startedAt).Round(time.Millisecond), d.rejectedCount)
	g.resetServers(g.serversByID...)
	g.sendToPeers(messageServedAgain)
}

// detectRecovered ends it once all that comes is let in and served for a while.
func (g *Controller) detectRecovered() {
	d := &g.outage
	well := d.successes.perSecond(g.now) >= healthySuccessRatio*d.attemptEnds.perSecond(g.now) &&
		d.rejections.perSecond(g.now) <= maxRejectedFraction*g.arrivals.perSecond(g.now)
	switch {
	case !well:
		d.healthySince = 0
	case d.healthySince == 0:
		d.healthySince = g.now
	case g.now-d.healthySince >= healthyDuration:
		d.phase = phaseNormal
		g.logf("outage over after %v", (g.now - d.startedAt).Round(time.Millisecond))
	}
}

// admitsInOutage tells whether a request may pass while an outage is not over.
func (g *Controller) admitsInOutage(e *balancer.Request, before float64) bool {
	d := &g.outage
	switch d.phase {
	case phaseNormal:
		return true
	case phaseRecovering:
		room := 0.0
		for _, s := range g.serversByID {
			if s.isReady {
				room += max(s.inFlightLimit, 1)
			}
		}
		if float64(g.inFlight.count) < room*(1-(1-lowestRankCapacity)*before) {
			return true
		}
	}
	return g.admitTrial(e)
}

// trial lets a few requests through, of classes that may be repeated where there are any.
func (g *Controller) admitTrial(e *balancer.Request) bool {
	d := &g.outage
	rate := max(g.config.TrialFraction*g.retryStorm.firstAttempts.perSecond(g.now), minTrialsPerSecond)
	d.trialTokens = min(d.trialTokens+rate*(g.now-d.trialTokensAt).Seconds(), maxSavedTrials)
	d.trialTokensAt = g.now
	if d.trialTokens < 1 || g.hasRepeatableClass && !g.isRepeatable(e.Class) {
		return false
	}
	d.trialTokens--
	if d.phase == phaseOutage && g.now-max(d.lastSentAt, d.startedAt, d.lastResetAt) > stalledTrialAfter {
		d.lastResetAt = g.now
		g.resetServers(g.serversByID...) // the module sends no trial: it goes by what it saw before
	}
	return true
}

// repeatable tells whether a failed attempt of a class leaves the client something to do.
func (g *Controller) isRepeatable(class string) bool {
	i, known := g.fairness.classIndex[class]
	return known && g.settings.Classes[i].Idempotency != balancer.NotIdempotent
}

// renew tells the module that servers are as if started anew, without being any colder: what was seen of them
// is of the outage.
func (g *Controller) resetServers(servers ...*server) {
	news := &balancer.ServerListUpdate{Kind: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Local: true}}
	for _, s := range servers {
		if s.isReady && !g.isWarmingUp(s) { // what just started is new to the module
			s.startOffset++
			s.entry.StartedAt++
			news.Servers = append(news.Servers, s.entry)
		}
	}
	g.pendingEvents = append(g.pendingEvents, news)
}
