// Package metrics counts what an agent does, once, where it ends. It does no input or output; the ops socket
// reads it, and whatever else is to tell the same. All of it is safe for concurrent use, and nothing waits.
package metrics

import "sync/atomic"

// Ending is how an operation ended, as its client saw it.
type Ending uint8

// The endings. What a client abandoned is counted by none of the others.
const (
	OK    Ending = iota // served, to the last byte
	Shed                // a busy reply, whoever worded it
	Error               // failed, malformed, or cut off midway
	Abandoned
	endings
)

// Figures holds the counts. They begin at zero with the process.
type Figures struct {
	classes map[string]*[endings]atomic.Int64 // never changed after New
	tries   atomic.Int64
	active  atomic.Int64
	pool    atomic.Pointer[Pool]
	avoided atomic.Int64
}

// Pool is what the pool config says of booking servers.
type Pool struct {
	Listed int // booking servers in discovery's list
	Banned int // of these, out by hand
}

// New counts for the classes of a deployment; operations of others are counted by none.
func New(classes []string) *Figures {
	f := &Figures{classes: map[string]*[endings]atomic.Int64{}}
	for _, c := range classes {
		f.classes[c] = new([endings]atomic.Int64)
	}
	f.pool.Store(&Pool{})
	return f
}

// Operation is one that was taken, until its End.
type Operation struct {
	figures *Figures
	counts  *[endings]atomic.Int64 // nil: of no class that is known
	taken   atomic.Bool
	ended   bool
}

// Begin counts an operation as taken.
func (f *Figures) Begin(class string) *Operation {
	o := f.Await(class)
	o.Taken()
	return o
}

// Await is for an operation that has not come whole: it is active from Taken on.
func (f *Figures) Await(class string) *Operation {
	return &Operation{figures: f, counts: f.classes[class]}
}

// Taken counts an operation as taken; it comes before End, or it does nothing.
func (o *Operation) Taken() {
	if !o.taken.Swap(true) {
		o.figures.active.Add(1)
	}
}

// End counts how the operation ended; a further End does nothing, nor does one of no operation.
func (o *Operation) End(e Ending) {
	if o == nil || o.ended {
		return
	}
	o.ended = true
	if o.taken.Swap(true) {
		o.figures.active.Add(-1)
	}
	if o.counts != nil {
		o.counts[e].Add(1)
	}
}

// Tried counts a route step that was written whole to a booking server.
func (f *Figures) Tried() { f.tries.Add(1) }

// SetPool takes in what the pool config says now.
func (f *Figures) SetPool(p Pool) { f.pool.Store(&p) }

// SetAvoided takes in how many listed booking servers the module avoids now; those out by hand, which the
// module only knows to drain, are not among them.
func (f *Figures) SetAvoided(n int) { f.avoided.Store(int64(n)) }

// Counts are a class's operations by how they ended.
type Counts struct{ OK, Shed, Errors, Abandoned int64 }

// Reading is what the figures are at a time.
type Reading struct {
	Responses     map[string]Counts // every class of the deployment
	Tries, Active int64
	Listed        int64 // booking servers in the list
	Ejected       int64 // of these, avoided now, by hand or by choice; each once
}

// Read reads all figures. Each is right by itself; they may be some instructions apart.
func (f *Figures) Read() Reading {
	r := Reading{
		Responses: make(map[string]Counts, len(f.classes)), Tries: f.tries.Load(),
		Active: f.active.Load(),
	}
	for name, c := range f.classes {
		r.Responses[name] = Counts{
			OK: c[OK].Load(), Shed: c[Shed].Load(), Errors: c[Error].Load(),
			Abandoned: c[Abandoned].Load(),
		}
	}
	pool := f.pool.Load()
	r.Listed = int64(pool.Listed)
	r.Ejected = min(int64(pool.Banned)+f.avoided.Load(), r.Listed)
	return r
}
