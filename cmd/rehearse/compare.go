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
	Paths  []string `arg:"" help:"Two reports in JSON; or, with two --agent, a scenario's file."`
	Agent  []string `help:"An agents' program; give two." placeholder:"FILE"`
	Rounds int      `default:"5" help:"How often each program plays the day."`
	Seed   *uint64  `help:"What the day's chances are drawn from; the file's own if not given."`
	JSON   string   `help:"Write the differences as JSON to this file." placeholder:"FILE"`
}

// Validate refuses what can't be compared.
func (c *compareCommand) Validate() error {
	switch {
	case len(c.Agent) == 0 && len(c.Paths) == 2, len(c.Agent) == 2 && len(c.Paths) == 1 && c.Rounds >= 1:
		return nil
	}
	return errors.New("give two reports, or two --agent, a scenario and at least one round")
}

// Run compares.
func (c *compareCommand) Run(d desk) error {
	a, b, names, err := c.sides(d)
	if err != nil {
		return err
	}
	all := compare.Rounds(a, b)
	if err := compare.Text(d.stdout, names[0], names[1], len(a), all); err != nil {
		return err
	}
	return writeFile(c.JSON, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(all)
	})
}

func (c *compareCommand) sides(d desk) (a, b []*report.Report, names []string, err error) {
	if len(c.Agent) == 2 {
		a, b, err = c.play(d)
		return a, b, []string{"A: " + c.Agent[0], "B: " + c.Agent[1]}, err
	}
	one, err := readReport(c.Paths[0])
	if err != nil {
		return nil, nil, nil, err
	}
	other, err := readReport(c.Paths[1])
	return []*report.Report{one}, []*report.Report{other}, c.Paths, err
}

func readReport(name string) (*report.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &report.Report{}
	if err := json.NewDecoder(f).Decode(r); err != nil || r.Schema != report.Schema {
		return nil, fmt.Errorf("%s: not a report of this version: %w", name, err)
	}
	return r, nil
}

// play plays the day in rounds. Who is first changes with each, so that what comes with time falls on both.
func (c *compareCommand) play(d desk) (a, b []*report.Report, err error) {
	set, err := playing{Scenario: c.Paths[0], Seed: c.Seed}.load()
	if err != nil {
		return nil, nil, err
	}
	p := d.progress()
	defer p.clear()
	for round := range c.Rounds {
		var of [2]*report.Report
		for turn := range 2 {
			which := (turn + round) % 2
			p.show("round %d of %d: %s", round+1, c.Rounds, c.Agent[which])
			of[which], err = live.Play(d.ctx, set, live.Options{Seed: set.Seed, Program: c.Agent[which]})
			if err != nil {
				return nil, nil, err
			}
			if !of[which].Judged() {
				return nil, nil, fmt.Errorf("round %d: %s", round+1, of[which].Live.Measured.NotJudged)
			}
		}
		a, b = append(a, of[0]), append(b, of[1])
	}
	return a, b, nil
}

type breakCommand struct {
	playing
	Live  bool    `help:"Play live days, not a model's."`
	Agent string  `default:"bin/dunestep" help:"The agents' program." placeholder:"FILE"`
	From  float64 `default:"0.25" help:"The least load that is tried, in times the scenario's."`
	To    float64 `default:"4" help:"The highest."`
	Steps int     `default:"6" help:"How often what is left between them is halved."`
	HTML  string  `help:"Write plots of service, latency and processor time to this file." placeholder:"FILE"`
}

const mostSteps = 20

// Validate refuses what can't be looked through.
func (c *breakCommand) Validate() error {
	if c.From <= 0 || c.To <= c.From || c.Steps < 0 || c.Steps > mostSteps {
		return fmt.Errorf("--from must be above zero and below --to, and --steps 0 to %d", mostSteps)
	}
	return nil
}

func (c *breakCommand) live() func(context.Context, *scenario.Scenario) (*report.Report, error) {
	return func(ctx context.Context, set *scenario.Scenario) (*report.Report, error) {
		return live.Play(ctx, set, live.Options{Seed: set.Seed, Program: c.Agent})
	}
}

// Run looks for the highest load.
func (c *breakCommand) Run(d desk) error {
	set, err := c.load()
	if err != nil {
		return err
	}
	p := d.progress()
	o := rehearsal.BreakOptions{
		Least: c.From, Most: c.To, Steps: c.Steps, Seed: set.Seed,
		Progress: func(load float64) { p.show("%s under %.3f times its load", set.Name, load) },
	}
	if c.Live {
		o.Play = c.live()
	}
	highest, played, err := rehearsal.Break(d.ctx, set, o)
	p.clear()
	if err != nil {
		return err
	}
	if err := report.LoadsText(d.stdout, highest, played); err != nil {
		return err
	}
	return writeFile(c.HTML, func(w io.Writer) error { return report.LoadsHTML(w, highest, played) })
}
