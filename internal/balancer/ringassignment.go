package balancer

const (
	// pointsPerServer on the ring, without an assignment.
	pointsPerServer = 100
	// maxPoints bounds what an assignment can give a server.
	maxPoints = 100 * pointsPerServer
)

// RingAssignment is a generation of the ring that a fleet has agreed on: which servers take part, and with
// how many points. It must not be changed once given.
type RingAssignment struct {
	Generation uint64
	Points     map[string]int // by server id; servers that are not in it have none
}

// SetRingAssignment has the Balancer follow an assignment from the next Step on; nil: its own list alone, on
// which each ready server has the usual points.
//
// The ring's members are the servers of the assignment that the own list names as ready. What that list says
// is draining or gone is skipped at once, and nothing becomes known by being assigned. Servers of the own
// list without points have no keys: they get what the others can't take, and those in slow start among them
// get requests while warm servers are saturated, until the next generation includes them. An assignment that
// names no ready server, or only such as are down while others are not, is ignored.
func (b *Balancer) SetRingAssignment(a *RingAssignment) {
	if a == b.givenAssignment {
		return
	}
	b.givenAssignment = a
	b.updateRing()
}

// updateRing puts the ready servers on the ring, each with its points, and takes the others off.
func (b *Balancer) updateRing() {
	b.chooseAssignment()
	if b.settings.Rules.GoneUsable && !b.hasReadyServer() {
		return // a list that would empty the ring is no proof here; checkPermitted skips what is draining
	}
	for _, s := range b.servers { // in any order: the rings are ordered by name
		if s.State == Ready {
			b.joinRing(s, b.ringPoints(s))
			continue
		}
		b.outsideRing.Leave(s.outsidePlace)
		if b.ring.Leave(s.ringPlace) {
			s.leftRingAt = b.now
			b.detector.SetPlacement(s.outlier, false, s.isDamped(b.now))
		}
	}
	b.updateWeights()
	b.updateDetector()
}

// joinRing gives a server its points; with none it is outside the assignment.
func (b *Balancer) joinRing(s *server, points int) {
	if !s.ringPlace.IsMember() || s.ringPlace.Points() != points {
		s.ringPlace = b.ring.JoinWithPoints(s.ID, s, points)
	}
	if points > 0 {
		b.outsideRing.Leave(s.outsidePlace)
	} else if !s.outsidePlace.IsMember() {
		s.outsidePlace = b.outsideRing.Join(s.ID, s)
	}
}

// ringPoints is how many points a server is to have now.
func (b *Balancer) ringPoints(s *server) int {
	switch {
	case s.State != Ready:
		return 0
	case b.activeAssignment != nil:
		return min(max(b.activeAssignment.Points[s.ID], 0), maxPoints)
	}
	return pointsPerServer
}

// chooseAssignment activates the given assignment, unless it leaves no server that can be used. That all its
// servers are down may have a cause near this agent; trying others too costs nothing then.
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

// reviewAssignment chooses anew by what has been learned of the servers. Once a round is often enough, or the
// ring would follow every server that goes down and up.
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

// outsideUse says what servers outside the assignment are wanted for.
type outsideUse uint8

const (
	// reliefOnly: those in slow start, while warm servers are saturated.
	reliefOnly outsideUse = iota
	// anyCapacity: whatever capacity they have.
	anyCapacity
)

// selectOutsideRing returns the first server outside the assignment that accepts the request. Where many
// servers are replaced at once, the new ones have no points before the next generation, and the remaining old
// ones can't take all requests.
func (b *Balancer) selectOutsideRing(sel *selection, use outsideUse) (chosen *server) {
	if len(b.outsideRing.Members()) == 0 || use == reliefOnly && !b.warmSaturated {
		return nil
	}
	r := sel.request
	b.outsideRing.Walk(sel.hash, func(s *server) bool {
		reason, purpose := b.checkTrust(r, s)
		if reason == notSkipped && purpose == serveRequest && (use == anyCapacity || b.relievesWarmServers(s)) &&
			b.checkAcceptsNow(r, s, b.expectedLatency(s), sel.latencyLimit) == notSkipped {
			chosen = s
		}
		return chosen == nil
	})
	return chosen
}
