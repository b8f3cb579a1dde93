package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeToEffect checks that half of the running agents act on a change within a second without loss, and within 6 s, a
// lease and a margin, if some agents are down. With LONG_TESTS it measures all figures of the design document.
func TestTimeToEffect(t *testing.T) {
	type row struct {
		agents  int
		loss    float64
		faults  AgentFaults
		maxHalf time.Duration
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
				for _, faults := range []AgentFaults{{}, {Down: 0.2}, {CutOff: 0.2}} {
					rows = append(rows, row{agents, loss, faults, 10 * time.Second})
				}
			}
		}
	}
	for _, r := range rows {
		var worst TimeToEffect
		for seed := range uint64(5) {
			result := MeasureTimeToEffect(seed, r.agents, r.loss, 900*time.Millisecond, r.faults)
			require.Positive(t, result.Half, "seed %d: expected half of the agents to act on the change", seed)
			if result.All < 0 { // an agent got no lease before the end of the run
				result.All = 15 * time.Second
			}
			worst = TimeToEffect{max(worst.Half, result.Half), max(worst.NinetyNinePercent, result.NinetyNinePercent), max(worst.All, result.All)}
		}
		t.Logf("%d agents, loss %.1f, %+v: slowest of 5 seeds %v", r.agents, r.loss, r.faults, worst)
		require.LessOrEqual(t, worst.Half, r.maxHalf)
	}
}
