// Command rehearse runs scenarios in virtual time with the production routing code, judges the runs,
// searches for seeds with bad runs and reduces those to small scenarios. See docs/rehearsal.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"dunestep/internal/rehearsal"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

// The exit codes.
const (
	exitPassed    = 0
	exitFailed    = 1 // a rule was broken, service was below the floor, or the run was interrupted
	exitUsage     = 2 // also an invalid scenario, or one that cannot be run
	exitNotJudged = 3 // a live run in which the kit itself was late
)

// protections is the flag that disables protections.
type protections struct {
	Without []string `enum:"${protections}" help:"Protections to disable: ${protections}." placeholder:"NAME"`
}

type commands struct {
	Run     runCommand     `cmd:"" help:"Run one scenario in virtual time."`
	Live    liveCommand    `cmd:"" help:"Run one scenario in real time with real agents on loopback."`
	Compare compareCommand `cmd:"" help:"Compare two reports, or two programs of the agent on one scenario."`
	Break   breakCommand   `cmd:"" help:"Find the highest load at which the rules and the floor are kept."`
	Bench   benchCommand   `cmd:"" help:"Measure the cost of an agent compared with a reverse proxy."`
	Part    partCommand    `cmd:"" hidden:""`
	Gate    gateCommand    `cmd:"" help:"Run scenarios, and pass or fail them together, with the reasons."`
	Soak    soakCommand    `cmd:"" help:"Run a long scenario and check whether the agents' memory grows."`
	Hunt    huntCommand    `cmd:"" help:"Run many seeds on all cores and rank the runs, the worst first."`
	Shrink  shrinkCommand  `cmd:"" help:"Reduce a failing scenario to the smallest that fails in the same way."`
	List    listCommand    `cmd:"" help:"List the scenarios of a folder, and the protections to disable."`
}

// invocation is the context and the output streams of a command.
type invocation struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func main() {
	raiseMemoryLimit(0)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(invocation{ctx, os.Stdout, os.Stderr}, os.Args[1:]))
}

// run runs a command line and returns the exit code.
func run(inv invocation, args []string) int {
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description("Run scenarios in virtual time."),
		kong.Writers(inv.stdout, inv.stderr), kong.Exit(func(c int) { code = c }),
		kong.Vars{"protections": strings.Join(protectionNames(), ",")})
	if err != nil {
		panic(err) // the declaration of the commands is invalid, not the command line
	}
	line, err := parser.Parse(args)
	if code >= 0 { // help was printed
		return code
	}
	if err != nil {
		fmt.Fprintln(inv.stderr, "rehearse:", err)
		return exitUsage
	}
	if err = line.Run(inv); err != nil {
		return inv.exitCode(err)
	}
	return exitPassed
}

// errNotPassed ends a command whose run did not pass. The report has printed this already.
var errNotPassed = errors.New("the run did not pass")

// exitCode prints an error, unless a report has printed it already, and returns its exit code.
func (inv invocation) exitCode(err error) int {
	switch {
	case errors.Is(err, errNotPassed):
		return exitFailed
	case errors.Is(err, errNotJudged):
		return exitNotJudged
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(inv.stderr, "rehearse: interrupted; the results so far are kept")
		return exitFailed
	default:
		fmt.Fprintln(inv.stderr, "rehearse:", err)
		return exitUsage
	}
}

func protectionNames() (names []string) {
	for _, p := range rehearsal.Protections {
		names = append(names, p.Name)
	}
	return names
}

// outputs are the files to which a report is written in addition to the terminal.
type outputs struct {
	JSON string `help:"Write the report as JSON to this file." placeholder:"FILE"`
	HTML string `help:"Write the report as an HTML page to this file." placeholder:"FILE"`
}

type runCommand struct {
	Scenario string  `arg:"" help:"The scenario file."`
	Seed     *uint64 `help:"Seed of the run's random numbers; default: the scenario's own."`
	Late     bool    `help:"Also run with agents that see the servers late, to measure the shares against."`
	Placed   bool    `help:"Have the agents use the ring assignment that they agree on."`
	outputs
	protections
}

// Run runs a scenario and reports the run.
func (c *runCommand) Run(inv invocation) error {
	scen, err := load(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	raiseMemoryLimit(1, scen)
	p := inv.progress()
	r, err := rehearsal.Play(inv.ctx, scen, rehearsal.Options{
		Seed: scen.Seed, Without: c.Without, MeasureShares: c.Late,
		RingAssignment: c.Placed,
		Progress:       func(at time.Duration) { p.show("%s: %v of %v done", scen.Name, at, scen.Run.Length) },
	})
	p.clear()
	if r == nil {
		return err
	}
	if err := c.write(inv, r); err != nil {
		return err
	}
	if err == nil && !r.Passed {
		err = errNotPassed
	}
	return err
}

// write prints a report and writes it to the files that are set.
func (o outputs) write(inv invocation, r *report.Report) error {
	if err := r.Text(inv.stdout); err != nil {
		return err
	}
	if err := writeFile(o.JSON, r.JSON); err != nil {
		return err
	}
	return writeFile(o.HTML, r.HTML)
}

// writeFile creates a file and calls write with it; an empty name: does nothing.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// load reads a scenario file. seed replaces the file's own; nil: the file's own is kept.
func load(file string, seed *uint64) (*scenario.Scenario, error) {
	scen, err := scenario.Load(file)
	if err == nil && seed != nil {
		scen.Seed = *seed
	}
	return scen, err
}

type shrinkCommand struct {
	Day  string  `arg:"" help:"A scenario file with the seed of a failing run, as hunt writes them."`
	Seed *uint64 `help:"Seed to use instead of the scenario's own."`
	Out  string  `required:"" help:"Write the smallest scenario found to this file." placeholder:"FILE"`
	protections
}

// Run searches for the smallest scenario that fails in the same way and writes it.
func (c *shrinkCommand) Run(inv invocation) error {
	scen, err := load(c.Day, c.Seed)
	if err != nil {
		return err
	}
	raiseMemoryLimit(runtime.GOMAXPROCS(0), scen)
	p := inv.progress()
	smallest, err := rehearsal.Shrink(inv.ctx, scen, rehearsal.ShrinkOptions{
		Without: c.Without,
		Progress: func(played int, current *scenario.Scenario) {
			p.show("%d runs done: %v, %d agents, %d servers, %d faults", played, current.Run.Length,
				current.Agents.Count, current.Fleet.Servers, len(current.Faults))
		},
	})
	p.clear()
	if smallest == nil {
		return err
	}
	text, encodeErr := scenario.Encode(smallest)
	if encodeErr != nil {
		return encodeErr
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(inv.stdout, "%s: %v, %d agents, %d servers, %d faults, seed %d\n", c.Out, smallest.Run.Length,
		smallest.Agents.Count, smallest.Fleet.Servers, len(smallest.Faults), smallest.Seed)
	return err
}

type listCommand struct {
	Dir string `default:"rehearsals" help:"The folder of the scenarios." type:"path"`
}

// Run lists the scenarios and protections. It returns the errors of scenarios that can't be read.
func (c *listCommand) Run(inv invocation) error {
	names, err := fs.Glob(os.DirFS(c.Dir), "*.toml")
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("no scenarios in %s", c.Dir)
	}
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	var bad []error
	for _, name := range names { // fs.Glob sorts
		scen, err := scenario.Load(filepath.Join(c.Dir, name))
		if err != nil {
			bad = append(bad, err)
			continue
		}
		fmt.Fprintf(w, "%s\t%v\t%d servers, %d agents\tfloor %.2f\t%s\n", scen.Name, scen.Run.Length,
			scen.Fleet.Servers, scen.Agents.Count, scen.Floor, scen.About)
	}
	fmt.Fprintln(w, "\nProtections that --without disables:")
	for _, p := range rehearsal.Protections {
		fmt.Fprintf(w, "%s\t%s\n", p.Name, p.Text)
	}
	return errors.Join(append(bad, w.Flush())...)
}
