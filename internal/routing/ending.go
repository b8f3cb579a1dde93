package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/protocol"
)

// EndReason is how a route step ended, or why this agent is to end it. As an error it is the cause of a context.
type EndReason uint8

// The endings.
const (
	NotEnded         EndReason = iota
	Completed                  // the answer came whole; one that had begun was taken whole too
	BrokenByEndpoint           // by the booking server
	InvalidResponse            // what came can't be an answer, or its rest
	TimedOut                   // also where that is known before
	ClientLeft                 // or took nothing for too long
	ClientTooSlow              // takes its answer so slowly that it holds up the booking server
	NoMemory                   // none came free for the body in time
	NoLongerNeeded             // the operation has its answer, or its client has gone
	Canceled                   // by the module
	AgentStopping
)

func (e EndReason) Error() string {
	return [...]string{
		"goes on", "whole", "broken off", "spoilt", "its time is up", "the client has left",
		"the client takes its answer too slowly", "no memory came free", "it is not needed", "called off",
		"the agent is ending",
	}[e]
}

// AttemptPhase is how far a route step came on its connection.
type AttemptPhase uint8

// The phases. Connected to Writing the booking server cannot have run the operation, from AwaitingResponse on it may have.
const (
	Connecting       AttemptPhase = iota // no connection came up, or none was to be had
	StaleConnection                      // the reused connection had ended before anything was written to it
	Writing                              // not written whole
	AwaitingResponse                     // written whole, and nothing came back
	Responding                           // an answer came, or a part of it
)

// ResponseProgress is how far the body of an answer has come.
type ResponseProgress struct {
	Length      int64         // announced, in bytes; below zero: not known
	Received    int64         // bytes so far
	DelayBefore time.Duration // held up before it could begin to come, by this side
	Blocked     time.Duration // held up since then, because earlier bytes were not taken
	Receiving   time.Duration // since the first byte, less Blocked
	Complete    bool          // all of it has come
	Stream      bool          // its class is streamed: only its first bytes are timed, however short it is
}

// isTimedToLastByte tells whether the answer is one whose last byte has to come in its request's time: it was
// announced as no longer than what is timed so. Of a longer one, and of a stream, only the first bytes are
// timed; one whose length was not told may turn out to be longer.
func (p ResponseProgress) isTimedToLastByte() bool {
	return !p.Stream && p.Length >= 0 && p.Length <= protocol.MaxBufferedBody
}

// AttemptResult is what was seen of a route step that has ended, by whoever carried it out.
type AttemptResult struct {
	Phase        AttemptPhase
	EndReason    EndReason
	Response     balancer.Outcome // what an answer says that came whole and had not begun before
	Streamed     bool             // the answer was being passed on as it came
	Progress     ResponseProgress
	Latency      time.Duration // the time that the booking server took, or that it was given
	Reused       bool          // else the connection was a new one
	IdleFor      time.Duration // idle before it was reused
	Refused      bool          // the booking server's machine: nothing listens there
	LocalFault   bool          // no connection, for want of something on this side, or the client stopped sending
	BodyConsumed bool          // a part of the operation was passed on that is gone: it can't be sent again
	LocalDelay   time.Duration // by how much this side was late to act when its time was up
}

// IsUnanswered tells that a reused connection gave no answer at all, for Pool.ReleaseUnanswered.
func (s AttemptResult) IsUnanswered() bool {
	return s.Reused && s.Phase == AwaitingResponse && s.EndReason == TimedOut
}

// Evidence is what the route step tells the module beyond its outcome.
func (s AttemptResult) Evidence() outlier.Evidence {
	phase := [...]outlier.Phase{
		Connecting: outlier.PhaseConnecting, StaleConnection: outlier.PhaseConnecting, Writing: outlier.PhaseWriting,
		AwaitingResponse: outlier.PhaseAwaiting, Responding: outlier.PhaseAnswering,
	}[s.Phase]
	if s.EndReason == Completed { // a whole answer that says 500 is an error, not a spoilt answer
		phase = outlier.PhaseAwaiting
	}
	return outlier.Evidence{
		Phase: phase, ConnectionReused: s.Reused, IdleFor: s.IdleFor, ConnectionRefused: s.Refused, LocalShortage: s.LocalFault,
		ActedLateBy: s.LocalDelay,
	}
}

// NeedsResend tells that the step goes out once more, on a new connection: this is still the first time it is sent.
func (s AttemptResult) NeedsResend() bool { return s.Phase == StaleConnection }

// Outcome is what the module hears of the route step. Served is only what came whole and was taken whole. The
// booking server is not blamed for what the client or this agent did, nor for time that the client took.
func (s AttemptResult) Outcome() balancer.Outcome {
	switch {
	case s.Phase <= Writing && s.EndReason == Canceled: // which says nothing of the booking server
		return balancer.Canceled
	case s.Phase <= Writing:
		return balancer.ConnectFailed
	case s.EndReason == Completed && !s.Streamed:
		return s.Response
	case s.EndReason == Completed:
		return balancer.Served
	case s.EndReason == BrokenByEndpoint:
		return balancer.ConnectionLost
	case s.EndReason == InvalidResponse:
		return balancer.ServerError
	case s.EndReason == TimedOut && !s.Progress.Complete && s.Progress.Blocked <= s.Progress.Receiving:
		return balancer.TimedOut
	}
	return balancer.Canceled
}

// IdleEvidence is what the route step proves of connections that stood idle for so long, for IdleLimit.Record:
// that they carry, or, lost, that they don't. Where counts is false it proves nothing.
func (s AttemptResult) IdleEvidence() (stood time.Duration, lost, counts bool) {
	if s.Reused {
		stood = s.IdleFor
	}
	lost = s.Phase > Writing && s.EndReason == BrokenByEndpoint && !s.Streamed
	return stood, lost, s.Phase > Writing && (lost || s.Streamed || s.EndReason == Completed)
}

const (
	// An answer of which the last byte is timed is lost to its client half a second after its time. DelayBefore that
	// it is ended, where the client can tell: at maxShortStall without a byte, and at maxShortOverrun in any case.
	maxShortStall   = 200 * time.Millisecond
	maxShortOverrun = 400 * time.Millisecond
	// maxLongStall is how long after its operation's time an answer that has begun may stand still: what still comes
	// is wanted, however late, and what has stopped would be waited for in vain.
	maxLongStall = 3 * time.Second
	// maxLongOverrun is how long after it such an answer may last at all. Guards against one that trickles for ever.
	maxLongOverrun = 2 * time.Minute
	// minClientBytesPerSecond is how many bytes a second a client must take of an answer that it holds up.
	minClientBytesPerSecond = 16 << 10
)

// checkStart tells whether an answer that is longer than what is held whole may become the operation's, or why
// not. An operation that has its answer has it for good, also where that has only begun.
func checkStart(answered bool, left time.Duration) EndReason {
	switch {
	case answered:
		return NoLongerNeeded
	case left <= 0:
		return TimedOut
	}
	return NotEnded
}

// CheckLimits tells whether an answer that has begun may go on, or why not: sent is how long ago its route step
// was sent, left what is left of its operation's time, quiet how long nothing has come though it could. A
// short answer has to be whole in its time; of a long one and of a stream the first bytes are timed, and a
// booking server that still gives is not cut off. A client may hold up the connection of a booking server for
// as long as that itself has needed since the route step was sent, and lag more, and beyond that while it
// takes a fair number of bytes.
func (p ResponseProgress) CheckLimits(sent, left, quiet, lag time.Duration) EndReason {
	own := sent - p.DelayBefore - p.Blocked
	switch {
	case p.Complete:
		return NotEnded
	case p.isTimedToLastByte() && (left <= 0 && quiet > maxShortStall || left < -maxShortOverrun):
		return TimedOut
	case left <= 0 && quiet > maxLongStall, left < -maxLongOverrun:
		return TimedOut
	case p.Blocked > own+lag && float64(p.Received) < minClientBytesPerSecond*(p.Receiving+p.Blocked).Seconds():
		return ClientTooSlow
	}
	return NotEnded
}
