package main

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"dunestep/fleet"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/policy"
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
	return policyVersion{v.Number, unixTime(v.By), v.ID, v.Who}
}

func outcomeOf(o policy.Outcome) policyOutcome {
	out := policyOutcome{ID: o.ID, End: o.End.String(), Version: o.Version, By: unixTime(o.By)}
	if o.End == policy.NotTaken {
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
func (p *fleetPart) policy(ctx context.Context, actor *routing.Fleet, call protocol.OpsCall) (status int,
	body []byte,
) {
	if !p.told.operator.Fleet.Policy {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.Reading) {}
	switch call.Kind {
	case protocol.OpsPolicy:
		answer = func(n *fleet.Node, now fleet.Reading) {
			status, body = answerJSON(http.StatusOK, p.policies(n, now))
		}
	case protocol.OpsPolicyOutcome:
		answer = func(*fleet.Node, fleet.Reading) {
			o := p.seat.Outcome(call.ID)
			o.ID = call.ID
			status, body = answerJSON(http.StatusOK, outcomeOf(o))
		}
	case protocol.OpsPolicyDocument:
		answer = func(*fleet.Node, fleet.Reading) { status, body = p.document(call.Version) }
	case protocol.OpsPolicyPropose:
		answer = func(n *fleet.Node, now fleet.Reading) { status, body = p.propose(n, now, call) }
	}
	if !actor.Do(ctx, answer) {
		return late()
	}
	return status, body
}

func (p *fleetPart) policies(n *fleet.Node, now fleet.Reading) policyState {
	s, acting := p.seat.State(), p.seat.Acting(now, n.Standing(now))
	out := policyState{
		Acting: acting.How.String(), Version: acting.Version, Now: versionOf(s.Now),
		Past: []policyVersion{}, Calls: []policyOutcome{},
	}
	if s.Open != nil {
		v := versionOf(s.Open.Version)
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

func (p *fleetPart) document(version uint64) (int, []byte) {
	text, ok := p.seat.Document(version)
	if !ok {
		return http.StatusNotFound, []byte("that version's document is not kept any more, or never was\n")
	}
	return answerJSON(http.StatusOK, string(text))
}

// propose checks a document against this agent's own settings, and proposes it to the fleet.
func (p *fleetPart) propose(n *fleet.Node, now fleet.Reading, call protocol.OpsCall) (int, []byte) {
	// The same call again: it is known what came of it.
	if o := p.seat.Outcome(call.ID); o.End != policy.AskAgain {
		return answerJSON(http.StatusOK, outcomeOf(o))
	}
	document, err := policy.Fill(call.Document, time.Unix(0, int64(now.Unix)))
	if err != nil {
		return http.StatusUnprocessableEntity, []byte(err.Error() + "\n")
	}
	record, err := p.seat.Record(now, call.ID, document, now.Unix+call.Within)
	var refusal policy.Refusal
	switch {
	case errors.As(err, &refusal):
		return http.StatusUnprocessableEntity, []byte(err.Error() + "\n")
	case err != nil:
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	if _, err := n.Propose(now, policyMachine, record, proposeWithin); err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: policy proposed", "id", call.ID, "bytes", len(document), "within", call.Within)
	return answerJSON(http.StatusAccepted, policyOutcome{ID: call.ID, End: policy.AskAgain.String()})
}

// tellZones logs once for each version that is in force where clocks of its contracts' zones show other times
// by this machine's zone data: one of the two is out of date. It is told, and nothing else: hours go by what
// is agreed.
func (p *fleetPart) tellZones() {
	if p.seat == nil || p.inForce() == p.compared {
		return
	}
	p.compared = p.inForce()
	text, ok := p.seat.Document(p.compared)
	if !ok {
		return
	}
	go func(version uint64) { // zone data are files
		d, err := policy.Read("policy", text)
		if err != nil {
			return // which is told elsewhere
		}
		if err := d.Unlike(); err != nil {
			slog.Warn("fleet: the policy's zones are not as by this machine's zone data", "version", version,
				"error", err)
		}
	}(p.compared)
}
