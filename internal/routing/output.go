package routing

import (
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// OutputKind is the kind of an Output.
type OutputKind uint8

// The kinds of output, with the fields of Output that each one uses.
const (
	// Respond gives the request its one final answer: Request, Result, After (of a rejection: when to return),
	// OverQuota, Quota, Text (for people). Where Result is protocol.Served, it is the answer of Attempt, which
	// was reported just now. Where Streaming is true too, only its beginning is there and the rest follows: the
	// attempt's timeout is over, and ResponseProgress.CheckLimits says what holds from now on.
	Respond OutputKind = iota
	// StartAttempt sends the request to an endpoint: Request, Attempt, Endpoint, At (when it times out),
	// Deadline, Streaming (its answer is passed on from the first byte on), After (its timeout from the
	// request's last byte on, where that has not come; else zero).
	StartAttempt
	// RescheduleAttempt changes when an attempt times out, since its request is complete: Request, Attempt, At,
	// Deadline.
	RescheduleAttempt
	// CancelAttempt ends an attempt now: Request, Attempt, Why. Its end is reported as any other.
	CancelAttempt
	// CancelIfUnsent ends an attempt if it has not been written yet, since the request has its answer or its
	// client has left: Request, Attempt. One that waits for a connection ends at once, as Canceled; one that is
	// being written, or has been, goes on.
	CancelIfUnsent
	// ForgetRequest says that nothing about the request is asked or taken in any more: Request.
	ForgetRequest
	// SetTimer asks for TimerDue: At, Tag.
	SetTimer
	// SendDatagram sends a datagram to another agent: Peer, Data.
	SendDatagram
	// WatchList starts a watch on the endpoint list.
	WatchList
	// FetchList asks once for the complete list.
	FetchList
	// OpenEndpoint starts an endpoint's actor: Endpoint, Addr.
	OpenEndpoint
	// SetEndpointAddress sends new connections to another address: Endpoint, Addr. It may be the present one.
	SetEndpointAddress
	// RemoveEndpoint ends an endpoint's actor: Endpoint. Attempts that are under way go on to their ends.
	RemoveEndpoint
	// DrainEndpoint closes all idle connections to an endpoint, and those that become idle, until the next
	// SetEndpointAddress: Endpoint.
	DrainEndpoint
	// ReleaseIdle closes half of an endpoint's idle connections: Endpoint.
	ReleaseIdle
	// LogDecision writes a log line of the decision module: Text.
	LogDecision
	// UnsupportedProbe reports that the decision module asked for a probe of Endpoint, which is a defect: see
	// Permitted.
	UnsupportedProbe
)

// Output is one thing that a Router wants done. Which fields are set depends on Kind.
type Output struct {
	Kind      OutputKind
	Request   uint32 // its number
	Attempt   int    // its number, from 0
	Result    protocol.ResponseKind
	Streaming bool
	Endpoint  string // its id
	Addr      netip.AddrPort
	Why       EndReason
	At        time.Duration // on the clock
	Deadline  time.Duration // of the request's final answer, on the clock
	After     time.Duration
	Tag       uint64
	Peer      int // the receiver's number
	Data      []byte
	Text      string
	OverQuota bool           // rejected for its tenant's quota
	Quota     balancer.Quota // of the tenant, where the client is to be told; zero: it is not
}
