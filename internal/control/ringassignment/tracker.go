package ringassignment

import (
	"math"
	"slices"
	"time"
)

const (
	// capacityTolerance is the relative difference up to which two capacities count as the same.
	capacityTolerance = 0.02
	// lostRetention is the time for which a lost server that is no longer listed is kept.
	lostRetention = time.Minute
)

// ViewTracker derives from one agent's successive views since when each server has been in its present
// condition.
type ViewTracker struct {
	servers map[string]ObservedServer
}

// Update processes a view. It returns the view's servers with their times, the servers that recently left the
// list, and unlisted servers that windows have fully drained. The servers of the first view count as ready
// from that view on.
func (t *ViewTracker) Update(v View) []ObservedServer {
	seen := make(map[string]ObservedServer, len(v.Servers))
	all := make([]ObservedServer, 0, len(v.Servers))
	for _, s := range v.Servers {
		if _, duplicate := seen[s.ID]; duplicate {
			continue
		}
		observed := ObservedServer{Server: s, ReadySince: v.Now, FullyDrained: v.FullyDrained[s.ID]}
		if before, known := t.servers[s.ID]; known {
			observed.carryOver(before, v.Now)
		}
		seen[s.ID] = observed
		all = append(all, observed)
	}
	for id, s := range t.servers {
		if _, listed := seen[id]; listed {
			continue
		}
		if s.isUsable() && !v.FullyDrained[id] {
			s.LostAt = v.Now
		}
		s.Ready, s.Missing, s.FullyDrained = false, true, false
		if v.Now-s.LostAt < lostRetention && !v.FullyDrained[id] {
			seen[id] = s
			all = append(all, s)
		}
	}
	t.servers = seen
	return append(all, v.drainedUnlisted()...)
}

// drainedUnlisted returns the servers that windows have fully drained and that are not listed. The leader may
// never have seen them.
func (v *View) drainedUnlisted() (all []ObservedServer) {
	for id := range v.FullyDrained {
		listed := func(s Server) bool { return s.ID == id }
		if !slices.ContainsFunc(v.Servers, listed) {
			all = append(all, ObservedServer{Server: Server{ID: id}, Missing: true, FullyDrained: true})
		}
	}
	return all
}

// carryOver copies from the previous view the times of what has not changed since.
func (s *ObservedServer) carryOver(before ObservedServer, now time.Duration) {
	s.LostAt = before.LostAt
	wasUsable, usable := before.isUsable(), s.isUsable()
	if wasUsable && usable && s.StartedAt == before.StartedAt {
		s.ReadySince = before.ReadySince
	} else if wasUsable && !usable && !s.FullyDrained {
		s.LostAt = now
	}
	s.CapacitySince = before.CapacitySince
	if math.Abs(s.Capacity-before.Capacity) > capacityTolerance*before.Capacity {
		s.CapacitySince = now
	} else {
		s.Capacity = before.Capacity
	}
}
