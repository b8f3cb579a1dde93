// Command dunestep is the agent: it runs beside one copy of the calling application, accepts its requests,
// and forwards each to an upstream server that the balancer selects. Its other commands check files, and talk
// to a running agent at its operators' socket.
//
// The package wires the agent together and owns what concerns the whole process: settings and their reload
// (settings.go, serve.go), resource limits (limits.go), start and shutdown (process.go, shutdown.go), the
// handover between two processes of one agent (takeover.go, handover.go), what operators set
// (manual.go), and this agent's part in the fleet (fleet*.go, policy*.go, maintenance*.go, ring*.go).
// Decisions are made in the packages below internal.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dunestep/internal/operator"
)

// The exit codes of an error. A command that succeeds exits with 0.
const (
	exitFailure = 1
	// exitInvalidFiles is of a check that has found something.
	exitInvalidFiles = 2
)

// errInvalidFiles ends a check that has printed what is wrong.
var errInvalidFiles = errors.New("the files can't be used")

// commandLine is the program's command line. The names of its fields are those of commands and flags.
type commandLine struct {
	Operator string `help:"Read the operator file FILE." placeholder:"FILE"`

	Serve   serveCommand   `cmd:"" default:"1" help:"Serve, as the configuration says (the default)."`
	Check   checkCommand   `cmd:"" help:"Tell all that is wrong with the files, and start nothing."`
	Version versionCommand `cmd:"" help:"Tell which program this is."`
	State   stateCommands  `cmd:"" help:"Look into a file that is kept over a restart."`
	Fleet   fleetCommands  `cmd:"" help:"Ask an agent what the fleet agrees on, and tell the whole fleet."`
}

func main() {
	err := run(os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, errInvalidFiles):
		os.Exit(exitInvalidFiles)
	default:
		for _, problem := range operator.Problems(err) {
			fmt.Fprintln(os.Stderr, "dunestep:", problem)
		}
		os.Exit(exitFailure)
	}
}

// run runs the command of a command line. Where help is asked for, it prints that and exits.
func run(args []string) error {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("dunestep"),
		kong.Description("A load balancing agent for one client."))
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run(&line)
}
