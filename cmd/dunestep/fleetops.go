package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"

	"dunestep/internal/agent"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/operatorcommand"
	"dunestep/internal/protocol"
)

// maxTickets is the maximum number of tickets that are stored: those of the latest commands.
const maxTickets = 64

// ticket is the state of an operator's command that was proposed to the fleet. Only the fleet's actor
// accesses its fields.
type ticket struct {
	committed   bool
	committedAt fleet.ClockReading // when this agent first saw it committed
}

// HandleFleetCall answers a call about the fleet at the operators' socket.
func (m *manualControl) HandleFleetCall(
	ctx context.Context,
	call protocol.OpsCall,
) (status int, body []byte) {
	f := m.fleet
	if f == nil {
		return http.StatusNotFound, nil
	}
	actor := f.actor.Load()
	if actor == nil {
		return http.StatusServiceUnavailable, []byte("another process of this agent is still a fleet member\n")
	}
	switch call.Kind {
	case protocol.OpsFleetStatus:
		return f.answerStatus(ctx, actor)
	case protocol.OpsFleetTicket:
		return f.answerTicket(ctx, actor, call.Ticket)
	case protocol.OpsPolicy, protocol.OpsPolicyPropose, protocol.OpsPolicyOutcome, protocol.OpsPolicyDocument:
		return f.handlePolicyCall(ctx, actor, call)
	case protocol.OpsFleetDisable, protocol.OpsFleetEnable:
		return f.proposeCommand(ctx, actor, call)
	case protocol.OpsWindows, protocol.OpsWindowRequest, protocol.OpsWindowCheck, protocol.OpsWindowStop,
		protocol.OpsWindowOutcome:
		return f.handleWindowCall(ctx, actor, call)
	}
	return http.StatusNotFound, nil
}

// answerStatus returns the response with the fleet's status as this agent knows it.
func (f *fleetMember) answerStatus(ctx context.Context, actor *agent.FleetActor) (int, []byte) {
	var s fleet.Status
	var commands []operatorcommand.Command
	var ring *ringStatus
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		s, commands, ring = n.Status(now), f.commands.All(), f.ringStatus(n, now)
	}) {
		return actorTimeout()
	}
	out := newFleetStatus(s, commands)
	out.Ring = ring
	return answerJSON(http.StatusOK, out)
}

// actorTimeout returns the response for an actor that did not finish in time.
func actorTimeout() (int, []byte) {
	return http.StatusServiceUnavailable, []byte("no answer in time\n")
}

// answerError returns a response with the error's text.
func answerError(status int, err error) (int, []byte) { return status, []byte(err.Error() + "\n") }

// answerJSON returns a response with the value as JSON.
func answerJSON(status int, v any) (int, []byte) {
	raw, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, append(raw, '\n')
}

// proposeCommand proposes to the fleet to disable or enable an endpoint at all agents. It responds with a
// ticket, by which the outcome can be polled.
func (f *fleetMember) proposeCommand(
	ctx context.Context,
	actor *agent.FleetActor,
	call protocol.OpsCall,
) (int, []byte) {
	if !f.manual.agent.WasListed(ctx, call.ID) {
		return http.StatusNotFound, []byte("no such booking server was ever listed\n")
	}
	record, err := operatorcommand.Command{
		Server: call.ID, Down: call.Kind == protocol.OpsFleetDisable,
		IssuedBy: f.settings.Settings.Self, IssuedAt: unixNow(),
	}.Encode()
	if err != nil {
		return answerError(http.StatusBadRequest, err)
	}
	var number fleet.Ticket
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if number, err = n.Propose(now, commandMachine, record, proposalTimeout); err == nil {
			f.addTicket(uint64(number))
		}
	}) {
		return actorTimeout()
	}
	if err != nil {
		return answerError(http.StatusServiceUnavailable, err)
	}
	slog.Info("fleet: operator command proposed", "server", call.ID,
		"down", call.Kind == protocol.OpsFleetDisable, "ticket", uint64(number))
	return answerJSON(http.StatusAccepted, protocol.FleetProposal{
		Ticket: uint64(number),
		Result: fleet.Pending.String(),
	})
}

// addTicket adds a ticket. Beyond maxTickets, it removes the oldest.
func (f *fleetMember) addTicket(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets[number] = &ticket{}
	if f.latest = append(f.latest, number); len(f.latest) > maxTickets {
		delete(f.tickets, f.latest[0])
		f.latest = f.latest[1:]
	}
}

// answerTicket returns the response with a command's outcome.
func (f *fleetMember) answerTicket(
	ctx context.Context,
	actor *agent.FleetActor,
	number uint64,
) (int, []byte) {
	f.mu.Lock()
	t := f.tickets[number]
	f.mu.Unlock()
	if t == nil {
		return http.StatusNotFound, []byte("no such ticket\n")
	}
	answer := protocol.FleetProposal{Ticket: number}
	if !actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		result := n.Result(fleet.Ticket(number))
		if answer.Result = result.String(); result != fleet.Committed {
			return
		}
		if !t.committed {
			t.committed, t.committedAt = true, now
		}
		answer.InForce = n.FencePassed(t.committedAt, now)
	}) {
		return actorTimeout()
	}
	return answerJSON(http.StatusOK, answer)
}
