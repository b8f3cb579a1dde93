package world

import (
	"time"

	"dunestep/internal/rehearsal/scenario"
)

func span(low, high float64) scenario.Span { return scenario.Span{Low: low, High: high} }
func ms(low, high float64) scenario.TimeSpan {
	return scenario.TimeSpan{Low: time.Duration(low * 1e6), High: time.Duration(high * 1e6)}
}

// deployment returns a scenario with steady load: 13 servers, 5 agents, 330 requests a second.
func deployment(length time.Duration) *scenario.Scenario {
	sc, err := scenario.Load("../../../rehearsals/calm-monday.toml")
	if err != nil {
		panic(err)
	}
	sc.Run.Length, sc.Agents.Count, sc.Fleet.Servers = length, 5, 13
	sc.Load.PerS, sc.Load.OfCapacity, sc.Load.Shape = span(330, 330), span(0, 0), scenario.Steady
	return sc
}
