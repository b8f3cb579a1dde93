package health

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	proof     = 13.8 // natural logarithm: ends that chance brings once in a million take a server down
	partProof = 18.0 // the same for one that fails in part: its failures come in clusters
	suspicion = 7.5  // about half of proof makes it suspect: more than one refused connect
	partly    = 0.36 // share of failures that a server in part trouble is tested for, or half more than usual
	certain   = 0.05 // chance that a server in part trouble serves as many trials as are asked for
	proofMost = 8    // served trials, one after another, that are asked for at most

	leastPart  = 0.02
	prior      = 100.0 // attempts: the weight of the least usual shares among the fleet's
	usualFade  = 0.75  // a round: what is usual changes within seconds,
	usualLeast = 500.0 // attempts: but no fewer than this many are gone by, where there are so many in
	usualOld   = 0.977 // a round: half a minute
	doubtFade  = 0.977 // a round: evidence that was not enough loses half its weight in thirty
	answerGain = 0.08  // weight of a new answer in the time that a server's answers take
	fleetGain  = 0.02

	slowness = 0.05 // chance that an answer takes as long as was waited: above it a server is slow

	turnedShare = 0.5 // of what it gets: what a server that should not be asked now turns away
	turnedUsual = 0.1 // more than this is never taken for usual: the others are asked first all the same
	turnedProof = 5.0 // natural logarithm: two in a row at a quiet time
	holdLeast   = 0.4 // of the aim: how long a server that turned away is passed over at first
	holdMost    = 4.0 // of the aim: the same, after it turned away one trial after another

	floorShare = 0.5 // of the ring: where more is down, it is likelier one cause than each server's own
	oursMany   = 3.0 // failures by the agent's own fault, faded, that make it doubt itself
)

// Verdict is what a server is taken for.
type Verdict uint8

// The verdicts: a suspect server gets what may be repeated, a down one gets trials.
const (
	Well Verdict = iota
	Suspect
	Down
)

// Change is what a call changed: a swing of a server, at most one a round, or of one class at it.
type Change uint8

// The changes.
const (
	Same Change = iota
	WentDown
	CameUp
	ClassDown
	ClassUp
)

// Server is what a Detector keeps of one server.
type Server struct {
	lanes   []lane // one for each class
	recent  shares // its part in the fleet's
	dead    float64
	part    [2]float64 // that it fails in part: what it answers, and what it does not
	row     tally      // since it last answered
	run     tally      // since it was last above suspicion
	takes   float64    // seconds that its answers take, and how many were out when these were sent
	takesAt float64
	out     int
	heard   time.Duration
	onRing  bool
	damped  bool
	gone    bool
	down    bool
	mute    bool // down because nothing came of it, not for what it said
	absent  bool
	since   time.Duration
	swung   int     // the round of its last swing
	asked   int     // trials to be served one after another
	left    int     // of these
	turns   float64 // evidence that it turns away more than is usual
	passed  bool    // over, until enough trials are served
	hold    time.Duration
	until   time.Duration // the end of the hold
	notNow  time.Duration // the same, or longer while a trial is out
	because string
}

// A lane is one class at one server: a server may answer one class and hang on another.
type lane struct {
	silence float64
	missed  int
	heard   time.Duration
	down    bool
	swung   int
}

// tally counts the ends of a run, for the log.
type tally struct {
	seen int
	by   [causes]int
}

// shares counts ends; those long past fade.
type shares struct {
	all float64
	by  [causes]float64
}

// Attempt is what is noted at an attempt's start.
type Attempt struct {
	At      time.Duration
	allowed float32 // seconds
	likely  float32 // seconds that an answer likely takes, by the queue there
	lane    int16
	out     int16 // of this agent, itself included
}

// Detector judges the servers of one agent.
type Detector struct {
	aim     time.Duration
	classes int
	servers []*Server
	fleet   shares
	round   int
	takes   float64 // seconds that answers take, over the fleet
	ours    float64 // failures by the agent's own fault; those long past fade
	doubt   string
	downFor []int  // how many servers are down for a class
	anyway  []bool // classes that too many servers are down for
}

// New returns a Detector that knows no servers, for that many classes, numbered from zero; aim is their
// shortest.
func New(aim time.Duration, classes int) *Detector {
	return &Detector{
		aim: aim, classes: classes, round: 1, downFor: make([]int, classes),
		anyway: make([]bool, classes),
	}
}

// Join adds a server of which nothing is known.
func (d *Detector) Join() *Server {
	s := &Server{lanes: make([]lane, d.classes)}
	d.servers = append(d.servers, s)
	return s
}

// Restarted forgets what was known of a server's last process. One that is down stays so until a trial.
func (d *Detector) Restarted(s *Server) {
	d.forgive(s)
	*s = Server{
		lanes: s.lanes, onRing: s.onRing, damped: s.damped, down: s.down, since: s.since,
		swung: s.swung, asked: 1, left: 1, out: s.out,
	}
	clear(s.lanes)
	d.weigh()
}

// Forget drops a server. What is still out there will say nothing.
func (d *Detector) Forget(s *Server) {
	d.forgive(s)
	s.gone = true
	if i := slices.Index(d.servers, s); i >= 0 {
		d.servers = slices.Delete(d.servers, i, i+1)
	}
	d.weigh()
}

// Place tells whether a server takes part now, and whether it is left alone for going up and down too often.
func (d *Detector) Place(s *Server, onRing, damped bool) {
	if s.onRing != onRing || s.damped != damped {
		s.onRing, s.damped = onRing, damped
		d.weigh()
	}
}

// forgive takes a server's ends out of the fleet's: what is unusual must not make itself usual.
func (d *Detector) forgive(s *Server) {
	d.fleet.all -= s.recent.all
	for c := range s.recent.by {
		d.fleet.by[c] = max(d.fleet.by[c]-s.recent.by[c], 0)
	}
	s.recent = shares{}
}

func (d *Detector) count(s *Server, c cause) {
	if s.down {
		return
	}
	s.recent.all++
	d.fleet.all++
	if c < causes {
		s.recent.by[c]++
		d.fleet.by[c]++
	}
}

// usual is the share of a cause among the ends at the other servers.
func (d *Detector) usual(s *Server, c cause) float64 {
	all := d.fleet.all - s.recent.all
	by := d.fleet.by[c] - s.recent.by[c]
	return max(leastUsual[c], (prior*leastUsual[c]+by)/(prior+all))
}

// Start notes the start of an attempt of a class that is given up when the time allowed is over.
func (d *Detector) Start(now time.Duration, s *Server, class int, allowed time.Duration) Attempt {
	if s.passed {
		s.notNow = now + s.hold // this one is the trial
	}
	likely := s.takes * max(float64(s.out+1)/(s.takesAt+1), 1)
	s.out++
	return Attempt{
		At: now, allowed: float32(seconds(allowed)), likely: float32(likely), lane: int16(class),
		out: int16(min(s.out, math.MaxInt16)),
	}
}

// End takes in how an attempt ended, and how long the server took for it: less than has passed where this
// side held the answer up.
func (d *Detector) End(now time.Duration, s *Server, a Attempt, end End, took time.Duration,
	e *Evidence,
) Change {
	if s.gone {
		return Same
	}
	s.out = max(s.out-1, 0)
	switch end {
	case Void:
		if s.down && s.mute && e.Phase == Answering { // a sign of life, though nobody needed the rest
			s.left--
			return d.judge(now, s)
		}
		return Same
	case Answered:
		return d.answered(now, s, a, took)
	}
	c := e.cause(end, seconds(took), float64(a.allowed))
	switch c {
	case none:
		d.ours++
		return Same
	case turned:
		d.turnedAway(now, s, a)
		return Same
	case refused, unconnected:
	default:
		s.absent = false // it runs, however badly
	}
	return d.failed(now, s, a, c)
}

func (d *Detector) answered(now time.Duration, s *Server, a Attempt, lasted time.Duration) Change {
	took := seconds(lasted)
	if s.takes == 0 {
		s.takes, s.takesAt = took, float64(a.out)
	}
	s.takes += answerGain * (took - s.takes)
	s.takesAt += answerGain * (float64(a.out) - s.takesAt)
	s.heard, s.dead = now, 0
	s.absent = s.absent && s.down // until it is up again it still counts as a new process
	if s.row.seen > 0 {
		s.row = tally{}
	}
	d.count(s, none)
	if s.turns > 0 {
		d.taken(s)
	}
	if s.down {
		if !s.mute && a.At < s.since {
			return Same // it only ever failed in part: what was out before is no trial
		}
		s.left--
		return d.judge(now, s)
	}
	if d.takes == 0 {
		d.takes = took
	}
	d.takes += fleetGain * (took - d.takes)
	if s.run.seen > 0 {
		d.relieve(s)
	}
	if a.lane < 0 || int(a.lane) >= len(s.lanes) {
		return Same
	}
	l := &s.lanes[a.lane]
	l.silence, l.missed, l.heard = 0, 0, now
	if l.down && l.swung != d.round {
		l.down, l.swung = false, d.round
		d.weigh()
		s.because = "it is answered again"
		return ClassUp
	}
	return Same
}

// relieve counts an answer against the suspicion that a server fails in part.
func (d *Detector) relieve(s *Server) {
	s.run.seen++
	for k := range s.part {
		if s.part[k] > 0 {
			p := d.usualPart(s, k)
			s.part[k] = max(0, s.part[k]-math.Log((1-p)/(1-inPart(p))))
		}
	}
	if s.part == [2]float64{} {
		s.run = tally{}
	}
}

// usualPart is the usual share of a kind of failure: what servers answer (0), and what keeps answers from
// coming (1).
func (d *Detector) usualPart(s *Server, kind int) float64 {
	by := &d.fleet.by
	n := by[errored] + by[spoilt] - s.recent.by[errored] - s.recent.by[spoilt]
	if kind == 1 {
		n = -s.recent.by[refused] - s.recent.by[unconnected] - s.recent.by[stale] - s.recent.by[reset] -
			s.recent.by[silent] - s.recent.by[waiting]
		n += by[refused] + by[unconnected] + by[stale] + by[reset] + by[silent] + by[waiting]
	}
	return min((prior*leastPart+n)/(prior+d.fleet.all-s.recent.all), 0.9)
}

// usualLate is the usual share of time-outs of either kind.
func (d *Detector) usualLate(s *Server) float64 {
	n := d.fleet.by[silent] + d.fleet.by[waiting] - s.recent.by[silent] - s.recent.by[waiting]
	return max(leastUsual[silent], (prior*leastUsual[silent]+n)/(prior+d.fleet.all-s.recent.all))
}

// inPart is the share of failures that a server in part trouble is tested for where so many are usual.
func inPart(usual float64) float64 { return min(max(partly, 1.5*usual), 0.95) }

// failed weighs a failure: by how unusual its cause is, and a time-out by how likely an answer would
// have come by then. A server that answers others, or whose answers take long now, is likelier waited
// for than silent.
func (d *Detector) failed(now time.Duration, s *Server, a Attempt, c cause) Change {
	dead := d.usual(s, c)
	kind := 1
	if c == errored || c == spoilt {
		kind = 0
	}
	part := d.usualPart(s, kind)
	change := Same
	switch c {
	case stale:
		part = max(part, dead)
	case silent:
		slow := max(s.takes, d.takes, float64(a.likely))
		late := d.usualLate(s)
		if part = max(part, late); unheard(now-a.At, slow) > slowness {
			part = 1 // it is slow: the expected time is to deal with that
		}
		quiet := now - max(a.At, s.heard)
		dead = max(late, unheard(quiet, slow)) // where some are late everywhere, silence proves less
		if 2*quiet < now-a.At {
			c = waiting
			change = d.unansweredClass(now, s, a, late, slow)
		}
	}
	d.count(s, c)
	s.row.seen++
	s.row.by[c]++
	s.run.seen++
	s.run.by[c]++
	if s.dead -= math.Log(min(dead, 1)); c == refused {
		s.absent = true
	}
	known := c == waiting && a.lane >= 0 && int(a.lane) < len(s.lanes) && s.lanes[a.lane].down
	if q := inPart(part); part < q && !known { // what is known of one class is not held against the others
		s.part[kind] += math.Log(q / part)
	}
	if s.down {
		s.left = s.asked
		return Same
	}
	if ch := d.judge(now, s); ch != Same {
		return ch
	}
	return change
}

// unheard is how likely nothing comes in a time by chance, where answers take so many seconds on the mean.
func unheard(wait time.Duration, slow float64) float64 {
	if slow <= 0 {
		return 0
	}
	return math.Exp(-seconds(wait) / slow)
}

// unansweredClass weighs a time-out at a server that answers others as one of its class.
func (d *Detector) unansweredClass(now time.Duration, s *Server, a Attempt, late, slow float64) Change {
	if a.lane < 0 || int(a.lane) >= len(s.lanes) {
		return Same
	}
	l := &s.lanes[a.lane]
	l.missed++
	l.silence -= math.Log(max(late, unheard(now-max(a.At, l.heard), slow)))
	if l.down || l.silence < partProof || l.swung == d.round {
		return Same
	}
	l.down, l.swung = true, d.round
	d.weigh()
	s.because = fmt.Sprintf("%d of %d unanswered, usual %s", l.missed, l.missed, percent(late))
	return ClassDown
}

// turnedAway takes a server out of the first choice for a while, longer each time that a trial is turned
// away.
func (d *Detector) turnedAway(now time.Duration, s *Server, a Attempt) {
	s.heard = now
	d.count(s, turned)
	s.turns = min(s.turns+math.Log(turnedShare/min(d.usual(s, turned), turnedUsual)), turnedProof)
	if s.turns < turnedProof || a.At < s.until {
		return // what was sent before or in spite of the hold does not make it longer
	}
	s.passed = true
	s.hold = min(max(2*s.hold, time.Duration(holdLeast*float64(d.aim))), time.Duration(holdMost*float64(d.aim)))
	s.until = now + s.hold
	s.notNow = s.until
}

// taken counts an answer against the evidence that a server turns requests away.
func (d *Detector) taken(s *Server) {
	p := min(d.usual(s, turned), turnedUsual)
	s.turns = max(0, s.turns-math.Log((1-p)/(1-turnedShare)))
	if s.notNow > s.until {
		s.notNow = s.until
	}
	if s.turns < turnedProof/2 {
		s.passed, s.notNow = false, 0
	}
	if s.turns == 0 {
		s.hold = 0
	}
}

// judge makes the swing that the evidence asks for, unless there was one in this round.
func (d *Detector) judge(now time.Duration, s *Server) Change {
	switch {
	case s.swung == d.round:
	case s.down && s.left <= 0:
		s.because = fmt.Sprintf("%d of %d trials served, down for %.1f s", s.asked, s.asked,
			(now - s.since).Seconds())
		s.down, s.since, s.swung = false, now, d.round
		s.dead, s.run, s.row = 0, tally{seen: 1}, tally{}
		s.part = [2]float64{suspicion, 0} // some answers more, and it is well: safe classes go first
		d.weigh()
		return CameUp
	case !s.down && (s.dead >= proof || s.part[0] >= partProof || s.part[1] >= partProof):
		d.explain(s)
		s.down, s.since, s.swung = true, now, d.round
		s.left = s.asked
		d.forgive(s)
		d.weigh()
		return WentDown
	}
	return Same
}

// explain says what a server goes down for, and what its trials must prove.
func (d *Detector) explain(s *Server) {
	t, share := &s.row, 1.0
	if s.dead < proof {
		t = &s.run
	}
	top, failed := refused, 0
	for c := range t.by {
		if failed += t.by[c]; t.by[c] > t.by[top] {
			top = cause(c)
		}
	}
	if s.dead < proof {
		share = min(float64(failed)/float64(max(t.seen, 1)), 0.99)
	}
	s.mute = top != errored && top != spoilt && top != refused
	s.asked = 1
	if share < 1 {
		s.asked = int(min(max(math.Ceil(math.Log(certain)/math.Log(1-share)), 2), proofMost))
	}
	s.because = fmt.Sprintf("%d of %d %s, usual %s", t.by[top], t.seen, words[top], percent(d.usual(s, top)))
}

// seconds is what Duration.Seconds is, without its two divisions: it is called for every attempt.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// Round ends a round: what is long past fades. Judge is to be asked of each server after it.
func (d *Detector) Round() {
	d.round++
	d.ours *= usualFade
	fade := min(max(usualFade, usualLeast/max(d.fleet.all, 1)), usualOld)
	d.fleet = shares{}
	for _, s := range d.servers {
		s.recent.all *= fade
		d.fleet.all += s.recent.all
		for c := range s.recent.by {
			s.recent.by[c] *= fade
			d.fleet.by[c] += s.recent.by[c]
		}
		s.dead *= doubtFade
		s.part[0] *= doubtFade
		s.part[1] *= doubtFade
	}
	d.weigh()
}

// Judge makes a swing that had to wait for its round.
func (d *Detector) Judge(now time.Duration, s *Server) Change { return d.judge(now, s) }

// weigh looks for one cause where much of the ring is down. Servers that said so, by errors and refused
// connects, are out however many they are, as long as one is left. Silence of most is likelier near this
// agent: then its verdicts are not heeded, lest the last servers drown in the load of all the others.
func (d *Detector) weigh() {
	ring, down, mute := 0, 0, 0
	clear(d.downFor)
	for _, s := range d.servers {
		if !s.onRing {
			continue
		}
		ring++
		down += one(s.down || s.damped)
		mute += one(s.down && s.mute || s.damped && !s.down)
		for class := range s.lanes {
			d.downFor[class] += one(s.lanes[class].down)
		}
	}
	many := func(n int) bool { return float64(n) > floorShare*float64(ring) }
	for class, n := range d.downFor {
		d.anyway[class] = many(n)
	}
	switch {
	case !many(down):
		d.doubt = ""
	case d.ours >= oursMany:
		d.doubt = "the agent itself is short of something"
	case 2*mute > down:
		d.doubt = "silent at once: the network near this agent, or what all depend on"
	case down == ring:
		d.doubt = "all of them fail"
	default:
		d.doubt = ""
	}
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Doubt says why verdicts should not be heeded now; empty: they should.
func (d *Detector) Doubt() string { return d.doubt }

// Verdict is what a server is taken for, by a request of a class; numbers that are no class's go by the rest.
func (d *Detector) Verdict(s *Server, class int) Verdict {
	switch {
	case s.down || class >= 0 && class < len(s.lanes) && s.lanes[class].down && !d.anyway[class]:
		return Down
	case s.dead >= suspicion || s.part[0] >= suspicion || s.part[1] >= suspicion:
		return Suspect
	}
	return Well
}

// IsDown tells whether the server is down, for all classes.
func (s *Server) IsDown() bool { return s.down }

// Since is when the server last swung; zero: never.
func (s *Server) Since() time.Duration { return s.since }

// Because is the evidence of the last change, for the log.
func (s *Server) Because() string { return s.because }

// Absent tells whether nothing listened there when it was last tried: it comes back as a new process.
func (s *Server) Absent() bool { return s.absent }

// NotNow tells whether others should be asked first, since it has been turning away what it got.
func (s *Server) NotNow(now time.Duration) bool { return now < s.notNow }
