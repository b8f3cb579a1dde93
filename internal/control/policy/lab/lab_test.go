package lab

import (
	"os"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
)

// TestMain: what is kept is small and what is made on the way is much.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel plays seeds two at a time, and has each course looked at in order.
func inParallel(seeds uint64, play func(seed uint64) *Lab, look func(seed uint64, l *Lab) (more bool)) {
	const width = 2
	for first := uint64(0); first < seeds; first += width {
		var wait sync.WaitGroup
		var labs [width]*Lab
		for i := range labs {
			wait.Go(func() { labs[i] = play(first + uint64(i)) })
		}
		wait.Wait()
		for i, l := range labs {
			if !look(first+uint64(i), l) {
				return
			}
		}
	}
}

func TestEverywhereOrNowhere(t *testing.T) {
	var longest time.Duration
	var versions, full, all int
	seeds := uint64(1000)
	if os.Getenv("LONG_TESTS") != "" {
		seeds = 20000
	}
	inParallel(seeds, func(seed uint64) *Lab { return Course(seed, 5, "") }, func(seed uint64, l *Lab) bool {
		require.Zero(t, l.Judge.Count, "seed %d: %v", seed, l.Judge.Violations)
		require.Nil(t, l.State().OpenChange, "seed %d: neither the one end nor the other", seed)
		require.Zero(t, l.Unsettled(), "seed %d", seed)
		require.Zero(t, l.Unfit, "seed %d: an agent that acts cannot use what takes hold", seed)
		longest = max(longest, l.Longest)
		versions += int(l.State().InForce.Number)
		d := l.Judge.Decisions
		full, all = full+d[policy.ModeFull], all+d[policy.ModeBottom]+d[policy.ModeFloor]+d[policy.ModeFull]
		return true
	})
	t.Logf("longest open %v, versions %d, full %.3f of %d", longest, versions, float64(full)/float64(all), all)
	require.Less(t, longest, 8*time.Second)
	require.Greater(t, versions, int(2*seeds), "the property would hold if nothing ever changed")
	require.Greater(t, float64(full)/float64(all), 0.5, "or if nobody ever acted")
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections {
		t.Run(without, func(t *testing.T) {
			found := false
			inParallel(200, func(seed uint64) *Lab { return Course(seed, 5, without) }, func(seed uint64, l *Lab) bool {
				if found = l.Unfit > 0 && without == "decline"; found {
					t.Logf("found by seed %d: it takes hold though an agent that acts cannot use it", seed)
				}
				for _, b := range l.Judge.Violations {
					if !found && (without != "check" || b.Mode == policy.ModeFloor) {
						found = true
						t.Logf("found by seed %d: %v", seed, b)
					}
				}
				return !found
			})
			require.True(t, found, "taken out, and not found within 200 seeds")
		})
	}
}
