package lab

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// What events may move, and what they would without the protection against that.
func TestEvents(t *testing.T) {
	t.Parallel()
	for event, without := range map[string]string{"flap": "hold-down", "wild": "hysteresis", "join": "nested"} {
		with := Measure(1, 4, 40, "", event)
		t.Logf("%s: %+v", event, with)
		require.LessOrEqual(t, with.Moved, 1.1*with.Least)
		require.Zero(t, with.Breaches)
		require.Less(t, with.Fullest, 1.25)
		lacks := Measure(1, 4, 40, without, event)
		t.Logf("%s without %s: %+v", event, without, lacks)
		require.Greater(t, lacks.Moved, max(2*lacks.Least, 0.05))
	}
	roll, wrong := Measure(1, 4, 40, "", "replace"), Measure(1, 4, 40, "", "misjudged")
	t.Logf("a roll: %+v, and who leaves guessed wrong: %+v", roll, wrong)
	require.Greater(t, wrong.Moved, 1.3*roll.Moved)
	require.Greater(t, wrong.Worst, roll.Worst)
}

// TestMeasure prints the figures of docs/design/placement.md.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	for _, event := range Events {
		if e := os.Getenv("MEASURE"); e != "1" && e != event {
			continue
		}
		variants := []string{"", All}
		if strings.HasPrefix(event, "window") || event == "restarts" {
			variants = append(variants, "emptied", "stays")
		}
		for _, without := range variants {
			for seed := range uint64(1) {
				r := Measure(seed, 9, 100, without, event)
				t.Logf("%-10s %-7s seed %d: moved %.3f least %.3f (%.2f) forced %.3f (%.2f) cold %.3f fullest %.2f worst %.2f late %.2f generations %d, breaches %d",
					event, without, seed, r.Moved, r.Least, r.Moved/max(r.Least, 0.001), r.Forced,
					r.Moved/max(r.Forced, 0.001), r.Cold, r.Fullest, r.Worst, r.Late, r.Generations,
					r.Breaches)
			}
		}
	}
}

// TestPoints prints how even ten sets of 100 servers are by points for each of capacity 1, and what part of the
// keys has another owner than with 100 points for each.
func TestPoints(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	const keys, sets = 100_000, 10
	owners := func(r *ring.Ring[int]) (all []int) {
		for k := range uint32(keys) {
			all = append(all, r.Owner(k*42_949))
		}
		return all
	}
	for _, unit := range []float64{100, 160, 200, 300} {
		mean, worst, moved := 0.0, 0.0, 0
		for set := range sets {
			r, plain, capacity, sum := ring.New[int](100), ring.New[int](100), []float64{}, 0.0
			for i := range 100 {
				c := 0.9
				if i%9 < 4 {
					c = 1.8
				}
				capacity, sum = append(capacity, c), sum+c
				plain.Join(name(1000*set+i), i)
				r.JoinWithPoints(name(1000*set+i), i, int(math.Round(unit*c)))
			}
			counts, was, fullest := make([]float64, 100), owners(plain), 0.0
			for k, o := range owners(r) {
				counts[o]++
				if o != was[k] {
					moved++
				}
			}
			for i, n := range counts {
				fullest = max(fullest, n/keys/(capacity[i]/sum))
			}
			mean, worst = mean+fullest/sets, max(worst, fullest)
		}
		t.Logf("%v points: fullest %.2f, at the worst %.2f; moved from 100 each %.2f", unit, mean, worst,
			float64(moved)/keys/sets)
	}
}
