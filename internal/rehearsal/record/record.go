// Package record defines the recording of a scenario run: ordered events from the wire and the machines,
// and samples of the upstream servers once a second. The program that plays a run passes them to a Sink as
// they happen, so that an hour of traffic is never held in memory. The judge uses no other input.
package record

import "time"

// Sink receives a run as it is played. Calls come from one goroutine in the order of virtual time; events
// with the same time come in the order in which they took effect.
type Sink interface {
	Begin(Day)
	// Server announces an upstream server before its first event. Numbers start at 0 and are never reused: a
	// process that restarts on its machine keeps its number, the successor in a deploy gets a new one.
	Server(n int, s Server)
	Take(*Event) // must be copied if kept: the caller reuses it
	Sample(*Sample)
	End(at time.Duration)
}

// Day describes a run after its random values have been drawn.
type Day struct {
	Agents   []Agent
	Capacity float64         // of the warmed-up fleet, in seconds of standard work per second
	RatePerS float64         // drawn mean rate of first tries per second
	Quotas   []float64       // first tries per second within each tenant's quota, in the scenario's order
	MeanWork []time.Duration // drawn mean work of each class, in the scenario's order
}

// Agent describes the agent with the same number in Day.Agents.
type Agent struct{ Name, Zone string }

// Server describes an upstream server.
type Server struct {
	ID, Zone, Kind, Addr string
	Cell                 int
	Capacity             float64 // after warm-up, in seconds of standard work per second
}

// Kind is the kind of an event.
type Kind uint8

// The events. Parentheses list the fields of Event that each one sets besides At.
const (
	// Tries of clients. Asked: a running agent has received the last byte of the request (Op, Chain, Try,
	// Agent, Class, Tenant, Key, Work, and the time that the client will wait). Unreached: no agent received
	// it (the same fields, Shut). Answered: the client received the last byte of the final answer (Op, Agent,
	// Answer, After, Attempt: the attempt whose body it is, negative if it came from no server). Lost: the
	// agent ended the connection without a complete answer (Op, Agent). Left: the client closed its connection
	// because its time was up or it lost patience (Op, Agent), or it learned that the agent had not read the
	// request (Unread).
	Asked Kind = iota
	Unreached
	Answered
	Lost
	Left
	// Attempts. Sent: the first byte left the agent (Op, Agent, Server, Attempt, NewConn, Crossed, and the
	// timeout announced to the server). Reached: the last byte arrived at an upstream server, even if the
	// server rejects it (Op, Agent, Server, Attempt, Work: what it would cost, Capacity: the server's current
	// one, Cold). Ended: how it ended for the agent (Op, Agent, Server, Attempt, Outcome). Worked: the server
	// finished or dropped it (Op, Server, Attempt, Work: standard work spent on it so far, Ran: whether it
	// started to run).
	Sent
	Reached
	Ended
	Worked
	// Connections and datagrams. Opened and Closed: a connection to an upstream server, as counted by the
	// server (Agent, Server). Datagram: delivered to an agent (Agent, From, Bytes).
	Opened
	Closed
	Datagram
	// The endpoint list. Changed: discovery learned of a change (Server, State, Started). Told: discovery has
	// written it to the agent (Agent, Server, State, Started). Watching: the agent's watch was accepted
	// (Agent). Asking: the agent requested the whole list (Agent). CallFailed: the agent's call failed or its
	// watch ended (Agent). WatchSilent: discovery sends nothing more on the agent's call, which stays open
	// (Agent, and the time that the call might have waited for its answer).
	Changed
	Told
	Watching
	Asking
	CallFailed
	WatchSilent
	// Processes. AgentStarts: an agent's process starts again (Agent). AgentUp: it is ready (Agent, After: the
	// startup time, where known). AgentDown: it was killed and everything it held is void (Agent). AgentStill:
	// it was paused (Agent). AgentOn: it was resumed (Agent). ServerUp: a server starts (Server, Cold,
	// Capacity: its current one). ServerDown: a server's process ends (Server). Fell: a server was overloaded
	// during slow start and crashed (Server).
	AgentStarts
	AgentUp
	AgentDown
	AgentStill
	AgentOn
	ServerUp
	ServerDown
	Fell
	// Faults. Began and Over (Trouble: the fault's number in the scenario). Over is when the fault's cause
	// ends; for a slow period that ends by itself, when it has ended.
	Began
	Over
	// Maintenance windows (Trouble, Server). Emptied: the keys of the window's tenants have left the server,
	// long enough ago that none of their requests can still be on the way. Returns: from now on they may come
	// back.
	Emptied
	Returns
	kinds
)

// Answer is the kind of a client's final answer.
type Answer uint8

// The final answers.
const (
	Served  Answer = iota
	Refused        // 429 or 503
	Failed         // any other status, or an answer that the client can tell is incomplete
)

// Outcome is how an attempt ended on the wire.
type Outcome uint8

// The outcomes.
const (
	OK           Outcome = iota // 200 with a complete body
	Error                       // 500; it may have run
	TurnedAway                  // rejected; never ran
	NoConnection                // refused, timed out, or broken before the last byte was written; never ran
	Broken                      // connection ended after the last byte; it may have run
	GivenUp                     // the agent stopped waiting after the last byte; it may have run or run later
	Unwritten                   // the agent stopped before the last byte was written; never ran
	SpoiltAnswer                // unreadable answer; it has run
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == TurnedAway || o == NoConnection || o == Unwritten }

// State is the state of an upstream server on discovery's list.
type State uint8

// The states.
const (
	Active State = iota
	Leaving
	Gone // announced as gone, or missing from a full list
)

// Event is something that passed on the wire or happened to a machine. It is kept small: an hour of the
// deployment's traffic has about ten million events.
type Event struct {
	At       time.Duration
	Work     time.Duration // on a standard core
	Left     time.Duration // remaining wait of the client or the silent call, or timeout announced by an attempt
	After    time.Duration // advised by Retry-After, 0 for none; for AgentUp: since the process started
	Started  time.Duration // start of a server's process; 0: long ago
	Capacity float64       // in seconds of standard work per second
	Op       uint32        // number of a client's try, unique in the run
	Chain    uint32        // Op of the chain's first try
	Key      uint32
	Bytes    uint32
	Server   int32
	Agent    int32
	From     int32 // sender of a datagram
	Trouble  int16
	Class    uint8
	Tenant   uint8 // number in the scenario, or NoTenant
	Try      uint8 // 0: the first try
	Attempt  int8  // number within the request, from 0
	Kind     Kind
	Answer   Answer
	Outcome  Outcome
	State    State
	NewConn  bool // the attempt waits for a new connection
	Crossed  bool // sent to another zone
	Cold     bool // the server is in slow start
	Ran      bool
	Shut     bool // for Left and Unreached: an agent that is shutting down closed the new connection
	Unread   bool // for Left: the agent had not read the request
}

// NoTenant is the tenant number in a scenario without tenants.
const NoTenant = 255

// Sample is the state of the upstream servers and agents at the end of a second.
type Sample struct {
	At      time.Duration
	Servers []Load // the running servers, by number
	Held    []int  // number of requests held by each agent, by its number
}

// Load is the load of an upstream server.
type Load struct {
	Server   int
	Busy     float64 // part of the second's core time spent on any work
	Capacity float64 // current capacity, in seconds of standard work per second
	Running  int     // requests in execution slots
	Waiting  int     // requests in the queue
	Conns    int     // open connections
}
