package probation

import "time"

const (
	provenLimit       = 16 // attempts in flight: four responses, from a limit of one
	trustedStartLimit = 4  // attempts in flight, of a list that was confirmed just now; of an old one it is one
	maxFailures       = 3  // in a row, of a server that has responded, before it is left alone

	minHold      = time.Second // how long a server that did not respond is left alone at first
	maxHold      = 8 * time.Second
	rejectedHold = 200 * time.Millisecond // the same of one that rejected: it runs, at least
)

// Outcome is how an attempt ended, as far as it is evidence of the server.
type Outcome uint8

// The outcomes.
const (
	NoEvidence Outcome = iota // nothing is learned of the server
	Served
	Rejected // it runs, and has no capacity now
	Failed   // in any other way
)

// Server is what is known of one server of the list.
type Server struct {
	limit               int // attempts that may be in flight
	inFlight            int
	isAnswering         bool // it has responded, and goes on to, as far as is known
	consecutiveFailures int
	holdFor             time.Duration
	holdUntil           time.Duration // left alone until then
}

// NewServer returns a server of which nothing is known, of a list that is trusted so far: see Trust.
func NewServer(trust float64) *Server {
	return &Server{limit: 1 + int(trust*(trustedStartLimit-1)+0.5)}
}

// HasCapacity reports whether one more attempt may go to the server now. Where the request needs an answering
// server, see Request.NeedsAnsweringServer, it must have responded to others.
func (s *Server) HasCapacity(now time.Duration, needsAnswering bool) bool {
	return now >= s.holdUntil && s.inFlight < s.limit && (s.isAnswering || !needsAnswering)
}

// IsAnswering reports whether the server has responded, and has not failed several times in a row since.
func (s *Server) IsAnswering() bool { return s.isAnswering }

// MayHaveCapacity reports whether the server can have proved itself, or have capacity, by a time.
func (s *Server) MayHaveCapacity(by time.Duration) bool { return s.inFlight > 0 || s.holdUntil < by }

// AttemptSent notes an attempt.
func (s *Server) AttemptSent() { s.inFlight++ }

// AttemptEnded notes the end of an attempt, and reports whether it proves the server.
func (s *Server) AttemptEnded(now time.Duration, outcome Outcome) (proved bool) {
	s.inFlight--
	switch outcome {
	case NoEvidence:
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

// ShouldHedge reports whether a request whose first attempt goes to the server goes to another one at the
// same time: half of an unconfirmed list may be dead, and to find that out by waiting costs the request its
// time.
func (s *Server) ShouldHedge(r Request) bool {
	return !s.isAnswering && r.Idempotent && r.MayHedge && r.Attempts == 0 && r.MaxAttempts >= 2
}

// AttemptTimeout bounds how long an attempt of the request at the server may take: less than the limit where
// the server has not responded yet and the request can be retried. The usual latency is zero where it is not
// known.
func (s *Server) AttemptTimeout(r Request, limit, usualLatency time.Duration) time.Duration {
	if !s.isAnswering && r.Idempotent && r.Attempts+1 < r.MaxAttempts {
		limit = min(limit, TrialTimeout(r.LatencyObjective, usualLatency))
	}
	return limit
}
