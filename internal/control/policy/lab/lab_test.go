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

// TestMain has the garbage collector run less often: little is kept, and much is made on the way.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel plays seeds two at a time, and has each lab checked in order.
func inParallel(seeds uint64, play func(seed uint64) *Lab, check func(seed uint64, l *Lab) (more bool)) {
	const width = 2
	for first := uint64(0); first < seeds; first += width {
		var wait sync.WaitGroup
		var labs [width]*Lab
		for i := range labs {
			wait.Go(func() { labs[i] = play(first + uint64(i)) })
		}
		wait.Wait()
		for i, l := range labs {
			if !check(first+uint64(i), l) {
				return
			}
		}
	}
}

// TestEffectiveEverywhereOrNowhere: whatever goes wrong, no decision breaks a promise, each change comes to an end, and no
// agent that acts has a version activated that it cannot use.
func TestEffectiveEverywhereOrNowhere(t *testing.T) {
	var longest time.Duration
	var versions, full, all int
	seeds := uint64(1000)
	if os.Getenv("LONG_TESTS") != "" {
		seeds = 20000
	}
	inParallel(seeds, func(seed uint64) *Lab { return RunScenario(seed, 5, "") }, func(seed uint64, l *Lab) bool {
		require.Zero(t, l.Judge.Count, "seed %d: %v", seed, l.Judge.Violations)
		require.Nil(t, l.State().OpenChange, "seed %d: the change is still open", seed)
		require.Zero(t, l.Unsettled(), "seed %d", seed)
		require.Zero(t, l.UnusableActivations, "seed %d: an agent that acts cannot use the version", seed)
		longest = max(longest, l.LongestOpen)
		versions += int(l.State().InForce.Number)
		d := l.Judge.Decisions
		full, all = full+d[policy.ModeFull], all+d[policy.ModeBottom]+d[policy.ModeFloor]+d[policy.ModeFull]
		return true
	})
	t.Logf("longest open %v, versions %d, full %.3f of %d", longest, versions, float64(full)/float64(all), all)
	require.Less(t, longest, 8*time.Second)
	require.Greater(t, versions, int(2*seeds), "the property would hold if nothing ever changed")
	require.Greater(t, float64(full)/float64(all), 0.5, "or if no agent ever acted")
}

// TestEachProtectionIsNeeded: each protection that is removed is missed within 200 seeds.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(string(without), func(t *testing.T) {
			found := false
			inParallel(200, func(seed uint64) *Lab { return RunScenario(seed, 5, without) }, func(seed uint64, l *Lab) bool {
				if found = l.UnusableActivations > 0 && without == withoutDecline; found {
					t.Logf("found by seed %d: it takes effect though an agent that acts cannot use it", seed)
				}
				for _, b := range l.Judge.Violations {
					if !found && (without != withoutCheck || b.Mode == policy.ModeFloor) {
						found = true
						t.Logf("found by seed %d: %v", seed, b)
					}
				}
				return !found
			})
			require.True(t, found, "removed, and not missed within 200 seeds")
		})
	}
}
