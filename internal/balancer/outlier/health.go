package outlier

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	ejectionEvidence        = 13.8 // natural logarithm: ends that chance brings once in a million take a server down
	partialEjectionEvidence = 18.0 // the same for one that fails in part: its failures come in clusters
	suspectEvidence         = 7.5  // about half of proof makes it suspect: more than one refused connect
	partialFailureRatio     = 0.36 // share of failures that a server in part trouble is tested for, or half more than usual
	falseReadmissionChance  = 0.05 // chance that a server in part trouble serves as many trials as are asked for
	maxProbes               = 8    // served trials, one after another, that are asked for at most

	minPartialRatio     = 0.02
	priorAttempts       = 100.0 // attempts: the weight of the least usual shares among the fleet's
	baselineDecay       = 0.75  // a round: what is usual changes within seconds,
	minBaselineAttempts = 500.0 // attempts: but no fewer than this many are gone by, where there are so many in
	maxBaselineDecay    = 0.977 // a round: half a minute
	evidenceDecay       = 0.977 // a round: evidence that was not enough loses half its weight in thirty
	serverLatencyGain   = 0.08  // weight of a new answer in the time that a server's answers take
	fleetLatencyGain    = 0.02

	slowResponseChance = 0.05 // chance that an answer takes as long as was waited: above it a server is slow

	rejectingRatio     = 0.5 // of what it gets: what a server that should not be asked now turns away
	maxUsualRejections = 0.1 // more than this is never taken for usual: the others are asked first all the same
	rejectingEvidence  = 5.0 // natural logarithm: two in a row at a quiet time
	minHoldObjectives  = 0.4 // of the aim: how long a server that turned away is passed over at first
	maxHoldObjectives  = 4.0 // of the aim: the same, after it turned away one trial after another

	maxEjectedFraction = 0.5 // of the ring: where more is down, it is likelier one cause than each server's own
	manyLocalShortages = 3.0 // failures by the agent's own fault, faded, that make it doubt itself
)

// Verdict is what a server is taken for.
type Verdict uint8

// The verdicts: a suspect server gets what may be repeated, a down one gets trials.
const (
	Healthy Verdict = iota
	Suspect
	Ejected
)

// Change is what a call changed: a swing of a server, at most one a round, or of one class at it.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	ServerEjected
	ServerReadmitted
	ClassEjected
	ClassReadmitted
)

// Server is what a Detector keeps of one server.
type Server struct {
	classes         []classState   // one for each class
	recent          decayingCounts // its part in the fleet's
	deadEvidence    float64
	partialEvidence [2]float64  // that it fails in part: what it answers, and what it does not
	sinceResponse   causeCounts // since it last answered
	sinceSuspect    causeCounts // since it was last above suspicion
	latency         float64     // seconds that its answers take, and how many were out when these were sent
	latencyInFlight float64
	inFlight        int
	lastResponseAt  time.Duration
	onRing          bool
	damped          bool
	isRemoved       bool
	isEjected       bool
	isSilent        bool // down because nothing came of it, not for what it said
	notListening    bool
	changedAt       time.Duration
	changedRound    int     // the round of its last swing
	probesRequired  int     // trials to be served one after another
	probesLeft      int     // of these
	rejectEvidence  float64 // evidence that it turns away more than is usual
	isDeprioritized bool    // over, until enough trials are served
	holdFor         time.Duration
	holdUntil       time.Duration // the end of the hold
	avoidUntil      time.Duration // the same, or longer while a trial is out
	reason          string
}

// A lane is one class at one server: a server may answer one class and hang on another.
type classState struct {
	silenceEvidence float64
	missed          int
	lastResponseAt  time.Duration
	isEjected       bool
	changedRound    int
}

// tally counts the ends of a run, for the log.
type causeCounts struct {
	total   int
	byCause [causeCount]int
}

// shares counts ends; those long past fade.
type decayingCounts struct {
	total   float64
	byCause [causeCount]float64
}

// Attempt is what is noted at an attempt's start.
type Attempt struct {
	StartedAt       time.Duration
	timeout         float32 // seconds
	expectedLatency float32 // seconds that an answer likely takes, by the queue there
	class           int16
	inFlight        int16 // of this agent, itself included
}

// Detector judges the servers of one agent.
type Detector struct {
	objective          time.Duration
	classes            int
	servers            []*Server
	fleet              decayingCounts
	round              int
	latency            float64 // seconds that answers take, over the fleet
	localShortages     float64 // failures by the agent's own fault; those long past fade
	distrustReason     string
	ejectedForClass    []int  // how many servers are down for a class
	ignoreClassVerdict []bool // classes that too many servers are down for
}

// New returns a Detector that knows no servers, for that many classes, numbered from zero; aim is their
// shortest.
func New(aim time.Duration, classes int) *Detector {
	return &Detector{
		objective: aim, classes: classes, round: 1, ejectedForClass: make([]int, classes),
		ignoreClassVerdict: make([]bool, classes),
	}
}

// AddServer adds a server of which nothing is known.
func (d *Detector) AddServer() *Server {
	s := &Server{classes: make([]classState, d.classes)}
	d.servers = append(d.servers, s)
	return s
}

// ServerRestarted forgets what was known of a server's last process. One that is down stays so until a trial.
func (d *Detector) ServerRestarted(s *Server) {
	d.removeFromFleet(s)
	*s = Server{
		classes: s.classes, onRing: s.onRing, damped: s.damped, isEjected: s.isEjected, changedAt: s.changedAt,
		changedRound: s.changedRound, probesRequired: 1, probesLeft: 1, inFlight: s.inFlight,
	}
	clear(s.classes)
	d.updateDistrust()
}

// RemoveServer drops a server. What is still out there will say nothing.
func (d *Detector) RemoveServer(s *Server) {
	d.removeFromFleet(s)
	s.isRemoved = true
	if i := slices.Index(d.servers, s); i >= 0 {
		d.servers = slices.Delete(d.servers, i, i+1)
	}
	d.updateDistrust()
}

// SetPlacement tells whether a server takes part now, and whether it is left alone for going up and down too often.
func (d *Detector) SetPlacement(s *Server, onRing, damped bool) {
	if s.onRing != onRing || s.damped != damped {
		s.onRing, s.damped = onRing, damped
		d.updateDistrust()
	}
}

// forgive takes a server's ends out of the fleet's: what is unusual must not make itself usual.
func (d *Detector) removeFromFleet(s *Server) {
	d.fleet.total -= s.recent.total
	for c := range s.recent.byCause {
		d.fleet.byCause[c] = max(d.fleet.byCause[c]-s.recent.byCause[c], 0)
	}
	s.recent = decayingCounts{}
}

func (d *Detector) count(s *Server, c cause) {
	if s.isEjected {
		return
	}
	s.recent.total++
	d.fleet.total++
	if c < causeCount {
		s.recent.byCause[c]++
		d.fleet.byCause[c]++
	}
}

// usual is the share of a cause among the ends at the other servers.
func (d *Detector) usualRatio(s *Server, c cause) float64 {
	all := d.fleet.total - s.recent.total
	by := d.fleet.byCause[c] - s.recent.byCause[c]
	return max(minUsualRatio[c], (priorAttempts*minUsualRatio[c]+by)/(priorAttempts+all))
}

// AttemptStarted notes the start of an attempt of a class that is given up when the time allowed is over.
func (d *Detector) AttemptStarted(now time.Duration, s *Server, class int, allowed time.Duration) Attempt {
	if s.isDeprioritized {
		s.avoidUntil = now + s.holdFor // this one is the trial
	}
	likely := s.latency * max(float64(s.inFlight+1)/(s.latencyInFlight+1), 1)
	s.inFlight++
	return Attempt{
		StartedAt: now, timeout: float32(seconds(allowed)), expectedLatency: float32(likely), class: int16(class),
		inFlight: int16(min(s.inFlight, math.MaxInt16)),
	}
}

// Outcome takes in how an attempt ended, and how long the server took for it: less than has passed where this
// side held the answer up.
func (d *Detector) AttemptEnded(now time.Duration, s *Server, a Attempt, end Outcome, took time.Duration,
	e *Evidence,
) Change {
	if s.isRemoved {
		return Unchanged
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch end {
	case NoEvidence:
		if s.isEjected && s.isSilent && e.Phase == PhaseAnswering { // a sign of life, though nobody needed the rest
			s.probesLeft--
			return d.updateVerdict(now, s)
		}
		return Unchanged
	case Answered:
		return d.onAnswered(now, s, a, took)
	}
	c := e.cause(end, seconds(took), float64(a.timeout))
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

func (d *Detector) onAnswered(now time.Duration, s *Server, a Attempt, lasted time.Duration) Change {
	took := seconds(lasted)
	if s.latency == 0 {
		s.latency, s.latencyInFlight = took, float64(a.inFlight)
	}
	s.latency += serverLatencyGain * (took - s.latency)
	s.latencyInFlight += serverLatencyGain * (float64(a.inFlight) - s.latencyInFlight)
	s.lastResponseAt, s.deadEvidence = now, 0
	s.notListening = s.notListening && s.isEjected // until it is up again it still counts as a new process
	if s.sinceResponse.total > 0 {
		s.sinceResponse = causeCounts{}
	}
	d.count(s, causeNone)
	if s.rejectEvidence > 0 {
		d.weakenRejectEvidence(s)
	}
	if s.isEjected {
		if !s.isSilent && a.StartedAt < s.changedAt {
			return Unchanged // it only ever failed in part: what was out before is no trial
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
	if a.class < 0 || int(a.class) >= len(s.classes) {
		return Unchanged
	}
	l := &s.classes[a.class]
	l.silenceEvidence, l.missed, l.lastResponseAt = 0, 0, now
	if l.isEjected && l.changedRound != d.round {
		l.isEjected, l.changedRound = false, d.round
		d.updateDistrust()
		s.reason = "it is answered again"
		return ClassReadmitted
	}
	return Unchanged
}

// relieve counts an answer against the suspicion that a server fails in part.
func (d *Detector) weakenPartialEvidence(s *Server) {
	s.sinceSuspect.total++
	for k := range s.partialEvidence {
		if s.partialEvidence[k] > 0 {
			p := d.usualPartialRatio(s, k)
			s.partialEvidence[k] = max(0, s.partialEvidence[k]-math.Log((1-p)/(1-partialRatioTested(p))))
		}
	}
	if s.partialEvidence == [2]float64{} {
		s.sinceSuspect = causeCounts{}
	}
}

// usualPartialRatio is the usual share of a kind of failure: what servers answer (0), and what keeps answers from
// coming (1).
func (d *Detector) usualPartialRatio(s *Server, kind int) float64 {
	by := &d.fleet.byCause
	n := by[causeServerError] + by[causeInvalidResponse] - s.recent.byCause[causeServerError] - s.recent.byCause[causeInvalidResponse]
	if kind == 1 {
		n = -s.recent.byCause[causeConnectionRefused] - s.recent.byCause[causeConnectTimeout] - s.recent.byCause[causeStaleConnection] - s.recent.byCause[causeConnectionReset] -
			s.recent.byCause[causeNoResponse] - s.recent.byCause[causeLateResponse]
		n += by[causeConnectionRefused] + by[causeConnectTimeout] + by[causeStaleConnection] + by[causeConnectionReset] + by[causeNoResponse] + by[causeLateResponse]
	}
	return min((priorAttempts*minPartialRatio+n)/(priorAttempts+d.fleet.total-s.recent.total), 0.9)
}

// usualTimeoutRatio is the usual share of time-outs of either kind.
func (d *Detector) usualTimeoutRatio(s *Server) float64 {
	n := d.fleet.byCause[causeNoResponse] + d.fleet.byCause[causeLateResponse] - s.recent.byCause[causeNoResponse] - s.recent.byCause[causeLateResponse]
	return max(minUsualRatio[causeNoResponse], (priorAttempts*minUsualRatio[causeNoResponse]+n)/(priorAttempts+d.fleet.total-s.recent.total))
}

// partialRatioTested is the share of failures that a server in part trouble is tested for where so many are usual.
func partialRatioTested(usual float64) float64 { return min(max(partialFailureRatio, 1.5*usual), 0.95) }

// failed weighs a failure: by how unusual its cause is, and a time-out by how likely an answer would
// have come by then. A server that answers others, or whose answers take long now, is likelier waited
// for than silent.
func (d *Detector) onFailed(now time.Duration, s *Server, a Attempt, c cause) Change {
	dead := d.usualRatio(s, c)
	kind := 1
	if c == causeServerError || c == causeInvalidResponse {
		kind = 0
	}
	part := d.usualPartialRatio(s, kind)
	change := Unchanged
	switch c {
	case causeStaleConnection:
		part = max(part, dead)
	case causeNoResponse:
		slow := max(s.latency, d.latency, float64(a.expectedLatency))
		late := d.usualTimeoutRatio(s)
		if part = max(part, late); noResponseChance(now-a.StartedAt, slow) > slowResponseChance {
			part = 1 // it is slow: the expected time is to deal with that
		}
		quiet := now - max(a.StartedAt, s.lastResponseAt)
		dead = max(late, noResponseChance(quiet, slow)) // where some are late everywhere, silence proves less
		if 2*quiet < now-a.StartedAt {
			c = causeLateResponse
			change = d.onClassTimeout(now, s, a, late, slow)
		}
	}
	d.count(s, c)
	s.sinceResponse.total++
	s.sinceResponse.byCause[c]++
	s.sinceSuspect.total++
	s.sinceSuspect.byCause[c]++
	if s.deadEvidence -= math.Log(min(dead, 1)); c == causeConnectionRefused {
		s.notListening = true
	}
	known := c == causeLateResponse && a.class >= 0 && int(a.class) < len(s.classes) && s.classes[a.class].isEjected
	if q := partialRatioTested(part); part < q && !known { // what is known of one class is not held against the others
		s.partialEvidence[kind] += math.Log(q / part)
	}
	if s.isEjected {
		s.probesLeft = s.probesRequired
		return Unchanged
	}
	if ch := d.updateVerdict(now, s); ch != Unchanged {
		return ch
	}
	return change
}

// unheard is how likely nothing comes in a time by chance, where answers take so many seconds on the mean.
func noResponseChance(wait time.Duration, slow float64) float64 {
	if slow <= 0 {
		return 0
	}
	return math.Exp(-seconds(wait) / slow)
}

// onClassTimeout weighs a time-out at a server that answers others as one of its class.
func (d *Detector) onClassTimeout(now time.Duration, s *Server, a Attempt, late, slow float64) Change {
	if a.class < 0 || int(a.class) >= len(s.classes) {
		return Unchanged
	}
	l := &s.classes[a.class]
	l.missed++
	l.silenceEvidence -= math.Log(max(late, noResponseChance(now-max(a.StartedAt, l.lastResponseAt), slow)))
	if l.isEjected || l.silenceEvidence < partialEjectionEvidence || l.changedRound == d.round {
		return Unchanged
	}
	l.isEjected, l.changedRound = true, d.round
	d.updateDistrust()
	s.reason = fmt.Sprintf("%d of %d unanswered, usual %s", l.missed, l.missed, percent(late))
	return ClassEjected
}

// onRejected takes a server out of the first choice for a while, longer each time that a trial is turned
// away.
func (d *Detector) onRejected(now time.Duration, s *Server, a Attempt) {
	s.lastResponseAt = now
	d.count(s, causeRejected)
	s.rejectEvidence = min(s.rejectEvidence+math.Log(rejectingRatio/min(d.usualRatio(s, causeRejected), maxUsualRejections)), rejectingEvidence)
	if s.rejectEvidence < rejectingEvidence || a.StartedAt < s.holdUntil {
		return // what was sent before or in spite of the hold does not make it longer
	}
	s.isDeprioritized = true
	s.holdFor = min(max(2*s.holdFor, time.Duration(minHoldObjectives*float64(d.objective))), time.Duration(maxHoldObjectives*float64(d.objective)))
	s.holdUntil = now + s.holdFor
	s.avoidUntil = s.holdUntil
}

// taken counts an answer against the evidence that a server turns requests away.
func (d *Detector) weakenRejectEvidence(s *Server) {
	p := min(d.usualRatio(s, causeRejected), maxUsualRejections)
	s.rejectEvidence = max(0, s.rejectEvidence-math.Log((1-p)/(1-rejectingRatio)))
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

// judge makes the swing that the evidence asks for, unless there was one in this round.
func (d *Detector) updateVerdict(now time.Duration, s *Server) Change {
	switch {
	case s.changedRound == d.round:
	case s.isEjected && s.probesLeft <= 0:
		s.reason = fmt.Sprintf("%d of %d trials served, down for %.1f s", s.probesRequired, s.probesRequired,
			(now - s.changedAt).Seconds())
		s.isEjected, s.changedAt, s.changedRound = false, now, d.round
		s.deadEvidence, s.sinceSuspect, s.sinceResponse = 0, causeCounts{total: 1}, causeCounts{}
		s.partialEvidence = [2]float64{suspectEvidence, 0} // some answers more, and it is well: safe classes go first
		d.updateDistrust()
		return ServerReadmitted
	case !s.isEjected && (s.deadEvidence >= ejectionEvidence || s.partialEvidence[0] >= partialEjectionEvidence || s.partialEvidence[1] >= partialEjectionEvidence):
		d.setReason(s)
		s.isEjected, s.changedAt, s.changedRound = true, now, d.round
		s.probesLeft = s.probesRequired
		d.removeFromFleet(s)
		d.updateDistrust()
		return ServerEjected
	}
	return Unchanged
}

// explain says what a server goes down for, and what its trials must prove.
func (d *Detector) setReason(s *Server) {
	t, share := &s.sinceResponse, 1.0
	if s.deadEvidence < ejectionEvidence {
		t = &s.sinceSuspect
	}
	top, failed := causeConnectionRefused, 0
	for c := range t.byCause {
		if failed += t.byCause[c]; t.byCause[c] > t.byCause[top] {
			top = cause(c)
		}
	}
	if s.deadEvidence < ejectionEvidence {
		share = min(float64(failed)/float64(max(t.total, 1)), 0.99)
	}
	s.isSilent = top != causeServerError && top != causeInvalidResponse && top != causeConnectionRefused
	s.probesRequired = 1
	if share < 1 {
		s.probesRequired = int(min(max(math.Ceil(math.Log(falseReadmissionChance)/math.Log(1-share)), 2), maxProbes))
	}
	s.reason = fmt.Sprintf("%d of %d %s, usual %s", t.byCause[top], t.total, causeNames[top], percent(d.usualRatio(s, top)))
}

// seconds is what Duration.Seconds is, without its two divisions: it is called for every attempt.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// EndRound ends a round: what is long past fades. Reevaluate is to be asked of each server after it.
func (d *Detector) EndRound() {
	d.round++
	d.localShortages *= baselineDecay
	fade := min(max(baselineDecay, minBaselineAttempts/max(d.fleet.total, 1)), maxBaselineDecay)
	d.fleet = decayingCounts{}
	for _, s := range d.servers {
		s.recent.total *= fade
		d.fleet.total += s.recent.total
		for c := range s.recent.byCause {
			s.recent.byCause[c] *= fade
			d.fleet.byCause[c] += s.recent.byCause[c]
		}
		s.deadEvidence *= evidenceDecay
		s.partialEvidence[0] *= evidenceDecay
		s.partialEvidence[1] *= evidenceDecay
	}
	d.updateDistrust()
}

// Reevaluate makes a swing that had to wait for its round.
func (d *Detector) Reevaluate(now time.Duration, s *Server) Change { return d.updateVerdict(now, s) }

// weigh looks for one cause where much of the ring is down. Servers that said so, by errors and refused
// connects, are out however many they are, as long as one is left. SilenceEvidence of most is likelier near this
// agent: then its verdicts are not heeded, lest the last servers drown in the load of all the others.
func (d *Detector) updateDistrust() {
	ring, down, mute := 0, 0, 0
	clear(d.ejectedForClass)
	for _, s := range d.servers {
		if !s.onRing {
			continue
		}
		ring++
		down += countTrue(s.isEjected || s.damped)
		mute += countTrue(s.isEjected && s.isSilent || s.damped && !s.isEjected)
		for class := range s.classes {
			d.ejectedForClass[class] += countTrue(s.classes[class].isEjected)
		}
	}
	many := func(n int) bool { return float64(n) > maxEjectedFraction*float64(ring) }
	for class, n := range d.ejectedForClass {
		d.ignoreClassVerdict[class] = many(n)
	}
	switch {
	case !many(down):
		d.distrustReason = ""
	case d.localShortages >= manyLocalShortages:
		d.distrustReason = "the agent itself is short of something"
	case 2*mute > down:
		d.distrustReason = "silent at once: the network near this agent, or what all depend on"
	case down == ring:
		d.distrustReason = "all of them fail"
	default:
		d.distrustReason = ""
	}
}

func countTrue(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// DistrustReason says why verdicts should not be heeded now; empty: they should.
func (d *Detector) DistrustReason() string { return d.distrustReason }

// Verdict is what a server is taken for, by a request of a class; numbers that are no class's go by the rest.
func (d *Detector) Verdict(s *Server, class int) Verdict {
	switch {
	case s.isEjected || class >= 0 && class < len(s.classes) && s.classes[class].isEjected && !d.ignoreClassVerdict[class]:
		return Ejected
	case s.deadEvidence >= suspectEvidence || s.partialEvidence[0] >= suspectEvidence || s.partialEvidence[1] >= suspectEvidence:
		return Suspect
	}
	return Healthy
}

// IsEjected tells whether the server is down, for all classes.
func (s *Server) IsEjected() bool { return s.isEjected }

// ChangedAt is when the server last swung; zero: never.
func (s *Server) ChangedAt() time.Duration { return s.changedAt }

// Reason is the evidence of the last change, for the log.
func (s *Server) Reason() string { return s.reason }

// IsNotListening tells whether nothing listened there when it was last tried: it comes back as a new process.
func (s *Server) IsNotListening() bool { return s.notListening }

// IsAvoided tells whether others should be asked first, since it has been turning away what it got.
func (s *Server) IsAvoided(now time.Duration) bool { return now < s.avoidUntil }
