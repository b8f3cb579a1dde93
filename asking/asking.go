// Package asking says when discovery is called again after a call to it has ended. It does no input or
// output; the time comes with each input.
//
// Two things pull at it. A discovery with too many callers answers none of them in time, so that a large
// fleet has to call it seldom. And the rule on drains has a clock that runs on whether an agent hears
// anything or not, and however its calls ended: what was changed while discovery could be reached counts as
// told a fixed time later. So the first thing that is kept is since when changes may have been missed; a
// call follows that early that a further one still fits before what was missed binds.
package asking

import "time"

// End is how a call to discovery has ended.
type End uint8

// The ends of a call.
const (
	Unknown End = iota // it is not told, as in the simulator
	Silent             // a watch was open, and nothing came on it any more
	Lost               // a watch was open and was closed, or could not be read
	Refused            // the call was not taken up: refused, failed, or not answered in time
	Unread             // something came that could not be used: the agent has been told, and does not know it
	Moved              // as Refused, of the first call to another address of discovery
)

const (
	// Least is the usual wait after one failed call in a small fleet, doubled Doubled times, call after call.
	Least   = 200 * time.Millisecond
	Doubled = 3
	// Fleet is up to how many agents that holds; the agents of a larger one wait longer, by their number, or
	// no call has its turn.
	Fleet = 6.0
	// ToldAfter is when a change that was not heard of counts as told, from when discovery had it and could be
	// reached; or from when a watch fell silent, where that missed it.
	ToldAfter = 6 * time.Second
	// deafFor is how long after a failed call what is not heard of may have changed.
	deafFor = 6 * time.Second
	// answerTime is what a call may take until its answer is there, in a discovery that has room.
	answerTime = 500 * time.Millisecond
	// callTime is how long a call lasts at the most that is not taken up.
	callTime = 2 * time.Second
	// movedAfter is when what discovery has to tell counts as told, from when it was moved.
	movedAfter = 4 * time.Second
)

// Terms are the settings that the waits follow from.
type Terms struct {
	Agents     int
	AskWithin  time.Duration // without a watch, a change counts as told so much later; zero: no bound
	DrainGrace time.Duration // sends may go on so long after an agent was told
}

// toldAfter is when a change that is not heard of counts as told, from when it was made.
func (t Terms) toldAfter() time.Duration {
	if t.AskWithin > 0 {
		return min(t.AskWithin, ToldAfter)
	}
	return ToldAfter
}

// Clock is one agent's: what became of its calls, and when the next one has to follow. The zero value will
// not do: see New.
type Clock struct {
	terms    Terms
	failed   int           // calls since one last told something
	failedAt time.Duration // the last of them
	missing  bool          // changes may have been made that were not heard of
	since    time.Duration // where missing: when the first of them can have been made
}

// New returns a Clock of an agent that has made no call.
func New(t Terms) Clock { return Clock{terms: t} }

// Called takes in that discovery is called. Where it had not been heard before, that is from when on changes
// are missed.
func (c *Clock) Called(now time.Duration) { c.miss(now) }

// Answered takes in that discovery has said what the list is. Told: it brought entries of the list.
func (c *Clock) Answered(told bool) {
	c.missing = false
	if told {
		c.failed = 0
	}
}

// Missing tells whether changes may have been made that were not heard of: no call has been answered since.
func (c *Clock) Missing() bool { return c.missing }

// Deaf tells whether what has changed lately may not have been heard of.
func (c *Clock) Deaf(now time.Duration) bool { return c.failed > 0 && now-c.failedAt < deafFor }

// Fell takes in that a watch has fallen silent, quiet long ago, also where another call is out in its place.
func (c *Clock) Fell(now, quiet time.Duration) { c.miss(now - quiet) }

// miss takes in that changes made from a time on may not have been heard of. What was missed before is
// missing still, until a call is answered.
func (c *Clock) miss(since time.Duration) {
	if !c.missing || since < c.since {
		c.missing, c.since = true, since
	}
}

// Ended takes in that a call has ended, and returns how long the next one may wait. Draw is a random number
// from 0 to 1, which spreads the agents' calls.
func (c *Clock) Ended(now time.Duration, end End, draw float64) time.Duration {
	switch end {
	case Unread:
		c.miss(now - ToldAfter)
	case Moved:
		c.miss(now - callTime - ToldAfter + movedAfter)
	default:
		c.miss(now)
	}
	wait := between(c.spare()/2, c.spare()*3/2, draw)
	c.failed++
	c.failedAt = now
	return min(wait, c.most(now, end, draw))
}

// spare is the mean wait that spares a discovery in trouble.
func (c *Clock) spare() time.Duration {
	wait := Least << min(c.failed, Doubled)
	return time.Duration(float64(wait) * max(float64(c.terms.Agents)/Fleet, 1))
}

// most is how long the wait may be at the most, by the clock of the rule on drains: what a change was not
// heard of counts as told ToldAfter later, whatever became of the calls, and sends may go on for a grace.
// Each agent takes its place at random in a part of what is left, or all agents, whose watches end together,
// would call together; that part leaves room for a further call.
func (c *Clock) most(now time.Duration, end End, draw float64) time.Duration {
	if end == Unknown {
		return 1<<63 - 1
	}
	toldAfter := c.terms.toldAfter()
	told := c.since + toldAfter
	if end == Silent && now < told { // the first call has its answer before what was missed counts as told
		return between((told-now)/6, (told-now)/2, draw)
	}
	whole := toldAfter + c.terms.DrainGrace - answerTime
	left := c.since + whole - now
	switch {
	case end == Lost && left > 0:
		return between(left/4, left/2, draw)
	case left > 0:
		return max(between(left/6, left/2, draw), between(Least/2, Least*3/2, draw))
	}
	return between(whole/4, whole/2, draw) // it may be back at any time, and what changes from then on counts
}

func between(low, high time.Duration, draw float64) time.Duration {
	return low + time.Duration(draw*float64(high-low))
}
