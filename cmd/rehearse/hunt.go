package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"

	"dunestep/internal/rehearsal"
	"dunestep/internal/rehearsal/scenario"
)

type huntCommand struct {
	Scenario string `arg:"" help:"The scenario's file."`
	Seeds    int    `default:"1000" help:"How many seeds to play."`
	First    uint64 `default:"1" help:"The first of them; the others follow it."`
	Placed   bool   `help:"Have the agents place by agreed generations of the ring."`
	Out      string `help:"Leave the ranking and the worst days in this folder." placeholder:"DIR"`
	protections
}

const (
	mostSeeds = 10_000_000
	shownDays = 20 // in the ranking on the terminal
	keptDays  = 10 // that did not pass, as files
)

// Validate refuses what can't be hunted through.
func (c *huntCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > mostSeeds {
		return fmt.Errorf("--seeds is 1 to %d", mostSeeds)
	}
	return nil
}

// Run hunts for bad days.
func (c *huntCommand) Run(d desk) error {
	set, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	makeRoom(runtime.GOMAXPROCS(0), set)
	if c.Out != "" { // before the hunt: it would be in vain otherwise
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	p := d.progress()
	days, err := rehearsal.Hunt(d.ctx, set, rehearsal.HuntOptions{
		First: c.First, Seeds: c.Seeds,
		Without: c.Without, Placed: c.Placed,
		Progress: func(done, failed int) {
			p.show("%s: %d of %d days played, %d did not pass", set.Name, done, c.Seeds, failed)
		},
	})
	p.clear()
	if err != nil && d.ctx.Err() == nil {
		return err
	}
	c.rank(d.stdout, days)
	if c.Out != "" {
		if err := c.leave(set, days); err != nil {
			return err
		}
	}
	if err == nil && len(days) > 0 && !days[0].Passed {
		err = errFailed
	}
	return err
}

// rank writes the ranking for a terminal.
func (c *huntCommand) rank(out io.Writer, days []rehearsal.Found) {
	sum, squares, bad := 0.0, 0.0, 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "seed\tservice\tcrashed\trules broken\tfindings")
	for i, day := range days {
		squares += day.Service * day.Service
		if sum += day.Service; !day.Passed {
			bad++
		}
		if i < shownDays {
			crashed := "-"
			if day.Crashed {
				crashed = "CRASHED"
			}
			fmt.Fprintf(w, "%d\t%.3f\t%s\t%s\t%s\n", day.Seed, day.Service, crashed, orDash(day.Broken),
				orDash(day.Findings))
		}
	}
	w.Flush()
	n := float64(max(len(days), 1))
	fmt.Fprintf(out, "%d days, %d did not pass, mean service %.3f, standard deviation %.3f\n", len(days), bad,
		sum/n, math.Sqrt(max(squares/n-sum/n*sum/n, 0)))
}

func orDash(words []string) string {
	if len(words) == 0 {
		return "-"
	}
	return strings.Join(words, ", ")
}

// leave writes the ranking, and the worst days that did not pass as scenarios with their seeds.
func (c *huntCommand) leave(set *scenario.Scenario, days []rehearsal.Found) error {
	ranking := struct {
		Schema   int               `json:"schema"`
		Scenario string            `json:"scenario"`
		First    uint64            `json:"first_seed"`
		Seeds    int               `json:"seeds"`
		Without  []string          `json:"without"`
		Placed   bool              `json:"placed,omitempty"` // whatever the scenario says
		Days     []rehearsal.Found `json:"days"`             // the worst first; fewer than seeds if broken off
	}{
		1, set.Name, c.First, c.Seeds, append([]string{}, c.Without...), c.Placed,
		append([]rehearsal.Found{}, days...),
	}
	text, err := json.MarshalIndent(ranking, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "ranking.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	for i, day := range days {
		if day.Passed || i == keptDays {
			break
		}
		bad := *set
		bad.Seed, bad.Agents.Placed = day.Seed, bad.Agents.Placed || c.Placed
		text, err := scenario.Encode(&bad)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d.toml", set.Name, day.Seed)
		if err := os.WriteFile(filepath.Join(c.Out, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
