package ringassignment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPacesSize is the part of MaxServersSize that is reserved for the paces of machine kinds, in bytes.
	maxPacesSize = 1 << 10
	// resumeTenths is the fraction of the available size, in tenths, below which the servers' size has to fall
	// for a suspended assignment to resume.
	resumeTenths = 9
	// minRingLevel is the lower limit of builder.ringLevel. Without it, servers in slow start would begin with
	// fewer and fewer points when servers are restarted one after the other.
	minRingLevel = 0.5
)

// builder computes the next generation.
type builder struct {
	state            *State
	params           *Parameters
	now, effectiveAt time.Duration // Unix time
	listDoubtful     bool          // see isListDoubtful
	servers          map[string]*ObservedServer
	missing          map[string]time.Duration // servers that recently left the list, and when
	fullyDrained     map[string]bool          // servers that windows have fully drained
	members          map[string]*Member       // members of the next generation
	owedPoints       float64                  // points of lost servers, which may be moved beyond MaxMoveRate
	lostPoints       float64                  // points that this generation takes off the ring
	movablePoints    float64                  // points that MaxMoveRate permits to move
	ringLevel        float64                  // see State.ringLevel
	fleetFraction    float64                  // see fleetSlowStartFraction
}

// NextChange returns the change to the next generation, which follows from the current state, the leader's
// view of the servers and the time. It returns false if no change is needed. It is a pure function. The
// parameters must have their defaults set (Parameters.WithDefaults).
func NextChange(st State, servers []ObservedServer, params Parameters, now time.Duration) (Change, bool) {
	next := &builder{
		state: &st, params: &params, now: now, effectiveAt: now + params.ActivationLead,
		servers: map[string]*ObservedServer{}, missing: map[string]time.Duration{}, fullyDrained: map[string]bool{},
		members: map[string]*Member{},
	}
	usable, fits := next.addServers(servers)
	next.fleetFraction = next.fleetSlowStartFraction()
	change := Change{Base: st.Number, Now: now, EffectiveAt: next.effectiveAt}
	switch {
	case !fits:
		change.Suspend = true
		return change, st.Number > 0 && !st.Suspended
	case usable == 0:
		return change, false
	case st.Number == 0 || st.Suspended:
		next.buildFirst()
	default:
		next.applyRules()
		next.distributePoints()
	}
	next.dropGone()
	return next.diff(change)
}

// addServers adds the leader's view of the servers. It returns the number of usable servers and whether all
// servers fit the snapshot.
func (x *builder) addServers(servers []ObservedServer) (usable int, fits bool) {
	size, valid := 0, true
	for i := range servers {
		server := &servers[i]
		if server.FullyDrained {
			x.fullyDrained[server.ID] = true
		}
		if server.Missing {
			x.missing[server.ID] = server.LostAt
			continue
		}
		x.servers[server.ID] = server
		if size += len(server.ID) + BytesPerServer; server.isUsable() {
			usable++
		}
		valid = valid && server.ID != "" && len(server.ID) <= MaxIDSize
	}
	const room = MaxServersSize - maxPacesSize
	return usable, valid && size <= room && (!x.state.Suspended || size <= room*resumeTenths/10)
}

// buildFirst puts all usable servers on the ring, each with the same number of points as without generations
// (DefaultPoints), or fewer in slow start.
func (x *builder) buildFirst() {
	sum := 0
	for _, server := range x.servers {
		sum += x.wantedPoints(server)
	}
	x.ringLevel = min(float64(DefaultPoints*len(x.servers))/float64(max(sum, 1)), 1)
	for id, server := range x.servers {
		member := &Member{ID: id, Points: DefaultPoints}
		member.setFullPoints(x.wantedPoints(server))
		c := &candidate{x, member, server}
		switch {
		case c.isDraining():
			member.Points = 0
			x.enter(member, Away)
		case !c.isReady():
			member.Points = 0
			x.enter(member, Expected)
		case c.exceedsSlowStart():
			member.Points = uint16(c.slowStartPoints())
			x.enter(member, Joining)
		}
		x.members[id] = member
	}
}

// enter moves a server to a phase without counting a flap.
func (x *builder) enter(n *Member, to Phase) { n.enter(to, noFlap, x.now, x.params.PenaltyHalfLife) }

// applyRules applies the first matching rule to each server.
func (x *builder) applyRules() {
	for i := range x.state.Members {
		member := x.state.Members[i]
		x.members[member.ID] = &member
	}
	for id, s := range x.servers {
		if x.members[id] == nil {
			n := &Member{ID: id, Phase: Expected, FullPoints: uint16(x.wantedPoints(s)), Since: unixSeconds(x.now)}
			x.members[id] = n
		}
	}
	x.ringLevel = max(x.state.ringLevel(), minRingLevel)
	x.listDoubtful = x.isListDoubtful()
	for id, member := range x.members { // the order does not matter: each server is independent
		x.updateFullPoints(member)
		if r := (&candidate{x, member, x.servers[id]}).firstRule(); r != nil {
			x.applyRule(member, r)
		}
	}
	x.carryOwed()
}

// applyRule applies a rule to a server: it changes the phase and the points.
func (x *builder) applyRule(member *Member, r *rule) {
	before := member.PointsOnRing()
	member.enter(r.to, r.flap, x.now, x.params.PenaltyHalfLife)
	switch {
	case r.to == Away || r.to == Gone:
		member.Points = 0
	case r.to == Joining && before == 0:
		member.Points = 0
	case r.to == Joining && r.flap == countsAsFlap:
		member.Points = uint16(min(int(member.Points),
			x.permittedPoints(x.servers[member.ID], member.fullPoints())))
	}
	if lost := before - member.PointsOnRing(); lost > 0 {
		x.lostPoints += float64(lost)
	} else if lost < 0 { // the server returns with the points that were kept for it
		x.owedPoints += float64(lost)
	}
}

// carryOwed adds up the owed points: the points lost now, and the points of earlier losses that other servers
// have not replaced yet.
func (x *builder) carryOwed() {
	if x.now-time.Duration(x.state.LostAt)*time.Second < x.params.OwedValidity {
		x.owedPoints += float64(x.state.OwedPoints)
	}
	x.owedPoints = max(x.owedPoints, 0) + x.lostPoints
}

// isListDoubtful reports whether more than half of the ring's points would be lost at once without draining.
// Then the leader's list may be wrong, and no server counts as lost because of it. If servers really are
// lost, each agent's own endpoint list keeps them out of use.
func (x *builder) isListDoubtful() bool {
	lost, all := 0, 0
	for id, member := range x.members {
		if member.Phase == Away || member.Phase == Gone || member.Phase == Expected || x.fullyDrained[id] {
			continue
		}
		all += int(member.Points)
		if server := x.servers[id]; server == nil || !server.Ready && !server.Draining {
			lost += int(member.Points)
		}
	}
	return 2*lost > all
}

// dropGone drops servers that have been gone for Parameters.GoneRetention. If the snapshot's size is
// exceeded, it also drops other gone servers, those that have been gone longest first.
func (x *builder) dropGone() {
	var gone []*Member
	size := maxPacesSize
	for id, member := range x.members {
		size += len(id) + BytesPerServer
		if member.Phase == Gone {
			gone = append(gone, member)
		}
	}
	slices.SortFunc(gone, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	for _, member := range gone {
		if size > MaxServersSize || x.now-time.Duration(member.Since)*time.Second >= x.params.GoneRetention {
			size -= len(member.ID) + BytesPerServer
			delete(x.members, member.ID)
		}
	}
}

// urgentGrowthDivisor makes a change urgent if a joining server gains more than its full points divided by
// it.
const urgentGrowthDivisor = 20

// diff completes the change with the differences from the current generation. It returns false if there are
// none.
func (x *builder) diff(change Change) (Change, bool) {
	change.OwedPoints, change.LostAt = uint32(x.owedPoints), x.state.LostAt
	if x.lostPoints > 0 {
		change.LostAt = unixSeconds(x.now)
	}
	for _, id := range slices.Sorted(maps.Keys(x.members)) {
		member, before := x.members[id], x.state.find(id)
		switch {
		case before == nil:
			change.MovesKeys = change.MovesKeys || member.PointsOnRing() > 0
		case *before == *member:
			continue
		default:
			change.MovesKeys = change.MovesKeys || member.PointsOnRing() != before.PointsOnRing()
		}
		change.Urgent = change.Urgent || before == nil || member.Phase != before.Phase ||
			member.Phase == Joining && int(member.Points) > int(before.Points)+member.fullPoints()/urgentGrowthDivisor
		change.Members = append(change.Members, *member)
	}
	for i := range x.state.Members {
		if id := x.state.Members[i].ID; x.members[id] == nil {
			change.RemovedIDs = append(change.RemovedIDs, id)
			change.MovesKeys = change.MovesKeys || x.state.Members[i].PointsOnRing() > 0
		}
	}
	return change, len(change.Members)+len(change.RemovedIDs) > 0
}

// ringLevel returns the median fraction of their full points that servers have, weighted by points: at least
// half of the ring's points belong to servers with this fraction or a larger one.
func (st *State) ringLevel() float64 {
	ring := slices.DeleteFunc(slices.Clone(st.Members), func(n Member) bool { return n.PointsOnRing() == 0 })
	fraction := func(n *Member) float64 { return float64(n.Points) / float64(max(n.fullPoints(), 1)) }
	slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(fraction(&b), fraction(&a)) })
	sum, all := 0, st.PointsOnRing()
	for i := range ring {
		if sum += ring[i].PointsOnRing(); 2*sum >= all {
			return min(fraction(&ring[i]), 1)
		}
	}
	return 1
}
