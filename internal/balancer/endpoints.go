package balancer

import (
	"maps"

	"dunestep/internal/balancer/ring"
	"dunestep/internal/discovery/backoff"
)

const (
	// forgetAfter is how long the state of a server that left is kept, so that its flap penalty is still known
	// if it returns within that time.
	forgetAfter = 2 * dampingDuration
	// pollAgainDivisor divides the maximum poll interval to give the time without a response after which
	// discovery is called again.
	pollAgainDivisor = 4
)

func (b *Balancer) onServerListUpdate(e *ServerListUpdate) {
	b.trackDiscoveryCall(e)
	if e.Kind == UpdateFailed {
		return // the old list stays in use
	}
	changed := false
	listed := make(map[string]bool, len(e.Servers))
	for i := range e.Servers {
		listed[e.Servers[i].ID] = true
		changed = b.updateServer(&e.Servers[i]) || changed
	}
	if e.Kind != UpdateIncremental {
		for id, s := range b.servers {
			if !listed[id] && s.State != Gone {
				s.State = Gone
				changed = true
			}
		}
	}
	if changed {
		b.updateRing()
	}
}

// trackDiscoveryCall tracks the calls to discovery. The first update starts the rounds.
func (b *Balancer) trackDiscoveryCall(e *ServerListUpdate) {
	switch {
	case !b.started:
		b.started = true
		b.setTimer(roundInterval, 0, timerRound)
		b.pollDiscovery()
	case e.Kind == UpdateFailed:
		b.onWatchEnded(&e.Watch)
	case !e.Watch.Local:
		b.pollAgainAt = 0
		if !e.Watch.Opened {
			b.discovery.Answered(len(e.Servers) > 0)
		}
	}
}

// onWatchEnded schedules another call to discovery after a backoff, unless one has already been made or
// scheduled.
func (b *Balancer) onWatchEnded(w *WatchStatus) {
	if w.End == backoff.WatchSilent {
		b.discovery.RecordSilentWatch(b.now, w.SilentFor)
	}
	if w.Replaced {
		return
	}
	b.pollAgainAt = 0
	wait := b.discovery.CallEnded(b.now, w.End, b.rng.Float64())
	if !b.pollScheduled {
		b.pollScheduled = true
		b.setTimer(wait, 0, timerPoll)
	}
}

// pollDiscovery starts a call to discovery if discovery must be polled. Without a response another call
// follows, well before the rules assume that this balancer knows the changes it did not receive.
func (b *Balancer) pollDiscovery() {
	if b.settings.DiscoveryOnDemand {
		b.discovery.CallStarted(b.now)
		b.pollAgainAt = b.now + max(b.settings.Rules.MaxPollInterval/pollAgainDivisor, roundInterval)
		b.emit(Action{Kind: Subscribe})
	}
}

// updateServer applies an entry of the server list and reports whether the server's state changed.
func (b *Balancer) updateServer(e *Server) (changed bool) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{
			hash: ring.Hash(e.ID), flapPenalty: b.meanPenalty(), flapPenaltyAt: b.now,
			outlier: b.detector.AddServer(),
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
	b.applyExclusions(s)
	s.sawDraining = e.State == Draining || s.sawDraining && e.State == Gone
	return changed
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
	maps.DeleteFunc(b.servers, func(_ string, s *server) bool {
		gone := s.State == Gone && !s.ringPlace.IsMember() && s.inFlight == 0 && b.now-s.leftRingAt > forgetAfter
		if gone {
			b.detector.RemoveServer(s.outlier)
			b.ring.Remove(s.ringPlace)
			b.outsideRing.Remove(s.outsidePlace)
			if b.byHash[s.hash] == s {
				delete(b.byHash, s.hash)
			}
		}
		return gone
	})
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
	s.flapPenalty, s.dampedUntil, s.recoveredAt = 0, 0, 0
	s.slowStart.Start(b.now, b.rng.Float64())
	b.updateDetector()
}
