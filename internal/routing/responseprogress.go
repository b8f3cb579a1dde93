package routing

import (
	"time"

	"dunestep/internal/protocol"
)

// ResponseProgress is how much of a response's body has been received, and when.
type ResponseProgress struct {
	Length      int64         // announced length, in bytes; negative: not known
	Received    int64         // bytes received
	DelayBefore time.Duration // delay that this agent caused before the body could begin
	Blocked     time.Duration // time after the beginning in which the client did not read earlier bytes
	Receiving   time.Duration // time since the first byte, less Blocked
	Complete    bool          // the body has been received completely
	Stream      bool          // of a streaming class: only the first bytes are timed, whatever the length
}

// isTimedToLastByte reports whether the last byte has to be received within the request's time: that is so if
// the announced length is short enough to be buffered. Of a longer response and of a stream, only the first
// bytes are timed. So is a response of unknown length, which may turn out to be longer.
func (p ResponseProgress) isTimedToLastByte() bool {
	return !p.Stream && p.Length >= 0 && p.Length <= protocol.MaxBufferedBody
}

const (
	// A client gives up a short response half a second after the request's time. To let the client see
	// that it failed, it is ended before that: after maxShortStall without a byte, and at
	// maxShortOverrun in any case.
	maxShortStall   = 200 * time.Millisecond
	maxShortOverrun = 400 * time.Millisecond
	// maxLongStall is the maximum time without a byte of a long response after the request's time. It is longer
	// than the 23 s for which servers of this kind have hung and then gone on: their responses are still useful.
	maxLongStall = 30 * time.Second
	// maxLongOverrun is the maximum time that a long response may last after the request's time.
	maxLongOverrun = 2 * time.Minute
	// minClientBytesPerSecond is the minimum rate at which a client must read a response that it holds up.
	minClientBytesPerSecond = 16 << 10
)

// checkStart returns why a response that is too long to be buffered may not become the request's response, or
// NotEnded if it may. A request keeps its first response, even if only the beginning has been received.
func checkStart(answered bool, left time.Duration) EndReason {
	switch {
	case answered:
		return NoLongerNeeded
	case left <= 0:
		return TimedOut
	}
	return NotEnded
}

// CheckLimits returns why a response that has begun may not continue, or NotEnded if it may. sinceSent is
// the time since its attempt was sent, left is the rest of the request's time, and quiet is how long
// nothing has been received although this agent was ready to receive.
//
// A short response has to be complete within the request's time; maxShortStall and maxShortOverrun define how
// late it is ended. Of a long response and of a stream, only the first bytes have to arrive in that time. The
// rest may arrive later while the endpoint keeps sending, within maxLongStall and maxLongOverrun. So may that
// of a response of unknown length, which may turn out to be long.
//
// A client may block the connection to an endpoint for as long as the endpoint itself has taken since the
// attempt was sent, plus lag. It may block the connection for longer while it reads at least
// minClientBytesPerSecond.
func (p ResponseProgress) CheckLimits(sinceSent, left, quiet, lag time.Duration) EndReason {
	endpointTime := sinceSent - p.DelayBefore - p.Blocked
	switch {
	case p.Complete:
		return NotEnded
	case p.isTimedToLastByte() && (left <= 0 && quiet > maxShortStall || left < -maxShortOverrun):
		return TimedOut
	case left <= 0 && quiet > maxLongStall, left < -maxLongOverrun:
		return TimedOut
	case p.Blocked > endpointTime+lag &&
		float64(p.Received) < minClientBytesPerSecond*(p.Receiving+p.Blocked).Seconds():
		return ClientTooSlow
	}
	return NotEnded
}
