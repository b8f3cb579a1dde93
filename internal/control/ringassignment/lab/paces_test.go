package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPaceChangeMovesKeysSlowly checks that a kind that becomes half as fast loses a tenth of its points in
// ten minutes, and that nothing changes before, in spite of an agent with false reports and two with few
// requests.
func TestPaceChangeMovesKeysSlowly(t *testing.T) {
	t.Parallel()
	if os.Getenv("MEASURE") != "" {
		for _, minutes := range []time.Duration{5, 15, 25, 35, 45, 55, 65, 75, 95} {
			l, j := RunPaceChange(0, "", minutes*time.Minute)
			t.Logf("after %d minutes %.2f of its keys, paces %v, violations %d and %d", minutes, j.Last/j.First, l.State().Paces,
				j.Count, l.Judge.Count)
		}
	}
	for seed := range uint64(2) {
		l, j := RunPaceChange(seed, "", 14*time.Minute)
		require.Zero(t, j.Count, j.Violations)
		require.Zero(t, l.Judge.Count, l.Judge.Violations)
		require.Len(t, l.State().Paces, 1)
		t.Logf("seed %d: density %.2f of %.2f, paces %v, %d generations", seed, j.Last, j.First, l.State().Paces, l.State().Number)
		require.Less(t, j.Last, 0.87*j.First)
	}
	for _, without := range PaceProtections {
		_, j := RunPaceChange(0, without, time.Second)
		require.NotZero(t, j.Count, without)
		t.Logf("without %s: %s", without, j.Violations[0])
	}
}
