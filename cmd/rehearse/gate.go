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

// The soft memory limit of the garbage collector. Without a limit, a run with many agents and servers grows
// to more memory than it holds; with one that is too low, garbage collection takes ten times as long as the
// run.
const (
	baseMemoryLimit = 200 << 20
	memoryPerPair   = 12 << 10 // of an agent and an upstream server, which hold some 7 KB
)

// raiseMemoryLimit raises the memory limit for this many concurrent runs of the largest scenario, unless
// the user has set GOMEMLIMIT.
func raiseMemoryLimit(runs int, scenarios ...*scenario.Scenario) {
	maxPairs := 0
	for _, s := range scenarios {
		maxPairs = max(maxPairs, s.Agents.Count*s.Fleet.Servers)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(baseMemoryLimit + int64(runs*maxPairs)*memoryPerPair)
	}
}

type gateCommand struct {
	Scenarios []string `arg:"" help:"The scenario files."`
	Seeds     int      `default:"1" help:"Number of seeds for each scenario, its own first."`
	protections
}

// Validate returns an error if the number of seeds is invalid.
func (c *gateCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seeds is 1 to %d", maxSeeds)
	}
	return nil
}

// Run runs the scenarios. Its last line has the verdict for all runs together, with those that failed and
// why.
func (c *gateCommand) Run(inv invocation) error {
	var scenarios []*scenario.Scenario
	for _, file := range c.Scenarios {
		scen, err := scenario.Load(file)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, scen)
	}
	raiseMemoryLimit(runtime.GOMAXPROCS(0), scenarios...)
	p, total := inv.progress(), len(scenarios)*c.Seeds
	results, err := rehearsal.Gate(inv.ctx, scenarios, rehearsal.GateOptions{
		Seeds: c.Seeds, Without: c.Without,
		Progress: func(done int) { p.show("%d of %d runs done", done, total) },
	})
	p.clear()
	var failed []string
	for _, result := range results {
		line := result.String()
		fmt.Fprintln(inv.stdout, line)
		if !result.Passed {
			failed = append(failed, line)
		}
	}
	switch {
	case err != nil:
		return err
	case len(failed) > 0:
		fmt.Fprintln(inv.stdout, "GATE failed:", strings.Join(failed, "; "))
		return errNotPassed
	}
	fmt.Fprintln(inv.stdout, "GATE passed")
	return nil
}

type soakCommand struct {
	Scenario string  `arg:"" help:"The scenario file."`
	Seed     *uint64 `help:"Seed to use instead of the scenario's own."`
	MostKB   float64 `name:"most-kb" default:"64" help:"Maximum growth of each agent in the last third, in KB."`
}

// Validate returns an error if the limit of growth is invalid.
func (c *soakCommand) Validate() error {
	if !(c.MostKB > 0) {
		return errors.New("--most-kb must be above zero")
	}
	return nil
}

// Run runs a scenario and prints the memory in use by its agents. It fails if that grows by more than the
// limit.
func (c *soakCommand) Run(inv invocation) error {
	scen, err := load(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	raiseMemoryLimit(1, scen)
	p := inv.progress()
	show := func(at time.Duration) { p.show("%s: %v of %v done", scen.Name, at, scen.Run.Length) }
	soaked, err := rehearsal.Soak(inv.ctx, scen, rehearsal.Options{Seed: scen.Seed, Progress: show})
	p.clear()
	if err != nil {
		return err
	}
	for _, h := range soaked.Samples {
		fmt.Fprintf(inv.stdout, "%6.0f s  %8.1f MB in use, %.1f KB for each agent\n", h.At.Seconds(),
			float64(h.Heap)/(1<<20), float64(h.Heap)/1024/float64(soaked.Agents))
	}
	growth := soaked.Growth() / 1024
	fmt.Fprintf(inv.stdout, "growth in the last third: %+.1f KB for each agent, limit %.1f\n", growth, c.MostKB)
	if growth > c.MostKB {
		return errNotPassed
	}
	return nil
}
