package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// next is the making of a generation.
type next struct {
	st      *State
	f       *Figures
	now, by time.Duration
	doubt   bool // so much is lost at once that the leader's list is not believed
	sights  map[string]*Sight
	missing map[string]time.Duration // that vanished of late, and when
	emptied map[string]bool          // by windows
	nodes   map[string]*Node
	owed    float64 // points that may be taken beyond the rate
	lost    float64 // points lost by this generation
	forced  bool    // so that points moved which had to
	room    float64 // points that may move
	level   float64 // the part of their points that servers have
	warmth  float64 // see warm
}

// Next is the generation that follows from the present one, from what the leader sees and from the time: a
// pure function. False: none does. F has to be Usual.
func Next(st State, sights []Sight, f Figures, now time.Duration) (Change, bool) {
	x := &next{
		st: &st, f: &f, now: now, by: now + f.Ahead, sights: map[string]*Sight{},
		missing: map[string]time.Duration{}, emptied: map[string]bool{},
		nodes: map[string]*Node{},
	}
	ready, size := 0, 0
	for i := range sights {
		s := &sights[i]
		if s.Emptied {
			x.emptied[s.ID] = true
		}
		if s.Missing {
			x.missing[s.ID] = s.Broke
			continue
		}
		x.sights[s.ID] = s
		if size += len(s.ID) + PerNode; s.Ready && !s.Draining {
			ready++
		}
		if s.ID == "" || len(s.ID) > MostID {
			size = math.MaxInt / 2 // such a fleet is none of ours
		}
	}
	x.warmth = x.warm()
	c := Change{Base: st.Number, Now: now, By: x.by}
	switch {
	case size > MostBytes-mostPaces || st.Off && size > (MostBytes-mostPaces)*9/10:
		c.Off = true
		return c, st.Number > 0 && !st.Off
	case ready == 0:
		return c, false
	case st.Number == 0 || st.Off:
		x.first()
	default:
		x.follow()
		x.share()
	}
	x.forget()
	return x.change(c)
}

// mostPaces is how much of MostBytes is kept for kinds' paces.
const mostPaces = 1 << 10

// leastLevel has cold servers not begin ever lower where one after the other began anew.
const leastLevel = 0.5

// level is the part of their points that servers have: half of the ring's points are of servers that have as
// large a part or a larger one.
func (st *State) level() float64 {
	ring := slices.DeleteFunc(slices.Clone(st.Nodes), func(n Node) bool { return n.OnRing() == 0 })
	part := func(n *Node) float64 { return float64(n.Points) / float64(max(n.full(), 1)) }
	slices.SortFunc(ring, func(a, b Node) int { return cmp.Compare(part(&b), part(&a)) })
	sum, all := 0, st.OnRing()
	for i := range ring {
		if sum += ring[i].OnRing(); 2*sum >= all {
			return min(part(&ring[i]), 1)
		}
	}
	return 1
}

// first puts all that are ready on the ring, as many points for each as without generations.
func (x *next) first() {
	sum := 0
	for _, s := range x.sights {
		sum += x.wants(s)
	}
	x.level = min(float64(Points*len(x.sights))/float64(max(sum, 1)), 1)
	for id, s := range x.sights {
		n := &Node{ID: id, Points: Points}
		n.setFull(x.wants(s))
		l := &look{x, n, s}
		switch {
		case l.drains():
			n.Points = 0
			n.enter(Away, false, x.now, x.f.Half)
		case !l.ready():
			n.Points = 0
			n.enter(Expected, false, x.now, x.f.Half)
		case l.colder():
			n.Points = uint16(l.warm())
			n.enter(Joining, false, x.now, x.f.Half)
		}
		x.nodes[id] = n
	}
}

// follow has each server go on by the rules.
func (x *next) follow() {
	for i := range x.st.Nodes {
		n := x.st.Nodes[i]
		x.nodes[n.ID] = &n
	}
	for id, s := range x.sights {
		if x.nodes[id] == nil {
			n := &Node{ID: id, Phase: Expected, Full: uint16(x.wants(s)), Since: seconds(x.now)}
			x.nodes[id] = n
		}
	}
	x.level = max(x.st.level(), leastLevel)
	x.doubt = x.doubtful()
	for id, n := range x.nodes { // in any order: each by itself
		x.full(n)
		if r := (&look{x, n, x.sights[id]}).rule(); r != nil {
			x.take(n, r)
		}
	}
	x.carry()
}

// take has a rule take effect.
func (x *next) take(n *Node, r *rule) {
	had := n.OnRing()
	n.enter(r.to, r.swing, x.now, x.f.Half)
	switch {
	case r.to == Away || r.to == Gone:
		n.Points = 0
	case r.to == Joining && r.swing, r.to == Joining && had == 0:
		n.Points = uint16(min(int(n.Points), x.permits(x.sights[n.ID], n.full())))
		if had == 0 {
			n.Points = 0
		}
	}
	if lost := had - n.OnRing(); lost > 0 {
		x.lost, x.forced = x.lost+float64(lost), true
	} else if lost < 0 { // what was kept for it
		x.owed, x.forced = x.owed+float64(lost), true
	}
}

// carry counts what is owed: what is lost now, and of what was before what is not made up for yet.
func (x *next) carry() {
	if x.now-time.Duration(x.st.Lost)*time.Second < x.f.Owed {
		x.owed += float64(x.st.Owed)
	}
	x.owed = max(x.owed, 0) + x.lost
}

// wants is how many points a server should have when whole, by what is agreed of it.
func (x *next) wants(s *Sight) int {
	pace := 1.0
	if x.f.Paces {
		pace = x.st.pace(s.Kind)
	}
	points := math.Round(x.f.Unit * s.capacity() * pace)
	return int(min(max(points, leastPoints), mostPoints))
}

// capacity is what is agreed of a server, as far as that makes sense.
func (s *Seen) capacity() float64 {
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 0) {
		return 1
	}
	return max(s.Capacity, leastCapacity)
}

// full takes another capacity over that was told for long enough and differs by enough. Guards against keys
// that go to and fro with every word on it. Where a pace has changed less is enough: that was slow already.
func (x *next) full(n *Node) {
	s := x.sights[n.ID]
	if s == nil || x.now-s.Settled < x.f.Settle {
		return
	}
	differs := x.f.Differs
	if x.f.Paces && x.now-time.Duration(x.st.Paced)*time.Second < paceEvery {
		differs /= 4
	}
	if wants := x.wants(s); math.Abs(float64(wants-n.full())) > differs*float64(n.full()) {
		n.setFull(wants)
	}
}

// part is what the rule on cold servers lets one have, of what a warm one has.
func (x *next) part(s *Sight) float64 {
	if s.Started <= 0 || x.f.Cold.For <= 0 {
		return 1
	}
	t := &x.f.Cold
	return min(t.Margin*t.FallMultiple*t.Warmth(x.by, s.Started), t.Most, 1)
}

// warm is twice the part that all that are ready may have together, 1 at the most: where hardly any server is
// warm, somebody has to have the keys all the same, and fewer points for all would only be fewer.
func (x *next) warm() float64 {
	sum, all := 0.0, 0.0
	for _, s := range x.sights {
		if s.Ready && !s.Draining {
			points := float64(x.wants(s))
			sum, all = sum+points*x.part(s), all+points
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
func (x *next) permits(s *Sight, points int) int {
	if s == nil {
		return points
	}
	part := x.part(s)
	if part == 1 {
		return points
	}
	return int(float64(points) * min(part/x.warmth, 1) * x.level)
}

// doubtful tells whether over half of the ring would be lost at once, with nothing said of a drain. Guards
// against a leader whose list alone is wrong: each agent's own list takes away what it has to.
func (x *next) doubtful() bool {
	lost, all := 0, 0
	for id, n := range x.nodes {
		if n.Phase == Away || n.Phase == Gone || n.Phase == Expected || x.emptied[id] {
			continue
		}
		all += int(n.Points)
		if s := x.sights[id]; s == nil || !s.Ready && !s.Draining {
			lost += int(n.Points)
		}
	}
	return 2*lost > all
}

// share moves points within the bound: what joins first, then what has another capacity.
func (x *next) share() {
	ring := 0
	var joining, other []*Node
	for _, id := range slices.Sorted(maps.Keys(x.nodes)) {
		n := x.nodes[id]
		ring += n.OnRing()
		switch {
		case n.Phase == Joining && x.sights[id] != nil:
			joining = append(joining, n)
		case n.Phase == Whole && int(n.Points) != n.full():
			other = append(other, n)
		}
	}
	passed := min(max(x.by-x.st.By, 0), x.f.Burst)
	x.room = x.f.Rate * passed.Seconds() * float64(ring)
	x.move(joining, x.grows, true)
	if !x.calm() && x.st.Number%4 != 0 {
		other, joining = nil, nil // they can wait, and are many: each generation goes to all agents
	}
	x.move(append(other, joining...), func(n *Node) int {
		wants := x.permits(x.sights[n.ID], n.full()) - int(n.Points)
		if n.Phase == Joining {
			return max(wants, 0)
		}
		return wants
	}, false)
	for _, n := range x.nodes { // in any order: each by itself
		if n.Phase == Joining && n.Points > 0 && int(n.Points) >= n.full() {
			n.enter(Whole, false, x.now, x.f.Half)
		}
	}
}

// calm tells whether the present generation has lasted for as long as any has to.
func (x *next) calm() bool { return x.now-(x.st.By-x.f.Ahead) >= x.f.Terms.Wait() }

// grows is by how much the points of one that joins rise: to what its warmth permits, and not beyond the part
// that the whole ones have of theirs, which the first generation begins low.
func (x *next) grows(n *Node) int {
	may := min(x.permits(x.sights[n.ID], n.full()), int(math.Ceil(x.level*float64(n.full()))))
	return max(may-int(n.Points), 0)
}

// move gives each its part of what it wants, as far as there is room; made: what is owed counts as room too.
func (x *next) move(all []*Node, wants func(*Node) int, made bool) {
	sum := 0.0
	for _, n := range all {
		sum += math.Abs(float64(wants(n)))
	}
	room := x.room
	if made {
		room += x.owed
	}
	if sum == 0 || room < 1 {
		return
	}
	part := min(room/sum, 1)
	for _, n := range all {
		by := int(part * float64(wants(n)))
		full := n.full()
		n.Points = uint16(int(n.Points) + by)
		n.setFull(full)
		moved := math.Abs(float64(by))
		if made {
			free := min(moved, x.owed)
			x.owed, moved = x.owed-free, moved-free
		}
		x.room -= moved
	}
}

// forget drops what is long gone, and of what is gone the first ones where there is no room.
func (x *next) forget() {
	var gone []*Node
	size := mostPaces
	for id, n := range x.nodes {
		size += len(id) + PerNode
		if n.Phase == Gone {
			gone = append(gone, n)
		}
	}
	slices.SortFunc(gone, func(a, b *Node) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	for _, n := range gone {
		if size > MostBytes || x.now-time.Duration(n.Since)*time.Second >= x.f.Forget {
			size -= len(n.ID) + PerNode
			delete(x.nodes, n.ID)
		}
	}
}

// change is what is other than in the present generation.
func (x *next) change(c Change) (Change, bool) {
	c.Owed, c.Lost = uint32(x.owed), x.st.Lost
	if x.lost > 0 {
		c.Lost = seconds(x.now)
	}
	for _, id := range slices.Sorted(maps.Keys(x.nodes)) {
		n, before := x.nodes[id], x.st.find(id)
		switch {
		case before == nil:
			c.Moves = c.Moves || n.OnRing() > 0
		case *before == *n:
			continue
		default:
			c.Moves = c.Moves || n.OnRing() != before.OnRing()
		}
		c.Hurry = c.Hurry || before == nil || n.Phase != before.Phase ||
			n.Phase == Joining && int(n.Points) > int(before.Points)+n.full()/20
		c.Nodes = append(c.Nodes, *n)
	}
	for i := range x.st.Nodes {
		if id := x.st.Nodes[i].ID; x.nodes[id] == nil {
			c.Drop = append(c.Drop, id)
			c.Moves = c.Moves || x.st.Nodes[i].OnRing() > 0
		}
	}
	return c, len(c.Nodes)+len(c.Drop) > 0
}
