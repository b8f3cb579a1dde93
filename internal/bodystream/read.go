package bodystream

// Next waits for bytes and returns those at hand. At the end it returns io.EOF, or why the body is not
// complete.
func (f *Flow) Next() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if err := f.stopErr(); err != nil {
			return nil, err
		}
		if f.hasUnread() {
			return f.queue[0][f.consumed:], nil
		}
		if f.end != nil {
			return nil, f.end
		}
		f.changed.Wait()
	}
}

// Ready reports whether Next would not wait.
func (f *Flow) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopErr() != nil || f.end != nil || f.hasUnread()
}

// hasUnread reports whether there are bytes to read; mu is held.
func (f *Flow) hasUnread() bool { return len(f.queue) > 0 && f.consumed < len(f.queue[0]) }

// Took says that the first n bytes of the last Next are not needed any more.
func (f *Flow) Took(n int) {
	f.mu.Lock()
	f.consumed += n
	f.hasConsumed = true
	if f.consumed == cap(f.queue[0]) {
		f.freeChunk(f.queue[0])
		copy(f.queue, f.queue[1:])
		f.queue[len(f.queue)-1] = nil
		f.queue = f.queue[:len(f.queue)-1]
		f.consumed = 0
		if f.end != nil {
			f.grant.Shrink(f.allocated)
		} else {
			f.grant.Shrink(max(f.allocated, f.minBytes))
		}
	}
	f.mu.Unlock()
	f.changed.Broadcast()
}

// Close says that nothing more is read. Unless everything was, the writer is told so. A second Close does
// nothing.
func (f *Flow) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return
	}
	switch {
	case f.stopReason != nil || f.isAllConsumed():
	case f.end != nil && !f.isComplete:
		f.stopReason = f.end
	default:
		f.stopReason = ErrLeft
	}
	f.isClosed = true
	f.releaseIfDone()
	f.notifyStopped()
}

// isAllConsumed reports whether the body was written and read completely; mu is held.
func (f *Flow) isAllConsumed() bool {
	return f.isComplete && (len(f.queue) == 0 || len(f.queue) == 1 && f.consumed == len(f.queue[0]))
}
