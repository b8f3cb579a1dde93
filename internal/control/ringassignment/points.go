package ringassignment

import (
	"maps"
	"math"
	"slices"
	"time"
)

// wantedPoints is how many points a server should have when Complete, by what is agreed of it.
func (x *builder) wantedPoints(s *ObservedServer) int {
	pace := 1.0
	if x.params.UsePaces {
		pace = x.state.pace(s.Kind)
	}
	points := math.Round(x.params.PointsPerCapacity * s.validCapacity() * pace)
	return int(min(max(points, minPoints), maxPoints))
}

// updateFullPoints takes over a new capacity that has stayed the same for long enough and differs by enough,
// so that keys do not move to and fro with every message about it. After a change of a pace less is enough,
// as paces change slowly themselves.
func (x *builder) updateFullPoints(n *Member) {
	s := x.servers[n.ID]
	if s == nil || x.now-s.CapacitySince < x.params.CapacitySettleTime {
		return
	}
	minChange := x.params.MinCapacityChange
	if x.params.UsePaces && x.now-time.Duration(x.state.PacesChangedAt)*time.Second < paceInterval {
		minChange /= 4
	}
	wanted, full := x.wantedPoints(s), n.fullPoints()
	if math.Abs(float64(wanted-full)) > minChange*float64(full) {
		n.setFullPoints(wanted)
	}
}

// slowStartFraction is what slow start lets a server have, as a fraction of what a warm one has.
func (x *builder) slowStartFraction(s *ObservedServer) float64 {
	if s.StartedAt <= 0 || x.params.SlowStart.Duration <= 0 {
		return 1
	}
	t := &x.params.SlowStart
	return min(t.Margin*t.OverloadMultiple*t.CapacityFraction(x.effectiveAt, s.StartedAt), t.MaxOfWarm, 1)
}

// fleetWarmth is twice the fraction that all usable servers may have together, 1 at most. Where hardly any
// server is warm, some servers have to have the keys all the same, and fewer points for all would only be
// fewer points.
func (x *builder) fleetWarmth() float64 {
	sum, all := 0.0, 0.0
	for _, s := range x.servers {
		if s.isUsable() {
			points := float64(x.wantedPoints(s))
			sum, all = sum+points*x.slowStartFraction(s), all+points
		}
	}
	if all == 0 {
		return 1
	}
	return min(2*sum/all, 1)
}

// permittedPoints is how many of a number of points slow start permits when the generation is used. Slow
// start limits what all agents send together, which points divide among the servers: as a fraction of what
// complete servers have, which may be low on the way from the first generation.
func (x *builder) permittedPoints(s *ObservedServer, points int) int {
	if s == nil {
		return points
	}
	fraction := x.slowStartFraction(s)
	if fraction == 1 {
		return points
	}
	return int(float64(points) * min(fraction/x.warmth, 1) * x.ringLevel)
}

// calmGenerations: before the fence has passed, changes that can wait are only part of every so many
// generations.
const calmGenerations = 4

// distributePoints moves points within the limits: to joining servers first, then to and from servers with
// another capacity.
func (x *builder) distributePoints() {
	ring := 0
	var joining, other []*Member
	for _, id := range slices.Sorted(maps.Keys(x.members)) {
		n := x.members[id]
		ring += n.OnRing()
		switch {
		case n.Phase == Joining && x.servers[id] != nil:
			joining = append(joining, n)
		case n.Phase == Complete && int(n.Points) != n.fullPoints():
			other = append(other, n)
		}
	}
	passed := min(max(x.effectiveAt-x.state.EffectiveAt, 0), x.params.MaxMoveBurst)
	x.movablePoints = x.params.MaxMoveRate * passed.Seconds() * float64(ring)
	x.movePoints(joining, x.joiningGrowth, rateAndOwed)
	if !x.isPastFence() && x.state.Number%calmGenerations != 0 {
		other, joining = nil, nil // they can wait, and are many: each generation goes to all agents
	}
	x.movePoints(append(other, joining...), x.remainingGrowth, rateOnly)
	for _, n := range x.members { // in any order: each by itself
		if n.Phase == Joining && n.Points > 0 && int(n.Points) >= n.fullPoints() {
			x.enter(n, Complete)
		}
	}
}

// isPastFence tells whether the present generation has lasted for as long as any has to.
func (x *builder) isPastFence() bool {
	return x.now-(x.state.EffectiveAt-x.params.ActivationLead) >= x.params.Terms.FenceWait()
}

// joiningGrowth is by how much the points of a joining server grow: to what slow start permits, and not
// beyond the fraction that complete servers have of theirs, which the first generation begins low.
func (x *builder) joiningGrowth(n *Member) int {
	level := int(math.Ceil(x.ringLevel * float64(n.fullPoints())))
	return max(min(x.permittedPoints(x.servers[n.ID], n.fullPoints()), level)-int(n.Points), 0)
}

// remainingGrowth is by how much points change that only follow another capacity; those of a joining server
// never fall.
func (x *builder) remainingGrowth(n *Member) int {
	growth := x.permittedPoints(x.servers[n.ID], n.fullPoints()) - int(n.Points)
	if n.Phase == Joining {
		return max(growth, 0)
	}
	return growth
}

// moveBudget is which points may be moved.
type moveBudget uint8

const (
	rateOnly    moveBudget = iota // by MaxMoveRate
	rateAndOwed                   // and what is owed for lost servers
)

// movePoints gives each server the same fraction of the growth that it wants, as far as the budget reaches.
func (x *builder) movePoints(all []*Member, growth func(*Member) int, budget moveBudget) {
	sum := 0.0
	for _, n := range all {
		sum += math.Abs(float64(growth(n)))
	}
	available := x.movablePoints
	if budget == rateAndOwed {
		available += x.owedPoints
	}
	if sum == 0 || available < 1 {
		return
	}
	fraction := min(available/sum, 1)
	for _, n := range all {
		by := int(fraction * float64(growth(n)))
		full := n.fullPoints()
		n.Points = uint16(int(n.Points) + by)
		n.setFullPoints(full)
		moved := math.Abs(float64(by))
		if budget == rateAndOwed {
			owed := min(moved, x.owedPoints)
			x.owedPoints, moved = x.owedPoints-owed, moved-owed
		}
		x.movablePoints -= moved
	}
}
