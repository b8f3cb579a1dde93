package lease

import (
	"errors"
	"math"
	"time"
)

// Defaults of Terms.
const (
	defaultDuration        = 4 * time.Second
	defaultMaxKnowledgeAge = time.Second
	defaultMaxClockError   = 100 * time.Millisecond
	defaultMaxDrift        = 0.001
)

// Bounds of Terms.
const (
	minDuration        = 100 * time.Millisecond
	minMaxKnowledgeAge = 50 * time.Millisecond
	maxTerm            = time.Hour
	maxMaxDrift        = 0.1
)

// Terms are the parameters of leases, the same at all agents of a fleet. Zero fields stand for the defaults.
type Terms struct {
	Duration        time.Duration // of a lease, from when it was requested; default 4 s
	MaxKnowledgeAge time.Duration // of what a voter knows as it grants; default 1 s
	// MaxPause is the maximum time between two inputs of a voter: after a longer one it discards what it knew;
	// default MaxKnowledgeAge.
	MaxPause      time.Duration
	MaxClockError time.Duration // by which a Unix clock may be off; default 100 ms
	MaxDrift      float64       // of a steady clock, as a fraction of its rate; default 0.001
}

// ErrInvalidTerms reports that the terms are out of bounds.
var ErrInvalidTerms = errors.New(
	"invalid lease terms: need a duration of 100 ms to 1 h, a knowledge age of 50 ms to 1 h, a drift up to 10%")

// WithDefaults returns the terms with the defaults for zero fields.
func (t Terms) WithDefaults() Terms {
	setDefault := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&t.Duration, defaultDuration)
	setDefault(&t.MaxKnowledgeAge, defaultMaxKnowledgeAge)
	setDefault(&t.MaxPause, t.MaxKnowledgeAge)
	setDefault(&t.MaxClockError, defaultMaxClockError)
	if t.MaxDrift == 0 {
		t.MaxDrift = defaultMaxDrift
	}
	return t
}

// Validate returns ErrInvalidTerms if nobody could hold a lease by the terms, or no fence could be computed.
func (t Terms) Validate() error {
	switch {
	case t.Duration < minDuration || t.Duration > maxTerm:
		return ErrInvalidTerms
	case t.MaxKnowledgeAge < minMaxKnowledgeAge || t.MaxKnowledgeAge > maxTerm:
		return ErrInvalidTerms
	case t.MaxPause < 0 || t.MaxClockError < 0 || t.MaxClockError > maxTerm:
		return ErrInvalidTerms
	case math.IsNaN(t.MaxDrift) || t.MaxDrift < 0 || t.MaxDrift > maxMaxDrift:
		return ErrInvalidTerms
	}
	return nil
}

// Fence returns the Unix time of any machine after which no agent acts without what was committed at a Unix
// time of another machine. That time has to be read once it was committed, not before.
func (t Terms) Fence(committed time.Duration) time.Duration {
	return committed + t.stretched(1/(1-t.MaxDrift)) + 2*t.MaxClockError
}

// FenceWait returns how long to wait for the fence by one's own steady clock.
func (t Terms) FenceWait() time.Duration { return t.stretched((1 + t.MaxDrift) / (1 - t.MaxDrift)) }

func (t Terms) stretched(by float64) time.Duration {
	return time.Duration(math.Ceil(float64(t.MaxKnowledgeAge+t.Duration)*by)) + 1
}

// FencePassed reports whether no agent acts any more without what was committed for sure at an earlier
// reading of the same machine.
func (t Terms) FencePassed(committed, now ClockReading) bool {
	return min(now.Unix-committed.Unix, now.Mono-committed.Mono) >= t.FenceWait()
}

// ClockReading is what a machine's clocks show at one time. Who has only one clock passes it twice, and lacks
// the protection by the other one.
type ClockReading struct {
	Unix time.Duration // the Unix time, which may be set
	Mono time.Duration // a steady clock of any origin, never set, which runs while the machine is suspended
}

// Since returns how long ago an earlier reading was, by the clock that shows more.
func (r ClockReading) Since(earlier ClockReading) time.Duration {
	return max(r.Unix-earlier.Unix, r.Mono-earlier.Mono)
}
