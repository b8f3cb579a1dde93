// Package probation says what may be sent to the servers of a list that nobody has confirmed: one kept from
// before a restart, while discovery can't be asked. Any of them may be gone, silent, cold or another program
// by now.
//
// Each server starts with room for very little at a time. Every answer doubles that, and a few in a row prove
// the server. The first to go are requests that may be repeated, and each of them for a part of its time
// only: what comes of a bad server is a second attempt in time, and not a patient without an answer.
//
// It does no input or output, and knows no clock: every call brings the time. The same calls give the same
// answers. A Server is not safe for concurrent use.
package probation

import "time"

const (
	// proof is the room that proves a server: four answers, from room for one.
	provenLimit = 16
	// trustedStartLimit is the room that a server of a list confirmed just now starts with; of an old one it is one.
	trustedStartLimit = 4
	// failures in a row are as many as one that has answered may have before it is left alone.
	maxFailures = 3
	// minHold and maxHold are how long a server of which nothing came is left alone, at first and at the
	// most.
	minHold = time.Second
	maxHold = 8 * time.Second
	// rejectedHold is how long one is left alone that said that it can't now: it is there, at least.
	rejectedHold = 200 * time.Millisecond
	// trialObjectiveFraction of its aim is what a trial may take from a request that can be repeated, so that two more
	// attempts have a chance; trialLatencyMultiple times the usual quick time, where that is longer: an answer that is
	// only slow need not be asked for twice.
	trialObjectiveFraction, trialLatencyMultiple = 0.4, 4.0
	// maxTrialObjectiveFraction of its aim is the most that a trial may take.
	maxTrialObjectiveFraction = 0.5
	// waitObjectiveFraction of its aim is how long a request waits for a server that is proved, at a fresh list; twice that
	// at an old one.
	waitObjectiveFraction = 0.2
)

// Outcome is how an attempt ended, as far as it says something of the server.
type Outcome uint8

// The ends.
const (
	NoEvidence Outcome = iota // nothing is said
	Served                    // with an answer
	Rejected                  // away: it is there, and can't now
	Failed                    // in any other way
)

// Server is what has been seen of one server of the list.
type Server struct {
	limit               int // attempts that may be out at once
	inFlight            int
	isAnswering         bool // and goes on to, as far as is known
	consecutiveFailures int  // in a row, since it last answered
	holdFor             time.Duration
	holdUntil           time.Duration // left alone until then
}

// NewServer returns a server of which nothing has been seen, of a list that is trusted so far: see Trust.
func NewServer(trust float64) *Server {
	return &Server{limit: 1 + int(trust*(trustedStartLimit-1)+0.5)}
}

// HasCapacity tells whether one more attempt may go to the server now. NeedsAnsweringServer: only if it answers others, as for
// what may not be repeated and for what has been at a bad server before.
func (s *Server) HasCapacity(now time.Duration, careful bool) bool {
	return now >= s.holdUntil && s.inFlight < s.limit && (s.isAnswering || !careful)
}

// IsAnswering tells whether the server has answered, and has not failed several times in a row since.
func (s *Server) IsAnswering() bool { return s.isAnswering }

// MayHaveCapacity tells whether the server can have proved itself, or have room, by a time.
func (s *Server) MayHaveCapacity(by time.Duration) bool { return s.inFlight > 0 || s.holdUntil < by }

// AttemptSent notes an attempt.
func (s *Server) AttemptSent() { s.inFlight++ }

// AttemptEnded notes the end of an attempt, and tells whether the server is proved by it.
func (s *Server) AttemptEnded(now time.Duration, end Outcome) (proved bool) {
	s.inFlight--
	switch end {
	case Served:
		s.isAnswering, s.consecutiveFailures = true, 0
		s.holdFor, s.holdUntil = 0, 0
		s.limit *= 2
	case Rejected:
		s.holdUntil = now + rejectedHold
	case Failed:
		s.limit = max(s.limit/2, 1)
		if s.consecutiveFailures++; !s.isAnswering || s.consecutiveFailures >= maxFailures {
			s.isAnswering = false
			s.holdFor = min(max(2*s.holdFor, minHold), maxHold)
			s.holdUntil = now + s.holdFor
		}
	}
	return s.limit >= provenLimit
}

// Trust is how far a list is trusted that was confirmed so long ago: from 1, just now, down to 0, once it is
// as old as a full deploy takes, when any of its servers may have been replaced. A negative age is not known.
func Trust(age, deploy time.Duration) float64 {
	if age < 0 || age >= deploy {
		return 0
	}
	return 1 - float64(age)/float64(deploy)
}

// TrialTimeout is how long an attempt at a server that is not proved may take, of a request that may be repeated and
// has that aim; quick is what quick answers usually take, zero if that is not known.
func TrialTimeout(aim, quick time.Duration) time.Duration {
	part := max(time.Duration(trialObjectiveFraction*float64(aim)), time.Duration(trialLatencyMultiple*float64(quick)))
	return min(part, time.Duration(maxTrialObjectiveFraction*float64(aim)))
}

// WaitTime is how long a request with that aim waits for a server that is proved before it goes to any other.
func WaitTime(aim time.Duration, trust float64) time.Duration {
	return time.Duration(waitObjectiveFraction * (2 - trust) * float64(aim))
}
