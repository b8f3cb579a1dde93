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

// TestMain: what is kept is small and what is made on the way is much.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// inParallel plays seeds three at a time, and has each course looked at in order.
func inParallel(from, to uint64, play func(seed uint64) *Lab, look func(seed uint64, l *Lab) (more bool)) {
	const width = 3
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

func hunt(t *testing.T, r hunting.Row) {
	var behind [3]int
	generations := 0
	play := func(seed uint64) *Lab { return Course(seed, r.Agents, "") }
	inParallel(r.From, r.To, play, func(seed uint64, l *Lab) bool {
		require.Zero(t, l.Judge.Count, "seed %d: %v", seed, l.Judge.Violations)
		require.Empty(t, l.Settled(), "seed %d", seed)
		generations += int(l.State().Number)
		for i, n := range l.Judge.Behind {
			behind[i] += n
		}
		r.Log(t, seed, "%d generations, behind %v, moved %v", l.State().Number, l.Judge.Behind, moved(l))
		return true
	})
	t.Logf("%d agents, seeds %d to %d: %d generations; samples with a lease by how far behind: %v", r.Agents, r.From,
		r.To-1, generations, behind)
	require.Greater(t, generations, 5*int(r.To-r.From), "the promises would hold if nothing ever changed")
	require.Zero(t, behind[2])
	require.NotZero(t, behind[1])
}

// moved is what all agents' keys have moved.
func moved(l *Lab) (sum float64) {
	for agent := range l.nodes {
		sum += l.Judge.Moved[agent] + l.Judge.Needed[agent]
	}
	return sum
}

func TestRingsStayStable(t *testing.T) {
	t.Parallel()
	rows := []hunting.Row{{Agents: 5, To: 12}, {Agents: 50, To: 1}}
	if os.Getenv("LONG_TESTS") != "" {
		rows = []hunting.Row{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectRows(rows) {
		t.Run(fmt.Sprint(r.Agents, " agents"), func(t *testing.T) { hunt(t, r) })
	}
}

// hunted are the protections that a few seeds find; TestEvents finds the others.
var hunted = map[string]bool{
	"outstanding": true, "begin": true, "fence": true, "bound": true, "own list": true,
	"warmth": true, "emptied": true, "stays": true,
}

func TestEachProtectionIsNeeded(t *testing.T) {
	t.Parallel()
	for _, without := range Protections {
		if !hunted[without] && os.Getenv("LONG_TESTS") == "" {
			continue
		}
		t.Run(without, func(t *testing.T) {
			found := false
			inParallel(0, 200, func(seed uint64) *Lab { return Course(seed, 5, without) }, func(seed uint64, l *Lab) bool {
				if found = l.Judge.Count > 0; found {
					t.Logf("found by seed %d: %v", seed, l.Judge.Violations[0])
				}
				return !found
			})
			require.True(t, found, "taken out, and not found within 200 seeds")
		})
	}
}
