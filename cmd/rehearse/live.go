package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"dunestep/internal/rehearsal/live"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
)

// errNotJudged ends a command whose live run has no verdict, as the rehearsal kit itself was late. The
// report has printed this already.
var errNotJudged = errors.New("the run is not judged")

// scenarioFlags are the arguments that select the scenario of a live run.
type scenarioFlags struct {
	Scenario string  `arg:"" help:"The scenario file."`
	Seed     *uint64 `help:"Seed of the run's random numbers; default: the scenario's own."`
	Agents   int     `help:"Number of agents, instead of the scenario's." placeholder:"K"`
}

// load reads the scenario and applies the flags.
func (f scenarioFlags) load() (*scenario.Scenario, error) {
	scen, err := scenario.Load(f.Scenario)
	if err != nil {
		return nil, err
	}
	if f.Seed != nil {
		scen.Seed = *f.Seed
	}
	if f.Agents > 0 {
		scen.Agents.Count = f.Agents
	}
	return scen, nil
}

type liveCommand struct {
	scenarioFlags
	Agent   string `default:"bin/dunestep" help:"The agent's program." placeholder:"FILE"`
	Plan    string `help:"Write the plan, fixed by scenario and seed, to this file." placeholder:"FILE"`
	Verbose bool   `help:"Print the agents' logs."`
	outputs
}

// Run runs the scenario live and reports the run.
func (c *liveCommand) Run(inv invocation) error {
	scen, err := c.load()
	if err != nil {
		return err
	}
	plan := func(w io.Writer) error { return live.WritePlan(w, world.NewPlan(scen, scen.Seed)) }
	if err := writeFile(c.Plan, plan); err != nil {
		return err
	}
	p := inv.progress()
	o := live.Options{Seed: scen.Seed, Program: c.Agent, Progress: func(at time.Duration) {
		p.show("%s: %v of %v done", scen.Name, at, scen.Run.Length)
	}}
	if c.Verbose {
		o.Log = func(agent, line string) { fmt.Fprintln(inv.stderr, agent, line) }
	}
	r, err := live.Play(inv.ctx, scen, o)
	p.clear()
	if r == nil {
		return err
	}
	if err := c.write(inv, r); err != nil {
		return err
	}
	switch {
	case err != nil:
		return err
	case !r.Judged():
		return errNotJudged
	case !r.Passed:
		return errNotPassed
	}
	return nil
}
