package probation

import "time"

const (
	provenLimit       = 16 // limit from which a server is proven, in attempts in flight; four responses from one
	trustedStartLimit = 4  // initial limit of attempts in flight at full trust; without trust it is one
	maxFailures       = 3  // consecutive failures after which a server that has responded is avoided

	minHold      = time.Second            // first time for which a server that did not respond is avoided
	maxHold      = 8 * time.Second        // maximum of that time
	rejectedHold = 200 * time.Millisecond // hold of a server that rejected an attempt; its process runs
)

// Outcome is how an attempt ended, as evidence about the server.
type Outcome uint8

// The outcomes.
const (
	NoEvidence Outcome = iota // no information about the server
	Served
	Rejected // the process runs but has no capacity now
	Failed   // any other failure
)

// Server is the state of one server of the list.
type Server struct {
	limit               int // maximum number of attempts in flight
	inFlight            int
	isAnswering         bool // it has responded, without maxFailures failures in a row since
	consecutiveFailures int
	holdFor             time.Duration // length of the last hold
	holdUntil           time.Duration // the server is avoided until then
}

// NewServer returns the initial state of a server of a list with the given trust: see Trust.
func NewServer(trust float64) *Server {
	return &Server{limit: 1 + int(trust*(trustedStartLimit-1)+0.5)}
}

// HasCapacity reports whether one more attempt may go to the server now. If the request needs an answering
// server, see Request.NeedsAnsweringServer, the server must have responded before.
func (s *Server) HasCapacity(now time.Duration, needsAnswering bool) bool {
	return now >= s.holdUntil && s.inFlight < s.limit && (s.isAnswering || !needsAnswering)
}

// IsAnswering reports whether the server has responded, and has not failed several times in a row since.
func (s *Server) IsAnswering() bool { return s.isAnswering }

// MayHaveCapacity reports whether the server can be proven, or can have capacity, by a time.
func (s *Server) MayHaveCapacity(by time.Duration) bool { return s.inFlight > 0 || s.holdUntil < by }

// AttemptSent records the start of an attempt.
func (s *Server) AttemptSent() { s.inFlight++ }

// AttemptEnded records the end of an attempt and reports whether it proves the server.
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

// ShouldHedge reports whether a request whose first attempt goes to the server is sent to another one at the
// same time. Half of an unconfirmed list may be dead, and waiting for a dead server costs the request its
// time.
func (s *Server) ShouldHedge(r Request) bool {
	return !s.isAnswering && r.Idempotent && r.MayHedge && r.Attempts == 0 && r.MaxAttempts >= 2
}

// AttemptTimeout returns the timeout of an attempt of the request at the server. It is at most the limit, and
// shorter if the server has not responded yet and the request can be retried. The usual latency is zero if
// unknown.
func (s *Server) AttemptTimeout(r Request, limit, usualLatency time.Duration) time.Duration {
	if !s.isAnswering && r.Idempotent && r.Attempts+1 < r.MaxAttempts {
		limit = min(limit, UnprovenTimeout(r.LatencyObjective, usualLatency))
	}
	return limit
}
