package bodystream

import "sync"

// ChunkBytes is the size in bytes of the chunks that a body's memory is divided into. A body that is known to
// be shorter uses only its length.
const ChunkBytes = 32 << 10

// chunkPool keeps the chunks of finished bodies for reuse. It is safe for concurrent use, and it is the only
// state that Streams share.
var chunkPool = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}

// allocate adds a chunk to the queue if its memory is granted, and reports whether it did. The caller must
// hold mu.
func (s *Stream) allocate() bool {
	size := int64(ChunkBytes)
	if left := s.length - s.received; s.length >= 0 && left < size {
		size = left
	}
	if beyond := s.allocated + size - s.grant.Size(); beyond > 0 &&
		(s.grant.Size()+beyond > s.maxGrantBytes || !s.grant.TryGrow(beyond)) {
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

// freeChunk returns a chunk to chunkPool if it has the pool's size. The caller must hold mu.
func (s *Stream) freeChunk(chunk []byte) {
	s.allocated -= int64(cap(chunk))
	if cap(chunk) == ChunkBytes {
		chunkPool.Put((*[ChunkBytes]byte)(chunk[:ChunkBytes]))
	}
}
