package rehearsal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/scenario"
)

// Short days are asked together: a third of the worth that the policy that sees late serves of all, of each class and
// of the classes of each effect, however low one day is.
func TestShortDaysAddUp(t *testing.T) {
	day := func(effect scenario.Effect, worth, served float64) (*scenario.Scenario, []judge.Share) {
		return &scenario.Scenario{Classes: []scenario.Class{{Name: "consult", Effect: scenario.Safe}, {Name: "rezervare", Effect: effect}}},
			[]judge.Share{
				{Worth: 2 * worth, Served: (0.9 + served) / 2, Late: 0.9},
				{Worth: worth, Served: 0.9, Late: 0.9},
				{Worth: worth, Served: served, Late: 0.9},
			}
	}
	s := newShort()
	_, any := s.gated()
	require.False(t, any)
	s.add(day(scenario.Unsafe, 100, 0.1))
	s.add(day(scenario.Safe, 300, 0.4)) // a day may give a class another effect
	g, any := s.gated()
	require.True(t, any)
	require.False(t, g.Passed)
	require.Contains(t, g.String(), "all 2 short days: FAILED, share too low: unsafe classes served 0.100, asked 0.300;")
	require.Contains(t, g.Says, "class rezervare 0.33 (0.30)")
	require.Contains(t, g.Says, "safe classes 0.69 (0.30)")
	s.add(day(scenario.Unsafe, 200, 0.9))
	g, _ = s.gated()
	require.True(t, g.Passed, g.Says)
}
