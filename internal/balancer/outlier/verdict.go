package outlier

import (
	"fmt"
	"math"
	"time"
)

// The evidence is a sum of natural logarithms.
const (
	ejectionEvidence        = 13.8 // ends that chance brings once in a million eject a server
	partialEjectionEvidence = 18.0 // the same for a server that fails in part: its failures come in clusters
	suspectEvidence         = 7.5  // more than one refused connect makes a server suspect

	falseReadmissionChance = 0.05 // that a server that fails in part serves all the probes required
	maxProbes              = 8
	maxTestedFailureRatio  = 0.99
)

// Verdict is what a server is taken for.
type Verdict uint8

// The verdicts: a suspect server gets idempotent requests, an ejected one gets probes.
const (
	Healthy Verdict = iota
	Suspect
	Ejected
)

// Change is what a call changed: of a server, at most once a round, or of one class at it.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	ServerEjected
	ServerReadmitted
	ClassEjected
	ClassReadmitted
)

// Verdict is what a server is taken for by a request of a class; a number that is no class's goes by the
// server alone.
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

// Reevaluate makes a change that had to wait for its round.
func (d *Detector) Reevaluate(now time.Duration, s *Server) Change { return d.updateVerdict(now, s) }

// updateVerdict makes the change that the evidence asks for, unless there was one in this round.
func (d *Detector) updateVerdict(now time.Duration, s *Server) Change {
	switch {
	case s.changedRound == d.round:
		return Unchanged
	case s.isEjected && s.probesLeft <= 0:
		d.readmit(now, s)
		return ServerReadmitted
	case !s.isEjected && s.isProvedBad():
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
	// It is suspect until it has answered some more: idempotent requests go first.
	s.partialEvidence = [2]float64{failureResponse: suspectEvidence}
	d.updateDistrust()
}

func (d *Detector) eject(now time.Duration, s *Server) {
	d.setReason(s)
	s.isEjected, s.changedAt, s.changedRound = true, now, d.round
	s.probesLeft = s.probesRequired
	d.removeFromFleet(s)
	d.updateDistrust()
}

// setReason sets what a server is ejected for, and how many probes must be served: one where nothing came of
// it, and where it failed in part so many that it would hardly serve them all by chance.
func (d *Detector) setReason(s *Server) {
	isDead := s.deadEvidence >= ejectionEvidence
	counts := &s.sinceSuspect
	if isDead {
		counts = &s.sinceResponse
	}
	top, failed := counts.most()
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
