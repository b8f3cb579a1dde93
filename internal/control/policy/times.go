package policy

import (
	"math"
	"time"

	"dunestep/internal/fleet/lease"
)

// Times are the durations of the protocol. They are the same at all agents of a fleet; zero values stand for
// the defaults.
type Times struct {
	Terms lease.Terms
	// ActivationLead is how long before a change takes effect its activation is to be committed, so that all
	// agents learn of it in time; 400 ms.
	ActivationLead time.Duration
	// FloorValidity is how long after its last lease an agent acts by the floor that it knows; 15 min.
	FloorValidity time.Duration
}

// WithDefaults returns the times with the defaults in place of zero values.
func (t Times) WithDefaults() Times {
	t.Terms = t.Terms.WithDefaults()
	if t.ActivationLead == 0 {
		t.ActivationLead = 400 * time.Millisecond
	}
	if t.FloorValidity == 0 {
		t.FloorValidity = 15 * time.Minute
	}
	return t
}

// withClockDrift is how long this machine has to wait by its own clocks for a duration that another machine
// measures by its clocks.
func (t Times) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+t.Terms.MaxDrift)/(1-t.Terms.MaxDrift))) + 1
}

// maxLeaseAge is how long after a grant, by the voter's clocks, the holder may still act.
func (t Times) maxLeaseAge() time.Duration { return t.withClockDrift(t.Terms.Duration) }

// minElapsed is the least time that has passed between two readings: the one of the two clocks that advanced
// less counts.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
