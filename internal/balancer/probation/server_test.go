package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestServerLimits: whatever comes of the attempts, no more are in flight than the limit; a server that never responded
// keeps to its first limit; what needs an answering server goes to no other; and only responses prove a server.
func TestServerLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trust := rapid.Float64Range(0, 1).Draw(t, "trust")
		s, now, inFlight, answered, failedAt := NewServer(trust), time.Duration(0), 0, 0, time.Duration(-1)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "pass")
			needsAnswering := rapid.Bool().Draw(t, "needs answering")
			if s.HasCapacity(now, needsAnswering) {
				require.False(t, needsAnswering && answered == 0)
				require.False(t, answered == 0 && failedAt >= 0 && now < failedAt+minHold, "left alone at first")
				s.AttemptSent()
				inFlight++
				require.LessOrEqual(t, inFlight, trustedStartLimit<<answered)
			}
			if inFlight == 0 || rapid.Bool().Draw(t, "wait") {
				continue
			}
			end := rapid.SampledFrom([]Outcome{NoEvidence, Served, Rejected, Failed}).Draw(t, "end")
			proved := s.AttemptEnded(now, end)
			inFlight--
			switch end {
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

// TestHold: a server that does not respond is left alone, longer each time; one that has may fail some times in a row.
func TestHold(t *testing.T) {
	s, now := NewServer(0), time.Duration(0)
	for _, hold := range []time.Duration{1, 2, 4, 8, 8} {
		require.True(t, s.HasCapacity(now, false))
		s.AttemptSent()
		require.False(t, s.HasCapacity(now, false), "one at a time")
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
	s = NewServer(0) // one that has answered may fail, but not again and again
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

// TestTrust: trust by age, and the times that follow from it.
func TestTrust(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		want float64
	}{{0, 1}, {5 * time.Minute, 0.5}, {10 * time.Minute, 0}, {7 * 24 * time.Hour, 0}, {-1, 0}} {
		require.InDelta(t, tt.want, Trust(tt.age, 10*time.Minute), 1e-9, tt.age)
	}
	require.Equal(t, 200*time.Millisecond, TrialTimeout(500*time.Millisecond, 0))
	require.Equal(t, 240*time.Millisecond, TrialTimeout(500*time.Millisecond, 60*time.Millisecond))
	require.Equal(t, 250*time.Millisecond, TrialTimeout(500*time.Millisecond, time.Second))
	require.Equal(t, 100*time.Millisecond, WaitTime(500*time.Millisecond, 1))
	require.Equal(t, 200*time.Millisecond, WaitTime(500*time.Millisecond, 0))
}

// TestFirstAttempt: a request is hedged, and its attempt given a part of its time, only where that does no harm.
func TestFirstAttempt(t *testing.T) {
	most := Request{LatencyObjective: 500 * ms, Idempotent: true, MayHedge: true, MaxAttempts: 3}
	silent, answers := NewServer(0), NewServer(0)
	answers.AttemptSent()
	answers.AttemptEnded(0, Served)
	require.True(t, silent.ShouldHedge(most))
	require.Equal(t, 200*ms, silent.AttemptTimeout(most, time.Second, 0))
	require.Equal(t, 100*ms, silent.AttemptTimeout(most, 100*ms, 0))
	require.False(t, answers.ShouldHedge(most))
	require.Equal(t, time.Second, answers.AttemptTimeout(most, time.Second, 0))
	for what, change := range map[string]func(*Request){
		"not idempotent": func(r *Request) { r.Idempotent = false }, "no hedging": func(r *Request) { r.MayHedge = false },
		"second attempt": func(r *Request) { r.Attempts = 1 }, "one attempt": func(r *Request) { r.MaxAttempts = 1 },
	} {
		r := most
		change(&r)
		require.False(t, silent.ShouldHedge(r), what)
	}
	last := most
	last.Attempts = 2
	require.Equal(t, time.Second, silent.AttemptTimeout(last, time.Second, 0), "the last attempt has all its time")
}
