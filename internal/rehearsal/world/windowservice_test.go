package world

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// week are days of a week, each with its own trouble.
var weekScenarios = []string{"calm-monday", "fast-failures", "flapping", "agent-killed", "slow-for-a-while", "agents-restarted", "taken-out"}

const (
	weekRunLength = 100 * time.Second
	windowFrom    = 15 * time.Second
	windowTo      = 85 * time.Second
)

// playWindow plays a day, with a window that takes a quarter of the servers from two clinic groups or without, and
// returns how many of these groups' first tries between its beginning and its end came, and how many of them were
// served in the end.
func playWindow(t *testing.T, day string, seed uint64, windowed bool) (came, served int) {
	set, err := scenario.Load("../../../rehearsals/" + day + ".toml")
	require.NoError(t, err)
	set.Day.Length = weekRunLength
	if windowed {
		set.Troubles = append(set.Troubles, scenario.Trouble{
			Kind: scenario.Window, At: scenario.Always(windowFrom),
			For: scenario.Always(windowTo - windowFrom), Part: span(0.25, 0.25), Moves: scenario.Always(15 * time.Second),
			Tenants: []string{set.Tenants[0].Name, set.Tenants[1].Name},
		})
	}
	d := &recordingSink{}
	require.NoError(t, Play(t.Context(), set, seed, d, Options{}))
	of, is, chain := map[uint32]bool{}, map[uint32]bool{}, map[uint32]uint32{}
	for _, e := range d.events {
		switch {
		case e.Kind == record.Asked || e.Kind == record.Unreached:
			chain[e.Op] = e.Chain
			if e.Try == 0 && e.Tenant < 2 && e.At >= windowFrom && e.At < windowTo {
				of[e.Chain] = true
			}
		case e.Kind == record.Answered && e.Answer == record.Served:
			is[chain[e.Op]] = true
		}
	}
	for c := range of {
		if came++; is[c] {
			served++
		}
	}
	return came, served
}

// Over a week the moved groups are served within 0.01 of the same week without windows. All seven days, of three seeds,
// with LONG_TESTS; else one.
func TestWindowServiceOverWeek(t *testing.T) {
	days, seeds := weekScenarios[:1], uint64(1)
	if os.Getenv("LONG_TESTS") != "" {
		days, seeds = weekScenarios, 3
	}
	var came, served [2]int
	for seed := range seeds {
		for _, day := range days {
			var part [2]float64
			for i, windowed := range []bool{false, true} {
				c, s := playWindow(t, day, seed+1, windowed)
				came[i], served[i], part[i] = came[i]+c, served[i]+s, float64(s)/float64(c)
			}
			t.Logf("%s, seed %d: without %.4f, with a window %.4f, %+.4f", day, seed+1, part[0], part[1], part[1]-part[0])
		}
	}
	without, with := float64(served[0])/float64(came[0]), float64(served[1])/float64(came[1])
	t.Logf("all: without %.4f of %d, with a window %.4f of %d, %+.4f", without, came[0], with, came[1], with-without)
	require.InDelta(t, without, with, 0.01)
}
