package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer/quota"
)

// Whatever shares a tenant is given at whatever times, its bucket is as full after each as it was before, and a
// share that is the same, is not a number, or is of a tenant that nobody knows, changes nothing at all.
func TestSetKeepsTheFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Float64Range(-1, 1000).Draw(t, "first share")
		book, same := quota.New(2, true), quota.New(2, true)
		for _, b := range []*quota.Tracker{book, same} {
			b.Add("acme", start)
			b.Add("other", 7)
		}
		now, rate := time.Duration(0), start
		most := func(share float64) float64 { return max(share*book.ArrivalFraction(now), 3) }
		for range rapid.IntRange(1, 20).Draw(t, "sets") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				book.IsOverQuota(now, "acme")
			}
			book.SetRate(now, "acme", rate)
			book.SetRate(now, "acme", math.NaN())
			book.SetRate(now, "acme", math.Inf(1))
			book.SetRate(now, "nobody", 5)
			share := rapid.Float64Range(-1, 1000).Draw(t, "share")
			before, at := book.Tokens("acme")
			full := min(before+rate*book.ArrivalFraction(now)*(now-at).Seconds(), most(rate)) / most(rate)
			if rate <= 0 {
				full = 1
			}
			book.SetRate(now, "acme", share)
			if after, at := book.Tokens("acme"); share != rate {
				require.Equal(t, now, at)
				require.InDelta(t, full*most(share), after, 1e-6)
			}
			rate = share
		}
		for i := range 100 { // one that was told what it knew goes on as one that was told nothing
			same.SetRate(now+time.Duration(i)*time.Millisecond, "acme", start)
			same.SetRate(now+time.Duration(i)*time.Millisecond, "other", math.NaN())
		}
		fresh := quota.New(2, true)
		fresh.Add("acme", start)
		fresh.Add("other", 7)
		require.Equal(t, fresh, same)
	})
}

// Where balancers do not tell one another of their arrivals, this one's part goes by the shares as they are now.
func TestSetMovesTheTotal(t *testing.T) {
	book := quota.New(2, false)
	book.Add("acme", 10)
	book.Add("other", 10)
	for range 10 {
		book.IsOverQuota(0, "other")
	}
	book.EndRound()
	before := book.ArrivalFraction(0)
	book.SetRate(0, "acme", 30)
	require.InDelta(t, before/2, book.ArrivalFraction(0), 1e-9)
	book.SetRate(0, "acme", 10)
	require.Equal(t, before, book.ArrivalFraction(0))
}
