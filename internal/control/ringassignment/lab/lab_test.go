package lab

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/hunting"
)

// TestMain raises the garbage collector's target, because the simulations allocate much and keep little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// inParallel runs three seeds at a time, and calls check for each in order of the seeds, until it returns false.
func inParallel(from, to uint64, run func(seed uint64) *Lab, check func(seed uint64, l *Lab) (more bool)) {
	const width = 3
	for first := from; first < to; first += width {
		var wait sync.WaitGroup
		labs := make([]*Lab, min(width, to-first))
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

// searchSeeds runs the scenario of each seed of a range and checks it.
func searchSeeds(t *testing.T, r hunting.SeedRange) {
	var behind [3]int
	generations := 0
	run := func(seed uint64) *Lab { return RunScenario(seed, r.Agents, "") }
	inParallel(r.From, r.To, run, func(seed uint64, l *Lab) bool {
		require.Zero(t, l.Judge.Count, "seed %d: %v", seed, l.Judge.Violations)
		require.Empty(t, l.CheckSettled(), "seed %d", seed)
		generations += int(l.State().Number)
		for i, n := range l.Judge.SamplesBehind {
			behind[i] += n
		}
		r.Log(t, seed, "%d generations, behind %v, moved %v", l.State().Number, l.Judge.SamplesBehind, totalMoved(l))
		return true
	})
	t.Logf("%d agents, seeds %d to %d: %d generations; samples with a lease by number of generations behind: %v", r.Agents, r.From,
		r.To-1, generations, behind)
	require.Greater(t, generations, 5*int(r.To-r.From), "expected enough generations for the checks to be meaningful")
	require.Zero(t, behind[2])
	require.NotZero(t, behind[1])
}

// totalMoved returns the sum over all agents of the fractions of keys that moved.
func totalMoved(l *Lab) (sum float64) {
	for agent := range l.nodes {
		sum += l.Judge.Moved[agent] + l.Judge.Needed[agent]
	}
	return sum
}

// TestRingRulesUnderFaults runs scenarios with random faults. It checks that the judge finds no violation,
// and that all agents use a complete generation in the end.
func TestRingRulesUnderFaults(t *testing.T) {
	t.Parallel()
	ranges := []hunting.SeedRange{{Agents: 5, To: 12}, {Agents: 50, To: 1}}
	if os.Getenv("LONG_TESTS") != "" {
		ranges = []hunting.SeedRange{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectSeedRanges(ranges) {
		t.Run(fmt.Sprint(r.Agents, " agents"), func(t *testing.T) { searchSeeds(t, r) })
	}
}

// foundByFewSeeds are the protections whose absence a few seeds find. TestEventsMoveFewKeys covers the
// others.
var foundByFewSeeds = map[string]bool{
	"outstanding": true, "begin": true, "fence": true, "bound": true, "own list": true,
	"warmth": true, "emptied": true, "stays": true,
}

// TestEachProtectionIsNeeded checks that without any one protection a violation is found within 200 seeds.
func TestEachProtectionIsNeeded(t *testing.T) {
	t.Parallel()
	for _, without := range Protections {
		if !foundByFewSeeds[without] && os.Getenv("LONG_TESTS") == "" {
			continue
		}
		t.Run(without, func(t *testing.T) {
			found := false
			inParallel(0, 200, func(seed uint64) *Lab { return RunScenario(seed, 5, without) }, func(seed uint64, l *Lab) bool {
				if found = l.Judge.Count > 0; found {
					t.Logf("found by seed %d: %v", seed, l.Judge.Violations[0])
				}
				return !found
			})
			require.True(t, found, "expected a violation within 200 seeds")
		})
	}
}
