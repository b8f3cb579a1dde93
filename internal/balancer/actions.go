package balancer

import (
	"fmt"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send starts an attempt: ID, Server, After (the attempt's timeout).
	Send ActionKind = iota
	// Fail ends a request with a failure: ID.
	Fail
	// Reject ends a request that can safely be tried again: ID, After (when to return; zero: not said),
	// OverQuota, Quota.
	Reject
	// Cancel ends an attempt: ID, Attempt.
	Cancel
	// Probe probes a server: Server.
	Probe
	// SendToPeer sends a message to another balancer: Peer, Data.
	SendToPeer
	// SetTimer asks for a TimerDue event: After, Tag.
	SetTimer
	// Subscribe calls discovery.
	Subscribe
	// Fetch asks discovery once for the complete list.
	Fetch
	// Log writes a log line: Text.
	Log
)

// Action is one thing that the caller must do. Which fields are set depends on Kind.
type Action struct {
	Kind      ActionKind
	ID        uint32 // of the request
	Attempt   int    // its number, from 0 in the order of Send actions
	Server    string
	After     time.Duration
	Tag       uint64
	Peer      int // the receiver's number
	Data      []byte
	Text      string
	OverQuota bool  // rejected for its tenant's quota, not for lack of capacity
	Quota     Quota // of the tenant, where the client is to be told; zero: it is not
}

// Quota is a tenant's part of the service at this balancer, in requests.
type Quota struct{ PerSecond, Remaining float64 }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
