package bodystream

// Abort ends the Stream for both sides with a reason. It has no effect after CloseRead or another Abort.
func (s *Stream) Abort(why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason == nil && !s.isReadClosed {
		s.stopReason = why
		s.notifyStopped()
	}
}

// IsStopped reports whether the rest of the body is no longer wanted.
func (s *Stream) IsStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopErr() != nil
}

// OnStop sets a function that is called once, in a new goroutine, when the rest of the body is no longer
// wanted. It can wake a writer that waits outside WriteBuffer. The returned function must be called after
// CloseWrite. It returns true if do was not called and will not be called; otherwise the call may still be
// about to start.
func (s *Stream) OnStop(do func()) (isNeverCalled func() bool) {
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

// stopErr returns the reason why the rest of the body is no longer wanted, or nil. The caller must hold mu.
func (s *Stream) stopErr() error {
	if s.stopReason == nil && s.isReadClosed {
		return ErrAbandoned
	}
	return s.stopReason
}

// notifyStopped wakes both sides and starts the function set by OnStop. The caller must hold mu.
func (s *Stream) notifyStopped() {
	s.changed.Broadcast()
	if s.onStop != nil && s.writeResult == nil {
		go s.onStop() // it may block or call the Stream
		s.onStop = nil
	}
}
