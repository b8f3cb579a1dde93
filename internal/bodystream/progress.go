package bodystream

import "time"

// Progress is how far a body has come.
type Progress struct {
	Length   int64         // bytes, as announced; below zero: not known
	Came     int64         // bytes so far
	LastCame time.Time     // when the latest of them came; zero: none has
	Before   time.Duration // for how long it was delayed before it could begin to come, for want of memory
	HeldUp   time.Duration // for how long since then, because earlier bytes were not read
	Coming   time.Duration // since the first byte, less HeldUp
	Quiet    time.Duration // for how long nothing has come, though it could; zero after End
	Whole    bool          // it was written completely
	Taken    bool          // some of it has been read, and is gone
}

// Progress returns how far the body has come.
func (f *Flow) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Progress{
		Length: f.length, Came: f.received, LastCame: f.lastReceivedAt, Before: f.delayedBefore,
		HeldUp: f.stalledFor, Whole: f.isComplete, Taken: f.hasConsumed,
	}
	until := f.lastReceivedAt
	if f.end == nil {
		until = time.Now()
	}
	switch {
	case !f.waitingSince.IsZero():
		p.HeldUp += until.Sub(f.waitingSince)
	case f.end == nil && !f.lastReceivedAt.IsZero():
		p.Quiet = max(until.Sub(f.lastReceivedAt)-f.stalledFor+f.stalledAtLast, 0)
	}
	if !f.firstReceivedAt.IsZero() {
		p.Coming = until.Sub(f.firstReceivedAt) - p.HeldUp
	}
	return p
}
