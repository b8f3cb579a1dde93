package policy

import (
	"math"
	"time"

	"dunestep/internal/fleet/lease"
)

// Times are the durations of the protocol. They must be the same at all agents of a fleet. Zero values mean
// the defaults.
type Times struct {
	Terms lease.Terms
	// ActivationLead is how long before a change takes effect its activation has to be committed, so that all
	// agents receive it in time; default 400 ms.
	ActivationLead time.Duration
	// FloorValidity is how long after its last lease an agent acts within the floor that it knows; default
	// 15 min.
	FloorValidity time.Duration
}

// WithDefaults returns the times with zero values replaced by the defaults.
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

// withClockDrift returns how long this machine has to wait by its own clocks until a duration d has passed by
// another machine's clocks.
func (t Times) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+t.Terms.MaxDrift)/(1-t.Terms.MaxDrift))) + 1
}

// maxLeaseAge returns how long after a grant, by the voter's clocks, the holder may still act.
func (t Times) maxLeaseAge() time.Duration { return t.withClockDrift(t.Terms.Duration) }

// minElapsed returns the time between two readings by the clock (wall or monotonic) that advanced less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
