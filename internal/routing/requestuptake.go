package routing

import "time"

// UptakeSample is what the system knows at one moment of the bytes of a request that were handed to it.
type UptakeSample struct {
	Acknowledged uint64 // bytes that the upstream server's machine has acknowledged, since the connection began
	HasPending   bool   // bytes are left that it has not acknowledged
	IsWritten    bool   // the request's last byte was handed to the system
}

// RequestUptake follows how an upstream server's machine takes a request. A server that reads slowly takes
// it long after it was written: its time begins when it has the last byte. The zero value is ready for use;
// times are those of a clock of the caller's choice.
type RequestUptake struct {
	hasSample     bool
	beganAt       time.Duration // of the first sample
	acknowledged  uint64
	progressSteps int           // samples in which it had taken something since the one before
	progressAt    time.Duration // when it last took something, or there was nothing to take
	lastPendingAt time.Duration // when bytes were last seen pending; zero: never
	isWhole       bool
}

// Observe records a sample.
func (u *RequestUptake) Observe(now time.Duration, sample UptakeSample) {
	if !u.hasSample || sample.Acknowledged != u.acknowledged || !sample.HasPending {
		u.progressAt = now
	}
	switch {
	case !u.hasSample:
		u.beganAt = now
	case sample.Acknowledged != u.acknowledged:
		u.progressSteps++
	}
	u.hasSample, u.acknowledged = true, sample.Acknowledged
	u.isWhole = sample.IsWritten && !sample.HasPending
	if sample.HasPending {
		u.lastPendingAt = now
	}
}

// minReaderSteps is the minimum of progressSteps of a server whose process reads. The system of one that
// hangs fills its buffer in two steps: the first may come before the first sample, the second is a part of
// a segment, which is sent some 0.2 s later.
const minReaderSteps = 2

// IsBeingTaken reports whether the server is known not to have the last byte, and has taken something for
// most of the time: it reads slowly, but does not hang.
func (u *RequestUptake) IsBeingTaken(now time.Duration) bool {
	return !u.isWhole && u.progressSteps >= minReaderSteps && 2*u.StalledFor(now) < now-u.beganAt
}

// StalledFor returns for how long the server has taken nothing although there was something to take.
func (u *RequestUptake) StalledFor(now time.Duration) time.Duration {
	if !u.hasSample {
		return 0
	}
	return max(now-u.progressAt, 0)
}

// ServerStart returns the earliest time at which the server can have had the last byte, which was written
// at a time.
func (u *RequestUptake) ServerStart(writtenAt time.Duration) time.Duration {
	return max(writtenAt, u.lastPendingAt)
}

// AttemptEnd returns when an attempt with this timeout ends. Its given end counts from before the server
// had the request; while that is being taken, the timeout counts from the last progress.
func (u *RequestUptake) AttemptEnd(given, timeout time.Duration) time.Duration {
	switch {
	case !u.hasSample || u.lastPendingAt == 0:
		return given
	case u.isWhole:
		return max(given, u.lastPendingAt+timeout)
	}
	return max(given, u.progressAt+timeout)
}
