package inflight

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestChargesStayWithinFraction checks for random requests that a server that gets only what its account has credit
// for is never charged more than its fraction with the surplus, plus the maximum credit.
func TestChargesStayWithinFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 2, 20).Draw(t, "sizes")
		sum := 0.0
		for _, size := range sizes {
			sum += size
		}
		var all Accounts
		accounts, sent := make([]Account, len(sizes)), make([]float64, len(sizes))
		for i := range accounts {
			all.Open(&accounts[i], rapid.Float64Range(0, 1).Draw(t, "fraction"))
		}
		forced := make([]float64, len(sizes))
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			at, looked := rapid.IntRange(0, len(sizes)-1).Draw(t, "owner"), 0
			for ; all.Credit(&accounts[at], sizes[at]/sum) < 1 && looked < len(sizes); looked++ {
				at = (at + 1) % len(sizes) // the next owner
			}
			if looked == len(sizes) {
				forced[at]++ // no account has the credit for a request, as at the beginning
			}
			all.RequestSent(&accounts[at], 1)
			sent[at]++
		}
		total := 0.0
		for _, n := range sent {
			total += n
		}
		for i, n := range sent {
			require.LessOrEqual(t, n, creditFactor*sizes[i]/sum*total+maxCredit+forced[i]+1e-9)
		}
	})
}

// TestSlowServerGetsFewerRequests checks that a server that is tried first for each request gets about a third as many
// requests as another one if it takes three times as long, and still fewer if its requests time out.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	for _, tt := range []struct{ took, minShare, maxShare float64 }{{1, 1, 1}, {3, 0.28, 0.55}, {8, 0.1, 0.25}} {
		var all Accounts
		accounts, sent := make([]Account, 10), make([]int, 10)
		for range 20000 {
			at := 0
			for i := range accounts {
				all.Open(&accounts[i], 1)
				if all.Credit(&accounts[i], 0.1) >= 1 {
					at = i
					break
				}
			}
			all.RequestSent(&accounts[at], 1)
			sent[at]++
			took := 0.1
			if at == 0 {
				took *= tt.took
			}
			all.RequestEnded(&accounts[at], took)
		}
		share := float64(sent[0]) / float64(sent[1])
		require.True(t, share >= tt.minShare-0.02 && share <= tt.maxShare+0.02,
			"server that takes %v times as long: share %v", tt.took, share)
	}
}

// TestAccountsStayBounded checks that an invalid time changes nothing, and that neither debt nor credit exceeds its
// limit.
func TestAccountsStayBounded(t *testing.T) {
	var all Accounts
	var a Account
	all.Open(&a, 0.5)
	for _, took := range []float64{0, -1, math.NaN()} {
		all.RequestEnded(&a, took)
	}
	require.InDelta(t, 0.75, all.Credit(&a, 1), 1e-9)
	for range 1000 {
		all.RequestEnded(&a, 1e9)
		all.RequestEnded(&a, 1e-9)
		all.RequestSent(&a, 5)
	}
	require.GreaterOrEqual(t, all.Credit(&a, 0), minCredit)
	var other Account
	all.RequestSent(&other, 1e6)
	require.LessOrEqual(t, all.Credit(&a, 1), maxCredit)
	opened := a
	all.Open(&a, 1)
	require.Equal(t, opened, a, "an account is opened once")
}
