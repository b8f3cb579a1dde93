package quota

import (
	"math"
	"time"
)

const (
	minBurst      = 3.0 // requests; at a small agent the requests of a tenant arrive unevenly
	surgeHalfLife = 250 * time.Millisecond
)

// bucket is a tenant's token bucket.
type bucket struct {
	perSecond float64 // the quota of the whole service, requests a second
	tokens    float64 // requests
	updatedAt time.Duration
}

// burst returns the maximum number of tokens at a rate in requests a second.
func burst(rate float64) float64 { return max(rate, minBurst) }

// refill adds the tokens accrued since the last refill at a rate in requests a second.
func (b *bucket) refill(now time.Duration, rate float64) {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst(rate))
	b.updatedAt = now
}

// surgeRate measures the request rate of the last moments. Means over rounds take seconds to follow when
// clients move to this agent from another one. Until then their requests would seem to exceed their tenants'
// quotas, although all agents together receive no more than before.
type surgeRate struct {
	weight    float64 // requests, decayed
	updatedAt time.Duration
}

func (s *surgeRate) add(now time.Duration) {
	s.decay(now)
	s.weight++
}

func (s *surgeRate) decay(now time.Duration) {
	if now == s.updatedAt {
		return // decay is called several times for each request
	}
	s.weight *= math.Exp2(-float64(now-s.updatedAt) / float64(surgeHalfLife))
	s.updatedAt = now
}

// lowerBound returns the request rate that corresponds to the weight, in requests a second, minus two
// standard deviations, so that single requests at a quiet agent do not count as a surge.
func (s *surgeRate) lowerBound(now time.Duration) float64 {
	s.decay(now)
	return max(s.weight-math.Sqrt(2*s.weight), 0) * math.Ln2 / surgeHalfLife.Seconds()
}
