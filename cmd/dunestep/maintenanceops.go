package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/maintenancelog"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/protocol"
)

const (
	// minDrainedMargins is the shortest time that nodes stay without keys, in multiples of the clocks' margin.
	minDrainedMargins = 6
	// checkID is the id of a window that is checked and not requested.
	checkID = "check"
)

// handleWindowCall answers a call about maintenance windows at the operators' socket.
func (f *fleetMember) handleWindowCall(
	ctx context.Context,
	actor *agent.FleetActor,
	call protocol.OpsCall,
) (status int,
	body []byte,
) {
	if f.maintenance == nil {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.ClockReading) {}
	switch call.Kind {
	case protocol.OpsWindows:
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, f.windowsState(n, now))
		}
	case protocol.OpsWindowOutcome:
		answer = func(_ *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, f.windowOutcome(now, call.ID))
		}
	case protocol.OpsWindowCheck, protocol.OpsWindowRequest:
		endpoints, known := f.manual.agent.Endpoints(ctx) // f.endpoints may be seconds old
		if !known {
			return actorTimeout()
		}
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			f.endpoints = endpoints
			if call.Kind == protocol.OpsWindowCheck {
				status, body = f.checkWindow(n, now, call)
			} else {
				status, body = f.requestWindow(n, now, call)
			}
		}
	case protocol.OpsWindowStop:
		answer = func(n *fleet.Node, now fleet.ClockReading) { status, body = f.stopWindow(n, now, call.ID) }
	}
	if !actor.Do(ctx, answer) {
		return actorTimeout()
	}
	return status, body
}

// planningPolicy returns the policy to plan by. If refused is not nil, nothing can be planned now, and
// refused returns the response.
func (f *fleetMember) planningPolicy(n *fleet.Node, now fleet.ClockReading) (active policy.Active,
	refused func() (int, []byte),
) {
	standing := n.Standing(now)
	active = f.policies.Active(now, standing)
	switch {
	case standing != lease.Full:
		return active, func() (int, []byte) {
			return http.StatusServiceUnavailable, []byte("this agent holds no lease: call another agent\n")
		}
	case active.Mode != policy.ModeFull: // between two versions
		return active, answerPolicyChanging
	}
	return active, nil
}

// answerPolicyChanging returns the response that asks for the same call to be repeated.
func answerPolicyChanging() (int, []byte) {
	return answerJSON(http.StatusOK, windowOutcome{
		Status: policy.StatusUnknown.String(), Reason: reasonPolicyChanging,
	})
}

// checkWindow returns the response that says whether a window would fit.
func (f *fleetMember) checkWindow(
	n *fleet.Node,
	now fleet.ClockReading,
	call protocol.OpsCall,
) (int, []byte) {
	active, refused := f.planningPolicy(n, now)
	if refused != nil {
		return refused()
	}
	request := f.windowRequest(call)
	request.ID = checkID
	w, err := f.maintenance.adapter.Plan(now, request, f.planInput(active))
	return answerPlan(statusFits, w, err)
}

// requestWindow plans a window by this agent's view, and proposes it. A call with the id of an earlier one
// gets that one's outcome.
func (f *fleetMember) requestWindow(
	n *fleet.Node,
	now fleet.ClockReading,
	call protocol.OpsCall,
) (int, []byte) {
	if o := f.windowOutcome(now, call.ID); o.Status != policy.StatusUnknown.String() {
		return answerJSON(http.StatusOK, o)
	}
	active, refused := f.planningPolicy(n, now)
	if refused != nil {
		return refused()
	}
	record, w, err := f.maintenance.adapter.EncodeProposal(now, f.windowRequest(call), f.planInput(active))
	if err == nil {
		if _, proposeErr := n.Propose(now, maintenanceMachine, record, proposalTimeout); proposeErr != nil {
			return answerError(http.StatusServiceUnavailable, proposeErr)
		}
		slog.Info("fleet: maintenance window proposed", "id", call.ID, "nodes", w.Nodes, "tenants", w.Tenants)
	}
	return answerPlan(policy.StatusUnknown.String(), w, err)
}

// windowRequest returns the request of a call.
func (f *fleetMember) windowRequest(call protocol.OpsCall) maintenance.WindowRequest {
	return maintenance.WindowRequest{
		ID: call.ID, Agent: f.settings.Settings.Self, Nodes: call.Window.Nodes, Zone: call.Window.Zone,
		Tenants: call.Window.Tenants, From: time.Duration(call.Window.From.UnixNano()),
		To: time.Duration(call.Window.To.UnixNano()), MoveRate: call.Window.Pace,
	}
}

// answerPlan returns the response with a window that fits and its status, or with the reason why none fits.
func answerPlan(status string, w *maintenance.Window, err error) (int, []byte) {
	var conflict maintenance.Conflict
	switch {
	case errors.As(err, &conflict):
		return answerJSON(http.StatusOK, windowOutcome{
			Status: policy.StatusRejected.String(), Reason: conflict.Reason, Tenant: conflict.Tenant,
			NextFit: unixTime(conflict.NextFit),
		})
	case errors.Is(err, maintenancelog.ErrPolicyChanged):
		return answerPolicyChanging()
	case err != nil:
		return answerError(http.StatusBadRequest, err)
	}
	s := newWindowState(w)
	return answerJSON(http.StatusOK, windowOutcome{ID: w.ID, Status: status, Window: &s})
}

// planInput returns what a plan depends on, as this agent sees it.
func (f *fleetMember) planInput(active policy.Active) maintenance.PlanInput {
	e, o := active.Effect, f.settings.operator.Fleet
	return maintenance.PlanInput{
		Servers: f.maintenanceServers(e), Contracts: e.Contracts, TenantLoads: f.tenantLoads(e),
		PeakLoad: e.Capacity.PeakLoad, MaxUtilization: e.Capacity.MaxUtilization,
		ClockMargin: seconds(o.SafetyMarginS), MinNotice: seconds(o.MinNoticeS),
		MinDrained: minDrainedMargins * seconds(o.SafetyMarginS), PolicyVersion: active.Version,
	}
}

// tenantLoads returns the tenants' fractions of the load: the settings' shares, scaled by the policy's
// quotas. Their sum is at most 1.
func (f *fleetMember) tenantLoads(e *policy.Effect) map[string]float64 {
	loads, sum := map[string]float64{}, 0.0
	for i, t := range f.settings.Settings.Tenants {
		load := t.Share
		if quota := e.Quota[i]; quota > 0 && t.QuotaPerSecond > 0 {
			load *= quota / t.QuotaPerSecond
		}
		loads[t.Name] = load
		sum += load
	}
	if sum > 1 {
		for name := range loads {
			loads[name] /= sum
		}
	}
	return loads
}

// stopWindow proposes that a window ends early.
func (f *fleetMember) stopWindow(n *fleet.Node, now fleet.ClockReading, id string) (int, []byte) {
	windows := f.maintenance.adapter.Windows(now)
	i := slices.IndexFunc(windows, func(w *maintenance.Window) bool { return w.ID == id })
	if i < 0 {
		return http.StatusNotFound, []byte("no such window\n")
	}
	switch windows[i].State {
	case maintenance.Returning, maintenance.Ended, maintenance.Stopped:
		return answerJSON(http.StatusOK, windowOutcome{ID: id, Status: policy.StatusAccepted.String()})
	}
	reason := fmt.Sprintf("stopped at agent %d", f.settings.Settings.Self)
	record := f.maintenance.adapter.EncodeStop(now, id, reason)
	if _, err := n.Propose(now, maintenanceMachine, record, proposalTimeout); err != nil {
		return answerError(http.StatusServiceUnavailable, err)
	}
	slog.Info("fleet: stop of maintenance window proposed by operator", "id", id)
	return answerJSON(http.StatusAccepted, windowOutcome{ID: id, Status: policy.StatusUnknown.String()})
}

// windowOutcome returns the outcome of a request, as far as it is known here.
func (f *fleetMember) windowOutcome(now fleet.ClockReading, id string) windowOutcome {
	o := f.maintenance.adapter.Outcome(id)
	out := windowOutcome{ID: id, Status: o.Status.String()}
	if o.Status == policy.StatusRejected {
		out.Reason = o.Reason()
	}
	for _, w := range f.maintenance.adapter.Windows(now) {
		if w.ID == id {
			s := newWindowState(w)
			out.Window = &s
		}
	}
	return out
}

// windowsState returns the state of all windows at this agent.
func (f *fleetMember) windowsState(n *fleet.Node, now fleet.ClockReading) windowsState {
	standing := n.Standing(now)
	active := f.policies.Active(now, standing)
	exclusions := f.maintenance.adapter.Exclusions(now, standing, active)
	out := windowsState{Policy: active.Version, Windows: []windowState{}, Outcomes: []windowOutcome{}}
	for _, w := range f.maintenance.adapter.Windows(now) {
		s := newWindowState(w)
		s.Moved = movedFraction(w, exclusions)
		out.Windows = append(out.Windows, s)
	}
	for _, o := range f.maintenance.adapter.Outcomes() {
		out.Outcomes = append(out.Outcomes, f.windowOutcome(now, o.ID))
	}
	return out
}

// movedFraction returns the fraction of keys that avoid a window's nodes here: the lowest over its tenants
// and nodes, 0 to 1.
func movedFraction(w *maintenance.Window, x *balancer.Exclusions) float64 {
	lowest := uint32(math.MaxUint32)
	for _, tenant := range w.Tenants {
		for _, node := range w.Nodes {
			excludedBelow := uint32(0)
			if x != nil {
				excludedBelow = x.Tenants[tenant][node]
			}
			lowest = min(lowest, excludedBelow)
		}
	}
	return float64(lowest) / math.MaxUint32
}
