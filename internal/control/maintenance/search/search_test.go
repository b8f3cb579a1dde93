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

// TestMain raises the garbage collector's target, because a search allocates much and keeps little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// TestAllStepOrdersKeepWindowRules checks that in small systems no order of steps violates the rules on windows.
func TestAllStepOrdersKeepWindowRules(t *testing.T) {
	setups := []Setup{
		{Voters: 1, Agents: 1, Grants: 1},
		{Voters: 3, Agents: 1, Faults: 1},
		{Voters: 3, Agents: 1, Grants: 1, Restarts: 1},
	}
	if os.Getenv("LONG_TESTS") != "" {
		setups = []Setup{
			{Voters: 1, Agents: 1, Grants: 2, Faults: 1},
			{Voters: 2, Agents: 2, Faults: 1},
			{Voters: 3, Agents: 1, Grants: 1, Faults: 1},
			{Voters: 3, Agents: 1, Faults: 1, Restarts: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // Setup fields: Voters, Agents, Grants, Faults, Restarts
		setup := Setup{}
		_, err := fmt.Sscan(text, &setup.Voters, &setup.Agents, &setup.Grants, &setup.Faults, &setup.Restarts)
		require.NoError(t, err)
		setups = []Setup{setup}
	}
	for _, setup := range setups {
		t.Run("", func(t *testing.T) {
			setup.Workers = runtime.GOMAXPROCS(0)
			started := time.Now()
			result := Run(setup)
			t.Logf("%+v: %d states in %v, free in %d", setup, result.States, time.Since(started), result.Free)
			require.Empty(t, result.Violation, "%v", result.Steps)
			require.NotZero(t, result.Free)
		})
	}
}

// TestReducedSearchCoversExhaustiveSearch checks that a search that ignores what no longer has an effect reaches as many
// distinct states as an exhaustive one. It also detects fingerprints that are equal for components that behave differently.
func TestReducedSearchCoversExhaustiveSearch(t *testing.T) {
	setups := []Setup{{Voters: 1, Agents: 1, Grants: 1}, {Voters: 1, Agents: 1, Faults: 1}, {Voters: 2, Agents: 1, Restarts: 1}}
	if os.Getenv("LONG_TESTS") != "" {
		setups = []Setup{
			{Voters: 1, Agents: 1, Grants: 1, Faults: 1},
			{Voters: 2, Agents: 1, Faults: 1},
			{Voters: 2, Agents: 2, Grants: 1},
			{Voters: 1, Agents: 1, Faults: 1, Restarts: 1},
		}
	}
	for _, setup := range setups {
		setup.Workers = runtime.GOMAXPROCS(0)
		reduced := Run(setup)
		setup.Exhaustive = true
		exhaustive := Run(setup)
		t.Logf("%+v: %d states, of which %d are distinct", setup, exhaustive.States, reduced.States)
		require.Equal(t, exhaustive.Distinct, reduced.States)
		require.Less(t, reduced.States, exhaustive.States/2)
	}
}

// TestEachProtectionIsNeeded checks that without any one protection a violation is found.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(without, func(t *testing.T) {
			setup := Setup{Voters: 1, Agents: 1, Without: without}
			switch without {
			case "fence":
				setup.Grants, setup.Faults = 1, 1
			case "begin":
				setup.Grants, setup.Faults, setup.Restarts = 1, 1, 1
			}
			result := Run(setup)
			require.NotEmpty(t, result.Violation)
			t.Logf("found after %d states, %d steps: %s %v", result.States, len(result.Steps), result.Violation, result.Steps)
		})
	}
}
