package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeToEffect: a change is in effect at half of the agents that run within a second without loss, and within a lease
// and a little where some are down or cut off. With LONG_TESTS, all the figures of the design note.
func TestTimeToEffect(t *testing.T) {
	type row struct {
		agents int
		loss   float64
		faults AgentFaults
		most   time.Duration
	}
	rows := []row{
		{50, 0, AgentFaults{}, time.Second},
		{50, 0.3, AgentFaults{}, 4 * time.Second},
		{50, 0, AgentFaults{Down: 0.2}, 6 * time.Second},
	}
	if os.Getenv("LONG_TESTS") != "" {
		rows = nil
		for _, agents := range []int{5, 50, 300} {
			for _, loss := range []float64{0, 0.1, 0.3} {
				for _, tr := range []AgentFaults{{}, {Down: 0.2}, {CutOff: 0.2}} {
					rows = append(rows, row{agents, loss, tr, 10 * time.Second})
				}
			}
		}
	}
	for _, r := range rows {
		var worst TimeToEffect
		for seed := range uint64(5) {
			s := MeasureTimeToEffect(seed, r.agents, r.loss, 900*time.Millisecond, r.faults)
			require.Positive(t, s.Half, "seed %d", seed)
			if s.All < 0 { // an agent that finds no lease for longer than the lab runs
				s.All = 15 * time.Second
			}
			worst = TimeToEffect{max(worst.Half, s.Half), max(worst.NinetyNinePercent, s.NinetyNinePercent), max(worst.All, s.All)}
		}
		t.Logf("%d agents, loss %.1f, %+v: the worst of 5 seeds %v", r.agents, r.loss, r.faults, worst)
		require.LessOrEqual(t, worst.Half, r.most)
	}
}
