package overload

import (
	"math"
	"time"

	"dunestep/internal/balancer"
)

// share is a tenant's share of the service, as a bucket of this agent's part of it. After an outage repeats
// are not counted again, or every tenant would look over its share; but those of a tenant whose first tries
// go beyond it are, since they are what it asks too much.
type tenantQuota struct {
	perSecond      float64 // of all agents together
	tokens         float64
	updatedAt      time.Duration
	firstAttempts  decayingSum // tries of late
	firstOverQuota decayingSum // of these, beyond the share
}

const (
	minBurst          = 3.0 // requests: a small agent meets a tenant now and then, not evenly
	quotaHalfLife     = 2 * time.Second
	overQuotaFraction = 0.1 // of the first tries: a tenant that goes beyond its share
)

func newTenantQuota(perSecond float64) *tenantQuota {
	return &tenantQuota{perSecond: perSecond, firstAttempts: decayingSum{halfLife: quotaHalfLife}, firstOverQuota: decayingSum{halfLife: quotaHalfLife}}
}

// save adds to the bucket what has come together since the last time, at so many requests a second.
func (s *tenantQuota) refill(now time.Duration, rate float64) {
	s.tokens = min(s.tokens+rate*(now-s.updatedAt).Seconds(), max(rate, minBurst))
	s.updatedAt = now
}

// set changes the share, with the bucket as full as before, in proportion: see quota.Tracker's SetConfig.
func (s *tenantQuota) setRate(now time.Duration, perSecond, part float64) {
	if perSecond == s.perSecond || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return
	}
	full := 1.0
	if s.perSecond > 0 {
		s.refill(now, s.perSecond*part)
		full = s.tokens / max(s.perSecond*part, minBurst)
	}
	s.perSecond, s.updatedAt, s.tokens = perSecond, now, full*max(perSecond*part, minBurst)
}

// checkQuota tells whether a request is beyond its tenant's share, and whether its repeats are to be counted.
func (g *Controller) checkQuota(tenant string, repeat bool) (over, counts bool) {
	s := g.quotas[tenant]
	if s == nil || s.perSecond <= 0 {
		return false, true
	}
	s.refill(g.now, s.perSecond*g.balancer.ArrivalFraction())
	over = s.tokens < 1
	if !repeat {
		s.firstAttempts.add(g.now, 1)
		if over {
			s.firstOverQuota.add(g.now, 1)
		}
	}
	s.firstOverQuota.decay(g.now)
	s.firstAttempts.decay(g.now)
	counts = !repeat || g.outage.phase == phaseNormal || s.firstOverQuota.weight > overQuotaFraction*s.firstAttempts.weight
	if counts && !over {
		s.tokens--
	}
	return over, counts
}

// quota is what a refusal tells of a tenant's share, where that is switched on.
func (g *Controller) reportedQuota(tenant string) balancer.Quota {
	s := g.quotas[tenant]
	if !g.config.ReportQuota || s == nil || s.perSecond <= 0 {
		return balancer.Quota{}
	}
	return balancer.Quota{PerSecond: s.perSecond * g.balancer.ArrivalFraction(), Remaining: max(s.tokens, 0)}
}
