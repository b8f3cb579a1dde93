package routing

import (
	"time"

	"dunestep/internal/balancer"
)

const (
	// acceptingTime is how long clients are accepted after a shutdown begins, since they may still connect.
	acceptingTime = 750 * time.Millisecond
	// maxDeadline is the upper bound for the longest class deadline. killDelay is the minimum time between
	// the longest deadline and the kill of the agent.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// failingTime is how long before the kill the requests without a response are failed.
	failingTime = 300 * time.Millisecond
)

// ShutdownPhase is a phase of a graceful shutdown.
type ShutdownPhase uint8

// The phases, in order.
const (
	// ShutdownAccepting means that the agent reports that it is not ready, and otherwise works as before.
	ShutdownAccepting ShutdownPhase = iota
	// ShutdownClosing means that no clients are accepted; client connections are closed as they become idle.
	ShutdownClosing
	// ShutdownFailing means that requests without a response have failed; their responses are being written.
	ShutdownFailing
	// ShutdownOver means that the agent ends, whatever is still open.
	ShutdownOver
)

// ShutdownPlan has the times at which the phases of a graceful shutdown end, on the clock.
type ShutdownPlan struct{ accepting, closing, failing time.Duration }

// NewShutdownPlan returns the plan of a shutdown that begins now and is over before the agent could be
// killed, according to the classes' deadlines.
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

// Deadline returns when the shutdown is over at the latest.
func (p ShutdownPlan) Deadline() time.Duration { return p.failing }

// PhaseAt returns the phase at a time and when the next phase begins. From ShutdownClosing on, the shutdown
// is also over as soon as all client connections are closed, which the caller has to check.
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
