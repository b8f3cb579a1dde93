package decide

// Placed is an agreed generation of the ring: which servers take part, and with how many points. It is not to
// be changed once given.
type Placed struct {
	Number uint64
	Points map[string]int // by server id; one that is not in it has none
}

// Place has the Balancer go by an agreed generation of the ring, from the next Step on; nil: by its own list
// alone, each ready server with the usual points.
//
// Members are the servers of the generation that the own list names as ready: what that says drains or is
// gone is passed over at once, whatever is agreed, and nothing becomes known by being agreed on. Servers of
// the own list that are not in the generation have no keys. They get a cold server's part of what those in it
// can't take, and cold ones while the warm ones are full: the next generation, which may have them, is some
// seconds away. A generation that names none that is ready, or only such that are down while others are not,
// is as none.
func (b *Balancer) Place(p *Placed) {
	if p == b.given {
		return
	}
	b.given = p
	b.seat()
}

// seat puts the ready servers on the ring, each with its points, and takes the others off.
func (b *Balancer) seat() {
	if b.settle(); b.set.Rules.OnlyDrainingBind && !b.anyReady() {
		return // a list that would empty the ring proves nothing here; lawful leaves out what drains
	}
	for _, s := range b.servers { // in any order: the rings go by their names
		if s.State == Ready {
			b.join(s, b.points(s))
			continue
		}
		b.outside.Leave(s.apart)
		if b.ring.Leave(s.place) {
			s.leftAt = b.now
			b.detector.Place(s.record, false, b.now < s.dampedUntil)
		}
	}
	b.measure()
	b.placeAll()
}

// join has a server take part with so many points; with none it is outside the generation.
func (b *Balancer) join(s *server, points int) {
	if !s.place.Member() || s.place.Points() != points {
		s.place = b.ring.JoinWith(s.ID, s, points)
	}
	if points > 0 {
		b.outside.Leave(s.apart)
	} else if !s.apart.Member() {
		s.apart = b.outside.Join(s.ID, s)
	}
}

// points is how many points a server has a right to now.
func (b *Balancer) points(s *server) int {
	switch {
	case s.State != Ready:
		return 0
	case b.placed != nil:
		return min(max(b.placed.Points[s.ID], 0), mostPoints)
	}
	return replicaPoints
}

// mostPoints bounds what a server can be given.
const mostPoints = 100 * replicaPoints

// settle finds whether the generation holds. All of its servers down may have a cause near this agent; trying
// others too then costs nothing.
func (b *Balancer) settle() {
	if b.placed = b.given; b.placed == nil {
		return
	}
	any, named, usable, others := false, false, false, false
	for _, s := range b.servers {
		if s.State == Ready {
			in, up := b.points(s) > 0, !s.record.IsDown()
			any, named, usable, others = true, named || in, usable || in && up, others || !in && up
		}
	}
	if any && !named || !usable && others {
		b.placed = nil
	}
}

// resettle takes in what has become known of the servers since: once a round, or what goes up and down would
// have the ring go to and fro.
func (b *Balancer) resettle() {
	if before := b.placed; b.given != nil {
		if b.settle(); b.placed != before {
			b.log("generation %d of the ring %s", b.given.Number, map[bool]string{
				true:  "holds again",
				false: "leaves no server that is not down",
			}[b.placed != nil])
			b.seat()
		}
	}
}

// newcomer is the first server outside the generation that takes a request; relief: only where the warm ones
// are full, and one that is cold. Guards against a fleet of which many servers are replaced at once, and the
// new ones have no keys before the next generation, while the old ones that are left can't take them all.
func (b *Balancer) newcomer(r *request, hash uint32, limit float64, relief bool) (chosen *server) {
	if len(b.outside.Members()) == 0 || relief && !b.full {
		return nil
	}
	b.outside.Walk(hash, func(s *server) bool {
		ok, try := b.vouched(r, s)
		if ok && !try && (!relief || b.relieves(s)) && b.takes(r, s, b.expected(s), limit) {
			chosen = s
		}
		return chosen == nil
	})
	return chosen
}

// takes tells whether a server that is trusted takes a request at once.
func (b *Balancer) takes(r *request, s *server, t, limit float64) bool {
	return b.lawful(r, s) && b.coldRoom(s, false) && !b.crowded(r, s, t, limit) && !s.record.NotNow(b.now) &&
		(r.class.Effect != Unsafe || !b.suspect(r, s))
}

// share is a server's size among the others, for what it gets of the requests: by its points where those are
// agreed on, and else by its listed size.
func (b *Balancer) share(s *server) float64 {
	switch {
	case b.placed != nil:
		return float64(s.place.Points()) / replicaPoints
	case s.off != nil:
		return max(b.size(s)*b.open(s), 1e-9)
	}
	return b.size(s)
}

// counts is how much a crowded owner counts among the spillSpan that are looked at. By listed sizes a small
// one counts for the part of the keys that it fits, on the mean its size as a part of the largest; by agreed
// points it fits all that come to it, and counts for its points as a part of the most. Guards against a
// generation under which a balancer looks at fewer owners of a hot key, and sends the same few all of it.
func (b *Balancer) counts(s *server) float64 {
	if b.placed == nil {
		return 1
	}
	return float64(s.place.Points()) / float64(b.broadest)
}
