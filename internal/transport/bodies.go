package transport

import (
	"sync/atomic"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
)

// defaultWhole is the length up to which an answer is held whole, where no rule says it: of a longer one the
// first bytes are what its client times.
const defaultWhole = 64 << 10

// wholePart of the bodies' memory is the most that is held of an answer until it is whole.
const wholePart = 4

// mostAhead is the most that one body may fill while it is taken more slowly than it comes. Guards against a
// few slow clients of long answers, who would hold the memory that all others wait for.
const mostAhead = 256 << 10

// kernelBuffer bounds what the kernel holds of a body for one connection, beside the bodies' memory.
// Without it, that grows to several MB for a client that does not read.
const kernelBuffer = 256 << 10

// BodyRules is what the sockets go by for bodies.
type BodyRules struct {
	MaxBytes      int64         // bytes of an answer: what is longer, or is said to be, is spoilt
	BufferedBytes int64         // an answer up to this long is held until it has come whole; zero: 64 KiB
	MaxBuffering  time.Duration // and one not known to be as short at most so long after its first byte
	ClientStall   time.Duration // a client that takes nothing of its answer for so long is cut off
	ClientLag     time.Duration // how much longer than the server needs a client may hold up the server's connection
}

// BodyLimits is what bodies share, both ways: memory, and rules that may change while they are in use.
type BodyLimits struct {
	Memory *bytebudget.Pool
	rules  atomic.Pointer[BodyRules]
}

// NewBodyLimits shares out limit bytes.
func NewBodyLimits(limit int64, r BodyRules) *BodyLimits {
	b := &BodyLimits{Memory: bytebudget.NewPool(limit)}
	b.rules.Store(&r)
	return b
}

// Set changes the memory and the rules for what begins from now on.
func (b *BodyLimits) Set(limit int64, r BodyRules) {
	b.Memory.SetLimit(limit)
	b.rules.Store(&r)
}

// Rules is what holds now.
func (b *BodyLimits) Rules() BodyRules {
	r := *b.rules.Load()
	limit := b.Memory.Limit()
	if r.BufferedBytes == 0 {
		r.BufferedBytes = defaultWhole
	}
	r.BufferedBytes = min(r.BufferedBytes, r.MaxBytes, limit/wholePart)
	return r
}

// window is how many bytes an answer needs at the least, and how many it may fill. One that is not held whole
// gets a chunk beyond what is: so it shows that it is longer before it begins.
func (b *BodyLimits) window(length int64, r BodyRules) (least, most int64) {
	if length >= 0 && length <= r.BufferedBytes {
		return length, length
	}
	least = r.BufferedBytes + bodystream.Chunk
	most = max(least, min(b.Memory.Limit()/wholePart, mostAhead))
	if length >= 0 {
		least, most = min(least, length), min(most, length)
	}
	return least, most
}
