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
	// Respond sends the request's one final response: Request, Result, Cause, After (of a rejection: the
	// retry-after), OverQuota, Quota, Text (human-readable). If Result is protocol.Served, it is the response
	// of Attempt, which the current input reports. If also Streaming is true, only its beginning has been
	// received: the attempt's timeout no longer applies, and ResponseProgress.CheckLimits does from now on.
	Respond OutputKind = iota
	// StartAttempt sends the request to an endpoint: Request, Attempt, Endpoint, At (when it times out),
	// Deadline, Streaming (its response is forwarded from the first byte on), After (the client's time
	// counted from the request's last byte, if that has not been received; else zero), WriteBy (when it must
	// have been written; zero: at any time).
	StartAttempt
	// RescheduleAttempt changes when an attempt times out, now that its request is complete: Request,
	// Attempt, At, Deadline.
	RescheduleAttempt
	// CancelAttempt ends an attempt now: Request, Attempt, Reason. Its end is reported like any other.
	CancelAttempt
	// ForwardResponse makes the response that an attempt has begun the request's final one now, however much of
	// it is there: Request, Attempt. Its beginning is reported to ResponseStarted.
	ForwardResponse
	// CancelIfUnsent ends an attempt if it has not been written yet, because the request has its response
	// or its client has left: Request, Attempt. An attempt that waits for a connection ends at once, as
	// Canceled; one that is being written, or has been, continues.
	CancelIfUnsent
	// ForgetRequest means that no further outputs concern the request and that inputs for it are ignored:
	// Request, MayHaveRun.
	ForgetRequest
	// SetTimer requests a call of TimerDue: At, Tag.
	SetTimer
	// SendDatagram sends a datagram to another agent: Peer, Data.
	SendDatagram
	// WatchList starts a watch on the endpoint list.
	WatchList
	// FetchList requests the complete list once.
	FetchList
	// OpenEndpoint starts an endpoint's actor, before the first attempt there: Endpoint, Addr.
	OpenEndpoint
	// SetEndpointAddress sends new connections to another address: Endpoint, Addr. It may be the present one.
	SetEndpointAddress
	// ReplaceEndpoint closes idle connections to an endpoint, and those in use after their responses: a new
	// process has started under its id, at the same address perhaps: Endpoint.
	ReplaceEndpoint
	// RemoveEndpoint ends an endpoint's actor: Endpoint. Attempts under way continue to their ends.
	RemoveEndpoint
	// DrainEndpoint closes all idle connections to an endpoint, and others when they become idle, until the
	// next SetEndpointAddress: Endpoint.
	DrainEndpoint
	// ReleaseIdle closes half of an endpoint's idle connections: Endpoint.
	ReleaseIdle
	// LogDecision writes a log line of the decision module: Text.
	LogDecision
	// UnsupportedProbe reports that the decision module requested a probe of Endpoint, which is a
	// defect: see Permitted.
	UnsupportedProbe
)

// Output is one output of a Router, for the caller to carry out. Which fields are set depends on Kind.
type Output struct {
	Kind      OutputKind
	Request   uint32 // number of the request
	Attempt   int    // number of the attempt within its request, from 0
	Result    protocol.ResponseKind
	Streaming bool
	Endpoint  string // id of the endpoint
	Addr      netip.AddrPort
	Reason    EndReason
	Cause     string              // why the request was rejected or failed, for the log
	Skipped   balancer.SkipCounts // why servers did not get it, for the log
	At        time.Duration       // on the clock
	Deadline  time.Duration       // of the request's final response, on the clock
	After     time.Duration
	WriteBy   time.Duration // on the clock
	Tag       uint64
	Peer      int // number of the receiving agent
	Data      []byte
	Text      string
	OverQuota bool           // rejected because the tenant is over its quota
	Quota     balancer.Quota // the tenant's quota, to report to the client; zero: none
	// MayHaveRun reports whether the request may have run at an endpoint, and must not run twice.
	MayHaveRun bool
}
