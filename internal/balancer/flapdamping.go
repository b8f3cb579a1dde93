package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// flapPenaltyStep is added to the flap penalty for each change between up and down.
	flapPenaltyStep = 1.0
	// flapPenaltyHalfLife is the half-life of a flap penalty.
	flapPenaltyHalfLife = 10 * time.Second
	// dampingDuration is how long a flapping server gets no requests.
	dampingDuration = 20 * time.Second
	// peerLimitDivisor divides the suppress limit to give the flap penalty above which a peer agrees to damping.
	peerLimitDivisor = 2
)

// decayedPenalty returns the server's flap penalty at a time.
func (s *server) decayedPenalty(now time.Duration) float64 {
	if s.flapPenalty == 0 {
		return 0
	}
	return s.flapPenalty * math.Exp2(-float64(now-s.flapPenaltyAt)/float64(flapPenaltyHalfLife))
}

// isDamped reports whether the server gets no requests because it was flapping.
func (s *server) isDamped(now time.Duration) bool { return now < s.dampedUntil }

// meanPenalty returns the mean flap penalty of the ring's members, the initial penalty of a new server.
func (b *Balancer) meanPenalty() float64 {
	sum := 0.0
	for _, s := range b.penalized {
		if s.ringPlace.IsMember() {
			sum += s.decayedPenalty(b.now)
		}
	}
	return sum / b.memberCount()
}

// minPenalty is the flap penalty below which it counts as zero.
const minPenalty = 1e-3

// setPenalty sets the server's flap penalty.
func (b *Balancer) setPenalty(s *server, penalty float64, at time.Duration) {
	if s.flapPenalty == 0 && penalty >= minPenalty {
		b.penalized = append(b.penalized, s)
	}
	s.flapPenalty, s.flapPenaltyAt = penalty, at
}

// forgetPenalties sets the penalties that have decayed, and those of forgotten servers, to zero.
func (b *Balancer) forgetPenalties() {
	b.penalized = slices.DeleteFunc(b.penalized, func(s *server) bool {
		isZero := s.decayedPenalty(b.now) < minPenalty || b.servers[s.ID] != s
		if isZero {
			s.flapPenalty = 0
		}
		return isZero
	})
}

// countFlap raises the flap penalty of a server that went down or recovered since the last round, and damps
// it or consults peers above the suppress limit. Changes within a round do not count, nor do those while
// verdicts are distrusted because most servers look bad for a cause near this balancer.
func (b *Balancer) countFlap(s *server) {
	if down := s.outlier.IsEjected(); down != s.wasDown && b.detector.DistrustReason() == "" {
		s.wasDown = down
		b.setPenalty(s, s.decayedPenalty(b.now)+flapPenaltyStep, b.now)
		if s.flapPenalty > b.tuning.SuppressLimit && !s.isDamped(b.now) {
			b.dampOrConsult(s)
		}
	}
}

// dampOrConsult damps a flapping server, or first consults peers if there are any. If none agrees and the
// server flaps again within dampingDuration, it is damped without their agreement.
func (b *Balancer) dampOrConsult(s *server) {
	if b.settings.Limits.Gossip && b.settings.Balancers > 1 && b.now-s.dampRequestedAt > dampingDuration {
		s.dampRequestedAt = b.now
		b.gossip(encodeDampMessage(messageDampRequest, s, b.now))
		return
	}
	b.damp(s)
}

// onDampResponse damps the server if the peer's flap penalty agrees and the request to peers was sent within
// the last round.
func (b *Balancer) onDampResponse(s *server, peerPenalty float64) {
	isPending := s.dampRequestedAt > 0 && b.now-s.dampRequestedAt <= roundInterval
	if isPending && !s.isDamped(b.now) &&
		min(s.decayedPenalty(b.now), peerPenalty) > b.tuning.SuppressLimit/peerLimitDivisor {
		b.damp(s)
	}
}

// damp keeps requests from the server for dampingDuration.
func (b *Balancer) damp(s *server) {
	s.dampedUntil = b.now + dampingDuration
	b.logf("server %s damped for %v: it is flapping", s.ID, dampingDuration)
	b.updatePlacement(s)
	b.watch(s)
}
