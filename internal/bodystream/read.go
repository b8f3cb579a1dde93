package bodystream

// ReadBuffer waits until bytes are available and returns some of them. After the last byte it returns
// io.EOF, or the reason why the body is incomplete.
func (s *Stream) ReadBuffer() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if err := s.stopErr(); err != nil {
			return nil, err
		}
		if s.hasUnread() {
			return s.queue[0][s.consumed:], nil
		}
		if s.writeResult != nil {
			return nil, s.writeResult
		}
		s.changed.Wait()
	}
}

// IsReady reports whether ReadBuffer would return without waiting.
func (s *Stream) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopErr() != nil || s.writeResult != nil || s.hasUnread()
}

// hasUnread reports whether there are bytes to read. The caller must hold mu.
func (s *Stream) hasUnread() bool { return len(s.queue) > 0 && s.consumed < len(s.queue[0]) }

// Consume releases the first n bytes returned by the last ReadBuffer.
func (s *Stream) Consume(n int) {
	s.mu.Lock()
	s.consumed += n
	s.hasConsumed = true
	if s.consumed == cap(s.queue[0]) {
		s.freeChunk(s.queue[0])
		copy(s.queue, s.queue[1:])
		s.queue[len(s.queue)-1] = nil
		s.queue = s.queue[:len(s.queue)-1]
		s.consumed = 0
		if s.writeResult != nil {
			s.grant.Shrink(s.allocated)
		} else {
			s.grant.Shrink(max(s.allocated, s.minGrantBytes))
		}
	}
	s.mu.Unlock()
	s.changed.Broadcast()
}

// CloseRead ends the reading. Unless everything was read, it notifies the writer. Further calls have no
// effect.
func (s *Stream) CloseRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReadClosed {
		return
	}
	switch {
	case s.stopReason != nil || s.isAllConsumed():
	case s.writeResult != nil && !s.isComplete:
		s.stopReason = s.writeResult
	default:
		s.stopReason = ErrAbandoned
	}
	s.isReadClosed = true
	s.releaseIfDone()
	s.notifyStopped()
}

// isAllConsumed reports whether the body was written and read completely. The caller must hold mu.
func (s *Stream) isAllConsumed() bool {
	return s.isComplete && (len(s.queue) == 0 || len(s.queue) == 1 && s.consumed == len(s.queue[0]))
}
