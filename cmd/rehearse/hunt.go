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
	Scenario string `arg:"" help:"The scenario file."`
	Seeds    int    `default:"1000" help:"Number of seeds to run."`
	First    uint64 `default:"1" help:"The first seed; the others follow it."`
	Placed   bool   `help:"Have the agents use the ring assignment that they agree on."`
	Out      string `help:"Write the ranking and the worst runs to this folder." placeholder:"DIR"`
	protections
}

const (
	maxSeeds  = 10_000_000
	shownRuns = 20 // in the printed ranking
	keptRuns  = 10 // failed runs that are written as files
)

// Validate returns an error if the number of seeds is invalid.
func (c *huntCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seeds is 1 to %d", maxSeeds)
	}
	return nil
}

// Run runs a scenario with many seeds and ranks the runs, the worst first.
func (c *huntCommand) Run(inv invocation) error {
	scen, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	raiseMemoryLimit(runtime.GOMAXPROCS(0), scen)
	if c.Out != "" { // before the hunt, as its results could not be written otherwise
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	p := inv.progress()
	results, err := rehearsal.Hunt(inv.ctx, scen, rehearsal.HuntOptions{
		First: c.First, Seeds: c.Seeds,
		Without: c.Without, RingAssignment: c.Placed,
		Progress: func(done, failed int) {
			p.show("%s: %d of %d runs done, %d did not pass", scen.Name, done, c.Seeds, failed)
		},
	})
	p.clear()
	if err != nil && inv.ctx.Err() == nil {
		return err
	}
	c.writeRanking(inv.stdout, results)
	if c.Out != "" {
		if err := c.writeFiles(scen, results); err != nil {
			return err
		}
	}
	if err == nil && len(results) > 0 && !results[0].Passed {
		err = errNotPassed
	}
	return err
}

// writeRanking writes the ranking as text.
func (c *huntCommand) writeRanking(out io.Writer, results []rehearsal.SeedResult) {
	sum, squares, failed := 0.0, 0.0, 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "seed\tservice\tcrashed\trules broken\tfindings")
	for i, result := range results {
		squares += result.Service * result.Service
		if sum += result.Service; !result.Passed {
			failed++
		}
		if i < shownRuns {
			crashed := "-"
			if result.Crashed {
				crashed = "CRASHED"
			}
			fmt.Fprintf(w, "%d\t%.3f\t%s\t%s\t%s\n", result.Seed, result.Service, crashed, joinOrDash(result.Broken),
				joinOrDash(result.Findings))
		}
	}
	w.Flush()
	n := float64(max(len(results), 1))
	fmt.Fprintf(out, "%d runs, %d did not pass, mean service %.3f, standard deviation %.3f\n", len(results),
		failed, sum/n, math.Sqrt(max(squares/n-sum/n*sum/n, 0)))
}

func joinOrDash(items []string) string {
	if len(items) == 0 {
		return "-"
	}
	return strings.Join(items, ", ")
}

// writeFiles writes the ranking as JSON, and the worst failed runs as scenario files with their seeds.
func (c *huntCommand) writeFiles(scen *scenario.Scenario, results []rehearsal.SeedResult) error {
	ranking := struct {
		Schema   int      `json:"schema"`
		Scenario string   `json:"scenario"`
		First    uint64   `json:"first_seed"`
		Seeds    int      `json:"seeds"`
		Without  []string `json:"without"`
		Placed   bool     `json:"placed,omitempty"` // by the flag, whatever the scenario has
		// Results are sorted, the worst first. There are fewer than Seeds if the hunt was interrupted.
		Results []rehearsal.SeedResult `json:"days"`
	}{
		1, scen.Name, c.First, c.Seeds, append([]string{}, c.Without...), c.Placed,
		append([]rehearsal.SeedResult{}, results...),
	}
	text, err := json.MarshalIndent(ranking, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, "ranking.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	for i, result := range results {
		if result.Passed || i == keptRuns {
			break
		}
		failing := *scen
		failing.Seed, failing.Agents.RingPlacement = result.Seed, failing.Agents.RingPlacement || c.Placed
		text, err := scenario.Encode(&failing)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d.toml", scen.Name, result.Seed)
		if err := os.WriteFile(filepath.Join(c.Out, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
