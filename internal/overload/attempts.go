package overload

import (
	"cmp"
	"math"
	"time"

	"dunestep/internal/balancer"
)

const (
	retryBudgetFraction = 0.1 // attempts beyond the first, per forwarded request
	maxRetryBudget      = 5.0 // attempts
)

// request is the state of an admitted request, kept until it is answered and its attempts have ended.
type request struct {
	client           clientID
	tenant           string
	overQuota        bool
	attempts         []attempt // sent attempts, indexed by the caller's attempt number
	balancerAttempts int       // number of attempts as the balancer counts them, including suppressed ones
	openAttempts     int
	isAnswered       bool
	isBodyPending    bool // its client is still sending the body
	isStreaming      bool // its class has streamed responses: servers work until the end of the response
}

// attempt is an attempt that was sent.
type attempt struct {
	balancerNumber  int // attempt number used by the balancer
	server          *server
	concurrency     float64 // at the start of the attempt
	hasEnded        bool
	isReceiving     bool // its body is not complete, and the server's work has not begun
	responseStarted bool // the server's work is done and no longer counted as in flight
}

func (c *Controller) addRequest(e *balancer.Request, a arrival) {
	r := &request{}
	if n := len(c.freeRequests); n > 0 {
		r, c.freeRequests = c.freeRequests[n-1], c.freeRequests[:n-1]
	}
	class, known := c.fairness.classIndex[e.Class]
	*r = request{
		client: a.client, tenant: e.Tenant, overQuota: a.overQuota, attempts: r.attempts[:0],
		isStreaming: known && c.settings.Classes[class].Streaming, isBodyPending: e.IsBodyPending,
	}
	c.requests[e.ID] = r
}

// onAction processes an action of the balancer and reports whether the caller must carry it out.
func (c *Controller) onAction(a *balancer.Action) bool {
	r := c.requests[a.ID]
	switch a.Kind {
	case balancer.Send:
		return r == nil || c.onSend(a, r)
	case balancer.Cancel:
		return r == nil || r.renumberAttempt(a)
	case balancer.Reject, balancer.Fail:
		if r == nil {
			return true
		}
		if a.Kind == balancer.Reject {
			c.onBalancerReject(a, r)
		}
		c.onFinalAnswer(a.ID)
	}
	return true
}

// onBalancerReject completes a rejection by the balancer and records when the client should return.
func (c *Controller) onBalancerReject(a *balancer.Action, r *request) {
	a.OverQuota, a.Quota = r.overQuota && !c.config.Disabled, c.reportedQuota(r.tenant)
	if c.outage.phase != phaseNormal || c.isSheddingNow() {
		a.After = c.retryAfter(r.client)
	} else if a.After > 0 {
		c.retryAfters.record(c.now, r.client, c.now+a.After)
	}
}

// renumberAttempt replaces the balancer's attempt number in an action by the caller's. It returns false if
// the attempt was suppressed.
func (r *request) renumberAttempt(a *balancer.Action) bool {
	for i := range r.attempts {
		if r.attempts[i].balancerNumber == a.Attempt {
			a.Attempt = i
			return true
		}
	}
	return false
}

// onSend records an attempt and returns true. If the attempt is suppressed, it notifies the balancer that
// the attempt was not sent and returns false.
func (c *Controller) onSend(a *balancer.Action, r *request) bool {
	number, s := r.balancerAttempts, c.server(a.Server)
	r.balancerAttempts++
	if c.checkAttempt(r, s) != notSuppressed {
		c.pendingEvents = append(c.pendingEvents, &balancer.AttemptDone{
			ID: a.ID, Attempt: number, Server: a.Server,
			Outcome: balancer.NotSent, RequestDone: r.isAnswered,
		})
		return false
	}
	if len(r.attempts) == 0 {
		c.forwarded.add(c.now, 1)
		c.retryBudget = min(c.retryBudget+retryBudgetFraction, maxRetryBudget)
	}
	c.outage.lastSentAt = c.now
	r.attempts = append(r.attempts, attempt{
		balancerNumber: number, server: s, concurrency: c.concurrency(), isReceiving: r.isBodyPending,
	})
	r.openAttempts++
	if !r.isBodyPending {
		c.changeInFlight(s, 1)
	}
	return true
}

// onBodyComplete counts the request's attempts as in flight: servers begin to work on it.
func (c *Controller) onBodyComplete(id uint32) {
	r := c.requests[id]
	if r == nil || !r.isBodyPending {
		return
	}
	r.isBodyPending = false
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.isReceiving && !a.hasEnded && !a.responseStarted {
			a.isReceiving = false
			c.changeInFlight(a.server, 1)
		}
	}
}

// changeInFlight adds to the requests in flight at a server and in total.
func (c *Controller) changeInFlight(s *server, change int) {
	s.inFlight += change
	c.inFlight.changeBy(c.now, change)
}

// suppressReason is why an attempt of the balancer is not made.
type suppressReason uint8

const (
	notSuppressed       suppressReason = iota
	suppressSlowStart                  // the server is in slow start and has not proved able to serve more
	suppressOutage                     // during an outage, each trial has one attempt
	suppressRetryBudget                // during recovery, the budget for further attempts is spent
)

// checkAttempt returns the first reason that applies for suppressing an attempt, or notSuppressed. When few
// servers work, a server in slow start gets no more than it proves able to serve: each agent's own
// slow-start budget is small, but all agents turn to that server at once.
func (c *Controller) checkAttempt(r *request, s *server) suppressReason {
	if c.config.Disabled {
		return notSuppressed
	}
	inOutage := c.outage.phase != phaseNormal
	fewServers := inOutage || 2*float64(c.serverCounts.working) < c.recentPeakServers()
	if fewServers && c.isInSlowStart(s) && c.isAtProvenLimit(s) {
		return suppressSlowStart
	}
	if !inOutage || len(r.attempts) == 0 {
		return notSuppressed
	}
	if c.outage.phase == phaseOutage {
		return suppressOutage
	}
	if c.retryBudget < 1 {
		return suppressRetryBudget
	}
	c.retryBudget--
	return notSuppressed
}

// balancerNumber returns the balancer's number of an attempt, by the caller's number.
func (c *Controller) balancerNumber(id uint32, attempt int) int {
	r := c.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return attempt
	}
	return r.attempts[attempt].balancerNumber
}

// onStreamStarted records that a response has started and returns the event with the balancer's attempt
// number.
func (c *Controller) onStreamStarted(e *balancer.StreamStarted) balancer.Event {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return e
	}
	a := &r.attempts[e.Attempt]
	if !a.hasEnded && !r.isStreaming { // the server's work is done, however slowly the client reads
		c.removeFromInFlight(a)
		a.responseStarted = true
	}
	c.streamStartedEvent = balancer.StreamStarted{ID: e.ID, Attempt: a.balancerNumber}
	return &c.streamStartedEvent
}

// onAttemptDone records the end of an attempt and returns the event to pass to the balancer. A trial that
// fails during an outage is no evidence against its server and is reported as canceled: otherwise the
// balancer would eject every server, and each would have to prove itself on its own once the servers
// respond again.
func (c *Controller) onAttemptDone(e *balancer.AttemptDone) balancer.Event {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].hasEnded {
		return e
	}
	a := &r.attempts[e.Attempt]
	a.hasEnded = true
	r.openAttempts--
	c.removeFromInFlight(a)
	isLocal := e.Evidence.IsLocal()
	if !isLocal {
		c.throttle.recordAttemptEnd(c.now, e.Outcome)
	}
	if e.Outcome == balancer.Served {
		c.successes.add(c.now, 1)
		c.usualSuccesses.add(c.now, 1)
		if c.isSettled() && !c.isInSlowStart(a.server) {
			c.recordServiceTime(a, max(e.Latency, time.Microsecond))
		}
		c.retryAfters.forget(c.now, r.client)
	}
	if !isLocal || e.Outcome == balancer.Served { // else it is no evidence about its servers
		c.recordAttemptEnd(a.server, e.Outcome)
	}
	r.isAnswered = r.isAnswered || e.RequestDone
	c.releaseRequest(e.ID, r)
	c.attemptDoneEvent = *e
	c.attemptDoneEvent.Attempt = a.balancerNumber
	if c.outage.phase == phaseOutage && !e.Outcome.Unprocessed() {
		c.attemptDoneEvent.Outcome = balancer.Canceled
	}
	return &c.attemptDoneEvent
}

// removeFromInFlight removes an attempt from the requests in flight, once.
func (c *Controller) removeFromInFlight(a *attempt) {
	if !a.responseStarted && !a.isReceiving {
		c.changeInFlight(a.server, -1)
	}
}

// recordServiceTime compares a response's latency with the usual service time, and updates the estimate of
// the usual service time.
func (c *Controller) recordServiceTime(a *attempt, latency time.Duration) {
	s, logSeconds := a.server, math.Log(latency.Seconds())
	c.firstResponseAt = cmp.Or(c.firstResponseAt, c.now)
	usual, known := s.serviceTime.usual(a.concurrency)
	if known {
		c.episode.observe(c.now, logSeconds-usual)
		s.logFactors.decay(c.now)
		s.logFactors.weight += logSeconds - usual
		s.samples.add(c.now, 1)
		s.lastResponseAt = c.now
	}
	gain := estimateGain
	if known && c.episode.own.weight >= minOwnWeight && c.episode.own.factor() > unusualFactor {
		gain = episodeEstimateGain
	}
	s.serviceTime.observe(a.concurrency, logSeconds, gain)
}

// onFinalAnswer marks a request as answered, or as abandoned by its client.
func (c *Controller) onFinalAnswer(id uint32) {
	if r := c.requests[id]; r != nil {
		r.isAnswered = true
		c.releaseRequest(id, r)
	}
}

// releaseRequest frees a request that is answered and has no open attempt.
func (c *Controller) releaseRequest(id uint32, r *request) {
	if r.isAnswered && r.openAttempts == 0 {
		delete(c.requests, id)
		c.freeRequests = append(c.freeRequests, r)
	}
}
