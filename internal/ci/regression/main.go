// Command regression compares the program of a commit with that of the work tree on rehearsal scenarios.
//
//	regression [--scenarios DIR] BASE
//
// It builds both, runs the scenarios of hundreds of agents and the short ones in virtual time on several
// seeds and three short ones with real agents, in turns, and prints a table. It exits with 0 if the work tree
// is no worse, with 1 if it breaks a rule, fails a gate that BASE passed or serves less, and with 2 if the
// comparison cannot be made.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitNoWorse     = 0
	exitWorse       = 1
	exitNotCompared = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("regression", flag.ContinueOnError)
	flags.SetOutput(stderr)
	scenarios := flags.String("scenarios", "rehearsals", "folder of the scenarios")
	if err := flags.Parse(args); err != nil {
		return exitNotCompared
	}
	if flags.NArg() != 1 {
		_, _ = fmt.Fprintln(stderr, "usage: regression [--scenarios DIR] BASE")
		return exitNotCompared
	}
	rows, err := compareWithBase(ctx, flags.Arg(0), *scenarios, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "regression:", err)
		return exitNotCompared
	}
	if err := errors.Join(writeTable(stdout, rows), writeVerdict(stdout, rows)); err != nil {
		_, _ = fmt.Fprintln(stderr, "regression:", err)
		return exitNotCompared
	}
	if len(findings(rows)) > 0 {
		return exitWorse
	}
	return exitNoWorse
}

// compareWithBase builds both sides, runs all scenarios and returns a row for each.
func compareWithBase(ctx context.Context, base, scenarios string, progress io.Writer) ([]row, error) {
	days, err := loadDays(scenarios)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "regression")
	if err != nil {
		return nil, fmt.Errorf("folder for the programs: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	sides, err := buildSides(ctx, base, folder)
	if err != nil {
		return nil, err
	}
	r := runner{sides: sides, folder: folder, progress: progress}
	return r.compare(ctx, days)
}
