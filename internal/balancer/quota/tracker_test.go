package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer/quota"
)

// TestSetRateKeepsFillRatio checks that a bucket has the same ratio of tokens to capacity before and after a change of
// the quota, and that an unchanged quota, one that is not finite, and one of an unknown tenant have no effect.
func TestSetRateKeepsFillRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Float64Range(-1, 1000).Draw(t, "first quota")
		tracker, same := quota.New(2, true), quota.New(2, true)
		for _, b := range []*quota.Tracker{tracker, same} {
			b.Add("acme", start)
			b.Add("other", 7)
		}
		now, rate := time.Duration(0), start
		capacity := func(rate float64) float64 { return max(rate*tracker.ArrivalFraction(now), 3) }
		for range rapid.IntRange(1, 20).Draw(t, "sets") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				tracker.IsOverQuota(now, "acme")
			}
			tracker.SetRate(now, "acme", rate)
			tracker.SetRate(now, "acme", math.NaN())
			tracker.SetRate(now, "acme", math.Inf(1))
			tracker.SetRate(now, "unknown", 5)
			next := rapid.Float64Range(-1, 1000).Draw(t, "quota")
			before, at := tracker.Tokens("acme")
			fullness := min(before+rate*tracker.ArrivalFraction(now)*(now-at).Seconds(), capacity(rate)) / capacity(rate)
			if rate <= 0 {
				fullness = 1
			}
			tracker.SetRate(now, "acme", next)
			if after, at := tracker.Tokens("acme"); next != rate {
				require.Equal(t, now, at)
				require.InDelta(t, fullness*capacity(next), after, 1e-6)
			}
			rate = next
		}
		for i := range 100 { // no call has an effect
			same.SetRate(now+time.Duration(i)*time.Millisecond, "acme", start)
			same.SetRate(now+time.Duration(i)*time.Millisecond, "other", math.NaN())
		}
		fresh := quota.New(2, true)
		fresh.Add("acme", start)
		fresh.Add("other", 7)
		require.Equal(t, fresh, same)
	})
}

// TestSetRateChangesArrivalFraction checks that, without gossip, the agent's fraction follows the sum of the current
// quotas.
func TestSetRateChangesArrivalFraction(t *testing.T) {
	tracker := quota.New(2, false)
	tracker.Add("acme", 10)
	tracker.Add("other", 10)
	for range 10 {
		tracker.IsOverQuota(0, "other")
	}
	tracker.EndRound()
	before := tracker.ArrivalFraction(0)
	tracker.SetRate(0, "acme", 30)
	require.InDelta(t, before/2, tracker.ArrivalFraction(0), 1e-9)
	tracker.SetRate(0, "acme", 10)
	require.InDelta(t, before, tracker.ArrivalFraction(0), 0)
}
