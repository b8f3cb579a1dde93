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
	worlds := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, Odd: true}, {Voters: 3, Seconds: 2}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{
			{Seconds: 6, Grants: 2},
			{Seconds: 5, Grants: 1, Restarts: 1},
			{Seconds: 4, Later: 1},
			{Voters: 3, Seconds: 4, Grants: 1},
			{Voters: 3, Seconds: 4, Restarts: 1},
			{Voters: 3, Seconds: 4, Grants: 1, Odd: true},
			{Voters: 3, Seconds: 4, Later: 1},
		}
	}
	if text := os.Getenv("SEARCH"); text != "" { // voters, seconds, postponements, leases, restarts, whether one is odd
		set := Setup{}
		_, err := fmt.Sscan(text, &set.Voters, &set.Seconds, &set.Later, &set.Grants, &set.Restarts, &set.Odd)
		require.NoError(t, err)
		worlds = []Setup{set}
	}
	for _, set := range worlds {
		t.Run("", func(t *testing.T) {
			set.Workers = runtime.GOMAXPROCS(0)
			began := time.Now()
			f := Run(set)
			t.Logf("%+v: %d states in %v, taken in %d, not taken in %d", set, f.States, time.Since(began), f.Accepted, f.Rejected)
			require.Empty(t, f.Violation, "%v", f.Steps)
			require.NotZero(t, f.Accepted+f.Rejected)
			require.Equal(t, set.Odd, f.Rejected > 0)
		})
	}
}

// What the search leaves out, as it cannot matter any more, it may leave out: where it is kept, the same states are met but for
// it. A fingerprint that takes two parts for one that go different ways shows here too.
func TestWhatIsLeftOutDoesNotMatter(t *testing.T) {
	worlds := []Setup{{Seconds: 4, Grants: 1}, {Seconds: 2, Restarts: 1}, {Seconds: 2, Odd: true}}
	if os.Getenv("LONG_TESTS") != "" {
		worlds = []Setup{{Seconds: 4, Grants: 1, Restarts: 1}, {Seconds: 4, Later: 1}, {Voters: 3, Seconds: 2, Odd: true}}
	}
	for _, set := range worlds {
		set.Workers = runtime.GOMAXPROCS(0)
		f := Run(set)
		set.Whole = true
		whole := Run(set)
		t.Logf("%+v: %d states, of which %d are told apart", set, whole.States, f.States)
		require.Equal(t, whole.Apart, f.States)
		require.Less(t, f.States, whole.States)
	}
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for _, without := range Protections {
		t.Run(without, func(t *testing.T) {
			set := Setup{Seconds: 4, Grants: 1, Without: without}
			switch without {
			case "begin":
				set.Grants, set.Restarts = 0, 1
			case "decline":
				set.Grants, set.Odd = 2, true
			}
			f := Run(set)
			require.NotEmpty(t, f.Violation)
			t.Logf("found after %d states, %d steps: %s", f.States, len(f.Steps), f.Violation)
		})
	}
}
