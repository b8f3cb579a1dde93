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

// TestMain: what is kept is small and what is made on the way is much.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// inParallel plays weeks two at a time, and has each looked at in order.
func inParallel(from, to uint64, play func(seed uint64) *Lab, look func(seed uint64, l *Lab) (more bool)) {
	const width = 2
	for first := from; first < to; first += width {
		var wait sync.WaitGroup
		labs := make([]*Lab, min(width, to-first))
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

func hunt(t *testing.T, r hunting.Row) {
	set, seeds := setup(r.Agents), r.To-r.From
	var accepted, freed, back, moved, arrived, requests, first int
	refused, reasons := map[string]int{}, map[string]int{}
	began := time.Now()
	inParallel(r.From, r.To, func(seed uint64) *Lab {
		return Week(Setup{Seed: seed, Agents: set.Agents, Days: set.Days, Keys: set.Keys})
	},
		func(seed uint64, l *Lab) bool {
			require.Zero(t, l.Judge.Count, "seed %d, %v: %v", seed, l.theme, l.Judge.Violations)
			for _, w := range l.windows() {
				require.Contains(t, []maintenance.State{maintenance.Ended, maintenance.Stopped}, w.State, "seed %d", seed)
			}
			accepted, freed, back = accepted+l.Accepted, freed+l.Freed, back+l.Back
			moved, arrived, requests, first = moved+l.Judge.ExcludedRequests, arrived+l.Judge.RequestsWhileFree, requests+l.Requests, first+l.First
			for r, n := range l.Refused {
				refused[r] += n
			}
			for r, n := range l.Reasons {
				reasons[r] += n
			}
			r.Log(t, seed, "%v: %d windows, %d free, %d back, %d of %d requests kept off, %d while free, %d first", l.theme,
				l.Accepted, l.Freed, l.Back, l.Judge.ExcludedRequests, l.Requests, l.Judge.RequestsWhileFree, l.First)
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

// breaks is what the judge says where a protection is taken out.
var breaks = map[string]string{
	"notice": "arrives", "own clock": "arrives", "fence": "arrives", "linger": "arrives",
	"contract": "hours", "turns": "arrives", "early return": "no window holds", "begin": "serving goes first", "strangers": "arrives",
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections {
		t.Run(without, func(t *testing.T) {
			found := false
			inParallel(0, 200, func(seed uint64) *Lab { return Week(Setup{Seed: seed, Agents: 5, Days: 2, Without: without}) },
				func(seed uint64, l *Lab) bool {
					for _, b := range l.Judge.Violations {
						if !found && strings.Contains(b.Reason, breaks[without]) {
							found = true
							t.Logf("found by seed %d, %v: %v", seed, l.theme, b)
						}
					}
					return !found
				})
			require.True(t, found, "taken out, and not found within 200 seeds")
		})
	}
}
