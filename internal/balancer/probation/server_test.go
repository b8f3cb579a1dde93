package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestServerLimits checks for random outcomes that attempts in flight stay within the limit, that a server that has not
// responded keeps its first limit and gets no request that needs an answering server, and that only responses prove a
// server.
func TestServerLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trust := rapid.Float64Range(0, 1).Draw(t, "trust")
		s, now, inFlight, answered, failedAt := NewServer(trust), time.Duration(0), 0, 0, time.Duration(-1)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "elapsed")
			needsAnswering := rapid.Bool().Draw(t, "needs answering")
			if s.HasCapacity(now, needsAnswering) {
				require.False(t, needsAnswering && answered == 0)
				require.False(t, answered == 0 && failedAt >= 0 && now < failedAt+minHold,
					"the server is avoided after its first failure")
				s.AttemptSent()
				inFlight++
				require.LessOrEqual(t, inFlight, trustedStartLimit<<answered)
			}
			if inFlight == 0 || rapid.Bool().Draw(t, "wait") {
				continue
			}
			outcome := rapid.SampledFrom([]Outcome{NoEvidence, Served, Rejected, Failed}).Draw(t, "outcome")
			proved := s.AttemptEnded(now, outcome)
			inFlight--
			switch outcome {
			case Served:
				answered++
			case Failed:
				failedAt = now
			}
			require.False(t, proved && answered < 2)
			if proved {
				return
			}
		}
	})
}

// TestFailingServerIsAvoided checks that a server that does not respond is avoided, each time for longer, and that a
// server that has responded is avoided after maxFailures failures in a row.
func TestFailingServerIsAvoided(t *testing.T) {
	s, now := NewServer(0), time.Duration(0)
	for _, hold := range []time.Duration{1, 2, 4, 8, 8} {
		require.True(t, s.HasCapacity(now, false))
		s.AttemptSent()
		require.False(t, s.HasCapacity(now, false), "the first limit is one attempt in flight")
		s.AttemptEnded(now, Failed)
		require.False(t, s.MayHaveCapacity(now+hold*time.Second))
		require.True(t, s.MayHaveCapacity(now+hold*time.Second+1))
		now += hold * time.Second
	}
	for n := 1; ; n++ {
		s.AttemptSent()
		if s.AttemptEnded(now, Served) {
			require.Equal(t, 4, n)
			break
		}
		require.True(t, s.IsAnswering())
	}
	s = NewServer(0) // a server that has responded
	s.AttemptSent()
	s.AttemptEnded(now, Served)
	for range maxFailures {
		require.True(t, s.IsAnswering())
		s.AttemptSent()
		s.AttemptEnded(now, Failed)
	}
	require.False(t, s.IsAnswering())
	require.False(t, s.HasCapacity(now, false))
}

// TestTrustAndTimes checks the trust by age, the timeouts at unproven servers and the wait times.
func TestTrustAndTimes(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		want float64
	}{{0, 1}, {5 * time.Minute, 0.5}, {10 * time.Minute, 0}, {7 * 24 * time.Hour, 0}, {-1, 0}} {
		require.InDelta(t, tt.want, Trust(tt.age, 10*time.Minute), 1e-9, tt.age)
	}
	require.Equal(t, 200*time.Millisecond, UnprovenTimeout(500*time.Millisecond, 0))
	require.Equal(t, 240*time.Millisecond, UnprovenTimeout(500*time.Millisecond, 60*time.Millisecond))
	require.Equal(t, 250*time.Millisecond, UnprovenTimeout(500*time.Millisecond, time.Second))
	require.Equal(t, 100*time.Millisecond, WaitTime(500*time.Millisecond, 1))
	require.Equal(t, 200*time.Millisecond, WaitTime(500*time.Millisecond, 0))
}

// TestHedgingAndTimeout checks that a request is hedged, and its attempt given a part of its time, only if it is
// idempotent, can be retried or hedged, and goes to a server that has not responded.
func TestHedgingAndTimeout(t *testing.T) {
	base := Request{LatencyObjective: 500 * ms, Idempotent: true, MayHedge: true, MaxAttempts: 3}
	untested, answering := NewServer(0), NewServer(0)
	answering.AttemptSent()
	answering.AttemptEnded(0, Served)
	require.True(t, untested.ShouldHedge(base))
	require.Equal(t, 200*ms, untested.AttemptTimeout(base, time.Second, 0))
	require.Equal(t, 100*ms, untested.AttemptTimeout(base, 100*ms, 0))
	require.False(t, answering.ShouldHedge(base))
	require.Equal(t, time.Second, answering.AttemptTimeout(base, time.Second, 0))
	for name, change := range map[string]func(*Request){
		"not idempotent": func(r *Request) { r.Idempotent = false }, "no hedging": func(r *Request) { r.MayHedge = false },
		"second attempt": func(r *Request) { r.Attempts = 1 }, "one attempt": func(r *Request) { r.MaxAttempts = 1 },
	} {
		r := base
		change(&r)
		require.False(t, untested.ShouldHedge(r), name)
	}
	last := base
	last.Attempts = 2
	require.Equal(t, time.Second, untested.AttemptTimeout(last, time.Second, 0), "the last attempt gets all of its time")
}
