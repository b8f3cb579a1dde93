package outlier

import (
	"fmt"
	"math"
	"time"
)

const (
	partialFailureRatio = 0.36 // failure ratio that a server is tested for where few failures are usual
	partialOverUsual    = 1.5  // multiple of the usual ratio that it is tested for where many are usual
	maxTestedRatio      = 0.95 // maximum failure ratio that a server is tested for

	serverLatencyGain  = 0.08 // weight of a new response in a server's mean latency
	fleetLatencyGain   = 0.02 // weight of a new response in the fleet's mean latency
	slowResponseChance = 0.05 // chance of a response after the timeout above which a server is slow
)

// Attempt is the state that is recorded when an attempt starts.
type Attempt struct {
	StartedAt       time.Duration
	timeout         float32 // seconds
	expectedLatency float32 // seconds, scaled by the number of attempts in flight
	class           int16
	inFlight        int16 // this agent's attempts at the server, including this one
}

// AttemptStarted records the start of an attempt of a class with its timeout, and returns the state that
// AttemptEnded needs.
func (d *Detector) AttemptStarted(now time.Duration, s *Server, class int, timeout time.Duration) Attempt {
	if s.isDeprioritized {
		s.avoidUntil = now + s.holdFor // this attempt is the probe
	}
	expected := s.latency * max(float64(s.inFlight+1)/(s.latencyInFlight+1), 1)
	s.inFlight++
	return Attempt{
		StartedAt: now, timeout: float32(seconds(timeout)), expectedLatency: float32(expected), class: int16(class),
		inFlight: int16(min(s.inFlight, math.MaxInt16)),
	}
}

// AttemptEnded records how an attempt ended and returns the change that follows. The time that the server
// took is shorter than the elapsed time if the agent or its client delayed the response.
func (d *Detector) AttemptEnded(now time.Duration, s *Server, a Attempt, outcome Outcome, took time.Duration,
	e *Evidence,
) Change {
	if s.isRemoved {
		return Unchanged
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch outcome {
	case NoEvidence:
		if s.isEjected && s.isSilent && e.Phase == PhaseAnswering {
			// The server began to respond before the attempt was canceled: the probe counts as served.
			s.probesLeft--
			return d.updateVerdict(now, s)
		}
		return Unchanged
	case Answered:
		return d.onAnswered(now, s, a, seconds(took))
	}
	c := e.cause(outcome, seconds(took), float64(a.timeout))
	switch c {
	case causeNone:
		d.localShortages++
		return Unchanged
	case causeRejected:
		d.onRejected(now, s, a)
		return Unchanged
	case causeConnectionRefused, causeConnectTimeout:
	default:
		s.notListening = false // the process runs, although the attempt failed
	}
	return d.onFailed(now, s, a, c)
}

// AttemptOverdue records that a server has sent nothing after the head of its response in the time of an
// attempt that goes on, and returns the change that follows. AttemptEnded must not count the timeout again.
func (d *Detector) AttemptOverdue(now time.Duration, s *Server, a Attempt) Change {
	if s.isRemoved {
		return Unchanged
	}
	s.notListening = false // the process runs
	return d.onFailed(now, s, a, causeNoResponse)
}

// onAnswered records a response that took the given number of seconds.
func (d *Detector) onAnswered(now time.Duration, s *Server, a Attempt, took float64) Change {
	if s.latency == 0 {
		s.latency, s.latencyInFlight = took, float64(a.inFlight)
	}
	s.latency += serverLatencyGain * (took - s.latency)
	s.latencyInFlight += serverLatencyGain * (float64(a.inFlight) - s.latencyInFlight)
	s.lastResponseAt, s.deadEvidence = now, 0
	s.notListening = s.notListening && s.isEjected // kept until readmission, as for a new process
	if s.sinceResponse.total > 0 {
		s.sinceResponse = causeCounts{}
	}
	d.count(s, causeNone)
	if s.rejectEvidence > 0 {
		d.weakenRejectEvidence(s)
	}
	if s.isEjected {
		if !s.isSilent && a.StartedAt < s.changedAt {
			return Unchanged // it was not silent: an attempt sent before the ejection is no probe
		}
		s.probesLeft--
		return d.updateVerdict(now, s)
	}
	if d.latency == 0 {
		d.latency = took
	}
	d.latency += fleetLatencyGain * (took - d.latency)
	if s.sinceSuspect.total > 0 {
		d.weakenPartialEvidence(s)
	}
	return d.onClassAnswered(now, s, a)
}

// onClassAnswered records a response of a class. It readmits a server that was ejected for the class.
func (d *Detector) onClassAnswered(now time.Duration, s *Server, a Attempt) Change {
	c := s.class(int(a.class))
	if c == nil {
		return Unchanged
	}
	c.silenceEvidence, c.missed, c.lastResponseAt = 0, 0, now
	if !c.isEjected || c.changedRound == d.round {
		return Unchanged
	}
	c.isEjected, c.changedRound = false, d.round
	d.updateDistrust(s)
	s.reason = "the class is answered again"
	return ClassReadmitted
}

// weakenPartialEvidence reduces the evidence of partial failures after a response.
func (d *Detector) weakenPartialEvidence(s *Server) {
	s.sinceSuspect.total++
	for k := range s.partialEvidence {
		if s.partialEvidence[k] > 0 {
			usual := d.usualPartialRatio(s, failureKind(k))
			s.partialEvidence[k] = max(0, s.partialEvidence[k]-math.Log((1-usual)/(1-testedRatio(usual))))
		}
	}
	if s.partialEvidence == [2]float64{} {
		s.sinceSuspect = causeCounts{}
	}
}

// testedRatio returns the failure ratio that a server is tested for, given the usual ratio at the other
// servers.
func testedRatio(usual float64) float64 {
	return min(max(partialFailureRatio, partialOverUsual*usual), maxTestedRatio)
}

// onFailed records a failure as evidence: the more unusual its cause, or for a timeout the more likely an
// earlier response, the stronger the evidence.
func (d *Detector) onFailed(now time.Duration, s *Server, a Attempt, c cause) Change {
	healthyRatio := d.usualRatio(s, c)
	kind := kindOf(c)
	partialRatio := d.usualPartialRatio(s, kind)
	change := Unchanged
	switch c {
	case causeStaleConnection:
		partialRatio = max(partialRatio, healthyRatio)
	case causeNoResponse:
		t := d.weighTimeout(now, s, a)
		healthyRatio, partialRatio = t.healthyRatio, max(partialRatio, t.usualRatio)
		if t.isSlow {
			partialRatio = 1
		}
		if t.isLate {
			c = causeLateResponse
			change = d.onClassTimeout(now, s, a, t)
		}
	}
	d.count(s, c)
	s.sinceResponse.add(c)
	s.sinceSuspect.add(c)
	if s.deadEvidence -= math.Log(min(healthyRatio, 1)); c == causeConnectionRefused {
		s.notListening = true
	}
	// Late responses of a class that the server is ejected for are no evidence against its other classes.
	class := s.class(int(a.class))
	isClassEjected := c == causeLateResponse && class != nil && class.isEjected
	if tested := testedRatio(partialRatio); partialRatio < tested && !isClassEjected {
		s.partialEvidence[kind] += math.Log(tested / partialRatio)
	}
	d.evidenceAdded(s)
	if s.isEjected {
		s.probesLeft = s.probesRequired
		return Unchanged
	}
	if serverChange := d.updateVerdict(now, s); serverChange != Unchanged {
		return serverChange
	}
	return change
}

// timeoutEvidence is the evidence of a timeout.
type timeoutEvidence struct {
	meanLatency  float64 // seconds; the highest of the estimates for the server
	usualRatio   float64 // usual ratio of timeouts
	healthyRatio float64 // probability that a healthy server is silent for this long
	isSlow       bool    // a response may well take longer than the timeout; latency estimates cover that
	isLate       bool    // the server answered other attempts meanwhile
}

// weighTimeout returns the evidence of a timeout. A server that answers other attempts, or whose responses
// currently take long, is more likely slow than dead. Where timeouts are usual, silence is weaker evidence.
func (d *Detector) weighTimeout(now time.Duration, s *Server, a Attempt) timeoutEvidence {
	t := timeoutEvidence{
		meanLatency: max(s.latency, d.latency, float64(a.expectedLatency)),
		usualRatio:  d.usualTimeoutRatio(s),
	}
	t.isSlow = noResponseChance(now-a.StartedAt, t.meanLatency) > slowResponseChance
	silence := now - max(a.StartedAt, s.lastResponseAt)
	t.healthyRatio = max(t.usualRatio, noResponseChance(silence, t.meanLatency))
	t.isLate = 2*silence < now-a.StartedAt
	return t
}

// noResponseChance returns the probability that a response takes longer than wait, given the mean response
// time in seconds.
func noResponseChance(wait time.Duration, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return math.Exp(-seconds(wait) / mean)
}

// onClassTimeout records a timeout at a server that answers other attempts as evidence against one class.
func (d *Detector) onClassTimeout(now time.Duration, s *Server, a Attempt, t timeoutEvidence) Change {
	c := s.class(int(a.class))
	if c == nil {
		return Unchanged
	}
	c.missed++
	silence := now - max(a.StartedAt, c.lastResponseAt)
	c.silenceEvidence -= math.Log(max(t.usualRatio, noResponseChance(silence, t.meanLatency)))
	if c.isEjected || c.silenceEvidence < partialEjectionEvidence || c.changedRound == d.round {
		return Unchanged
	}
	c.isEjected, c.changedRound = true, d.round
	d.updateDistrust(s)
	s.reason = fmt.Sprintf("%d of %d unanswered, usual %s", c.missed, c.missed, percent(t.usualRatio))
	return ClassEjected
}
