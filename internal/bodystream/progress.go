package bodystream

import "time"

// Progress is how far a body has come.
type Progress struct {
	Length         int64         // bytes, as announced; below zero: not known
	Received       int64         // bytes so far
	LastReceivedAt time.Time     // when the latest of them came; zero: none has
	DelayedBefore  time.Duration // for how long it was delayed before it could begin to come, for want of memory
	StalledFor     time.Duration // for how long since then, because earlier bytes were not read
	ReceivingFor   time.Duration // since the first byte, less SetDelayedBefore
	SilentFor      time.Duration // for how long nothing has come, though it could; zero after CloseWrite
	IsComplete     bool          // it was written completely
	HasConsumed    bool          // some of it has been read, and is gone
}

// Progress returns how far the body has come.
func (s *Stream) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{
		Length: s.length, Received: s.received, LastReceivedAt: s.lastReceivedAt, DelayedBefore: s.delayedBefore,
		StalledFor: s.stalledFor, IsComplete: s.isComplete, HasConsumed: s.hasConsumed,
	}
	until := s.lastReceivedAt
	if s.end == nil {
		until = time.Now()
	}
	switch {
	case !s.waitingSince.IsZero():
		p.StalledFor += until.Sub(s.waitingSince)
	case s.end == nil && !s.lastReceivedAt.IsZero():
		p.SilentFor = max(until.Sub(s.lastReceivedAt)-s.stalledFor+s.stalledAtLast, 0)
	}
	if !s.firstReceivedAt.IsZero() {
		p.ReceivingFor = until.Sub(s.firstReceivedAt) - p.StalledFor
	}
	return p
}
