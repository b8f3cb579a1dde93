// Package backoff says when discovery is called again after a call to it has ended. It does no input or
// output; the time comes with each input.
//
// Two things pull at it. A discovery with too many callers answers none of them in time, so that a large
// fleet has to call it seldom. And the rule on drains has a clock that runs on whether an agent hears
// anything or not, and however its calls ended: what was changed while discovery could be reached counts as
// told a fixed time later. So the first thing that is kept is since when changes may have been missed; a
// call follows that early that a further one still fits before what was missed binds.
package backoff

import "time"

// CallResult is how a call to discovery has ended.
type CallResult uint8

// The ends of a call.
const (
	ResultUnknown CallResult = iota // it is not told, as in the simulator
	WatchSilent                     // a watch was open, and nothing came on it any more
	WatchLost                       // a watch was open and was closed, or could not be read
	CallFailed                      // the call was not taken up: refused, failed, or not answered in time
	Unreadable                      // something came that could not be used: the agent has been told, and does not know it
	AddressMoved                    // as CallFailed, of the first call to another address of discovery
)

const (
	// MinDelay is the usual wait after one failed call in a small fleet, doubled MaxDoublings times, call after call.
	MinDelay     = 200 * time.Millisecond
	MaxDoublings = 3
	// SmallFleetAgents is up to how many agents that holds; the agents of a larger one wait longer, by their number, or
	// no call has its turn.
	SmallFleetAgents = 6.0
	// AssumedKnownAfter is when a change that was not heard of counts as told, from when discovery had it and could be
	// reached; or from when a watch fell silent, where that missed it.
	AssumedKnownAfter = 6 * time.Second
	// staleFor is how long after a failed call what is not heard of may have changed.
	staleFor = 6 * time.Second
	// responseTime is what a call may take until its answer is there, in a discovery that has room.
	responseTime = 500 * time.Millisecond
	// callTimeout is how long a call lasts at the most that is not taken up.
	callTimeout = 2 * time.Second
	// movedKnownAfter is when what discovery has to tell counts as told, from when it was moved.
	movedKnownAfter = 4 * time.Second
)

// Settings are the settings that the waits follow from.
type Settings struct {
	Agents          int
	MaxPollInterval time.Duration // without a watch, a change counts as told so much later; zero: no bound
	DrainGrace      time.Duration // sends may go on so long after an agent was told
}

// assumedKnownAfter is when a change that is not heard of counts as told, from when it was made.
func (t Settings) assumedKnownAfter() time.Duration {
	if t.MaxPollInterval > 0 {
		return min(t.MaxPollInterval, AssumedKnownAfter)
	}
	return AssumedKnownAfter
}

// Schedule is one agent's: what became of its calls, and when the next one has to follow. The zero value will
// not do: see New.
type Schedule struct {
	settings     Settings
	failedCalls  int           // calls since one last told something
	failedAt     time.Duration // the last of them
	isMissing    bool          // changes may have been made that were not heard of
	missingSince time.Duration // where missing: when the first of them can have been made
}

// New returns a Schedule of an agent that has made no call.
func New(t Settings) Schedule { return Schedule{settings: t} }

// CallStarted takes in that discovery is called. Where it had not been heard before, that is from when on changes
// are missed.
func (c *Schedule) CallStarted(now time.Duration) { c.recordMissedSince(now) }

// Answered takes in that discovery has said what the list is. Told: it brought entries of the list.
func (c *Schedule) Answered(told bool) {
	c.isMissing = false
	if told {
		c.failedCalls = 0
	}
}

// IsMissingChanges tells whether changes may have been made that were not heard of: no call has been answered since.
func (c *Schedule) IsMissingChanges() bool { return c.isMissing }

// IsStale tells whether what has changed lately may not have been heard of.
func (c *Schedule) IsStale(now time.Duration) bool {
	return c.failedCalls > 0 && now-c.failedAt < staleFor
}

// WatchFellSilent takes in that a watch has fallen silent, quiet long ago, also where another call is out in its place.
func (c *Schedule) WatchFellSilent(now, quiet time.Duration) { c.recordMissedSince(now - quiet) }

// miss takes in that changes made from a time on may not have been heard of. What was missed before is
// missing still, until a call is answered.
func (c *Schedule) recordMissedSince(since time.Duration) {
	if !c.isMissing || since < c.missingSince {
		c.isMissing, c.missingSince = true, since
	}
}

// CallEnded takes in that a call has ended, and returns how long the next one may wait. Draw is a random number
// from 0 to 1, which spreads the agents' calls.
func (c *Schedule) CallEnded(now time.Duration, end CallResult, draw float64) time.Duration {
	switch end {
	case Unreadable:
		c.recordMissedSince(now - AssumedKnownAfter)
	case AddressMoved:
		c.recordMissedSince(now - callTimeout - AssumedKnownAfter + movedKnownAfter)
	default:
		c.recordMissedSince(now)
	}
	wait := interpolate(c.meanDelay()/2, c.meanDelay()*3/2, draw)
	c.failedCalls++
	c.failedAt = now
	return min(wait, c.maxDelay(now, end, draw))
}

// spare is the mean wait that spares a discovery in trouble.
func (c *Schedule) meanDelay() time.Duration {
	wait := MinDelay << min(c.failedCalls, MaxDoublings)
	return time.Duration(float64(wait) * max(float64(c.settings.Agents)/SmallFleetAgents, 1))
}

// most is how long the wait may be at the most, by the clock of the rule on drains: what a change was not
// heard of counts as told AssumedKnownAfter later, whatever became of the calls, and sends may go on for a grace.
// Each agent takes its place at random in a part of what is left, or all agents, whose watches end together,
// would call together; that part leaves room for a further call.
func (c *Schedule) maxDelay(now time.Duration, end CallResult, draw float64) time.Duration {
	if end == ResultUnknown {
		return 1<<63 - 1
	}
	toldAfter := c.settings.assumedKnownAfter()
	told := c.missingSince + toldAfter
	if end == WatchSilent && now < told { // the first call has its answer before what was missed counts as told
		return interpolate((told-now)/6, (told-now)/2, draw)
	}
	whole := toldAfter + c.settings.DrainGrace - responseTime
	left := c.missingSince + whole - now
	switch {
	case end == WatchLost && left > 0:
		return interpolate(left/4, left/2, draw)
	case left > 0:
		return max(interpolate(left/6, left/2, draw), interpolate(MinDelay/2, MinDelay*3/2, draw))
	}
	return interpolate(whole/4, whole/2, draw) // it may be back at any time, and what changes from then on counts
}

func interpolate(low, high time.Duration, draw float64) time.Duration {
	return low + time.Duration(draw*float64(high-low))
}
