package bodystream

// Cut ends the Flow for both sides, unless it has been closed; the first reason counts.
func (f *Flow) Cut(why error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopReason == nil && !f.isClosed {
		f.stopReason = why
		f.notifyStopped()
	}
}

// Stopped reports whether the rest of the body is not wanted any more.
func (f *Flow) Stopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopErr() != nil
}

// OnStop has a function called once, in a goroutine of its own, when the rest of the body is not wanted: a
// writer that waits elsewhere than in Room is to be woken by it. The never that it returns, called after End,
// tells that the function has not been called and will not be; otherwise it may still be about to be.
func (f *Flow) OnStop(do func()) (never func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStop = do
	if f.stopErr() != nil {
		f.notifyStopped()
	}
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.onStop != nil
	}
}

// stopErr is why nothing more is wanted, or nil; mu is held.
func (f *Flow) stopErr() error {
	if f.stopReason == nil && f.isClosed {
		return ErrLeft
	}
	return f.stopReason
}

// notifyStopped wakes both sides; mu is held.
func (f *Flow) notifyStopped() {
	f.changed.Broadcast()
	if f.onStop != nil && f.end == nil {
		go f.onStop() // it may take its time, or call back
		f.onStop = nil
	}
}
