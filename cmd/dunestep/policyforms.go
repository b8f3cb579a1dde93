package main

import (
	"time"

	"dunestep/internal/control/policy"
)

// The JSON of policies at the operators' socket. Its keys are kept for compatibility and differ from the
// fields' names.

// policyState is the state of the policies at one agent, for operators.
type policyState struct {
	Mode     string          `json:"acting"` // full, floor or bottom
	Version  uint64          `json:"version"`
	InForce  policyVersion   `json:"now"`
	Open     *policyVersion  `json:"open,omitempty"`
	Past     []policyVersion `json:"past"`
	Outcomes []policyOutcome `json:"calls"` // the newest last
}

// policyVersion is a version of the policy.
type policyVersion struct {
	Number      uint64    `json:"number"`
	EffectiveAt time.Time `json:"by,omitzero"`
	ProposalID  string    `json:"id,omitempty"`
	ProposedBy  int       `json:"who"` // an agent's number
}

// policyOutcome is the outcome of a proposal.
type policyOutcome struct {
	ID          string    `json:"id"`
	Status      string    `json:"end"`
	Version     uint64    `json:"version,omitempty"`
	EffectiveAt time.Time `json:"by,omitzero"`
	Reason      string    `json:"reason,omitempty"`
}

func newPolicyVersion(v policy.Version) policyVersion {
	return policyVersion{v.Number, unixTime(v.EffectiveAt), v.ProposalID, v.ProposedBy}
}

func newPolicyOutcome(o policy.Outcome) policyOutcome {
	out := policyOutcome{
		ID:          o.ID,
		Status:      o.Status.String(),
		Version:     o.Version,
		EffectiveAt: unixTime(o.EffectiveAt),
	}
	if o.Status == policy.StatusRejected {
		out.Reason = o.Reason()
	}
	return out
}
