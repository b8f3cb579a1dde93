package balancer

import "dunestep/internal/balancer/ring"

// forgetAfter is how long the state of a server that left is kept, so that its flap penalty is still known if
// it returns within that time.
const forgetAfter = 2 * dampingDuration

func (b *Balancer) onServerListUpdate(e *ServerListUpdate) {
	b.trackDiscoveryCall(e)
	if e.Kind == UpdateFailed {
		return // the old list stays in use
	}
	penalty := b.meanPenalty()
	for i := range e.Servers {
		if s, changed := b.updateServer(&e.Servers[i], penalty); changed {
			b.moved = append(b.moved, s)
		}
	}
	if e.Kind != UpdateIncremental {
		b.removeUnlisted(e.Servers)
	}
	if len(b.moved) > 0 {
		b.updateRing()
	}
}

// removeUnlisted marks the servers as gone that a complete list does not have.
func (b *Balancer) removeUnlisted(list []Server) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id, s := range b.servers {
		if !listed[id] && s.State != Gone {
			s.State = Gone
			b.departed[s] = struct{}{}
			b.moved = append(b.moved, s)
		}
	}
}

// updateServer applies an entry of the server list, and reports whether the server's state changed. A new
// server begins with the given flap penalty.
func (b *Balancer) updateServer(e *Server, penalty float64) (s *server, changed bool) {
	s = b.servers[e.ID]
	if s == nil {
		s = &server{
			hash: ring.Hash(e.ID), outlier: b.detector.AddServer(),
		}
		if penalty >= minPenalty {
			b.setPenalty(s, penalty, b.now)
		}
		s.State, s.ID = Gone, e.ID
		b.servers[e.ID], b.byHash[s.hash] = s, s
	}
	changed = s.State != e.State
	// The server is new or was restarted: anything known of it is about another process.
	if e.StartedAt != s.StartedAt || s.ringPlace == nil {
		s.latency, s.latencyInFlight = 0, 0
		b.detector.ServerRestarted(s.outlier)
		s.slowStart.Start(b.now, b.rng.Float64())
	}
	s.Server, s.kindBaseline = *e, b.kindBaseline(e.MachineKind)
	if s.State == Ready && s.ringPlace.IsMember() {
		hasOtherWeight := s.counted.weight != s.Weight || s.counted.kind != s.kindBaseline
		b.weights.isStale = b.weights.isStale || hasOtherWeight
		b.weights.extendWarmingUp(b, s)
	}
	b.applyExclusions(s)
	s.sawDraining = e.State == Draining || s.sawDraining && e.State == Gone
	if s.State == Gone {
		b.departed[s] = struct{}{}
	} else {
		delete(b.departed, s)
	}
	return s, changed
}

// hasReadyServer reports whether at least one known server is ready.
func (b *Balancer) hasReadyServer() bool {
	for _, s := range b.servers {
		if s.State == Ready {
			return true
		}
	}
	return false
}

// forgetGoneServers removes servers that left more than forgetAfter ago, so that memory does not grow with
// every release.
func (b *Balancer) forgetGoneServers() {
	for s := range b.departed {
		if s.ringPlace.IsMember() || s.inFlight > 0 || b.now-s.leftRingAt <= forgetAfter {
			continue
		}
		b.detector.RemoveServer(s.outlier)
		b.ring.Remove(s.ringPlace)
		b.outsideRing.Remove(s.outsidePlace)
		delete(b.servers, s.ID)
		delete(b.departed, s)
		delete(b.watched, s)
		if b.byHash[s.hash] == s {
			delete(b.byHash, s.hash)
		}
	}
}

// ForgetServer resets the state of a server whose id turns out to belong to another process now. It does
// nothing if the server is not known.
func (b *Balancer) ForgetServer(id string) {
	s := b.servers[id]
	if s == nil {
		return
	}
	b.detector.RemoveServer(s.outlier)
	s.outlier, s.wasDown = b.detector.AddServer(), false
	s.latency, s.latencyInFlight, s.reportedInFlight, s.reportedAt = 0, 0, 0, 0
	b.setPenalty(s, 0, b.now)
	s.dampedUntil, s.recoveredAt = 0, 0
	s.slowStart.Start(b.now, b.rng.Float64())
	b.updatePlacement(s)
	b.weights.isStale = true
}
