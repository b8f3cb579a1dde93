package bodystream

import (
	"io"
	"time"
)

// SetDelayedBefore sets for how long the body was delayed before it could begin to come. It is called before
// WriteBuffer.
func (s *Stream) SetDelayedBefore(d time.Duration) { s.delayedBefore += d }

// WriteBuffer waits for memory and returns where the next bytes are to be put; beyond the announced length
// there is none. The error is why no more bytes are wanted.
func (s *Stream) WriteBuffer() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if err := s.stopErr(); err != nil {
			return nil, err
		}
		if n := len(s.queue); n > 0 {
			if last := s.queue[n-1]; len(last) < cap(last) {
				return last[len(last):cap(last)], nil
			}
		}
		if s.allocate() {
			continue
		}
		s.waitingSince = time.Now()
		s.changed.Wait()
		s.stalledFor += time.Since(s.waitingSince)
		s.waitingSince = time.Time{}
	}
}

// Wrote takes in that n bytes were put into the last WriteBuffer.
func (s *Stream) Wrote(n int) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	last := &s.queue[len(s.queue)-1]
	*last = (*last)[:len(*last)+n]
	s.received += int64(n)
	s.lastReceivedAt, s.stalledAtLast = time.Now(), s.stalledFor
	if s.firstReceivedAt.IsZero() {
		s.firstReceivedAt = s.lastReceivedAt
	}
	s.mu.Unlock()
	s.changed.Broadcast()
}

// CloseWrite ends the writing: io.EOF itself where the body is complete, any other error why it is
// not.
func (s *Stream) CloseWrite(why error) {
	s.mu.Lock()
	s.end = why
	s.isComplete = why == io.EOF //nolint:errorlint // an error that wraps io.EOF is a body that was cut off
	s.grant.Shrink(s.allocated)
	s.releaseIfDone()
	s.mu.Unlock()
	s.changed.Broadcast()
}
