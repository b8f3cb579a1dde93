package ring

import (
	"cmp"
	"slices"
	"strconv"

	farm "github.com/dgryski/go-farm"
)

// Hash returns the position of a key on a ring.
func Hash(key string) uint32 { return farm.Fingerprint32([]byte(key)) }

// Ring is a ring whose members have values of type V.
type Ring[V any] struct {
	pointsPerMember int
	byName          map[string]*Place[V]
	places          []*Place[V] // by number; nil if the number is free
	freeNumbers     []uint32
	memberCount     int
	listed          []*Place[V] // the members at the last updateList, sorted by name
	members         []V         // their values, in the same order
	joined          []*Place[V] // places that have joined since
	isListStale     bool        // places have joined or left since
	sorted          points
	retired         []uint32 // numbers of removed places whose points are not dropped yet
	points          int      // number of points of all places
	walkCount       uint64   // number of walks so far
}

// Place is the state of one name on a ring, from its first join until Remove.
type Place[V any] struct {
	value    V
	name     string
	number   uint32
	points   int // number of points
	isMember bool
	isListed bool   // in Ring.listed or Ring.joined
	lastWalk uint64 // number of the last walk that visited it
}

// New returns a ring without members. Each member that joins by Join has pointsPerMember points, at least
// one.
func New[V any](pointsPerMember int) *Ring[V] {
	r := &Ring[V]{pointsPerMember: max(pointsPerMember, 1), byName: map[string]*Place[V]{}}
	r.sorted.tieBreak = r.compareNames
	return r
}

// Join makes a name a member and returns its place. A name that already has a place keeps its points and its
// value.
func (r *Ring[V]) Join(name string, value V) *Place[V] {
	p := r.byName[name]
	if p == nil {
		p = r.addPlace(name, value, r.pointsPerMember)
	}
	return r.join(p)
}

// JoinWithPoints is like Join but sets the number of points. A member without points is not visited by walks.
// A negative number counts as zero.
func (r *Ring[V]) JoinWithPoints(name string, value V, points int) *Place[V] {
	p := r.byName[name]
	if p == nil {
		p = r.addPlace(name, value, max(points, 0))
	} else {
		r.SetPoints(p, points)
	}
	return r.join(p)
}

// SetPoints sets the number of points of a place, which need not be a member. The points that both numbers
// have in common stay. A removed place is not changed.
func (r *Ring[V]) SetPoints(p *Place[V], points int) {
	if p == nil || r.places[p.number] != p {
		return
	}
	points = max(points, 0)
	old := p.points
	p.points = points
	r.addPoints(p, old, points)
	r.removePoints(p, points, old)
}

// join makes a place a member.
func (r *Ring[V]) join(p *Place[V]) *Place[V] {
	if p.isMember {
		return p
	}
	p.isMember = true
	r.memberCount++
	r.isListStale = true
	if !p.isListed {
		p.isListed = true
		r.joined = append(r.joined, p)
	}
	return p
}

// updateList brings the sorted members up to date with all joins and leaves since the last call, at once: a
// list change has hundreds of them.
func (r *Ring[V]) updateList() {
	if !r.isListStale {
		return
	}
	r.isListStale = false
	dropLeft := func(places []*Place[V]) []*Place[V] {
		return slices.DeleteFunc(places, func(p *Place[V]) bool {
			p.isListed = p.isMember
			return !p.isMember
		})
	}
	byName := func(p, q *Place[V]) int { return cmp.Compare(p.name, q.name) }
	joined := dropLeft(r.joined)
	slices.SortFunc(joined, byName)
	r.listed = mergeSorted(dropLeft(r.listed), joined, byName)
	r.joined = nil
	r.members = r.members[:0]
	for _, p := range r.listed {
		r.members = append(r.members, p.value)
	}
}

// mergeSorted returns the elements of two sorted slices in order.
func mergeSorted[E any](p, q []E, compare func(p, q E) int) []E {
	switch {
	case len(p) == 0:
		return q
	case len(q) == 0:
		return p
	}
	merged := make([]E, 0, len(p)+len(q))
	for len(p) > 0 && len(q) > 0 {
		if compare(p[0], q[0]) <= 0 {
			merged, p = append(merged, p[0]), p[1:]
		} else {
			merged, q = append(merged, q[0]), q[1:]
		}
	}
	return append(append(merged, p...), q...)
}

// Reserve prepares the ring for places with that many points in all.
func (r *Ring[V]) Reserve(points int) { r.sorted.reserve(points) }

// addPlace adds a place with its points for a new name.
func (r *Ring[V]) addPlace(name string, value V, points int) *Place[V] {
	p := &Place[V]{value: value, name: name, number: uint32(len(r.places)), points: points}
	if n := len(r.freeNumbers); n > 0 {
		p.number, r.freeNumbers = r.freeNumbers[n-1], r.freeNumbers[:n-1]
		r.places[p.number] = p
	} else {
		r.places = append(r.places, p)
	}
	r.byName[name] = p
	r.addPoints(p, 0, points)
	return p
}

// addPoints adds the points of a place with the numbers from <= i < to.
func (r *Ring[V]) addPoints(p *Place[V], from, to int) {
	r.points += max(to-from, 0)
	r.eachPoint(p, from, to, r.sorted.add)
}

// removePoints removes the points of a place with the numbers from <= i < to.
func (r *Ring[V]) removePoints(p *Place[V], from, to int) {
	r.points -= max(to-from, 0)
	r.eachPoint(p, from, to, r.sorted.remove)
}

// Leave ends the membership of a place until it joins again. Walks skip its points. It reports whether the
// place was a member.
func (r *Ring[V]) Leave(p *Place[V]) bool {
	if !p.IsMember() {
		return false
	}
	p.isMember = false
	r.memberCount--
	r.isListStale = true
	return true
}

// Remove removes a place and its points. Without it, a ring would grow with every name that ever joined.
func (r *Ring[V]) Remove(p *Place[V]) {
	if p == nil || r.places[p.number] != p {
		return
	}
	r.Leave(p)
	delete(r.byName, p.name)
	r.points -= p.points
	r.sorted.addDead(p.points)
	r.places[p.number], r.retired = nil, append(r.retired, p.number)
	if r.sorted.mustRebuild() { // else a ring that is never walked would grow without bound
		r.arrange()
	}
}

// IsMember reports whether a place is a member. It is false for nil.
func (p *Place[V]) IsMember() bool { return p != nil && p.isMember }

// Members returns the values of the members, sorted by name. The slice is valid until the next join or leave,
// and must not be changed.
func (r *Ring[V]) Members() []V {
	r.updateList()
	return r.members
}

// MemberCount returns the number of members.
func (r *Ring[V]) MemberCount() int { return r.memberCount }

// Points returns the number of points of all places, members or not.
func (r *Ring[V]) Points() int { return r.points }

// Points returns the number of points of a place, and zero for nil.
func (p *Place[V]) Points() int {
	if p == nil {
		return 0
	}
	return p.points
}

// Walk visits the distinct members clockwise from a hash until visit returns false. Visit must not change
// the ring or begin another walk.
func (r *Ring[V]) Walk(hash uint32, visit func(V) bool) {
	r.arrange()
	r.walkCount++
	left := r.memberCount
	if left == 0 {
		return
	}
	r.sorted.walk(hash, func(q point) bool {
		p := r.places[q.number()]
		if p == nil || p.lastWalk == r.walkCount || !p.isMember {
			return true
		}
		p.lastWalk = r.walkCount
		left--
		return visit(p.value) && left > 0
	})
}

// Prepare does now what the next walk would have to do first after many changes.
func (r *Ring[V]) Prepare() { r.arrange() }

// arrange makes all changes of points take effect. The numbers of removed places are used again only once
// their points are dropped.
func (r *Ring[V]) arrange() {
	if r.sorted.isArranged() && !r.sorted.mustRebuild() {
		return
	}
	if r.sorted.arrange(func(q point) bool { return r.places[q.number()] == nil }) {
		r.freeNumbers = append(r.freeNumbers, r.retired...)
		r.retired = r.retired[:0]
	}
}

// Owner returns the first member clockwise from a hash, or the zero value if there is none.
func (r *Ring[V]) Owner(hash uint32) (owner V) {
	r.Walk(hash, func(v V) bool { owner = v; return false })
	return owner
}

// compareNames orders points with the same hash by name, so that the order is the same on every ring.
func (r *Ring[V]) compareNames(p, q point) int {
	return cmp.Compare(r.nameOf(p), r.nameOf(q))
}

// nameOf returns the name of a point's place, or "" if it has gone: then the order does not matter.
func (r *Ring[V]) nameOf(p point) string {
	if place := r.places[p.number()]; place != nil {
		return place.name
	}
	return ""
}

// eachPoint calls each for the points of a place with the numbers from <= i < to. Computing their hashes
// again costs less than storing them.
func (r *Ring[V]) eachPoint(p *Place[V], from, to int, each func(point)) {
	name := append(make([]byte, 0, 64), p.name...)
	for i := from; i < to; i++ {
		name = strconv.AppendInt(name[:len(p.name)], int64(i), 10)
		each(newPoint(farm.Fingerprint32(name), p.number))
	}
}
