package scenario

// ConnFault is a fault of a connection: of an upstream server's answer on the wire, or of a stream.
type ConnFault string

// The faults of an answer on the wire.
const (
	// NoAccept accepts no connections; those that are open continue.
	NoAccept ConnFault = "no_accept"
	// SilentHead and SilentBody stop the answer in the middle of its head or body and keep the connection
	// open.
	SilentHead ConnFault = "silent_head"
	SilentBody ConnFault = "silent_body"
	// ResetBefore and ResetAfter reset the connection before the answer's first byte or after its last.
	ResetBefore ConnFault = "reset_before"
	ResetAfter  ConnFault = "reset_after"
	// InformationalAnswer sends a 1xx response before the answer.
	InformationalAnswer ConnFault = "hints"
	// TwoAnswers sends the answer twice.
	TwoAnswers ConnFault = "two_answers"
	// Noise sends bytes that are not HTTP.
	Noise ConnFault = "noise"
	// EndlessHead sends a head that does not end.
	EndlessHead ConnFault = "endless_head"
	// CutBody closes the connection in the middle of the body.
	CutBody ConnFault = "cut_body"
	// UnboundedBody sends the answer without a length and resets the connection in the middle of the body.
	UnboundedBody ConnFault = "open_body"
	// HalfClose closes the server's side after the answer while the server still reads.
	HalfClose ConnFault = "half_close"
	// SlowReader reads the request so slowly that its last byte is read late.
	SlowReader ConnFault = "slow_reader"
	// DropsConnection drops the connection's state on the server's machine after the answer, without notice.
	DropsConnection ConnFault = "forgets"
)

// AnswerFaults lists all faults of an answer.
var AnswerFaults = []ConnFault{
	NoAccept, SilentHead, SilentBody, ResetBefore, ResetAfter, InformationalAnswer, TwoAnswers, Noise,
	EndlessHead, CutBody, UnboundedBody, HalfClose, SlowReader, DropsConnection,
}

// The faults of streams. Data that cannot pass waits and passes when the fault is over.
const (
	// StreamSilent passes nothing in either direction; connections can be opened and stay open.
	StreamSilent ConnFault = "silent"
	// StreamReset resets open connections and each new one.
	StreamReset ConnFault = "reset"
	// StreamFromAgent passes only data from the agent, StreamToAgent only data to the agent.
	StreamFromAgent ConnFault = "from_agent"
	StreamToAgent   ConnFault = "to_agent"
)

// StreamFaults lists all faults of streams.
var StreamFaults = []ConnFault{StreamSilent, StreamReset, StreamFromAgent, StreamToAgent}

// FaultEffect is the effect of a fault on the attempt that meets it.
type FaultEffect uint8

// The effects: none, no complete answer in time, a connection that breaks before the answer is complete, an
// unreadable answer, and a complete answer after which the connection is unusable.
const (
	Harmless FaultEffect = iota
	Unanswered
	BreaksConnection
	Unreadable
	LastAnswer
)

// Effect returns the effect of the fault on an attempt.
func (f ConnFault) Effect() FaultEffect {
	switch f {
	case SilentHead, SilentBody:
		return Unanswered
	case ResetBefore, CutBody, UnboundedBody:
		return BreaksConnection
	case Noise, EndlessHead:
		return Unreadable
	case ResetAfter, TwoAnswers, HalfClose:
		return LastAnswer
	}
	return Harmless
}
