package overload

import "dunestep/internal/balancer"

// rejectReason is why the controller rejects a request.
type rejectReason uint8

const (
	notRejected      rejectReason = iota
	rejectEarlyRetry              // a retry storm is active, and the client ignores its Retry-After
	rejectThrottled               // the adaptive throttle is at its limit
	rejectShedding                // load is shed, and the request is late in the fairness order
	rejectOutage                  // no server responds, and the request is not a trial
	rejectRecovering              // the servers have not yet proved able to serve that many
)

var rejectReasonTexts = [...]string{
	notRejected: "not rejected", rejectEarlyRetry: "retry before its Retry-After", rejectThrottled: "throttled",
	rejectShedding: "shedding load", rejectOutage: "outage", rejectRecovering: "recovering from an outage",
}

func (r rejectReason) String() string { return rejectReasonTexts[r] }

// delaysRecovery reports whether rejections for this reason keep an outage from ending, which requires that
// nearly all requests are admitted.
func (r rejectReason) delaysRecovery() bool {
	return r == rejectShedding || r == rejectOutage || r == rejectRecovering
}

// arrivalKind distinguishes a client's first attempt from its retries.
type arrivalKind uint8

const (
	firstAttempt arrivalKind = iota
	clientRetry
)

// arrival is what the admission decision needs to know of a request.
type arrival struct {
	client clientID
	kind   arrivalKind
	priority
	counts bool // counted against its tenant's quota
	tier   int  // tier in the fairness order
}

// admit decides on a request. It returns the event to pass to the balancer, or nil if the request is
// rejected.
func (c *Controller) admit(e *balancer.Request) balancer.Event {
	c.arrivals.add(c.now, 1)
	c.outage.requestsSinceSuccess++
	if c.requests[e.ID] != nil {
		return nil // the event was delivered twice
	}
	a := c.recordArrival(e)
	if reason := c.checkAdmission(e, a); reason != notRejected {
		if reason.delaysRecovery() {
			c.outage.rejections.add(c.now, 1)
			c.outage.rejectedCount++
		}
		c.reject(e, a, reason)
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

// recordArrival counts a request in all statistics and determines its place in the fairness order.
func (c *Controller) recordArrival(e *balancer.Request) arrival {
	a := arrival{client: c.retryAfters.clientID(e.Key, e.Tenant, e.Class)}
	entry := c.retryAfters.find(c.now, a.client)
	if e.ClientRetry || entry != nil && !c.settings.ClientsMarkRetries {
		a.kind = clientRetry
	}
	quota := c.checkQuota(e.Tenant, a.kind)
	a.counts, a.overQuota = quota.counts, quota.overQuota
	a.ignoresRetryAfter = entry != nil && a.kind == clientRetry && entry.ignoresRetryAfter(c.now)
	a.tier = c.fairness.tier(e.Class, a.priority)
	c.fairness.add(c.now, a.tier)
	c.retryStorm.recordArrival(c.now, a.kind)
	return a
}

// checkAdmission returns the first reason that applies for rejecting a request, or notRejected.
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

// reject rejects a request at once, with a Retry-After and, if configured, the tenant's quota.
func (c *Controller) reject(e *balancer.Request, a arrival, reason rejectReason) {
	c.countRejected(e.Tenant)
	c.actions = append(c.actions, balancer.Action{
		Kind: balancer.Reject, ID: e.ID, After: c.retryAfter(a.client), OverQuota: a.overQuota,
		Quota: c.reportedQuota(e.Tenant), Reason: reason.String(),
	})
}
