package ringassignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

// kinds are two servers of each kind, by the kinds' capacities.
func kinds(capacity ...float64) (all []Server) {
	for i, c := range capacity {
		all = append(all, Server{ID: fmt.Sprint(i), Kind: fmt.Sprint("k", i), Capacity: c}, Server{ID: fmt.Sprint(i, "b"), Kind: fmt.Sprint("k", i), Capacity: c})
	}
	return all
}

// took is the latencies of kinds in milliseconds.
func took(answers float64, ms ...float64) (all []balancer.BaselineLatency) {
	for i, m := range ms {
		all = append(all, balancer.BaselineLatency{MachineKind: fmt.Sprint("k", i), Latency: time.Duration(m * float64(time.Millisecond)), Samples: answers})
	}
	return all
}

// TestPaceMeter: paces are against the kind in the middle, and only of kinds with enough recent answers.
func TestPaceMeter(t *testing.T) {
	g, list := &PaceMeter{}, kinds(2, 1, 1)
	require.Nil(t, g.Measure(0, took(1000, 10, 20, 20), list), "it is not known how old these answers are")
	require.Nil(t, g.Measure(10*time.Second, took(1049, 10, 20, 20), list))
	require.Equal(t, map[string]float64{"k0": 1, "k1": 1, "k2": 0.5}, g.Measure(20*time.Second, took(1050, 10, 20, 40), list))
	require.Nil(t, g.Measure(30*time.Second, took(1100, 10), list), "of half of the capacity")
	require.Nil(t, g.Measure(40*time.Second, nil, list))
	require.Nil(t, g.Measure(50*time.Second, took(9, 10, 20, 40), list), "the counts began again")
	require.NotNil(t, g.Measure(60*time.Second, took(60, 10, 20, 40), list))
	require.NotNil(t, g.Measure(3*time.Minute, took(61, 10, 20, 40), list))
	g.Measure(6*time.Minute, took(62, 10, 20, 40), list)
	require.Nil(t, g.Measure(9*time.Minute, took(63, 10, 20, 40), list), "long ago")
	require.Nil(t, (&PaceMeter{MinAnswers: 1}).Measure(0, took(9, 10), kinds(1)))
}

// TestPaceMeterOfAnything: any latencies give valid paces, bounded by the endpoint list, with a kind in the middle.
func TestPaceMeterOfAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := &PaceMeter{}, time.Duration(0)
		any := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 100))
		for range rapid.IntRange(1, 20).Draw(t, "looks") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second
			list := kinds(rapid.SliceOfN(any, 0, 20).Draw(t, "capacities")...)
			quick := took(rapid.Float64Range(0, 1e6).Draw(t, "answers"), rapid.SliceOfN(rapid.Float64Range(-1, 1e6), 0, 25).Draw(t, "ms")...)
			paces := g.Measure(now, quick, list)
			require.LessOrEqual(t, len(g.counts), len(list))
			middle := len(paces) == 0
			for kind, p := range paces {
				require.Greater(t, p, 0.0, kind)
				middle = middle || p == 1
			}
			require.True(t, middle)
			require.LessOrEqual(t, len(EncodePaceReport(paces)), MaxPaceReportSize)
		}
	})
}
