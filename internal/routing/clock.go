package routing

import "time"

// clock is the module's time: Unix time, on which the pool config tells when servers started, read once and
// carried on by the monotonic clock, so that it never runs backwards when the machine's time is set.
type clock struct{ began time.Time }

func newClock() clock { return clock{began: time.Now()} }

func (c clock) now() time.Duration {
	return time.Duration(c.began.UnixNano()) + time.Since(c.began)
}
