package bodystream

import (
	"errors"
	"sync"
	"time"

	"dunestep/internal/bytebudget"
)

// ErrAbandoned means that the reader has stopped and the rest of the body is no longer wanted.
var ErrAbandoned = errors.New("the rest of the body is no longer wanted")

// Stream passes one body from a writer to a reader.
type Stream struct {
	length        int64 // announced length in bytes; negative: unknown
	minGrantBytes int64 // minimum size of the grant in bytes while the body is being written
	maxGrantBytes int64 // maximum size of the grant in bytes

	mu      sync.Mutex
	changed sync.Cond // signals that bytes were written or consumed, or that a side ended

	grant      bytebudget.Grant
	allocated  int64 // bytes of the grant that chunks use
	queue      [][]byte
	queueArray [2][]byte // initial backing array of queue
	consumed   int       // bytes consumed of the first chunk
	received   int64     // bytes received

	firstReceivedAt         time.Time
	lastReceivedAt          time.Time
	hasConsumed             bool          // some bytes were consumed
	memoryWait              time.Duration // wait for memory before the body began
	memoryWaitSince         time.Time     // start of that wait while it lasts; else zero
	readySince              time.Time     // since then the first bytes could have been received
	isForwarding            bool          // see SetForwarding
	stalledFor              time.Duration // total completed waits of WriteBuffer since then
	stalledForAtLastReceive time.Duration // value of stalledFor when the last bytes were received
	waitingSince            time.Time     // start of WriteBuffer's current wait; zero: not waiting

	writeResult  error // io.EOF or error passed to CloseWrite; nil before
	isComplete   bool  // writeResult is io.EOF
	stopReason   error // reason why the rest is no longer wanted
	isReadClosed bool
	onStop       func()
	done         chan struct{}
}

// New returns the Stream of a body of length bytes (negative: unknown). The Stream takes ownership of the
// grant, whose memory it uses. The grant may grow up to maxBytes while the body is read more slowly than it
// is written. With an empty grant, WaitForMemory must be called before WriteBuffer.
func New(length int64, grant bytebudget.Grant, maxBytes int64) *Stream {
	s := &Stream{
		grant: grant, minGrantBytes: grant.Size(), maxGrantBytes: maxBytes, length: length, readySince: time.Now(),
	}
	s.changed.L = &s.mu
	s.queue = s.queueArray[:0]
	return s
}

// Length returns the length of the body in bytes: the actual one if the body is complete, otherwise the
// announced one; negative: unknown.
func (s *Stream) Length() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isComplete {
		return s.received
	}
	return s.length
}

// SetForwarding notifies the Stream that the body is being forwarded. From then on one chunk is enough to
// make progress, and the Stream reduces its grant accordingly as chunks are consumed.
func (s *Stream) SetForwarding() {
	s.mu.Lock()
	s.minGrantBytes = min(s.minGrantBytes, ChunkBytes)
	s.isForwarding = true
	s.mu.Unlock()
}

// Done returns a channel that is closed after CloseWrite and CloseRead, when Result is final. Only one caller
// may use it.
func (s *Stream) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = make(chan struct{})
	if s.writeResult != nil && s.isReadClosed {
		close(s.done)
	}
	return s.done
}

// Result returns how the Stream ended: io.EOF if the body was written and read completely, otherwise the
// first reason why it was not.
func (s *Stream) Result() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopReason
}

// releaseIfDone releases the memory if both sides are closed. The caller must hold mu.
func (s *Stream) releaseIfDone() {
	if s.writeResult == nil || !s.isReadClosed {
		return
	}
	if s.stopReason == nil {
		s.stopReason = s.writeResult
	}
	for _, chunk := range s.queue {
		s.freeChunk(chunk)
	}
	s.queue, s.queueArray = nil, [2][]byte{}
	s.grant.Release()
	if s.done != nil {
		close(s.done)
	}
}
