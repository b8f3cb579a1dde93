package agent

import "time"

// clock is the time of the router and the balancer: Unix time, as the endpoint list has it, read once and
// advanced by the monotonic clock. It never runs backwards, also when the machine's time is set.
type clock struct{ began time.Time }

func newClock() clock { return clock{began: time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at returns the machine's time on this clock.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.began.UnixNano()) + t.Sub(c.began)
}

// time returns this clock's time as the machine's.
func (c clock) time(at time.Duration) time.Time {
	return c.began.Add(at - time.Duration(c.began.UnixNano()))
}

// until returns how long it is until a time of this clock; below zero: it is past.
func (c clock) until(at time.Duration) time.Duration { return time.Until(c.time(at)) }
