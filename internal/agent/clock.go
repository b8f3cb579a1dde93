package agent

import "time"

// clock is the core's time: Unix time, on which the pool config tells when servers started, read once and
// carried on by the monotonic clock, so that it never runs backwards when the machine's time is set.
type clock struct{ began time.Time }

func newClock() clock { return clock{began: time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at is a time of the machine's on this clock, and time the other way round.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.began.UnixNano()) + t.Sub(c.began)
}

func (c clock) time(at time.Duration) time.Time {
	return c.began.Add(at - time.Duration(c.began.UnixNano()))
}

// until is how long it still is; below zero: past.
func (c clock) until(at time.Duration) time.Duration { return time.Until(c.time(at)) }
