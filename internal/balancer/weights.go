package balancer

import (
	"math"
	"time"
)

const (
	// minRelativeSpeed is the minimum speed of a machine kind relative to the fastest, for its weight.
	minRelativeSpeed = 0.25
	// minWeight replaces a weight of zero in divisors.
	minWeight = 1e-9
)

// relativeSpeed returns the measured speed of a machine kind relative to the fastest one, at most 1.
func (b *Balancer) relativeSpeed(kind *baselineLatency) float64 {
	if kind.seconds > 0 && b.lowestBaseline > 0 {
		return min(max(b.lowestBaseline/kind.seconds, minRelativeSpeed), 1)
	}
	return 1
}

// effectiveWeight returns a server's listed weight, multiplied by the measured speed of its machine kind
// relative to the fastest kind.
func (b *Balancer) effectiveWeight(s *server) float64 {
	return s.Weight * b.relativeSpeed(s.kindBaseline)
}

// memberWeights has what updateWeights needs to know of the ring's members. It follows joins and leaves, so
// that it examines all members only after one of them has changed in another way.
type memberWeights struct {
	isStale         bool          // a member has changed other than by joining or leaving
	kinds           []kindWeight  // in the order of their first members
	maxMemberPoints int           // without an assignment: not set
	warmingUpUntil  time.Duration // when the last member leaves slow start, unless it leaves the ring before
}

// kindWeight has the listed weights of one machine kind's members.
type kindWeight struct {
	kind         *baselineLatency
	largest      float64
	largestCount int     // members with the largest weight
	upSum        float64 // sum over those that are up
}

// countedWeight is what memberWeights includes of a member.
type countedWeight struct {
	kind   *baselineLatency // nil: nothing
	weight float64
	isUp   bool
}

// recount examines all members.
func (w *memberWeights) recount(b *Balancer) {
	*w = memberWeights{kinds: w.kinds[:0], maxMemberPoints: 1}
	for _, s := range b.ring.Members() {
		w.add(b, s)
	}
}

// add adds a member.
func (w *memberWeights) add(b *Balancer, s *server) {
	s.counted = countedWeight{kind: s.kindBaseline, weight: s.Weight, isUp: b.isUp(s)}
	k := w.kindWeight(s.kindBaseline)
	switch {
	case s.Weight > k.largest:
		k.largest, k.largestCount = s.Weight, 1
	case s.Weight == k.largest:
		k.largestCount++
	}
	if s.counted.isUp {
		k.upSum += s.Weight
	}
	if b.activeAssignment != nil {
		w.maxMemberPoints = max(w.maxMemberPoints, s.ringPlace.Points())
	}
	w.extendWarmingUp(b, s)
}

// remove removes a member that has left.
func (w *memberWeights) remove(s *server) {
	counted := s.counted
	s.counted = countedWeight{}
	if counted.kind == nil {
		return
	}
	k := w.kindWeight(counted.kind)
	if counted.isUp {
		k.upSum -= counted.weight
	}
	if counted.weight == k.largest {
		k.largestCount--
		w.isStale = w.isStale || k.largestCount == 0
	}
}

// extendWarmingUp records when a member leaves slow start.
func (w *memberWeights) extendWarmingUp(b *Balancer, s *server) {
	if since := b.startOf(s); since != 0 {
		w.warmingUpUntil = max(w.warmingUpUntil, since+b.slowStart.Duration)
	}
}

// kindWeight returns the weights of a machine kind, which it adds if there are none.
func (w *memberWeights) kindWeight(kind *baselineLatency) *kindWeight {
	for i := range w.kinds {
		if w.kinds[i].kind == kind {
			return &w.kinds[i]
		}
	}
	w.kinds = append(w.kinds, kindWeight{kind: kind})
	return &w.kinds[len(w.kinds)-1]
}

// isUp reports whether the server is neither ejected nor damped.
func (b *Balancer) isUp(s *server) bool {
	return !s.isWatched || !s.outlier.IsEjected() && !s.isDamped(b.now) // all others are up
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
	if b.weights.isStale {
		b.weights.recount(b)
	}
	b.maxMemberPoints = max(b.weights.maxMemberPoints, 1)
	b.anyWarmingUp = b.now < b.weights.warmingUpUntil
	b.largestWeight, b.weightSum = 0, 0
	for _, w := range b.weights.kinds {
		speed := b.relativeSpeed(w.kind)
		b.largestWeight = max(b.largestWeight, speed*w.largest)
		b.weightSum += speed * w.upSum
	}
	if b.activeAssignment != nil || b.exclusions.current != nil {
		b.sumTrafficWeights()
	}
}

// sumTrafficWeights sets the sum of weights where a member's traffic does not go by its listed weight alone.
func (b *Balancer) sumTrafficWeights() {
	b.weightSum = 0
	for _, s := range b.ring.Members() {
		if b.isUp(s) {
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
