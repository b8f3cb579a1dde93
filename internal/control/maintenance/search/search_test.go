package search

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain: what is kept is small and what is made on the way is much.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

func TestNothingThatCanHappenBreaksThePromise(t *testing.T) {
	worlds := []Setup{
		{Voters: 1, Agents: 1, Grants: 1},
		{Voters: 3, Agents: 1, Troubles: 1},
		{Voters: 3, Agents: 1, Grants: 1, Restarts: 1},
	}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Voters: 1, Agents: 1, Grants: 2, Troubles: 1},
			{Voters: 2, Agents: 2, Troubles: 1},
			{Voters: 3, Agents: 1, Grants: 1, Troubles: 1},
			{Voters: 3, Agents: 1, Troubles: 1, Restarts: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // voters, agents, leases, troubles, voters' restarts
		set := Setup{}
		_, err := fmt.Sscan(text, &set.Voters, &set.Agents, &set.Grants, &set.Troubles, &set.Restarts)
		require.NoError(t, err)
		worlds = []Setup{set}
	}
	for _, set := range worlds {
		t.Run("", func(t *testing.T) {
			set.Workers = runtime.GOMAXPROCS(0)
			began := time.Now()
			f := Run(set)
			t.Logf("%+v: %d states in %v, free in %d", set, f.States, time.Since(began), f.Free)
			require.Empty(t, f.Violation, "%v", f.Steps)
			require.NotZero(t, f.Free)
		})
	}
}

// What the search leaves out, as it cannot matter any more, it may leave out: where it is kept, the same states are met but for
// it. A fingerprint that takes two parts for one that go different ways shows here too.
func TestWhatIsLeftOutDoesNotMatter(t *testing.T) {
	worlds := []Setup{{Voters: 1, Agents: 1, Grants: 1}, {Voters: 1, Agents: 1, Troubles: 1}, {Voters: 2, Agents: 1, Restarts: 1}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Voters: 1, Agents: 1, Grants: 1, Troubles: 1},
			{Voters: 2, Agents: 1, Troubles: 1},
			{Voters: 2, Agents: 2, Grants: 1},
			{Voters: 1, Agents: 1, Troubles: 1, Restarts: 1},
		}
	}
	for _, set := range worlds {
		set.Workers = runtime.GOMAXPROCS(0)
		f := Run(set)
		set.Whole = true
		whole := Run(set)
		t.Logf("%+v: %d states, of which %d are told apart", set, whole.States, f.States)
		require.Equal(t, whole.Apart, f.States)
		require.Less(t, f.States, whole.States/2)
	}
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections {
		t.Run(without, func(t *testing.T) {
			set := Setup{Voters: 1, Agents: 1, Without: without}
			switch without {
			case "fence":
				set.Grants, set.Troubles = 1, 1
			case "begin":
				set.Grants, set.Troubles, set.Restarts = 1, 1, 1
			}
			f := Run(set)
			require.NotEmpty(t, f.Violation)
			t.Logf("found after %d states, %d steps: %s %v", f.States, len(f.Steps), f.Violation, f.Steps)
		})
	}
}
