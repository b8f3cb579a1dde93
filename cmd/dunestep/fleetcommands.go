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

// fleetCommands ask a running agent, at its operators' socket, about the fleet.
type fleetCommands struct {
	Status fleetStatusCommand `cmd:"" help:"Show what an agent knows of the fleet, and what is agreed."`
	Down   fleetDownCommand   `cmd:"" help:"Take a booking server out at all agents, and wait until it is."`
	Up     fleetUpCommand     `cmd:"" help:"Put a booking server back at all agents, and wait until it is."`
	Policy policyCommands     `cmd:"" help:"Policies that hold at all agents or at none."`
	Window windowCommands     `cmd:"" help:"Times in which servers are left alone for maintenance."`
}

// How a command to the fleet can end without being in force.
var (
	errNotCommitted  = errors.New("not taken: no voter could agree to it in time")
	errIndeterminate = errors.New("not known whether it was taken: look at fleet status, and ask again")
)

type fleetStatusCommand struct {
	opsClient
	JSON bool `help:"Write it as JSON."`
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
	ID   string        `arg:"" help:"The booking server's id."`
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

// propose proposes the command, and waits until it is in force. Otherwise the error says what is known.
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
	return fmt.Errorf("%s, and not in force everywhere yet", p.Result)
}
