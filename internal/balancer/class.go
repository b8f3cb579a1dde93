package balancer

import "time"

// class is a Class with what was derived and learned for it.
type class struct {
	Class
	index            int           // among the settings' classes; negative: none of them
	latencyLimit     float64       // seconds; nothing is sent where more is expected
	maxClientTimeout time.Duration // the longest that a client has given

	// The fleet's policy, within the settings: see ApplyFleetPolicy.
	maxAttempts        int
	hedging            bool
	minAttemptInterval time.Duration
}

// classOf returns the request's class. An unknown one has an objective of the client's timeout and is not
// idempotent.
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
