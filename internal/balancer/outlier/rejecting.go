package outlier

import (
	"math"
	"time"
)

const (
	rejectingRatio     = 0.5 // ratio of rejected attempts that a server is tested for
	maxUsualRejections = 0.1 // maximum usual ratio of rejections
	rejectingEvidence  = 5.0 // natural logarithm; reached by two rejections in a row at a quiet time
	minHoldObjectives  = 0.4 // latency objectives; first time for which a rejecting server is avoided
	maxHoldObjectives  = 4.0 // latency objectives; maximum, after several rejected probes in a row
)

// onRejected records a rejection. A rejecting server is avoided for a time that doubles with each rejected
// probe.
func (d *Detector) onRejected(now time.Duration, s *Server, a Attempt) {
	s.lastResponseAt = now
	d.count(s, causeRejected)
	usual := min(d.usualRatio(s, causeRejected), maxUsualRejections)
	s.rejectEvidence = min(s.rejectEvidence+math.Log(rejectingRatio/usual), rejectingEvidence)
	if s.rejectEvidence < rejectingEvidence || a.StartedAt < s.holdUntil {
		return // attempts sent before the end of the hold do not extend it
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

// weakenRejectEvidence reduces the evidence of rejections after a response.
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
