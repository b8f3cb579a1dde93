package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Until something is known of a new server it is taken for a usual one under load: not for the fastest, or it would at once
// get all that the others have no capacity for.
func TestNewServerIsTakenForAUsualOne(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.now, b.meanLatency, b.baseline.seconds, b.typicalInFlight = time.Second, 0.1, 0.03, 2
	s := b.ring.Members()[0]
	s.silentSince = b.now
	assert.Less(t, b.expectedLatency(s), 0.1)
	s.inFlight = 12
	assert.Greater(t, b.expectedLatency(s), 0.3)
	s.inFlight, b.meanLatency = 0, 0.4
	assert.Less(t, b.expectedLatency(s), 0.1, "where all are slow a new one would never be tried")
}

// A latency seen with much in flight does not keep a server idle: with nothing in flight the queue's part is taken off,
// and what was seen decays within a few objectives.
func TestLatencyWithoutTheQueueThatCausedIt(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.now, b.baseline.seconds = time.Minute, 0.05
	s := b.ring.Members()[0]
	s.latency, s.latencyInFlight, s.latencyAt = 0.3, 18, b.now
	empty := b.expectedLatency(s)
	s.inFlight, s.silentSince = 18, b.now
	if full := b.expectedLatency(s); empty > 0.15 || full < 0.3 {
		t.Errorf("%.3f s expected with nothing in flight, %.3f s with as many as before", empty, full)
	}
	s.inFlight, s.latencyInFlight = 0, 1
	b.now += b.observationHalfLife
	if got := b.expectedLatency(s); b.observationHalfLife != maxObservationHalfLife || math.Abs(got-0.175) > 0.001 {
		t.Errorf("%.3f s after %v", got, b.observationHalfLife)
	}
}

func TestNoClassAcceptsMoreLatencyThanTheMostValuable(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(3))
	for name, c := range b.classes {
		if c.latencyLimit > b.classes["unsafe"].latencyLimit {
			t.Errorf("%s accepts %v s, the most valuable %v", name, c.latencyLimit, b.classes["unsafe"].latencyLimit)
		}
	}
}

// Where the tail counts, the limit follows the ratio of permitted misses; invalid weights leave the usual limit.
func TestLatencyLimitByTailMissRatio(t *testing.T) {
	for _, c := range []struct{ slowEnd, miss, want float64 }{
		{0, 0, maxLatencyFraction},
		{0, 0.02, maxLatencyFraction},
		{0.4, 0.02, 1 / math.Log(50)},
		{0.4, 0, maxLatencyFraction},
		{0.4, 1, maxLatencyFraction},
		{0.4, 0.5, maxLatencyFraction},
	} {
		set := testSettings()
		set.ScoreWeights.TailLatency, set.ScoreWeights.TailMissRatio = c.slowEnd, c.miss
		if b := newStarted(t, set, serverList(2)); math.Abs(b.latencyLimitFraction-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, b.latencyLimitFraction)
		}
	}
}
