package balancer

import "time"

// class is a Class with its derived limits and state.
type class struct {
	Class
	index            int           // index among the settings' classes; negative: unknown class
	latencyLimit     float64       // seconds; maximum expected latency of a server that gets a request
	maxClientTimeout time.Duration // longest client timeout of a request so far

	// From the fleet policy, within the settings: see ApplyFleetPolicy.
	maxAttempts        int
	hedging            bool
	minAttemptInterval time.Duration
}

// classOf returns the request's class. For an unknown one it returns a class that is not idempotent, with the
// client's timeout as its latency objective and deadline.
func (b *Balancer) classOf(e *Request) *class {
	if c := b.classes[e.Class]; c != nil {
		return c
	}
	return &class{
		Class: Class{
			LatencyObjective: e.ClientTimeout, Deadline: e.ClientTimeout, Idempotency: NotIdempotent,
		},
		index: -1, latencyLimit: seconds(e.ClientTimeout), maxAttempts: b.settings.Limits.MaxAttempts,
	}
}
