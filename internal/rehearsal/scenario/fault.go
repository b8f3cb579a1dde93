package scenario

// Fault is a fault of a connection: of an upstream server's answer on the wire, or of a stream.
type Fault string

// The faults of an answer on the wire.
const (
	// NoAccept accepts no connections; those that are open continue.
	NoAccept Fault = "no_accept"
	// SilentHead and SilentBody stop the answer in the middle of its head or body and keep the connection
	// open.
	SilentHead Fault = "silent_head"
	SilentBody Fault = "silent_body"
	// ResetBefore and ResetAfter reset the connection before the answer's first byte or after its last.
	ResetBefore Fault = "reset_before"
	ResetAfter  Fault = "reset_after"
	// Hints sends a 1xx response before the answer.
	Hints Fault = "hints"
	// TwoAnswers sends the answer twice.
	TwoAnswers Fault = "two_answers"
	// Noise sends bytes that are not HTTP.
	Noise Fault = "noise"
	// EndlessHead sends a head that does not end.
	EndlessHead Fault = "endless_head"
	// CutBody closes the connection in the middle of the body.
	CutBody Fault = "cut_body"
	// OpenBody sends the answer without a length and resets the connection in the middle of the body.
	OpenBody Fault = "open_body"
	// HalfClose closes the server's side after the answer while the server still reads.
	HalfClose Fault = "half_close"
	// SlowReader reads the request so slowly that its last byte is read late.
	SlowReader Fault = "slow_reader"
	// Forgets drops the connection's state on the server's machine after the answer, without notice.
	Forgets Fault = "forgets"
)

// Faults lists all faults of an answer.
var Faults = []Fault{
	NoAccept, SilentHead, SilentBody, ResetBefore, ResetAfter, Hints, TwoAnswers, Noise,
	EndlessHead, CutBody, OpenBody, HalfClose, SlowReader, Forgets,
}

// The faults of streams. Data that cannot pass waits and passes when the fault is over.
const (
	// StreamSilent passes nothing in either direction; connections can be opened and stay open.
	StreamSilent Fault = "silent"
	// StreamReset resets open connections and each new one.
	StreamReset Fault = "reset"
	// StreamFromAgent passes only data from the agent, StreamToAgent only data to the agent.
	StreamFromAgent Fault = "from_agent"
	StreamToAgent   Fault = "to_agent"
)

// StreamFaults lists all faults of streams.
var StreamFaults = []Fault{StreamSilent, StreamReset, StreamFromAgent, StreamToAgent}

// FaultEffect is the effect of a fault on the attempt that meets it.
type FaultEffect uint8

// The effects: none, no complete answer in time, a connection that breaks before the answer is complete, an
// unreadable answer, and a complete answer after which the connection is unusable.
const (
	Harmless FaultEffect = iota
	Unanswered
	Breaks
	Spoils
	LastAnswer
)

// Effect returns the effect of the fault on an attempt.
func (f Fault) Effect() FaultEffect {
	switch f {
	case SilentHead, SilentBody:
		return Unanswered
	case ResetBefore, CutBody, OpenBody:
		return Breaks
	case Noise, EndlessHead:
		return Spoils
	case ResetAfter, TwoAnswers, HalfClose:
		return LastAnswer
	}
	return Harmless
}
