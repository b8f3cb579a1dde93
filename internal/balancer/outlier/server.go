package outlier

import "time"

// Server is a Detector's state of one server.
type Server struct {
	index          int // in Detector.servers
	classes        []classState
	recent         decayingCounts // its contribution to the fleet's counts
	inFlight       int            // this agent's attempts
	lastResponseAt time.Duration

	// latency is the mean response time in seconds. latencyInFlight is the mean number of attempts in flight
	// when the answered attempts were sent.
	latency, latencyInFlight float64

	// The evidence, as sums of natural logarithms.
	deadEvidence    float64    // that the server no longer responds
	partialEvidence [2]float64 // that it fails a fraction of its attempts, by failureKind
	rejectEvidence  float64    // that it rejects an unusual fraction of its attempts
	hasDecay        bool       // included in Detector.withEvidence

	sinceResponse causeCounts // failures since its last response
	sinceSuspect  causeCounts // attempts since partialEvidence was last zero

	placement
	tallied   tallied // what the detector's tally includes of the server
	isRemoved bool

	isEjected      bool
	isSilent       bool // ejected for missing responses, not for errors or refused connects
	notListening   bool // the last attempt found no listener at its address
	changedAt      time.Duration
	changedRound   int // round of its last ejection or readmission
	probesRequired int // probes that must be served in a row before readmission
	probesLeft     int // number of those that are not served yet
	reason         string

	isDeprioritized bool          // avoided for its rejections until enough probes are served
	holdFor         time.Duration // length of the current or last hold
	holdUntil       time.Duration // end of the hold
	avoidUntil      time.Duration // holdUntil, or later while a probe is in flight
}

// placement is the state that Detector.SetPlacement sets.
type placement struct{ onRing, damped bool }

// classState is the state of one class at one server. A server may answer one class and not another.
type classState struct {
	silenceEvidence float64 // a sum of natural logarithms
	missed          int     // attempts without a response since the last response
	lastResponseAt  time.Duration
	isEjected       bool
	isTallied       bool // included in Detector.ejectedForClass
	changedRound    int
}

// causeCounts counts ended attempts by cause, for the log and for the number of probes required.
type causeCounts struct {
	total   int
	byCause [causeCount]int
}

func (c *causeCounts) add(failure cause) {
	c.total++
	c.byCause[failure]++
}

// mostFrequent returns the most frequent cause and the total number of failures.
func (c *causeCounts) mostFrequent() (top cause, failed int) {
	for i := range c.byCause {
		if failed += c.byCause[i]; c.byCause[i] > c.byCause[top] {
			top = cause(i)
		}
	}
	return top, failed
}

// class returns the state of a class, or nil if there is no class with that number.
func (s *Server) class(number int) *classState {
	if number < 0 || number >= len(s.classes) {
		return nil
	}
	return &s.classes[number]
}

// IsEjected reports whether the server is ejected for all classes.
func (s *Server) IsEjected() bool { return s.isEjected }

// ChangedAt returns when the server was last ejected or readmitted, or zero if it never was.
func (s *Server) ChangedAt() time.Duration { return s.changedAt }

// IsDamped reports whether flap damping excludes the server, as of the last call of Detector.SetPlacement.
func (s *Server) IsDamped() bool { return s.damped }

// Reason returns the evidence for the last change, for the log.
func (s *Server) Reason() string { return s.reason }

// IsNotListening reports whether the last attempt found no listener at the server's address. When such a
// server is back, it is a new process.
func (s *Server) IsNotListening() bool { return s.notListening }

// NeedsReview reports whether Detector.Reevaluate may change the verdict on the server.
func (s *Server) NeedsReview() bool { return s.isEjected || s.hasEjectionEvidence() }

// IsAvoided reports whether other servers should be tried first because this one rejects requests.
func (s *Server) IsAvoided(now time.Duration) bool { return now < s.avoidUntil }

// hasEvidence reports whether there is evidence that decays.
func (s *Server) hasEvidence() bool { return s.deadEvidence > 0 || s.partialEvidence != [2]float64{} }

// isSuspect reports whether there is about half of the evidence that ejects a server.
func (s *Server) isSuspect() bool {
	return s.deadEvidence >= suspectEvidence || s.partialEvidence[failureResponse] >= suspectEvidence ||
		s.partialEvidence[failureNoResponse] >= suspectEvidence
}

// hasEjectionEvidence reports whether there is enough evidence to eject the server.
func (s *Server) hasEjectionEvidence() bool {
	return s.deadEvidence >= ejectionEvidence || s.partialEvidence[failureResponse] >= partialEjectionEvidence ||
		s.partialEvidence[failureNoResponse] >= partialEjectionEvidence
}
