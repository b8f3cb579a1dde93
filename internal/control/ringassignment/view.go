package ringassignment

import (
	"math"
	"time"
)

// View is one agent's view of the servers.
type View struct {
	Now     time.Duration // Unix time
	Servers []Server      // servers of the agent's own endpoint list; duplicates are ignored
	// FullyDrained are the servers, by id, that maintenance windows now keep all keys off, listed or not.
	FullyDrained map[string]bool
}

// Server is a server in an agent's view.
type Server struct {
	ID, Zone, Kind  string
	Ready, Draining bool
	StartedAt       time.Duration // Unix time; zero if long ago
	Capacity        float64       // agreed capacity, 1 for a standard server; invalid values count as 1
}

// minCapacity is the minimum capacity; lower values count as this.
const minCapacity = 0.05

// validCapacity returns the agreed capacity, with invalid values replaced.
func (s *Server) validCapacity() float64 {
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 0) { //nolint:staticcheck // QF1001: NaN counts as invalid too
		return 1
	}
	return max(s.Capacity, minCapacity)
}

// isUsable reports whether the server is ready and not draining.
func (s *Server) isUsable() bool { return s.Ready && !s.Draining }

// ObservedServer is a server with the times of its last changes. All times are Unix times.
type ObservedServer struct {
	Server
	ReadySince    time.Duration // since when the server has been ready without interruption
	Missing       bool          // whether the server is not listed
	LostAt        time.Duration // when the server last stopped being ready; zero if never
	CapacitySince time.Duration // when the present capacity was first seen
	FullyDrained  bool          // see View
}
