package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
)

// EndReason is how an attempt ended, or why this agent is to end it. As an error it is the cause of a
// context.
type EndReason uint8

// The reasons.
const (
	NotEnded         EndReason = iota
	Completed                  // the answer came completely; one that had begun was also read completely
	BrokenByEndpoint           // the endpoint closed the connection
	InvalidResponse            // what came is no answer, or not its rest
	TimedOut                   // also where that is known beforehand
	ClientLeft                 // or read nothing for too long
	ClientTooSlow              // reads its answer so slowly that it holds up the endpoint
	NoMemory                   // no memory for the body came free in time
	NoLongerNeeded             // the request has its answer, or its client has left
	Canceled                   // by the decision module
	AgentStopping
)

func (e EndReason) Error() string {
	return [...]string{
		NotEnded: "not ended", Completed: "complete", BrokenByEndpoint: "connection closed by the endpoint",
		InvalidResponse: "invalid response", TimedOut: "timed out", ClientLeft: "the client has left",
		ClientTooSlow: "the client reads its answer too slowly", NoMemory: "no memory for the body",
		NoLongerNeeded: "no longer needed", Canceled: "canceled", AgentStopping: "the agent is stopping",
	}[e]
}

// AttemptPhase is how far an attempt came on its connection.
type AttemptPhase uint8

// The phases. Up to Writing the endpoint cannot have processed the request, from AwaitingResponse on it may
// have.
const (
	Connecting       AttemptPhase = iota // no connection came up, or none could be made
	StaleConnection                      // the reused connection had ended before anything was written to it
	Writing                              // not written completely
	AwaitingResponse                     // written completely, and nothing came back
	Responding                           // an answer came, or a part of it
)

// AttemptResult is what was seen of an attempt that has ended, by whoever carried it out.
type AttemptResult struct {
	Phase     AttemptPhase
	EndReason EndReason
	Response  balancer.Outcome // by an answer that came completely and was not passed on as it came
	Streamed  bool             // the answer was being passed on as it came
	Progress  ResponseProgress
	Latency   time.Duration // the time that the endpoint took, or that it was given
	Reused    bool          // else the connection was new
	IdleFor   time.Duration // idle before it was reused
	Refused   bool          // the connection, by the endpoint's machine: nothing listens there
	// no connection, for lack of something on this side, or the client stopped sending
	LocalFault   bool
	BodyConsumed bool          // a part of the request's body was passed on and is gone: it can't be sent again
	LocalDelay   time.Duration // by how much this side was late to end it
}

// IsUnanswered reports whether a reused connection brought no answer at all, for Pool.ReleaseUnanswered.
func (s AttemptResult) IsUnanswered() bool {
	return s.Reused && s.Phase == AwaitingResponse && s.EndReason == TimedOut
}

// Evidence is what the decision module gets to know beyond the outcome.
func (s AttemptResult) Evidence() outlier.Evidence {
	phase := [...]outlier.Phase{
		Connecting: outlier.PhaseConnecting, StaleConnection: outlier.PhaseConnecting,
		Writing:          outlier.PhaseWriting,
		AwaitingResponse: outlier.PhaseAwaiting, Responding: outlier.PhaseAnswering,
	}[s.Phase]
	if s.EndReason == Completed { // a complete answer that says 500 is an error, not an invalid answer
		phase = outlier.PhaseAwaiting
	}
	return outlier.Evidence{
		Phase:             phase,
		ConnectionReused:  s.Reused,
		IdleFor:           s.IdleFor,
		ConnectionRefused: s.Refused,
		LocalShortage:     s.LocalFault,
		ActedLateBy:       s.LocalDelay,
	}
}

// NeedsResend reports whether the attempt is sent again on a new connection: it has not been sent yet.
func (s AttemptResult) NeedsResend() bool { return s.Phase == StaleConnection }

// Outcome is the outcome for the decision module. Served is only what came completely and was read
// completely. The endpoint is not blamed for what the client or this agent did, nor for time that the client
// took.
func (s AttemptResult) Outcome() balancer.Outcome {
	switch {
	case s.Phase <= Writing && s.EndReason == Canceled: // which says nothing of the endpoint
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

// IdleEvidence is what the attempt proves of connections that were idle for so long, for IdleLimit.Record:
// that they work or, lost, that they don't. Where counts is false it proves nothing.
func (s AttemptResult) IdleEvidence() (idle time.Duration, lost, counts bool) {
	if s.Reused {
		idle = s.IdleFor
	}
	lost = s.Phase > Writing && s.EndReason == BrokenByEndpoint && !s.Streamed
	return idle, lost, s.Phase > Writing && (lost || s.Streamed || s.EndReason == Completed)
}
