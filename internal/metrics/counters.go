// Package metrics counts what an agent does: each request and attempt once, where it ends.
//
// Figures owns the counts; they begin at zero with the process. There is no input or output here: the
// operators' socket reads the counts, and whatever else shows them. Everything is safe for concurrent use,
// and nothing waits.
package metrics

import "sync/atomic"

// Ending is how a request ended, as its client saw it.
type Ending uint8

// The endings. A request that its client abandoned is counted by none of the others.
const (
	OK    Ending = iota // served, to the last byte
	Shed                // rejected, by whichever part of the agent or by the server
	Error               // failed, malformed, or cut off within the response
	Abandoned
	endingCount
)

// Figures holds the counts.
type Figures struct {
	classes   map[string]*[endingCount]atomic.Int64 // never changed after New
	attempts  atomic.Int64
	active    atomic.Int64
	endpoints atomic.Pointer[Pool]
	ejected   atomic.Int64
}

// Pool is how many upstream servers there are.
type Pool struct {
	Listed int // in discovery's list
	Banned int // of these, ejected by operators
}

// New returns counts for the classes of a deployment; requests of other classes are counted by none.
func New(classes []string) *Figures {
	f := &Figures{classes: map[string]*[endingCount]atomic.Int64{}}
	for _, class := range classes {
		f.classes[class] = new([endingCount]atomic.Int64)
	}
	f.endpoints.Store(&Pool{})
	return f
}

// Operation is a request that is counted, until its End.
type Operation struct {
	counters   *Figures
	counts     *[endingCount]atomic.Int64 // nil: of no class that is known
	hasStarted atomic.Bool
	hasEnded   bool
}

// Begin counts a request as active.
func (f *Figures) Begin(class string) *Operation {
	o := f.Await(class)
	o.Taken()
	return o
}

// Await returns a request that has not been read completely: it is active from Taken on.
func (f *Figures) Await(class string) *Operation {
	return &Operation{counters: f, counts: f.classes[class]}
}

// Taken counts a request as active. After End, or for a second time, it does nothing.
func (o *Operation) Taken() {
	if !o.hasStarted.Swap(true) {
		o.counters.active.Add(1)
	}
}

// End counts how the request ended. A second End does nothing, nor does one of a nil request.
func (o *Operation) End(e Ending) {
	if o == nil || o.hasEnded {
		return
	}
	o.hasEnded = true
	if o.hasStarted.Swap(true) {
		o.counters.active.Add(-1)
	}
	if o.counts != nil {
		o.counts[e].Add(1)
	}
}

// Tried counts an attempt that was completely written to an upstream server.
func (f *Figures) Tried() { f.attempts.Add(1) }

// SetPool takes in how many upstream servers there are now.
func (f *Figures) SetPool(p Pool) { f.endpoints.Store(&p) }

// SetAvoided takes in how many listed servers the balancer ejects now. Those that operators ejected are not
// among them: the balancer takes them for draining.
func (f *Figures) SetAvoided(n int) { f.ejected.Store(int64(n)) }

// Counts are a class's requests by how they ended.
type Counts struct{ OK, Shed, Errors, Abandoned int64 }

// Reading is what the counts are at a time.
type Reading struct {
	Responses     map[string]Counts // every class of the deployment
	Tries, Active int64             // attempts; requests that are active
	Listed        int64             // upstream servers in the list
	Ejected       int64             // of these, ejected now by operators or the balancer; each once
}

// Read reads all counts. Each is right by itself; they may be some instructions apart.
func (f *Figures) Read() Reading {
	r := Reading{
		Responses: make(map[string]Counts, len(f.classes)), Tries: f.attempts.Load(),
		Active: f.active.Load(),
	}
	for name, c := range f.classes {
		r.Responses[name] = Counts{
			OK: c[OK].Load(), Shed: c[Shed].Load(), Errors: c[Error].Load(),
			Abandoned: c[Abandoned].Load(),
		}
	}
	endpoints := f.endpoints.Load()
	r.Listed = int64(endpoints.Listed)
	r.Ejected = min(int64(endpoints.Banned)+f.ejected.Load(), r.Listed)
	return r
}
