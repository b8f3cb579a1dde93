package ringassignment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// next is the making of a generation.
type builder struct {
	state            *State
	params           *Parameters
	now, effectiveAt time.Duration
	listDoubtful     bool // so much is lost at once that the leader's list is not believed
	servers          map[string]*ObservedServer
	missing          map[string]time.Duration // that vanished of late, and when
	fullyDrained     map[string]bool          // by windows
	nodes            map[string]*Member
	owedPoints       float64 // points that may be taken beyond the rate
	lostPoints       float64 // points lost by this generation
	forced           bool    // so that points moved which had to
	movablePoints    float64 // points that may move
	ringLevel        float64 // the part of their points that servers have
	warmth           float64 // see warm
}

// NextChange is the generation that follows from the present one, from what the leader sees and from the time: a
// pure function. False: none does. F has to be WithDefaults.
func NextChange(st State, sights []ObservedServer, f Parameters, now time.Duration) (Change, bool) {
	x := &builder{
		state: &st, params: &f, now: now, effectiveAt: now + f.ActivationLead, servers: map[string]*ObservedServer{},
		missing: map[string]time.Duration{}, fullyDrained: map[string]bool{},
		nodes: map[string]*Member{},
	}
	ready, size := 0, 0
	for i := range sights {
		s := &sights[i]
		if s.FullyDrained {
			x.fullyDrained[s.ID] = true
		}
		if s.Missing {
			x.missing[s.ID] = s.LostAt
			continue
		}
		x.servers[s.ID] = s
		if size += len(s.ID) + BytesPerServer; s.Ready && !s.Draining {
			ready++
		}
		if s.ID == "" || len(s.ID) > MaxIDSize {
			size = math.MaxInt / 2 // such a fleet is none of ours
		}
	}
	x.warmth = x.fleetWarmth()
	c := Change{Base: st.Number, Now: now, EffectiveAt: x.effectiveAt}
	switch {
	case size > MaxServersSize-maxPacesSize || st.Suspended && size > (MaxServersSize-maxPacesSize)*9/10:
		c.Suspend = true
		return c, st.Number > 0 && !st.Suspended
	case ready == 0:
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

// maxPacesSize is how much of MaxServersSize is kept for kinds' paces.
const maxPacesSize = 1 << 10

// minRingLevel has cold servers not begin ever lower where one after the other began anew.
const minRingLevel = 0.5

// level is the part of their points that servers have: half of the ring's points are of servers that have as
// large a part or a larger one.
func (st *State) ringLevel() float64 {
	ring := slices.DeleteFunc(slices.Clone(st.Members), func(n Member) bool { return n.OnRing() == 0 })
	part := func(n *Member) float64 { return float64(n.Points) / float64(max(n.fullPoints(), 1)) }
	slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(part(&b), part(&a)) })
	sum, all := 0, st.OnRing()
	for i := range ring {
		if sum += ring[i].OnRing(); 2*sum >= all {
			return min(part(&ring[i]), 1)
		}
	}
	return 1
}

// first puts all that are ready on the ring, as many points for each as without generations.
func (x *builder) buildFirst() {
	sum := 0
	for _, s := range x.servers {
		sum += x.wantedPoints(s)
	}
	x.ringLevel = min(float64(DefaultPoints*len(x.servers))/float64(max(sum, 1)), 1)
	for id, s := range x.servers {
		n := &Member{ID: id, Points: DefaultPoints}
		n.setFullPoints(x.wantedPoints(s))
		l := &candidate{x, n, s}
		switch {
		case l.isDraining():
			n.Points = 0
			n.enter(Away, false, x.now, x.params.PenaltyHalfLife)
		case !l.isReady():
			n.Points = 0
			n.enter(Expected, false, x.now, x.params.PenaltyHalfLife)
		case l.isColder():
			n.Points = uint16(l.warmPoints())
			n.enter(Joining, false, x.now, x.params.PenaltyHalfLife)
		}
		x.nodes[id] = n
	}
}

// follow has each server go on by the rules.
func (x *builder) applyRules() {
	for i := range x.state.Members {
		n := x.state.Members[i]
		x.nodes[n.ID] = &n
	}
	for id, s := range x.servers {
		if x.nodes[id] == nil {
			n := &Member{ID: id, Phase: Expected, FullPoints: uint16(x.wantedPoints(s)), Since: unixSeconds(x.now)}
			x.nodes[id] = n
		}
	}
	x.ringLevel = max(x.state.ringLevel(), minRingLevel)
	x.listDoubtful = x.isListDoubtful()
	for id, n := range x.nodes { // in any order: each by itself
		x.updateFullPoints(n)
		if r := (&candidate{x, n, x.servers[id]}).firstRule(); r != nil {
			x.applyRule(n, r)
		}
	}
	x.carryOwed()
}

// take has a rule take effect.
func (x *builder) applyRule(n *Member, r *rule) {
	had := n.OnRing()
	n.enter(r.to, r.isFlap, x.now, x.params.PenaltyHalfLife)
	switch {
	case r.to == Away || r.to == Gone:
		n.Points = 0
	case r.to == Joining && r.isFlap, r.to == Joining && had == 0:
		n.Points = uint16(min(int(n.Points), x.permittedPoints(x.servers[n.ID], n.fullPoints())))
		if had == 0 {
			n.Points = 0
		}
	}
	if lost := had - n.OnRing(); lost > 0 {
		x.lostPoints, x.forced = x.lostPoints+float64(lost), true
	} else if lost < 0 { // what was kept for it
		x.owedPoints, x.forced = x.owedPoints+float64(lost), true
	}
}

// carry counts what is owed: what is lost now, and of what was before what is not made up for yet.
func (x *builder) carryOwed() {
	if x.now-time.Duration(x.state.LostAt)*time.Second < x.params.OwedValidity {
		x.owedPoints += float64(x.state.OwedPoints)
	}
	x.owedPoints = max(x.owedPoints, 0) + x.lostPoints
}

// wants is how many points a server should have when whole, by what is agreed of it.
func (x *builder) wantedPoints(s *ObservedServer) int {
	pace := 1.0
	if x.params.UsePaces {
		pace = x.state.pace(s.Kind)
	}
	points := math.Round(x.params.PointsPerCapacity * s.validCapacity() * pace)
	return int(min(max(points, minPoints), maxPoints))
}

// capacity is what is agreed of a server, as far as that makes sense.
func (s *Server) validCapacity() float64 {
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 0) {
		return 1
	}
	return max(s.Capacity, minCapacity)
}

// full takes another capacity over that was told for long enough and differs by enough. Guards against keys
// that go to and fro with every word on it. Where a pace has changed less is enough: that was slow already.
func (x *builder) updateFullPoints(n *Member) {
	s := x.servers[n.ID]
	if s == nil || x.now-s.CapacitySince < x.params.CapacitySettleTime {
		return
	}
	differs := x.params.MinCapacityChange
	if x.params.UsePaces && x.now-time.Duration(x.state.PacesChangedAt)*time.Second < paceInterval {
		differs /= 4
	}
	if wants := x.wantedPoints(s); math.Abs(float64(wants-n.fullPoints())) > differs*float64(n.fullPoints()) {
		n.setFullPoints(wants)
	}
}

// part is what the rule on cold servers lets one have, of what a warm one has.
func (x *builder) slowStartFraction(s *ObservedServer) float64 {
	if s.StartedAt <= 0 || x.params.SlowStart.Duration <= 0 {
		return 1
	}
	t := &x.params.SlowStart
	return min(t.Margin*t.OverloadMultiple*t.CapacityFraction(x.effectiveAt, s.StartedAt), t.MaxOfWarm, 1)
}

// warm is twice the part that all that are ready may have together, 1 at the most: where hardly any server is
// warm, somebody has to have the keys all the same, and fewer points for all would only be fewer.
func (x *builder) fleetWarmth() float64 {
	sum, all := 0.0, 0.0
	for _, s := range x.servers {
		if s.Ready && !s.Draining {
			points := float64(x.wantedPoints(s))
			sum, all = sum+points*x.slowStartFraction(s), all+points
		}
	}
	if all == 0 {
		return 1
	}
	return min(2*sum/all, 1)
}

// permits is how many of so many points a server's warmth permits when the generation is taken up. The rule
// on cold servers counts what all agents send it together, and points share that out: as a part of what the
// whole ones have, which may be low on the way from the first generation.
func (x *builder) permittedPoints(s *ObservedServer, points int) int {
	if s == nil {
		return points
	}
	part := x.slowStartFraction(s)
	if part == 1 {
		return points
	}
	return int(float64(points) * min(part/x.warmth, 1) * x.ringLevel)
}

// doubtful tells whether over half of the ring would be lost at once, with nothing said of a drain. Guards
// against a leader whose list alone is wrong: each agent's own list takes away what it has to.
func (x *builder) isListDoubtful() bool {
	lost, all := 0, 0
	for id, n := range x.nodes {
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

// share moves points within the bound: what joins first, then what has another capacity.
func (x *builder) distributePoints() {
	ring := 0
	var joining, other []*Member
	for _, id := range slices.Sorted(maps.Keys(x.nodes)) {
		n := x.nodes[id]
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
	x.movePoints(joining, x.joiningGrowth, true)
	if !x.isPastFence() && x.state.Number%4 != 0 {
		other, joining = nil, nil // they can wait, and are many: each generation goes to all agents
	}
	x.movePoints(append(other, joining...), func(n *Member) int {
		wants := x.permittedPoints(x.servers[n.ID], n.fullPoints()) - int(n.Points)
		if n.Phase == Joining {
			return max(wants, 0)
		}
		return wants
	}, false)
	for _, n := range x.nodes { // in any order: each by itself
		if n.Phase == Joining && n.Points > 0 && int(n.Points) >= n.fullPoints() {
			n.enter(Complete, false, x.now, x.params.PenaltyHalfLife)
		}
	}
}

// calm tells whether the present generation has lasted for as long as any has to.
func (x *builder) isPastFence() bool {
	return x.now-(x.state.EffectiveAt-x.params.ActivationLead) >= x.params.Terms.FenceWait()
}

// grows is by how much the points of one that joins rise: to what its warmth permits, and not beyond the part
// that the whole ones have of theirs, which the first generation begins low.
func (x *builder) joiningGrowth(n *Member) int {
	may := min(x.permittedPoints(x.servers[n.ID], n.fullPoints()), int(math.Ceil(x.ringLevel*float64(n.fullPoints()))))
	return max(may-int(n.Points), 0)
}

// move gives each its part of what it wants, as far as there is room; made: what is owed counts as room too.
func (x *builder) movePoints(all []*Member, wants func(*Member) int, made bool) {
	sum := 0.0
	for _, n := range all {
		sum += math.Abs(float64(wants(n)))
	}
	room := x.movablePoints
	if made {
		room += x.owedPoints
	}
	if sum == 0 || room < 1 {
		return
	}
	part := min(room/sum, 1)
	for _, n := range all {
		by := int(part * float64(wants(n)))
		full := n.fullPoints()
		n.Points = uint16(int(n.Points) + by)
		n.setFullPoints(full)
		moved := math.Abs(float64(by))
		if made {
			free := min(moved, x.owedPoints)
			x.owedPoints, moved = x.owedPoints-free, moved-free
		}
		x.movablePoints -= moved
	}
}

// forget drops what is long gone, and of what is gone the first ones where there is no room.
func (x *builder) dropGone() {
	var gone []*Member
	size := maxPacesSize
	for id, n := range x.nodes {
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
			delete(x.nodes, n.ID)
		}
	}
}

// change is what is other than in the present generation.
func (x *builder) diff(c Change) (Change, bool) {
	c.OwedPoints, c.LostAt = uint32(x.owedPoints), x.state.LostAt
	if x.lostPoints > 0 {
		c.LostAt = unixSeconds(x.now)
	}
	for _, id := range slices.Sorted(maps.Keys(x.nodes)) {
		n, before := x.nodes[id], x.state.find(id)
		switch {
		case before == nil:
			c.MovesKeys = c.MovesKeys || n.OnRing() > 0
		case *before == *n:
			continue
		default:
			c.MovesKeys = c.MovesKeys || n.OnRing() != before.OnRing()
		}
		c.Urgent = c.Urgent || before == nil || n.Phase != before.Phase ||
			n.Phase == Joining && int(n.Points) > int(before.Points)+n.fullPoints()/20
		c.Members = append(c.Members, *n)
	}
	for i := range x.state.Members {
		if id := x.state.Members[i].ID; x.nodes[id] == nil {
			c.Forgotten = append(c.Forgotten, id)
			c.MovesKeys = c.MovesKeys || x.state.Members[i].OnRing() > 0
		}
	}
	return c, len(c.Members)+len(c.Forgotten) > 0
}
