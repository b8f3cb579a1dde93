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
	// failingTime is how long before the kill the requests without a response are failed. Their clients must
	// read the responses before it.
	failingTime = 300 * time.Millisecond
	// endingTime is how long before the kill responses that are still being forwarded are ended, so that their
	// clients can tell that they are incomplete. Until then they may become whole.
	endingTime = 100 * time.Millisecond
	// exitTime is how long before the kill the process begins to exit.
	exitTime = 50 * time.Millisecond
)

// ShutdownPhase is a phase of a graceful shutdown.
type ShutdownPhase uint8

// The phases, in order.
const (
	// ShutdownAccepting means that the agent reports that it is not ready, and otherwise works as before.
	ShutdownAccepting ShutdownPhase = iota
	// ShutdownClosing means that no clients are accepted; client connections are closed as they become idle.
	ShutdownClosing
	// ShutdownFailing means that requests without a response have failed; their responses are being written,
	// and responses that have begun are forwarded.
	ShutdownFailing
	// ShutdownEnding means that responses that have begun are ended, however much of them is missing.
	ShutdownEnding
	// ShutdownOver means that the agent ends, whatever is still open.
	ShutdownOver
)

// ShutdownPlan has the times at which the phases of a graceful shutdown end, on the clock.
type ShutdownPlan struct{ accepting, closing, failing, ending time.Duration }

// NewShutdownPlan returns the plan of a shutdown that begins now and is over before the agent could be
// killed, according to the classes' deadlines.
func NewShutdownPlan(now time.Duration, classes []balancer.Class) ShutdownPlan {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	untilKill := min(longest, maxDeadline) + killDelay
	return ShutdownPlan{
		accepting: now + min(acceptingTime, untilKill-failingTime), closing: now + untilKill - failingTime,
		failing: now + untilKill - endingTime, ending: now + untilKill - exitTime,
	}
}

// Deadline returns when the shutdown is over at the latest.
func (p ShutdownPlan) Deadline() time.Duration { return p.ending }

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
	case now < p.ending:
		return ShutdownEnding, p.ending
	}
	return ShutdownOver, now
}
