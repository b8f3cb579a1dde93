package agent

import "time"

// clock is the clock of the router and the balancer: Unix time, as in the endpoint list, read once and
// advanced by the monotonic clock. It never runs backwards, even when the machine's time is set.
type clock struct{ startedAt time.Time }

func newClock() clock { return clock{startedAt: time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at converts the machine's time to this clock.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + t.Sub(c.startedAt)
}

// time converts a time of this clock to the machine's.
func (c clock) time(at time.Duration) time.Time {
	return c.startedAt.Add(at - time.Duration(c.startedAt.UnixNano()))
}

// until returns the duration until a time of this clock; negative: the time is past.
func (c clock) until(at time.Duration) time.Duration { return time.Until(c.time(at)) }
