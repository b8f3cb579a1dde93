package balancer

import (
	"iter"
	"maps"
	"slices"
)

const (
	// pointsPerServer is the number of points of a server on the ring without an assignment.
	pointsPerServer = 100
	// maxPoints is the maximum number of points of a server under an assignment.
	maxPoints = 100 * pointsPerServer
)

// RingAssignment is a generation of the ring that the fleet has agreed on: the servers on it and their
// number of points. It must not be changed after SetRingAssignment.
type RingAssignment struct {
	Generation uint64
	Points     map[string]int // by server id; a missing server has none
}

// SetRingAssignment sets the assignment to follow from the next Step on. With nil, only the balancer's own
// server list counts, and each ready server has pointsPerServer points.
//
// Under an assignment, the servers that own keys are those with points that the own list shows as ready.
// Servers that the list shows as draining or gone are skipped at once, and the assignment adds no server to
// the list. Ready servers without points own no keys until a generation includes them: they get requests that
// the others have no capacity for and, if in slow start, also requests while warm servers are saturated. An
// assignment is ignored if none of its servers is ready, or if all of them are down while others are not.
func (b *Balancer) SetRingAssignment(a *RingAssignment) {
	if a == b.givenAssignment {
		return
	}
	b.givenAssignment = a
	b.updateRing()
}

// updateRing adds the ready servers to the ring, each with its points, and removes the others. It examines
// only the servers whose state has changed since the last call, unless the assignment has changed, too.
func (b *Balancer) updateRing() {
	b.chooseAssignment()
	if b.settings.Rules.GoneUsable && !b.hasReadyServer() {
		return // keeps servers listed as gone, which may still be used; checkPermitted skips draining ones
	}
	if b.activeAssignment == b.placedAssignment {
		b.placeServers(slices.Values(b.moved))
	} else {
		b.placeServers(maps.Values(b.servers))
	}
	b.weights.isStale = b.weights.isStale || b.activeAssignment != b.placedAssignment
	b.placedAssignment = b.activeAssignment
	clear(b.moved)
	b.moved = b.moved[:0]
	b.ring.Prepare()
	b.updateWeights()
}

// placeServers adds servers to the ring or removes them, in any order: the rings are ordered by name.
func (b *Balancer) placeServers(servers iter.Seq[*server]) {
	if b.activeAssignment == nil {
		b.ring.Reserve(newPoints(servers))
	}
	for s := range servers {
		if s.State == Ready {
			b.joinRing(s, b.ringPoints(s))
			b.updatePlacement(s)
			continue
		}
		b.outsideRing.Leave(s.outsidePlace)
		if b.ring.Leave(s.ringPlace) {
			s.leftRingAt = b.now
			b.weights.remove(s)
			b.updatePlacement(s)
		}
	}
}

// newPoints returns how many points the servers will add to the ring.
func newPoints(servers iter.Seq[*server]) (points int) {
	for s := range servers {
		if s.State == Ready && s.ringPlace == nil {
			points += pointsPerServer
		}
	}
	return points
}

// joinRing gives a server its points on the ring. Without points it also joins the ring of servers outside
// the assignment.
func (b *Balancer) joinRing(s *server, points int) {
	if wasMember := s.ringPlace.IsMember(); !wasMember || s.ringPlace.Points() != points {
		s.ringPlace = b.ring.JoinWithPoints(s.ID, s, points)
		if !wasMember {
			b.weights.add(b, s)
		}
	}
	if points > 0 {
		b.outsideRing.Leave(s.outsidePlace)
	} else if !s.outsidePlace.IsMember() {
		s.outsidePlace = b.outsideRing.Join(s.ID, s)
	}
}

// ringPoints returns the number of points that a server should have now.
func (b *Balancer) ringPoints(s *server) int {
	switch {
	case s.State != Ready:
		return 0
	case b.activeAssignment != nil:
		return min(max(b.activeAssignment.Points[s.ID], 0), maxPoints)
	}
	return pointsPerServer
}

// chooseAssignment activates the given assignment unless it leaves no usable server. If all its servers are
// down, the cause may be near this agent, but trying other servers then costs nothing.
func (b *Balancer) chooseAssignment() {
	if b.activeAssignment = b.givenAssignment; b.activeAssignment == nil {
		return
	}
	anyReady, assigned, assignedUp, othersUp := false, false, false, false
	for _, s := range b.servers {
		if s.State == Ready {
			in, up := b.ringPoints(s) > 0, !s.outlier.IsEjected()
			anyReady, assigned = true, assigned || in
			assignedUp, othersUp = assignedUp || in && up, othersUp || !in && up
		}
	}
	if anyReady && !assigned || !assignedUp && othersUp {
		b.activeAssignment = nil
	}
}

// reviewAssignment checks whether the given assignment is still usable and updates the ring if that
// changed. It is called only once a round, so that the ring does not change with every server that goes
// down or recovers.
func (b *Balancer) reviewAssignment() {
	if b.givenAssignment == nil {
		return
	}
	before := b.activeAssignment
	b.chooseAssignment()
	if b.activeAssignment == before {
		return
	}
	if b.activeAssignment != nil {
		b.logf("ring assignment %d applied again", b.givenAssignment.Generation)
	} else {
		b.logf("ring assignment %d ignored: none of its servers is up", b.givenAssignment.Generation)
	}
	b.updateRing()
}

// outsideUse selects which servers outside the assignment may get a request.
type outsideUse uint8

const (
	// reliefOnly selects servers in slow start, and only while warm servers are saturated.
	reliefOnly outsideUse = iota
	// anyCapacity selects all servers with capacity.
	anyCapacity
)

// selectOutsideRing returns the first server outside the assignment that accepts the request, or nil. Such
// servers are needed when many are replaced at once: the new ones have no points until the next generation,
// and the remaining old ones lack the capacity for all requests.
func (b *Balancer) selectOutsideRing(sel *selection, use outsideUse) (chosen *server) {
	if b.outsideRing.MemberCount() == 0 || use == reliefOnly && !b.warmServersSaturated {
		return nil
	}
	r := sel.request
	walk(b.outsideRing, sel.hash, func(s *server) bool {
		reason, purpose := b.checkTrust(r, s)
		if reason == notSkipped && purpose == serveRequest && (use == anyCapacity || b.relievesWarmServers(s)) &&
			b.checkAcceptsNow(r, s, b.expectedLatency(s), sel.latencyLimit) == notSkipped {
			chosen = s
		}
		return chosen == nil
	})
	return chosen
}
