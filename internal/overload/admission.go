package overload

import "dunestep/internal/balancer"

// rejectReason is why the controller rejects a request.
type rejectReason uint8

const (
	notRejected      rejectReason = iota
	rejectEarlyRetry              // a retry storm is on, and the client ignores its Retry-After
	rejectThrottled               // the adaptive throttle admits no more
	rejectShedding                // load is shed, and the request comes late in the order of fairness
	rejectOutage                  // no server responds, and it is no trial
	rejectRecovering              // the servers have not proved yet that they can serve so much
)

// isForOverload reports whether a rejection shows that not all is admitted yet, which an outage needs to be
// over.
func (r rejectReason) isForOverload() bool {
	return r == rejectShedding || r == rejectOutage || r == rejectRecovering
}

// arrivalKind distinguishes a client's first attempt from its retries.
type arrivalKind uint8

const (
	firstAttempt arrivalKind = iota
	clientRetry
)

// arrival is what is found out of a request before it is decided on.
type arrival struct {
	client clientID
	kind   arrivalKind
	priority
	counts bool // against its tenant's quota
	tier   int  // in the order of fairness
}

// admit decides on a request. It returns what the balancer is to see of it, or nil where it is rejected.
func (c *Controller) admit(e *balancer.Request) balancer.Event {
	c.arrivals.add(c.now, 1)
	c.outage.requestsSinceSuccess++
	if c.requests[e.ID] != nil {
		return nil // the event was delivered twice
	}
	a := c.recordArrival(e)
	if reason := c.checkAdmission(e, a); reason != notRejected {
		if reason.isForOverload() {
			c.outage.rejections.add(c.now, 1)
			c.outage.rejectedCount++
		}
		c.reject(e, a)
		return nil
	}
	c.addRequest(e, a)
	if !a.counts && !a.overQuota {
		c.requestEvent = *e
		c.requestEvent.QuotaCounted = true
		return &c.requestEvent
	}
	return e
}

// recordArrival counts a request everywhere and finds its place in the order of fairness.
func (c *Controller) recordArrival(e *balancer.Request) arrival {
	a := arrival{client: c.retryAfters.clientID(e.Key, e.Tenant, e.Class)}
	back := c.retryAfters.find(c.now, a.client)
	if e.ClientRetry || back != nil && !c.settings.ClientsMarkRetries {
		a.kind = clientRetry
	}
	quota := c.checkQuota(e.Tenant, a.kind)
	a.counts, a.overQuota = quota.counts, quota.overQuota
	a.ignoresRetryAfter = back != nil && a.kind == clientRetry && back.ignoresRetryAfter(c.now)
	a.tier = c.fairness.tier(e.Class, a.priority)
	c.fairness.add(c.now, a.tier)
	c.retryStorm.recordArrival(c.now, a.kind)
	return a
}

// checkAdmission decides whether a request is rejected, step by step; the first reason holds.
func (c *Controller) checkAdmission(e *balancer.Request, a arrival) rejectReason {
	if c.rejectsEarlyRetry(a.priority) {
		return rejectEarlyRetry
	}
	if c.isThrottled(e, a.tier) {
		return rejectThrottled
	}
	if !c.isSheddingNow() && c.outage.phase == phaseNormal {
		return notRejected
	}
	before := c.fairness.fractionBefore(c.now, a.tier, c.fairnessRank(e))
	if c.isSheddingNow() && before >= c.sheddingAdmittedFraction() {
		return rejectShedding
	}
	return c.checkOutage(e, before)
}

// reject rejects a request at once: with a Retry-After, and with the tenant's quota where that is configured.
func (c *Controller) reject(e *balancer.Request, a arrival) {
	c.countRejected(e.Tenant)
	c.actions = append(c.actions, balancer.Action{
		Kind: balancer.Reject, ID: e.ID, After: c.retryAfter(a.client), OverQuota: a.overQuota,
		Quota: c.reportedQuota(e.Tenant),
	})
}
