package outlier

import (
	"fmt"
	"math"
	"time"
)

// The evidence is a sum of natural logarithms.
const (
	ejectionEvidence        = 13.8 // outcomes that occur once in a million by chance eject a server
	partialEjectionEvidence = 18.0 // higher for partial failures, which occur in clusters
	suspectEvidence         = 7.5  // evidence that makes a server suspect: more than one refused connect

	falseReadmissionChance = 0.05 // probability that a partly failing server serves all required probes
	maxProbes              = 8    // maximum number of probes required
	maxTestedFailureRatio  = 0.99 // maximum failure ratio in the number of probes required
)

// Verdict is the detector's judgment of a server.
type Verdict uint8

// The verdicts. A suspect server gets idempotent requests, an ejected one gets probe requests.
const (
	Healthy Verdict = iota
	Suspect
	Ejected
)

// Change is the change that a call made: to a server, at most once a round, or to one class at a server.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	ServerEjected
	ServerReadmitted
	ClassEjected
	ClassReadmitted
)

// Verdict returns the verdict on a server for a request of a class. If there is no class with that number, it
// is the verdict on the server alone.
func (d *Detector) Verdict(s *Server, class int) Verdict {
	if s.isEjected {
		return Ejected
	}
	if c := s.class(class); c != nil && c.isEjected && !d.ignoreClassVerdict[class] {
		return Ejected
	}
	if s.isSuspect() {
		return Suspect
	}
	return Healthy
}

// Reevaluate makes and returns a change that was delayed because the server had changed in the last round.
func (d *Detector) Reevaluate(now time.Duration, s *Server) Change { return d.updateVerdict(now, s) }

// updateVerdict makes and returns the change that the evidence requires, unless the server has changed in
// this round.
func (d *Detector) updateVerdict(now time.Duration, s *Server) Change {
	switch {
	case s.changedRound == d.round:
		return Unchanged
	case s.isEjected && s.probesLeft <= 0:
		d.readmit(now, s)
		return ServerReadmitted
	case !s.isEjected && s.hasEjectionEvidence():
		d.eject(now, s)
		return ServerEjected
	}
	return Unchanged
}

func (d *Detector) readmit(now time.Duration, s *Server) {
	s.reason = fmt.Sprintf("%d of %d probe requests served, ejected for %.1f s",
		s.probesRequired, s.probesRequired, (now - s.changedAt).Seconds())
	s.isEjected, s.changedAt, s.changedRound = false, now, d.round
	s.deadEvidence, s.sinceSuspect, s.sinceResponse = 0, causeCounts{total: 1}, causeCounts{}
	// The server is suspect until it has answered more requests: it gets idempotent ones first.
	s.partialEvidence = [2]float64{failureResponse: suspectEvidence}
	d.evidenceAdded(s)
	d.updateDistrust(s)
}

func (d *Detector) eject(now time.Duration, s *Server) {
	d.setReason(s)
	s.isEjected, s.changedAt, s.changedRound = true, now, d.round
	s.probesLeft = s.probesRequired
	d.removeFromFleet(s)
	d.updateDistrust(s)
}

// setReason sets the reason for an ejection and the number of probes required: one for a server that does not
// respond, and for a server that fails a fraction of its attempts so many that it is unlikely to serve them
// all by chance.
func (d *Detector) setReason(s *Server) {
	isDead := s.deadEvidence >= ejectionEvidence
	counts := &s.sinceSuspect
	if isDead {
		counts = &s.sinceResponse
	}
	top, failed := counts.mostFrequent()
	s.isSilent = top != causeServerError && top != causeInvalidResponse && top != causeConnectionRefused
	s.probesRequired = 1
	if !isDead {
		failureRatio := min(float64(failed)/float64(max(counts.total, 1)), maxTestedFailureRatio)
		probes := math.Ceil(math.Log(falseReadmissionChance) / math.Log(1-failureRatio))
		s.probesRequired = int(min(max(probes, 2), maxProbes))
	}
	s.reason = fmt.Sprintf("%d of %d %s, usual %s", counts.byCause[top], counts.total, causeNames[top],
		percent(d.usualRatio(s, top)))
}

func percent(ratio float64) string { return fmt.Sprintf("%.0f%%", 100*ratio) }
