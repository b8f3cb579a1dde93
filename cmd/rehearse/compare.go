package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"dunestep/internal/rehearsal"
	"dunestep/internal/rehearsal/compare"
	"dunestep/internal/rehearsal/live"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

type compareCommand struct {
	Paths  []string `arg:"" help:"Two reports in JSON; or, with two --agent, a scenario file."`
	Agent  []string `help:"An agent's program; give two." placeholder:"FILE"`
	Rounds int      `default:"5" help:"How often the scenario is run with each program."`
	Seed   *uint64  `help:"Seed of the run's random numbers; default: the scenario's own."`
	JSON   string   `help:"Write the differences as JSON to this file." placeholder:"FILE"`
}

// Validate returns an error if the arguments do not give two sides to compare.
func (c *compareCommand) Validate() error {
	switch {
	case len(c.Agent) == 0 && len(c.Paths) == 2, len(c.Agent) == 2 && len(c.Paths) == 1 && c.Rounds >= 1:
		return nil
	}
	return errors.New("give two reports, or two --agent, a scenario and at least one round")
}

// Run compares the reports and prints the differences.
func (c *compareCommand) Run(inv invocation) error {
	a, b, names, err := c.loadReports(inv)
	if err != nil {
		return err
	}
	all := compare.Rounds(a, b)
	if err := compare.Text(inv.stdout, names[0], names[1], len(a), all); err != nil {
		return err
	}
	return writeFile(c.JSON, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(all)
	})
}

func (c *compareCommand) loadReports(inv invocation) (a, b []*report.Report, names []string, err error) {
	if len(c.Agent) == 2 {
		a, b, err = c.playRounds(inv)
		return a, b, []string{"A: " + c.Agent[0], "B: " + c.Agent[1]}, err
	}
	first, err := readReport(c.Paths[0])
	if err != nil {
		return nil, nil, nil, err
	}
	second, err := readReport(c.Paths[1])
	return []*report.Report{first}, []*report.Report{second}, c.Paths, err
}

func readReport(name string) (*report.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &report.Report{}
	if err := json.NewDecoder(f).Decode(r); err != nil || r.Schema != report.Schema {
		return nil, fmt.Errorf("%s: not a report of this schema version: %w", name, err)
	}
	return r, nil
}

// playRounds runs the scenario with both programs in each round. Their order changes from round to round,
// so that changes of the machine over time affect both alike.
func (c *compareCommand) playRounds(inv invocation) (a, b []*report.Report, err error) {
	scen, err := scenarioFlags{Scenario: c.Paths[0], Seed: c.Seed}.load()
	if err != nil {
		return nil, nil, err
	}
	p := inv.progress()
	defer p.clear()
	for round := range c.Rounds {
		var reports [2]*report.Report
		for position := range 2 {
			side := (position + round) % 2
			p.show("round %d of %d: %s", round+1, c.Rounds, c.Agent[side])
			reports[side], err = live.Play(inv.ctx, scen, live.Options{Seed: scen.Seed, Program: c.Agent[side]})
			if err != nil {
				return nil, nil, err
			}
			if !reports[side].Judged() {
				return nil, nil, fmt.Errorf("round %d: %s", round+1, reports[side].Live.Measured.NotJudged)
			}
		}
		a, b = append(a, reports[0]), append(b, reports[1])
	}
	return a, b, nil
}

type breakCommand struct {
	scenarioFlags
	Live  bool    `help:"Run in real time with real agents, not in virtual time."`
	Agent string  `default:"bin/dunestep" help:"The agent's program." placeholder:"FILE"`
	From  float64 `default:"0.25" help:"The lowest load to try, as a multiple of the scenario's."`
	To    float64 `default:"4" help:"The highest load to try, as a multiple of the scenario's."`
	Steps int     `default:"6" help:"How often the interval between them is halved."`
	HTML  string  `help:"Write plots of service, latency and processor time to this file." placeholder:"FILE"`
}

const maxSteps = 20

// Validate returns an error if the search interval or the number of steps is invalid.
func (c *breakCommand) Validate() error {
	if c.From <= 0 || c.To <= c.From || c.Steps < 0 || c.Steps > maxSteps {
		return fmt.Errorf("--from must be above zero and below --to, and --steps 0 to %d", maxSteps)
	}
	return nil
}

func (c *breakCommand) live() func(context.Context, *scenario.Scenario) (*report.Report, error) {
	return func(ctx context.Context, scen *scenario.Scenario) (*report.Report, error) {
		return live.Play(ctx, scen, live.Options{Seed: scen.Seed, Program: c.Agent})
	}
}

// Run searches for the highest load that passes, and prints it with the loads tried.
func (c *breakCommand) Run(inv invocation) error {
	scen, err := c.load()
	if err != nil {
		return err
	}
	p := inv.progress()
	o := rehearsal.BreakOptions{
		MinLoad: c.From, MaxLoad: c.To, Steps: c.Steps, Seed: scen.Seed,
		Progress: func(load float64) { p.show("%s at %.3f times its load", scen.Name, load) },
	}
	if c.Live {
		o.Play = c.live()
	}
	highest, tried, err := rehearsal.Break(inv.ctx, scen, o)
	p.clear()
	if err != nil {
		return err
	}
	if err := report.LoadsText(inv.stdout, highest, tried); err != nil {
		return err
	}
	return writeFile(c.HTML, func(w io.Writer) error { return report.LoadsHTML(w, highest, tried) })
}
