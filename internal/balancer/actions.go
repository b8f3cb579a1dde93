package balancer

import (
	"fmt"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send starts an attempt. Fields: ID, Server, After (the attempt's timeout).
	Send ActionKind = iota
	// Fail ends a request with a failure. Fields: ID, Reason.
	Fail
	// Reject ends a request that the client can safely repeat. Fields: ID, After (the retry-after; zero: none),
	// OverQuota, Quota, Reason.
	Reject
	// Cancel cancels an attempt. Fields: ID, Attempt.
	Cancel
	// Probe probes a server. Field: Server.
	Probe
	// SendToPeer sends a message to another balancer. Fields: Peer, Data.
	SendToPeer
	// SetTimer schedules a TimerDue event. Fields: After, Tag.
	SetTimer
	// Subscribe starts a call to discovery that watches the server list.
	Subscribe
	// Fetch requests the complete server list from discovery once.
	Fetch
	// Log writes a log line. Field: Text.
	Log
)

// Action is one action for the caller to carry out. Which fields are set depends on Kind.
type Action struct {
	Kind    ActionKind
	ID      uint32 // request id
	Attempt int    // attempt number within the request, from 0 in the order of Send actions
	Server  string // server id
	After   time.Duration
	// WriteWithin is the time within which the attempt of a Send action may begin; zero: at any time. Later it
	// could run a second time.
	WriteWithin time.Duration
	Tag         uint64
	Peer        int // number of the receiving balancer
	Data        []byte
	Text        string
	Reason      string // why a request ends, for the log
	// Skipped has why servers did not get a request that ends without one, for the log.
	Skipped   SkipCounts
	OverQuota bool  // rejected because of the tenant's quota, not for lack of capacity
	Quota     Quota // the tenant's quota, to report to the client; zero: none
}

// Quota is this balancer's part of a tenant's quota, in requests.
type Quota struct{ PerSecond, Remaining float64 }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}
