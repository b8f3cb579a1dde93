package bodystream

import (
	"errors"
	"sync"
	"time"

	"dunestep/internal/bytebudget"
)

// ErrAbandoned means that the reader has stopped, and the rest of the body is not wanted.
var ErrAbandoned = errors.New("the rest of the body is not wanted")

// Stream is one body on its way.
type Stream struct {
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
	waitingSince    time.Time     // since when WriteBuffer waits; zero: it does not

	end        error // set by CloseWrite
	isComplete bool  // end was io.EOF
	stopReason error // why nothing more is wanted
	isClosed   bool
	onStop     func()
	done       chan struct{}
}

// New returns the Stream of a body of length bytes (below zero: not known) in the memory of a grant, which is
// the Stream's from now on. The grant may grow up to maxBytes while the body is read more slowly than it is
// written.
func New(length int64, grant bytebudget.Grant, maxBytes int64) *Stream {
	s := &Stream{grant: grant, minBytes: grant.Size(), maxBytes: maxBytes, length: length}
	s.changed.L = &s.mu
	s.queue = s.queueSpace[:0]
	return s
}

// Length is the length of the complete body in bytes, or what was announced; below zero: not known.
func (s *Stream) Length() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isComplete {
		return s.received
	}
	return s.length
}

// ForwardingStarted takes in that the body is being forwarded: from now on a single chunk is all that it
// needs to get on.
func (s *Stream) ForwardingStarted() {
	s.mu.Lock()
	s.minBytes = min(s.minBytes, ChunkBytes)
	s.mu.Unlock()
}

// Done returns a channel that is closed after CloseWrite and CloseRead: Result is final then. It is for one
// caller.
func (s *Stream) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = make(chan struct{})
	if s.end != nil && s.isClosed {
		close(s.done)
	}
	return s.done
}

// Result is how the Stream ended: io.EOF where the body was written and read completely, else the first
// reason why not.
func (s *Stream) Result() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopReason
}

// releaseIfDone gives the memory back once neither side uses it; mu is held.
func (s *Stream) releaseIfDone() {
	if s.end == nil || !s.isClosed {
		return
	}
	if s.stopReason == nil {
		s.stopReason = s.end
	}
	for _, chunk := range s.queue {
		s.freeChunk(chunk)
	}
	s.queue, s.queueSpace = nil, [2][]byte{}
	s.grant.Release()
	if s.done != nil {
		close(s.done)
	}
}
