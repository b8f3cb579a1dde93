package probation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever comes of the attempts: no more are out than there is room for, a server that never answered has room
// for no more than it began with, what must not run twice goes only where something was answered, and only
// answers prove a server.
func TestRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trust := rapid.Float64Range(0, 1).Draw(t, "trust")
		s, now, out, answered, failed := NewServer(trust), time.Duration(0), 0, 0, time.Duration(-1)
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "pass")
			careful := rapid.Bool().Draw(t, "careful")
			if s.HasCapacity(now, careful) {
				require.False(t, careful && answered == 0)
				require.False(t, answered == 0 && failed >= 0 && now < failed+minHold, "left alone at first")
				s.AttemptSent()
				out++
				require.LessOrEqual(t, out, trustedStartLimit<<answered)
			}
			if out == 0 || rapid.Bool().Draw(t, "wait") {
				continue
			}
			end := rapid.SampledFrom([]Outcome{NoEvidence, Served, Rejected, Failed}).Draw(t, "end")
			proved := s.AttemptEnded(now, end)
			out--
			switch end {
			case Served:
				answered++
			case Failed:
				failed = now
			}
			require.False(t, proved && answered < 2)
			if proved {
				return
			}
		}
	})
}

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

func TestTrust(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 1}, {5 * time.Minute, 0.5}, {10 * time.Minute, 0}, {7 * 24 * time.Hour, 0}, {-1, 0}} {
		require.InDelta(t, c.want, Trust(c.age, 10*time.Minute), 1e-9, c.age)
	}
	require.Equal(t, 200*time.Millisecond, TrialTimeout(500*time.Millisecond, 0))
	require.Equal(t, 240*time.Millisecond, TrialTimeout(500*time.Millisecond, 60*time.Millisecond))
	require.Equal(t, 250*time.Millisecond, TrialTimeout(500*time.Millisecond, time.Second))
	require.Equal(t, 100*time.Millisecond, WaitTime(500*time.Millisecond, 1))
	require.Equal(t, 200*time.Millisecond, WaitTime(500*time.Millisecond, 0))
}
