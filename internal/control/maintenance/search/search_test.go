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

// TestMain has the garbage collector run less often: little is kept, and much is made on the way.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// TestNoStepsBreakThePromise: in each small world no order of steps breaks the promise.
func TestNoStepsBreakThePromise(t *testing.T) {
	worlds := []Setup{
		{Voters: 1, Agents: 1, Grants: 1},
		{Voters: 3, Agents: 1, Faults: 1},
		{Voters: 3, Agents: 1, Grants: 1, Restarts: 1},
	}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Voters: 1, Agents: 1, Grants: 2, Faults: 1},
			{Voters: 2, Agents: 2, Faults: 1},
			{Voters: 3, Agents: 1, Grants: 1, Faults: 1},
			{Voters: 3, Agents: 1, Faults: 1, Restarts: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // voters, agents, leases, faults, voters' restarts
		set := Setup{}
		_, err := fmt.Sscan(text, &set.Voters, &set.Agents, &set.Grants, &set.Faults, &set.Restarts)
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

// TestWhatIsLeftOutHasNoEffect: an exhaustive search, which leaves nothing out, meets the same states apart from it. A
// fingerprint that does not distinguish two parts which behave differently shows here too.
func TestWhatIsLeftOutHasNoEffect(t *testing.T) {
	worlds := []Setup{{Voters: 1, Agents: 1, Grants: 1}, {Voters: 1, Agents: 1, Faults: 1}, {Voters: 2, Agents: 1, Restarts: 1}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Voters: 1, Agents: 1, Grants: 1, Faults: 1},
			{Voters: 2, Agents: 1, Faults: 1},
			{Voters: 2, Agents: 2, Grants: 1},
			{Voters: 1, Agents: 1, Faults: 1, Restarts: 1},
		}
	}
	for _, set := range worlds {
		set.Workers = runtime.GOMAXPROCS(0)
		f := Run(set)
		set.Exhaustive = true
		whole := Run(set)
		t.Logf("%+v: %d states, of which %d are distinct", set, whole.States, f.States)
		require.Equal(t, whole.Distinct, f.States)
		require.Less(t, f.States, whole.States/2)
	}
}

// TestEachProtectionIsNeeded: each protection that is removed is missed.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(without, func(t *testing.T) {
			set := Setup{Voters: 1, Agents: 1, Without: without}
			switch without {
			case "fence":
				set.Grants, set.Faults = 1, 1
			case "begin":
				set.Grants, set.Faults, set.Restarts = 1, 1, 1
			}
			f := Run(set)
			require.NotEmpty(t, f.Violation)
			t.Logf("found after %d states, %d steps: %s %v", f.States, len(f.Steps), f.Violation, f.Steps)
		})
	}
}
