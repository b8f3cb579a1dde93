package maintenance

import (
	"errors"
	"fmt"
	"time"
)

// recordKind is the kind of a record in the agreed log.
type recordKind uint8

const (
	kindAccepted    recordKind = iota + 1 // proposes a window; accepted unless something changed meanwhile
	kindConfirmed                         // a leader has applied the acceptance
	kindTrafficFree                       // no request of the window's tenants can arrive any more
	kindPaused                            // the moved fraction stays constant
	kindResumed                           // the moved fraction grows again
	kindReturned                          // the moved fraction falls from now on, earlier than planned
	kindStopped                           // as kindReturned, requested by an operator
	kindEnded                             // no key is moved any more
)

// record is a record of the agreed log. Fields that its kind does not use are zero. It is encoded as an
// array, so the order of the fields is part of the format.
type record struct {
	_             struct{} `cbor:",toarray"`
	Kind          recordKind
	ID            string
	Agent         int
	Now           time.Duration // Unix time at the proposer
	ChangeCount   uint64        // of the window when the record was proposed
	PolicyVersion uint64        // kindAccepted: version in force when the window was planned
	Revision      uint64        // kindAccepted: state.Revision when the window was planned
	Reason        string
	Window        *storedWindow
}

// ErrInvalidWindow is wrapped by the error for a window that could never be accepted.
var ErrInvalidWindow = errors.New("window: invalid window")

// Proposal is a window planned by Plan, with the versions of the state that it was planned from.
type Proposal struct {
	Window        *Window
	Agent         int           // agent that proposes the window
	Now           time.Duration // Unix time
	PolicyVersion uint64        // version in force when the window was planned
	Revision      uint64        // StateMachine.Revision when the window was planned
	// MinNotice is the fleet's minimum notice; zero: the constant MinNotice. It is part of the record so that
	// the agreed state does not depend on any agent's settings. Nine tenths of it must be longer than the sum
	// of policy.Times.FloorValidity, the fence and the clock errors.
	MinNotice time.Duration
}

// EncodeProposal returns the record that proposes a window. StateMachine accepts it unless another policy
// version came into force or another window was accepted since it was planned, or there is no room for it.
// The error wraps ErrInvalidWindow.
func EncodeProposal(p Proposal) ([]byte, error) {
	w := newStoredWindow(p.Window)
	w.PolicyVersion, w.Agent, w.MinNotice = p.PolicyVersion, p.Agent, p.MinNotice
	if w.MinNotice == 0 {
		w.MinNotice = MinNotice
	}
	r := record{
		Kind: kindAccepted, ID: p.Window.ID, Agent: p.Agent, Now: p.Now, PolicyVersion: p.PolicyVersion,
		Revision: p.Revision, Window: w,
	}
	if reason := invalidReason(&r); reason != "" {
		return nil, fmt.Errorf("%w %q: %s", ErrInvalidWindow, p.Window.ID, reason)
	}
	return marshal(r), nil
}

// EncodeStop returns the record by which an operator returns a window early, or ends it before it has begun.
// The reason is cut to 80 bytes.
func EncodeStop(id string, agent int, now time.Duration, reason string) []byte {
	return marshal(record{
		Kind: kindStopped, ID: id, Agent: agent, Now: now,
		Reason: truncate(reason, maxReasonSize),
	})
}
