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

// policyState is what staff see of the policies at one agent.
type policyState struct {
	Acting  string          `json:"acting"` // full, floor or bottom
	Version uint64          `json:"version"`
	Now     policyVersion   `json:"now"`
	Open    *policyVersion  `json:"open,omitempty"`
	Past    []policyVersion `json:"past"`
	Calls   []policyOutcome `json:"calls"` // the newest last
}

type policyVersion struct {
	Number uint64    `json:"number"`
	By     time.Time `json:"by,omitzero"` // when it takes, or took, hold
	ID     string    `json:"id,omitempty"`
	Who    int       `json:"who"`
}

type policyOutcome struct {
	ID      string    `json:"id"`
	End     string    `json:"end"`
	Version uint64    `json:"version,omitempty"`
	By      time.Time `json:"by,omitzero"`
	Reason  string    `json:"reason,omitempty"`
}

func versionOf(v policy.Version) policyVersion {
	return policyVersion{v.Number, unixTime(v.EffectiveAt), v.ProposalID, v.ProposedBy}
}

func outcomeOf(o policy.Outcome) policyOutcome {
	out := policyOutcome{ID: o.ID, End: o.Status.String(), Version: o.Version, By: unixTime(o.EffectiveAt)}
	if o.Status == policy.StatusRejected {
		out.Reason = o.Reason()
	}
	return out
}

func unixTime(at time.Duration) (t time.Time) {
	if at > 0 {
		t = time.Unix(0, int64(at)).UTC()
	}
	return t
}

// policy answers a call about policies.
func (p *fleetMember) policy(ctx context.Context, actor *agent.FleetActor, call protocol.OpsCall) (status int,
	body []byte,
) {
	if !p.told.operator.Fleet.Policy {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.ClockReading) {}
	switch call.Kind {
	case protocol.OpsPolicy:
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, p.policies(n, now))
		}
	case protocol.OpsPolicyOutcome:
		answer = func(*fleet.Node, fleet.ClockReading) {
			o := p.seat.Outcome(call.ID)
			o.ID = call.ID
			status, body = answerJSON(http.StatusOK, outcomeOf(o))
		}
	case protocol.OpsPolicyDocument:
		answer = func(*fleet.Node, fleet.ClockReading) { status, body = p.document(call.Version) }
	case protocol.OpsPolicyPropose:
		answer = func(n *fleet.Node, now fleet.ClockReading) { status, body = p.propose(n, now, call) }
	}
	if !actor.Do(ctx, answer) {
		return late()
	}
	return status, body
}

func (p *fleetMember) policies(n *fleet.Node, now fleet.ClockReading) policyState {
	s, acting := p.seat.State(), p.seat.Active(now, n.Standing(now))
	out := policyState{
		Acting: acting.Mode.String(), Version: acting.Version, Now: versionOf(s.InForce),
		Past: []policyVersion{}, Calls: []policyOutcome{},
	}
	if s.OpenChange != nil {
		v := versionOf(s.OpenChange.Version)
		out.Open = &v
	}
	for _, v := range s.Past {
		out.Past = append(out.Past, versionOf(v))
	}
	for _, o := range s.Outcomes {
		out.Calls = append(out.Calls, outcomeOf(o))
	}
	return out
}

func (p *fleetMember) document(version uint64) (int, []byte) {
	text, ok := p.seat.Document(version)
	if !ok {
		return http.StatusNotFound, []byte("that version's document is not kept any more, or never was\n")
	}
	return answerJSON(http.StatusOK, string(text))
}

// propose checks a document against this agent's own settings, and proposes it to the fleet.
func (p *fleetMember) propose(n *fleet.Node, now fleet.ClockReading, call protocol.OpsCall) (int, []byte) {
	// The same call again: it is known what came of it.
	if o := p.seat.Outcome(call.ID); o.Status != policy.StatusUnknown {
		return answerJSON(http.StatusOK, outcomeOf(o))
	}
	document, err := policy.AddZoneRules(call.Document, time.Unix(0, int64(now.Unix)))
	if err != nil {
		return http.StatusUnprocessableEntity, []byte(err.Error() + "\n")
	}
	record, err := p.seat.EncodeProposal(now, call.ID, document, now.Unix+call.EffectiveIn)
	var refusal policy.Rejection
	switch {
	case errors.As(err, &refusal):
		return http.StatusUnprocessableEntity, []byte(err.Error() + "\n")
	case err != nil:
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	if _, err := n.Propose(now, policyMachine, record, proposeWithin); err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: policy proposed", "id", call.ID, "bytes", len(document), "within", call.EffectiveIn)
	return answerJSON(http.StatusAccepted, policyOutcome{ID: call.ID, End: policy.StatusUnknown.String()})
}

// tellZones logs once for each version that is in force where clocks of its contracts' zones show other times
// by this machine's zone data: one of the two is out of date. It is told, and nothing else: hours go by what
// is agreed.
func (p *fleetMember) tellZones() {
	if p.seat == nil || p.inForce() == p.compared {
		return
	}
	p.compared = p.inForce()
	text, ok := p.seat.Document(p.compared)
	if !ok {
		return
	}
	go func(version uint64) { // zone data are files
		d, err := policy.ParseDocument("policy", text)
		if err != nil {
			return // which is told elsewhere
		}
		if err := d.ZoneDifferences(); err != nil {
			slog.Warn("fleet: the policy's time zone rules differ from this machine's zone data", "version", version,
				"error", err)
		}
	}(p.compared)
}
