package ringassignment

import (
	"math"
	"time"
)

// View is what one agent sees.
type View struct {
	Now     time.Duration // Unix time
	Servers []Server      // of its own endpoint list, each once
	// FullyDrained are the servers that maintenance windows keep all keys off now, by id, listed or not.
	FullyDrained map[string]bool
}

// Server is a server as an agent sees it.
type Server struct {
	ID, Zone, Kind  string
	Ready, Draining bool
	StartedAt       time.Duration // Unix time; zero: long ago
	Capacity        float64       // as agreed, 1 for a usual server; invalid values count as 1
}

// minCapacity is the least capacity that counts.
const minCapacity = 0.05

// validCapacity is the agreed capacity, as far as it can be used.
func (s *Server) validCapacity() float64 {
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 0) { //nolint:staticcheck // QF1001: NaN counts as invalid too
		return 1
	}
	return max(s.Capacity, minCapacity)
}

// isUsable tells whether the server is ready and does not drain.
func (s *Server) isUsable() bool { return s.Ready && !s.Draining }

// ObservedServer is a server, and since when it has been so. All times are Unix times.
type ObservedServer struct {
	Server
	ReadySince    time.Duration // without a break
	Missing       bool          // it has not been listed since LostAt
	LostAt        time.Duration // when it was last seen to stop being ready; zero: never
	CapacitySince time.Duration // since when its capacity has been what it is
	FullyDrained  bool          // see View
}
