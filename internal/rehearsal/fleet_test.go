package rehearsal

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// The days of hundreds of agents pass the gate: as they are with LONG_TESTS, else with a third of their fleet.
func TestFleetDays(t *testing.T) {
	var sets []*scenario.Scenario
	for _, name := range []string{"calm", "roll", "herd", "zone", "split", "join"} {
		set := load(t, "fleet-"+name)
		if os.Getenv("LONG_TESTS") == "" {
			set.Agents.Count /= 3
			set.Fleet.Servers /= 3
			set.Discovery.CallsPerS.Low /= 3
			set.Discovery.CallsPerS.High /= 3
			for i := range set.Troubles {
				set.Troubles[i].Count /= 3
			}
		}
		sets = append(sets, set)
	}
	days, err := Gate(context.Background(), sets, GateOptions{})
	require.NoError(t, err)
	require.Len(t, days, len(sets))
	for _, d := range days {
		t.Log(d.Scenario, d.Says)
		require.True(t, d.Passed, "%s: %s", d.Scenario, d.Says)
	}
}

// hoarder is a leak: it keeps the whole record of a day.
type hoarder struct {
	nowhere
	kept []*record.Event
}

func (h *hoarder) Take(e *record.Event) {
	kept := *e
	h.kept = append(h.kept, &kept)
}

// What agents hold does not grow on a quiet day, and a leak shows. Not side by side with other days: it looks at the
// memory of the process.
func TestSoak(t *testing.T) {
	set := load(t, "fleet-soak")
	set.Day.Length, set.Agents.Count, set.Fleet.Servers = 2*time.Minute, 3, 13
	set.Load.PerS = scenario.Span{Low: 40, High: 40}
	s, err := Soak(context.Background(), set, Options{Seed: 1})
	require.NoError(t, err)
	require.Less(t, s.Growth(), 64e3, "%+v", s.Held)
	leak := &hoarder{}
	s, err = soak(context.Background(), set, Options{Seed: 1}, leak)
	require.NoError(t, err)
	require.Greater(t, s.Growth(), 64e3, "%+v", s.Held)
	require.NotEmpty(t, leak.kept)
}
