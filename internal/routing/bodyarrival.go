package routing

import "time"

// BodyArrival is what has arrived of a request's body at this machine while this agent does not read it: an
// upstream server takes nothing of it, or no memory is free.
type BodyArrival struct {
	State        BodyArrivalState
	SinceArrival time.Duration // since the latest byte arrived
	UnreadFor    time.Duration // since this agent stopped reading
	// HeldBackFor is for how long the client may have waited since it wrote the last byte, as this agent has
	// read more slowly than it wrote: see HeldBack. Zero: it has not, or is still writing.
	HeldBackFor time.Duration
	HasUnread   bool // the system has bytes that this agent has not read
}

// BodyArrivalState tells whether the last byte of a request's body has arrived.
type BodyArrivalState uint8

// The states.
const (
	// BodyUnknown: the length is not known, and what has arrived may end with the last byte.
	BodyUnknown BodyArrivalState = iota
	BodyIncomplete
	BodyArrived
)

// unreadMargin is how long before its end a body's presumed time is reported, so that attempts can be ended
// and the client answered in time.
const unreadMargin = 40 * time.Millisecond

// minUnreadTime is the minimum time without progress after which a body that may be complete is treated as
// complete. It is within the half second in which a late response is still accepted.
const minUnreadTime = 200 * time.Millisecond

// LongestWait returns for how long the client may have waited since it sent the last byte of its request.
// Where bytes are unread, that may be as long as nothing was read: the system takes in a little more now and
// then, by which the latest arrival says nothing of when the client sent it.
func (a BodyArrival) LongestWait() time.Duration {
	switch {
	case a.State == BodyArrived:
		return max(a.SinceArrival, a.HeldBackFor)
	case a.HasUnread:
		return max(a.SinceArrival, a.UnreadFor, a.HeldBackFor)
	case a.State == BodyIncomplete: // the client sends slowly
		return 0
	}
	return a.SinceArrival
}

// StartOfTime returns for how long the client may have waited since the last byte of its request, and whether
// that counts as the start of its time. timeLeft is how long it waits from then on.
//
// That byte may have arrived unread where the length is not known. Of an incomplete body, the client's own
// machine may hold the rest, since this one takes in only so much that is not read. In both cases the time
// counts from the last progress, once it would be almost over; or from when the client can have written all
// of it to its machine, if this agent has held it back ever since.
func (a BodyArrival) StartOfTime(timeLeft time.Duration) (waited time.Duration, hasBegun bool) {
	withoutProgress := a.SinceArrival
	switch {
	case a.State == BodyArrived:
		return max(a.SinceArrival, a.HeldBackFor), true
	case a.State == BodyIncomplete && !a.HasUnread: // the client sends slowly
		return 0, false
	case a.State == BodyIncomplete:
		withoutProgress = min(a.SinceArrival, a.UnreadFor)
	}
	waited = withoutProgress
	if a.HasUnread {
		waited = max(waited, a.HeldBackFor)
	}
	return waited, waited >= max(timeLeft-unreadMargin, minUnreadTime)
}
