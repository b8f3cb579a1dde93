package bodystream

import (
	"io"
	"time"

	"dunestep/internal/bytebudget"
)

// WaitForMemory calls reserve, which may wait, and uses the memory that it grants, as New does. That wait is
// not the writer's. It is called at most once, before WriteBuffer, and returns the error of reserve.
func (s *Stream) WaitForMemory(reserve func() (bytebudget.Grant, error), maxBytes int64) error {
	s.mu.Lock()
	s.memoryWaitSince = time.Now()
	s.mu.Unlock()
	grant, err := reserve()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readySince = time.Now()
	s.memoryWait, s.memoryWaitSince = s.readySince.Sub(s.memoryWaitSince), time.Time{}
	if err != nil {
		return err
	}
	s.grant, s.minGrantBytes, s.maxGrantBytes = grant, grant.Size(), maxBytes
	if s.isForwarding {
		s.minGrantBytes = min(s.minGrantBytes, ChunkBytes)
	}
	return nil
}

// WriteBuffer waits for memory and returns a buffer for the next bytes. The buffer is empty beyond the
// announced length. The error is the reason why no more bytes are wanted.
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

// CommitWrite appends the first n bytes of the last WriteBuffer to the body.
func (s *Stream) CommitWrite(n int) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	last := &s.queue[len(s.queue)-1]
	*last = (*last)[:len(*last)+n]
	s.received += int64(n)
	s.lastReceivedAt, s.stalledForAtLastReceive = time.Now(), s.stalledFor
	if s.firstReceivedAt.IsZero() {
		s.firstReceivedAt = s.lastReceivedAt
	}
	s.mu.Unlock()
	s.changed.Broadcast()
}

// CloseWrite ends the writing. why is io.EOF itself if the body is complete, otherwise the reason why it is
// not.
func (s *Stream) CloseWrite(why error) {
	s.mu.Lock()
	s.writeResult = why
	s.isComplete = why == io.EOF //nolint:errorlint // an error that wraps io.EOF means a truncated body
	s.grant.Shrink(s.allocated)
	s.releaseIfDone()
	s.mu.Unlock()
	s.changed.Broadcast()
}
