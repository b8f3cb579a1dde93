package bodystream

import (
	"errors"
	"sync"
	"time"

	"dunestep/internal/bytebudget"
)

// ErrLeft means that the reader has stopped, and the rest of the body is not wanted.
var ErrLeft = errors.New("the rest of the body is not wanted")

// Flow is one body on its way.
type Flow struct {
	length   int64 // bytes, as announced; below zero: not known
	minBytes int64 // of the grant, while the body is being written
	maxBytes int64 // of the grant

	mu      sync.Mutex
	changed sync.Cond // something was written, consumed or ended

	grant      bytebudget.Grant
	allocated  int64 // bytes of the grant
	queue      [][]byte
	queueSpace [2][]byte // the queue's first array
	consumed   int       // bytes of the first chunk
	received   int64     // bytes

	firstReceivedAt time.Time
	lastReceivedAt  time.Time
	hasConsumed     bool          // some of it
	delayedBefore   time.Duration // before it began to come
	stalledFor      time.Duration // since then
	stalledAtLast   time.Duration // of stalledFor, when the last bytes came
	waitingSince    time.Time     // since when Room waits; zero: it does not

	end        error // set by End
	isComplete bool  // end was io.EOF
	stopReason error // why nothing more is wanted
	isClosed   bool
	onStop     func()
	done       chan struct{}
}

// New returns the Flow of a body of length bytes (below zero: not known) in the memory of a grant, which is
// the Flow's from now on. The grant may grow up to maxBytes while the body is read more slowly than it is
// written.
func New(length int64, grant bytebudget.Grant, maxBytes int64) *Flow {
	f := &Flow{grant: grant, minBytes: grant.Size(), maxBytes: maxBytes, length: length}
	f.changed.L = &f.mu
	f.queue = f.queueSpace[:0]
	return f
}

// Length is the length of the complete body in bytes, or what was announced; below zero: not known.
func (f *Flow) Length() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isComplete {
		return f.received
	}
	return f.length
}

// Begun says that the body is being forwarded: from now on a single chunk is all that it needs to get on.
func (f *Flow) Begun() {
	f.mu.Lock()
	f.minBytes = min(f.minBytes, Chunk)
	f.mu.Unlock()
}

// Over returns a channel that is closed after End and Close: Result is final then. It is for one caller.
func (f *Flow) Over() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = make(chan struct{})
	if f.end != nil && f.isClosed {
		close(f.done)
	}
	return f.done
}

// Result is how the Flow ended: io.EOF where the body was written and read completely, else the first reason
// why not.
func (f *Flow) Result() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopReason
}

// releaseIfDone gives the memory back once neither side uses it; mu is held.
func (f *Flow) releaseIfDone() {
	if f.end == nil || !f.isClosed {
		return
	}
	if f.stopReason == nil {
		f.stopReason = f.end
	}
	for _, chunk := range f.queue {
		f.freeChunk(chunk)
	}
	f.queue, f.queueSpace = nil, [2][]byte{}
	f.grant.Release()
	if f.done != nil {
		close(f.done)
	}
}
