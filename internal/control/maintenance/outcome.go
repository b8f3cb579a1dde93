package maintenance

import (
	"fmt"

	"dunestep/internal/control/policy"
)

// RejectionCause is why a proposed window was not accepted. The numeric values are part of the agreed state.
type RejectionCause uint8

const (
	// NotRejected means that the window was accepted.
	NotRejected RejectionCause = iota
	// Malformed means that the window is malformed, or that its notice is too short.
	Malformed
	// PolicyChanged means that another version of the policy came into force after the window was planned.
	PolicyChanged
	// WindowsChanged means that another window was accepted after this one was planned.
	WindowsChanged
	// TooManyWindows means that the agreed state has no room for another window.
	TooManyWindows
)

// Outcome is the result of a request for a window. Repeating a request with the same ID does not change it.
type Outcome struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Status policy.ProposalStatus
	Cause  RejectionCause
	Found  uint64 // actual policy version (PolicyChanged) or state revision (WindowsChanged)
}

// Reason returns, for operators, why the window was not accepted; empty if it was.
func (o Outcome) Reason() string {
	switch o.Cause {
	case Malformed:
		return "malformed, or its notice is too short"
	case PolicyChanged:
		return fmt.Sprintf("policy version %d came into force meanwhile; request the window again", o.Found)
	case WindowsChanged:
		return "another window was accepted meanwhile; request the window again"
	case TooManyWindows:
		return "too many windows, or too many nodes in them; request the window again when one has ended"
	}
	return ""
}
