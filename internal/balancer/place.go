package balancer

// RingAssignment is an agreed generation of the ring: which servers take part, and with how many points. It is not to
// be changed once given.
type RingAssignment struct {
	Generation uint64
	Points     map[string]int // by server id; one that is not in it has none
}

// SetRingAssignment has the Balancer go by an agreed generation of the ring, from the next Step on; nil: by its own list
// alone, each ready server with the usual points.
//
// Members are the servers of the generation that the own list names as ready: what that says drains or is
// gone is passed over at once, whatever is agreed, and nothing becomes known by being agreed on. Servers of
// the own list that are not in the generation have no keys. They get a cold server's part of what those in it
// can't take, and cold ones while the warm ones are full: the next generation, which may have them, is some
// seconds away. A generation that names none that is ready, or only such that are down while others are not,
// is as none.
func (b *Balancer) SetRingAssignment(p *RingAssignment) {
	if p == b.givenAssignment {
		return
	}
	b.givenAssignment = p
	b.updateRing()
}

// seat puts the ready servers on the ring, each with its points, and takes the others off.
func (b *Balancer) updateRing() {
	if b.chooseAssignment(); b.settings.Rules.GoneUsable && !b.hasReadyServer() {
		return // a list that would empty the ring proves nothing here; lawful leaves out what drains
	}
	for _, s := range b.servers { // in any order: the rings go by their names
		if s.State == Ready {
			b.joinRing(s, b.ringPoints(s))
			continue
		}
		b.outsideRing.Leave(s.outsidePlace)
		if b.ring.Leave(s.ringPlace) {
			s.leftRingAt = b.now
			b.detector.SetPlacement(s.outlier, false, b.now < s.dampedUntil)
		}
	}
	b.updateWeights()
	b.updateDetector()
}

// join has a server take part with so many points; with none it is outside the generation.
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

// points is how many points a server has a right to now.
func (b *Balancer) ringPoints(s *server) int {
	switch {
	case s.State != Ready:
		return 0
	case b.activeAssignment != nil:
		return min(max(b.activeAssignment.Points[s.ID], 0), maxPoints)
	}
	return pointsPerServer
}

// maxPoints bounds what a server can be given.
const maxPoints = 100 * pointsPerServer

// settle finds whether the generation holds. All of its servers down may have a cause near this agent; trying
// others too then costs nothing.
func (b *Balancer) chooseAssignment() {
	if b.activeAssignment = b.givenAssignment; b.activeAssignment == nil {
		return
	}
	any, named, usable, others := false, false, false, false
	for _, s := range b.servers {
		if s.State == Ready {
			in, up := b.ringPoints(s) > 0, !s.outlier.IsEjected()
			any, named, usable, others = true, named || in, usable || in && up, others || !in && up
		}
	}
	if any && !named || !usable && others {
		b.activeAssignment = nil
	}
}

// resettle takes in what has become known of the servers since: once a round, or what goes up and down would
// have the ring go to and fro.
func (b *Balancer) reviewAssignment() {
	if before := b.activeAssignment; b.givenAssignment != nil {
		if b.chooseAssignment(); b.activeAssignment != before {
			b.logf("generation %d of the ring %s", b.givenAssignment.Generation, map[bool]string{
				true:  "holds again",
				false: "leaves no server that is not down",
			}[b.activeAssignment != nil])
			b.updateRing()
		}
	}
}

// newcomer is the first server outside the generation that takes a request; relief: only where the warm ones
// are full, and one that is cold. Guards against a fleet of which many servers are replaced at once, and the
// new ones have no keys before the next generation, while the old ones that are left can't take them all.
func (b *Balancer) selectOutsideRing(r *request, hash uint32, limit float64, relief bool) (chosen *server) {
	if len(b.outsideRing.Members()) == 0 || relief && !b.warmSaturated {
		return nil
	}
	b.outsideRing.Walk(hash, func(s *server) bool {
		ok, try := b.checkTrust(r, s)
		if ok && !try && (!relief || b.relievesWarmServers(s)) && b.acceptsNow(r, s, b.expectedLatency(s), limit) {
			chosen = s
		}
		return chosen == nil
	})
	return chosen
}

// takes tells whether a server that is trusted takes a request at once.
func (b *Balancer) acceptsNow(r *request, s *server, t, limit float64) bool {
	return b.isPermitted(r, s) && b.hasSlowStartCapacity(s, false) && !b.isSaturated(r, s, t, limit) && !s.outlier.IsAvoided(b.now) &&
		(r.class.Idempotency != NotIdempotent || !b.isSuspect(r, s))
}

// share is a server's size among the others, for what it gets of the requests: by its points where those are
// agreed on, and else by its listed size.
func (b *Balancer) trafficWeight(s *server) float64 {
	switch {
	case b.activeAssignment != nil:
		return float64(s.ringPlace.Points()) / pointsPerServer
	case s.excludedBelow != nil:
		return max(b.effectiveWeight(s)*b.permittedFraction(s), 1e-9)
	}
	return b.effectiveWeight(s)
}

// counts is how much a crowded owner counts among the maxSpillScan that are looked at. By listed sizes a small
// one counts for the part of the keys that it fits, on the mean its size as a part of the largest; by agreed
// points it fits all that come to it, and counts for its points as a part of the most. Guards against a
// generation under which a balancer looks at fewer owners of a hot key, and sends the same few all of it.
func (b *Balancer) scanWeight(s *server) float64 {
	if b.activeAssignment == nil {
		return 1
	}
	return float64(s.ringPlace.Points()) / float64(b.maxMemberPoints)
}
