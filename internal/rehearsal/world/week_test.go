package world

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// weekScenarios are the scenarios of a week, each with its own fault.
var weekScenarios = []string{"calm-monday", "fast-failures", "flapping", "agent-killed", "slow-for-a-while", "agents-restarted", "taken-out"}

const (
	weekRunLength = 100 * time.Second
	windowFrom    = 15 * time.Second
	windowTo      = 85 * time.Second
)

// playWindow simulates a run with or without a window that takes a quarter of the servers from two
// tenants. It returns how many first tries of these tenants arrived during the window, and how many of
// their requests were served in the end.
func playWindow(t *testing.T, name string, seed uint64, windowed bool) (arrived, served int) {
	sc, err := scenario.Load("../../../rehearsals/" + name + ".toml")
	require.NoError(t, err)
	sc.Run.Length = weekRunLength
	if windowed {
		sc.Faults = append(sc.Faults, scenario.FaultSpec{
			Kind: scenario.Window, At: scenario.ExactTime(windowFrom),
			For: scenario.ExactTime(windowTo - windowFrom), Part: span(0.25, 0.25), MoveTime: scenario.ExactTime(15 * time.Second),
			Tenants: []string{sc.Tenants[0].Name, sc.Tenants[1].Name},
		})
	}
	d := &recordingSink{}
	require.NoError(t, Play(t.Context(), sc, seed, d, Options{}))
	arrivals, answered, chain := map[uint32]bool{}, map[uint32]bool{}, map[uint32]uint32{}
	for _, e := range d.events {
		switch {
		case e.Kind == record.RequestReceived || e.Kind == record.RequestUnreached:
			chain[e.RequestID] = e.Chain
			if e.Try == 0 && e.Tenant < 2 && e.At >= windowFrom && e.At < windowTo {
				arrivals[e.Chain] = true
			}
		case e.Kind == record.Answered && e.Answer == record.Served:
			answered[chain[e.RequestID]] = true
		}
	}
	for c := range arrivals {
		if arrived++; answered[c] {
			served++
		}
	}
	return arrived, served
}

// TestWindowServiceOverWeek checks that over a week the moved tenants are served within 0.01 of the
// same week without windows. LONG_TESTS covers all seven scenarios with three seeds; otherwise one.
func TestWindowServiceOverWeek(t *testing.T) {
	names, seeds := weekScenarios[:1], uint64(1)
	if os.Getenv("LONG_TESTS") != "" {
		names, seeds = weekScenarios, 3
	}
	var arrived, served [2]int
	for seed := range seeds {
		for _, name := range names {
			var fraction [2]float64
			for i, windowed := range []bool{false, true} {
				c, s := playWindow(t, name, seed+1, windowed)
				arrived[i], served[i], fraction[i] = arrived[i]+c, served[i]+s, float64(s)/float64(c)
			}
			t.Logf("%s, seed %d: without a window %.4f, with one %.4f, %+.4f", name, seed+1, fraction[0], fraction[1], fraction[1]-fraction[0])
		}
	}
	without, with := float64(served[0])/float64(arrived[0]), float64(served[1])/float64(arrived[1])
	t.Logf("all: without windows %.4f of %d, with windows %.4f of %d, %+.4f", without, arrived[0], with, arrived[1], with-without)
	require.InDelta(t, without, with, 0.01)
}
