package outlier

import "time"

// Server is what a Detector knows of one server.
type Server struct {
	classes        []classState
	recent         decayingCounts // its part of the fleet's counts
	inFlight       int            // of this agent
	lastResponseAt time.Duration

	// latency is the mean time that its responses take, in seconds, and latencyInFlight how many attempts were
	// in flight when these were sent.
	latency, latencyInFlight float64

	// The evidence, as sums of natural logarithms.
	deadEvidence    float64    // that nothing comes of it any more
	partialEvidence [2]float64 // that it fails in part, by failureKind
	rejectEvidence  float64    // that it rejects more than is usual

	sinceResponse causeCounts // since its last response
	sinceSuspect  causeCounts // since it was last above suspicion

	placement
	isRemoved bool

	isEjected      bool
	isSilent       bool // ejected because it did not respond, not for its responses
	notListening   bool // at its address, when it was last tried
	changedAt      time.Duration
	changedRound   int // the round of its last ejection or readmission
	probesRequired int // that must be served one after another
	probesLeft     int // of these
	reason         string

	isDeprioritized bool // it rejects, until enough probes are served
	holdFor         time.Duration
	holdUntil       time.Duration
	avoidUntil      time.Duration // holdUntil, or longer while a probe is in flight
}

// placement is what Detector.SetPlacement sets.
type placement struct{ onRing, damped bool }

// classState is one class at one server: a server may answer one class and none of another.
type classState struct {
	silenceEvidence float64 // a sum of natural logarithms
	missed          int     // attempts without response since the last one
	lastResponseAt  time.Duration
	isEjected       bool
	changedRound    int
}

// causeCounts counts ended attempts, for the log and for what probes must prove.
type causeCounts struct {
	total   int
	byCause [causeCount]int
}

func (c *causeCounts) add(failure cause) {
	c.total++
	c.byCause[failure]++
}

// most is the most frequent cause, and how many failures there were in all.
func (c *causeCounts) most() (top cause, failed int) {
	for i := range c.byCause {
		if failed += c.byCause[i]; c.byCause[i] > c.byCause[top] {
			top = cause(i)
		}
	}
	return top, failed
}

// class is the state of a class, nil for a number that is no class's.
func (s *Server) class(number int) *classState {
	if number < 0 || number >= len(s.classes) {
		return nil
	}
	return &s.classes[number]
}

// IsEjected reports whether the server is ejected for all classes.
func (s *Server) IsEjected() bool { return s.isEjected }

// ChangedAt is when the server was last ejected or readmitted; zero: never.
func (s *Server) ChangedAt() time.Duration { return s.changedAt }

// Reason is the evidence of the last change, for the log.
func (s *Server) Reason() string { return s.reason }

// IsNotListening reports whether nothing listened at its address when it was last tried: it comes back as a
// new process.
func (s *Server) IsNotListening() bool { return s.notListening }

// IsAvoided reports whether other servers should be tried first, as this one has been rejecting what it got.
func (s *Server) IsAvoided(now time.Duration) bool { return now < s.avoidUntil }

// isSuspect reports whether there is about half the evidence that ejects a server.
func (s *Server) isSuspect() bool {
	return s.deadEvidence >= suspectEvidence || s.partialEvidence[failureResponse] >= suspectEvidence ||
		s.partialEvidence[failureNoResponse] >= suspectEvidence
}

// isProvedBad reports whether the evidence ejects the server.
func (s *Server) isProvedBad() bool {
	return s.deadEvidence >= ejectionEvidence || s.partialEvidence[failureResponse] >= partialEjectionEvidence ||
		s.partialEvidence[failureNoResponse] >= partialEjectionEvidence
}
