// Package metrics counts what an agent does: each request and attempt once, where it ends.
//
// Counters owns the counts; they begin at zero with the process. There is no input or output here: the
// operators' socket reads the counts, and whatever else shows them. Everything is safe for concurrent use,
// and nothing waits.
package metrics

import "sync/atomic"

// Ending is how a request ended, as its client saw it.
type Ending uint8

// The endings. A request that its client abandoned is counted by none of the others.
const (
	OK       Ending = iota // served, to the last byte
	Rejected               // rejected, by whichever part of the agent or by the server
	Error                  // failed, malformed, or cut off within the response
	Abandoned
	endingCount
)

// Counters holds the counts.
type Counters struct {
	classes   map[string]*[endingCount]atomic.Int64 // never changed after New
	attempts  atomic.Int64
	active    atomic.Int64
	endpoints atomic.Pointer[Endpoints]
	ejected   atomic.Int64
}

// Endpoints is how many upstream servers there are.
type Endpoints struct {
	Listed int // in discovery's list
	Banned int // of these, ejected by operators
}

// New returns counts for the classes of a deployment; requests of other classes are counted by none.
func New(classes []string) *Counters {
	c := &Counters{classes: map[string]*[endingCount]atomic.Int64{}}
	for _, class := range classes {
		c.classes[class] = new([endingCount]atomic.Int64)
	}
	c.endpoints.Store(&Endpoints{})
	return c
}

// Request is a request that is counted, until its End.
type Request struct {
	counters   *Counters
	counts     *[endingCount]atomic.Int64 // nil: of no class that is known
	hasStarted atomic.Bool
	hasEnded   bool
}

// StartRequest counts a request as active.
func (c *Counters) StartRequest(class string) *Request {
	r := c.NewRequest(class)
	r.Start()
	return r
}

// NewRequest returns a request that has not been read completely: it is active from Start on.
func (c *Counters) NewRequest(class string) *Request {
	return &Request{counters: c, counts: c.classes[class]}
}

// Start counts a request as active. After End, or for a second time, it does nothing.
func (r *Request) Start() {
	if !r.hasStarted.Swap(true) {
		r.counters.active.Add(1)
	}
}

// End counts how the request ended. A second End does nothing, nor does one of a nil request.
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

// AttemptSent counts an attempt that was completely written to an upstream server.
func (c *Counters) AttemptSent() { c.attempts.Add(1) }

// SetEndpoints takes in how many upstream servers there are now.
func (c *Counters) SetEndpoints(p Endpoints) { c.endpoints.Store(&p) }

// SetEjected takes in how many listed servers the balancer ejects now. Those that operators ejected are not
// among them: the balancer takes them for draining.
func (c *Counters) SetEjected(n int) { c.ejected.Store(int64(n)) }

// Counts are a class's requests by how they ended.
type Counts struct{ OK, Rejected, Errors, Abandoned int64 }

// Reading is what the counts are at a time.
type Reading struct {
	Responses        map[string]Counts // every class of the deployment
	Attempts, Active int64             // attempts; requests that are active
	Listed           int64             // upstream servers in the list
	Ejected          int64             // of these, ejected now by operators or the balancer; each once
}

// Read reads all counts. Each is right by itself; they may be some instructions apart.
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
	r.Ejected = min(int64(endpoints.Banned)+c.ejected.Load(), r.Listed)
	return r
}
