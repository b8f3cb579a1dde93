package routing

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"sort"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

const (
	epoch         = 480_000 * time.Hour
	objective     = 500 * time.Millisecond // of each class
	notIdempotent = "rezervare"
	idempotent    = "consult"
)

func testSettings() balancer.Settings {
	return balancer.Settings{
		Balancers: 2, Zone: "a", Tick: 5 * time.Millisecond, DiscoveryOnDemand: true, ClientsMarkRetries: true,
		Classes: []balancer.Class{
			{Name: idempotent, LatencyObjective: objective, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{Name: notIdempotent, LatencyObjective: objective, Deadline: time.Second, Idempotency: balancer.NotIdempotent, PriorityWeight: 2},
		},
		Limits: balancer.Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules: balancer.Rules{
			DrainGrace: 3 * time.Second, MaxPollInterval: 10 * time.Second, SlowStartCapacity: 0.3,
			SlowStartDuration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
		},
	}
}

// reaction is what an endpoint makes of an attempt, and when. What takes longer than the attempt may is late.
type reaction struct {
	after  time.Duration
	waits  time.Duration // for its connection, before it is written
	begins time.Duration // when the answer does; zero: it comes at once
	saw    AttemptResult
	close  bool
	ended  bool // the connection, by the time that the pool gets it back
}

// completed is a complete answer.
func completed(o balancer.Outcome) reaction {
	return reaction{after: 10 * time.Millisecond, saw: AttemptResult{Phase: Responding, EndReason: Completed, Response: o}}
}

// broken is an attempt that came so far and no further.
func broken(p AttemptPhase) reaction {
	return reaction{after: 10 * time.Millisecond, saw: AttemptResult{Phase: p, EndReason: BrokenByEndpoint}}
}

var noAnswer = reaction{after: time.Hour}

// recordingModule is a balancer, with what it was given, and what a test adds to its actions.
type recordingModule struct {
	*balancer.Balancer
	events     []balancer.Event // copies: the router reuses some
	addActions func(balancer.Event) []balancer.Action
}

func (e *recordingModule) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	copied := reflect.New(reflect.TypeOf(ev).Elem())
	copied.Elem().Set(reflect.ValueOf(ev).Elem())
	e.events = append(e.events, copied.Interface().(balancer.Event))
	acts := e.Balancer.Step(now, ev)
	if e.addActions != nil {
		acts = append(acts, e.addActions(ev)...)
	}
	return acts
}

// simulation drives a Router and its Pools in virtual time, as their actors would, and keeps what it sees.
type simulation struct {
	now         time.Duration
	router      *Router
	module      *recordingModule
	limit       *IdleLimit
	descriptors *Descriptors
	pools       map[string]*Pool[int]
	retired     []*Pool[int]
	react       func(*sentAttempt) reaction

	events      []event // by their time
	attempts    map[attemptKey]*sentAttempt
	sent        []*sentAttempt
	answers     map[uint32][]Output
	clientGone  map[uint32]bool
	clientUntil map[uint32]time.Duration // when each client leaves
	forgotten   map[uint32]int
	open        map[int]bool // connections
	lastConn    int
	watches     int
	text        []string // of all outputs
	violations  []string // rules that were broken
}

type attemptKey struct {
	id      uint32
	attempt int
}

type sentAttempt struct {
	attemptKey
	server   string
	pool     *Pool[int]
	checkout Checkout[int]
	conn     int
	sent     time.Duration
	until    time.Duration
	written  bool
	ended    bool
	outcome  balancer.Outcome

	canceled bool // the router takes it for over
}

// newSimulation returns one with so many ready endpoints.
func newSimulation(set balancer.Settings, endpoints int) *simulation {
	decisions, err := balancer.New(Permitted(set), 7)
	if err != nil {
		panic(err)
	}
	module := &recordingModule{Balancer: decisions}
	d := &simulation{
		now: epoch, module: module, router: NewRouter(set, module), limit: NewIdleLimit(epoch, 15*time.Second),
		descriptors: NewDescriptors(1024), pools: map[string]*Pool[int]{}, attempts: map[attemptKey]*sentAttempt{},
		answers: map[uint32][]Output{}, clientGone: map[uint32]bool{}, clientUntil: map[uint32]time.Duration{},
		forgotten: map[uint32]int{}, open: map[int]bool{},
		react: func(*sentAttempt) reaction { return completed(balancer.Served) },
	}
	d.list(balancer.UpdateCached, endpoints, balancer.Ready)
	return d
}

// list reports the first n endpoints, all in one state.
func (d *simulation) list(kind balancer.UpdateKind, n int, state balancer.ServerState) {
	var c protocol.EndpointList
	for i := range n {
		c.Endpoints = append(c.Endpoints, testEndpoint(i, state))
	}
	d.apply(d.router.ListUpdated(d.now, kind, c, balancer.WatchStatus{}))
}

func testEndpoint(i int, state balancer.ServerState) protocol.Endpoint {
	return protocol.Endpoint{
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		Server: balancer.Server{ID: fmt.Sprint("s-", i), Zone: "a", MachineKind: "k", State: state, Weight: 1},
	}
}

func (d *simulation) arrive(class, id string) uint32 {
	return d.arriveIn(class, id, 900*time.Millisecond)
}

func (d *simulation) arriveIn(class, id string, left time.Duration) uint32 {
	return d.arriveSent(&protocol.Request{CorrelationID: id, Class: class, Key: id, TimeLeft: left}, 0)
}

// arriveSent has a request arrive that was sent some time ago.
func (d *simulation) arriveSent(op *protocol.Request, age time.Duration) uint32 {
	d.clientUntil[d.router.lastID+1] = d.now - age + op.TimeLeft
	n, out := d.router.RequestArrived(d.now, op, d.now-age)
	d.apply(out)
	return n
}

// request has one request carried out, and returns its answer and the number of its attempts.
func (d *simulation) request(class string) (protocol.ResponseKind, int) {
	before := len(d.sent)
	n := d.arrive(class, fmt.Sprint(class, d.now))
	d.run(time.Second)
	return d.answers[n][0].Result, len(d.sent) - before
}

func (d *simulation) apply(out []Output) {
	for _, o := range out {
		d.text = append(d.text, fmt.Sprint(d.now, o))
		ref := attemptKey{o.Request, o.Attempt}
		switch o.Kind {
		case Respond:
			d.check(d.module.addActions != nil || d.now <= d.clientUntil[o.Request], "answered when its client had left")
			d.answers[o.Request] = append(d.answers[o.Request], o)
		case ForgetRequest:
			d.forgotten[o.Request]++
		case StartAttempt:
			d.start(&sentAttempt{attemptKey: ref, server: o.Endpoint, sent: d.now, until: o.At})
		case CancelAttempt:
			s := d.attempts[ref]
			d.check(s != nil && !s.ended, "an attempt canceled that is not open")
			d.after(0, func() { d.finish(s, reaction{saw: AttemptResult{Phase: AwaitingResponse, EndReason: o.Why}}) })
		case CancelIfUnsent:
			s := d.attempts[ref]
			d.check(s != nil && !s.ended, "an attempt canceled if unsent that is not open")
			if s.canceled = true; !s.written {
				d.after(0, func() { d.finish(s, reaction{saw: AttemptResult{Phase: Connecting, EndReason: Canceled}}) })
			}
		case SetTimer:
			d.after(o.At-d.now, func() { d.apply(d.router.TimerDue(d.now, o.Tag)) })
		case WatchList:
			d.watches++
		case OpenEndpoint:
			d.check(d.pools[o.Endpoint] == nil, "opened twice")
			d.pools[o.Endpoint] = NewPool[int](o.Addr, d.limit, ReuseDelay)
		case SetEndpointAddress:
			d.close(d.pools[o.Endpoint].SetAddress(o.Addr))
		case RemoveEndpoint:
			d.close(d.pools[o.Endpoint].Retire())
			d.retired = append(d.retired, d.pools[o.Endpoint])
			delete(d.pools, o.Endpoint)
		case ReleaseIdle:
			d.close(d.pools[o.Endpoint].CloseIdleHalf())
		}
	}
}

func (d *simulation) start(s *sentAttempt) {
	s.pool = d.pools[s.server]
	d.check(s.pool != nil, "an attempt at an endpoint that is not open")
	d.check(d.attempts[s.attemptKey] == nil, "an attempt started twice")
	d.check(len(d.answers[s.id]) == 0 && !d.clientGone[s.id], "sent though the request needs no answer")
	d.check(s.until > d.now && s.until <= d.clientUntil[s.id] && s.attempt < 3, "sent too late or too often")
	d.attempts[s.attemptKey] = s
	d.sent = append(d.sent, s)
	checkout, closing := s.pool.Acquire(d.now)
	d.close(closing)
	s.checkout, s.conn = checkout, checkout.Conn
	if !s.checkout.Reused {
		if !d.descriptors.AcquireUpstream() {
			d.after(0, func() { d.finish(s, reaction{}) })
			return
		}
		d.lastConn++
		s.conn = d.lastConn
		d.open[s.conn] = true
	}
	r := d.react(s)
	r.waits = max(r.waits, checkout.WriteDelay)
	if s.written = r.waits == 0; !s.written {
		r.after, r.begins = r.after+r.waits, 0
		d.after(r.waits, func() {
			if s.written = !s.ended && !s.canceled; s.written {
				d.check(len(d.answers[s.id]) == 0 && !d.clientGone[s.id], "written though the request needs no answer")
			}
		})
	}
	r.saw.Reused, r.saw.IdleFor = s.checkout.Reused, s.checkout.IdleFor
	if r.begins > 0 && r.begins < s.until-d.now {
		d.after(r.begins, func() {
			if !s.ended {
				r.saw.Streamed = true
				d.apply(d.router.ResponseStarted(d.now, s.id, s.attempt))
			}
		})
	}
	if r.after >= s.until-d.now {
		r = reaction{after: s.until - d.now, saw: AttemptResult{Phase: AwaitingResponse, EndReason: TimedOut}}
	}
	d.after(r.after, func() { d.finish(s, r) })
}

func (d *simulation) finish(s *sentAttempt, r reaction) {
	if s.ended {
		return
	}
	saw := r.saw
	s.ended, s.outcome = true, saw.Outcome()
	if idle, lost, counts := saw.IdleEvidence(); counts {
		d.limit.Record(d.now, idle, lost)
	}
	saw.Latency = d.now - s.sent
	d.apply(d.router.AttemptEnded(d.now, s.id, s.attempt, saw))
	if s.checkout.Reused && !s.written { // it is returned as it was
		d.close(s.pool.ReturnUnused(s.checkout, r.ended))
		d.expire(s.pool)
		return
	}
	if r.close || saw.EndReason != Completed {
		s.pool.ReleaseClosed()
		if s.conn != 0 {
			d.close([]int{s.conn})
		}
		return
	}
	d.close(s.pool.Release(d.now, s.conn, s.checkout.Addr, r.ended))
	d.expire(s.pool)
}

// expire closes a pool's connections whose time is up, now and as they come due.
func (d *simulation) expire(p *Pool[int]) {
	d.close(p.Expire(d.now))
	if at, ok := p.NextExpiry(); ok {
		d.after(at-d.now, func() { d.expire(p) })
	}
}

func (d *simulation) close(conns []int) {
	for _, c := range conns {
		d.check(d.open[c], "closed twice")
		delete(d.open, c)
		d.descriptors.ReleaseUpstream()
	}
}

func (d *simulation) leave(id uint32) {
	d.clientGone[id] = true
	d.apply(d.router.ClientGone(d.now, id))
}

// check notes a rule that was broken.
//
//nolint:revive // flag-parameter: an assertion's condition
func (d *simulation) check(holds bool, what string) {
	if !holds {
		d.violations = append(d.violations, what)
	}
}

// run goes on for so long.
func (d *simulation) run(span time.Duration) {
	for until := d.now + span; ; {
		if len(d.events) == 0 || d.events[0].at > until {
			d.now = until
			return
		}
		e := d.events[0]
		d.events = d.events[1:]
		d.now = e.at
		e.do()
	}
}

// after schedules something: at one instant, in the order in which it was scheduled.
func (d *simulation) after(wait time.Duration, do func()) {
	at := d.now + wait
	i := sort.Search(len(d.events), func(i int) bool { return d.events[i].at > at })
	d.events = slices.Insert(d.events, i, event{at, do})
}

type event struct {
	at time.Duration
	do func()
}
