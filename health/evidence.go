// Package health tells which booking servers are well, suspect or down, by how attempts at them end.
//
// It does no input or output, and knows no clock: every call brings the time. A Detector is told of each
// attempt's start and end, and judges a server against what is usual over the fleet at the time, cause by
// cause: what all suffer is no server's fault. The same calls give the same verdicts. A Detector is not safe
// for concurrent use.
package health

import "time"

// End is how an attempt ended, as its outcome alone tells.
type End uint8

// The ends.
const (
	Answered   End = iota
	Errored        // the server said that it failed
	TurnedAway     // the server would not begin it: never ran
	TimedOut       // no answer when its time was up
	Unsent         // no connection came up, or it broke before the last byte was written: never ran
	Lost           // the connection ended after that
	Void           // called off, or never tried: says nothing
)

// Phase is how far an attempt came.
type Phase uint8

// The phases.
const (
	Unknown    Phase = iota
	Connecting       // no connection came up
	Writing          // it was not written whole
	Awaiting         // written whole, and nothing of an answer came
	Answering        // within the answer
)

// Evidence is what the transport knows of an attempt beyond its outcome. The zero value says nothing, as the
// simulator's adapter must.
type Evidence struct {
	Phase   Phase
	Reused  bool          // the connection had carried an attempt before
	Idle    time.Duration // for how long it had then stood idle
	Refused bool          // the machine answered that nothing listens there
	Ours    bool          // the agent itself was short of something, such as descriptors
	Late    time.Duration // by how much the agent was late to act when the attempt's time was up
}

// cause is what an attempt's end is evidence of. The causes are weighed apart.
type cause uint8

const (
	refused     cause = iota // a dead process on a live machine: hardly ever by chance
	unconnected              // a connect that never came up
	stale                    // a reset of a reused connection that had stood idle: likely the connection's fault
	reset                    // the connection broke on the way or in the answer
	errored
	spoilt
	silent  // no answer to anything, for longer than its answers take
	waiting // no answer in time, by a server that answers others, or answers slowly
	turned
	causes
	none // no evidence against the server: answered, void, or the agent's own fault
)

// Below these shares nothing is taken for usual, so that the first failures after a quiet hour prove little
// by themselves: two refused connects, or three failures of another cause, take a server down.
var leastUsual = [causes]float64{
	refused: 0.0008, unconnected: 0.007, stale: 0.3, reset: 0.007,
	errored: 0.007, spoilt: 0.007, silent: 0.007, waiting: 0.02, turned: 0.02,
}

var words = [causes]string{
	refused: "refused", unconnected: "not connected", stale: "lost while idle",
	reset: "reset", errored: "failed", spoilt: "spoilt", silent: "unanswered", waiting: "late",
	turned: "turned away",
}

const (
	staleIdle = 50 * time.Millisecond  // a connection that stood idle for less was surely still alive
	lateMost  = 100 * time.Millisecond // an agent that wakes up later than this proves nothing about others
	quickPart = 0.25                   // of the wait allowed: a connect that failed sooner was refused
)

// cause weighs the end of an attempt. Without word from the transport a quick failure to connect is taken for
// a refused one. Whether a time-out is silence or waiting is for the detector
// to tell. The times are in seconds.
func (e *Evidence) cause(end End, took, allowed float64) cause {
	switch {
	case e.Ours || e.Late > lateMost:
		return none
	case end == Errored && e.Phase == Answering:
		return spoilt
	case end == Errored:
		return errored
	case end == TurnedAway:
		return turned
	case end == TimedOut && e.Phase == Connecting:
		return unconnected
	case end == TimedOut:
		return silent
	case end == Unsent && e.Phase == Writing || end == Lost:
		if e.Reused && e.Idle >= staleIdle && e.Phase != Answering {
			return stale
		}
		return reset
	case end == Unsent && (e.Refused || e.Phase == Unknown && took < quickPart*allowed):
		return refused
	case end == Unsent:
		return unconnected
	}
	return none
}
