package balancer

import (
	"math"
	"time"
)

const (
	// flapPenaltyStep is added for each change between up and down.
	flapPenaltyStep = 1.0
	// flapPenaltyHalfLife is the time in which a penalty decays to its half.
	flapPenaltyHalfLife = 10 * time.Second
	// dampingDuration is how long a flapping server gets nothing.
	dampingDuration = 20 * time.Second
	// peerLimitDivisor: a peer agrees to damping where its penalty is above the suppress limit divided by this.
	peerLimitDivisor = 2
)

// decayedPenalty is the server's flap penalty now.
func (s *server) decayedPenalty(now time.Duration) float64 {
	return s.flapPenalty * math.Exp2(-float64(now-s.flapPenaltyAt)/float64(flapPenaltyHalfLife))
}

// isDamped reports whether the server gets nothing because it was flapping.
func (s *server) isDamped(now time.Duration) bool { return now < s.dampedUntil }

// meanPenalty over the members is what a new server starts with.
func (b *Balancer) meanPenalty() float64 {
	sum := 0.0
	for _, s := range b.ring.Members() {
		sum += s.decayedPenalty(b.now)
	}
	return sum / b.memberCount()
}

// countFlap raises the penalty of a server that is not in the state of the round before: what went down and
// came back inside a round does not count, nor does what one cause near this balancer took down with most
// others.
func (b *Balancer) countFlap(s *server) {
	if down := s.outlier.IsEjected(); down != s.wasDown && b.detector.DistrustReason() == "" {
		s.wasDown = down
		s.flapPenalty, s.flapPenaltyAt = s.decayedPenalty(b.now)+flapPenaltyStep, b.now
		if s.flapPenalty > b.tuning.SuppressLimit && !s.isDamped(b.now) {
			b.dampOrConsult(s)
		}
	}
}

// dampOrConsult damps a flapping server: with peers, only after they were asked. Their silence counts as
// agreement when the server flaps again.
func (b *Balancer) dampOrConsult(s *server) {
	if b.settings.Limits.Gossip && b.settings.Balancers > 1 && b.now-s.dampRequestedAt > dampingDuration {
		s.dampRequestedAt = b.now
		b.gossip(encodeDampMessage(messageDampRequest, s, b.now))
		return
	}
	b.damp(s)
}

// onDampResponse damps the server if the peer agrees and was asked in this round.
func (b *Balancer) onDampResponse(s *server, peerPenalty float64) {
	asked := s.dampRequestedAt > 0 && b.now-s.dampRequestedAt <= roundInterval
	if asked && !s.isDamped(b.now) &&
		min(s.decayedPenalty(b.now), peerPenalty) > b.tuning.SuppressLimit/peerLimitDivisor {
		b.damp(s)
	}
}

func (b *Balancer) damp(s *server) {
	s.dampedUntil = b.now + dampingDuration
	b.logf("server %s damped for %v: it is flapping", s.ID, dampingDuration)
	b.updateDetector()
}
