package agent

import (
	"context"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// RequestIDs has the ids of the requests that are open at all processes of this agent. It must be safe for
// concurrent use.
type RequestIDs interface {
	// Open opens an id, unless it is open already. It waits for another process until ctx ends.
	Open(ctx context.Context, id string) IDState
	// Close closes an id that Open has opened.
	Close(id string)
	// Retain closes an id that Open has opened, whose request must not run twice and may have run. For a while,
	// it counts as open at all processes.
	Retain(id string)
}

// IDState is the result of opening an id.
type IDState uint8

// The results.
const (
	IDOpened  IDState = iota
	IDInUse           // it is open or retained, here or at another process
	IDUnknown         // it is opened here, and another process did not tell in time whether it is open there
)

// maxIDWait is how long a request waits for another process to tell whether its id is open there. Longer than
// a process may be held up; then the request is rejected, with no attempt, unless it may run twice.
const maxIDWait = 250 * time.Millisecond

// openID opens a request's id. It returns the response to one that is refused.
func (a *Agent) openID(ctx context.Context, r *protocol.Request) (refusal protocol.Response, isRefused bool) {
	if a.ids == nil {
		return protocol.Response{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxIDWait, timeUntilOver(r)))
	defer cancel()
	switch state := a.ids.Open(ctx, r.CorrelationID); {
	case state == IDInUse: // if forwarded, it could be processed twice
		return protocol.Response{Kind: protocol.Malformed, Body: []byte(routing.IDInUseText)}, true
	case state == IDUnknown && !a.idempotent[r.Class]:
		a.ids.Close(r.CorrelationID)
		return protocol.Response{Kind: protocol.Rejected, Body: []byte(routing.RejectedText)}, true
	}
	return protocol.Response{}, false
}

// closeID closes the id of a request that is over, with all its attempts.
func (a *Agent) closeID(r *request) {
	if a.ids != nil {
		a.ids.Close(r.CorrelationID)
	}
}

// retainID is closeID for a request that must not run twice and may have run.
func (a *Agent) retainID(r *request) {
	if a.ids != nil {
		a.ids.Retain(r.CorrelationID)
	}
}
