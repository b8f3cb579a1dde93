// Package decide makes the decisions of a client-side load balancer: which server gets a request, when an
// attempt is given up or repeated, what is refused, and which servers are left alone.
//
// It does no input or output. The caller builds a Balancer with New and feeds it events in order; each call
// of Step returns the actions to carry out, in order. Time is virtual: a time.Duration since any fixed point,
// never running backwards. The same settings, seed and events always give the same actions. A Balancer is
// not safe for concurrent use.
package decide

import (
	"time"

	"dunestep/asking"
	"dunestep/health"
)

// Effect says what repeating a request may do.
type Effect uint8

// The effects: repeat at will, repeat only where servers drop repeats, never repeat.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Scope says which servers share the memory that drops a keyed request's repeats.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request.
type Class struct {
	Name       string
	Aim        time.Duration // full worth inside this
	AimStretch float64       // the aim grows by this times the request's work
	Deadline   time.Duration
	LateWorth  float64 // fraction of the worth after the aim
	Effect     Effect
	Scope      Scope
	Memory     time.Duration // how long servers drop repeats
	Worth      float64
	Stream     bool
}

// Tenant is a customer with a quota over all balancers together.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Share     float64
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int
	SecondCopies  bool // two attempts of a request may be out at once
	Cancel        bool
	Probes        bool
	Peers         bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
}

// Rules holds the figures of the rules that must never be broken.
type Rules struct {
	DrainGrace       time.Duration
	AskWithin        time.Duration // on-request discovery must be asked at least this often
	ColdShare        float64       // capacity of a server that just started
	ColdFor          time.Duration // warm after this
	FallMultiple     float64       // a cold server sent more than this many times its capacity
	FallWindow       time.Duration // for this long falls over
	OnlyDrainingBind bool          // a gone server may still be used, a draining one not
}

// Prices are deductions for each unit of what they name.
type Prices struct{ CrossZone, Waste, Probe, Peer, LateFail float64 }

// Goal holds the weights of the parts of the result, and TailMiss, no weight: the part of the requests of a
// class and short window that may miss the aim before the worth that SlowEnd weighs shrinks.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant, SlowEnd, TailMiss float64 }

// Settings is all that a Balancer is told at its start.
type Settings struct {
	Self           int // this balancer's number
	Balancers      int // how many there are
	Zone           string
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64
	Limits         Limits
	Rules          Rules
	Prices         Prices
	Goal           Goal
	OnRequest      bool          // discovery answers only when asked
	MarksRetry     bool          // clients mark their retries
	Tick           time.Duration // shortest gap between steps
	Figures        Figures       // zero: DefaultFigures
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
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   ServerState
	Weight  float64
	Started time.Duration // zero: long ago
}

// Load is a server's own report; a negative field is absent.
type Load struct{ InFlight, Latency, Rate, Errors float64 }

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	ServerError
	TurnedAway // never ran
	NoAnswer
	NoConnection // never ran
	ConnectionLost
	CalledOff
	NotSent // never ran
)

// NeverRan tells whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == TurnedAway || o == NoConnection || o == NotSent }

// Event is something that a Balancer is told: one of the types below.
type Event interface{ event() }

// Request is a client's request; it is owed exactly one final answer.
type Request struct {
	ID     uint32
	Work   time.Duration // rough; zero: unknown
	Key    string        // empty: none
	Tenant string
	Class  string
	Budget time.Duration // until the client gives up
	Retry  bool          // marked as a client's repeat
	// Counted: it was counted against its tenant's share when it came first, and is not again.
	Counted bool
}

// AttemptDone reports the end of an attempt. Finished: the client has its answer.
type AttemptDone struct {
	ID       uint32
	Attempt  int
	Server   string
	Outcome  Outcome
	Latency  time.Duration
	Finished bool
	Load     *Load
	Evidence health.Evidence // what the transport knows beyond the outcome; empty: nothing
}

// StreamStarted tells that an attempt's answer has begun to stream.
type StreamStarted struct {
	ID      uint32
	Attempt int
}

// ClientGone ends a request from the client's side.
type ClientGone struct{ ID uint32 }

// SyncKind is the kind of a membership update.
type SyncKind uint8

// The kinds of membership update.
const (
	SyncChange SyncKind = iota
	SyncFull
	SyncSaved
	SyncFailed
)

// Membership carries news of the server list. The entries are read during the step only.
type Membership struct {
	Kind    SyncKind
	Servers []Server
	Word    Word
}

// Word is how a Membership has come; zero where that is not known, as in the simulator.
type Word struct {
	End     asking.End    // of SyncFailed: how the call ended
	Quiet   time.Duration // of asking.Silent: how long nothing had come
	Waiting bool          // of asking.Silent: another call is out in its place
	Local   bool          // this agent's own, as staff's word is: discovery has said nothing
	Begun   bool          // discovery has taken a call up, and has said nothing yet
}

// ProbeDone reports the end of a probe.
type ProbeDone struct {
	Server  string
	Outcome Outcome
	Latency time.Duration
	Load    *Load
}

// PeerMessage carries another balancer's message.
type PeerMessage struct {
	From int
	Data []byte
}

// TimerDue tells that a timer set earlier has come due.
type TimerDue struct{ Tag uint64 }

func (*Request) event()       {}
func (*AttemptDone) event()   {}
func (*StreamStarted) event() {}
func (*ClientGone) event()    {}
func (*Membership) event()    {}
func (*ProbeDone) event()     {}
func (*PeerMessage) event()   {}
func (*TimerDue) event()      {}

// ActionKind names an action.
type ActionKind uint8

// The actions, with the fields of Action that each one uses.
const (
	Send      ActionKind = iota // ID, Server, After (the attempt's time-out)
	Fail                        // ID
	Refuse                      // ID, After (advice when to return; zero: none), OverShare, Quota
	Cancel                      // ID, Attempt
	Probe                       // Server
	Tell                        // Peer, Data
	SetTimer                    // After, Tag
	Subscribe                   // no field
	Fetch                       // no field: asks once for the whole list
	Log                         // Text
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
	// OverShare: refused for being beyond the tenant's share, not for want of room.
	OverShare bool
	Quota     Quota // of the tenant, where it is to be told of; zero: it isn't
}

// Quota is a tenant's part of the service at this balancer: requests a second, and those left of them now.
type Quota struct{ PerSecond, Left float64 }
