package ringassignment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPacesSize is how many bytes of MaxServersSize are reserved for the paces of machine kinds.
	maxPacesSize = 1 << 10
	// resumeNumerator in ten: a suspended assignment resumes once the servers need less of the room than this.
	resumeNumerator = 9
	// minRingLevel keeps servers in slow start from beginning ever lower where one after the other is restarted.
	minRingLevel = 0.5
)

// builder makes the next generation.
type builder struct {
	state            *State
	params           *Parameters
	now, effectiveAt time.Duration // Unix time
	listDoubtful     bool          // so much is lost at once that the leader's list is not believed
	servers          map[string]*ObservedServer
	missing          map[string]time.Duration // servers that vanished lately, and when
	fullyDrained     map[string]bool          // by windows
	members          map[string]*Member       // of the next generation
	owedPoints       float64                  // that may be moved beyond MaxMoveRate
	lostPoints       float64                  // that this generation takes off
	movablePoints    float64                  // that may be moved by MaxMoveRate
	ringLevel        float64                  // the fraction of their full points that servers have
	warmth           float64                  // see fleetWarmth
}

// NextChange is the generation that follows from the present one, from what the leader sees and from the
// time: a pure function. False: none does. The parameters must have their defaults.
func NextChange(st State, servers []ObservedServer, params Parameters, now time.Duration) (Change, bool) {
	x := &builder{
		state: &st, params: &params, now: now, effectiveAt: now + params.ActivationLead,
		servers: map[string]*ObservedServer{}, missing: map[string]time.Duration{}, fullyDrained: map[string]bool{},
		members: map[string]*Member{},
	}
	usable, fits := x.addServers(servers)
	x.warmth = x.fleetWarmth()
	c := Change{Base: st.Number, Now: now, EffectiveAt: x.effectiveAt}
	switch {
	case !fits:
		c.Suspend = true
		return c, st.Number > 0 && !st.Suspended
	case usable == 0:
		return c, false
	case st.Number == 0 || st.Suspended:
		x.buildFirst()
	default:
		x.applyRules()
		x.distributePoints()
	}
	x.dropGone()
	return x.diff(c)
}

// addServers takes what the leader sees: how many servers are usable, and whether the snapshot has room for
// all.
func (x *builder) addServers(servers []ObservedServer) (usable int, fits bool) {
	size, valid := 0, true
	for i := range servers {
		s := &servers[i]
		if s.FullyDrained {
			x.fullyDrained[s.ID] = true
		}
		if s.Missing {
			x.missing[s.ID] = s.LostAt
			continue
		}
		x.servers[s.ID] = s
		if size += len(s.ID) + BytesPerServer; s.isUsable() {
			usable++
		}
		valid = valid && s.ID != "" && len(s.ID) <= MaxIDSize
	}
	const room = MaxServersSize - maxPacesSize
	return usable, valid && size <= room && (!x.state.Suspended || size <= room*resumeNumerator/10)
}

// buildFirst puts all usable servers on the ring, each with as many points as without generations.
func (x *builder) buildFirst() {
	sum := 0
	for _, s := range x.servers {
		sum += x.wantedPoints(s)
	}
	x.ringLevel = min(float64(DefaultPoints*len(x.servers))/float64(max(sum, 1)), 1)
	for id, s := range x.servers {
		n := &Member{ID: id, Points: DefaultPoints}
		n.setFullPoints(x.wantedPoints(s))
		c := &candidate{x, n, s}
		switch {
		case c.isDraining():
			n.Points = 0
			x.enter(n, Away)
		case !c.isReady():
			n.Points = 0
			x.enter(n, Expected)
		case c.isColder():
			n.Points = uint16(c.warmPoints())
			x.enter(n, Joining)
		}
		x.members[id] = n
	}
}

// enter has a server enter a phase, which does not count as a flap.
func (x *builder) enter(n *Member, to Phase) { n.enter(to, noFlap, x.now, x.params.PenaltyHalfLife) }

// applyRules has each server follow the rules.
func (x *builder) applyRules() {
	for i := range x.state.Members {
		n := x.state.Members[i]
		x.members[n.ID] = &n
	}
	for id, s := range x.servers {
		if x.members[id] == nil {
			n := &Member{ID: id, Phase: Expected, FullPoints: uint16(x.wantedPoints(s)), Since: unixSeconds(x.now)}
			x.members[id] = n
		}
	}
	x.ringLevel = max(x.state.ringLevel(), minRingLevel)
	x.listDoubtful = x.isListDoubtful()
	for id, n := range x.members { // in any order: each by itself
		x.updateFullPoints(n)
		if r := (&candidate{x, n, x.servers[id]}).firstRule(); r != nil {
			x.applyRule(n, r)
		}
	}
	x.carryOwed()
}

// applyRule has a rule take effect.
func (x *builder) applyRule(n *Member, r *rule) {
	before := n.OnRing()
	n.enter(r.to, r.flap, x.now, x.params.PenaltyHalfLife)
	switch {
	case r.to == Away || r.to == Gone:
		n.Points = 0
	case r.to == Joining && before == 0:
		n.Points = 0
	case r.to == Joining && r.flap == countsAsFlap:
		n.Points = uint16(min(int(n.Points), x.permittedPoints(x.servers[n.ID], n.fullPoints())))
	}
	if lost := before - n.OnRing(); lost > 0 {
		x.lostPoints += float64(lost)
	} else if lost < 0 { // the points that were kept for it
		x.owedPoints += float64(lost)
	}
}

// carryOwed adds up what is owed: what is lost now, and what is not made up for yet of what was lost before.
func (x *builder) carryOwed() {
	if x.now-time.Duration(x.state.LostAt)*time.Second < x.params.OwedValidity {
		x.owedPoints += float64(x.state.OwedPoints)
	}
	x.owedPoints = max(x.owedPoints, 0) + x.lostPoints
}

// isListDoubtful tells whether over half of the ring would be lost at once without a drain. Then the leader's
// list may be wrong alone; each agent's own list keeps lost servers out of use.
func (x *builder) isListDoubtful() bool {
	lost, all := 0, 0
	for id, n := range x.members {
		if n.Phase == Away || n.Phase == Gone || n.Phase == Expected || x.fullyDrained[id] {
			continue
		}
		all += int(n.Points)
		if s := x.servers[id]; s == nil || !s.Ready && !s.Draining {
			lost += int(n.Points)
		}
	}
	return 2*lost > all
}

// dropGone drops servers that have long been gone, and the first of the others that are gone where there is
// no room.
func (x *builder) dropGone() {
	var gone []*Member
	size := maxPacesSize
	for id, n := range x.members {
		size += len(id) + BytesPerServer
		if n.Phase == Gone {
			gone = append(gone, n)
		}
	}
	slices.SortFunc(gone, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	for _, n := range gone {
		if size > MaxServersSize || x.now-time.Duration(n.Since)*time.Second >= x.params.GoneRetention {
			size -= len(n.ID) + BytesPerServer
			delete(x.members, n.ID)
		}
	}
}

// urgentGrowth: a joining server that gains more than one in so many of its full points makes a change
// urgent.
const urgentGrowth = 20

// diff completes the change with what differs from the present generation; false: nothing does.
func (x *builder) diff(c Change) (Change, bool) {
	c.OwedPoints, c.LostAt = uint32(x.owedPoints), x.state.LostAt
	if x.lostPoints > 0 {
		c.LostAt = unixSeconds(x.now)
	}
	for _, id := range slices.Sorted(maps.Keys(x.members)) {
		n, before := x.members[id], x.state.find(id)
		switch {
		case before == nil:
			c.MovesKeys = c.MovesKeys || n.OnRing() > 0
		case *before == *n:
			continue
		default:
			c.MovesKeys = c.MovesKeys || n.OnRing() != before.OnRing()
		}
		c.Urgent = c.Urgent || before == nil || n.Phase != before.Phase ||
			n.Phase == Joining && int(n.Points) > int(before.Points)+n.fullPoints()/urgentGrowth
		c.Members = append(c.Members, *n)
	}
	for i := range x.state.Members {
		if id := x.state.Members[i].ID; x.members[id] == nil {
			c.Forgotten = append(c.Forgotten, id)
			c.MovesKeys = c.MovesKeys || x.state.Members[i].OnRing() > 0
		}
	}
	return c, len(c.Members)+len(c.Forgotten) > 0
}

// ringLevel is the fraction of their full points that servers have: half of the ring's points belong to
// servers that have as large a fraction or a larger one.
func (st *State) ringLevel() float64 {
	ring := slices.DeleteFunc(slices.Clone(st.Members), func(n Member) bool { return n.OnRing() == 0 })
	fraction := func(n *Member) float64 { return float64(n.Points) / float64(max(n.fullPoints(), 1)) }
	slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(fraction(&b), fraction(&a)) })
	sum, all := 0, st.OnRing()
	for i := range ring {
		if sum += ring[i].OnRing(); 2*sum >= all {
			return min(fraction(&ring[i]), 1)
		}
	}
	return 1
}
