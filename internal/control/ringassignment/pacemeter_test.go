package ringassignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

// kinds returns two servers of each kind, given the kinds' capacities.
func kinds(capacity ...float64) (all []Server) {
	for i, c := range capacity {
		all = append(all, Server{ID: fmt.Sprint(i), Kind: fmt.Sprint("k", i), Capacity: c}, Server{ID: fmt.Sprint(i, "b"), Kind: fmt.Sprint("k", i), Capacity: c})
	}
	return all
}

// latencies returns baseline latencies of kinds, given in milliseconds, with a number of answers.
func latencies(answers float64, ms ...float64) (all []balancer.BaselineLatency) {
	for i, m := range ms {
		all = append(all, balancer.BaselineLatency{MachineKind: fmt.Sprint("k", i), Latency: time.Duration(m * float64(time.Millisecond)), Samples: answers})
	}
	return all
}

// TestPaceMeter checks that paces are relative to the median kind, and reported only for kinds with enough recent answers.
func TestPaceMeter(t *testing.T) {
	g, list := &PaceMeter{}, kinds(2, 1, 1)
	require.Nil(t, g.Measure(0, latencies(1000, 10, 20, 20), list), "the age of these answers is unknown")
	require.Nil(t, g.Measure(10*time.Second, latencies(1049, 10, 20, 20), list))
	require.Equal(t, map[string]float64{"k0": 1, "k1": 1, "k2": 0.5}, g.Measure(20*time.Second, latencies(1050, 10, 20, 40), list))
	require.Nil(t, g.Measure(30*time.Second, latencies(1100, 10), list), "only half of the capacity is measured")
	require.Nil(t, g.Measure(40*time.Second, nil, list))
	require.Nil(t, g.Measure(50*time.Second, latencies(9, 10, 20, 40), list), "the answer counts were reset")
	require.NotNil(t, g.Measure(60*time.Second, latencies(60, 10, 20, 40), list))
	require.NotNil(t, g.Measure(3*time.Minute, latencies(61, 10, 20, 40), list))
	g.Measure(6*time.Minute, latencies(62, 10, 20, 40), list)
	require.Nil(t, g.Measure(9*time.Minute, latencies(63, 10, 20, 40), list), "too few recent answers")
	require.Nil(t, (&PaceMeter{MinAnswers: 1}).Measure(0, latencies(9, 10), kinds(1)))
}

// TestPaceMeterWithArbitraryLatencies checks that arbitrary latencies give positive paces, one of them the median of 1, and
// that the stored counts and the encoded report are bounded.
func TestPaceMeterWithArbitraryLatencies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := &PaceMeter{}, time.Duration(0)
		capacity := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 100))
		for range rapid.IntRange(1, 20).Draw(t, "measurements") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second
			list := kinds(rapid.SliceOfN(capacity, 0, 20).Draw(t, "capacities")...)
			measured := latencies(rapid.Float64Range(0, 1e6).Draw(t, "answers"), rapid.SliceOfN(rapid.Float64Range(-1, 1e6), 0, 25).Draw(t, "ms")...)
			paces := g.Measure(now, measured, list)
			require.LessOrEqual(t, len(g.counts), len(list))
			hasMedian := len(paces) == 0
			for kind, p := range paces {
				require.Greater(t, p, 0.0, kind)
				hasMedian = hasMedian || p == 1
			}
			require.True(t, hasMedian)
			require.LessOrEqual(t, len(EncodePaceReport(paces)), MaxPaceReportSize)
		}
	})
}
