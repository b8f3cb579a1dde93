package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer/quota"
)

// TestSetRateKeepsTheFill: whatever quotas a tenant is given at whatever times, its bucket is as full after each as it was
// before; a quota that is the same, is not a number, or is of an unknown tenant changes nothing at all.
func TestSetRateKeepsTheFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Float64Range(-1, 1000).Draw(t, "first quota")
		tracker, same := quota.New(2, true), quota.New(2, true)
		for _, b := range []*quota.Tracker{tracker, same} {
			b.Add("acme", start)
			b.Add("other", 7)
		}
		now, rate := time.Duration(0), start
		most := func(rate float64) float64 { return max(rate*tracker.ArrivalFraction(now), 3) }
		for range rapid.IntRange(1, 20).Draw(t, "sets") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				tracker.IsOverQuota(now, "acme")
			}
			tracker.SetRate(now, "acme", rate)
			tracker.SetRate(now, "acme", math.NaN())
			tracker.SetRate(now, "acme", math.Inf(1))
			tracker.SetRate(now, "nobody", 5)
			next := rapid.Float64Range(-1, 1000).Draw(t, "quota")
			before, at := tracker.Tokens("acme")
			full := min(before+rate*tracker.ArrivalFraction(now)*(now-at).Seconds(), most(rate)) / most(rate)
			if rate <= 0 {
				full = 1
			}
			tracker.SetRate(now, "acme", next)
			if after, at := tracker.Tokens("acme"); next != rate {
				require.Equal(t, now, at)
				require.InDelta(t, full*most(next), after, 1e-6)
			}
			rate = next
		}
		for i := range 100 { // one that was set to what it had goes on as one that was not
			same.SetRate(now+time.Duration(i)*time.Millisecond, "acme", start)
			same.SetRate(now+time.Duration(i)*time.Millisecond, "other", math.NaN())
		}
		fresh := quota.New(2, true)
		fresh.Add("acme", start)
		fresh.Add("other", 7)
		require.Equal(t, fresh, same)
	})
}

// TestSetRateMovesTheTotal: without gossip, the agent's fraction goes by the quotas as they are now.
func TestSetRateMovesTheTotal(t *testing.T) {
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
