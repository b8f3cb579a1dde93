package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"

	"dunestep/internal/rehearsal/report"
)

// liveAttempts is how often a run with real agents is made before it stays without a verdict. One whose kit
// was late says nothing of the agent.
const liveAttempts = 3

// runner runs the days on both sides.
type runner struct {
	sides    [2]side
	folder   string
	progress io.Writer
}

// compare runs all days: first those in virtual time, side by side on all cores, then those with real agents,
// one at a time.
func (r runner) compare(ctx context.Context, days []day) ([]row, error) {
	rows := make([]row, len(days))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, d := range days {
		rows[i] = newRow(d)
		if d.mode == live {
			continue
		}
		for n := range 2 * d.runs {
			group.Go(func() (err error) {
				outcome := &rows[i].outcomes[n%2][n/2]
				*outcome, err = r.runVirtual(ctx, d, n%2, n/2)
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, d := range days {
		if d.mode != live {
			continue
		}
		if err := r.runLive(ctx, d, &rows[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// runVirtual runs a day with one seed in virtual time, with the routing code of a side.
func (r runner) runVirtual(ctx context.Context, d day, sideIndex, run int) (outcome, error) {
	return r.rehearse(ctx, r.sides[sideIndex].rehearse, "run", d.file, "--late",
		"--seed", strconv.FormatUint(d.seed(run), 10))
}

// runLive runs a day with the real agents of both sides, in turns. The kit is the work tree's.
func (r runner) runLive(ctx context.Context, d day, result *row) error {
	for run := range d.runs {
		for position := range 2 {
			sideIndex := (position + run) % 2
			name := r.sides[sideIndex].name
			_, _ = fmt.Fprintf(r.progress, "%s with real agents, run %d, %s\n", d.scen.Name, run+1, name)
			o, err := r.runLiveJudged(ctx, d, sideIndex)
			if err != nil {
				return err
			}
			result.outcomes[sideIndex][run] = o
		}
	}
	return nil
}

// runLiveJudged runs a day with the real agents of one side, again where the kit was late.
func (r runner) runLiveJudged(ctx context.Context, d day, sideIndex int) (o outcome, err error) {
	for range liveAttempts {
		o, err = r.rehearse(ctx, r.sides[1].rehearse, "live", d.file, "--agent", r.sides[sideIndex].agent,
			"--seed", strconv.FormatUint(d.scen.Seed, 10))
		if err != nil || o.notJudged == "" {
			return o, err
		}
	}
	return o, nil
}

// rehearse runs a command of a rehearsal kit and returns the outcome of its report.
func (r runner) rehearse(ctx context.Context, kit string, args ...string) (outcome, error) {
	file, err := os.CreateTemp(r.folder, "report")
	if err != nil {
		return outcome{}, fmt.Errorf("file for a report: %w", err)
	}
	defer func() { _, _ = file.Close(), os.Remove(file.Name()) }()
	c := exec.CommandContext(ctx, kit, append(args, "--json", file.Name())...)
	text, runErr := c.CombinedOutput()
	rep := &report.Report{}
	if err := json.NewDecoder(file).Decode(rep); err != nil || rep.Schema != report.Schema {
		message := strings.TrimSpace(string(text))
		return outcome{}, fmt.Errorf("%s %s: no report: %w", filepath.Base(kit), strings.Join(args, " "),
			errors.Join(runErr, err, errors.New(message)))
	}
	return newOutcome(rep), nil
}
