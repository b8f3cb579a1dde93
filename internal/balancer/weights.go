package balancer

import "math"

const (
	// minRelativeSpeed bounds how slow a machine kind counts, compared with the fastest.
	minRelativeSpeed = 0.25
	// minWeight stands for weights of zero where something is divided by them.
	minWeight = 1e-9
)

// effectiveWeight is a server's listed weight, reduced by how slow its kind of machine has been.
func (b *Balancer) effectiveWeight(s *server) float64 {
	if k := s.kindBaseline; k.seconds > 0 && b.lowestBaseline > 0 {
		return s.Weight * min(max(b.lowestBaseline/k.seconds, minRelativeSpeed), 1)
	}
	return s.Weight
}

// updateWeights finds the fastest machine kind and the members' largest and summed weights.
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
		b.anyWarmingUp = b.anyWarmingUp || b.warmth(s) < 1
		b.maxMemberPoints = max(b.maxMemberPoints, s.ringPlace.Points())
		if !s.outlier.IsEjected() && !s.isDamped(b.now) {
			b.weightSum += b.trafficWeight(s)
		}
	}
}

// keyFitsWeight reports whether a key on the server's arcs is among those that its weight gives it. Uniform
// points give all servers as many keys; a light one passes a part of its keys on, the same ones at every
// balancer.
func (b *Balancer) keyFitsWeight(hash uint32, s *server) bool {
	rank := (hash ^ s.hash) * 0x9E3779B1 // spreads the bits
	return float64(rank)/(1<<32)*b.largestWeight <= b.effectiveWeight(s)
}

// trafficWeight is a server's weight among the others, for its part of the requests: by its points under a
// ring assignment, else by its effective weight and what exclusions leave of it.
func (b *Balancer) trafficWeight(s *server) float64 {
	switch {
	case b.activeAssignment != nil:
		return float64(s.ringPlace.Points()) / pointsPerServer
	case s.excludedBelow != nil:
		return max(b.effectiveWeight(s)*b.permittedFraction(s), minWeight)
	}
	return b.effectiveWeight(s)
}

// permittedFraction is the part of all requests that exclusions let go to a server.
func (b *Balancer) permittedFraction(s *server) float64 {
	permitted, all := 0.0, 0.0
	for i := range b.exclusions.tenants {
		n := float64(b.exclusions.tenants[i].Requests)
		all += n
		permitted += n * (1 - float64(s.excludedBelow[i])/math.MaxUint32)
	}
	return permitted / max(all, 1)
}

// scanWeight is how much a saturated owner counts towards maxSaturatedScan. By listed weights a light server
// owns few keys, and counts as one. By a ring assignment it owns all keys that come to it, and counts for its
// points as a part of the most; else a balancer would look at fewer owners of a popular key.
func (b *Balancer) scanWeight(s *server) float64 {
	if b.activeAssignment == nil {
		return 1
	}
	return float64(s.ringPlace.Points()) / float64(b.maxMemberPoints)
}

// fairnessCredit is what the server has left of its fair share of this balancer's requests, in requests: a
// bound on load over a longer time, for a sparse balancer, which has nothing in flight at most servers
// whenever it looks.
func (b *Balancer) fairnessCredit(s *server) float64 {
	b.accounts.Open(&s.account, b.rng.Float64())
	return b.accounts.Credit(&s.account, b.trafficWeight(s)/max(b.weightSum, minWeight))
}
