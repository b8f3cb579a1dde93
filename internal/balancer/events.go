package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
)

// ServerState is a server's state on the server list.
type ServerState uint8

const (
	// Ready servers get requests.
	Ready ServerState = iota
	// Draining servers finish what they have and get nothing new.
	Draining
	// Gone servers have left.
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID          string
	Zone        string
	MachineKind string
	Cell        int
	State       ServerState
	Weight      float64       // capacity, compared with the other servers'
	StartedAt   time.Duration // zero: long ago
}

// LoadReport is a server's own report; a negative field is absent.
type LoadReport struct {
	InFlight   float64 // requests
	Latency    float64 // seconds
	Rate       float64 // requests a second
	ErrorRatio float64 // from 0 to 1
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	// Served means with the server's answer.
	Served Outcome = iota
	// ServerError means with the server's error; it may have been processed.
	ServerError
	// Rejected means by the server; it was not processed.
	Rejected
	// TimedOut means without an answer in time; it may have been processed.
	TimedOut
	// ConnectFailed means that no connection came up; it was not processed.
	ConnectFailed
	// ConnectionLost means before the answer was complete; it may have been processed.
	ConnectionLost
	// Canceled means by this balancer; it may have been processed.
	Canceled
	// NotSent means that it never left this balancer; it was not processed.
	NotSent
)

// Unprocessed reports whether the outcome proves that the attempt had no effect.
func (o Outcome) Unprocessed() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Event is something that happened to a Balancer: one of the types below, by pointer.
type Event interface{ event() }

// Request is a client's request; it gets exactly one final answer.
type Request struct {
	ID            uint32
	WorkHint      time.Duration // rough server time; zero: unknown
	Key           string        // empty: none
	Tenant        string
	Class         string
	ClientTimeout time.Duration // until the client gives up
	ClientRetry   bool          // marked by the client as a retry
	QuotaCounted  bool          // counted against its tenant's quota before, and not again
}

// quotaTenant is the tenant whose quota the request counts against; empty: nobody's.
func (e *Request) quotaTenant() string {
	if e.QuotaCounted {
		return ""
	}
	return e.Tenant
}

// AttemptDone reports the end of an attempt.
type AttemptDone struct {
	ID          uint32 // of the request
	Attempt     int    // its number, from 0 in the order of Send actions
	Server      string
	Outcome     Outcome
	Latency     time.Duration
	RequestDone bool             // the client has its final answer
	LoadReport  *LoadReport      // nil: none came
	Evidence    outlier.Evidence // what the transport knows beyond the outcome; zero: nothing
}

// StreamStarted reports that an attempt's answer has begun to stream.
type StreamStarted struct {
	ID      uint32
	Attempt int
}

// ClientGone reports that a request's client has left.
type ClientGone struct{ ID uint32 }

// UpdateKind is the kind of a ServerListUpdate.
type UpdateKind uint8

const (
	// UpdateIncremental holds the entries that changed.
	UpdateIncremental UpdateKind = iota
	// UpdateFull holds the complete list: what it does not name is gone.
	UpdateFull
	// UpdateCached holds the complete list that was cached before the start.
	UpdateCached
	// UpdateFailed holds no entries: a call to discovery has ended.
	UpdateFailed
)

// ServerListUpdate reports a change of the server list, or of the watch that brings it. The entries are read
// during the step only.
type ServerListUpdate struct {
	Kind    UpdateKind
	Servers []Server
	Watch   WatchStatus
}

// WatchStatus is what is known of the call to discovery that a ServerListUpdate is about; zero: nothing, as
// in the simulator.
type WatchStatus struct {
	End       backoff.CallResult // of UpdateFailed: how the call ended
	SilentFor time.Duration      // of backoff.WatchSilent: how long nothing had come
	Replaced  bool               // of backoff.WatchSilent: another call has taken its place
	Local     bool               // the agent's own update, such as an operator's: discovery has said nothing
	Opened    bool               // discovery has accepted the call, and has sent nothing yet
}

// ProbeDone reports the end of a probe.
type ProbeDone struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport *LoadReport // nil: none came
}

// PeerMessage carries another balancer's message.
type PeerMessage struct {
	From int // the sender's number
	Data []byte
}

// TimerDue reports that a timer set by a SetTimer action is due.
type TimerDue struct{ Tag uint64 }

func (*Request) event()          {}
func (*AttemptDone) event()      {}
func (*StreamStarted) event()    {}
func (*ClientGone) event()       {}
func (*ServerListUpdate) event() {}
func (*ProbeDone) event()        {}
func (*PeerMessage) event()      {}
func (*TimerDue) event()         {}
