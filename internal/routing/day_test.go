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
	epoch   = 480_000 * time.Hour
	wait    = 500 * time.Millisecond // the aim of each class
	fragile = "rezervare"
	safe    = "consult"
)

func deployment() balancer.Settings {
	return balancer.Settings{
		Balancers: 2, Zone: "a", Tick: 5 * time.Millisecond, DiscoveryOnDemand: true, ClientsMarkRetries: true,
		Classes: []balancer.Class{
			{Name: safe, LatencyObjective: wait, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{Name: fragile, LatencyObjective: wait, Deadline: time.Second, Idempotency: balancer.NotIdempotent, PriorityWeight: 2},
		},
		Limits: balancer.Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules: balancer.Rules{
			DrainGrace: 3 * time.Second, MaxPollInterval: 10 * time.Second, SlowStartCapacity: 0.3,
			SlowStartDuration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
		},
	}
}

// reaction is what becomes of a route step, and when. What takes longer than the step may is late.
type reaction struct {
	after  time.Duration
	waits  time.Duration // for its connection, before it is sent on
	begins time.Duration // of the answer; zero: it comes at once
	saw    AttemptResult
	close  bool
	ended  bool // the connection, by the time that the pool gets it back
}

func whole(o balancer.Outcome) reaction {
	return reaction{after: 10 * time.Millisecond, saw: AttemptResult{Phase: Responding, EndReason: Completed, Response: o}}
}

// broke is a step that came so far and no further.
func broke(p AttemptPhase) reaction {
	return reaction{after: 10 * time.Millisecond, saw: AttemptResult{Phase: p, EndReason: BrokenByEndpoint}}
}

var silent = reaction{after: time.Hour}

// ear is the module that ships, with what it was told of, and what a test has it say besides.
type ear struct {
	*balancer.Balancer
	heard []balancer.Event // copies: the router uses some again
	adds  func(balancer.Event) []balancer.Action
}

func (e *ear) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	heard := reflect.New(reflect.TypeOf(ev).Elem())
	heard.Elem().Set(reflect.ValueOf(ev).Elem())
	e.heard = append(e.heard, heard.Interface().(balancer.Event))
	acts := e.Balancer.Step(now, ev)
	if e.adds != nil {
		acts = append(acts, e.adds(ev)...)
	}
	return acts
}

// day drives a Router and its Pools in virtual time, as their actors would, and keeps what it sees.
type day struct {
	now         time.Duration
	router      *Router
	module      *ear
	limit       *IdleLimit
	descriptors *Descriptors
	pools       map[string]*Pool[int]
	retired     []*Pool[int]
	react       func(*attempted) reaction

	events  []event // by their time
	steps   map[stepRef]*attempted
	sent    []*attempted
	answers map[uint32][]Output
	gone    map[uint32]bool
	until   map[uint32]time.Duration // of the answers owed
	forgot  map[uint32]int
	open    map[int]bool // connections
	conns   int
	subs    int
	text    []string // of all outputs
	broken  []string // properties that did not hold
}

type stepRef struct {
	id      uint32
	attempt int
}

type attempted struct {
	stepRef
	server  string
	pool    *Pool[int]
	lease   Checkout[int]
	conn    int
	sent    time.Duration
	until   time.Duration
	sentOn  bool
	ended   bool
	outcome balancer.Outcome

	unwanted bool
}

func newDay(set balancer.Settings, servers int) *day {
	decisions, err := balancer.New(Permitted(set), 7)
	if err != nil {
		panic(err)
	}
	module := &ear{Balancer: decisions}
	d := &day{
		now: epoch, module: module, router: NewRouter(set, module), limit: NewIdleLimit(epoch, 15*time.Second),
		descriptors: NewDescriptors(1024), pools: map[string]*Pool[int]{}, steps: map[stepRef]*attempted{},
		answers: map[uint32][]Output{}, gone: map[uint32]bool{}, until: map[uint32]time.Duration{},
		forgot: map[uint32]int{}, open: map[int]bool{},
		react: func(*attempted) reaction { return whole(balancer.Served) },
	}
	d.list(balancer.UpdateCached, servers, balancer.Ready)
	return d
}

// list tells of the first n servers, all in one state.
func (d *day) list(kind balancer.UpdateKind, n int, state balancer.ServerState) {
	var c protocol.EndpointList
	for i := range n {
		c.Endpoints = append(c.Endpoints, entry(i, state))
	}
	d.do(d.router.ListUpdated(d.now, kind, c, balancer.WatchStatus{}))
}

func entry(i int, state balancer.ServerState) protocol.Endpoint {
	return protocol.Endpoint{
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		Server: balancer.Server{ID: fmt.Sprint("s-", i), Zone: "a", MachineKind: "k", State: state, Weight: 1},
	}
}

func (d *day) arrive(class, id string) uint32 { return d.arriveIn(class, id, 900*time.Millisecond) }

func (d *day) arriveIn(class, id string, left time.Duration) uint32 {
	return d.come(&protocol.Request{CorrelationID: id, Class: class, Key: id, TimeLeft: left}, 0)
}

// come has an operation arrive that was sent some time ago.
func (d *day) come(op *protocol.Request, age time.Duration) uint32 {
	d.until[d.router.lastID+1] = d.now - age + op.TimeLeft
	n, out := d.router.RequestArrived(d.now, op, d.now-age)
	d.do(out)
	return n
}

// ask has one operation carried out, and returns its answer and the number of its route steps.
func (d *day) ask(class string) (protocol.ResponseKind, int) {
	before := len(d.sent)
	n := d.arrive(class, fmt.Sprint(class, d.now))
	d.run(time.Second)
	return d.answers[n][0].Result, len(d.sent) - before
}

func (d *day) do(out []Output) {
	for _, o := range out {
		d.text = append(d.text, fmt.Sprint(d.now, o))
		ref := stepRef{o.Request, o.Attempt}
		switch o.Kind {
		case Respond:
			d.require(d.module.adds != nil || d.now <= d.until[o.Request], "answered when its client had left")
			d.answers[o.Request] = append(d.answers[o.Request], o)
		case ForgetRequest:
			d.forgot[o.Request]++
		case StartAttempt:
			d.start(&attempted{stepRef: ref, server: o.Endpoint, sent: d.now, until: o.At})
		case CancelAttempt:
			s := d.steps[ref]
			d.require(s != nil && !s.ended, "a step cancelled that is not out")
			d.after(0, func() { d.finish(s, reaction{saw: AttemptResult{Phase: AwaitingResponse, EndReason: o.Why}}) })
		case CancelIfUnsent:
			s := d.steps[ref]
			d.require(s != nil && !s.ended, "a step unwanted that is not out")
			if s.unwanted = true; !s.sentOn {
				d.after(0, func() { d.finish(s, reaction{saw: AttemptResult{Phase: Connecting, EndReason: Canceled}}) })
			}
		case SetTimer:
			d.after(o.At-d.now, func() { d.do(d.router.TimerDue(d.now, o.Tag)) })
		case WatchList:
			d.subs++
		case OpenEndpoint:
			d.require(d.pools[o.Endpoint] == nil, "opened twice")
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

func (d *day) start(s *attempted) {
	s.pool = d.pools[s.server]
	d.require(s.pool != nil, "a step to a server that is not there")
	d.require(d.steps[s.stepRef] == nil, "a step started twice")
	d.require(len(d.answers[s.id]) == 0 && !d.gone[s.id], "sent where no answer is owed")
	d.require(s.until > d.now && s.until <= d.until[s.id] && s.attempt < 3, "sent in vain")
	d.steps[s.stepRef] = s
	d.sent = append(d.sent, s)
	lease, closing := s.pool.Acquire(d.now)
	d.close(closing)
	s.lease, s.conn = lease, lease.Conn
	if !s.lease.Reused {
		if !d.descriptors.AcquireUpstream() {
			d.after(0, func() { d.finish(s, reaction{}) })
			return
		}
		d.conns++
		s.conn = d.conns
		d.open[s.conn] = true
	}
	r := d.react(s)
	r.waits = max(r.waits, lease.WriteDelay)
	if s.sentOn = r.waits == 0; !s.sentOn {
		r.after, r.begins = r.after+r.waits, 0
		d.after(r.waits, func() {
			if s.sentOn = !s.ended && !s.unwanted; s.sentOn {
				d.require(len(d.answers[s.id]) == 0 && !d.gone[s.id], "sent on for nobody")
			}
		})
	}
	r.saw.Reused, r.saw.IdleFor = s.lease.Reused, s.lease.IdleFor
	if r.begins > 0 && r.begins < s.until-d.now {
		d.after(r.begins, func() {
			if !s.ended {
				r.saw.Streamed = true
				d.do(d.router.ResponseStarted(d.now, s.id, s.attempt))
			}
		})
	}
	if r.after >= s.until-d.now {
		r = reaction{after: s.until - d.now, saw: AttemptResult{Phase: AwaitingResponse, EndReason: TimedOut}}
	}
	d.after(r.after, func() { d.finish(s, r) })
}

func (d *day) finish(s *attempted, r reaction) {
	if s.ended {
		return
	}
	saw := r.saw
	s.ended, s.outcome = true, saw.Outcome()
	if stood, lost, counts := saw.IdleEvidence(); counts {
		d.limit.Record(d.now, stood, lost)
	}
	saw.Latency = d.now - s.sent
	d.do(d.router.AttemptEnded(d.now, s.id, s.attempt, saw))
	if s.lease.Reused && !s.sentOn { // it goes back as it was
		d.close(s.pool.ReturnUnused(s.lease, r.ended))
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
	d.close(s.pool.Release(d.now, s.conn, s.lease.Addr, r.ended))
	d.expire(s.pool)
}

// expire closes a pool's connections whose time is up, now and as they come due.
func (d *day) expire(p *Pool[int]) {
	d.close(p.Expire(d.now))
	if at, any := p.NextExpiry(); any {
		d.after(at-d.now, func() { d.expire(p) })
	}
}

func (d *day) close(conns []int) {
	for _, c := range conns {
		d.require(d.open[c], "closed twice")
		delete(d.open, c)
		d.descriptors.ReleaseUpstream()
	}
}

func (d *day) leave(id uint32) {
	d.gone[id] = true
	d.do(d.router.ClientGone(d.now, id))
}

func (d *day) require(holds bool, what string) {
	if !holds {
		d.broken = append(d.broken, what)
	}
}

// run plays on for so long.
func (d *day) run(span time.Duration) {
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

// after has something done later: at one instant, in the order in which it was asked for.
func (d *day) after(wait time.Duration, do func()) {
	at := d.now + wait
	i := sort.Search(len(d.events), func(i int) bool { return d.events[i].at > at })
	d.events = slices.Insert(d.events, i, event{at, do})
}

type event struct {
	at time.Duration
	do func()
}
