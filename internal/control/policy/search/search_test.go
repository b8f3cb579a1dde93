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
	worlds := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, RejectingAgent: true}, {Voters: 3, Seconds: 2}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Seconds: 6, Grants: 2},
			{Seconds: 5, Grants: 1, Restarts: 1},
			{Seconds: 4, Postponements: 1},
			{Voters: 3, Seconds: 4, Grants: 1},
			{Voters: 3, Seconds: 4, Restarts: 1},
			{Voters: 3, Seconds: 4, Grants: 1, RejectingAgent: true},
			{Voters: 3, Seconds: 4, Postponements: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // voters, seconds, postponements, leases, restarts, whether an agent rejects
		set := Setup{}
		_, err := fmt.Sscan(text, &set.Voters, &set.Seconds, &set.Postponements, &set.Grants, &set.Restarts, &set.RejectingAgent)
		require.NoError(t, err)
		worlds = []Setup{set}
	}
	for _, set := range worlds {
		t.Run("", func(t *testing.T) {
			set.Workers = runtime.GOMAXPROCS(0)
			began := time.Now()
			f := Run(set)
			t.Logf("%+v: %d states in %v, accepted in %d, rejected in %d", set, f.States, time.Since(began), f.Accepted, f.Rejected)
			require.Empty(t, f.Violation, "%v", f.Steps)
			require.NotZero(t, f.Accepted+f.Rejected)
			require.Equal(t, set.RejectingAgent, f.Rejected > 0)
		})
	}
}

// TestWhatIsLeftOutHasNoEffect: an exhaustive search, which leaves nothing out, meets the same states apart from it. A
// fingerprint that does not distinguish two parts which behave differently shows here too.
func TestWhatIsLeftOutHasNoEffect(t *testing.T) {
	worlds := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, RejectingAgent: true}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{{Seconds: 4, Grants: 1, Restarts: 1}, {Seconds: 4, Postponements: 1}, {Voters: 3, Seconds: 2, RejectingAgent: true}}
	}
	for _, set := range worlds {
		set.Workers = runtime.GOMAXPROCS(0)
		f := Run(set)
		set.Exhaustive = true
		whole := Run(set)
		t.Logf("%+v: %d states, of which %d are distinct", set, whole.States, f.States)
		require.Equal(t, whole.Distinct, f.States)
		require.Less(t, f.States, whole.States)
	}
}

// TestEachProtectionIsNeeded: each protection that is removed is missed.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections() {
		t.Run(without, func(t *testing.T) {
			set := Setup{Seconds: 4, Grants: 1, Without: without}
			switch without {
			case "begin":
				set.Grants, set.Restarts = 0, 1
			case "decline":
				set.Grants, set.RejectingAgent = 2, true
			}
			f := Run(set)
			require.NotEmpty(t, f.Violation)
			t.Logf("found after %d states, %d steps: %s", f.States, len(f.Steps), f.Violation)
		})
	}
}
