package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
)

// ServerState is a server's state in the server list.
type ServerState uint8

const (
	// Ready means that the server gets requests.
	Ready ServerState = iota
	// Draining means that the server finishes its requests and gets no new ones.
	Draining
	// Gone means that the server has left.
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID          string
	Zone        string
	MachineKind string
	Cell        int
	State       ServerState
	Weight      float64       // capacity relative to the other servers
	StartedAt   time.Duration // zero: long ago
}

// LoadReport is a server's report of its own load. A negative value means that the field is absent.
type LoadReport struct {
	InFlight   float64 // requests
	Latency    float64 // seconds
	Rate       float64 // requests a second
	ErrorRatio float64 // from 0 to 1
}

// Outcome is the result of an attempt or a probe.
type Outcome uint8

const (
	// Served means that the server responded.
	Served Outcome = iota
	// ServerError means that the server responded with an error. The attempt may have been processed.
	ServerError
	// Rejected means that the server rejected the attempt, which was not processed.
	Rejected
	// TimedOut means that there was no response in time. The attempt may have been processed.
	TimedOut
	// ConnectFailed means that no connection could be established. The attempt was not processed.
	ConnectFailed
	// ConnectionLost means that the connection was lost before the response was complete. The attempt may have
	// been processed.
	ConnectionLost
	// Canceled means that this balancer canceled the attempt, which may have been processed.
	Canceled
	// NotSent means that the attempt was never sent to the server. It was not processed.
	NotSent
)

// Unprocessed reports whether the outcome proves that the attempt had no effect.
func (o Outcome) Unprocessed() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Event is an input of Balancer.Step: a pointer to one of the event types of this file.
type Event interface{ event() }

// Request reports a new client request, which gets exactly one final answer.
type Request struct {
	ID            uint32
	WorkHint      time.Duration // estimated server time; zero: unknown
	Key           string        // empty: none
	Tenant        string
	Class         string
	ClientTimeout time.Duration // time until the client gives up
	ClientRetry   bool          // marked by the client as a retry
	QuotaCounted  bool          // already counted against its tenant's quota, so not counted again
	IsBodyPending bool          // its client is still sending the body; BodyComplete follows
}

// quotaTenant returns the tenant whose quota the request counts against, or an empty string for none.
func (e *Request) quotaTenant() string {
	if e.QuotaCounted {
		return ""
	}
	return e.Tenant
}

// AttemptDone reports the end of an attempt.
type AttemptDone struct {
	ID          uint32 // request id
	Attempt     int    // attempt number within the request, from 0 in the order of Send actions
	Server      string
	Outcome     Outcome
	Latency     time.Duration
	RequestDone bool             // the client has its final answer
	LoadReport  *LoadReport      // nil: none
	Evidence    outlier.Evidence // details of the outcome from the transport; zero: none
}

// BodyComplete reports that a request with IsBodyPending has its last byte: servers that have an attempt of
// it begin to work on it.
type BodyComplete struct{ ID uint32 }

// StreamStarted reports that an attempt's response has begun to stream to the client.
type StreamStarted struct {
	ID      uint32
	Attempt int
}

// ResponseBegun reports that an attempt's response has begun, with its head, and is not complete yet. It is
// reported again, with HasBody, when the body of a response begins that was overdue.
type ResponseBegun struct {
	ID      uint32
	Attempt int
	HasBody bool
}

// AttemptOverdue reports that the time of an attempt is over, and that it goes on since its response has
// begun. It may be reported more than once.
type AttemptOverdue struct {
	ID       uint32
	Attempt  int
	IsSilent bool             // nothing has come after the head, though it would have been read
	Evidence outlier.Evidence // details from the transport
}

// ClientGone reports that a request's client has disconnected.
type ClientGone struct{ ID uint32 }

// UpdateKind is the kind of a ServerListUpdate.
type UpdateKind uint8

const (
	// UpdateIncremental contains only the entries that changed.
	UpdateIncremental UpdateKind = iota
	// UpdateFull contains the complete list: servers that it does not contain are gone.
	UpdateFull
	// UpdateCached contains the complete list as it was cached before the start.
	UpdateCached
	// UpdateFailed contains no entries: a call to discovery has ended.
	UpdateFailed
)

// ServerListUpdate reports a change of the server list, or of the discovery watch that delivers it. The
// entries are read only during the step.
type ServerListUpdate struct {
	Kind    UpdateKind
	Servers []Server
	Watch   WatchStatus
}

// WatchStatus describes the call to discovery that a ServerListUpdate is about. The zero value means that
// nothing is known of it, as in the simulator.
type WatchStatus struct {
	End       backoff.CallResult // with UpdateFailed: how the call ended
	SilentFor time.Duration      // with backoff.WatchSilent: time since the watch last received anything
	Local     bool               // update by the agent itself, such as an operator's, not by discovery
	Opened    bool               // discovery has accepted the call but sent no list yet
	// AddressChanged is true if a call to a new address of discovery was started, without a Subscribe action.
	AddressChanged bool
	// OtherCall is true if the update is of another call than the latest watch: of the watch at discovery's
	// former address, or of a call for the complete list.
	OtherCall bool
}

// ProbeDone reports the end of a probe.
type ProbeDone struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport *LoadReport // nil: none
}

// PeerMessage reports a message from another balancer.
type PeerMessage struct {
	From int // number of the sending balancer
	Data []byte
}

// TimerDue reports that a timer set by a SetTimer action is due.
type TimerDue struct{ Tag uint64 }

func (*Request) event()          {}
func (*BodyComplete) event()     {}
func (*AttemptDone) event()      {}
func (*StreamStarted) event()    {}
func (*ResponseBegun) event()    {}
func (*AttemptOverdue) event()   {}
func (*ClientGone) event()       {}
func (*ServerListUpdate) event() {}
func (*ProbeDone) event()        {}
func (*PeerMessage) event()      {}
func (*TimerDue) event()         {}
