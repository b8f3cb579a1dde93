// Package routing is the routing of an agent without its input and output: state machines, one for each actor
// of internal/routing, that are told what happened and say what is to be done. The daemon's actors carry that
// out on sockets; a rehearsal does in virtual time.
//
// Nothing here waits, sleeps, reads a clock or starts a goroutine. Every input carries the time, on the clock
// of package decide: a time.Duration since any fixed point, which must not run backwards. The same inputs in
// the same order always give the same outputs in the same order. No type is safe for concurrent use.
//
//   - Router, the module's actor: operations, their numbers, route steps, one answer each, servers' standing.
//   - Pool, a booking server's actor: its connections. IdleLimit says how long they are used.
//   - ListTracker, the pool config's actor: version, order, and the handover from one watch to the next.
//   - Descriptors: the shares of the front socket and of the connections to booking servers.
//   - ShutdownPlan: what a planned restart does when.
//   - AttemptResult: what was seen of a route step, and what it became; ResponseProgress: of an answer that began.
package routing

import (
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// OutputKind names what a Router wants done.
type OutputKind uint8

// The kinds of output, with the fields of Output that each one uses.
const (
	// Respond gives the operation its one final answer: Request, Result, After (a busy reply's advice),
	// OverQuota, Quota, Text (for whoever reads a failure). Where Result is protocol.Served, it is the answer to
	// the route step Attempt, which was told of just now. Where Streaming is true too, only the beginning is there:
	// the rest follows as it comes, and the step's time is over: CheckLimits says what holds from now on.
	Respond OutputKind = iota
	// StartAttempt sends the operation to a booking server: Request, Attempt, Endpoint, PhaseAt (when it is given up),
	// Deadline, Streaming (its answer is passed on from the first byte on), After (how long it is waited for from
	// the operation's last byte on, where that has not come; else zero).
	StartAttempt
	// RescheduleAttempt sets anew when a route step is given up, since its operation has come whole: Request,
	// Attempt, PhaseAt, Deadline.
	RescheduleAttempt
	// CancelAttempt gives a route step up now: Request, Attempt, Why. Its end is told as any other.
	CancelAttempt
	// CancelIfUnsent tells that a route step is not to be sent on any more where that has not begun: the operation
	// has its answer, or its client has gone: Request, Attempt. One that waits for a connection ends at once,
	// as Canceled; one that is being written, or has been, goes on.
	CancelIfUnsent
	// ForgetRequest tells that nothing more is asked about the operation, nor taken in: Request.
	ForgetRequest
	// SetTimer asks for TimerDue: PhaseAt, Tag.
	SetTimer
	// SendDatagram sends a datagram to another agent: Peer, Data.
	SendDatagram
	// WatchList has the list watched from now on.
	WatchList
	// FetchList has the whole list asked for once.
	FetchList
	// OpenEndpoint begins with a booking server: Endpoint, Addr.
	OpenEndpoint
	// SetEndpointAddress has new connections go to another address: Endpoint, Addr. It may be the present one.
	SetEndpointAddress
	// RemoveEndpoint ends with a booking server: Endpoint. What is out there goes on to its end.
	RemoveEndpoint
	// DrainEndpoint has all idle connections to a booking server closed, and those that fall idle, until the next
	// SetEndpointAddress: Endpoint.
	DrainEndpoint
	// ReleaseIdle has half of a booking server's idle connections closed: Endpoint.
	ReleaseIdle
	// LogDecision writes what the module says: Text.
	LogDecision
	// UnsupportedProbe tells that the module asked for a probe of Endpoint, which is a defect: see Permitted.
	UnsupportedProbe
)

// Output is one thing that a Router wants done.
type Output struct {
	Kind      OutputKind
	Request   uint32
	Attempt   int
	Result    protocol.ResponseKind
	Streaming bool
	Endpoint  string
	Addr      netip.AddrPort
	Why       EndReason
	At        time.Duration // on the clock
	Deadline  time.Duration // of the operation's final answer
	After     time.Duration
	Tag       uint64
	Peer      int
	Data      []byte
	Text      string
	OverQuota bool           // of a busy reply: the tenant is beyond its share
	Quota     balancer.Quota // of the tenant, for a busy reply to tell of
}
