package lab

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/fleet/hunting"
)

// TestMain raises the garbage collector's target, because the simulations allocate much and keep little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel runs two seeds at a time, and calls check for each in order of the seeds, until it returns false.
func inParallel(from, to uint64, run func(seed uint64) *Lab, check func(seed uint64, l *Lab) (more bool)) {
	const width = 2
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

// TestWindowsUnderFaults runs weeks with random faults. It checks that the judge finds no violation, and that each window
// ends or is stopped.
func TestWindowsUnderFaults(t *testing.T) {
	ranges := []hunting.SeedRange{{Agents: 5, To: 24}}
	if os.Getenv("LONG_TESTS") != "" {
		ranges = []hunting.SeedRange{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectSeedRanges(ranges) {
		t.Run(fmt.Sprint(r.Agents, " agents"), func(t *testing.T) { searchSeeds(t, r) })
	}
}

// weekSetup returns the setup for a fleet of a size: a week, or some nights of it for large fleets and short tests.
func weekSetup(agents int) Setup {
	switch {
	case agents >= 300:
		return Setup{Agents: agents, Days: 1, Keys: 6}
	case agents >= 50:
		return Setup{Agents: agents, Days: 2, Keys: 10}
	case os.Getenv("LONG_TESTS") != "":
		return Setup{Agents: agents, Days: 7}
	}
	return Setup{Agents: agents, Days: 2}
}

// searchSeeds runs the week of each seed of a range and checks it.
func searchSeeds(t *testing.T, r hunting.SeedRange) {
	setup, seeds := weekSetup(r.Agents), r.To-r.From
	var accepted, freed, returnedEarly, excluded, whileFree, requests, overrides int
	rejected, reasons := map[string]int{}, map[string]int{}
	started := time.Now()
	inParallel(r.From, r.To, func(seed uint64) *Lab {
		return RunWeek(Setup{Seed: seed, Agents: setup.Agents, Days: setup.Days, Keys: setup.Keys})
	},
		func(seed uint64, l *Lab) bool {
			require.Zero(t, l.Judge.Count, "seed %d, %v: %v", seed, l.focus, l.Judge.Violations)
			for _, w := range l.windows() {
				require.Contains(t, []maintenance.State{maintenance.Ended, maintenance.Stopped}, w.State, "seed %d: expected each window to be over", seed)
			}
			accepted, freed, returnedEarly = accepted+l.Accepted, freed+l.Freed, returnedEarly+l.ReturnedEarly
			excluded, whileFree, requests, overrides = excluded+l.Judge.ExcludedRequests, whileFree+l.Judge.RequestsWhileFree, requests+l.Requests, overrides+l.ExclusionOverrides
			for r, n := range l.Rejected {
				rejected[r] += n
			}
			for r, n := range l.Reasons {
				reasons[r] += n
			}
			r.Log(t, seed, "%v: %d windows, %d free, %d returned early, %d of %d requests excluded, %d while free, %d overrides", l.focus,
				l.Accepted, l.Freed, l.ReturnedEarly, l.Judge.ExcludedRequests, l.Requests, l.Judge.RequestsWhileFree, l.ExclusionOverrides)
			return true
		})
	t.Logf("%d agents, %d runs of %d nights from seed %d in %v: %d windows, %d free, %d returned early; of %d requests %d were excluded, %d arrived while a "+
		"window was free, %d overrode exclusions", r.Agents, seeds, setup.Days, r.From, time.Since(started), accepted, freed, returnedEarly, requests, excluded, whileFree, overrides)
	t.Logf("rejected: %v, paused or returned: %v", rejected, reasons)
	require.GreaterOrEqual(t, len(reasons), 3, "expected at least 3 kinds of faults")
	require.Greater(t, freed, int(seeds)/2, "expected enough free windows for the checks to be meaningful")
	require.Greater(t, excluded, 1000)
	require.Positive(t, overrides)
}

// expectedViolations are parts of the reason of a violation that is found without a protection.
var expectedViolations = map[Protection]string{
	withoutNotice: "arrives", withoutOwnClock: "arrives", withoutFence: "arrives", withoutInFlightWait: "arrives",
	withoutContract: "hours", withoutTurns: "arrives", withoutEarlyReturn: "is in no window", withoutStartTime: "override its exclusions",
	withoutSilentAgentCheck: "arrives",
}

// TestEachProtectionIsNeeded checks that without any one protection the expected violation is found within 200 seeds.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(string(without), func(t *testing.T) {
			found := false
			inParallel(0, 200, func(seed uint64) *Lab { return RunWeek(Setup{Seed: seed, Agents: 5, Days: 2, Without: without}) },
				func(seed uint64, l *Lab) bool {
					for _, v := range l.Judge.Violations {
						if !found && strings.Contains(v.Reason, expectedViolations[without]) {
							found = true
							t.Logf("found by seed %d, %v: %v", seed, l.focus, v)
						}
					}
					return !found
				})
			require.True(t, found, "expected a violation within 200 seeds")
		})
	}
}
