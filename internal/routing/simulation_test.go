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

// reaction is how an endpoint reacts to an attempt, and when. If it takes longer than the attempt's timeout, the attempt times out.
type reaction struct {
	duration    time.Duration // until the attempt ends
	writeDelay  time.Duration // until the connection is established and the attempt is written
	streamDelay time.Duration // until a streamed response begins; zero: the response is not streamed
	result      AttemptResult
	closeConn   bool // the connection can't be reused
	connEnded   bool // the connection has ended when the pool gets it back
}

// completed returns a reaction with a complete response.
func completed(o balancer.Outcome) reaction {
	return reaction{duration: 10 * time.Millisecond, result: AttemptResult{Phase: Responding, EndReason: Completed, Response: o}}
}

// broken returns a reaction where the endpoint closes the connection in a phase.
func broken(p AttemptPhase) reaction {
	return reaction{duration: 10 * time.Millisecond, result: AttemptResult{Phase: p, EndReason: BrokenByEndpoint}}
}

var noResponse = reaction{duration: time.Hour}

// recordingModule is a balancer that records its events, and adds a test's actions to its own.
type recordingModule struct {
	*balancer.Balancer
	events     []balancer.Event // copied, since the router reuses some
	addActions func(balancer.Event) []balancer.Action
}

func (m *recordingModule) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	copied := reflect.New(reflect.TypeOf(ev).Elem())
	copied.Elem().Set(reflect.ValueOf(ev).Elem())
	m.events = append(m.events, copied.Interface().(balancer.Event))
	acts := m.Balancer.Step(now, ev)
	if m.addActions != nil {
		acts = append(acts, m.addActions(ev)...)
	}
	return acts
}

// simulation runs a Router and its Pools in virtual time, as their actors would, and records what it observes.
type simulation struct {
	now         time.Duration
	router      *Router
	module      *recordingModule
	limit       *IdleLimit
	descriptors *Descriptors
	pools       map[string]*Pool[int]
	retired     []*Pool[int]
	react       func(*sentAttempt) reaction

	events      []event // sorted by time
	attempts    map[attemptKey]*sentAttempt
	sent        []*sentAttempt
	responses   map[uint32][]Output
	clientGone  map[uint32]bool
	clientUntil map[uint32]time.Duration // when each client leaves
	forgotten   map[uint32]int
	open        map[int]bool // connections
	lastConn    int
	watches     int
	trace       []string // of all outputs
	violations  []string // rules that were broken
}

type attemptKey struct {
	id      uint32
	attempt int
}

type sentAttempt struct {
	attemptKey
	server    string
	pool      *Pool[int]
	checkout  Checkout[int]
	conn      int
	sentAt    time.Duration
	timeoutAt time.Duration
	written   bool
	ended     bool
	outcome   balancer.Outcome

	canceled bool // the router has canceled it if it is unsent
}

// newSimulation returns a simulation with that many ready endpoints.
func newSimulation(set balancer.Settings, endpoints int) *simulation {
	decisions, err := balancer.New(Permitted(set), 7)
	if err != nil {
		panic(err)
	}
	module := &recordingModule{Balancer: decisions}
	d := &simulation{
		now: epoch, module: module, router: NewRouter(set, module), limit: NewIdleLimit(epoch, 15*time.Second),
		descriptors: NewDescriptors(1024), pools: map[string]*Pool[int]{}, attempts: map[attemptKey]*sentAttempt{},
		responses: map[uint32][]Output{}, clientGone: map[uint32]bool{}, clientUntil: map[uint32]time.Duration{},
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
	return d.arriveWithTimeLeft(class, id, 900*time.Millisecond)
}

func (d *simulation) arriveWithTimeLeft(class, id string, left time.Duration) uint32 {
	return d.arriveAfterDelay(&protocol.Request{CorrelationID: id, Class: class, Key: id, TimeLeft: left}, 0)
}

// arriveAfterDelay simulates the arrival of a request that was sent age ago.
func (d *simulation) arriveAfterDelay(in *protocol.Request, age time.Duration) uint32 {
	d.clientUntil[d.router.lastID+1] = d.now - age + in.TimeLeft
	n, out := d.router.RequestArrived(d.now, in, d.now-age)
	d.apply(out)
	return n
}

// request runs one request, and returns its result and the number of its attempts.
func (d *simulation) request(class string) (protocol.ResponseKind, int) {
	before := len(d.sent)
	n := d.arrive(class, fmt.Sprint(class, d.now))
	d.run(time.Second)
	return d.responses[n][0].Result, len(d.sent) - before
}

func (d *simulation) apply(out []Output) {
	for _, o := range out {
		d.trace = append(d.trace, fmt.Sprint(d.now, o))
		ref := attemptKey{o.Request, o.Attempt}
		switch o.Kind {
		case Respond:
			d.check(d.module.addActions != nil || d.now <= d.clientUntil[o.Request], "a response after the client's timeout")
			d.responses[o.Request] = append(d.responses[o.Request], o)
		case ForgetRequest:
			d.forgotten[o.Request]++
		case StartAttempt:
			d.start(&sentAttempt{attemptKey: ref, server: o.Endpoint, sentAt: d.now, timeoutAt: o.At})
		case CancelAttempt:
			s := d.attempts[ref]
			d.check(s != nil && !s.ended, "a canceled attempt is not open")
			d.schedule(0, func() { d.finish(s, reaction{result: AttemptResult{Phase: AwaitingResponse, EndReason: o.Reason}}) })
		case CancelIfUnsent:
			s := d.attempts[ref]
			d.check(s != nil && !s.ended, "an attempt to cancel if unsent is not open")
			if s.canceled = true; !s.written {
				d.schedule(0, func() { d.finish(s, reaction{result: AttemptResult{Phase: Connecting, EndReason: Canceled}}) })
			}
		case SetTimer:
			d.schedule(o.At-d.now, func() { d.apply(d.router.TimerDue(d.now, o.Tag)) })
		case WatchList:
			d.watches++
		case OpenEndpoint:
			d.check(d.pools[o.Endpoint] == nil, "an endpoint is opened twice")
			d.pools[o.Endpoint] = NewPool[int](o.Addr, d.limit, ReuseDelay)
		case SetEndpointAddress:
			d.close(d.pools[o.Endpoint].SetAddress(o.Addr))
		case ReplaceEndpoint:
			d.close(d.pools[o.Endpoint].ProcessReplaced())
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
	d.check(s.pool != nil, "an attempt for an endpoint that is not open")
	d.check(d.attempts[s.attemptKey] == nil, "an attempt is started twice")
	d.check(len(d.responses[s.id]) == 0 && !d.clientGone[s.id], "sent though the request needs no response")
	d.check(s.timeoutAt > d.now && s.timeoutAt <= d.clientUntil[s.id] && s.attempt < 3, "sent too late or too often")
	d.attempts[s.attemptKey] = s
	d.sent = append(d.sent, s)
	checkout, closing := s.pool.Acquire(d.now)
	d.close(closing)
	s.checkout, s.conn = checkout, checkout.Conn
	if !s.checkout.Reused {
		if !d.descriptors.AcquireUpstream() {
			d.schedule(0, func() { d.finish(s, reaction{}) })
			return
		}
		d.lastConn++
		s.conn = d.lastConn
		d.open[s.conn] = true
	}
	r := d.react(s)
	r.writeDelay = max(r.writeDelay, checkout.WriteDelay)
	if s.written = r.writeDelay == 0; !s.written {
		r.duration, r.streamDelay = r.duration+r.writeDelay, 0
		d.schedule(r.writeDelay, func() {
			if s.written = !s.ended && !s.canceled; s.written {
				d.check(len(d.responses[s.id]) == 0 && !d.clientGone[s.id], "written though the request needs no response")
			}
		})
	}
	r.result.Reused, r.result.IdleFor = s.checkout.Reused, s.checkout.IdleFor
	if r.streamDelay > 0 && r.streamDelay < s.timeoutAt-d.now {
		d.schedule(r.streamDelay, func() {
			if !s.ended {
				r.result.Streamed = true
				d.apply(d.router.ResponseStarted(d.now, s.id, s.attempt))
			}
		})
	}
	if r.duration >= s.timeoutAt-d.now {
		r = reaction{duration: s.timeoutAt - d.now, result: AttemptResult{Phase: AwaitingResponse, EndReason: TimedOut}}
	}
	d.schedule(r.duration, func() { d.finish(s, r) })
}

func (d *simulation) finish(s *sentAttempt, r reaction) {
	if s.ended {
		return
	}
	result := r.result
	s.ended, s.outcome = true, result.Outcome()
	if idle, lost, counts := result.IdleEvidence(); counts {
		d.limit.Record(d.now, idle, lost)
	}
	result.Latency = d.now - s.sentAt
	d.apply(d.router.AttemptEnded(d.now, s.id, s.attempt, result))
	if s.checkout.Reused && !s.written { // returned with its idle time
		d.close(s.pool.ReturnUnused(s.checkout, r.connEnded))
		d.expire(s.pool)
		return
	}
	if r.closeConn || result.EndReason != Completed {
		s.pool.ReleaseClosed()
		if s.conn != 0 {
			d.close([]int{s.conn})
		}
		return
	}
	d.close(s.pool.Release(d.now, s.conn, s.checkout.Addr, r.connEnded))
	d.expire(s.pool)
}

// expire closes a pool's expired connections, and schedules itself for the next expiry.
func (d *simulation) expire(p *Pool[int]) {
	d.close(p.Expire(d.now))
	if at, ok := p.NextExpiry(); ok {
		d.schedule(at-d.now, func() { d.expire(p) })
	}
}

func (d *simulation) close(conns []int) {
	for _, c := range conns {
		d.check(d.open[c], "a connection is closed twice")
		delete(d.open, c)
		d.descriptors.ReleaseUpstream()
	}
}

func (d *simulation) clientLeaves(id uint32) {
	d.clientGone[id] = true
	d.apply(d.router.ClientGone(d.now, id))
}

// check records a violation if a rule does not hold.
//
//nolint:revive // flag-parameter: an assertion's condition
func (d *simulation) check(holds bool, violation string) {
	if !holds {
		d.violations = append(d.violations, violation)
	}
}

// run advances the time by span and runs the events that are due until then.
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

// schedule adds a function to run after a delay. Functions due at the same time run in the order in which they were scheduled.
func (d *simulation) schedule(delay time.Duration, do func()) {
	at := d.now + delay
	i := sort.Search(len(d.events), func(i int) bool { return d.events[i].at > at })
	d.events = slices.Insert(d.events, i, event{at, do})
}

type event struct {
	at time.Duration
	do func()
}
