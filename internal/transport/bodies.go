package transport

import (
	"sync/atomic"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
)

const (
	// defaultBufferedBytes is the length up to which a response is buffered until it is complete, unless a rule
	// sets another. Clients measure the time to the first bytes of a longer one.
	defaultBufferedBytes = 64 << 10
	// maxBodyMemoryDivisor limits the buffer of one response to 1/4 of the bodies' memory.
	maxBodyMemoryDivisor = 4
	// maxReadAhead is the maximum number of buffered bytes of one body that is read more slowly than it arrives:
	// a few slow clients of long responses must not hold the memory that all others wait for.
	maxReadAhead = 256 << 10
	// kernelBufferBytes is the size of the kernel's buffer for one connection, which is not part of the bodies'
	// memory. Without this limit it grows to several MB for a client that does not read.
	kernelBufferBytes = 256 << 10
)

// BodyRules are limits for bodies.
type BodyRules struct {
	// MaxBytes is the maximum length of a response. One that is longer, or announced as longer, is invalid.
	MaxBytes int64
	// BufferedBytes is the length up to which a response is buffered until it is complete; zero: 64 KiB.
	BufferedBytes int64
	// MaxBuffering is how long a response that may exceed BufferedBytes is buffered, from its first byte on.
	MaxBuffering time.Duration
	// ClientStallTimeout is the time after which a client that reads nothing of its response is cut off.
	ClientStallTimeout time.Duration
	// MaxClientLag is the maximum time by which a client may occupy the server's connection longer than the
	// server needs it.
	MaxClientLag time.Duration
}

// isKnownShort reports whether a response with a body of this length, negative if it is not announced, is
// known to be buffered to its end.
func (r BodyRules) isKnownShort(length int64) bool { return length >= 0 && length <= r.BufferedBytes }

// BodyLimits are the memory and the rules that request and response bodies share. Both may change while they
// are in use.
type BodyLimits struct {
	Memory *bytebudget.Pool
	rules  atomic.Pointer[BodyRules]
}

// NewBodyLimits returns limits with limit bytes of memory for all bodies together.
func NewBodyLimits(limit int64, r BodyRules) *BodyLimits {
	b := &BodyLimits{Memory: bytebudget.NewPool(limit)}
	b.rules.Store(&r)
	return b
}

// Set changes the memory limit, and the rules for bodies that start from now on.
func (b *BodyLimits) Set(limit int64, r BodyRules) {
	b.Memory.SetLimit(limit)
	b.rules.Store(&r)
}

// Rules returns the current rules, with defaults filled in and BufferedBytes limited by the memory.
func (b *BodyLimits) Rules() BodyRules {
	r := *b.rules.Load()
	limit := b.Memory.Limit()
	if r.BufferedBytes == 0 {
		r.BufferedBytes = defaultBufferedBytes
	}
	r.BufferedBytes = min(r.BufferedBytes, r.MaxBytes, limit/maxBodyMemoryDivisor)
	return r
}

// memoryWindow returns the minimum number of bytes that a response needs and the maximum that it may
// buffer; length is negative if it is unknown. A response that may be longer than BufferedBytes gets one
// chunk more, so that it is known to be longer before it is forwarded.
func (b *BodyLimits) memoryWindow(length int64, r BodyRules) (minBytes, maxBytes int64) {
	if r.isKnownShort(length) {
		return length, length
	}
	minBytes = r.BufferedBytes + bodystream.ChunkBytes
	maxBytes = max(minBytes, min(b.Memory.Limit()/maxBodyMemoryDivisor, maxReadAhead))
	if length >= 0 {
		minBytes, maxBytes = min(minBytes, length), min(maxBytes, length)
	}
	return minBytes, maxBytes
}
