package compare

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
)

func rounds(r *rand.Rand, n int, service, noise float64) (all []*report.Report) {
	for range n {
		all = append(all, &report.Report{Verdict: judge.Verdict{Service: service + noise*r.NormFloat64()}})
	}
	return all
}

// A difference far beyond the noise is detected; without one, about five in a hundred comparisons report one.
func TestRoundsDetectsDifferencesBeyondNoise(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	falsely := 0
	for range 400 {
		a := rounds(r, 5, 0.9, 0.01)
		if Rounds(a, rounds(r, 5, 0.9, 0.01))[0].Beyond {
			falsely++
		}
		d := Rounds(a, rounds(r, 5, 0.8, 0.01))[0]
		require.True(t, d.Beyond)
		require.InDelta(t, -0.1, d.Change, 0.03)
	}
	require.InDelta(t, 20, falsely, 15)
	require.False(t, Rounds(rounds(r, 1, 0.9, 0), rounds(r, 1, 0.1, 0))[0].Beyond, "the noise is unknown after a single round")
	require.False(t, Rounds(rounds(r, 3, 0.9, 0), rounds(r, 3, 0.9, 0))[0].Beyond)
	require.Empty(t, Rounds(nil, nil))
}
