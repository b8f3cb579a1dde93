package policy

import (
	"fmt"
	"time"
)

// ProposalStatus is the status of a proposal. The numbers are part of the agreed state.
type ProposalStatus uint8

const (
	// StatusUnknown means that the proposal is open or that this agent does not know it: poll again.
	StatusUnknown ProposalStatus = iota
	// StatusAccepted means that the proposal became a version in force.
	StatusAccepted
	// StatusRejected means that the proposal never takes effect, for the reason in Outcome.Cause.
	StatusRejected
)

// String returns the text that the operators' interface shows; operators' tools compare it.
func (e ProposalStatus) String() string {
	return [...]string{"ask again", "taken", "not taken"}[min(e, StatusRejected)]
}

// RejectionCause is the reason for which a proposal was rejected. The numbers are part of the agreed state.
type RejectionCause uint8

const (
	// NotRejected means that the proposal was not rejected.
	NotRejected RejectionCause = iota
	// OtherChangeOpen means that another change is open.
	OtherChangeOpen
	// StaleBase means that the document was made from a version that is not in force.
	StaleBase
	// VersionNotEffective means that the version in force has not taken effect yet.
	VersionNotEffective
	// FormerFloorInUse means that the document changes the floor while agents may still act within a former one.
	FormerFloorInUse
	// Malformed means that the document is empty or too long, or that its effective time is out of range.
	Malformed
	// RejectedByAgent means that an agent cannot use the document.
	RejectedByAgent
	// ImplausibleTime means that its effective time is so far ahead that the proposer's clock must be wrong.
	ImplausibleTime
)

// Outcome is the known outcome of a proposal.
type Outcome struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Status          ProposalStatus
	Version         uint64 // number of the change; zero if the proposal was never open
	EffectiveAt     time.Duration
	Cause           RejectionCause
	BlockingVersion uint64 // the version that Cause refers to
	Agent           int    // the agent that rejected the proposal, else the one that proposed it
	Code            AnswerCode
	Text            string
}

// Reason returns the reason of a rejection, for operators; it is empty if the proposal was not rejected.
func (o Outcome) Reason() string {
	switch o.Cause {
	case OtherChangeOpen:
		return fmt.Sprintf("another change, version %d, is open", o.BlockingVersion)
	case StaleBase:
		return fmt.Sprintf("version %d is in force, not the one that the document was made from", o.BlockingVersion)
	case VersionNotEffective:
		return fmt.Sprintf("version %d has not taken effect yet", o.BlockingVersion)
	case FormerFloorInUse:
		return fmt.Sprintf("agents that are cut off may still act within the floor that version %d replaced",
			o.BlockingVersion)
	case Malformed:
		return "the document is empty or too long, or its effective time is out of range"
	case RejectedByAgent:
		return fmt.Sprintf("agent %d cannot use the document: %s", o.Agent, o.Text)
	case ImplausibleTime:
		return "its effective time is too far ahead: check the clock of the machine that proposed it"
	}
	return ""
}
