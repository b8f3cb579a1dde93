package ringassignment

import (
	"math"
	"slices"
	"time"
)

// ViewTracker keeps for how long servers have been as they are, by the views of one agent.
type ViewTracker struct {
	servers map[string]ObservedServer
}

// capacityTolerance is by which part a capacity may differ and count as the same.
const capacityTolerance = 0.02

// Update takes a view, and gives the servers with their times, and those that vanished of late. Those of a
// ViewTracker's first view count as ready from then on.
func (w *ViewTracker) Update(v View) []ObservedServer {
	seen := make(map[string]ObservedServer, len(v.Servers))
	all := make([]ObservedServer, 0, len(v.Servers))
	for _, s := range v.Servers {
		if _, twice := seen[s.ID]; twice {
			continue
		}
		t := ObservedServer{Server: s, ReadySince: v.Now, FullyDrained: v.FullyDrained[s.ID]}
		if before, is := w.servers[s.ID]; is {
			t.carryOver(before, v.Now)
		}
		seen[s.ID] = t
		all = append(all, t)
	}
	for id, s := range w.servers {
		if _, is := seen[id]; is {
			continue
		}
		if s.Ready && !s.Draining && !v.FullyDrained[id] {
			s.LostAt = v.Now
		}
		if s.Ready, s.Missing, s.FullyDrained = false, true, false; v.Now-s.LostAt < lostRetention && !v.FullyDrained[id] {
			seen[id] = s
			all = append(all, s)
		}
	}
	w.servers = seen
	return append(all, v.drainedUnlisted()...)
}

// away are the servers that windows have emptied and that are not listed: whoever leads may never have seen
// them.
func (v *View) drainedUnlisted() (all []ObservedServer) {
	for id := range v.FullyDrained {
		listed := func(s Server) bool { return s.ID == id }
		if !slices.ContainsFunc(v.Servers, listed) {
			all = append(all, ObservedServer{Server: Server{ID: id}, Missing: true, FullyDrained: true})
		}
	}
	return all
}

// follow takes over what has not changed.
func (s *ObservedServer) carryOver(before ObservedServer, now time.Duration) {
	s.LostAt = before.LostAt
	wasReady, ready := before.Ready && !before.Draining, s.Ready && !s.Draining
	if wasReady && ready && s.StartedAt == before.StartedAt {
		s.ReadySince = before.ReadySince
	} else if wasReady && !ready && !s.FullyDrained {
		s.LostAt = now
	}
	s.CapacitySince = before.CapacitySince
	if math.Abs(s.Capacity-before.Capacity) > capacityTolerance*before.Capacity {
		s.CapacitySince = now
	} else {
		s.Capacity = before.Capacity
	}
}

// lostRetention is for how long it is remembered of servers that are not listed that they were.
const lostRetention = time.Minute
