package bodystream

import "sync"

// ChunkBytes is the size in bytes of the pieces that a body's memory is divided into. A body that is known to
// be shorter takes no more than its length.
const ChunkBytes = 32 << 10

// chunkPool keeps the chunks of bodies that have passed for the next ones. It is safe for concurrent use, and
// the only state that bodies share.
var chunkPool = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}

// allocate adds a chunk to the queue if the memory is granted; mu is held.
func (s *Stream) allocate() bool {
	size := int64(ChunkBytes)
	if left := s.length - s.received; s.length >= 0 && left < size {
		size = left
	}
	if beyond := s.allocated + size - s.grant.Size(); beyond > 0 &&
		(s.grant.Size()+beyond > s.maxBytes || !s.grant.TryGrow(beyond)) {
		return false
	}
	s.allocated += size
	if size == ChunkBytes {
		s.queue = append(s.queue, chunkPool.Get().(*[ChunkBytes]byte)[:0])
	} else {
		s.queue = append(s.queue, make([]byte, 0, size))
	}
	return true
}

// freeChunk gives a chunk back; mu is held.
func (s *Stream) freeChunk(chunk []byte) {
	s.allocated -= int64(cap(chunk))
	if cap(chunk) == ChunkBytes {
		chunkPool.Put((*[ChunkBytes]byte)(chunk[:ChunkBytes]))
	}
}
