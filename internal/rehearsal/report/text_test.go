package report

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
)

// GateLine fails a run whose own verdict is passed if a share is too low, and names the share.
func TestGateLineNamesLowShares(t *testing.T) {
	v := judge.Verdict{
		Passed: true, Service: 0.8, Floor: 0.5, SlowStarts: &judge.SlowStartSummary{Starts: 7, Fullest: 0.4},
		Shares: []judge.Share{
			{Of: "the day", Served: 0.9, Delayed: 0.8, Minimum: 0.4},
			{Of: "class rezervare", Served: 0.41, Delayed: 0.82, Minimum: 0.41},
		},
	}
	line, passed := New("day", "", 1, nil, v).GateLine()
	require.True(t, passed)
	require.Equal(t, "passed, service 0.800, floor 0.50; served (asked): the day 0.90 (0.40), class rezervare 0.41 (0.41); "+
		"7 cold servers, fullest window 0.40 of the limit (median 0.00, nine in ten under 0.00), 0 fell", line)

	v.Shares[1].Served = 0.4
	line, passed = New("day", "", 1, nil, v).GateLine()
	require.False(t, passed)
	require.True(t, strings.HasPrefix(line, "FAILED, service 0.800, floor 0.50, share too low: class rezervare served 0.400, "+
		"asked 0.410; "), line)

	v.Passed, v.Rules = false, []judge.Rule{{Name: "drains", Breaches: 3, First: &judge.Breach{}}}
	line, passed = New("day", "", 1, nil, v).GateLine()
	require.False(t, passed)
	require.Contains(t, line, "FAILED, service 0.800, floor 0.50, rule broken: drains (3 times), share too low: class rezervare")
}
