package main

import (
	"fmt"
	"path/filepath"

	"dunestep/internal/rehearsal/scenario"
)

// mode is how a day is run.
type mode string

const (
	virtual mode = "virtual"
	live    mode = "live"
)

// day is a scenario with the number of its runs on each side: consecutive seeds in virtual time, and the
// scenario's own seed each time with real agents, whose runs differ by themselves.
type day struct {
	file string
	scen *scenario.Scenario
	mode mode
	runs int
}

// seed returns the seed of one of the day's runs.
func (d day) seed(run int) uint64 {
	if d.mode == live {
		return d.scen.Seed
	}
	return d.scen.Seed + uint64(run)
}

// dayList names the days of one kind.
type dayList struct {
	mode  mode
	runs  int
	names []string
}

// dayLists are the days of a comparison.
var dayLists = []dayList{
	{virtual, 3, []string{"fleet-calm", "fleet-roll", "fleet-herd", "fleet-zone", "fleet-split", "fleet-join"}},
	{virtual, 10, []string{
		"brink-calm", "brink-herd", "brink-join", "brink-roll", "brink-split", "brink-throng", "brink-zone",
	}},
	{live, 2, []string{"brink-calm", "brink-split", "brink-roll"}},
}

// loadDays reads the scenarios of all days from a folder.
func loadDays(folder string) (days []day, err error) {
	for _, list := range dayLists {
		for _, name := range list.names {
			file, err := filepath.Abs(filepath.Join(folder, name+".toml"))
			if err != nil {
				return nil, fmt.Errorf("scenario %s: %w", name, err)
			}
			scen, err := scenario.Load(file)
			if err != nil {
				return nil, fmt.Errorf("scenario %s: %w", name, err)
			}
			days = append(days, day{file: file, scen: scen, mode: list.mode, runs: list.runs})
		}
	}
	return days, nil
}
