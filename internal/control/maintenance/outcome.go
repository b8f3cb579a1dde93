package maintenance

import (
	"fmt"

	"dunestep/internal/control/policy"
)

// RejectionCause is why a proposed window was not accepted. The numbers are part of the agreed state.
type RejectionCause uint8

const (
	// NotRejected means that the window was accepted.
	NotRejected RejectionCause = iota
	// Malformed means that the window is malformed, or that its notice is too short.
	Malformed
	// PolicyChanged means that another version of the policy came into force since it was planned.
	PolicyChanged
	// WindowsChanged means that another window was accepted since it was planned.
	WindowsChanged
	// TooManyWindows means that the agreed state has no room for it.
	TooManyWindows
)

// Outcome is what is known of a request for a window. To ask again under the same ID changes nothing.
type Outcome struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Status policy.ProposalStatus
	Cause  RejectionCause
	Found  uint64 // the policy's version or the revision that was found instead
}

// Reason says why the window was not accepted, for operators; empty where it was.
func (o Outcome) Reason() string {
	switch o.Cause {
	case Malformed:
		return "malformed, or too little notice"
	case PolicyChanged:
		return fmt.Sprintf("version %d came into force meanwhile; ask again", o.Found)
	case WindowsChanged:
		return "another window was accepted meanwhile; ask again"
	case TooManyWindows:
		return "there are too many windows, or too many nodes in them; ask again when one has ended"
	}
	return ""
}
