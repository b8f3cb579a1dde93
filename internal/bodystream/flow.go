// Package bodystream carries a body from the connection that brings it to the one that takes it, in budgeted
// memory.
package bodystream

import (
	"errors"
	"io"
	"sync"
	"time"

	"dunestep/internal/bytebudget"
)

// Chunk is into how many bytes a body's memory is divided. One that is known to be shorter takes no more than
// its length.
const Chunk = 32 << 10

// ErrLeft is why a body is brought no further where the one that takes it has stopped.
var ErrLeft = errors.New("the rest of the body is not wanted")

// chunks keeps the memory of bodies that have passed for the next ones.
var chunks = sync.Pool{New: func() any { return new([Chunk]byte) }}

// Flow is one body on its way. One goroutine brings it: Room and Came, and at last End. One takes it: Next
// and Took, and at last Close. Cut, from anywhere, ends the waiting of both. Its memory is free again after
// End and Close.
type Flow struct {
	length int64 // announced; below zero: not known
	least  int64 // of the grant, while the body is coming
	most   int64

	mu        sync.Mutex
	moved     sync.Cond // something came, was taken or ended
	grant     bytebudget.Grant
	allocated int64 // of the grant
	queue     [][]byte
	first     [2][]byte // where the queue begins
	taken     int       // of the first chunk
	tookAny   bool
	came      int64
	firstCame time.Time
	lastCame  time.Time
	before    time.Duration // held up before it began to come
	heldUp    time.Duration // and since
	heldThen  time.Duration // of heldUp, when the last bytes came
	waiting   time.Time     // since when Room waits; zero: it does not
	end, cut  error
	closed    bool
	onStop    func()
	over      chan struct{}
}

// Progress is how far a body has come.
type Progress struct {
	Length   int64         // announced; below zero: not known
	Came     int64         // bytes so far
	LastCame time.Time     // when the latest of them came; zero: none has
	Before   time.Duration // how long it was held up before it could begin to come, for want of memory
	HeldUp   time.Duration // how long since then, because earlier bytes were not taken
	Coming   time.Duration // since the first byte, less HeldUp
	Quiet    time.Duration // how long nothing has come since, though it could; of one that goes on
	Whole    bool          // all of it has come
	Taken    bool          // some of it has been taken, and is gone
}

// New makes the flow of a body of length bytes (below zero: not known) in the memory of a grant, which is the
// flow's from now on. It may grow up to most bytes while the body is taken more slowly than it comes.
func New(length int64, grant bytebudget.Grant, most int64) *Flow {
	f := &Flow{grant: grant, least: grant.Size(), most: most, length: length}
	f.moved.L = &f.mu
	f.queue = f.first[:0]
	return f
}

// Length is how long the whole body is, or was announced to be; below zero: not known.
func (f *Flow) Length() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end == io.EOF {
		return f.came
	}
	return f.length
}

// HeldUp tells that the body was held up for so long before it began to come.
func (f *Flow) HeldUp(d time.Duration) { f.before += d }

// Room waits for memory and returns where the next bytes are to be put; beyond the announced length there are
// none. The error says why none are wanted.
func (f *Flow) Room() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if err := f.stopped(); err != nil {
			return nil, err
		}
		if n := len(f.queue); n > 0 {
			if last := f.queue[n-1]; len(last) < cap(last) {
				return last[len(last):cap(last)], nil
			}
		}
		if f.allocate() {
			continue
		}
		f.waiting = time.Now()
		f.moved.Wait()
		f.heldUp += time.Since(f.waiting)
		f.waiting = time.Time{}
	}
}

// stopped tells why nothing more is wanted; mu is held.
func (f *Flow) stopped() error {
	if f.cut == nil && f.closed {
		return ErrLeft
	}
	return f.cut
}

// allocate adds a chunk to the queue if the memory is granted; mu is held.
func (f *Flow) allocate() bool {
	size := int64(Chunk)
	if left := f.length - f.came; f.length >= 0 && left < size {
		size = left
	}
	if beyond := f.allocated + size - f.grant.Size(); beyond > 0 &&
		(f.grant.Size()+beyond > f.most || !f.grant.Grow(beyond)) {
		return false
	}
	f.allocated += size
	if size == Chunk {
		f.queue = append(f.queue, chunks.Get().(*[Chunk]byte)[:0])
	} else {
		f.queue = append(f.queue, make([]byte, 0, size))
	}
	return true
}

// Came tells that n bytes are where the latest Room said.
func (f *Flow) Came(n int) {
	if n == 0 {
		return
	}
	f.mu.Lock()
	last := &f.queue[len(f.queue)-1]
	*last = (*last)[:len(*last)+n]
	f.came += int64(n)
	f.lastCame, f.heldThen = time.Now(), f.heldUp
	if f.firstCame.IsZero() {
		f.firstCame = f.lastCame
	}
	f.mu.Unlock()
	f.moved.Broadcast()
}

// End tells that nothing more comes: io.EOF where the body is whole, else why not.
func (f *Flow) End(why error) {
	f.mu.Lock()
	f.end = why
	f.grant.Shrink(f.allocated)
	f.settle()
	f.mu.Unlock()
	f.moved.Broadcast()
}

// Next waits for bytes and returns those at hand. At the end it returns io.EOF, or why the body is not whole.
func (f *Flow) Next() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if err := f.stopped(); err != nil {
			return nil, err
		}
		if len(f.queue) > 0 && f.taken < len(f.queue[0]) {
			return f.queue[0][f.taken:], nil
		}
		if f.end != nil {
			return nil, f.end
		}
		f.moved.Wait()
	}
}

// Stopped tells whether the rest of the body is not wanted any more.
func (f *Flow) Stopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped() != nil
}

// Ready tells whether Next would not wait.
func (f *Flow) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped() != nil || f.end != nil || len(f.queue) > 0 && f.taken < len(f.queue[0])
}

// Took tells that the first n bytes of the latest Next are not needed any more.
func (f *Flow) Took(n int) {
	f.mu.Lock()
	f.taken += n
	f.tookAny = true
	if f.taken == cap(f.queue[0]) {
		f.drop(f.queue[0])
		copy(f.queue, f.queue[1:])
		f.queue[len(f.queue)-1] = nil
		f.queue = f.queue[:len(f.queue)-1]
		f.taken = 0
		if f.end != nil {
			f.grant.Shrink(f.allocated)
		} else {
			f.grant.Shrink(max(f.allocated, f.least))
		}
	}
	f.mu.Unlock()
	f.moved.Broadcast()
}

func (f *Flow) drop(chunk []byte) {
	f.allocated -= int64(cap(chunk))
	if cap(chunk) == Chunk {
		chunks.Put((*[Chunk]byte)(chunk[:Chunk]))
	}
}

// Close tells that nothing more is taken. Unless all was, the bringer is told so. A second one does nothing.
func (f *Flow) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	switch {
	case f.cut != nil || f.allTaken():
	case f.end != nil && f.end != io.EOF:
		f.cut = f.end
	default:
		f.cut = ErrLeft
	}
	f.closed = true
	f.settle()
	f.stop()
}

// Cut ends the flow for both sides, unless it has been closed; the first reason counts.
func (f *Flow) Cut(why error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut == nil && !f.closed {
		f.cut = why
		f.stop()
	}
}

// Begun tells that the body is being passed on: from now on one chunk is all that it needs to get on.
func (f *Flow) Begun() {
	f.mu.Lock()
	f.least = min(f.least, Chunk)
	f.mu.Unlock()
}

// OnStop has something done, once, when the rest of the body is not wanted: then whoever waits for it
// elsewhere than in Room is to be woken. Never, called after End, tells that it has not been done and will
// not be; else it may still be about to be.
func (f *Flow) OnStop(do func()) (never func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStop = do
	if f.stopped() != nil {
		f.stop()
	}
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.onStop != nil
	}
}

// stop wakes both sides; mu is held.
func (f *Flow) stop() {
	f.moved.Broadcast()
	if f.onStop != nil && f.end == nil {
		go f.onStop() // it may take its time, or call back
		f.onStop = nil
	}
}

// allTaken tells whether the body came whole and was taken whole; mu is held.
func (f *Flow) allTaken() bool {
	return f.end == io.EOF && (len(f.queue) == 0 || len(f.queue) == 1 && f.taken == len(f.queue[0]))
}

// settle gives the memory back once neither side is using it; mu is held.
func (f *Flow) settle() {
	if f.end == nil || !f.closed {
		return
	}
	if f.cut == nil {
		f.cut = f.end
	}
	for _, c := range f.queue {
		f.drop(c)
	}
	f.queue, f.first = nil, [2][]byte{}
	f.grant.Release()
	if f.over != nil {
		close(f.over)
	}
}

// Over is closed after End and Close: Result is final then. It is for one caller.
func (f *Flow) Over() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = make(chan struct{})
	if f.end != nil && f.closed {
		close(f.over)
	}
	return f.over
}

// Result is how the flow ended: io.EOF where the body came whole and was taken whole, else the first reason
// why not.
func (f *Flow) Result() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// Progress tells how far the body has come.
func (f *Flow) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{
		Length: f.length, Came: f.came, LastCame: f.lastCame, Before: f.before, HeldUp: f.heldUp,
		Whole: f.end == io.EOF, Taken: f.tookAny,
	}
	until := f.lastCame
	if f.end == nil {
		until = time.Now()
	}
	switch {
	case !f.waiting.IsZero():
		p.HeldUp += until.Sub(f.waiting)
	case f.end == nil && !f.lastCame.IsZero():
		p.Quiet = max(until.Sub(f.lastCame)-f.heldUp+f.heldThen, 0)
	}
	if !f.firstCame.IsZero() {
		p.Coming = until.Sub(f.firstCame) - p.HeldUp
	}
	return p
}
