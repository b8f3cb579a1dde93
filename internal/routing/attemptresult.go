package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
)

// EndReason is how an attempt ended, or why this agent ends it. As an error it is the cause of
// the attempt's context.
type EndReason uint8

// The reasons.
const (
	NotEnded         EndReason = iota
	Completed                  // the response was received completely; a streamed one was also read completely
	BrokenByEndpoint           // the endpoint closed the connection
	InvalidResponse            // the endpoint's response, or the rest of it, is invalid
	TimedOut                   // the time was over, or known to be too short
	ClientLeft                 // the client disconnected, or read nothing for too long
	ClientTooSlow              // the client reads its response so slowly that it blocks the endpoint
	NoMemory                   // no memory for the body became available in time
	NoLongerNeeded             // the request has its response, or its client has left
	Canceled                   // by the decision module, or unsent when it was no longer needed
	AgentStopping
)

func (e EndReason) Error() string {
	return [...]string{
		NotEnded: "not ended", Completed: "complete", BrokenByEndpoint: "connection closed by the endpoint",
		InvalidResponse: "invalid response", TimedOut: "timed out", ClientLeft: "the client has left",
		ClientTooSlow: "the client reads the response too slowly", NoMemory: "no memory for the body",
		NoLongerNeeded: "no longer needed", Canceled: "canceled", AgentStopping: "the agent is stopping",
	}[e]
}

// AttemptPhase is the phase that an attempt reached on its connection.
type AttemptPhase uint8

// The phases. Up to Writing the endpoint cannot have processed the request, from
// AwaitingResponse on it may have.
const (
	Connecting       AttemptPhase = iota // no connection was established
	StaleConnection                      // the reused connection had ended before anything was written to it
	Writing                              // the request was not written completely
	AwaitingResponse                     // the request was written completely, and nothing was received
	Responding                           // a response was received, completely or in part
)

// AttemptResult is what the caller that carried out an attempt observed of it until its end.
type AttemptResult struct {
	Phase     AttemptPhase
	EndReason EndReason
	Response  balancer.Outcome // outcome of a response that was received completely and not streamed
	Streamed  bool             // the response was forwarded to the client while it was received
	Progress  ResponseProgress
	Latency   time.Duration // time that the endpoint took, or that it was given
	Reused    bool          // the connection was reused, not new
	IdleFor   time.Duration // idle time of the connection before it was reused
	Refused   bool          // the endpoint's machine refused the connection: nothing listens there
	// LocalFault means that this agent lacked a resource or did not write, or that the client stopped
	// sending.
	LocalFault bool
	// WasBeingTaken means that the time was over while the endpoint was taking the request: it says nothing of
	// how fast the endpoint responds.
	WasBeingTaken bool
	BodyConsumed  bool          // a part of the request's body is no longer buffered: it can't be sent again
	LocalDelay    time.Duration // time by which this agent was late to end the attempt
}

// IsUnanswered reports whether the attempt timed out on a reused connection without any byte of a response,
// for Pool.ReleaseUnanswered.
func (s AttemptResult) IsUnanswered() bool {
	return s.Reused && s.Phase == AwaitingResponse && s.EndReason == TimedOut
}

// Evidence returns what the decision module learns of the attempt beyond its outcome.
func (s AttemptResult) Evidence() outlier.Evidence {
	phase := [...]outlier.Phase{
		Connecting: outlier.PhaseConnecting, StaleConnection: outlier.PhaseConnecting,
		Writing:          outlier.PhaseWriting,
		AwaitingResponse: outlier.PhaseAwaiting, Responding: outlier.PhaseAnswering,
	}[s.Phase]
	if s.isHeadOnly() { // the endpoint has shown that it runs, not that it answers
		phase = outlier.PhaseAwaiting
	}
	if s.EndReason == Completed { // a complete response with status 500 is an error, not an invalid response
		phase = outlier.PhaseAwaiting
	}
	return outlier.Evidence{
		Phase:             phase,
		ConnectionReused:  s.Reused,
		IdleFor:           s.IdleFor,
		ConnectionRefused: s.Refused,
		LocalShortage:     s.LocalFault || s.WasBeingTaken,
		ActedLateBy:       s.LocalDelay,
	}
}

// isHeadOnly reports whether this agent ended the attempt when nothing but the head of the response had come.
func (s AttemptResult) isHeadOnly() bool {
	return s.Phase == Responding && s.Progress.Received == 0 && s.EndReason != BrokenByEndpoint &&
		s.EndReason != InvalidResponse
}

// NeedsResend reports whether the attempt must use a new connection: nothing was written on the reused one.
func (s AttemptResult) NeedsResend() bool { return s.Phase == StaleConnection }

// Outcome returns the attempt's outcome for the decision module. It is Served only for a response that was
// received completely and, if streamed, read completely. The endpoint is not blamed for what the client or
// this agent did, nor for time that the client took.
func (s AttemptResult) Outcome() balancer.Outcome {
	switch {
	case s.Phase <= Writing && s.EndReason == Canceled: // no evidence about the endpoint
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

// IdleEvidence returns the arguments of IdleLimit.Record: how long the connection was idle before the
// attempt, zero for a new one, and whether the attempt was lost on it. counts is false if the attempt shows
// nothing about idle connections and must not be recorded.
func (s AttemptResult) IdleEvidence() (idle time.Duration, lost, counts bool) {
	if s.Reused {
		idle = s.IdleFor
	}
	lost = s.Phase > Writing && s.EndReason == BrokenByEndpoint && !s.Streamed
	return idle, lost, s.Phase > Writing && (lost || s.Streamed || s.EndReason == Completed)
}
