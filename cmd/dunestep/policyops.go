package main

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/protocol"
)

// handlePolicyCall answers a call about policies at the operators' socket.
func (f *fleetMember) handlePolicyCall(
	ctx context.Context,
	actor *agent.FleetActor,
	call protocol.OpsCall,
) (status int,
	body []byte,
) {
	if !f.settings.operator.Fleet.Policy {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.ClockReading) {}
	switch call.Kind {
	case protocol.OpsPolicy:
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, f.policyState(n, now))
		}
	case protocol.OpsPolicyOutcome:
		answer = func(*fleet.Node, fleet.ClockReading) {
			o := f.policies.Outcome(call.ID)
			o.ID = call.ID
			status, body = answerJSON(http.StatusOK, newPolicyOutcome(o))
		}
	case protocol.OpsPolicyDocument:
		answer = func(*fleet.Node, fleet.ClockReading) { status, body = f.answerPolicyDocument(call.Version) }
	case protocol.OpsPolicyPropose:
		answer = func(n *fleet.Node, now fleet.ClockReading) { status, body = f.proposePolicy(n, now, call) }
	}
	if !actor.Do(ctx, answer) {
		return actorTimeout()
	}
	return status, body
}

// policyState returns the state of the policies as this agent knows it.
func (f *fleetMember) policyState(n *fleet.Node, now fleet.ClockReading) policyState {
	s, active := f.policies.State(), f.policies.Active(now, n.Standing(now))
	out := policyState{
		Mode: active.Mode.String(), Version: active.Version, InForce: newPolicyVersion(s.InForce),
		Past: []policyVersion{}, Outcomes: []policyOutcome{},
	}
	if s.OpenChange != nil {
		v := newPolicyVersion(s.OpenChange.Version)
		out.Open = &v
	}
	for _, v := range s.Past {
		out.Past = append(out.Past, newPolicyVersion(v))
	}
	for _, o := range s.Outcomes {
		out.Outcomes = append(out.Outcomes, newPolicyOutcome(o))
	}
	return out
}

func (f *fleetMember) answerPolicyDocument(version uint64) (int, []byte) {
	text, ok := f.policies.Document(version)
	if !ok {
		return http.StatusNotFound, []byte("no document of that version is stored\n")
	}
	return answerJSON(http.StatusOK, string(text))
}

// proposePolicy checks a document against this agent's own settings, and proposes it to the fleet. A call
// with the id of an earlier one gets that one's outcome.
func (f *fleetMember) proposePolicy(
	n *fleet.Node,
	now fleet.ClockReading,
	call protocol.OpsCall,
) (int, []byte) {
	if o := f.policies.Outcome(call.ID); o.Status != policy.StatusUnknown {
		return answerJSON(http.StatusOK, newPolicyOutcome(o))
	}
	document, err := policy.AddZoneRules(call.Document, time.Unix(0, int64(now.Unix)))
	if err != nil {
		return answerError(http.StatusUnprocessableEntity, err)
	}
	record, err := f.policies.EncodeProposal(now, call.ID, document, now.Unix+call.EffectiveIn)
	var rejection policy.Rejection
	switch {
	case errors.As(err, &rejection):
		return answerError(http.StatusUnprocessableEntity, err)
	case err != nil:
		return answerError(http.StatusBadRequest, err)
	}
	if _, err = n.Propose(now, policyMachine, record, proposalTimeout); err != nil {
		return answerError(http.StatusServiceUnavailable, err)
	}
	slog.Info("fleet: policy proposed", "id", call.ID, "bytes", len(document), "within", call.EffectiveIn)
	return answerJSON(http.StatusAccepted, policyOutcome{ID: call.ID, Status: policy.StatusUnknown.String()})
}

// compareTimeZones logs, once for each version of the policy that comes into force, where its time zone rules
// differ from this machine's zone data: one of the two is out of date. It only logs, since contracts' hours
// use the agreed rules. It is called by the fleet's actor.
func (f *fleetMember) compareTimeZones() {
	if f.policies == nil || f.policyInForce() == f.zoneCheckedVersion {
		return
	}
	f.zoneCheckedVersion = f.policyInForce()
	text, ok := f.policies.Document(f.zoneCheckedVersion)
	if !ok {
		return
	}
	go func(version uint64) { // reads zone data from files
		document, err := policy.ParseDocument("policy", text)
		if err != nil {
			return // the policy's adapter reports it
		}
		if err := document.ZoneDifferences(); err != nil {
			slog.Warn("fleet: the policy's time zone rules differ from this machine's zone data", "version", version,
				"error", err)
		}
	}(f.zoneCheckedVersion)
}
