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

// Scenarios with hundreds of agents pass the gate: at full size with LONG_TESTS, otherwise with a third of the fleet.
func TestFleetScenariosPassGate(t *testing.T) {
	var scenarios []*scenario.Scenario
	for _, name := range []string{"calm", "roll", "herd", "zone", "split", "join"} {
		sc := loadScenario(t, "fleet-"+name)
		if os.Getenv("LONG_TESTS") == "" {
			sc.Agents.Count /= 3
			sc.Fleet.Servers /= 3
			sc.Discovery.CallsPerS.Low /= 3
			sc.Discovery.CallsPerS.High /= 3
			for i := range sc.Faults {
				sc.Faults[i].Count /= 3
			}
		}
		scenarios = append(scenarios, sc)
	}
	results, err := Gate(context.Background(), scenarios, GateOptions{})
	require.NoError(t, err)
	require.Len(t, results, len(scenarios))
	for _, result := range results {
		t.Log(result.Scenario, result.Line)
		require.True(t, result.Passed, "%s: %s", result.Scenario, result.Line)
	}
}

// leakingSink simulates a memory leak: it keeps the whole record of a run.
type leakingSink struct {
	discardSink
	kept []*record.Event
}

func (h *leakingSink) Observe(e *record.Event) {
	kept := *e
	h.kept = append(h.kept, &kept)
}

// The agents' memory does not grow in a quiet run, and Soak detects a leak. The test must not run in parallel with
// others, because it measures the memory of the process.
func TestSoakDetectsLeak(t *testing.T) {
	sc := loadScenario(t, "fleet-soak")
	sc.Run.Length, sc.Agents.Count, sc.Fleet.Servers = 2*time.Minute, 3, 13
	sc.Load.PerS = scenario.Span{Low: 40, High: 40}
	s, err := Soak(context.Background(), sc, Options{Seed: 1})
	require.NoError(t, err)
	require.Less(t, s.Growth(), 64e3, "%+v", s.Samples)
	leak := &leakingSink{}
	s, err = soak(context.Background(), sc, Options{Seed: 1}, leak)
	require.NoError(t, err)
	require.Greater(t, s.Growth(), 64e3, "%+v", s.Samples)
	require.NotEmpty(t, leak.kept)
}
