package lab

import (
	"fmt"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/judge"
)

// rings are who owns which keys, by a generation and a list.
type rings struct {
	lab    *Lab
	owners map[owning]*judge.Owners
	ring   *ring.Ring[int32]
	places map[string]*ring.Place[int32]
	keys   []uint32
}

type owning struct {
	number uint64
	list   int
	kept   string // off: see named
}

// of is what an agent does with a generation, its own list and what it keeps off: see balancer.RingAssignment
// and balancer.Exclusions. It is the same pointer for the same owners.
func (r *rings) of(p *balancer.RingAssignment, list int, a *balancer.Exclusions) *judge.Owners {
	key := owning{list: list, kept: named(a)}
	if p != nil {
		key.number = p.Generation
	}
	if o := r.owners[key]; o != nil {
		return o
	}
	points := r.points(p, r.lab.lists[list])
	o := r.place(points, a)
	for _, other := range r.owners {
		if equal(*other, o) {
			r.owners[key] = other
			return other
		}
	}
	r.owners[key] = &o
	return &o
}

func equal(a, b judge.Owners) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// points are those that are usable by the list.
func (r *rings) points(p *balancer.RingAssignment, list []server) map[string]int {
	usable := map[string]int{}
	for _, s := range list {
		ready := s.listed && s.ready && !s.draining
		switch {
		case p == nil && ready:
			usable[s.name] = ringassignment.DefaultPoints
		case p != nil && (ready || r.lab.set.Without == "own list"):
			usable[s.name] = p.Points[s.name]
		}
	}
	sum := 0
	for _, n := range usable {
		sum += n
	}
	if p != nil && sum == 0 {
		return r.points(nil, list)
	}
	return usable
}

// place is the owners of all keys. The ring is kept from one call to the next, as balancers keep theirs.
func (r *rings) place(points map[string]int, a *balancer.Exclusions) judge.Owners {
	if r.ring == nil {
		r.ring, r.places = ring.New[int32](ringassignment.DefaultPoints), map[string]*ring.Place[int32]{}
	}
	for i, s := range r.lab.list {
		n := points[s.name]
		switch {
		case r.lab.set.Without == "nested": // points depend on how many there are
			r.ring.Remove(r.places[s.name])
			r.places[s.name] = r.ring.JoinWithPoints(fmt.Sprint(s.name, "/", n, "/"), int32(i), n)
		case n > 0:
			r.places[s.name] = r.ring.JoinWithPoints(s.name, int32(i), n)
		default:
			r.ring.Leave(r.places[s.name])
		}
	}
	for len(r.keys) < r.lab.set.Keys {
		r.keys = append(r.keys, ring.Hash(fmt.Sprint("key ", len(r.keys))))
	}
	return r.walk(r.open(a))
}

// open tells which keys need not keep off a server.
func (r *rings) open(a *balancer.Exclusions) func(key int, o int32) bool {
	kept := below(a)
	return func(key int, o int32) bool {
		id := r.lab.list[o].name
		return !keepsOff(kept[id], r.keys[key], id)
	}
}

// walk is the owners of all keys on the ring as it is, of those that take a key.
func (r *rings) walk(takes func(key int, o int32) bool) judge.Owners {
	owners := make(judge.Owners, r.lab.set.Keys)
	for k := range owners {
		owners[k] = judge.NoOwner
		r.ring.Walk(r.keys[k], func(o int32) bool {
			if !takes(k, o) {
				return true
			}
			owners[k] = o
			return false
		})
	}
	return owners
}

// truth is what the judge may know.
type truth struct{ l *Lab }

// IsReady does not hold for a while after a server was lost: agents hear of that late.
func (t truth) IsReady(i int32) bool {
	s := &t.l.list[i]
	return s.there() && (s.lost == 0 || t.l.Now()-s.lost > 2*mostLate+time.Second/2)
}

// IsKnownGone has an agent's list say for a second that a server is not to be used.
func (t truth) IsKnownGone(agent int, i int32) bool {
	since, is := t.l.nodes[agent].missing[i]
	return is && t.l.Now()-since > time.Second
}

// IsSteady goes by when the server was lost, and began anew.
func (t truth) IsSteady(agent int, i int32, from, to time.Duration) bool {
	s, warm := &t.l.list[i], t.l.set.Cold().Duration+3*time.Second
	if _, missing := t.l.nodes[agent].missing[i]; missing || !s.there() || s.started > to-warm {
		return false
	}
	for _, at := range s.losses {
		if at > t.l.Now()-2*time.Minute && (at < from+2*mostLate || at > to-warm) {
			return false
		}
	}
	return true
}

func (t truth) Capacity(i int32) float64 { return t.l.list[i].capacity }

// SlowStartFraction is of a server that started before the leader could know of it 1.
func (t truth) SlowStartFraction(i int32, made time.Duration) float64 {
	s, c := &t.l.list[i], t.l.set.Cold()
	if s.started == 0 || s.started > made-2*time.Second-t.l.slow {
		return 1
	}
	return min(1, c.Margin*c.OverloadMultiple*c.CapacityFraction(t.l.Now(), s.started))
}
