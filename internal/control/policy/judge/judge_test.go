package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
)

// TestJudgeReportsForbiddenDecisions checks allowed decisions, and forbidden ones that barely differ from them.
func TestJudgeReportsForbiddenDecisions(t *testing.T) {
	wide, narrow := &policy.Effect{MaxFailedRatio: 1}, &policy.Effect{MaxFailedRatio: 0.2}
	type decision struct {
		ms      int
		mode    policy.Mode
		version uint64
		allowed bool
	}
	for name, all := range map[string][]decision{
		"older version within the error":   {{900, policy.ModeFull, 0, true}, {1000, policy.ModeFull, 1, true}, {1100, policy.ModeFull, 0, true}},
		"older version after the newer":    {{1000, policy.ModeFull, 1, true}, {1101, policy.ModeFull, 0, false}},
		"since the first agent's decision": {{1050, policy.ModeFull, 1, true}, {1150, policy.ModeFull, 0, true}, {1151, policy.ModeFull, 0, false}},
		"agent whose clock is early":       {{899, policy.ModeFull, 1, false}, {900, policy.ModeFull, 1, true}},
		"never activated":                  {{2000, policy.ModeFull, 2, false}, {2000, policy.ModeFloor, 2, false}},
		"floor that is not allowed":        {{899, policy.ModeFloor, 1, true}, {1100, policy.ModeFloor, 0, true}, {1101, policy.ModeFloor, 0, false}},
		"allowed floor":                    {{1101, policy.ModeFloor, 1, true}, {9000, policy.ModeBottom, 0, true}},
	} {
		j := New(100*time.Millisecond, Version{Effect: wide, Floor: wide})
		j.VersionActivated(500*time.Millisecond, Version{Number: 1, EffectiveAt: time.Second, Effect: narrow, Floor: narrow})
		for _, d := range all {
			at := time.Duration(d.ms) * time.Millisecond
			require.Equal(t, d.allowed, j.DecisionMade(Decision{At: at, Mode: d.mode, Version: d.version}), "%s: %v", name, d)
		}
	}
}
