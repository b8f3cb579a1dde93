package bodystream

// Abort ends the Stream for both sides, unless it has been closed; the first reason counts.
func (s *Stream) Abort(why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason == nil && !s.isClosed {
		s.stopReason = why
		s.notifyStopped()
	}
}

// IsStopped reports whether the rest of the body is not wanted any more.
func (s *Stream) IsStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopErr() != nil
}

// OnStop has a function called once, in a goroutine of its own, when the rest of the body is not wanted: a
// writer that waits elsewhere than in WriteBuffer is to be woken by it. The never that it returns, called
// after CloseWrite, reports that the function has not been called and will not be; otherwise it may still be
// about to be.
func (s *Stream) OnStop(do func()) (never func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onStop = do
	if s.stopErr() != nil {
		s.notifyStopped()
	}
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.onStop != nil
	}
}

// stopErr is why nothing more is wanted, or nil; mu is held.
func (s *Stream) stopErr() error {
	if s.stopReason == nil && s.isClosed {
		return ErrAbandoned
	}
	return s.stopReason
}

// notifyStopped wakes both sides; mu is held.
func (s *Stream) notifyStopped() {
	s.changed.Broadcast()
	if s.onStop != nil && s.end == nil {
		go s.onStop() // it may take its time, or call back
		s.onStop = nil
	}
}
