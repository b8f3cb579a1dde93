package balancer

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"dunestep/internal/balancer/inflight"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/balancer/quota"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/balancer/zonereach"
	"dunestep/internal/discovery/backoff"
)

// What a Balancer keeps: its counts, classes, tenants, servers, requests and keys, and the form of its peer
// messages. Nothing here decides: see decide.go.

// Balancer decides for one client-side balancer. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	tuning   Tuning
	classes  map[string]*class
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	servers              map[string]*server // those listed, and for a while those that were
	byHash               map[uint32]*server
	ring                 *ring.Ring[*server] // its members are the ready servers: see seat
	latencyLimitFraction float64             // of the aim: see setLatencyLimits
	slowStart            slowstart.Params
	slowStartSaturated   slowstart.Params // while full
	warmSaturated        bool             // the warm servers are: see SetWarmServersSaturated
	anyWarmingUp         bool             // member is
	accounts             inflight.Accounts
	zoneReach            zonereach.Tracker
	detector             *outlier.Detector
	probation            probation.List
	loggedDoubt          string // as last logged
	inFlight             int

	requests               map[uint32]*request
	blamedKeys             map[uint32]*blamedKey
	retryTokens            float64 // for further attempts
	unprocessedRetryTokens float64 // for those whose last one never ran

	started                                  bool
	pollAgainAt                              time.Duration    // zero: not to be asked again
	pollScheduled                            bool             // a call is about to be made
	discovery                                backoff.Schedule // what became of the calls
	zoneReports                              map[string]*zoneReport
	kindBaselines                            map[string]*baselineLatency // of machine, as listed
	meanReportedInFlight                     float64                     // of the servers' reports
	falseProbeFraction                       float64                     // part served of the sends in spite of a failed probe
	meanProbeWait                            float64                     // of probes
	longestObjective                         time.Duration               // aim of a class
	observationHalfLife                      time.Duration               // in which what was seen of a server fades by half
	meanLatency                              float64                     // mean over all servers, seconds
	failureFraction                          float64                     // part of the latest attempts that failed
	baseline                                 baselineLatency             // of all answers
	lowestBaseline, largestWeight, weightSum float64                     // least quick time of a kind; members' largest size, and sum
	meanWork                                 float64                     // mean of the hints
	sendRate, sentThisRound                  float64                     // work units sent a second, and in this round
	typicalInFlight, inFlightSeconds         float64                     // usual mean in flight at a server; time in flight of a round
	inFlightSecondsAt                        time.Duration
	quotas                                   *quota.Tracker
	exclusions                               exclusionState      // servers that tenants keep off: see Exclusions
	givenAssignment, activeAssignment        *RingAssignment     // generation as told, and what holds of it: see SetRingAssignment
	maxMemberPoints                          int                 // the most points of a member; one at the least
	outsideRing                              *ring.Ring[*server] // ready servers that it does not have
}

// New returns a Balancer that knows no servers yet.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, tuning: set.Tuning, rng: rand.New(rand.NewPCG(seed, 0x5072656c)),
		classes: map[string]*class{}, servers: map[string]*server{},
		byHash: map[uint32]*server{}, ring: ring.New[*server](pointsPerServer),
		outsideRing: ring.New[*server](pointsPerServer),
		requests:    map[uint32]*request{}, blamedKeys: map[uint32]*blamedKey{}, zoneReports: map[string]*zoneReport{},
		kindBaselines: map[string]*baselineLatency{}, typicalInFlight: initialInFlight / float64(set.Balancers),
		retryTokens: set.Tuning.RetryBurst, unprocessedRetryTokens: set.Tuning.UnprocessedRetryBurst, exclusions: newExclusionState(set.Tenants),
	}
	b.discovery = backoff.New(backoff.Settings{
		Agents: set.Balancers, MaxPollInterval: set.Rules.MaxPollInterval,
		DrainGrace: set.Rules.DrainGrace,
	})
	b.quotas = quota.New(set.Balancers, set.Limits.Gossip)
	b.setSlowStartTerms(slowstart.Params{
		InitialCapacity: set.Rules.SlowStartCapacity, Duration: set.Rules.SlowStartDuration,
		OverloadMultiple: set.Rules.OverloadMultiple, OverloadWindow: set.Rules.OverloadWindow, Margin: b.tuning.SlowStartMargin,
		MaxOfWarm: b.tuning.SlowStartMax, Balancers: set.Balancers,
	})
	shortest := set.Classes[0].LatencyObjective
	for i, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, index: i}
		b.classes[c.Name].applyPolicy(set.Limits, nil)
		b.longestObjective, shortest = max(b.longestObjective, c.LatencyObjective), min(shortest, c.LatencyObjective)
	}
	b.detector = outlier.New(shortest, len(set.Classes))
	b.observationHalfLife = min(time.Duration(halfLifeObjectives*float64(b.longestObjective)), maxObservationHalfLife)
	b.setLatencyLimits()
	for _, t := range set.Tenants {
		b.quotas.Add(t.Name, t.QuotaPerSecond)
	}
	return b, nil
}

// seconds is what Duration.Seconds is, without its two divisions.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) setTimer(after time.Duration, id uint32, purpose uint64) {
	b.emit(Action{Kind: SetTimer, After: after, Tag: uint64(id)<<2 | purpose})
}

// late tells whether a request is too late to be sent on after a wait. Guards against one that is held for an
// attempt that can't be made any more: its client, who gives it less time than the aim, would leave
// unanswered.
func (b *Balancer) isTooLate(r *request, wait time.Duration) bool {
	return b.now+wait+b.settings.Tick >= r.deadline
}

// ArrivalFraction is this balancer's part of all arrivals, from 0 to 1.
func (b *Balancer) ArrivalFraction() float64 { return b.quotas.ArrivalFraction(b.now) }

// memberCount is the number of servers on the ring, for taking means; never zero.
func (b *Balancer) memberCount() float64 { return float64(max(len(b.ring.Members()), 1)) }

func (s *server) decayedPenalty(now time.Duration) float64 {
	return s.flapPenalty * math.Exp2(-float64(now-s.flapPenaltyAt)/float64(flapPenaltyHalfLife))
}

// waits counts an attempt that waits for its answer, or does no more.
func (b *Balancer) addInFlight(a *attempt, change int) {
	if !a.responseStarted {
		a.server.inFlight += change
		b.changeInFlight(change)
	}
}

// begun takes in that an attempt's answer has begun. Guards against a client that takes a long answer slowly
// and makes its server look crowded and silent all that time: the work is done, and nobody waits for it.
// Where a class streams, its server works on until the end.
func (b *Balancer) onResponseStarted(r *request, a *attempt) {
	r.streaming, a.server.silentSince = true, b.now
	if !a.done && !r.class.Streaming {
		b.addInFlight(a, -1)
		a.responseStarted = true
	}
}

// changeInFlight changes the count of requests in flight, and adds up the time in flight until now.
func (b *Balancer) changeInFlight(change int) {
	b.inFlightSeconds += float64(b.inFlight) * seconds(b.now-b.inFlightSecondsAt)
	b.inFlightSecondsAt = b.now
	b.inFlight += change
}

// hasReadyServer tells whether one of the servers known is ready.
func (b *Balancer) hasReadyServer() bool {
	for _, s := range b.servers {
		if s.State == Ready {
			return true
		}
	}
	return false
}

// updateDetector tells the detector which servers take part, and which of them are damped.
func (b *Balancer) updateDetector() {
	for _, s := range b.ring.Members() {
		b.detector.SetPlacement(s.outlier, true, b.now < s.dampedUntil)
	}
}

// doubted logs when the detector begins or ends to doubt what it sees.
func (b *Balancer) logDoubt() {
	if d := b.detector.DistrustReason(); d != b.loggedDoubt {
		b.loggedDoubt = d
		b.logf("many at once: %s", cmp.Or(d, "over"))
	}
}

// ends are the outcomes as the detector knows them.
var outlierEnds = [...]outlier.Outcome{
	Served: outlier.Answered, ServerError: outlier.ServerError,
	Rejected: outlier.Rejected, TimedOut: outlier.TimedOut, ConnectFailed: outlier.NotSent,
	ConnectionLost: outlier.ConnectionLost,
	Canceled:       outlier.NoEvidence, NotSent: outlier.NoEvidence,
}

// zone holds what a zone's reports of requests held have been worth: the wait that followed for each. Reports
// of a full house with quick answers after them lose their weight so; a zone with honest servers beside lying
// ones is believed by the mean of both.
func (b *Balancer) zoneReport(s *server) *zoneReport {
	z := b.zoneReports[s.Zone]
	if z == nil {
		z = &zoneReport{wait: reportPrior * b.baseline.seconds, inFlight: 1}
		b.zoneReports[s.Zone] = z
	}
	return z
}

// report takes in a server's own count of what it holds.
func (b *Balancer) recordLoadReport(s *server, l *LoadReport) {
	if l != nil && l.InFlight >= 0 {
		s.reportedInFlight, s.reportedAt = l.InFlight, b.now
		b.meanReportedInFlight += reportGain * (s.reportedInFlight - b.meanReportedInFlight)
	}
}

// sample takes in a latency seen at a server with so many in flight.
func (b *Balancer) recordLatency(s *server, t float64, load int) {
	n := float64(load + 1)
	s.latency, s.latencyInFlight = cmp.Or(s.latency, t), cmp.Or(s.latencyInFlight, n)
	s.latency += latencyGain * (t - s.latency)
	s.latencyInFlight += latencyGain * (n - s.latencyInFlight)
	s.latencyAt = b.now
	b.meanLatency += latencyGain / b.memberCount() * (t - b.meanLatency)
}

// charge books what an attempt took at its server. What failed counts as an answer near the aim, or a server
// that fails quickly would look idle.
func (b *Balancer) chargeAccount(r *request, s *server, e *AttemptDone) {
	took := seconds(e.Latency)
	if e.Outcome != Served && e.Outcome != TimedOut {
		took = max(took, failureLatencyFraction*seconds(r.class.LatencyObjective))
	}
	b.accounts.RequestEnded(&s.account, took)
}

func (b *Balancer) sendProbe(s *server) {
	s.probePending, s.probeSentAt = true, b.now
	b.emit(Action{Kind: Probe, Server: s.ID})
}

func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) meanPenalty() float64 {
	sum := 0.0
	for _, s := range b.ring.Members() {
		sum += s.decayedPenalty(b.now)
	}
	return sum / b.memberCount()
}

type class struct {
	Class
	index            int           // its number; none: below zero
	latencyLimit     float64       // seconds that an expected time may take at most
	maxClientTimeout time.Duration // the longest that a client has given

	// What is agreed, within the settings: see ApplyFleetPolicy.
	maxAttempts        int // attempts
	hedging            bool
	minAttemptInterval time.Duration
}

// A zone's means: of the wait beyond the quick time, and of the requests that its servers said they held.
type zoneReport struct{ wait, inFlight float64 }

// A pace is the time below which a quarter of the answers come.
type baselineLatency struct{ seconds, samples float64 }

// sample takes in an answer; failures say nothing of how quick a server can be. The first answers count for
// more, or a balancer that sees one a second would go by its first one all day.
func (p *baselineLatency) add(t float64) {
	p.samples++
	step := max(baselineStep, 0.5/p.samples)
	p.seconds = cmp.Or(p.seconds, t)
	p.seconds *= 1 + step
	if t < p.seconds {
		p.seconds *= 1 - min(4*step, 0.75) // so it settles where a quarter of the samples lie below
	}
}

// A kind's pace is gone by after so many answers. A sparse balancer, which would need 7 s and more for as
// many as the others wait for, goes by its first ones: they tell a machine twice as quick well enough.
const (
	minKindSamples       = 50
	minKindSamplesSparse = 12
)

// known tells whether enough answers came.
func (p *baselineLatency) isKnown(sparse bool) bool {
	return p.samples >= minKindSamples || sparse && p.samples >= minKindSamplesSparse
}

// kind is the pace of a kind of machine.
func (b *Balancer) kindBaseline(name string) *baselineLatency {
	k := b.kindBaselines[name]
	if k == nil {
		k = &baselineLatency{}
		b.kindBaselines[name] = k
	}
	return k
}

type server struct {
	Server
	hash         uint32
	kindBaseline *baselineLatency     // of its kind of machine
	ringPlace    *ring.Place[*server] // nil: never on the ring
	sawDraining  bool
	leftRingAt   time.Duration // the ring; zero: it did not

	inFlight        int
	silentSince     time.Duration // when the oldest wait for any answer began
	lastServedAt    time.Duration
	latency         float64 // seconds, and the in-flight count it was seen at
	latencyInFlight float64
	latencyAt       time.Duration

	outlier          *outlier.Server
	wasDown          bool    // at the last round's end
	reportedInFlight float64 // requests, by its own report
	reportedAt       time.Duration
	probePending     bool
	probeSentAt      time.Duration
	probeOutcome     Outcome
	probeLatency     time.Duration // that the last answer to a probe took; zero after a request was served
	probeFailedAt    time.Duration
	lastResponseAt   time.Duration // last answer to a request or probe
	awaitingProbe    []*request    // held for the probe's answer
	recoveredAt      time.Duration // first served after no connection came up
	flapPenalty      float64
	flapPenaltyAt    time.Duration
	dampedUntil      time.Duration
	dampRequestedAt  time.Duration // damp-req sent

	slowStart slowstart.Budget
	account   inflight.Account

	probation *probation.Server // nil: needs none

	outsidePlace *ring.Place[*server] // outside the generation; nil: it never was

	excludedBelow []uint32 // by the tenants' numbers, the keys that keep off it: see Exclusions; nil: none
}

type request struct {
	id                uint32
	hash              uint32
	tenant            int32  // its number
	exclusionHash     uint32 // the hash that says what it keeps off: a request without a key has another one each time
	class             *class
	workUnits         float64
	objectiveAt       time.Duration
	deadline          time.Duration
	waitUntil         time.Duration
	probationUntil    time.Duration // until then it waits for a proved server; zero: it did not yet
	notBefore         time.Duration // no attempt before; zero: any time
	attempts          []attempt
	hedgedProbe       *server // to be tried by a second copy
	openAttempts      int16
	openHedges        int16 // of these, trials of servers that are down
	hedges            int16 // trials by second copies
	probes            int16
	hasKey            bool
	overQuota         bool // beyond its tenant's quota
	needsRetryToken   bool // a further attempt, not paid for
	lastUnprocessed   bool // the last one never ran
	closed            bool
	waiting           bool
	ignoresProbes     bool // sent in spite of failed probes
	streaming         bool
	ignoresExclusions bool // serving goes first: it keeps off no server
}

type attempt struct {
	server             *server
	outlier            outlier.Attempt
	reportedInFlight   float64       // reported when it was sent; below zero: not known
	failedProbeLatency time.Duration // sent in spite of a probe that failed in this time
	inFlightAtSend     int32
	done               bool
	responseStarted    bool // its answer
	unprocessed        bool
	hedged             bool
}

type blamedKey struct {
	servers       []*server
	lastFailureAt time.Duration
	until         time.Duration
}

// A peer message is a letter and then the server's hash and a score in tenths, or a rate.
const (
	messageDampRequest  = 'q'
	messageDampResponse = 'r'
	messageArrivalRate  = 'a' // the mean arrivals a second follow, in four bytes
)

func encodeDampMessage(kind byte, s *server, now time.Duration) []byte {
	score := byte(min(10*s.decayedPenalty(now), 255))
	return append(binary.BigEndian.AppendUint32([]byte{kind}, s.hash), score)
}

// withDefaults gives the defaults for the zero value, and refuses what can't be counted with.
func (f Tuning) withDefaults() (Tuning, error) {
	if f == (Tuning{}) {
		return DefaultTuning(), nil
	}
	for v, i := reflect.ValueOf(f), 0; i < v.NumField(); i++ {
		if x := v.Field(i).Float(); !(x >= 0) || math.IsInf(x, 1) {
			return f, errors.New("decide: figures." + v.Type().Field(i).Name + " is not a number from zero on")
		}
	}
	if f.OverQuotaQueueFraction == 0 {
		return f, errors.New("decide: figures.LowShare must be above zero")
	}
	return f, nil
}

// check refuses settings that cannot be served and puts odd ones in order, on a copy.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("decide: no request classes")
	}
	if s.Tick <= 0 {
		return errors.New("decide: the resolution must be above zero")
	}
	s.Balancers = max(s.Balancers, 1)
	s.Limits.MaxAttempts = max(s.Limits.MaxAttempts, 1)
	var err error
	if s.Tuning, err = s.Tuning.withDefaults(); err != nil {
		return err
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Deadline <= 0 {
			return fmt.Errorf("decide: class %q has no deadline", c.Name)
		}
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
	}
	return nil
}

func encodeRateMessage(rate float64) []byte {
	return binary.BigEndian.AppendUint32([]byte{messageArrivalRate}, math.Float32bits(float32(rate)))
}

// message is a peer message taken apart; kind is zero for a garbled one.
type peerMessage struct {
	kind  byte
	hash  uint32  // of a server, in damp messages
	score float64 // a penalty, or arrivals a second
}

func decodePeerMessage(d []byte) peerMessage {
	switch {
	case len(d) == 6 && (d[0] == messageDampRequest || d[0] == messageDampResponse):
		return peerMessage{kind: d[0], hash: binary.BigEndian.Uint32(d[1:]), score: float64(d[5]) / 10}
	case len(d) == 5 && d[0] == messageArrivalRate:
		if r := float64(math.Float32frombits(binary.BigEndian.Uint32(d[1:]))); r >= 0 && r < 1e9 {
			return peerMessage{kind: messageArrivalRate, score: r}
		}
	}
	return peerMessage{}
}

// Timer tags: a request's id and a purpose.
const (
	timerRound = iota
	timerRetry
	timerPoll
)
