package routing

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	// acceptingTime is how long after it was told to end the agent takes clients in, since they still come.
	acceptingTime = 750 * time.Millisecond
	// An agent is killed after the longest deadline, or maxDeadline, and killDelay more at the soonest.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// failingTime is what remains then for the answers that operations without one are given.
	failingTime = 300 * time.Millisecond
)

// ShutdownPhase is what a draining agent is at.
type ShutdownPhase uint8

// The phases, in order.
const (
	// ShutdownAccepting: not ready any more, and all goes on as before.
	ShutdownAccepting ShutdownPhase = iota
	// ShutdownClosing: no client connection is taken; those there are close as they fall idle.
	ShutdownClosing
	// ShutdownFailing: what is unanswered has failed; its answers are being written.
	ShutdownFailing
	// ShutdownOver: the agent ends, whatever is left.
	ShutdownOver
)

// ShutdownPlan is the course of a planned restart, begun when the agent was told to end.
type ShutdownPlan struct{ arriving, closing, abandoning time.Duration }

// NewShutdownPlan begins a drain that is over before the agent could be killed, by its classes' deadlines.
func NewShutdownPlan(now time.Duration, classes []balancer.Class) ShutdownPlan {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	whole := min(longest, maxDeadline) + killDelay - failingTime
	return ShutdownPlan{
		arriving: now + min(acceptingTime, whole), closing: now + whole,
		abandoning: now + whole + failingTime/2,
	}
}

// Deadline is when it is over at the latest.
func (d ShutdownPlan) Deadline() time.Duration { return d.abandoning }

// PhaseAt tells the phase that the drain is in and when the next one begins. From ShutdownClosing on it is over as soon as
// all client connections are closed, which the caller sees.
func (d ShutdownPlan) PhaseAt(now time.Duration) (phase ShutdownPhase, until time.Duration) {
	switch {
	case now < d.arriving:
		return ShutdownAccepting, d.arriving
	case now < d.closing:
		return ShutdownClosing, d.closing
	case now < d.abandoning:
		return ShutdownFailing, d.abandoning
	}
	return ShutdownOver, now
}
