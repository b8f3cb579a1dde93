package balancer

import (
	"maps"

	"dunestep/internal/balancer/ring"
	"dunestep/internal/discovery/backoff"
)

const (
	// forgetAfter is how long a server that has left is remembered: a flap within that time finds its penalty.
	forgetAfter = 2 * dampingDuration
	// pollAgainDivisor: the longest poll interval divided by this is how long a call may bring nothing.
	pollAgainDivisor = 4
)

func (b *Balancer) onServerListUpdate(e *ServerListUpdate) {
	b.noteUpdate(e)
	if e.Kind == UpdateFailed {
		return // the old list holds
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

// noteUpdate keeps track of the calls to discovery. The first update starts the rounds.
func (b *Balancer) noteUpdate(e *ServerListUpdate) {
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

// onWatchEnded schedules another call to discovery after a backoff, unless one has been made.
func (b *Balancer) onWatchEnded(w *WatchStatus) {
	if w.End == backoff.WatchSilent {
		b.discovery.WatchFellSilent(b.now, w.SilentFor)
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

// pollDiscovery subscribes where discovery must be polled. A failure is followed by another call, and so is
// silence, well before the rules take this balancer to know what it has not heard.
func (b *Balancer) pollDiscovery() {
	if b.settings.DiscoveryOnDemand {
		b.discovery.CallStarted(b.now)
		b.pollAgainAt = b.now + max(b.settings.Rules.MaxPollInterval/pollAgainDivisor, roundInterval)
		b.emit(Action{Kind: Subscribe})
	}
}

// updateServer applies an entry of the list and reports whether the server's state has changed.
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
	// new or restarted: what was known is of another process
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

// hasReadyServer reports whether one of the known servers is ready.
func (b *Balancer) hasReadyServer() bool {
	for _, s := range b.servers {
		if s.State == Ready {
			return true
		}
	}
	return false
}

// forgetGoneServers drops servers that left long ago, so that memory does not grow with every release.
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

// ForgetServer drops what was learned of a server, whose name another process turns out to have.
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
