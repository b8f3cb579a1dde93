package transport

import (
	"sync/atomic"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
)

const (
	// defaultBufferedBytes is the length up to which a response is buffered until it is complete, unless a rule
	// says otherwise. Clients time the first bytes of a longer one.
	defaultBufferedBytes = 64 << 10
	// maxBodyMemoryDivisor: a response is buffered in at most this part of the bodies' memory.
	maxBodyMemoryDivisor = 4
	// maxReadAhead is how many bytes of one body may be held while it is taken more slowly than it comes: a few
	// slow clients of long responses must not hold the memory that all others wait for.
	maxReadAhead = 256 << 10
	// kernelBufferBytes bounds what the kernel holds of a body for one connection, beside the bodies' memory.
	// Without it, that grows to several MB for a client that does not read.
	kernelBufferBytes = 256 << 10
)

// BodyRules are limits for bodies.
type BodyRules struct {
	MaxBytes      int64         // of a response: a longer one, or one announced as longer, is invalid
	BufferedBytes int64         // a response up to this long is buffered until it is complete; zero: 64 KiB
	MaxBuffering  time.Duration // of a response that is not known to be as short, from its first byte on
	ClientStall   time.Duration // a client that takes nothing of its response for so long is cut off
	// how much longer than the server needs a client may occupy the server's connection
	ClientLag time.Duration
}

// BodyLimits is what bodies share in both directions: memory, and rules that may change while they are in
// use.
type BodyLimits struct {
	Memory *bytebudget.Pool
	rules  atomic.Pointer[BodyRules]
}

// NewBodyLimits returns limits of so many bytes for all bodies together.
func NewBodyLimits(limit int64, r BodyRules) *BodyLimits {
	b := &BodyLimits{Memory: bytebudget.NewPool(limit)}
	b.rules.Store(&r)
	return b
}

// Set changes the memory and the rules for bodies that begin from now on.
func (b *BodyLimits) Set(limit int64, r BodyRules) {
	b.Memory.SetLimit(limit)
	b.rules.Store(&r)
}

// Rules are the rules in force, with defaults filled in and BufferedBytes within the memory.
func (b *BodyLimits) Rules() BodyRules {
	r := *b.rules.Load()
	limit := b.Memory.Limit()
	if r.BufferedBytes == 0 {
		r.BufferedBytes = defaultBufferedBytes
	}
	r.BufferedBytes = min(r.BufferedBytes, r.MaxBytes, limit/maxBodyMemoryDivisor)
	return r
}

// memoryWindow is how many bytes a response needs at least, and how many it may fill; length is negative
// where it is not known. A response that is not buffered gets a chunk beyond what is: so it shows that it is
// longer before it is started.
func (b *BodyLimits) memoryWindow(length int64, r BodyRules) (minBytes, maxBytes int64) {
	if length >= 0 && length <= r.BufferedBytes {
		return length, length
	}
	minBytes = r.BufferedBytes + bodystream.ChunkBytes
	maxBytes = max(minBytes, min(b.Memory.Limit()/maxBodyMemoryDivisor, maxReadAhead))
	if length >= 0 {
		minBytes, maxBytes = min(minBytes, length), min(maxBytes, length)
	}
	return minBytes, maxBytes
}
