// Package record defines the recording of a scenario run: ordered events from the wire and the machines,
// and samples of the upstream servers once a second. The program that plays a run passes them to a Sink as
// they happen, so that an hour of traffic is never held in memory. The judge uses no other input.
package record

import "time"

// Sink receives a run as it is played. Calls come from one goroutine in the order of virtual time; events
// with the same time arrive in the order in which they took effect.
type Sink interface {
	Begin(Run)
	// Server announces an upstream server before its first event. Numbers start at 0 and are never reused: a
	// process that restarts on its machine keeps its number, the successor in a deploy gets a new one.
	Server(n int, s Server)
	Observe(*Event) // the event must be copied to be kept: the caller reuses it
	Sample(*Sample)
	End(at time.Duration)
}

// Run describes a run after its random values have been drawn.
type Run struct {
	Agents   []Agent
	Capacity float64         // of the warmed-up fleet, in seconds of standard work per second
	RatePerS float64         // drawn mean rate of first tries per second
	Quotas   []float64       // first tries per second within each tenant's quota, in the scenario's order
	MeanWork []time.Duration // drawn mean work of each class, in the scenario's order
}

// Agent describes the agent with the same number in Run.Agents.
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
	// Tries of clients. RequestReceived: a running agent has received the last byte of the request (RequestID,
	// Chain, Try, Agent, Class, Tenant, Key, Work, and the time that the client will wait). RequestUnreached:
	// no agent received it (the same fields, ClosedByShutdown). Answered: the client received the last byte of
	// the final answer (RequestID, Agent, Answer, After, Attempt: the attempt whose body it is, negative if it
	// came from no server). ConnectionLost: the agent ended the connection without a complete answer
	// (RequestID, Agent). ClientLeft: the client closed its connection because its time was up or it lost
	// patience (RequestID, Agent), or it learned that the agent had not read the request (Unread).
	RequestReceived Kind = iota
	RequestUnreached
	Answered
	ConnectionLost
	ClientLeft
	// Attempts. AttemptSent: the first byte left the agent (RequestID, Agent, Server, Attempt, NewConn,
	// CrossZone, and the timeout announced to the server). AttemptReached: the last byte arrived at an
	// upstream server, even if the server rejects it (RequestID, Agent, Server, Attempt, Work: what it would
	// cost, Capacity: the server's current one, SlowStart). AttemptEnded: how it ended for the agent
	// (RequestID, Agent, Server, Attempt, Outcome). WorkDone: the server finished or dropped it (RequestID,
	// Server, Attempt, Work: standard work spent on it so far, Ran: whether it started to run).
	AttemptSent
	AttemptReached
	AttemptEnded
	WorkDone
	// Connections and datagrams. ConnOpened and ConnClosed: a connection to an upstream server, as counted by
	// the server (Agent, Server). Datagram: delivered to an agent (Agent, From, Bytes).
	ConnOpened
	ConnClosed
	Datagram
	// The endpoint list. ListChanged: discovery learned of a change (Server, State, Started). Notified:
	// discovery has written it to the agent (Agent, Server, State, Started). WatchOpened: the agent's watch
	// was accepted (Agent). ListRequested: the agent requested the whole list (Agent). CallFailed: the agent's
	// call failed or its watch ended (Agent). WatchSilent: discovery sends nothing more on the agent's call,
	// which stays open (Agent, and the time that the call might have waited for its answer).
	ListChanged
	Notified
	WatchOpened
	ListRequested
	CallFailed
	WatchSilent
	// Processes. AgentStarts: an agent's process starts again (Agent). AgentUp: it is ready (Agent, After: the
	// startup time, where known). AgentDown: it was killed and everything it held is void (Agent).
	// AgentPaused: it was paused (Agent). AgentResumed: it was resumed (Agent). ServerUp: a server starts
	// (Server, SlowStart, Capacity: its current one). ServerDown: a server's process ends (Server).
	// ServerOverloaded: a server was overloaded during slow start and crashed (Server).
	AgentStarts
	AgentUp
	AgentDown
	AgentPaused
	AgentResumed
	ServerUp
	ServerDown
	ServerOverloaded
	// Faults. FaultBegan and FaultEnded (Fault: the fault's number in the scenario). FaultEnded is when the
	// fault's cause ends; for a slow period that ends by itself, when it has ended.
	FaultBegan
	FaultEnded
	// Maintenance windows (Fault, Server). WindowEmptied: the keys of the window's tenants have left the
	// server, long enough ago that none of their requests can still be on the way. WindowReturning: from now
	// on they may come back.
	WindowEmptied
	WindowReturning
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
	OK               Outcome = iota // 200 with a complete body
	Error                           // 500; it may have run
	Rejected                        // rejected; never ran
	NoConnection                    // refused, timed out, or broken before the last byte was written; never ran
	Broken                          // connection ended after the last byte; it may have run
	Abandoned                       // the agent stopped waiting after the last byte; it may run or have run
	Unwritten                       // the agent stopped before the last byte was written; never ran
	UnreadableAnswer                // unreadable answer; it has run
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnection || o == Unwritten }

// State is the state of an upstream server on discovery's list.
type State uint8

// The states.
const (
	Active State = iota
	Draining
	Gone // announced as gone, or missing from a full list
)

// Event is something that passed on the wire or happened to a machine. It is kept small: an hour of the
// deployment's traffic has about ten million events.
type Event struct {
	At               time.Duration
	Work             time.Duration // on a standard core
	Left             time.Duration // wait left of the client or the silent call; for AttemptSent: its timeout
	After            time.Duration // advised by Retry-After, 0 for none; for AgentUp: since the process started
	Started          time.Duration // start of a server's process; 0: long ago
	Capacity         float64       // in seconds of standard work per second
	RequestID        uint32        // number of a client's try, unique in the run
	Chain            uint32        // RequestID of the chain's first try
	Key              uint32
	Bytes            uint32
	Server           int32
	Agent            int32
	From             int32 // sender of a datagram
	Fault            int16
	Class            uint8
	Tenant           uint8 // number in the scenario, or NoTenant
	Try              uint8 // 0: the first try
	Attempt          int8  // number within the request, from 0
	Kind             Kind
	Answer           Answer
	Outcome          Outcome
	State            State
	NewConn          bool // the attempt waits for a new connection
	CrossZone        bool // sent to another zone
	SlowStart        bool // the server is in slow start
	Ran              bool
	ClosedByShutdown bool // for ClientLeft and RequestUnreached: new connection closed by an agent shutting down
	Unread           bool // for ClientLeft: the agent had not read the request
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
