package inflight

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestChargedNoMoreThanItsFraction: whatever comes, in whatever order and however long it takes, a server that is only sent
// what its account has credit for is never charged more than its fraction, with a little in addition, and what may be
// saved up.
func TestChargedNoMoreThanItsFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.Float64Range(0.01, 1), 2, 20).Draw(t, "sizes")
		sum := 0.0
		for _, p := range parts {
			sum += p
		}
		var all Accounts
		accounts, sent := make([]Account, len(parts)), make([]float64, len(parts))
		for i := range accounts {
			all.Open(&accounts[i], rapid.Float64Range(0, 1).Draw(t, "fraction"))
		}
		forced := make([]float64, len(parts))
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			at, looked := rapid.IntRange(0, len(parts)-1).Draw(t, "owner"), 0
			for ; all.Credit(&accounts[at], parts[at]/sum) < 1 && looked < len(parts); looked++ {
				at = (at + 1) % len(parts) // to the next owner
			}
			if looked == len(parts) {
				forced[at]++ // as at the beginning, when no account has a whole request
			}
			all.RequestSent(&accounts[at], 1)
			sent[at]++
		}
		total := 0.0
		for _, n := range sent {
			total += n
		}
		for i, n := range sent {
			require.LessOrEqual(t, n, creditFactor*parts[i]/sum*total+maxCredit+forced[i]+1e-9)
		}
	})
}

// TestSlowServersGetLess: a server that takes three times as long gets about a third of what would all go to it; one whose
// requests time out gets less still.
func TestSlowServersGetLess(t *testing.T) {
	for _, tt := range []struct{ took, least, most float64 }{{1, 1, 1}, {3, 0.28, 0.55}, {8, 0.1, 0.25}} {
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
		require.True(t, share >= tt.least-0.02 && share <= tt.most+0.02, "%v times as long: %v", tt.took, share)
	}
}

// TestAccountsStayBounded: a time that cannot be changes nothing, and neither debts nor savings grow without bound.
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
