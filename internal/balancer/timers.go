package balancer

import (
	"maps"
	"math"
	"time"
)

// A timer's tag is a request's id, or zero, shifted left by timerPurposeBits, plus one of these purposes.
const (
	timerRound = iota // end of a round
	timerRetry        // resume a waiting request
	timerPoll         // call discovery again

	timerPurposeBits = 2
)

// roundInterval is the length of a round, at the end of which rates, weights and verdicts are updated.
const roundInterval = time.Second

func (b *Balancer) setTimer(after time.Duration, id uint32, purpose uint64) {
	b.emit(Action{Kind: SetTimer, After: after, Tag: uint64(id)<<timerPurposeBits | purpose})
}

func (b *Balancer) onTimer(tag uint64) {
	r := b.requests[uint32(tag>>timerPurposeBits)]
	switch purpose := tag & (1<<timerPurposeBits - 1); {
	case purpose == timerRound && b.started:
		b.endRound()
	case purpose == timerPoll:
		b.onPollTimer()
	case r == nil || r.closed:
	case purpose == timerRetry && r.waiting && b.now >= max(r.waitUntil, r.notBefore):
		r.waiting = false
		b.route(r)
	}
}

// endRound updates verdicts, rates and weights, and starts the next round.
func (b *Balancer) endRound() {
	b.setTimer(roundInterval, 0, timerRound)
	b.detector.EndRound()
	b.reviewWatched()
	b.updateSendRate()
	// The fraction decays so that probes are trusted again after a while.
	b.falseProbeFraction *= math.Exp2(-float64(roundInterval) / float64(flapPenaltyHalfLife))
	if mean, send := b.quotas.EndRound(); send {
		b.gossip(encodeRateMessage(mean))
	}
	maps.DeleteFunc(b.blamedKeys, func(_ uint32, k *blamedKey) bool { return k.hasExpired(b.now) })
	b.forgetGoneServers()
	b.forgetPenalties()
	b.reviewAssignment()
	b.updateWeights()
	b.logDistrust()
	b.pollIfDue()
}
