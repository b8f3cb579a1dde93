package lab

import (
	"fmt"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/control/ringassignment/judge"
)

// ringCache computes and caches the owners of all keys by generation, list and exclusions.
type ringCache struct {
	lab    *Lab
	owners map[ownersKey]*judge.Owners
	ring   *ring.Ring[int32]
	places map[string]*ring.Place[int32]
	keys   []uint32
}

// ownersKey is everything that the owners depend on.
type ownersKey struct {
	generation uint64
	list       int
	exclusions string // see exclusionsKey
}

// ownersFor returns the owners that an agent computes from an assignment, its own list and its exclusions:
// see balancer.RingAssignment and balancer.Exclusions. It returns the same pointer for the same owners.
func (r *ringCache) ownersFor(assignment *balancer.RingAssignment, list int,
	exclusions *balancer.Exclusions,
) *judge.Owners {
	key := ownersKey{list: list, exclusions: exclusionsKey(exclusions)}
	if assignment != nil {
		key.generation = assignment.Generation
	}
	if owners := r.owners[key]; owners != nil {
		return owners
	}
	points := r.usablePoints(assignment, r.lab.lists[list])
	owners := r.ownersOf(points, exclusions)
	for _, other := range r.owners {
		if sameOwners(*other, owners) {
			r.owners[key] = other
			return other
		}
	}
	r.owners[key] = &owners
	return &owners
}

// sameOwners reports whether all keys have the same owners.
func sameOwners(a, b judge.Owners) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// usablePoints returns the points on the ring by server. Servers that the list has as unusable get none. If
// no points are left, all usable servers get the default.
func (r *ringCache) usablePoints(assignment *balancer.RingAssignment, list []server) map[string]int {
	usable := map[string]int{}
	for _, s := range list {
		ready := s.listed && s.ready && !s.draining
		switch {
		case assignment == nil && ready:
			usable[s.name] = ringassignment.DefaultPoints
		case assignment != nil && (ready || r.lab.setup.Without == "own list"):
			usable[s.name] = assignment.Points[s.name]
		}
	}
	sum := 0
	for _, n := range usable {
		sum += n
	}
	if assignment != nil && sum == 0 {
		return r.usablePoints(nil, list)
	}
	return usable
}

// ownersOf returns the owners of all keys. The ring is kept from one call to the next, as balancers keep
// theirs.
func (r *ringCache) ownersOf(points map[string]int, exclusions *balancer.Exclusions) judge.Owners {
	if r.ring == nil {
		r.ring, r.places = ring.New[int32](ringassignment.DefaultPoints), map[string]*ring.Place[int32]{}
	}
	for i, s := range r.lab.servers {
		n := points[s.name]
		switch {
		case r.lab.setup.Without == "nested": // points depend on their number
			r.ring.Remove(r.places[s.name])
			r.places[s.name] = r.ring.JoinWithPoints(fmt.Sprint(s.name, "/", n, "/"), int32(i), n)
		case n > 0:
			r.places[s.name] = r.ring.JoinWithPoints(s.name, int32(i), n)
		default:
			r.ring.Leave(r.places[s.name])
		}
	}
	for len(r.keys) < r.lab.setup.Keys {
		r.keys = append(r.keys, ring.Hash(fmt.Sprint("key ", len(r.keys))))
	}
	return r.assignKeys(r.allowsKey(exclusions))
}

// allowsKey returns a function that reports whether a server is not excluded for a key.
func (r *ringCache) allowsKey(exclusions *balancer.Exclusions) func(key int, server int32) bool {
	ranks := excludedRanks(exclusions)
	return func(key int, server int32) bool {
		id := r.lab.servers[server].name
		return !isExcluded(ranks[id], r.keys[key], id)
	}
}

// assignKeys returns the owners of all keys on the present ring: the first server for which accepts returns
// true.
func (r *ringCache) assignKeys(accepts func(key int, server int32) bool) judge.Owners {
	owners := make(judge.Owners, r.lab.setup.Keys)
	for k := range owners {
		owners[k] = judge.NoOwner
		r.ring.Walk(r.keys[k], func(server int32) bool {
			if !accepts(k, server) {
				return true
			}
			owners[k] = server
			return false
		})
	}
	return owners
}

// truth is the judge's view of the true state of servers.
type truth struct{ l *Lab }

// IsReady reports whether a server is usable. It returns false for a while after a loss even if the server
// is back, because agents learn of the loss late and then move its keys.
func (t truth) IsReady(i int32) bool {
	s := &t.l.servers[i]
	return s.isUsable() && (s.lostAt == 0 || t.l.Now()-s.lostAt > 2*maxListDelay+time.Second/2)
}

// IsKnownGone reports whether the agent's list has had the server as unusable for more than a second.
func (t truth) IsKnownGone(agent int, i int32) bool {
	since, known := t.l.nodes[agent].unusableSince[i]
	return known && t.l.Now()-since > time.Second
}

// IsSteady implements judge.Truth. It depends on the times at which the server was lost and started.
func (t truth) IsSteady(agent int, i int32, from, to time.Duration) bool {
	s, warmUp := &t.l.servers[i], t.l.setup.SlowStart().Duration+3*time.Second
	if _, missing := t.l.nodes[agent].unusableSince[i]; missing || !s.isUsable() || s.startedAt > to-warmUp {
		return false
	}
	for _, at := range s.lossTimes {
		if at > t.l.Now()-2*time.Minute && (at < from+2*maxListDelay || at > to-warmUp) {
			return false
		}
	}
	return true
}

// Capacity returns the capacity of a warm server.
func (t truth) Capacity(i int32) float64 { return t.l.servers[i].capacity }

// SlowStartFraction implements judge.Truth. It returns 1 if the leader could not know of the server's start
// when it proposed the generation.
func (t truth) SlowStartFraction(i int32, firstUsedAt time.Duration) float64 {
	s, slowStart := &t.l.servers[i], t.l.setup.SlowStart()
	if s.startedAt == 0 || s.startedAt > firstUsedAt-2*time.Second-t.l.maxInjectedDelay {
		return 1
	}
	return min(1, slowStart.Margin*slowStart.OverloadMultiple*slowStart.CapacityFraction(t.l.Now(), s.startedAt))
}
