package quota

import (
	"math"
	"time"
)

const (
	minBurst      = 3.0 // requests: a small agent meets a tenant now and then, not evenly
	surgeHalfLife = 250 * time.Millisecond
)

// bucket is a tenant's token bucket.
type bucket struct {
	perSecond float64 // the quota of the whole service, requests a second
	tokens    float64 // requests
	updatedAt time.Duration
}

// burst is the most that is saved up at a rate in requests a second.
func burst(rate float64) float64 { return max(rate, minBurst) }

// refill adds the tokens since the last refill, at a rate in requests a second.
func (b *bucket) refill(now time.Duration, rate float64) {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst(rate))
	b.updatedAt = now
}

// surgeRate is how many requests came in the last moments. Means over rounds take seconds to follow when
// clients move here from another agent; until then their requests would look beyond their tenants' quotas,
// though all agents together get no more than before.
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
		return // it is asked several times for each request
	}
	s.weight *= math.Exp2(-float64(now-s.updatedAt) / float64(surgeHalfLife))
	s.updatedAt = now
}

// lowerBound is the rate in requests a second that the weight stands for, less two standard deviations of
// chance: an agent that gets a request now and then sees no surge in each.
func (s *surgeRate) lowerBound(now time.Duration) float64 {
	s.decay(now)
	return max(s.weight-math.Sqrt(2*s.weight), 0) * math.Ln2 / surgeHalfLife.Seconds()
}
