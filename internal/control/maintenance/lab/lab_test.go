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

// TestMain has the garbage collector run less often: little is kept, and much is made on the way.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel plays weeks two at a time, and has each checked in order.
func inParallel(from, to uint64, play func(seed uint64) *Lab, check func(seed uint64, l *Lab) (more bool)) {
	const width = 2
	for first := from; first < to; first += width {
		var wait sync.WaitGroup
		labs := make([]*Lab, min(width, to-first))
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

// TestWeeks: whatever goes wrong, no request breaks a promise, and each window comes to an end.
func TestWeeks(t *testing.T) {
	rows := []hunting.Row{{Agents: 5, To: 24}}
	if os.Getenv("LONG_TESTS") != "" {
		rows = []hunting.Row{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectRows(rows) {
		t.Run(fmt.Sprint(r.Agents, " agents"), func(t *testing.T) { hunt(t, r) })
	}
}

// setup is a week of a fleet, or some nights of it.
func setup(agents int) Setup {
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

// hunt plays the weeks of a row.
func hunt(t *testing.T, r hunting.Row) {
	set, seeds := setup(r.Agents), r.To-r.From
	var accepted, freed, back, moved, arrived, requests, first int
	refused, reasons := map[string]int{}, map[string]int{}
	began := time.Now()
	inParallel(r.From, r.To, func(seed uint64) *Lab {
		return PlayWeek(Setup{Seed: seed, Agents: set.Agents, Days: set.Days, Keys: set.Keys})
	},
		func(seed uint64, l *Lab) bool {
			require.Zero(t, l.Judge.Count, "seed %d, %v: %v", seed, l.focus, l.Judge.Violations)
			for _, w := range l.windows() {
				require.Contains(t, []maintenance.State{maintenance.Ended, maintenance.Stopped}, w.State, "seed %d", seed)
			}
			accepted, freed, back = accepted+l.Accepted, freed+l.Freed, back+l.ReturnedEarly
			moved, arrived, requests, first = moved+l.Judge.ExcludedRequests, arrived+l.Judge.RequestsWhileFree, requests+l.Requests, first+l.ExclusionOverrides
			for r, n := range l.Rejected {
				refused[r] += n
			}
			for r, n := range l.Reasons {
				reasons[r] += n
			}
			r.Log(t, seed, "%v: %d windows, %d free, %d back, %d of %d requests kept off, %d while free, %d first", l.focus,
				l.Accepted, l.Freed, l.ReturnedEarly, l.Judge.ExcludedRequests, l.Requests, l.Judge.RequestsWhileFree, l.ExclusionOverrides)
			return true
		})
	t.Logf("%d agents, %d courses of %d nights from seed %d in %v: %d windows, %d free, %d back early; of %d requests %d were kept off, %d fell while a node "+
		"was free, %d were served first", r.Agents, seeds, set.Days, r.From, time.Since(began), accepted, freed, back, requests, moved, arrived, first)
	t.Logf("refused: %v, paused or returned: %v", refused, reasons)
	require.GreaterOrEqual(t, len(reasons), 3, "or if nothing ever went wrong")
	require.Greater(t, freed, int(seeds)/2, "the property would hold if nothing were ever free")
	require.Greater(t, moved, 1000)
	require.Positive(t, first)
}

// expectedViolations are in the reason of a violation where a protection is removed.
var expectedViolations = map[Protection]string{
	withoutNotice: "arrives", withoutOwnClock: "arrives", withoutFence: "arrives", withoutLinger: "arrives",
	withoutContract: "hours", withoutTurns: "arrives", withoutEarlyReturn: "no window holds", withoutBegin: "serving goes first",
	withoutStrangers: "arrives",
}

// TestEachProtectionIsNeeded: each protection that is removed is missed within 200 seeds.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(string(without), func(t *testing.T) {
			found := false
			inParallel(0, 200, func(seed uint64) *Lab { return PlayWeek(Setup{Seed: seed, Agents: 5, Days: 2, Without: without}) },
				func(seed uint64, l *Lab) bool {
					for _, b := range l.Judge.Violations {
						if !found && strings.Contains(b.Reason, expectedViolations[without]) {
							found = true
							t.Logf("found by seed %d, %v: %v", seed, l.focus, b)
						}
					}
					return !found
				})
			require.True(t, found, "removed, and not missed within 200 seeds")
		})
	}
}
