// Package ring is a consistent-hash ring: members that come and go, each with the same number of points, and
// the walk clockwise from a hash over distinct members. Who is a member, and which one of those on the way is
// taken, is its user's business.
//
// A member's points are the FarmHash fingerprints of its name with 0, 1, 2 and so on after it, so every ring
// with the same members is the same, in whatever order they came. One that leaves takes along the keys that
// it owned and no others, and has them again when it is back. A member may have more or fewer points than the
// ring's usual number: fewer are the first of more, so that a changed number moves that member's own part
// only, to it or from it.
//
// A member that comes or goes costs its own points, however many others there are. There is no input or
// output here, no clock and no chance. A Ring is not safe for concurrent use.
package ring

import (
	"cmp"
	"slices"
	"strconv"

	farm "github.com/dgryski/go-farm"
)

// Hash is the place of a key on a ring.
func Hash(key string) uint32 { return farm.Fingerprint32([]byte(key)) }

// Ring is a ring whose members stand for values.
type Ring[V any] struct {
	pointsPerMember int
	byName          map[string]*Place[V]
	places          []*Place[V] // by number
	freeNumbers     []uint32    // numbers that were given up
	names           []string    // of the members, sorted
	members         []V         // in the same order
	arcs            [][]point   // equal parts of the ring, as many as a power of two, each sorted
	shift           int         // of a hash to the number of its arc
	points          int         // of all that have a place
	walkCount       uint64
}

// Place is what a ring knows of one name, from when it joins first until Remove.
type Place[V any] struct {
	value    V
	name     string
	number   uint32
	points   int
	isMember bool
	lastWalk uint64 // the last one that came by
}

// A point is a place on the ring and below it the number of whose it is: one word, as a ring of 5,000 members
// has half a million.
type point uint64

func (p point) hash() uint32   { return uint32(p >> 32) }
func (p point) number() uint32 { return uint32(p) }

// arcPoints is how many points an arc has on average, at the most: few enough to move when one comes.
const arcPoints = 16

// New returns a ring without members, each of which will have so many points where it joins by Join.
func New[V any](replicas int) *Ring[V] {
	return &Ring[V]{
		pointsPerMember: max(replicas, 1), byName: map[string]*Place[V]{},
		arcs: make([][]point, 1), shift: 32,
	}
}

// Join makes a member of a name, or has it take part again with the points and the value that it had.
func (r *Ring[V]) Join(name string, value V) *Place[V] {
	p := r.byName[name]
	if p == nil {
		p = r.addPlace(name, value, r.pointsPerMember)
	}
	return r.join(p)
}

// JoinWithPoints is Join with so many points, whatever it had before. A member without points is one that no walk
// comes by; fewer than none are none.
func (r *Ring[V]) JoinWithPoints(name string, value V, points int) *Place[V] {
	p := r.byName[name]
	if p == nil {
		p = r.addPlace(name, value, max(points, 0))
	} else {
		r.SetPoints(p, points)
	}
	return r.join(p)
}

// SetPoints gives a place so many points, member or not. Of those that it had the first ones stay.
func (r *Ring[V]) SetPoints(p *Place[V], points int) {
	if p == nil || r.places[p.number] != p {
		return
	}
	points = max(points, 0)
	was := p.points
	p.points = points
	r.addPoints(p, was, points)
	r.removePoints(p, points, was)
}

func (r *Ring[V]) join(p *Place[V]) *Place[V] {
	name := p.name
	if !p.isMember {
		p.isMember = true
		i, _ := slices.BinarySearch(r.names, name)
		r.names, r.members = slices.Insert(r.names, i, name), slices.Insert(r.members, i, p.value)
	}
	return p
}

// add puts the points of a new name on the ring.
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

// put puts points of a place on the ring, from one number up to another.
func (r *Ring[V]) addPoints(p *Place[V], from, to int) {
	r.points += max(to-from, 0)
	for r.points > arcPoints*len(r.arcs) {
		r.split()
	}
	r.eachPoint(p, from, to, func(q point) {
		arc := &r.arcs[r.arcOf(q.hash())]
		i, _ := slices.BinarySearchFunc(*arc, q, r.compare)
		*arc = slices.Insert(*arc, i, q)
	})
}

// take takes points of a place off the ring, from one number up to another.
func (r *Ring[V]) removePoints(p *Place[V], from, to int) {
	r.points -= max(to-from, 0)
	r.eachPoint(p, from, to, func(q point) {
		arc := &r.arcs[r.arcOf(q.hash())]
		if i := slices.Index(*arc, q); i >= 0 {
			*arc = slices.Delete(*arc, i, i+1)
		}
	})
}

// Leave has a place take no part until it joins again; its points stay where they are, to be passed over.
// It tells whether it was a member.
func (r *Ring[V]) Leave(p *Place[V]) bool {
	if !p.IsMember() {
		return false
	}
	p.isMember = false
	i, _ := slices.BinarySearch(r.names, p.name)
	r.names, r.members = slices.Delete(r.names, i, i+1), slices.Delete(r.members, i, i+1)
	return true
}

// Remove gives a place up, with its points. Guards against a ring that grows with every name there ever was.
func (r *Ring[V]) Remove(p *Place[V]) {
	if p == nil || r.places[p.number] != p {
		return
	}
	r.Leave(p)
	delete(r.byName, p.name)
	r.removePoints(p, 0, p.points)
	r.places[p.number], r.freeNumbers = nil, append(r.freeNumbers, p.number)
}

// IsMember tells whether a place takes part; none does not.
func (p *Place[V]) IsMember() bool { return p != nil && p.isMember }

// Members are the values of the members, by name: valid until the next one comes or goes, and not to be
// changed.
func (r *Ring[V]) Members() []V { return r.members }

// Points counts the points on the ring: those of all that have a place, members or not.
func (r *Ring[V]) Points() int { return r.points }

// Points counts a place's own; none has none.
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
	// Once round, arc by arc: the first one from the hash on, and at the end its points before the hash.
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

// Owner is the first member clockwise from a hash; the zero value where there is none.
func (r *Ring[V]) Owner(hash uint32) (owner V) {
	r.Walk(hash, func(v V) bool { owner = v; return false })
	return owner
}

// arcOf is the number of the arc that a hash is on.
func (r *Ring[V]) arcOf(hash uint32) int { return int(uint64(hash) >> r.shift) }

// split makes arcs half as long. Points stay in order.
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

// compare is the order of points: by hash, and where two names have the same one, by name, which is the same
// on every ring.
func (r *Ring[V]) compare(p, q point) int {
	if p.hash() != q.hash() {
		return cmp.Compare(p.hash(), q.hash())
	}
	return cmp.Compare(r.places[p.number()].name, r.places[q.number()].name)
}

// eachPoint calls for each point of a place from one number up to another. Hashing them again costs less than
// keeping them.
func (r *Ring[V]) eachPoint(p *Place[V], from, to int, each func(point)) {
	name := append(make([]byte, 0, 64), p.name...)
	for i := from; i < to; i++ {
		name = strconv.AppendInt(name[:len(p.name)], int64(i), 10)
		each(point(farm.Fingerprint32(name))<<32 | point(p.number))
	}
}
