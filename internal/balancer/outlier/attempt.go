package outlier

import (
	"fmt"
	"math"
	"time"
)

const (
	partialFailureRatio = 0.36 // failures that a server that fails in part is tested for, where few are usual
	partialOverUsual    = 1.5  // times the usual ratio: the same, where many are usual
	maxTestedRatio      = 0.95

	serverLatencyGain  = 0.08 // weight of a new response in a server's mean latency
	fleetLatencyGain   = 0.02 // the same over the fleet
	slowResponseChance = 0.05 // that a response takes as long as was waited: from more on it is slow
)

// Attempt is what is noted at the start of an attempt.
type Attempt struct {
	StartedAt       time.Duration
	timeout         float32 // seconds
	expectedLatency float32 // seconds, by what is in flight
	class           int16
	inFlight        int16 // of this agent at the server, this one included
}

// AttemptStarted notes the start of an attempt of a class, which times out after so long.
func (d *Detector) AttemptStarted(now time.Duration, s *Server, class int, timeout time.Duration) Attempt {
	if s.isDeprioritized {
		s.avoidUntil = now + s.holdFor // this one is the probe
	}
	expected := s.latency * max(float64(s.inFlight+1)/(s.latencyInFlight+1), 1)
	s.inFlight++
	return Attempt{
		StartedAt: now, timeout: float32(seconds(timeout)), expectedLatency: float32(expected), class: int16(class),
		inFlight: int16(min(s.inFlight, math.MaxInt16)),
	}
}

// AttemptEnded takes in how an attempt ended, and how long the server took for it: less than has passed where
// the agent or its client held the response up.
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
			// A response began, though nobody needed the rest.
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
		s.notListening = false // it runs, however badly
	}
	return d.onFailed(now, s, a, c)
}

// onAnswered takes in a response, which took so many seconds.
func (d *Detector) onAnswered(now time.Duration, s *Server, a Attempt, took float64) Change {
	if s.latency == 0 {
		s.latency, s.latencyInFlight = took, float64(a.inFlight)
	}
	s.latency += serverLatencyGain * (took - s.latency)
	s.latencyInFlight += serverLatencyGain * (float64(a.inFlight) - s.latencyInFlight)
	s.lastResponseAt, s.deadEvidence = now, 0
	s.notListening = s.notListening && s.isEjected // until it is readmitted it still counts as a new process
	if s.sinceResponse.total > 0 {
		s.sinceResponse = causeCounts{}
	}
	d.count(s, causeNone)
	if s.rejectEvidence > 0 {
		d.weakenRejectEvidence(s)
	}
	if s.isEjected {
		if !s.isSilent && a.StartedAt < s.changedAt {
			return Unchanged // it only ever failed in part: what was in flight before is no probe
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

// onClassAnswered takes in a response of a class.
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
	d.updateDistrust()
	s.reason = "the class is answered again"
	return ClassReadmitted
}

// weakenPartialEvidence counts a response against the evidence that a server fails in part.
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

// testedRatio is the ratio of failures that a server that fails in part is tested for, where so many are
// usual.
func testedRatio(usual float64) float64 {
	return min(max(partialFailureRatio, partialOverUsual*usual), maxTestedRatio)
}

// onFailed weighs a failure by how unusual its cause is, and a timeout by how likely a response would have
// come by then.
func (d *Detector) onFailed(now time.Duration, s *Server, a Attempt, c cause) Change {
	deadRatio := d.usualRatio(s, c)
	kind := kindOf(c)
	partialRatio := d.usualPartialRatio(s, kind)
	change := Unchanged
	switch c {
	case causeStaleConnection:
		partialRatio = max(partialRatio, deadRatio)
	case causeNoResponse:
		t := d.weighTimeout(now, s, a)
		deadRatio, partialRatio = t.deadRatio, max(partialRatio, t.usualRatio)
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
	if s.deadEvidence -= math.Log(min(deadRatio, 1)); c == causeConnectionRefused {
		s.notListening = true
	}
	// What is known of one class is not held against the others.
	class := s.class(int(a.class))
	isClassKnown := c == causeLateResponse && class != nil && class.isEjected
	if tested := testedRatio(partialRatio); partialRatio < tested && !isClassKnown {
		s.partialEvidence[kind] += math.Log(tested / partialRatio)
	}
	if s.isEjected {
		s.probesLeft = s.probesRequired
		return Unchanged
	}
	if serverChange := d.updateVerdict(now, s); serverChange != Unchanged {
		return serverChange
	}
	return change
}

// timeout is the evidence of a timeout.
type timeout struct {
	slowest    float64 // seconds: the mean time that responses take there now
	usualRatio float64 // of timeouts
	deadRatio  float64 // how likely a server that works would be silent for so long
	isSlow     bool    // a response likely takes as long as was waited, which latency estimates deal with
	isLate     bool    // it answered others meanwhile: late, rather than silent
}

// weighTimeout weighs a timeout. A server that answers others, or whose responses take long now, is likelier
// slow than dead; and where some responses are late everywhere, silence proves less.
func (d *Detector) weighTimeout(now time.Duration, s *Server, a Attempt) timeout {
	t := timeout{
		slowest:    max(s.latency, d.latency, float64(a.expectedLatency)),
		usualRatio: d.usualTimeoutRatio(s),
	}
	t.isSlow = noResponseChance(now-a.StartedAt, t.slowest) > slowResponseChance
	silence := now - max(a.StartedAt, s.lastResponseAt)
	t.deadRatio = max(t.usualRatio, noResponseChance(silence, t.slowest))
	t.isLate = 2*silence < now-a.StartedAt
	return t
}

// noResponseChance is how likely no response comes in a time by chance, where responses take so many seconds
// on the mean.
func noResponseChance(wait time.Duration, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return math.Exp(-seconds(wait) / mean)
}

// onClassTimeout weighs a timeout at a server that answers others as evidence against its class alone.
func (d *Detector) onClassTimeout(now time.Duration, s *Server, a Attempt, t timeout) Change {
	c := s.class(int(a.class))
	if c == nil {
		return Unchanged
	}
	c.missed++
	silence := now - max(a.StartedAt, c.lastResponseAt)
	c.silenceEvidence -= math.Log(max(t.usualRatio, noResponseChance(silence, t.slowest)))
	if c.isEjected || c.silenceEvidence < partialEjectionEvidence || c.changedRound == d.round {
		return Unchanged
	}
	c.isEjected, c.changedRound = true, d.round
	d.updateDistrust()
	s.reason = fmt.Sprintf("%d of %d unanswered, usual %s", c.missed, c.missed, percent(t.usualRatio))
	return ClassEjected
}
