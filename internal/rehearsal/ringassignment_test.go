package rehearsal

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/scenario"
)

// ringAssignmentGain returns the mean gain in service by ring assignment over seeds, and its standard error.
func ringAssignmentGain(t *testing.T, sc *scenario.Scenario, seeds int) (mean, stdErr float64) {
	service := make([][2]float64, seeds)
	require.NoError(t, onAllCores(context.Background(), 2*seeds, func(i int) error {
		r, err := Play(context.Background(), sc, Options{Seed: uint64(i/2 + 1), RingAssignment: i%2 == 1})
		if err == nil {
			service[i/2][i%2] = r.Service
		}
		return err
	}))
	n, squares := float64(seeds), 0.0
	for _, s := range service {
		difference := s[1] - s[0]
		mean, squares = mean+difference/n, squares+difference*difference/n
	}
	return mean, math.Sqrt(max(squares-mean*mean, 0) / n)
}

// With the load on few keys, ring assignment must not cost service. Single runs vary by about 0.04, so only the mean shows
// a cost. When every owner of a small part counted as a whole owner, these seeds lost 0.080.
func TestRingAssignmentCostsNothingWithHotKeys(t *testing.T) {
	seeds, minGain := 5, -0.03
	if os.Getenv("LONG_TESTS") != "" {
		seeds, minGain = 100, -0.01
	}
	mean, stdErr := ringAssignmentGain(t, loadScenario(t, "hot-keys"), seeds)
	t.Logf("%+.3f, standard error %.3f", mean, stdErr)
	require.Greater(t, mean, minGain)
}

// Measures the gain over MEASURE seeds of each scenario in DAYS, or of all short ones, for the design note:
//
//	MEASURE=12 DAYS=hot-keys,surge go test ./internal/rehearsal -run MeasureRingAssignment -v
func TestMeasureRingAssignment(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("MEASURE"))
	if err != nil {
		t.Skip("MEASURE is not set to a number of seeds")
	}
	names := strings.Split(os.Getenv("DAYS"), ",")
	if names[0] == "" {
		names = nil
		files, err := filepath.Glob("../../rehearsals/*.toml")
		require.NoError(t, err)
		for _, file := range files {
			if name := strings.TrimSuffix(filepath.Base(file), ".toml"); !strings.HasPrefix(name, "fleet-") && name != "one-hour" {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		mean, stdErr := ringAssignmentGain(t, loadScenario(t, name), seeds)
		t.Logf("%-22s %+.3f, standard error %.3f", name, mean, stdErr)
	}
}
