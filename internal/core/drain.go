package core

import (
	"time"

	"dunestep/decide"
)

const (
	// lateArrivals is how long after it was told to end the agent takes clients in, since they still come.
	lateArrivals = 750 * time.Millisecond
	// An agent is killed after the longest deadline, or longestWait, and killGrace more at the soonest.
	longestWait = 3 * time.Second
	killGrace   = 700 * time.Millisecond
	// lastWords is what remains then for the answers that operations without one are given.
	lastWords = 300 * time.Millisecond
)

// DrainPhase is what a draining agent is at.
type DrainPhase uint8

// The phases, in order.
const (
	// Arriving: not ready any more, and all goes on as before.
	Arriving DrainPhase = iota
	// Closing: no client connection is taken; those there are close as they fall idle.
	Closing
	// Abandoning: what is unanswered has failed; its answers are being written.
	Abandoning
	// Over: the agent ends, whatever is left.
	Over
)

// Drain is the course of a planned restart, begun when the agent was told to end.
type Drain struct{ arriving, closing, abandoning time.Duration }

// NewDrain begins a drain that is over before the agent could be killed, by its classes' deadlines.
func NewDrain(now time.Duration, classes []decide.Class) Drain {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	whole := min(longest, longestWait) + killGrace - lastWords
	return Drain{
		arriving: now + min(lateArrivals, whole), closing: now + whole,
		abandoning: now + whole + lastWords/2,
	}
}

// End is when it is over at the latest.
func (d Drain) End() time.Duration { return d.abandoning }

// At tells the phase that the drain is in and when the next one begins. From Closing on it is over as soon as
// all client connections are closed, which the caller sees.
func (d Drain) At(now time.Duration) (phase DrainPhase, until time.Duration) {
	switch {
	case now < d.arriving:
		return Arriving, d.arriving
	case now < d.closing:
		return Closing, d.closing
	case now < d.abandoning:
		return Abandoning, d.abandoning
	}
	return Over, now
}
