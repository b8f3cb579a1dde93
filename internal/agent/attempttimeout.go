package agent

import (
	"sync"
	"time"
)

// attemptTimeout is the timer of an attempt. Whoever stops it knows whether the attempt has timed out: a
// timer alone can't tell, as it may have fired and be about to be extended. It is safe for concurrent use.
type attemptTimeout struct {
	mu      sync.Mutex
	timer   *time.Timer
	isOver  bool // the attempt has timed out
	isEnded bool // the timeout applies no more
}

// start starts the timer. When it fires, timeOut returns for how much longer the attempt lasts; zero: it has
// timed out. timeOut is not called concurrently, and not after stop.
func (t *attemptTimeout) start(timeout time.Duration, timeOut func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, func() { t.fire(timeOut) })
}

func (t *attemptTimeout) fire(timeOut func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isEnded || t.isOver {
		return
	}
	if extension := timeOut(); extension > 0 {
		t.timer.Reset(extension)
		return
	}
	t.isOver = true
}

// reset sets another time, unless the attempt has timed out or the timeout applies no more.
func (t *attemptTimeout) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOver && !t.isEnded {
		t.timer.Reset(timeout)
	}
}

// stop ends the timeout. It returns false if the attempt has timed out.
func (t *attemptTimeout) stop() (isInTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isEnded = true
	t.timer.Stop()
	return !t.isOver
}
