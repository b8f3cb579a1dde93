package bodystream

// ReadBuffer waits for bytes and returns those at hand. At the end it returns io.EOF, or why the body is not
// complete.
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
		if s.end != nil {
			return nil, s.end
		}
		s.changed.Wait()
	}
}

// IsReady reports whether ReadBuffer would not wait.
func (s *Stream) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopErr() != nil || s.end != nil || s.hasUnread()
}

// hasUnread reports whether there are bytes to read; mu is held.
func (s *Stream) hasUnread() bool { return len(s.queue) > 0 && s.consumed < len(s.queue[0]) }

// Consumed takes in that the first n bytes of the last ReadBuffer are not needed any more.
func (s *Stream) Consumed(n int) {
	s.mu.Lock()
	s.consumed += n
	s.hasConsumed = true
	if s.consumed == cap(s.queue[0]) {
		s.freeChunk(s.queue[0])
		copy(s.queue, s.queue[1:])
		s.queue[len(s.queue)-1] = nil
		s.queue = s.queue[:len(s.queue)-1]
		s.consumed = 0
		if s.end != nil {
			s.grant.Shrink(s.allocated)
		} else {
			s.grant.Shrink(max(s.allocated, s.minBytes))
		}
	}
	s.mu.Unlock()
	s.changed.Broadcast()
}

// CloseRead ends the reading. Unless everything was read, the writer is notified. A second CloseRead does
// nothing.
func (s *Stream) CloseRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	switch {
	case s.stopReason != nil || s.isAllConsumed():
	case s.end != nil && !s.isComplete:
		s.stopReason = s.end
	default:
		s.stopReason = ErrAbandoned
	}
	s.isClosed = true
	s.releaseIfDone()
	s.notifyStopped()
}

// isAllConsumed reports whether the body was written and read completely; mu is held.
func (s *Stream) isAllConsumed() bool {
	return s.isComplete && (len(s.queue) == 0 || len(s.queue) == 1 && s.consumed == len(s.queue[0]))
}
