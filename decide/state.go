package decide

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

	"dunestep/asking"
	"dunestep/cold"
	"dunestep/health"
	"dunestep/ledger"
	"dunestep/proving"
	"dunestep/quota"
	"dunestep/reach"
	"dunestep/ring"
)

// What a Balancer keeps: its counts, classes, tenants, servers, requests and keys, and the form of its peer
// messages. Nothing here decides: see decide.go.

// Balancer decides for one client-side balancer. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	fig     Figures
	classes map[string]*class
	rng     *rand.Rand
	now     time.Duration
	acts    []Action

	servers   map[string]*server // those listed, and for a while those that were
	byHash    map[uint32]*server
	ring      *ring.Ring[*server] // its members are the ready servers: see seat
	hardShare float64             // of the aim: see rankClasses
	cold      cold.Terms
	coldFull  cold.Terms // while full
	full      bool       // the warm servers are: see Full
	anyCold   bool       // member is
	book      ledger.Book
	reach     reach.Zones
	detector  *health.Detector
	proofs    proving.Book
	doubts    string // as last logged
	inFlight  int

	requests map[uint32]*request
	keys     map[uint32]*blame
	tokens   float64 // for further attempts
	spares   float64 // for those whose last one never ran

	started                  bool
	askAgain                 time.Duration // zero: not to be asked again
	asking                   bool          // a call is about to be made
	discovery                asking.Clock  // what became of the calls
	zones                    map[string]*zone
	kinds                    map[string]*pace // of machine, as listed
	meanHeld                 float64          // of the servers' reports
	lies                     float64          // part served of the sends in spite of a failed probe
	meanWait                 float64          // of probes
	longest                  time.Duration    // aim of a class
	staleHalf                time.Duration    // in which what was seen of a server fades by half
	latency                  float64          // mean over all servers, seconds
	failing                  float64          // part of the latest attempts that failed
	pace                     pace             // of all answers
	quickest, largest, sizes float64          // least quick time of a kind; members' largest size, and sum
	meanWork                 float64          // mean of the hints
	rate, sentRound          float64          // work units sent a second, and in this round
	typical, area            float64          // usual mean in flight at a server; time in flight of a round
	areaAt                   time.Duration
	quota                    *quota.Book
	off                      keepOff             // servers that tenants keep off: see Avoid
	given, placed            *Placed             // generation as told, and what holds of it: see Place
	broadest                 int                 // the most points of a member; one at the least
	outside                  *ring.Ring[*server] // ready servers that it does not have
}

// New returns a Balancer that knows no servers yet.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: set, fig: set.Figures, rng: rand.New(rand.NewPCG(seed, 0x5072656c)),
		classes: map[string]*class{}, servers: map[string]*server{},
		byHash: map[uint32]*server{}, ring: ring.New[*server](replicaPoints),
		outside:  ring.New[*server](replicaPoints),
		requests: map[uint32]*request{}, keys: map[uint32]*blame{}, zones: map[string]*zone{},
		kinds: map[string]*pace{}, typical: typicalStart / float64(set.Balancers),
		tokens: set.Figures.RetryReserve, spares: set.Figures.SpareReserve, off: newKeepOff(set.Tenants),
	}
	b.discovery = asking.New(asking.Terms{
		Agents: set.Balancers, AskWithin: set.Rules.AskWithin,
		DrainGrace: set.Rules.DrainGrace,
	})
	b.quota = quota.New(set.Balancers, set.Limits.Peers)
	b.setTerms(cold.Terms{
		Share: set.Rules.ColdShare, For: set.Rules.ColdFor,
		FallMultiple: set.Rules.FallMultiple, FallWindow: set.Rules.FallWindow, Margin: b.fig.ColdMargin,
		Most: b.fig.ColdMost, Balancers: set.Balancers,
	})
	shortest := set.Classes[0].Aim
	for i, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, lane: i}
		b.classes[c.Name].agree(set.Limits, nil)
		b.longest, shortest = max(b.longest, c.Aim), min(shortest, c.Aim)
	}
	b.detector = health.New(shortest, len(set.Classes))
	b.staleHalf = min(time.Duration(staleAims*float64(b.longest)), staleMost)
	b.rankClasses()
	for _, t := range set.Tenants {
		b.quota.Add(t.Name, t.QuotaPerS)
	}
	return b, nil
}

// seconds is what Duration.Seconds is, without its two divisions.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) log(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) timer(after time.Duration, id uint32, purpose uint64) {
	b.act(Action{Kind: SetTimer, After: after, Tag: uint64(id)<<2 | purpose})
}

// late tells whether a request is too late to be sent on after a wait. Guards against one that is held for an
// attempt that can't be made any more: its client, who gives it less time than the aim, would leave
// unanswered.
func (b *Balancer) late(r *request, wait time.Duration) bool {
	return b.now+wait+b.set.Tick >= r.deadline
}

// Part is this balancer's part of all arrivals, from 0 to 1.
func (b *Balancer) Part() float64 { return b.quota.Part(b.now) }

// ringSize is the number of servers on the ring, for taking means; never zero.
func (b *Balancer) ringSize() float64 { return float64(max(len(b.ring.Members()), 1)) }

func (s *server) penaltyNow(now time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.penaltyAt)/float64(penaltyHalf))
}

// waits counts an attempt that waits for its answer, or does no more.
func (b *Balancer) waits(a *attempt, change int) {
	if !a.begun {
		a.server.inFlight += change
		b.countInFlight(change)
	}
}

// begun takes in that an attempt's answer has begun. Guards against a client that takes a long answer slowly
// and makes its server look crowded and silent all that time: the work is done, and nobody waits for it.
// Where a class streams, its server works on until the end.
func (b *Balancer) begun(r *request, a *attempt) {
	r.stream, a.server.silentSince = true, b.now
	if !a.done && !r.class.Stream {
		b.waits(a, -1)
		a.begun = true
	}
}

// countInFlight changes the count of requests in flight, and adds up the time in flight until now.
func (b *Balancer) countInFlight(change int) {
	b.area += float64(b.inFlight) * seconds(b.now-b.areaAt)
	b.areaAt = b.now
	b.inFlight += change
}

// anyReady tells whether one of the servers known is ready.
func (b *Balancer) anyReady() bool {
	for _, s := range b.servers {
		if s.State == Ready {
			return true
		}
	}
	return false
}

// placeAll tells the detector which servers take part, and which of them are damped.
func (b *Balancer) placeAll() {
	for _, s := range b.ring.Members() {
		b.detector.Place(s.record, true, b.now < s.dampedUntil)
	}
}

// doubted logs when the detector begins or ends to doubt what it sees.
func (b *Balancer) doubted() {
	if d := b.detector.Doubt(); d != b.doubts {
		b.doubts = d
		b.log("many at once: %s", cmp.Or(d, "over"))
	}
}

// ends are the outcomes as the detector knows them.
var ends = [...]health.End{
	Served: health.Answered, ServerError: health.Errored,
	TurnedAway: health.TurnedAway, NoAnswer: health.TimedOut, NoConnection: health.Unsent,
	ConnectionLost: health.Lost,
	CalledOff:      health.Void, NotSent: health.Void,
}

// zone holds what a zone's reports of requests held have been worth: the wait that followed for each. Reports
// of a full house with quick answers after them lose their weight so; a zone with honest servers beside lying
// ones is believed by the mean of both.
func (b *Balancer) zone(s *server) *zone {
	z := b.zones[s.Zone]
	if z == nil {
		z = &zone{wait: reportPrior * b.pace.quick, held: 1}
		b.zones[s.Zone] = z
	}
	return z
}

// report takes in a server's own count of what it holds.
func (b *Balancer) report(s *server, l *Load) {
	if l != nil && l.InFlight >= 0 {
		s.held, s.heldAt = l.InFlight, b.now
		b.meanHeld += reportGain * (s.held - b.meanHeld)
	}
}

// sample takes in a latency seen at a server with so many in flight.
func (b *Balancer) sample(s *server, t float64, load int) {
	n := float64(load + 1)
	s.latency, s.latencyAtN = cmp.Or(s.latency, t), cmp.Or(s.latencyAtN, n)
	s.latency += latencyGain * (t - s.latency)
	s.latencyAtN += latencyGain * (n - s.latencyAtN)
	s.sampledAt = b.now
	b.latency += latencyGain / b.ringSize() * (t - b.latency)
}

// charge books what an attempt took at its server. What failed counts as an answer near the aim, or a server
// that fails quickly would look idle.
func (b *Balancer) charge(r *request, s *server, e *AttemptDone) {
	took := seconds(e.Latency)
	if e.Outcome != Served && e.Outcome != NoAnswer {
		took = max(took, failShare*seconds(r.class.Aim))
	}
	b.book.Ended(&s.account, took)
}

func (b *Balancer) probe(s *server) {
	s.probeOut, s.probedAt = true, b.now
	b.act(Action{Kind: Probe, Server: s.ID})
}

func (b *Balancer) close(r *request) {
	r.closed = true
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) meanPenalty() float64 {
	sum := 0.0
	for _, s := range b.ring.Members() {
		sum += s.penaltyNow(b.now)
	}
	return sum / b.ringSize()
}

type class struct {
	Class
	lane   int           // its number; none: below zero
	hard   float64       // seconds that an expected time may take at most
	budget time.Duration // the longest that a client has given

	// What is agreed, within the settings: see Agree.
	most   int // attempts
	copies bool
	pace   time.Duration
}

// A zone's means: of the wait beyond the quick time, and of the requests that its servers said they held.
type zone struct{ wait, held float64 }

// A pace is the time below which a quarter of the answers come.
type pace struct{ quick, answers float64 }

// sample takes in an answer; failures say nothing of how quick a server can be. The first answers count for
// more, or a balancer that sees one a second would go by its first one all day.
func (p *pace) sample(t float64) {
	p.answers++
	step := max(quickStep, 0.5/p.answers)
	p.quick = cmp.Or(p.quick, t)
	p.quick *= 1 + step
	if t < p.quick {
		p.quick *= 1 - min(4*step, 0.75) // so it settles where a quarter of the samples lie below
	}
}

// A kind's pace is gone by after so many answers. A sparse balancer, which would need 7 s and more for as
// many as the others wait for, goes by its first ones: they tell a machine twice as quick well enough.
const (
	kindAnswers       = 50
	sparseKindAnswers = 12
)

// known tells whether enough answers came.
func (p *pace) known(sparse bool) bool {
	return p.answers >= kindAnswers || sparse && p.answers >= sparseKindAnswers
}

// kind is the pace of a kind of machine.
func (b *Balancer) kind(name string) *pace {
	k := b.kinds[name]
	if k == nil {
		k = &pace{}
		b.kinds[name] = k
	}
	return k
}

type server struct {
	Server
	hash    uint32
	pace    *pace                // of its kind of machine
	place   *ring.Place[*server] // nil: never on the ring
	drained bool
	leftAt  time.Duration // the ring; zero: it did not

	inFlight    int
	silentSince time.Duration // when the oldest wait for any answer began
	lastServed  time.Duration
	latency     float64 // seconds, and the in-flight count it was seen at
	latencyAtN  float64
	sampledAt   time.Duration

	record        *health.Server
	downThen      bool    // at the last round's end
	held          float64 // requests, by its own report
	heldAt        time.Duration
	probeOut      bool
	probedAt      time.Duration
	probeSays     Outcome
	probeTime     time.Duration // that the last answer to a probe took; zero after a request was served
	probeFailedAt time.Duration
	heardAt       time.Duration // last answer to a request or probe
	waiting       []*request    // held for the probe's answer
	backAt        time.Duration // first served after no connection came up
	penalty       float64
	penaltyAt     time.Duration
	dampedUntil   time.Duration
	asked         time.Duration // damp-req sent

	cold    cold.Budget
	account ledger.Account

	proof *proving.Server // nil: needs none

	apart *ring.Place[*server] // outside the generation; nil: it never was

	off []uint32 // by the tenants' numbers, the keys that keep off it: see Avoid; nil: none
}

type request struct {
	id       uint32
	hash     uint32
	tenant   int32  // its number
	lot      uint32 // the hash that says what it keeps off: a request without a key has another one each time
	class    *class
	units    float64
	aimBy    time.Duration
	deadline time.Duration
	askUntil time.Duration
	proofBy  time.Duration // until then it waits for a proved server; zero: it did not yet
	paced    time.Duration // no attempt before; zero: any time
	attempts []attempt
	trial    *server // to be tried by a second copy
	open     int16
	copies   int16 // of these, trials of servers that are down
	copied   int16 // trials by second copies
	asks     int16
	keyed    bool
	low      bool // beyond its tenant's quota
	pays     bool // a further attempt, not paid for
	spared   bool // the last one never ran
	closed   bool
	holding  bool
	tests    bool // sent in spite of failed probes
	stream   bool
	first    bool // serving goes first: it keeps off no server
}

type attempt struct {
	server   *server
	noted    health.Attempt
	held     float64       // reported when it was sent; below zero: not known
	despite  time.Duration // sent in spite of a probe that failed in this time
	load     int32
	done     bool
	begun    bool // its answer
	neverRan bool
	copy     bool
}

type blame struct {
	on    []*server
	at    time.Duration
	until time.Duration
}

// A peer message is a letter and then the server's hash and a score in tenths, or a rate.
const (
	msgDampReq  = 'q'
	msgDampResp = 'r'
	msgRate     = 'a' // the mean arrivals a second follow, in four bytes
)

func dampMessage(kind byte, s *server, now time.Duration) []byte {
	score := byte(min(10*s.penaltyNow(now), 255))
	return append(binary.BigEndian.AppendUint32([]byte{kind}, s.hash), score)
}

// orDefaults gives the defaults for the zero value, and refuses what can't be counted with.
func (f Figures) orDefaults() (Figures, error) {
	if f == (Figures{}) {
		return DefaultFigures(), nil
	}
	for v, i := reflect.ValueOf(f), 0; i < v.NumField(); i++ {
		if x := v.Field(i).Float(); !(x >= 0) || math.IsInf(x, 1) {
			return f, errors.New("decide: figures." + v.Type().Field(i).Name + " is not a number from zero on")
		}
	}
	if f.LowShare == 0 {
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
	if s.Figures, err = s.Figures.orDefaults(); err != nil {
		return err
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Deadline <= 0 {
			return fmt.Errorf("decide: class %q has no deadline", c.Name)
		}
		if c.Aim <= 0 || c.Aim > c.Deadline {
			c.Aim = c.Deadline
		}
	}
	return nil
}

func rateMessage(rate float64) []byte {
	return binary.BigEndian.AppendUint32([]byte{msgRate}, math.Float32bits(float32(rate)))
}

// message is a peer message taken apart; kind is zero for a garbled one.
type message struct {
	kind  byte
	hash  uint32  // of a server, in damp messages
	score float64 // a penalty, or arrivals a second
}

func parseMessage(d []byte) message {
	switch {
	case len(d) == 6 && (d[0] == msgDampReq || d[0] == msgDampResp):
		return message{kind: d[0], hash: binary.BigEndian.Uint32(d[1:]), score: float64(d[5]) / 10}
	case len(d) == 5 && d[0] == msgRate:
		if r := float64(math.Float32frombits(binary.BigEndian.Uint32(d[1:]))); r >= 0 && r < 1e9 {
			return message{kind: msgRate, score: r}
		}
	}
	return message{}
}

// Timer tags: a request's id and a purpose.
const (
	tagRound = iota
	tagRetry
	tagAsk
)
