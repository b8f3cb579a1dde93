package outlier

import "time"

// Outcome is how an attempt ended, as seen from its result alone.
type Outcome uint8

// The outcomes.
const (
	Answered       Outcome = iota
	ServerError            // the server reported a failure or sent an invalid response
	Rejected               // the server rejected the request without processing it
	TimedOut               // no response before the timeout
	ConnectFailed          // no connection, or it broke before the last byte was written; not processed
	ConnectionLost         // the connection broke after the last byte was written
	NoEvidence             // canceled or never sent: no information about the server
)

// Phase is the last phase that an attempt reached.
type Phase uint8

// The phases.
const (
	PhaseUnknown    Phase = iota
	PhaseConnecting       // no connection established
	PhaseWriting          // request not completely written
	PhaseAwaiting         // request written, no byte of a response received
	PhaseAnswering        // response partly received
)

// Evidence is what the transport observed of an attempt in addition to its outcome. The zero value contains
// no observation, as in the simulator.
type Evidence struct {
	Phase             Phase
	ConnectionReused  bool          // the connection had carried an earlier attempt
	IdleFor           time.Duration // idle time of a reused connection before the attempt
	ConnectionRefused bool          // the host reported that nothing listens at the address
	LocalShortage     bool          // the agent itself lacked a resource, such as file descriptors
	ActedLateBy       time.Duration // delay between the attempt's timeout and the agent's reaction
}

// cause is the cause of a failure. Each cause has a usual ratio of its own. The order of the constants is the
// order of the stored counts, Snapshot.RecentByCause.
type cause uint8

const (
	causeConnectionRefused cause = iota // as by a dead process on a running host; rarely by chance
	causeConnectTimeout                 // no connection established
	causeStaleConnection                // reset of an idle, reused connection: likely no fault of the server
	causeConnectionReset                // the connection broke before or within the response
	causeServerError
	causeInvalidResponse
	causeNoResponse   // no response to any attempt for longer than responses take
	causeLateResponse // no response in time from a server that answers others
	causeRejected
	causeCount
	causeNone // no evidence against the server: answered, canceled, or a shortage of the agent
)

// causeNames are the causes as they appear in log lines, after a number of attempts.
var causeNames = [causeCount]string{
	causeConnectionRefused: "refused", causeConnectTimeout: "not connected",
	causeStaleConnection: "lost while idle", causeConnectionReset: "reset", causeServerError: "failed",
	causeInvalidResponse: "invalid", causeNoResponse: "unanswered", causeLateResponse: "late",
	causeRejected: "rejected",
}

const (
	staleAfterIdle       = 50 * time.Millisecond  // minimum idle time of a stale connection
	maxLateness          = 100 * time.Millisecond // a timeout that the agent handles later is no evidence
	quickFailureFraction = 0.25                   // timeout fraction; quicker connect failures count as refused
)

// IsLocal reports whether the end of an attempt may be due to the agent itself.
func (e *Evidence) IsLocal() bool { return e.LocalShortage || e.ActedLateBy > maxLateness }

// cause returns the cause of an attempt's failure, or causeNone if its end is no evidence against the server.
// Without observations of the transport, a quick connect failure counts as refused. A timeout without a
// response is causeNoResponse; the detector decides whether it is causeLateResponse. Times are in seconds.
func (e *Evidence) cause(outcome Outcome, took, timeout float64) cause {
	if e.IsLocal() {
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
	case ConnectFailed:
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

// lostConnectionCause returns causeStaleConnection or causeConnectionReset for a lost connection.
func (e *Evidence) lostConnectionCause() cause {
	if e.ConnectionReused && e.IdleFor >= staleAfterIdle && e.Phase != PhaseAnswering {
		return causeStaleConnection
	}
	return causeConnectionReset
}
