// Package balancer makes the decisions of a client-side load balancer: which server gets a request, when an
// attempt is given up or repeated, what is refused, and which servers are left alone.
//
// It does no input or output. The caller builds a Balancer with New and feeds it events in order; each call
// of Step returns the actions to carry out, in order. Time is virtual: a time.Duration since any fixed point,
// never running backwards. The same settings, seed and events always give the same actions. A Balancer is
// not safe for concurrent use.
package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
)

// Idempotency says what repeating a request may do.
type Idempotency uint8

// The effects: repeat at will, repeat only where servers drop repeats, never repeat.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// DedupScope says which servers share the memory that drops a keyed request's repeats.
type DedupScope uint8

// The scopes of a keyed class.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // full worth inside this
	ObjectivePerWork float64       // the aim grows by this times the request's work
	Deadline         time.Duration
	LateWeight       float64 // fraction of the worth after the aim
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long servers drop repeats
	PriorityWeight   float64
	Streaming        bool
}

// Tenant is a customer with a quota over all balancers together.
type Tenant struct {
	Name           string
	QuotaPerSecond float64
	Share          float64
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int
	Hedging       bool // two attempts of a request may be out at once
	Cancel        bool
	Probes        bool
	Gossip        bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
}

// Rules holds the figures of the rules that must never be broken.
type Rules struct {
	DrainGrace        time.Duration
	MaxPollInterval   time.Duration // on-request discovery must be asked at least this often
	SlowStartCapacity float64       // capacity of a server that just started
	SlowStartDuration time.Duration // warm after this
	OverloadMultiple  float64       // a cold server sent more than this many times its capacity
	OverloadWindow    time.Duration // for this long falls over
	GoneUsable        bool          // a gone server may still be used, a draining one not
}

// Costs are deductions for each unit of what they name.
type Costs struct{ CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64 }

// ScoreWeights holds the weights of the parts of the result, and TailMissRatio, no weight: the part of the requests of a
// class and short window that may miss the aim before the worth that TailLatency weighs shrinks.
type ScoreWeights struct{ Total, WorstWindow, WorstClass, WorstTenant, TailLatency, TailMissRatio float64 }

// Settings is all that a Balancer is told at its start.
type Settings struct {
	Self               int // this balancer's number
	Balancers          int // how many there are
	Zone               string
	Classes            []Class
	Tenants            []Tenant
	OverQuotaWeight    float64
	Limits             Limits
	Rules              Rules
	Costs              Costs
	ScoreWeights       ScoreWeights
	DiscoveryOnDemand  bool          // discovery answers only when asked
	ClientsMarkRetries bool          // clients mark their retries
	Tick               time.Duration // shortest gap between steps
	Tuning             Tuning        // zero: DefaultTuning
}

// ServerState is a server's standing on the membership list.
type ServerState uint8

// The states of a listed server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is a membership entry.
type Server struct {
	ID          string
	Zone        string
	MachineKind string
	Cell        int
	State       ServerState
	Weight      float64
	StartedAt   time.Duration // zero: long ago
}

// LoadReport is a server's own report; a negative field is absent.
type LoadReport struct{ InFlight, Latency, Rate, ErrorRatio float64 }

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	ServerError
	Rejected // never ran
	TimedOut
	ConnectFailed // never ran
	ConnectionLost
	Canceled
	NotSent // never ran
)

// Unprocessed tells whether the outcome proves that the attempt had no effect.
func (o Outcome) Unprocessed() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Event is something that a Balancer is told: one of the types below.
type Event interface{ event() }

// Request is a client's request; it is owed exactly one final answer.
type Request struct {
	ID            uint32
	WorkHint      time.Duration // rough; zero: unknown
	Key           string        // empty: none
	Tenant        string
	Class         string
	ClientTimeout time.Duration // until the client gives up
	ClientRetry   bool          // marked as a client's repeat
	// QuotaCounted: it was counted against its tenant's share when it came first, and is not again.
	QuotaCounted bool
}

// AttemptDone reports the end of an attempt. RequestDone: the client has its answer.
type AttemptDone struct {
	ID          uint32
	Attempt     int
	Server      string
	Outcome     Outcome
	Latency     time.Duration
	RequestDone bool
	LoadReport  *LoadReport
	Evidence    outlier.Evidence // what the transport knows beyond the outcome; empty: nothing
}

// StreamStarted tells that an attempt's answer has begun to stream.
type StreamStarted struct {
	ID      uint32
	Attempt int
}

// ClientGone ends a request from the client's side.
type ClientGone struct{ ID uint32 }

// UpdateKind is the kind of a membership update.
type UpdateKind uint8

// The kinds of membership update.
const (
	UpdateIncremental UpdateKind = iota
	UpdateFull
	UpdateCached
	UpdateFailed
)

// ServerListUpdate carries news of the server list. The entries are read during the step only.
type ServerListUpdate struct {
	Kind    UpdateKind
	Servers []Server
	Watch   WatchStatus
}

// Watch is how a ServerListUpdate has come; zero where that is not known, as in the simulator.
type WatchStatus struct {
	End       backoff.CallResult // of UpdateFailed: how the call ended
	SilentFor time.Duration      // of backoff.WatchSilent: how long nothing had come
	Replaced  bool               // of backoff.WatchSilent: another call is out in its place
	Local     bool               // this agent's own, as staff's word is: discovery has said nothing
	Opened    bool               // discovery has taken a call up, and has said nothing yet
}

// ProbeDone reports the end of a probe.
type ProbeDone struct {
	Server     string
	Outcome    Outcome
	Latency    time.Duration
	LoadReport *LoadReport
}

// PeerMessage carries another balancer's message.
type PeerMessage struct {
	From int
	Data []byte
}

// TimerDue tells that a timer set earlier has come due.
type TimerDue struct{ Tag uint64 }

func (*Request) event()          {}
func (*AttemptDone) event()      {}
func (*StreamStarted) event()    {}
func (*ClientGone) event()       {}
func (*ServerListUpdate) event() {}
func (*ProbeDone) event()        {}
func (*PeerMessage) event()      {}
func (*TimerDue) event()         {}

// ActionKind names an action.
type ActionKind uint8

// The actions, with the fields of Action that each one uses.
const (
	Send       ActionKind = iota // ID, Server, After (the attempt's time-out)
	Fail                         // ID
	Reject                       // ID, After (advice when to return; zero: none), OverQuota, Quota
	Cancel                       // ID, Attempt
	Probe                        // Server
	SendToPeer                   // PeerMessage, Data
	SetTimer                     // After, Tag
	Subscribe                    // no field
	Fetch                        // no field: asks once for the whole list
	Log                          // Text
)

// Action is one thing that the caller must do.
type Action struct {
	Kind    ActionKind
	ID      uint32
	Attempt int
	Server  string
	After   time.Duration
	Tag     uint64
	Peer    int
	Data    []byte
	Text    string
	// OverQuota: refused for being beyond the tenant's share, not for want of room.
	OverQuota bool
	Quota     Quota // of the tenant, where it is to be told of; zero: it isn't
}

// Quota is a tenant's part of the service at this balancer: requests a second, and those left of them now.
type Quota struct{ PerSecond, Remaining float64 }
