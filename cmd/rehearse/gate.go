package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"dunestep/internal/rehearsal"
	"dunestep/internal/rehearsal/scenario"
)

// The memory that the collector leaves alone: a wide day grows past what it holds without a limit, and
// under one that is too low for it the collector takes ten times as long as the day.
const (
	memoryLimit   = 200 << 20
	memoryPerPair = 12 << 10 // of an agent and a booking server: some 7 KB are held
)

// makeRoom raises the memory limit for days that are played side by side, unless the user has set one.
func makeRoom(days int, sets ...*scenario.Scenario) {
	most := 0
	for _, s := range sets {
		most = max(most, s.Agents.Count*s.Fleet.Servers)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit + int64(days*most)*memoryPerPair)
	}
}

type gateCommand struct {
	Scenarios []string `arg:"" help:"The scenarios' files."`
	Seeds     int      `default:"1" help:"How many seeds of each, its own first."`
	protections
}

// Validate refuses what can't be played.
func (c *gateCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > mostSeeds {
		return fmt.Errorf("--seeds is 1 to %d", mostSeeds)
	}
	return nil
}

// Run plays the days and says with the last line whether all of them may pass, or which may not and why.
func (c *gateCommand) Run(d desk) error {
	var sets []*scenario.Scenario
	for _, file := range c.Scenarios {
		set, err := scenario.Load(file)
		if err != nil {
			return err
		}
		sets = append(sets, set)
	}
	makeRoom(runtime.GOMAXPROCS(0), sets...)
	p, all := d.progress(), len(sets)*c.Seeds
	days, err := rehearsal.Gate(d.ctx, sets, rehearsal.GateOptions{
		Seeds: c.Seeds, Without: c.Without,
		Progress: func(done int) { p.show("%d of %d days played", done, all) },
	})
	p.clear()
	var failed []string
	for _, day := range days {
		line := day.String()
		fmt.Fprintln(d.stdout, line)
		if !day.Passed {
			failed = append(failed, line)
		}
	}
	switch {
	case err != nil:
		return err
	case len(failed) > 0:
		fmt.Fprintln(d.stdout, "GATE failed:", strings.Join(failed, "; "))
		return errFailed
	}
	fmt.Fprintln(d.stdout, "GATE passed")
	return nil
}

type soakCommand struct {
	Scenario string  `arg:"" help:"The scenario's file."`
	Seed     *uint64 `help:"Another seed than the file's own."`
	MostKB   float64 `name:"most-kb" default:"64" help:"How much each agent may grow in the last third."`
}

// Validate refuses what can't be compared with.
func (c *soakCommand) Validate() error {
	if !(c.MostKB > 0) {
		return errors.New("--most-kb must be above zero")
	}
	return nil
}

// Run plays a day and tells what its agents held in memory.
func (c *soakCommand) Run(d desk) error {
	set, err := load(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	makeRoom(1, set)
	p := d.progress()
	show := func(at time.Duration) { p.show("%s: %v of %v played", set.Name, at, set.Day.Length) }
	s, err := rehearsal.Soak(d.ctx, set, rehearsal.Options{Seed: set.Seed, Progress: show})
	p.clear()
	if err != nil {
		return err
	}
	for _, h := range s.Held {
		fmt.Fprintf(d.stdout, "%6.0f s  %8.1f MB held, %.1f KB for each agent\n", h.At.Seconds(),
			float64(h.Heap)/(1<<20), float64(h.Heap)/1024/float64(s.Agents))
	}
	grown := s.Growth() / 1024
	fmt.Fprintf(d.stdout, "in the last third %+.1f KB for each agent, %.1f at most\n", grown, c.MostKB)
	if grown > c.MostKB {
		return errFailed
	}
	return nil
}
