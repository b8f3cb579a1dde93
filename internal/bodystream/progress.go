package bodystream

import "time"

// Progress is the state of a body's transfer.
type Progress struct {
	Length         int64         // announced length in bytes; negative: unknown
	Received       int64         // bytes received so far
	LastReceivedAt time.Time     // when the last bytes were received; zero: none yet
	MemoryWait     time.Duration // wait for memory before the first byte could be received
	WaitsForMemory bool          // that wait has not ended
	StalledFor     time.Duration // wait since then because earlier bytes were not read
	ReceivingFor   time.Duration // time since the first byte, without StalledFor
	// SilentFor is the time since the last bytes, or since the first could have come, without stalls and waits
	// for memory; zero after CloseWrite.
	SilentFor   time.Duration
	IsComplete  bool // the body was written completely
	HasConsumed bool // some bytes were read and are no longer available
}

// Progress returns the current state of the transfer.
func (s *Stream) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{
		Length: s.length, Received: s.received, LastReceivedAt: s.lastReceivedAt, MemoryWait: s.memoryWait,
		StalledFor: s.stalledFor, IsComplete: s.isComplete, HasConsumed: s.hasConsumed,
	}
	until := s.lastReceivedAt
	if s.writeResult == nil {
		until = time.Now()
	}
	if p.WaitsForMemory = !s.memoryWaitSince.IsZero(); p.WaitsForMemory {
		p.MemoryWait += until.Sub(s.memoryWaitSince)
		return p
	}
	switch {
	case !s.waitingSince.IsZero():
		p.StalledFor += until.Sub(s.waitingSince)
	case s.writeResult == nil && s.lastReceivedAt.IsZero():
		p.SilentFor = until.Sub(s.readySince)
	case s.writeResult == nil:
		p.SilentFor = max(until.Sub(s.lastReceivedAt)-s.stalledFor+s.stalledForAtLastReceive, 0)
	}
	if !s.firstReceivedAt.IsZero() {
		p.ReceivingFor = until.Sub(s.firstReceivedAt) - p.StalledFor
	}
	return p
}
