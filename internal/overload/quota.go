package overload

import (
	"math"
	"time"

	"dunestep/internal/balancer"
)

const (
	minBurst          = 3.0 // requests: a small agent meets a tenant now and then, not evenly
	quotaHalfLife     = 2 * time.Second
	overQuotaFraction = 0.1 // of a tenant's first attempts: from more on, its retries are counted as well
)

// tenantQuota is a token bucket with this agent's part of a tenant's quota. After an outage retries are not
// counted again, or every tenant would look over its quota; except for a tenant whose first attempts alone
// exceed it.
type tenantQuota struct {
	perSecond      float64 // requests, of all agents together; zero or less: unlimited
	tokens         float64 // requests
	updatedAt      time.Duration
	firstAttempts  decayingSum
	firstOverQuota decayingSum // of these, beyond the quota
}

func newTenantQuota(perSecond float64) *tenantQuota {
	return &tenantQuota{
		perSecond: perSecond, firstAttempts: decayingSum{halfLife: quotaHalfLife},
		firstOverQuota: decayingSum{halfLife: quotaHalfLife},
	}
}

// refill adds the tokens since the last refill, at a rate in requests a second.
func (q *tenantQuota) refill(now time.Duration, rate float64) {
	q.tokens = min(q.tokens+rate*(now-q.updatedAt).Seconds(), max(rate, minBurst))
	q.updatedAt = now
}

// setRate changes the quota, in requests a second; fraction is this agent's part of it. The bucket stays as
// full as it was, in proportion. A quota that is not a finite number changes nothing.
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
	counts    bool // false: a retry in an outage or after it, which is not counted again
}

// checkQuota counts a request against its tenant's quota.
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

// reportedQuota is the tenant's quota as a rejection carries it; zero where that is not configured.
func (c *Controller) reportedQuota(tenant string) balancer.Quota {
	q := c.quotas[tenant]
	if !c.config.ReportQuota || q == nil || q.perSecond <= 0 {
		return balancer.Quota{}
	}
	return balancer.Quota{PerSecond: q.perSecond * c.balancer.ArrivalFraction(), Remaining: max(q.tokens, 0)}
}
