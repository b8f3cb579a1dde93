package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHowLong: a change is in force at half of the agents that run within a second without loss, and within a
// lease and a little where some are down or cut off. With LONG_TESTS, all the figures of the design note.
func TestHowLong(t *testing.T) {
	type row struct {
		agents  int
		loss    float64
		trouble Trouble
		most    time.Duration
	}
	rows := []row{
		{50, 0, Trouble{}, time.Second},
		{50, 0.3, Trouble{}, 4 * time.Second},
		{50, 0, Trouble{Down: 0.2}, 6 * time.Second},
	}
	if os.Getenv("LONG_TESTS") != "" {
		rows = nil
		for _, agents := range []int{5, 50, 300} {
			for _, loss := range []float64{0, 0.1, 0.3} {
				for _, tr := range []Trouble{{}, {Down: 0.2}, {CutOff: 0.2}} {
					rows = append(rows, row{agents, loss, tr, 10 * time.Second})
				}
			}
		}
	}
	for _, r := range rows {
		var worst Spread
		for seed := range uint64(5) {
			s := Measure(seed, r.agents, r.loss, 900*time.Millisecond, r.trouble)
			require.Positive(t, s.Half, "seed %d", seed)
			if s.All < 0 { // one that finds no lease for longer than is looked at
				s.All = 15 * time.Second
			}
			worst = Spread{max(worst.Half, s.Half), max(worst.Most, s.Most), max(worst.All, s.All)}
		}
		t.Logf("%d agents, loss %.1f, %+v: the worst of 5 seeds %v", r.agents, r.loss, r.trouble, worst)
		require.LessOrEqual(t, worst.Half, r.most)
	}
}
