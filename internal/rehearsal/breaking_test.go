package rehearsal

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

// For any breaking load, Break finds the highest passing load to the precision of its steps and returns all runs by
// increasing load.
func TestBreakFindsHighestPassingLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, steps := rapid.Float64Range(0, 3).Draw(t, "limit"), rapid.IntRange(0, 10).Draw(t, "steps")
		sc := &scenario.Scenario{Load: scenario.Traffic{PerS: scenario.Span{Low: 100, High: 200}}}
		got, results, err := Break(t.Context(), sc, BreakOptions{
			MinLoad: 0.5, MaxLoad: 2, Steps: steps,
			Play: func(_ context.Context, s *scenario.Scenario) (*report.Report, error) {
				require.InDelta(t, 2*s.Load.PerS.Low, s.Load.PerS.High, 1e-9)
				return &report.Report{Verdict: judge.Verdict{Passed: s.Load.PerS.Low <= 100*limit}}, nil
			},
		})
		require.NoError(t, err)
		switch {
		case limit < 0.5:
			require.Zero(t, got)
		case limit >= 2:
			require.Equal(t, 2.0, got)
		default:
			require.LessOrEqual(t, got, limit)
			require.Greater(t, got+1.5/float64(int(1)<<steps)+1e-9, limit)
			require.Len(t, results, 2+steps)
		}
		for i := 1; i < len(results); i++ {
			require.Less(t, results[i-1].Load, results[i].Load)
		}
	})
	require.Zero(t, underLoad(&scenario.Scenario{}, 2).Load.OfCapacity.High)
}
