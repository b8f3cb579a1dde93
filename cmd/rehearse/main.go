// Command rehearse plays days in virtual time through the routing code that ships, judges them, hunts for bad
// ones and shrinks them. See docs/rehearsal.md.
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
	passed   = 0
	failed   = 1 // a rule broken, service below the floor, or a day broken off
	badUsage = 2 // or a bad scenario, or a day that can't be played
	unjudged = 3 // a live day in which the kit itself was late
)

// protections are what --without takes out.
type protections struct {
	Without []string `enum:"${protections}" help:"Protections to take out: ${protections}." placeholder:"NAME"`
}

type commands struct {
	Run     runCommand     `cmd:"" help:"Play one day and report it."`
	Live    liveCommand    `cmd:"" help:"Play one day in real time at real agents on loopback, and report it."`
	Compare compareCommand `cmd:"" help:"Compare two reports, or two agents' programs in turn on one day."`
	Break   breakCommand   `cmd:"" help:"Find the highest load that keeps the rules and the scenario's floor."`
	Bench   benchCommand   `cmd:"" help:"Measure an agent's own cost beside a reverse proxy's."`
	Part    partCommand    `cmd:"" hidden:""`
	Gate    gateCommand    `cmd:"" help:"Play days, and pass or fail them together, with rule and day."`
	Soak    soakCommand    `cmd:"" help:"Play a long day and look whether the agents' memory grows."`
	Hunt    huntCommand    `cmd:"" help:"Play many seeds on all cores and rank the days, the worst first."`
	Shrink  shrinkCommand  `cmd:"" help:"Shrink a bad day to the smallest that is still as bad."`
	List    listCommand    `cmd:"" help:"List the scenarios at hand, and the protections that can be taken out."`
}

// A desk is where a command reads and writes.
type desk struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

func main() {
	makeRoom(0)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(desk{ctx, os.Stdout, os.Stderr}, os.Args[1:]))
}

// run carries out a command line and returns the exit code.
func run(d desk, args []string) int {
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description("Rehearse days in virtual time."),
		kong.Writers(d.stdout, d.stderr), kong.Exit(func(c int) { code = c }),
		kong.Vars{"protections": strings.Join(protectionNames(), ",")})
	if err != nil {
		panic(err) // the commands above are wrong, not what was typed
	}
	line, err := parser.Parse(args)
	if code >= 0 { // help was asked for and given
		return code
	}
	if err != nil {
		fmt.Fprintln(d.stderr, "rehearse:", err)
		return badUsage
	}
	if err = line.Run(d); err != nil {
		return d.exitCode(err)
	}
	return passed
}

// errFailed ends a command whose day did not pass, which its report has told already.
var errFailed = errors.New("the day did not pass")

// exitCode tells of an error, where that is needed, and returns the exit code for it.
func (d desk) exitCode(err error) int {
	switch {
	case errors.Is(err, errFailed):
		return failed
	case errors.Is(err, errUnjudged):
		return unjudged
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(d.stderr, "rehearse: broken off; what was done so far is left")
		return failed
	default:
		fmt.Fprintln(d.stderr, "rehearse:", err)
		return badUsage
	}
}

func protectionNames() (names []string) {
	for _, p := range rehearsal.Protections {
		names = append(names, p.Name)
	}
	return names
}

// outputs are where a report goes beside the terminal.
type outputs struct {
	JSON string `help:"Write the report as JSON to this file." placeholder:"FILE"`
	HTML string `help:"Write the report as a page to this file." placeholder:"FILE"`
}

type runCommand struct {
	Scenario string  `arg:"" help:"The scenario's file."`
	Seed     *uint64 `help:"What the day's chances are drawn from; the file's own if not given."`
	Late     bool    `help:"Play it too with agents that see the servers late, to measure the shares by."`
	Placed   bool    `help:"Have the agents place by agreed generations of the ring."`
	outputs
	protections
}

// Run plays a day.
func (c *runCommand) Run(d desk) error {
	set, err := load(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	makeRoom(1, set)
	p := d.progress()
	r, err := rehearsal.Play(d.ctx, set, rehearsal.Options{
		Seed: set.Seed, Without: c.Without, Late: c.Late,
		Placed:   c.Placed,
		Progress: func(at time.Duration) { p.show("%s: %v of %v played", set.Name, at, set.Day.Length) },
	})
	p.clear()
	if r == nil {
		return err
	}
	if err := c.write(d, r); err != nil {
		return err
	}
	if err == nil && !r.Passed {
		err = errFailed
	}
	return err
}

// write writes a report for the terminal, and to the files that are named.
func (o outputs) write(d desk, r *report.Report) error {
	if err := r.Text(d.stdout); err != nil {
		return err
	}
	if err := writeFile(o.JSON, r.JSON); err != nil {
		return err
	}
	return writeFile(o.HTML, r.HTML)
}

// writeFile writes a file; an empty name: none.
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

// load reads a scenario's file. A seed takes the place of the file's own; nil: none does.
func load(file string, seed *uint64) (*scenario.Scenario, error) {
	set, err := scenario.Load(file)
	if err == nil && seed != nil {
		set.Seed = *seed
	}
	return set, err
}

type shrinkCommand struct {
	Day  string  `arg:"" help:"A bad day: a scenario's file with its seed, as a hunt leaves them."`
	Seed *uint64 `help:"Another seed than the file's own."`
	Out  string  `required:"" help:"Where to write the smallest scenario found." placeholder:"FILE"`
	protections
}

// Run shrinks a day.
func (c *shrinkCommand) Run(d desk) error {
	set, err := load(c.Day, c.Seed)
	if err != nil {
		return err
	}
	makeRoom(runtime.GOMAXPROCS(0), set)
	p := d.progress()
	small, err := rehearsal.Shrink(d.ctx, set, rehearsal.ShrinkOptions{
		Without: c.Without,
		Progress: func(played int, now *scenario.Scenario) {
			p.show("%d days played: %v, %d agents, %d servers, %d troubles", played, now.Day.Length,
				now.Agents.Count, now.Fleet.Servers, len(now.Troubles))
		},
	})
	p.clear()
	if small == nil {
		return err
	}
	text, encodeErr := scenario.Encode(small)
	if encodeErr != nil {
		return encodeErr
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(d.stdout, "%s: %v, %d agents, %d servers, %d troubles, seed %d\n", c.Out, small.Day.Length,
		small.Agents.Count, small.Fleet.Servers, len(small.Troubles), small.Seed)
	return err
}

type listCommand struct {
	Dir string `default:"rehearsals" help:"The folder of the scenarios." type:"path"`
}

// Run lists scenarios. One that can't be read is listed with what is wrong.
func (c *listCommand) Run(d desk) error {
	names, err := fs.Glob(os.DirFS(c.Dir), "*.toml")
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("no scenarios in %s", c.Dir)
	}
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(d.stdout, 0, 0, 2, ' ', 0)
	var bad []error
	for _, name := range names { // fs.Glob sorts
		set, err := scenario.Load(filepath.Join(c.Dir, name))
		if err != nil {
			bad = append(bad, err)
			continue
		}
		fmt.Fprintf(w, "%s\t%v\t%d servers, %d agents\tfloor %.2f\t%s\n", set.Name, set.Day.Length,
			set.Fleet.Servers, set.Agents.Count, set.Floor, set.About)
	}
	fmt.Fprintln(w, "\nWhat --without takes out:")
	for _, p := range rehearsal.Protections {
		fmt.Fprintf(w, "%s\t%s\n", p.Name, p.Text)
	}
	return errors.Join(append(bad, w.Flush())...)
}
