package routing

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	// acceptingTime is how long clients are accepted after the agent was told to end, since they still connect.
	acceptingTime = 750 * time.Millisecond
	// maxDeadline bounds the longest class deadline, and killDelay is what passes after it at least before the
	// agent is killed.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// failingTime before that, requests without an answer are failed.
	failingTime = 300 * time.Millisecond
)

// ShutdownPhase is a phase of a graceful shutdown.
type ShutdownPhase uint8

// The phases, in order.
const (
	// ShutdownAccepting means that the agent is not ready any more, and all goes on as before.
	ShutdownAccepting ShutdownPhase = iota
	// ShutdownClosing means that no client is accepted; client connections are closed as they become idle.
	ShutdownClosing
	// ShutdownFailing means that requests without an answer have failed; their answers are being written.
	ShutdownFailing
	// ShutdownOver means that the agent ends, whatever is left.
	ShutdownOver
)

// ShutdownPlan says when the phases of a graceful shutdown end, on the clock.
type ShutdownPlan struct{ accepting, closing, failing time.Duration }

// NewShutdownPlan returns the plan of a shutdown that begins now and, by its classes' deadlines, is over
// before the agent could be killed.
func NewShutdownPlan(now time.Duration, classes []balancer.Class) ShutdownPlan {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	untilFailing := min(longest, maxDeadline) + killDelay - failingTime
	return ShutdownPlan{
		accepting: now + min(acceptingTime, untilFailing), closing: now + untilFailing,
		failing: now + untilFailing + failingTime/2,
	}
}

// Deadline is when the shutdown is over at the latest.
func (p ShutdownPlan) Deadline() time.Duration { return p.failing }

// PhaseAt returns the phase at a time and when the next one begins. From ShutdownClosing on the shutdown is
// over as soon as all client connections are closed, which the caller sees.
func (p ShutdownPlan) PhaseAt(now time.Duration) (phase ShutdownPhase, until time.Duration) {
	switch {
	case now < p.accepting:
		return ShutdownAccepting, p.accepting
	case now < p.closing:
		return ShutdownClosing, p.closing
	case now < p.failing:
		return ShutdownFailing, p.failing
	}
	return ShutdownOver, now
}
