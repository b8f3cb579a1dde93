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

// Terms are the parameters of leases, the same at all agents of a fleet. Zero fields select the defaults.
type Terms struct {
	Duration        time.Duration // duration of a lease, from the time of its request; default 4 s
	MaxKnowledgeAge time.Duration // maximum age of the confirmed read that a grant is based on; default 1 s
	// MaxPause is the maximum time between two inputs of a voter. After a longer one, the voter discards its
	// confirmed position. Default MaxKnowledgeAge.
	MaxPause      time.Duration
	MaxClockError time.Duration // maximum error of a Unix clock; default 100 ms
	MaxDrift      float64       // maximum drift of a steady clock, as a fraction of its rate; default 0.001
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

// Validate returns ErrInvalidTerms if the terms are out of bounds, so that no agent could hold a lease or no
// fence could be computed.
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

// Fence returns the Unix time, by the clock of any machine, after which no agent acts without the records
// that were committed at a Unix time of another machine. That machine has to read its clock after the commit,
// not before.
func (t Terms) Fence(committed time.Duration) time.Duration {
	return committed + t.scaledWait(1/(1-t.MaxDrift)) + 2*t.MaxClockError
}

// FenceWait returns the time from a commit until the fence has passed, by the machine's own steady clock.
func (t Terms) FenceWait() time.Duration { return t.scaledWait((1 + t.MaxDrift) / (1 - t.MaxDrift)) }

// scaledWait returns MaxKnowledgeAge plus Duration, multiplied by a factor and rounded up.
func (t Terms) scaledWait(factor float64) time.Duration {
	return time.Duration(math.Ceil(float64(t.MaxKnowledgeAge+t.Duration)*factor)) + 1
}

// FencePassed reports whether the fence has passed: no agent acts any more without the records that were
// certainly committed at an earlier clock reading of the same machine.
func (t Terms) FencePassed(committed, now ClockReading) bool {
	return min(now.Unix-committed.Unix, now.Mono-committed.Mono) >= t.FenceWait()
}

// ClockReading is a reading of both clocks of a machine at one time. A caller with only one clock uses it for
// both fields, and lacks the protection by the other one.
type ClockReading struct {
	Unix time.Duration // Unix time, which may be set
	Mono time.Duration // steady clock of any origin: never set, and running while the machine is suspended
}

// Since returns the time since an earlier reading, by the clock that shows more.
func (r ClockReading) Since(earlier ClockReading) time.Duration {
	return max(r.Unix-earlier.Unix, r.Mono-earlier.Mono)
}
