// Package outlier tells which booking servers are well, suspect or down, by how attempts at them end.
//
// It does no input or output, and knows no clock: every call brings the time. A Detector is told of each
// attempt's start and end, and judges a server against what is usual over the fleet at the time, cause by
// cause: what all suffer is no server's fault. The same calls give the same verdicts. A Detector is not safe
// for concurrent use.
package outlier

import "time"

// Outcome is how an attempt ended, as its outcome alone tells.
type Outcome uint8

// The ends.
const (
	Answered       Outcome = iota
	ServerError            // the server said that it failed
	Rejected               // the server would not begin it: never ran
	TimedOut               // no answer when its time was up
	NotSent                // no connection came up, or it broke before the last byte was written: never ran
	ConnectionLost         // the connection ended after that
	NoEvidence             // called off, or never tried: says nothing
)

// Phase is how far an attempt came.
type Phase uint8

// The phases.
const (
	PhaseUnknown    Phase = iota
	PhaseConnecting       // no connection came up
	PhaseWriting          // it was not written whole
	PhaseAwaiting         // written whole, and nothing of an answer came
	PhaseAnswering        // within the answer
)

// Evidence is what the transport knows of an attempt beyond its outcome. The zero value says nothing, as the
// simulator's adapter must.
type Evidence struct {
	Phase             Phase
	ConnectionReused  bool          // the connection had carried an attempt before
	IdleFor           time.Duration // for how long it had then stood idle
	ConnectionRefused bool          // the machine answered that nothing listens there
	LocalShortage     bool          // the agent itself was short of something, such as descriptors
	ActedLateBy       time.Duration // by how much the agent was late to act when the attempt's time was up
}

// cause is what an attempt's end is evidence of. The causes are weighed apart.
type cause uint8

const (
	causeConnectionRefused cause = iota // a dead process on a live machine: hardly ever by chance
	causeConnectTimeout                 // a connect that never came up
	causeStaleConnection                // a reset of a reused connection that had stood idle: likely the connection's fault
	causeConnectionReset                // the connection broke on the way or in the answer
	causeServerError
	causeInvalidResponse
	causeNoResponse   // no answer to anything, for longer than its answers take
	causeLateResponse // no answer in time, by a server that answers others, or answers slowly
	causeRejected
	causeCount
	causeNone // no evidence against the server: answered, void, or the agent's own fault
)

// Below these shares nothing is taken for usual, so that the first failures after a quiet hour prove little
// by themselves: two refused connects, or three failures of another cause, take a server down.
var minUsualRatio = [causeCount]float64{
	causeConnectionRefused: 0.0008, causeConnectTimeout: 0.007, causeStaleConnection: 0.3, causeConnectionReset: 0.007,
	causeServerError: 0.007, causeInvalidResponse: 0.007, causeNoResponse: 0.007, causeLateResponse: 0.02, causeRejected: 0.02,
}

var causeNames = [causeCount]string{
	causeConnectionRefused: "refused", causeConnectTimeout: "not connected", causeStaleConnection: "lost while idle",
	causeConnectionReset: "reset", causeServerError: "failed", causeInvalidResponse: "spoilt", causeNoResponse: "unanswered", causeLateResponse: "late",
	causeRejected: "turned away",
}

const (
	staleAfterIdle       = 50 * time.Millisecond  // a connection that stood idle for less was surely still alive
	maxLateness          = 100 * time.Millisecond // an agent that wakes up later than this proves nothing about others
	quickFailureFraction = 0.25                   // of the wait allowed: a connect that failed sooner was refused
)

// cause weighs the end of an attempt. Without word from the transport a quick failure to connect is taken for
// a refused one. Whether a time-out is silence or waiting is for the detector
// to tell. The times are in seconds.
func (e *Evidence) cause(end Outcome, took, allowed float64) cause {
	switch {
	case e.LocalShortage || e.ActedLateBy > maxLateness:
		return causeNone
	case end == ServerError && e.Phase == PhaseAnswering:
		return causeInvalidResponse
	case end == ServerError:
		return causeServerError
	case end == Rejected:
		return causeRejected
	case end == TimedOut && e.Phase == PhaseConnecting:
		return causeConnectTimeout
	case end == TimedOut:
		return causeNoResponse
	case end == NotSent && e.Phase == PhaseWriting || end == ConnectionLost:
		if e.ConnectionReused && e.IdleFor >= staleAfterIdle && e.Phase != PhaseAnswering {
			return causeStaleConnection
		}
		return causeConnectionReset
	case end == NotSent && (e.ConnectionRefused || e.Phase == PhaseUnknown && took < quickFailureFraction*allowed):
		return causeConnectionRefused
	case end == NotSent:
		return causeConnectTimeout
	}
	return causeNone
}
