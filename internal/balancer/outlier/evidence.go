package outlier

import "time"

// Outcome is how an attempt ended, by its result alone.
type Outcome uint8

// The outcomes.
const (
	Answered       Outcome = iota
	ServerError            // the server said that it failed, or its response was invalid
	Rejected               // the server would not begin it: never ran
	TimedOut               // no response in time
	NotSent                // no connection came up, or it broke before the last byte was written: never ran
	ConnectionLost         // the connection ended after that
	NoEvidence             // canceled or never tried: says nothing of the server
)

// Phase is how far an attempt got.
type Phase uint8

// The phases.
const (
	PhaseUnknown    Phase = iota
	PhaseConnecting       // no connection came up
	PhaseWriting          // the request was not completely written
	PhaseAwaiting         // the request was written, and nothing of a response came
	PhaseAnswering        // within the response
)

// Evidence is what the transport knows of an attempt beyond its outcome. The zero value says nothing, as in
// the simulator.
type Evidence struct {
	Phase             Phase
	ConnectionReused  bool          // the connection had carried an attempt before
	IdleFor           time.Duration // for how long it had been idle then
	ConnectionRefused bool          // the machine said that nothing listens there
	LocalShortage     bool          // the agent itself was short of something, such as descriptors
	ActedLateBy       time.Duration // by how much the agent was late to act when the attempt's time was up
}

// cause is what the end of an attempt is evidence of. Each cause is weighed apart. The order is that of the
// stored counts by cause: Snapshot.EndsByCause.
type cause uint8

const (
	causeConnectionRefused cause = iota // a dead process on a live machine: hardly ever by chance
	causeConnectTimeout                 // a connect that never came up
	causeStaleConnection                // a reset of a reused connection that was idle, likely its own fault
	causeConnectionReset                // the connection broke, before or within the response
	causeServerError
	causeInvalidResponse
	causeNoResponse   // no response to anything, for longer than its responses take
	causeLateResponse // no response in time, by a server that answers others, or answers slowly
	causeRejected
	causeCount
	causeNone // no evidence against the server: answered, canceled, or the agent's own shortage
)

// causeNames stand in log lines, behind a number of attempts.
var causeNames = [causeCount]string{
	causeConnectionRefused: "refused", causeConnectTimeout: "not connected",
	causeStaleConnection: "lost while idle", causeConnectionReset: "reset", causeServerError: "failed",
	causeInvalidResponse: "invalid", causeNoResponse: "unanswered", causeLateResponse: "late",
	causeRejected: "rejected",
}

const (
	staleAfterIdle       = 50 * time.Millisecond  // a connection that was idle for less was surely still alive
	maxLateness          = 100 * time.Millisecond // an agent that acts later than this learns nothing of servers
	quickFailureFraction = 0.25                   // of the timeout: a connect that failed sooner was refused
)

// cause finds what the end of an attempt is evidence of. Where the transport says nothing, a quick failure to
// connect is taken for a refused one. Whether a timeout is causeNoResponse or causeLateResponse is for the
// detector to tell. The times are in seconds.
func (e *Evidence) cause(outcome Outcome, took, timeout float64) cause {
	if e.LocalShortage || e.ActedLateBy > maxLateness {
		return causeNone
	}
	switch outcome {
	case ServerError:
		if e.Phase == PhaseAnswering {
			return causeInvalidResponse
		}
		return causeServerError
	case Rejected:
		return causeRejected
	case TimedOut:
		if e.Phase == PhaseConnecting {
			return causeConnectTimeout
		}
		return causeNoResponse
	case ConnectionLost:
		return e.lostConnectionCause()
	case NotSent:
		switch {
		case e.Phase == PhaseWriting:
			return e.lostConnectionCause()
		case e.ConnectionRefused || e.Phase == PhaseUnknown && took < quickFailureFraction*timeout:
			return causeConnectionRefused
		}
		return causeConnectTimeout
	}
	return causeNone
}

// lostConnectionCause distinguishes a connection that had gone stale from one that broke.
func (e *Evidence) lostConnectionCause() cause {
	if e.ConnectionReused && e.IdleFor >= staleAfterIdle && e.Phase != PhaseAnswering {
		return causeStaleConnection
	}
	return causeConnectionReset
}
