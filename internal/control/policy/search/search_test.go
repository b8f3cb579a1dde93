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

// TestAllStepOrdersKeepVersionRules checks that in small systems no order of steps violates the rules on versions.
func TestAllStepOrdersKeepVersionRules(t *testing.T) {
	setups := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, RejectingAgent: true}, {Voters: 3, Seconds: 2}}
	if os.Getenv("LONG_TESTS") != "" {
		setups = []Setup{
			{Seconds: 6, Grants: 2},
			{Seconds: 5, Grants: 1, Restarts: 1},
			{Seconds: 4, Postponements: 1},
			{Voters: 3, Seconds: 4, Grants: 1},
			{Voters: 3, Seconds: 4, Restarts: 1},
			{Voters: 3, Seconds: 4, Grants: 1, RejectingAgent: true},
			{Voters: 3, Seconds: 4, Postponements: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // Setup fields: Voters, Seconds, Postponements, Grants, Restarts, RejectingAgent
		setup := Setup{}
		_, err := fmt.Sscan(text, &setup.Voters, &setup.Seconds, &setup.Postponements, &setup.Grants, &setup.Restarts, &setup.RejectingAgent)
		require.NoError(t, err)
		setups = []Setup{setup}
	}
	for _, setup := range setups {
		t.Run("", func(t *testing.T) {
			setup.Workers = runtime.GOMAXPROCS(0)
			started := time.Now()
			result := Run(setup)
			t.Logf("%+v: %d states in %v, accepted in %d, rejected in %d", setup, result.States, time.Since(started), result.Accepted, result.Rejected)
			require.Empty(t, result.Violation, "%v", result.Steps)
			require.NotZero(t, result.Accepted+result.Rejected)
			require.Equal(t, setup.RejectingAgent, result.Rejected > 0)
		})
	}
}

// TestReducedSearchCoversExhaustiveSearch checks that a search that ignores what no longer has an effect reaches as many
// distinct states as an exhaustive one. It also detects fingerprints that are equal for components that behave differently.
func TestReducedSearchCoversExhaustiveSearch(t *testing.T) {
	setups := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, RejectingAgent: true}}
	if os.Getenv("LONG_TESTS") != "" {
		setups = []Setup{{Seconds: 4, Grants: 1, Restarts: 1}, {Seconds: 4, Postponements: 1}, {Voters: 3, Seconds: 2, RejectingAgent: true}}
	}
	for _, setup := range setups {
		setup.Workers = runtime.GOMAXPROCS(0)
		reduced := Run(setup)
		setup.Exhaustive = true
		exhaustive := Run(setup)
		t.Logf("%+v: %d states, of which %d are distinct", setup, exhaustive.States, reduced.States)
		require.Equal(t, exhaustive.Distinct, reduced.States)
		require.Less(t, reduced.States, exhaustive.States)
	}
}

// TestEachProtectionIsNeeded checks that without any one protection a violation is found.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(without, func(t *testing.T) {
			setup := Setup{Seconds: 4, Grants: 1, Without: without}
			switch without {
			case "begin":
				setup.Grants, setup.Restarts = 0, 1
			case "decline":
				setup.Grants, setup.RejectingAgent = 2, true
			}
			result := Run(setup)
			require.NotEmpty(t, result.Violation)
			t.Logf("found after %d states, %d steps: %s", result.States, len(result.Steps), result.Violation)
		})
	}
}
