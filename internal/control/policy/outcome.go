package policy

import (
	"fmt"
	"time"
)

// ProposalStatus is what became of a proposal. The numbers are part of the agreed state.
type ProposalStatus uint8

const (
	// StatusUnknown means that the proposal is open, or that this agent does not know of it: ask again.
	StatusUnknown ProposalStatus = iota
	// StatusAccepted means that the proposal became a version in force.
	StatusAccepted
	// StatusRejected means that the proposal never takes effect; Outcome.Cause says why.
	StatusRejected
)

// String is the word that the operators' interface shows; tools compare it.
func (e ProposalStatus) String() string {
	return [...]string{"ask again", "taken", "not taken"}[min(e, StatusRejected)]
}

// RejectionCause is why a proposal was rejected. The numbers are part of the agreed state.
type RejectionCause uint8

const (
	// NotRejected means that nothing stands in the way.
	NotRejected RejectionCause = iota
	// OtherChangeOpen means that another change is open.
	OtherChangeOpen
	// StaleBase means that the document was made from a version that is not in force.
	StaleBase
	// VersionNotEffective means that the version in force has not taken effect yet.
	VersionNotEffective
	// FormerFloorInUse means that the floor changes while agents may still act by the former one.
	FormerFloorInUse
	// Malformed means that the document is empty or too long, or that its time is out of range.
	Malformed
	// RejectedByAgent means that an agent cannot use the document.
	RejectedByAgent
	// ImplausibleTime means that its time is so far ahead that the proposer's clock must have been wrong.
	ImplausibleTime
)

// Outcome is what is known of a proposal.
type Outcome struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Status          ProposalStatus
	Version         uint64 // its number, where it was ever open
	EffectiveAt     time.Duration
	Cause           RejectionCause
	BlockingVersion uint64 // the version that stood in the way
	Agent           int    // the agent that rejected it, or else the one that proposed it
	Code            AnswerCode
	Text            string
}

// Reason says why the proposal was rejected, for operators; empty where it was not.
func (o Outcome) Reason() string {
	switch o.Cause {
	case OtherChangeOpen:
		return fmt.Sprintf("another change, version %d, is open", o.BlockingVersion)
	case StaleBase:
		return fmt.Sprintf("version %d is in force, not the one that it was made from", o.BlockingVersion)
	case VersionNotEffective:
		return fmt.Sprintf("version %d has not taken hold yet", o.BlockingVersion)
	case FormerFloorInUse:
		return fmt.Sprintf("agents that are cut off may still go by the floor that version %d replaced",
			o.BlockingVersion)
	case Malformed:
		return "too long, or its time makes no sense"
	case RejectedByAgent:
		return fmt.Sprintf("agent %d cannot use it: %s", o.Agent, o.Text)
	case ImplausibleTime:
		return "its time is too far off: look at the clock of the machine that proposed it"
	}
	return ""
}
