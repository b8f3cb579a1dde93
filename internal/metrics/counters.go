// Package metrics counts an agent's requests and attempts.
//
// Counters owns the counts, which start at zero with the process. The package does no I/O: the operators'
// socket and others read the counts. Everything is safe for concurrent use, and nothing blocks.
package metrics

import "sync/atomic"

// Ending is how a request ended from its client's point of view.
type Ending uint8

// The endings. A request that its client abandoned counts as Abandoned only.
const (
	OK       Ending = iota // served completely
	Rejected               // by any part of the agent or by the server
	Error                  // failed, malformed, or cut off during the response
	Abandoned
	endingCount
)

// Counters counts requests, attempts and upstream servers.
type Counters struct {
	classes   map[string]*[endingCount]atomic.Int64 // the map does not change after New
	attempts  atomic.Int64
	active    atomic.Int64
	endpoints atomic.Pointer[Endpoints]
	ejected   atomic.Int64
	discovery atomic.Pointer[Discovery]
	delays    messageDelays
}

// Endpoints has the numbers of listed and of disabled upstream servers.
type Endpoints struct {
	Listed   int // in discovery's list
	Disabled int // of these, disabled by operators
}

// New returns Counters for the classes of a deployment. Requests of other classes have no count by ending.
func New(classes []string) *Counters {
	c := &Counters{
		classes: map[string]*[endingCount]atomic.Int64{},
		delays:  messageDelays{byKind: map[string]*Delays{}},
	}
	for _, class := range classes {
		c.classes[class] = new([endingCount]atomic.Int64)
	}
	c.endpoints.Store(&Endpoints{})
	c.discovery.Store(&Discovery{})
	return c
}

// Request is a counted request, from NewRequest or StartRequest to End.
type Request struct {
	counters   *Counters
	counts     *[endingCount]atomic.Int64 // nil: unknown class
	hasStarted atomic.Bool
	hasEnded   bool
}

// StartRequest returns a new request that is counted as active.
func (c *Counters) StartRequest(class string) *Request {
	r := c.NewRequest(class)
	r.Start()
	return r
}

// NewRequest returns a request that has not been read completely; it becomes active with Start.
func (c *Counters) NewRequest(class string) *Request {
	return &Request{counters: c, counts: c.classes[class]}
}

// Start counts the request as active. After End, or when called again, it does nothing.
func (r *Request) Start() {
	if !r.hasStarted.Swap(true) {
		r.counters.active.Add(1)
	}
}

// End records how the request ended; it is then no longer active. When called again, or on a nil Request,
// it does nothing.
func (r *Request) End(e Ending) {
	if r == nil || r.hasEnded {
		return
	}
	r.hasEnded = true
	if r.hasStarted.Swap(true) {
		r.counters.active.Add(-1)
	}
	if r.counts != nil {
		r.counts[e].Add(1)
	}
}

// AttemptSent counts an attempt that was written completely to an upstream server.
func (c *Counters) AttemptSent() { c.attempts.Add(1) }

// SetEndpoints sets the current number of upstream servers.
func (c *Counters) SetEndpoints(p Endpoints) { c.endpoints.Store(&p) }

// SetEjected sets how many listed servers the balancer currently ejects. Servers that operators disabled
// are not included: the balancer treats them as draining.
func (c *Counters) SetEjected(n int) { c.ejected.Store(int64(n)) }

// Counts is the number of a class's requests by ending.
type Counts struct{ OK, Rejected, Errors, Abandoned int64 }

// Reading is a snapshot of all counts.
type Reading struct {
	Responses        map[string]Counts // by class; has every class of the deployment
	Attempts, Active int64             // attempts sent; active requests
	Listed           int64             // upstream servers in discovery's list
	Ejected          int64             // of these, disabled by operators or ejected by the balancer, each once
}

// Read returns all counts. Each is right by itself, but they are not read at the same instant.
func (c *Counters) Read() Reading {
	r := Reading{
		Responses: make(map[string]Counts, len(c.classes)), Attempts: c.attempts.Load(),
		Active: c.active.Load(),
	}
	for name, counts := range c.classes {
		r.Responses[name] = Counts{
			OK: counts[OK].Load(), Rejected: counts[Rejected].Load(), Errors: counts[Error].Load(),
			Abandoned: counts[Abandoned].Load(),
		}
	}
	endpoints := c.endpoints.Load()
	r.Listed = int64(endpoints.Listed)
	r.Ejected = min(int64(endpoints.Disabled)+c.ejected.Load(), r.Listed)
	return r
}
