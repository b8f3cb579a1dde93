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
	names           []string  // of the members, sorted
	members         []V       // their values, in the same order
	arcs            [][]point // equal parts of the ring, a power of two in number, each sorted
	shift           int       // bits by which a hash is shifted to the number of its arc
	points          int       // number of points of all places
	walkCount       uint64    // number of walks so far
}

// Place is the state of one name on a ring, from its first join until Remove.
type Place[V any] struct {
	value    V
	name     string
	number   uint32
	points   int // number of points
	isMember bool
	lastWalk uint64 // number of the last walk that visited it
}

// point is a position on the ring in its upper half and the number of its place in its lower half. It is one
// word because a ring of 5,000 members has half a million points.
type point uint64

func (p point) hash() uint32   { return uint32(p >> 32) }
func (p point) number() uint32 { return uint32(p) }

// maxArcPoints is the maximum mean number of points of an arc, so that an insertion moves few points.
const maxArcPoints = 16

// New returns a ring without members. Each member that joins by Join has pointsPerMember points, at least
// one.
func New[V any](pointsPerMember int) *Ring[V] {
	return &Ring[V]{
		pointsPerMember: max(pointsPerMember, 1), byName: map[string]*Place[V]{},
		arcs: make([][]point, 1), shift: 32,
	}
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
	name := p.name
	if !p.isMember {
		p.isMember = true
		i, _ := slices.BinarySearch(r.names, name)
		r.names, r.members = slices.Insert(r.names, i, name), slices.Insert(r.members, i, p.value)
	}
	return p
}

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
	for r.points > maxArcPoints*len(r.arcs) {
		r.split()
	}
	r.eachPoint(p, from, to, func(q point) {
		arc := &r.arcs[r.arcOf(q.hash())]
		i, _ := slices.BinarySearchFunc(*arc, q, r.compare)
		*arc = slices.Insert(*arc, i, q)
	})
}

// removePoints removes the points of a place with the numbers from <= i < to.
func (r *Ring[V]) removePoints(p *Place[V], from, to int) {
	r.points -= max(to-from, 0)
	r.eachPoint(p, from, to, func(q point) {
		arc := &r.arcs[r.arcOf(q.hash())]
		if i := slices.Index(*arc, q); i >= 0 {
			*arc = slices.Delete(*arc, i, i+1)
		}
	})
}

// Leave ends the membership of a place until it joins again. Walks skip its points. It reports whether the
// place was a member.
func (r *Ring[V]) Leave(p *Place[V]) bool {
	if !p.IsMember() {
		return false
	}
	p.isMember = false
	i, _ := slices.BinarySearch(r.names, p.name)
	r.names, r.members = slices.Delete(r.names, i, i+1), slices.Delete(r.members, i, i+1)
	return true
}

// Remove removes a place and its points. Without it, a ring would grow with every name that ever joined.
func (r *Ring[V]) Remove(p *Place[V]) {
	if p == nil || r.places[p.number] != p {
		return
	}
	r.Leave(p)
	delete(r.byName, p.name)
	r.removePoints(p, 0, p.points)
	r.places[p.number], r.freeNumbers = nil, append(r.freeNumbers, p.number)
}

// IsMember reports whether a place is a member. It is false for nil.
func (p *Place[V]) IsMember() bool { return p != nil && p.isMember }

// Members returns the values of the members, sorted by name. The slice is valid until the next join or leave,
// and must not be changed.
func (r *Ring[V]) Members() []V { return r.members }

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
	r.walkCount++
	left := len(r.members)
	first := r.arcOf(hash)
	from, _ := slices.BinarySearch(r.arcs[first], point(hash)<<32)
	// Once around the ring, arc by arc. The first arc is visited twice: first from the hash on, and at the end
	// for its points before the hash.
	for i := 0; i <= len(r.arcs) && left > 0; i++ {
		for _, q := range r.arcs[(first+i)&(len(r.arcs)-1)][from:] {
			p := r.places[q.number()]
			if p.lastWalk == r.walkCount || !p.isMember {
				continue
			}
			p.lastWalk = r.walkCount
			if left--; !visit(p.value) || left == 0 {
				return
			}
		}
		from = 0
	}
}

// Owner returns the first member clockwise from a hash, or the zero value if there is none.
func (r *Ring[V]) Owner(hash uint32) (owner V) {
	r.Walk(hash, func(v V) bool { owner = v; return false })
	return owner
}

// arcOf returns the number of the arc that contains a hash.
func (r *Ring[V]) arcOf(hash uint32) int { return int(uint64(hash) >> r.shift) }

// split splits each arc into two halves. The points stay in order.
func (r *Ring[V]) split() {
	r.shift--
	arcs := make([][]point, 0, 2*len(r.arcs))
	for i, arc := range r.arcs {
		middle := point(2*i+1) << r.shift << 32
		n, _ := slices.BinarySearch(arc, middle)
		arcs = append(arcs, slices.Clone(arc[:n]), slices.Clone(arc[n:]))
	}
	r.arcs = arcs
}

// compare orders points by hash, and points with the same hash by name, so that the order is the same on
// every ring.
func (r *Ring[V]) compare(p, q point) int {
	if p.hash() != q.hash() {
		return cmp.Compare(p.hash(), q.hash())
	}
	return cmp.Compare(r.places[p.number()].name, r.places[q.number()].name)
}

// eachPoint calls each for the points of a place with the numbers from <= i < to. Computing their hashes
// again costs less than storing them.
func (r *Ring[V]) eachPoint(p *Place[V], from, to int, each func(point)) {
	name := append(make([]byte, 0, 64), p.name...)
	for i := from; i < to; i++ {
		name = strconv.AppendInt(name[:len(p.name)], int64(i), 10)
		each(point(farm.Fingerprint32(name))<<32 | point(p.number))
	}
}
