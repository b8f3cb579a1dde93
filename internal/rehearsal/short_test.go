package rehearsal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/scenario"
)

// Short runs are judged together: over all requests, in each class and over the classes of each effect they must serve a
// third of what the reference policy serves, whatever a single run serves.
func TestShortRunsAreJudgedTogether(t *testing.T) {
	run := func(effect scenario.Effect, worth, served float64) (*scenario.Scenario, []judge.Share) {
		return &scenario.Scenario{Classes: []scenario.Class{{Name: "consult", Effect: scenario.Safe}, {Name: "rezervare", Effect: effect}}},
			[]judge.Share{
				{Worth: 2 * worth, Served: (0.9 + served) / 2, Delayed: 0.9},
				{Worth: worth, Served: 0.9, Delayed: 0.9},
				{Worth: worth, Served: served, Delayed: 0.9},
			}
	}
	s := newShortRuns()
	_, ok := s.result()
	require.False(t, ok)
	s.add(run(scenario.Unsafe, 100, 0.1))
	s.add(run(scenario.Safe, 300, 0.4)) // a class may have another effect in another scenario
	g, ok := s.result()
	require.True(t, ok)
	require.False(t, g.Passed)
	require.Contains(t, g.String(), "all 2 short days: FAILED, share too low: unsafe classes served 0.100, asked 0.300;")
	require.Contains(t, g.Line, "class rezervare 0.33 (0.30)")
	require.Contains(t, g.Line, "safe classes 0.69 (0.30)")
	s.add(run(scenario.Unsafe, 200, 0.9))
	g, _ = s.result()
	require.True(t, g.Passed, g.Line)
}
