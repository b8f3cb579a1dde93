package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/protocol"
)

// fleetCommands query and control the fleet through a running agent's operators' socket.
type fleetCommands struct {
	Status fleetStatusCommand `cmd:"" help:"Show an agent's view of the fleet, and the agreed state."`
	Down   fleetDownCommand   `cmd:"" help:"Disable an upstream server at all agents, and wait for that."`
	Up     fleetUpCommand     `cmd:"" help:"Enable an upstream server at all agents, and wait for that."`
	Policy policyCommands     `cmd:"" help:"Policies, which take effect at all agents together."`
	Window windowCommands     `cmd:"" help:"Maintenance windows, in which servers get no requests."`
}

// The errors of a command to the fleet that was not committed, or of which that is unknown.
var (
	errNotCommitted  = errors.New("not taken: the voters did not commit it in time")
	errIndeterminate = errors.New("not known whether it was taken: check fleet status, and retry")
)

type fleetStatusCommand struct {
	opsClient
	JSON bool `help:"Print JSON."`
}

// Run prints the fleet's status as a table, or as JSON.
func (c fleetStatusCommand) Run() error {
	var s fleetStatus
	if err := c.call(http.MethodGet, "/ops/fleet/status", "", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	return s.write(os.Stdout)
}

// endpointCommand changes one endpoint at all agents.
type endpointCommand struct {
	opsClient
	ID   string        `arg:"" help:"The upstream server's id."`
	Wait time.Duration `help:"How long to wait until it is in force." default:"30s"`
}

type (
	fleetDownCommand struct{ endpointCommand }
	fleetUpCommand   struct{ endpointCommand }
)

// Run disables the endpoint at all agents.
func (c fleetDownCommand) Run() error { return c.propose("/ops/fleet/booking-servers/down") }

// Run enables the endpoint at all agents.
func (c fleetUpCommand) Run() error { return c.propose("/ops/fleet/booking-servers/up") }

// propose proposes the command, and waits until it is in force. If it is not in force after Wait, the error
// has its last known state.
func (c endpointCommand) propose(path string) error {
	var p protocol.FleetProposal
	if err := c.call(http.MethodPost, path, c.ID, &p); err != nil {
		return err
	}
	for until := time.Now().Add(c.Wait); time.Now().Before(until); time.Sleep(outcomePollInterval) {
		if err := c.call(http.MethodGet, fmt.Sprint("/ops/fleet/ticket?n=", p.Ticket), "", &p); err != nil {
			return err
		}
		switch {
		case p.InForce:
			fmt.Println("in force at all agents that hold a lease")
			return nil
		case p.Result == fleet.NotCommitted.String():
			return errNotCommitted
		case p.Result == fleet.Indeterminate.String():
			return errIndeterminate
		}
	}
	return fmt.Errorf("%s, but not in force at all agents yet", p.Result)
}
