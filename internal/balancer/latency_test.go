package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a new server getting at once all requests that the others have no capacity for. Until its latency is
// measured, it is expected to be as slow under load as the other servers, not to be the fastest.
func TestNewServerIsExpectedToBeAverageUnderLoad(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.now, b.meanLatency, b.baseline.seconds, b.typicalInFlight = time.Second, 0.1, 0.03, 2
	s := b.ring.Members()[0]
	s.silentSince = b.now
	assert.Less(t, b.expectedLatency(s), 0.1)
	s.inFlight = 12
	assert.Greater(t, b.expectedLatency(s), 0.3)
	s.inFlight, b.meanLatency = 0, 0.4
	assert.Less(t, b.expectedLatency(s), 0.1, "an idle new server must look fast even if all others are slow, or it would never be tried")
}

// Guards against a latency that was measured with many requests in flight keeping a server idle. With none in flight the
// queueing time is subtracted, and the latency decays within a few latency objectives.
func TestExpectedLatencyDropsWithTheQueue(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.now, b.baseline.seconds = time.Minute, 0.05
	s := b.ring.Members()[0]
	s.latency, s.latencyInFlight, s.latencyAt = 0.3, 18, b.now
	empty := b.expectedLatency(s)
	s.inFlight, s.silentSince = 18, b.now
	if full := b.expectedLatency(s); empty > 0.15 || full < 0.3 {
		t.Errorf("expected latency: %.3f s with nothing in flight, %.3f s with as many in flight as before", empty, full)
	}
	s.inFlight, s.latencyInFlight = 0, 1
	b.now += b.observationHalfLife
	if got := b.expectedLatency(s); b.observationHalfLife != maxObservationHalfLife || math.Abs(got-0.175) > 0.001 {
		t.Errorf("expected latency %.3f s after %v, want 0.175 s", got, b.observationHalfLife)
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

// If tail latency counts in the score, the latency limit depends on the permitted miss ratio. Other ratios leave it at
// maxLatencyFraction.
func TestLatencyLimitByTailMissRatio(t *testing.T) {
	for _, c := range []struct{ tailWeight, missRatio, want float64 }{
		{0, 0, maxLatencyFraction},
		{0, 0.02, maxLatencyFraction},
		{0.4, 0.02, 1 / math.Log(50)},
		{0.4, 0, maxLatencyFraction},
		{0.4, 1, maxLatencyFraction},
		{0.4, 0.5, maxLatencyFraction},
	} {
		set := testSettings()
		set.ScoreWeights.TailLatency, set.ScoreWeights.TailMissRatio = c.tailWeight, c.missRatio
		if b := newStarted(t, set, serverList(2)); math.Abs(b.latencyLimitFraction-c.want) > 1e-9 {
			t.Errorf("%+v: %v", c, b.latencyLimitFraction)
		}
	}
}
