package balancer

import "math"

const (
	// minRelativeSpeed is the minimum speed of a machine kind relative to the fastest, for its weight.
	minRelativeSpeed = 0.25
	// minWeight replaces a weight of zero in divisors.
	minWeight = 1e-9
)

// effectiveWeight returns a server's listed weight, multiplied by the measured speed of its machine kind
// relative to the fastest kind.
func (b *Balancer) effectiveWeight(s *server) float64 {
	if k := s.kindBaseline; k.seconds > 0 && b.lowestBaseline > 0 {
		return s.Weight * min(max(b.lowestBaseline/k.seconds, minRelativeSpeed), 1)
	}
	return s.Weight
}

// updateWeights recalculates what depends on all members of the ring: the baseline of the fastest machine
// kind, the largest weight and point count, the sum of weights, and whether any server is in slow start.
func (b *Balancer) updateWeights() {
	b.lowestBaseline = 0
	for _, k := range b.kindBaselines {
		if k.isKnown(b.IsSparse()) && (b.lowestBaseline == 0 || k.seconds < b.lowestBaseline) {
			b.lowestBaseline = k.seconds
		}
	}
	b.largestWeight, b.maxMemberPoints, b.weightSum, b.anyWarmingUp = 0, 1, 0, false
	for _, s := range b.ring.Members() {
		b.largestWeight = max(b.largestWeight, b.effectiveWeight(s))
		b.anyWarmingUp = b.anyWarmingUp || b.capacityFraction(s) < 1
		b.maxMemberPoints = max(b.maxMemberPoints, s.ringPlace.Points())
		if !s.outlier.IsEjected() && !s.isDamped(b.now) {
			b.weightSum += b.trafficWeight(s)
		}
	}
}

// keyFitsWeight reports whether the server keeps a key that the ring assigns it. Each server has the same
// number of points and so about as many keys; one with a low weight passes on a part of them in proportion,
// the same ones at every balancer.
func (b *Balancer) keyFitsWeight(hash uint32, s *server) bool {
	rank := (hash ^ s.hash) * 0x9E3779B1 // multiplicative hash
	return float64(rank)/(1<<32)*b.largestWeight <= b.effectiveWeight(s)
}

// trafficWeight returns a server's weight for its share of the requests: its points relative to the default
// under a ring assignment, else its effective weight times the fraction of requests that exclusions permit.
func (b *Balancer) trafficWeight(s *server) float64 {
	switch {
	case b.activeAssignment != nil:
		return float64(s.ringPlace.Points()) / pointsPerServer
	case s.excludedBelow != nil:
		return max(b.effectiveWeight(s)*b.permittedFraction(s), minWeight)
	}
	return b.effectiveWeight(s)
}

// permittedFraction returns the fraction of all requests that exclusions permit to go to the server.
func (b *Balancer) permittedFraction(s *server) float64 {
	permitted, all := 0.0, 0.0
	for i := range b.exclusions.tenants {
		n := float64(b.exclusions.tenants[i].Requests)
		all += n
		permitted += n * (1 - float64(s.excludedBelow[i])/math.MaxUint32)
	}
	return permitted / max(all, 1)
}

// scanWeight returns how much a saturated owner counts towards maxSaturatedScan. Without a ring assignment
// each server counts as one, since a light server already owns few keys. Under an assignment a server keeps
// all keys on its arcs, so it counts by its points relative to the largest number; else the search for a
// popular key would end after fewer owners.
func (b *Balancer) scanWeight(s *server) float64 {
	if b.activeAssignment == nil {
		return 1
	}
	return float64(s.ringPlace.Points()) / float64(b.maxMemberPoints)
}

// fairnessCredit returns how many requests the server has left of its fair share of this balancer's
// requests. It bounds the load over a longer time for a sparse balancer, which usually has no requests in
// flight at most servers.
func (b *Balancer) fairnessCredit(s *server) float64 {
	b.accounts.Open(&s.account, b.rng.Float64())
	return b.accounts.Credit(&s.account, b.trafficWeight(s)/max(b.weightSum, minWeight))
}
