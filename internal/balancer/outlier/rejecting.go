package outlier

import (
	"math"
	"time"
)

const (
	rejectingRatio     = 0.5 // of its attempts: what a server that should not be tried now rejects
	maxUsualRejections = 0.1 // ratio: more is never taken for usual
	rejectingEvidence  = 5.0 // natural logarithm: two in a row at a quiet time
	minHoldObjectives  = 0.4 // latency objectives: how long a server that rejects is avoided at first
	maxHoldObjectives  = 4.0 // the same at the most, after it rejected one probe after another
)

// onRejected has a server that rejects avoided for a while, twice as long each time that it rejects a probe.
func (d *Detector) onRejected(now time.Duration, s *Server, a Attempt) {
	s.lastResponseAt = now
	d.count(s, causeRejected)
	usual := min(d.usualRatio(s, causeRejected), maxUsualRejections)
	s.rejectEvidence = min(s.rejectEvidence+math.Log(rejectingRatio/usual), rejectingEvidence)
	if s.rejectEvidence < rejectingEvidence || a.StartedAt < s.holdUntil {
		return // what was sent before the hold, or in spite of it, does not extend it
	}
	s.isDeprioritized = true
	s.holdFor = min(max(2*s.holdFor, d.minHold()), d.maxHold())
	s.holdUntil = now + s.holdFor
	s.avoidUntil = s.holdUntil
}

func (d *Detector) minHold() time.Duration {
	return time.Duration(minHoldObjectives * float64(d.objective))
}

func (d *Detector) maxHold() time.Duration {
	return time.Duration(maxHoldObjectives * float64(d.objective))
}

// weakenRejectEvidence counts a response against the evidence that a server rejects.
func (d *Detector) weakenRejectEvidence(s *Server) {
	usual := min(d.usualRatio(s, causeRejected), maxUsualRejections)
	s.rejectEvidence = max(0, s.rejectEvidence-math.Log((1-usual)/(1-rejectingRatio)))
	if s.avoidUntil > s.holdUntil {
		s.avoidUntil = s.holdUntil
	}
	if s.rejectEvidence < rejectingEvidence/2 {
		s.isDeprioritized, s.avoidUntil = false, 0
	}
	if s.rejectEvidence == 0 {
		s.holdFor = 0
	}
}
