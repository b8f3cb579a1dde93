package maintenance

import (
	"errors"
	"fmt"
	"time"
)

// recordKind numbers the records of the agreed log.
type recordKind uint8

const (
	kindAccepted    recordKind = iota + 1 // a window, accepted if nothing has changed since it was planned
	kindConfirmed                         // a leader has applied the acceptance
	kindTrafficFree                       // no request of its tenants arrives any more
	kindPaused                            // the moved fraction stays as it is
	kindResumed                           // it grows again
	kindReturned                          // from now on it falls, before its time
	kindStopped                           // the same, by an operator
	kindEnded                             // no key is moved any more
)

// record is one of the agreed log's. Fields that a kind does not need are zero. It is encoded as an array, so
// the order of the fields is part of its form.
type record struct {
	_             struct{} `cbor:",toarray"`
	Kind          recordKind
	ID            string
	Agent         int
	Now           time.Duration // Unix time at the proposer
	ChangeCount   uint64        // the window's, as it was when the record was proposed
	PolicyVersion uint64        // of kindAccepted: the version in force that it was planned under
	Revision      uint64        // of kindAccepted: state.Revision then
	Reason        string
	Window        *storedWindow
}

// ErrInvalidWindow is wrapped by the error of a window that could never be accepted.
var ErrInvalidWindow = errors.New("window: invalid window")

// Proposal is a window that Plan has made, with what it was made from.
type Proposal struct {
	Window        *Window
	Agent         int           // the agent that proposes
	Now           time.Duration // Unix time
	PolicyVersion uint64        // the version in force that the plan was made under
	Revision      uint64        // StateMachine.Revision that the plan was made from
	// MinNotice is the fleet's; zero: the constant MinNotice. It goes with the record, so that the agreed state
	// does not depend on any agent's settings. Nine tenths of it have to be longer than
	// policy.Times.FloorValidity, the fence and the clocks' errors together.
	MinNotice time.Duration
}

// EncodeProposal returns the record that has a window accepted, unless something was agreed since it was
// planned that it would have to be planned again for. The error wraps ErrInvalidWindow.
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

// EncodeStop returns the record by which an operator has a window return, or ends it before it has begun. The
// reason is cut to 80 bytes.
func EncodeStop(id string, agent int, now time.Duration, reason string) []byte {
	return marshal(record{
		Kind: kindStopped, ID: id, Agent: agent, Now: now,
		Reason: truncate(reason, maxReasonSize),
	})
}
