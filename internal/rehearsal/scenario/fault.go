package scenario

// Fault is what goes wrong with a booking server's answer on the wire.
type Fault string

// The faults of the wire.
const (
	// NoAccept: connections are not accepted; those that are open go on.
	NoAccept Fault = "no_accept"
	// SilentHead and SilentBody: the answer stops in the middle of its head or body, and the connection stays.
	SilentHead Fault = "silent_head"
	SilentBody Fault = "silent_body"
	// ResetBefore and ResetAfter: the connection is reset before the answer's first byte, or after its last.
	ResetBefore Fault = "reset_before"
	ResetAfter  Fault = "reset_after"
	// Hints: a 1xx comes before the answer.
	Hints Fault = "hints"
	// TwoAnswers: the answer comes twice.
	TwoAnswers Fault = "two_answers"
	// Noise: what comes is no HTTP.
	Noise Fault = "noise"
	// EndlessHead: a head that does not end.
	EndlessHead Fault = "endless_head"
	// CutBody: the connection ends in the middle of the body.
	CutBody Fault = "cut_body"
	// OpenBody: the answer has no length, and the connection is reset in the middle of the body.
	OpenBody Fault = "open_body"
	// HalfClose: the server closes its side after the answer, and still reads.
	HalfClose Fault = "half_close"
	// SlowReader: the server takes the request so slowly that its last byte is read late.
	SlowReader Fault = "slow_reader"
	// Forgets: the server's machine forgets the connection after the answer, without a word.
	Forgets Fault = "forgets"
)

// Faults are all faults.
var Faults = []Fault{
	NoAccept, SilentHead, SilentBody, ResetBefore, ResetAfter, Hints, TwoAnswers, Noise,
	EndlessHead, CutBody, OpenBody, HalfClose, SlowReader, Forgets,
}

// The faults of streams. What can't pass waits, and passes when the fault is over.
const (
	// StreamSilent: nothing passes either way; connections come up, and those that are open stay so.
	StreamSilent Fault = "silent"
	// StreamReset: connections are reset, and so is each new one.
	StreamReset Fault = "reset"
	// StreamFromAgent and StreamToAgent: only what the agent says passes, or only what it is told.
	StreamFromAgent Fault = "from_agent"
	StreamToAgent   Fault = "to_agent"
)

// StreamFaults are all faults of streams.
var StreamFaults = []Fault{StreamSilent, StreamReset, StreamFromAgent, StreamToAgent}

// FaultEffect is what a fault comes to for the route step that meets it.
type FaultEffect uint8

// The effects: none, no whole answer within its time, a connection that broke before the answer was whole, an
// answer that can't be read, and one after which the connection is of no more use.
const (
	Harmless FaultEffect = iota
	Unanswered
	Breaks
	Spoils
	LastAnswer
)

// Effect is what the fault comes to.
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
