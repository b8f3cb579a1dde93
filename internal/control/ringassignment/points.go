package ringassignment

import (
	"maps"
	"math"
	"slices"
	"time"
)

// wantedPoints returns the full points of a server according to its agreed capacity, and its kind's pace if
// paces are used.
func (x *builder) wantedPoints(server *ObservedServer) int {
	pace := 1.0
	if x.params.UsePaces {
		pace = x.state.pace(server.Kind)
	}
	points := math.Round(x.params.PointsPerCapacity * server.validCapacity() * pace)
	return int(min(max(points, minPoints), maxPoints))
}

// updateFullPoints applies a server's new capacity once it has been constant for
// Parameters.CapacitySettleTime and differs by more than Parameters.MinCapacityChange, so that short or small
// changes of capacity move no keys. After a change of paces a quarter of that difference is enough, because
// paces themselves change slowly.
func (x *builder) updateFullPoints(member *Member) {
	server := x.servers[member.ID]
	if server == nil || x.now-server.CapacitySince < x.params.CapacitySettleTime {
		return
	}
	minChange := x.params.MinCapacityChange
	if x.params.UsePaces && x.now-time.Duration(x.state.PacesChangedAt)*time.Second < paceInterval {
		minChange /= 4
	}
	wanted, full := x.wantedPoints(server), member.fullPoints()
	if math.Abs(float64(wanted-full)) > minChange*float64(full) {
		member.setFullPoints(wanted)
	}
}

// slowStartFraction returns the fraction of a warm server's points that slow start permits a server to
// have. It is never above 1.
func (x *builder) slowStartFraction(server *ObservedServer) float64 {
	if server.StartedAt <= 0 || x.params.SlowStart.Duration <= 0 {
		return 1
	}
	slow := &x.params.SlowStart
	return min(slow.Margin*slow.OverloadMultiple*slow.CapacityFraction(x.effectiveAt, server.StartedAt),
		slow.MaxWarmMultiple, 1)
}

// fleetSlowStartFraction returns twice the average slowStartFraction of all usable servers, weighted by their
// points, and at most 1. If hardly any server is warm, the keys still have to go to some servers: fewer
// points for all servers would not change their shares.
func (x *builder) fleetSlowStartFraction() float64 {
	sum, all := 0.0, 0.0
	for _, server := range x.servers {
		if server.isUsable() {
			points := float64(x.wantedPoints(server))
			sum, all = sum+points*x.slowStartFraction(server), all+points
		}
	}
	if all == 0 {
		return 1
	}
	return min(2*sum/all, 1)
}

// permittedPoints returns how many of a server's points slow start permits when the generation takes effect.
// Slow start limits the requests of all agents together, and a server's share of them depends on its points
// relative to those of complete servers. After the first generation these may still be lower than their full
// points, so the result is scaled by ringLevel.
func (x *builder) permittedPoints(server *ObservedServer, points int) int {
	if server == nil {
		return points
	}
	fraction := x.slowStartFraction(server)
	if fraction == 1 {
		return points
	}
	return int(float64(points) * min(fraction/x.fleetFraction, 1) * x.ringLevel)
}

// deferredChangeInterval is the number of generations of which only one includes deferrable changes while the
// fence has not passed.
const deferredChangeInterval = 4

// distributePoints moves points within the limits: first to joining servers, then to and from servers whose
// capacity has changed.
func (x *builder) distributePoints() {
	ring := 0
	var joining, other []*Member
	for _, id := range slices.Sorted(maps.Keys(x.members)) {
		member := x.members[id]
		ring += member.PointsOnRing()
		switch {
		case member.Phase == Joining && x.servers[id] != nil:
			joining = append(joining, member)
		case member.Phase == Complete && int(member.Points) != member.fullPoints():
			other = append(other, member)
		}
	}
	passed := min(max(x.effectiveAt-x.state.EffectiveAt, 0), x.params.MaxMoveBurst)
	x.movablePoints = x.params.MaxMoveRate * passed.Seconds() * float64(ring)
	x.movePoints(joining, x.joiningGrowth, rateAndOwed)
	if !x.isPastFence() && x.state.Number%deferredChangeInterval != 0 {
		other, joining = nil, nil // deferrable and frequent, and each generation is sent to all agents
	}
	x.movePoints(append(other, joining...), x.remainingGrowth, rateOnly)
	for _, member := range x.members { // the order does not matter: each server is independent
		if member.Phase == Joining && member.Points > 0 && int(member.Points) >= member.fullPoints() {
			x.enter(member, Complete)
		}
	}
}

// isPastFence reports whether the fence has passed since the current generation was proposed.
func (x *builder) isPastFence() bool {
	return x.now-(x.state.EffectiveAt-x.params.ActivationLead) >= x.params.Terms.FenceWait()
}

// joiningGrowth returns by how many points a joining server grows: up to what slow start permits, and at most
// to the ringLevel fraction of its full points. The first generation starts with a low ringLevel.
func (x *builder) joiningGrowth(member *Member) int {
	level := int(math.Ceil(x.ringLevel * float64(member.fullPoints())))
	return max(min(x.permittedPoints(x.servers[member.ID], member.fullPoints()), level)-int(member.Points), 0)
}

// remainingGrowth returns by how many points a server changes towards its full points; negative if it has to
// give up points. The points of a joining server never fall.
func (x *builder) remainingGrowth(member *Member) int {
	growth := x.permittedPoints(x.servers[member.ID], member.fullPoints()) - int(member.Points)
	if member.Phase == Joining {
		return max(growth, 0)
	}
	return growth
}

// moveBudget is the allowance that point moves are charged to.
type moveBudget uint8

const (
	rateOnly    moveBudget = iota // movablePoints
	rateAndOwed                   // owedPoints first, then movablePoints
)

// movePoints gives each server the same fraction of its growth, as large as the budget permits.
func (x *builder) movePoints(all []*Member, growth func(*Member) int, budget moveBudget) {
	sum := 0.0
	for _, member := range all {
		sum += math.Abs(float64(growth(member)))
	}
	available := x.movablePoints
	if budget == rateAndOwed {
		available += x.owedPoints
	}
	if sum == 0 || available < 1 {
		return
	}
	fraction := min(available/sum, 1)
	for _, member := range all {
		by := int(fraction * float64(growth(member)))
		full := member.fullPoints()
		member.Points = uint16(int(member.Points) + by)
		member.setFullPoints(full)
		moved := math.Abs(float64(by))
		if budget == rateAndOwed {
			owed := min(moved, x.owedPoints)
			x.owedPoints, moved = x.owedPoints-owed, moved-owed
		}
		x.movablePoints -= moved
	}
}
