package routing

import (
	"time"

	"dunestep/internal/protocol"
)

// ResponseProgress is how far the body of an answer has come.
type ResponseProgress struct {
	Length      int64         // announced, in bytes; negative: not known
	Received    int64         // bytes so far
	DelayBefore time.Duration // by this side, before it could begin
	Blocked     time.Duration // since then, because the client did not read earlier bytes
	Receiving   time.Duration // since the first byte, less Blocked
	Complete    bool          // all of it has come
	Stream      bool          // of a streaming class: only its first bytes are timed, however short it is
}

// isTimedToLastByte reports whether the last byte has to come in the request's time: the answer was announced
// as short enough. Of a longer one, and of a stream, only the first bytes are timed; one of unknown length
// may turn out to be longer.
func (p ResponseProgress) isTimedToLastByte() bool {
	return !p.Stream && p.Length >= 0 && p.Length <= protocol.MaxBufferedBody
}

const (
	// A short answer is lost to its client half a second after the request's time. Before that it is ended, so
	// that the client can tell: after maxShortStall without a byte, and at maxShortOverrun in any case.
	maxShortStall   = 200 * time.Millisecond
	maxShortOverrun = 400 * time.Millisecond
	// maxLongStall is how long a long answer may stand still after the request's time: what still comes is of
	// use however late, what has stopped is not.
	maxLongStall = 3 * time.Second
	// maxLongOverrun is how long after the request's time such an answer may last at all.
	maxLongOverrun = 2 * time.Minute
	// minClientBytesPerSecond is how many bytes a second a client must read of an answer that it holds up.
	minClientBytesPerSecond = 16 << 10
)

// checkStart returns why an answer that is longer than what is buffered may not become the request's, or
// NotEnded. A request that has an answer has it for good, also where that has only begun.
func checkStart(answered bool, left time.Duration) EndReason {
	switch {
	case answered:
		return NoLongerNeeded
	case left <= 0:
		return TimedOut
	}
	return NotEnded
}

// CheckLimits returns why an answer that has begun may not go on, or NotEnded. SinceSent is how long ago its
// attempt was sent, left what is left of the request's time, quiet how long nothing has come though it could.
// A short answer has to be complete in its time; of a long one and of a stream the first bytes are timed, and
// an endpoint that still sends is not cut off. A client may hold up an endpoint's connection for as long as
// the endpoint itself has needed since the attempt was sent, and lag more, and beyond that while it reads
// enough bytes.
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
