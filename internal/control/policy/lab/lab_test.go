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

// TestMain raises the garbage collector's target, because the simulations allocate much and keep little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel runs two seeds at a time, and calls check for each in order of the seeds, until it returns false.
func inParallel(seeds uint64, run func(seed uint64) *Lab, check func(seed uint64, l *Lab) (more bool)) {
	const width = 2
	for first := uint64(0); first < seeds; first += width {
		var wait sync.WaitGroup
		var labs [width]*Lab
		for i := range labs {
			wait.Go(func() { labs[i] = run(first + uint64(i)) })
		}
		wait.Wait()
		for i, l := range labs {
			if !check(first+uint64(i), l) {
				return
			}
		}
	}
}

// TestPolicyChangesUnderFaults runs scenarios with random faults. It checks that the judge finds no violation, that each
// change is activated or rejected, and that no version is activated that an agent with a lease cannot use.
func TestPolicyChangesUnderFaults(t *testing.T) {
	var longest time.Duration
	var versions, full, all int
	seeds := uint64(1000)
	if os.Getenv("LONG_TESTS") != "" {
		seeds = 20000
	}
	inParallel(seeds, func(seed uint64) *Lab { return RunScenario(seed, 5, "") }, func(seed uint64, l *Lab) bool {
		require.Zero(t, l.Judge.Count, "seed %d: %v", seed, l.Judge.Violations)
		require.Nil(t, l.State().OpenChange, "seed %d: expected no open change at the end", seed)
		require.Zero(t, l.CountUnknownOutcomes(), "seed %d: expected an outcome of each proposal", seed)
		require.Zero(t, l.UnusableActivations, "seed %d: expected each agent with a lease to be able to use the activated version", seed)
		longest = max(longest, l.LongestOpen)
		versions += int(l.State().InForce.Number)
		d := l.Judge.Decisions
		full, all = full+d[policy.ModeFull], all+d[policy.ModeBottom]+d[policy.ModeFloor]+d[policy.ModeFull]
		return true
	})
	t.Logf("longest open %v, versions %d, full %.3f of %d", longest, versions, float64(full)/float64(all), all)
	require.Less(t, longest, 8*time.Second)
	require.Greater(t, versions, int(2*seeds), "expected enough changes for the checks to be meaningful")
	require.Greater(t, float64(full)/float64(all), 0.5, "expected most decisions to be made under a full version")
}

// TestEachProtectionIsNeeded checks that without any one protection a violation is found within 200 seeds.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(string(without), func(t *testing.T) {
			found := false
			inParallel(200, func(seed uint64) *Lab { return RunScenario(seed, 5, without) }, func(seed uint64, l *Lab) bool {
				if found = l.UnusableActivations > 0 && without == withoutRejections; found {
					t.Logf("found by seed %d: an agent with a lease cannot use the activated version", seed)
				}
				for _, v := range l.Judge.Violations {
					if !found && (without != withoutDocumentCheck || v.Mode == policy.ModeFloor) {
						found = true
						t.Logf("found by seed %d: %v", seed, v)
					}
				}
				return !found
			})
			require.True(t, found, "expected a violation within 200 seeds")
		})
	}
}
