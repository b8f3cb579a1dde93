package core

import (
	"time"

	"dunestep/decide"
	"dunestep/health"
	"dunestep/internal/protocol"
)

// Ending is how a route step ended, or why this agent is to end it. As an error it is the cause of a context.
type Ending uint8

// The endings.
const (
	GoesOn     Ending = iota
	Completed         // the answer came whole; one that had begun was taken whole too
	BrokenOff         // by the booking server
	Spoilt            // what came can't be an answer, or its rest
	OutOfTime         // also where that is known before
	ClientLeft        // or took nothing for too long
	ClientLags        // takes its answer so slowly that it holds up the booking server
	NoMemory          // none came free for the body in time
	NotNeeded         // the operation has its answer, or its client has gone
	CalledOff         // by the module
	AgentEnds
)

func (e Ending) Error() string {
	return [...]string{
		"goes on", "whole", "broken off", "spoilt", "its time is up", "the client has left",
		"the client takes its answer too slowly", "no memory came free", "it is not needed", "called off",
		"the agent is ending",
	}[e]
}

// Phase is how far a route step came on its connection.
type Phase uint8

// The phases. Up to Writing the booking server cannot have run the operation, from Waiting on it may have.
const (
	Connecting Phase = iota // no connection came up, or none was to be had
	Unused                  // the reused connection had ended before anything was written to it
	Writing                 // not written whole
	Waiting                 // written whole, and nothing came back
	Answering               // an answer came, or a part of it
)

// Progress is how far the body of an answer has come.
type Progress struct {
	Length int64         // announced, in bytes; below zero: not known
	Came   int64         // bytes so far
	Before time.Duration // held up before it could begin to come, by this side
	HeldUp time.Duration // held up since then, because earlier bytes were not taken
	Coming time.Duration // since the first byte, less HeldUp
	Whole  bool          // all of it has come
	Stream bool          // its class is streamed: only its first bytes are timed, however short it is
}

// timedWhole tells whether the answer is one whose last byte has to come in its request's time: it was
// announced as no longer than what is timed so. Of a longer one, and of a stream, only the first bytes are
// timed; one whose length was not told may turn out to be longer.
func (p Progress) timedWhole() bool {
	return !p.Stream && p.Length >= 0 && p.Length <= protocol.MaxBody
}

// Sighting is what was seen of a route step that has ended, by whoever carried it out.
type Sighting struct {
	Phase   Phase
	Ending  Ending
	Reply   decide.Outcome // what an answer says that came whole and had not begun before
	Begun   bool           // the answer was being passed on as it came
	Body    Progress
	Latency time.Duration // the time that the booking server took, or that it was given
	Reused  bool          // else the connection was a new one
	Stood   time.Duration // idle before it was reused
	Refused bool          // the booking server's machine: nothing listens there
	Ours    bool          // no connection, for want of something on this side, or the client stopped sending
	Spent   bool          // a part of the operation was passed on that is gone: it can't be sent again
	Late    time.Duration // by how much this side was late to act when its time was up
}

// Silent tells that a reused connection gave no answer at all, for Pool.OverSilent.
func (s Sighting) Silent() bool { return s.Reused && s.Phase == Waiting && s.Ending == OutOfTime }

// Evidence is what the route step tells the module beyond its outcome.
func (s Sighting) Evidence() health.Evidence {
	phase := [...]health.Phase{
		Connecting: health.Connecting, Unused: health.Connecting, Writing: health.Writing,
		Waiting: health.Awaiting, Answering: health.Answering,
	}[s.Phase]
	if s.Ending == Completed { // a whole answer that says 500 is an error, not a spoilt answer
		phase = health.Awaiting
	}
	return health.Evidence{
		Phase: phase, Reused: s.Reused, Idle: s.Stood, Refused: s.Refused, Ours: s.Ours,
		Late: s.Late,
	}
}

// Again tells that the step goes out once more, on a new connection: this is still the first time it is sent.
func (s Sighting) Again() bool { return s.Phase == Unused }

// Outcome is what the module hears of the route step. Served is only what came whole and was taken whole. The
// booking server is not blamed for what the client or this agent did, nor for time that the client took.
func (s Sighting) Outcome() decide.Outcome {
	switch {
	case s.Phase <= Writing && s.Ending == CalledOff: // which says nothing of the booking server
		return decide.CalledOff
	case s.Phase <= Writing:
		return decide.NoConnection
	case s.Ending == Completed && !s.Begun:
		return s.Reply
	case s.Ending == Completed:
		return decide.Served
	case s.Ending == BrokenOff:
		return decide.ConnectionLost
	case s.Ending == Spoilt:
		return decide.ServerError
	case s.Ending == OutOfTime && !s.Body.Whole && s.Body.HeldUp <= s.Body.Coming:
		return decide.NoAnswer
	}
	return decide.CalledOff
}

// Connection is what the route step proves of connections that stood idle for so long, for IdleLimit.Note:
// that they carry, or, lost, that they don't. Where counts is false it proves nothing.
func (s Sighting) Connection() (stood time.Duration, lost, counts bool) {
	if s.Reused {
		stood = s.Stood
	}
	lost = s.Phase > Writing && s.Ending == BrokenOff && !s.Begun
	return stood, lost, s.Phase > Writing && (lost || s.Begun || s.Ending == Completed)
}

const (
	// An answer of which the last byte is timed is lost to its client half a second after its time. Before that
	// it is ended, where the client can tell: at stillMost without a byte, and at lateMost in any case.
	stillMost = 200 * time.Millisecond
	lateMost  = 400 * time.Millisecond
	// restWait is how long after its operation's time an answer that has begun may stand still: what still comes
	// is wanted, however late, and what has stopped would be waited for in vain.
	restWait = 3 * time.Second
	// restMost is how long after it such an answer may last at all. Guards against one that trickles for ever.
	restMost = 2 * time.Minute
	// leastTaken is how many bytes a second a client must take of an answer that it holds up.
	leastTaken = 16 << 10
)

// mayBegin tells whether an answer that is longer than what is held whole may become the operation's, or why
// not. An operation that has its answer has it for good, also where that has only begun.
func mayBegin(answered bool, left time.Duration) Ending {
	switch {
	case answered:
		return NotNeeded
	case left <= 0:
		return OutOfTime
	}
	return GoesOn
}

// MayGoOn tells whether an answer that has begun may go on, or why not: sent is how long ago its route step
// was sent, left what is left of its operation's time, quiet how long nothing has come though it could. A
// short answer has to be whole in its time; of a long one and of a stream the first bytes are timed, and a
// booking server that still gives is not cut off. A client may hold up the connection of a booking server for
// as long as that itself has needed since the route step was sent, and lag more, and beyond that while it
// takes a fair number of bytes.
func (p Progress) MayGoOn(sent, left, quiet, lag time.Duration) Ending {
	own := sent - p.Before - p.HeldUp
	switch {
	case p.Whole:
		return GoesOn
	case p.timedWhole() && (left <= 0 && quiet > stillMost || left < -lateMost):
		return OutOfTime
	case left <= 0 && quiet > restWait, left < -restMost:
		return OutOfTime
	case p.HeldUp > own+lag && float64(p.Came) < leastTaken*(p.Coming+p.HeldUp).Seconds():
		return ClientLags
	}
	return GoesOn
}
