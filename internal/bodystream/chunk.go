package bodystream

import "sync"

// Chunk is the size in bytes of the pieces that a body's memory is divided into. A body that is known to be
// shorter takes no more than its length.
const Chunk = 32 << 10

// chunkPool keeps the chunks of bodies that have passed for the next ones. It is safe for concurrent use, and
// the only state that bodies share.
var chunkPool = sync.Pool{New: func() any { return new([Chunk]byte) }}

// allocate adds a chunk to the queue if the memory is granted; mu is held.
func (f *Flow) allocate() bool {
	size := int64(Chunk)
	if left := f.length - f.received; f.length >= 0 && left < size {
		size = left
	}
	if beyond := f.allocated + size - f.grant.Size(); beyond > 0 &&
		(f.grant.Size()+beyond > f.maxBytes || !f.grant.Grow(beyond)) {
		return false
	}
	f.allocated += size
	if size == Chunk {
		f.queue = append(f.queue, chunkPool.Get().(*[Chunk]byte)[:0])
	} else {
		f.queue = append(f.queue, make([]byte, 0, size))
	}
	return true
}

// freeChunk gives a chunk back; mu is held.
func (f *Flow) freeChunk(chunk []byte) {
	f.allocated -= int64(cap(chunk))
	if cap(chunk) == Chunk {
		chunkPool.Put((*[Chunk]byte)(chunk[:Chunk]))
	}
}
