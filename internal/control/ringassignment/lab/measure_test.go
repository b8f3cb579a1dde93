package lab

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// TestEventsMoveFewKeys checks that events move hardly more keys than necessary, and at least twice as many
// without the protection against them.
func TestEventsMoveFewKeys(t *testing.T) {
	t.Parallel()
	for event, without := range map[string]string{"flap": "hold-down", "wild": "hysteresis", "join": "nested"} {
		protected := Measure(1, 4, 40, "", event)
		t.Logf("%s: %+v", event, protected)
		require.LessOrEqual(t, protected.Moved, 1.1*protected.MinMoved)
		require.Zero(t, protected.Violations)
		require.Less(t, protected.FinalMaxLoad, 1.25)
		unprotected := Measure(1, 4, 40, without, event)
		t.Logf("%s without %s: %+v", event, without, unprotected)
		require.Greater(t, unprotected.Moved, max(2*unprotected.MinMoved, 0.05))
	}
	replaced, misjudged := Measure(1, 4, 40, "", "replace"), Measure(1, 4, 40, "", "misjudged")
	t.Logf("replaced servers: %+v, with wrongly assumed drains: %+v", replaced, misjudged)
	require.Greater(t, misjudged.Moved, 1.3*replaced.Moved)
	require.Greater(t, misjudged.PeakLoad, replaced.PeakLoad)
}

// TestMeasure logs the figures of docs/design/placement.md.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	for _, event := range Events {
		if selected := os.Getenv("MEASURE"); selected != "1" && selected != event {
			continue
		}
		variants := []string{"", WithoutGenerations}
		if strings.HasPrefix(event, "window") || event == "restarts" {
			variants = append(variants, "emptied", "stays")
		}
		for _, without := range variants {
			for seed := range uint64(1) {
				result := Measure(seed, 9, 100, without, event)
				t.Logf("%-10s %-7s seed %d: moved %.3f minimum %.3f (%.2f) forced %.3f (%.2f) cold %.3f final maximum load %.2f peak %.2f late return %.2f generations %d, violations %d",
					event, without, seed, result.Moved, result.MinMoved, result.Moved/max(result.MinMoved, 0.001), result.Forced,
					result.Moved/max(result.Forced, 0.001), result.ColdRequests, result.FinalMaxLoad, result.PeakLoad, result.LateReturn, result.Generations,
					result.Violations)
			}
		}
	}
}

// TestPointsPerServer logs, for numbers of points per unit of capacity, the maximum load over ten sets of
// 100 servers, and the fraction of the keys whose owner differs from that with 100 points for each server.
func TestPointsPerServer(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	const keys, sets = 100_000, 10
	ownersOf := func(r *ring.Ring[int]) (all []int) {
		for k := range uint32(keys) {
			all = append(all, r.Owner(k*42_949))
		}
		return all
	}
	for _, points := range []float64{100, 160, 200, 300} {
		meanMaxLoad, highest, moved := 0.0, 0.0, 0
		for set := range sets {
			weighted, equalPoints, capacity, totalCapacity := ring.New[int](100), ring.New[int](100), []float64{}, 0.0
			for i := range 100 {
				serverCapacity := 0.9
				if i%9 < 4 {
					serverCapacity = 1.8
				}
				capacity, totalCapacity = append(capacity, serverCapacity), totalCapacity+serverCapacity
				equalPoints.Join(serverName(1000*set+i), i)
				weighted.JoinWithPoints(serverName(1000*set+i), i, int(math.Round(points*serverCapacity)))
			}
			counts, former, maxLoad := make([]float64, 100), ownersOf(equalPoints), 0.0
			for k, owner := range ownersOf(weighted) {
				counts[owner]++
				if owner != former[k] {
					moved++
				}
			}
			for i, count := range counts {
				maxLoad = max(maxLoad, count/keys/(capacity[i]/totalCapacity))
			}
			meanMaxLoad, highest = meanMaxLoad+maxLoad/sets, max(highest, maxLoad)
		}
		t.Logf("%v points: mean maximum load %.2f, highest %.2f; moved from 100 each %.2f", points, meanMaxLoad, highest,
			float64(moved)/keys/sets)
	}
}
