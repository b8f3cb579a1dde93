package overload

import (
	"math"
	"time"

	"dunestep/internal/balancer"
)

const (
	minBurst          = 3.0 // requests: a small agent sees a tenant's requests at uneven intervals
	quotaHalfLife     = 2 * time.Second
	overQuotaFraction = 0.1 // fraction of first attempts over quota above which a tenant's retries count too
)

// tenantQuota is a token bucket with this agent's fraction of a tenant's quota. During an outage and the
// recovery, retries are not counted again, because otherwise every tenant would seem to be over its quota.
// Retries of a tenant whose first attempts alone exceed the quota are counted.
type tenantQuota struct {
	perSecond      float64 // requests, of all agents together; zero or less: unlimited
	tokens         float64 // requests
	updatedAt      time.Duration
	firstAttempts  decayingSum
	firstOverQuota decayingSum // of these, over the quota
}

func newTenantQuota(perSecond float64) *tenantQuota {
	return &tenantQuota{
		perSecond: perSecond, firstAttempts: decayingSum{halfLife: quotaHalfLife},
		firstOverQuota: decayingSum{halfLife: quotaHalfLife},
	}
}

// refill adds the tokens earned since the last refill, at a rate in requests per second.
func (q *tenantQuota) refill(now time.Duration, rate float64) {
	q.tokens = min(q.tokens+rate*(now-q.updatedAt).Seconds(), max(rate, minBurst))
	q.updatedAt = now
}

// setRate changes the quota, in requests per second; fraction is this agent's fraction of it. The bucket
// keeps its fill level in proportion. A quota that is not a finite number changes nothing.
func (q *tenantQuota) setRate(now time.Duration, perSecond, fraction float64) {
	if perSecond == q.perSecond || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return
	}
	fullness := 1.0
	if q.perSecond > 0 {
		q.refill(now, q.perSecond*fraction)
		fullness = q.tokens / max(q.perSecond*fraction, minBurst)
	}
	q.perSecond, q.updatedAt, q.tokens = perSecond, now, fullness*max(perSecond*fraction, minBurst)
}

// quotaCheck is the result of checking a request against its tenant's quota.
type quotaCheck struct {
	overQuota bool
	counts    bool // false: a retry during an outage or recovery, which is not counted again
}

// checkQuota checks a request against its tenant's quota and takes a token if the request counts and is
// within it.
func (c *Controller) checkQuota(tenant string, kind arrivalKind) quotaCheck {
	q := c.quotas[tenant]
	if q == nil || q.perSecond <= 0 {
		return quotaCheck{counts: true}
	}
	q.refill(c.now, q.perSecond*c.balancer.ArrivalFraction())
	check := quotaCheck{overQuota: q.tokens < 1}
	if kind == firstAttempt {
		q.firstAttempts.add(c.now, 1)
		if check.overQuota {
			q.firstOverQuota.add(c.now, 1)
		}
	}
	q.firstOverQuota.decay(c.now)
	q.firstAttempts.decay(c.now)
	check.counts = kind == firstAttempt || c.outage.phase == phaseNormal ||
		q.firstOverQuota.weight > overQuotaFraction*q.firstAttempts.weight
	if check.counts && !check.overQuota {
		q.tokens--
	}
	return check
}

// reportedQuota returns the tenant's quota for a rejection; zero if it is unlimited or ReportQuota is off.
func (c *Controller) reportedQuota(tenant string) balancer.Quota {
	q := c.quotas[tenant]
	if !c.config.ReportQuota || q == nil || q.perSecond <= 0 {
		return balancer.Quota{}
	}
	return balancer.Quota{PerSecond: q.perSecond * c.balancer.ArrivalFraction(), Remaining: max(q.tokens, 0)}
}
