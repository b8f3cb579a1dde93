package bodystream

import (
	"io"
	"time"
)

// HeldUp says for how long the body was delayed before it could begin to come. It is called before Room.
func (f *Flow) HeldUp(d time.Duration) { f.delayedBefore += d }

// Room waits for memory and returns where the next bytes are to be put; beyond the announced length there is
// none. The error says why no more bytes are wanted.
func (f *Flow) Room() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if err := f.stopErr(); err != nil {
			return nil, err
		}
		if n := len(f.queue); n > 0 {
			if last := f.queue[n-1]; len(last) < cap(last) {
				return last[len(last):cap(last)], nil
			}
		}
		if f.allocate() {
			continue
		}
		f.waitingSince = time.Now()
		f.changed.Wait()
		f.stalledFor += time.Since(f.waitingSince)
		f.waitingSince = time.Time{}
	}
}

// Came says that n bytes were put where the last Room said.
func (f *Flow) Came(n int) {
	if n == 0 {
		return
	}
	f.mu.Lock()
	last := &f.queue[len(f.queue)-1]
	*last = (*last)[:len(*last)+n]
	f.received += int64(n)
	f.lastReceivedAt, f.stalledAtLast = time.Now(), f.stalledFor
	if f.firstReceivedAt.IsZero() {
		f.firstReceivedAt = f.lastReceivedAt
	}
	f.mu.Unlock()
	f.changed.Broadcast()
}

// End says that nothing more is written: io.EOF itself where the body is complete, any other error why it is
// not.
func (f *Flow) End(why error) {
	f.mu.Lock()
	f.end = why
	f.isComplete = why == io.EOF //nolint:errorlint // an error that wraps io.EOF is a body that was cut off
	f.grant.Shrink(f.allocated)
	f.releaseIfDone()
	f.mu.Unlock()
	f.changed.Broadcast()
}
