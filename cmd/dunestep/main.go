// Command dunestep is the agent: it runs beside one copy of the calling application, accepts its requests,
// and forwards each to an upstream server that the balancer selects. Its other commands check files, and call
// a running agent's operators' socket.
//
// The package wires the agent together and has what concerns the whole process: settings and their reload
// (settings.go, serve.go), resource limits (limits.go), start and shutdown (process.go, shutdown.go), the
// handover between two processes of one agent (takeover.go, handover.go), operators' settings
// (manual.go), and this agent's membership in the fleet (fleet*.go, policy*.go, maintenance*.go, ring*.go).
// Decisions are made in the packages below internal.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dunestep/internal/operator"
)

// Exit codes of commands that fail. A command that succeeds exits with 0.
const (
	exitFailure = 1
	// exitInvalidFiles is the exit code of a check that has found problems.
	exitInvalidFiles = 2
)

// errInvalidFiles is returned by a check that has printed the problems.
var errInvalidFiles = errors.New("the files can't be used")

// commandLine is the program's command line. Kong derives the commands' and flags' names from the fields'.
type commandLine struct {
	Operator string `help:"Read the operator file FILE." placeholder:"FILE"`

	Serve   serveCommand   `cmd:"" default:"1" help:"Run the agent (the default)."`
	Check   checkCommand   `cmd:"" help:"Print all problems of the files, without starting the agent."`
	Version versionCommand `cmd:"" help:"Print the program's version."`
	State   stateCommands  `cmd:"" help:"Inspect a file with the state that survives a restart."`
	Fleet   fleetCommands  `cmd:"" help:"Query and control the fleet through one of its agents."`
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

// run runs the command that args name. For --help, it prints the help and exits the process.
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
