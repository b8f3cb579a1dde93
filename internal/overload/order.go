package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	farm "github.com/dgryski/go-farm"

	"dunestep/internal/balancer"
)

// order is who is let in first when not all can be: what is within its tenant's share; then by the worth of
// its class; then those that wait or come for the first time before those that ignore what they were told or
// come a fourth time; and last by key. The same keys come first at every agent, so that what is let in finds
// warm servers, and in time each has its turn.
type fairnessOrder struct {
	classIndex map[string]int
	offered    []decayingSum // how much of each is offered, first things first
	classRank  []int         // of a class among them all, by worth
}

const offeredHalfLife = 2 * time.Second

func newFairnessOrder(classes []balancer.Class) fairnessOrder {
	o := fairnessOrder{classIndex: map[string]int{}, classRank: make([]int, len(classes))}
	by := make([]int, len(classes))
	for i, c := range classes {
		o.classIndex[c.Name], by[i] = i, i
	}
	slices.SortStableFunc(by, func(p, q int) int { return cmp.Compare(classes[q].PriorityWeight, classes[p].PriorityWeight) })
	for place, class := range by {
		o.classRank[class] = place
	}
	o.offered = make([]decayingSum, 4*len(classes))
	for i := range o.offered {
		o.offered[i].halfLife = offeredHalfLife
	}
	return o
}

// tier is where a request of a class stands; one of a class that is not known comes last.
func (o *fairnessOrder) tier(class string, over, late bool) int {
	place := len(o.classRank) - 1
	if i, known := o.classIndex[class]; known {
		place = o.classRank[i]
	}
	t := 2 * place
	if late {
		t++
	}
	if over {
		t += 2 * len(o.classRank)
	}
	return t
}

// offer counts a request in.
func (o *fairnessOrder) add(now time.Duration, tier int) { o.offered[tier].add(now, 1) }

// before is the part of all that is offered that comes before a request: its lot decides among its like.
func (o *fairnessOrder) fractionBefore(now time.Duration, tier int, lot float64) float64 {
	first, all := 0.0, 0.0
	for i := range o.offered {
		o.offered[i].decay(now)
		all += o.offered[i].weight
		if i < tier {
			first += o.offered[i].weight
		}
	}
	if all == 0 {
		return 0
	}
	return (first + lot*o.offered[tier].weight) / all
}

// lot is a key's place among its like, from 0 to 1, which moves on evenly with time.
func keyRank(key string, now, turn time.Duration) float64 {
	spread := farm.Fingerprint32([]byte(key)) * 0x9E3779B1 // the ring's points are of the same hash
	u := float64(spread)/(1<<32) + float64(now%turn)/float64(turn)
	return u - math.Floor(u)
}
