package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	farm "github.com/dgryski/go-farm"

	"dunestep/internal/balancer"
)

// fairnessOrder is the order in which requests are admitted when not all can be: first by tier, then by the
// rank of the key. A tier combines, most important first, whether the request is within its tenant's quota,
// the class's priority weight, and whether the client respected its Retry-After. All agents put the same
// keys first, so that admitted requests find warm caches. The ranks rotate with time, so that each key is
// first at some time.
type fairnessOrder struct {
	classIndex map[string]int // index in the settings, by class name
	classRank  []int          // by index: 0 is the class with the highest priority weight
	offered    []decayingSum  // recent requests, by tier
}

const offeredHalfLife = 2 * time.Second

// priority is what determines a request's tier besides its class.
type priority struct {
	overQuota         bool // over its tenant's quota
	ignoresRetryAfter bool // client returned too early, or was rejected several times already
}

func newFairnessOrder(classes []balancer.Class) fairnessOrder {
	f := fairnessOrder{classIndex: map[string]int{}, classRank: make([]int, len(classes))}
	byPriority := make([]int, len(classes))
	for i, class := range classes {
		f.classIndex[class.Name], byPriority[i] = i, i
	}
	slices.SortStableFunc(byPriority, func(p, q int) int {
		return cmp.Compare(classes[q].PriorityWeight, classes[p].PriorityWeight)
	})
	for rank, index := range byPriority {
		f.classRank[index] = rank
	}
	f.offered = make([]decayingSum, 4*len(classes))
	for i := range f.offered {
		f.offered[i].halfLife = offeredHalfLife
	}
	return f
}

// tier returns the tier of a request. An unknown class counts as the one with the lowest priority.
func (f *fairnessOrder) tier(class string, p priority) int {
	rank := len(f.classRank) - 1
	if i, known := f.classIndex[class]; known {
		rank = f.classRank[i]
	}
	tier := 2 * rank
	if p.ignoresRetryAfter {
		tier++
	}
	if p.overQuota {
		tier += 2 * len(f.classRank)
	}
	return tier
}

// add counts a request of the tier.
func (f *fairnessOrder) add(now time.Duration, tier int) { f.offered[tier].add(now, 1) }

// fractionBefore returns the fraction of recent requests that precede a request of the tier, from 0 to 1.
// The rank, from 0 to 1, is the request's position within the tier.
func (f *fairnessOrder) fractionBefore(now time.Duration, tier int, rank float64) float64 {
	before, all := 0.0, 0.0
	for i := range f.offered {
		f.offered[i].decay(now)
		all += f.offered[i].weight
		if i < tier {
			before += f.offered[i].weight
		}
	}
	if all == 0 {
		return 0
	}
	return (before + rank*f.offered[tier].weight) / all
}

// fairnessRank returns a request's position within its tier, from 0 to 1: by its key, or at random if it
// has none.
func (c *Controller) fairnessRank(e *balancer.Request) float64 {
	if e.Key == "" {
		return c.rng.Float64()
	}
	return keyRank(e.Key, c.now, c.config.FairnessRotation)
}

// rankMultiplier scatters the hashes: the ring's points use the same hash, so that without it the keys of one
// server would have neighbouring ranks.
const rankMultiplier = 0x9E3779B1

// keyRank returns a key's rank, from 0 to 1, which advances evenly and wraps around once per rotation.
func keyRank(key string, now, rotation time.Duration) float64 {
	scattered := farm.Fingerprint32([]byte(key)) * rankMultiplier
	rank := float64(scattered)/(1<<32) + float64(now%rotation)/float64(rotation)
	return rank - math.Floor(rank)
}
