package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/metrics"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

// Settings is what an Agent goes by.
type Settings struct {
	Deployment  protocol.Settings
	Seed        uint64
	Overload    overload.Config
	Discovery   netip.AddrPort
	Initial     state.Initial // the list, and what was learned before a restart
	Probation   state.ProbationSettings
	Descriptors *transport.Descriptors
	Bodies      *transport.BodyLimits
	Metrics     *metrics.Figures
	Disabled    []routing.DisabledEndpoint // that hold from the start
	Datagrams   *transport.Datagrams       // nil where agents do not talk to one another
	// FleetReady tells whether this agent has what it has to have beside the list before it says that it is
	// ready; nil: there is nothing.
	FleetReady func() bool
	// FleetCaughtUp tells whether this process knows what its fleet has agreed on, as far as it can be known; operations
	// wait for that a little: see Agent.HandleRequest. Nil: there is nothing to know.
	FleetCaughtUp func() bool
	// FleetPolicy tells, at each moment, what the fleet has agreed on that this agent goes by; nil: there is
	// nothing. The same pointer stands for the same effect.
	FleetPolicy func() *policy.Effect
	// Exclusions tells, at each moment, which servers tenants' keys keep off; nil: there is nothing. The same
	// pointer stands for the same.
	Exclusions func() *balancer.Exclusions
	// RingAssignment tells, at each moment, the generation of the ring that the fleet goes by; nil: each agent goes by
	// its own list. The same pointer stands for the same.
	RingAssignment func() *balancer.RingAssignment
	// OnStateChange is told, from the module's actor, that something of weight has changed in what is kept; nil:
	// nobody is.
	OnStateChange func()
}

// Agent is the module's actor, with the actors that it tells what to do.
type Agent struct {
	upstreamSettings  upstreamSettings
	mail              *mailbox[any]
	clock             clock
	ready             atomic.Bool
	fleetReady        func() bool
	fleetCaughtUp     func() bool
	fleetPolicy       func() *policy.Effect
	appliedPolicy     *policy.Effect // the actor's: what it goes by
	exclusions        func() *balancer.Exclusions
	appliedExclusions *balancer.Exclusions // the actor's, too
	ringAssignment    func() *balancer.RingAssignment
	appliedAssignment *balancer.RingAssignment // the actor's, too

	// Owned by the actor.
	gate                *overload.Controller // before the decision module
	balancer            *balancer.Balancer
	metrics             *metrics.Figures
	ejectionsReportedAt time.Duration // when the module's view was last told to the figures
	router              *routing.Router
	recorder            stateRecorder
	list                *listActor
	peers               *peerSender
	upstreams           map[string]*upstream
	requests            map[uint32]*request
	response            protocol.UpstreamResponse // of the attempt that the core is being told of
}

// operation is an operation that the core knows, under its number. All but answer is the module's actor's.
type request struct {
	*protocol.Request
	id       uint32
	response chan protocol.Response
	attempts []*attempt // by their numbers; nil: not started
}

// The messages of the module's actor, beside *operation, responseStarted, attemptEnded, listUpdate and
// protocol.Datagram.
type (
	clientGone         struct{ operation *request }
	bodyComplete       struct{ operation *request }
	failAll            struct{}
	timerDue           struct{ tag uint64 }
	releaseIdle        struct{}
	snapshotQuery      struct{ to chan<- state.Snapshot }
	overloadChanged    struct{ figures overload.Config }
	fleetPolicyChanged struct{ effect *policy.Effect }
	tenantStatsQuery   struct{ to chan<- tenantStatsReply }
	baselineQuery      struct {
		to chan<- []balancer.BaselineLatency
	}
	fleetSizeChanged struct {
		balancer.FleetSize
		overload int
	}
)

// strain is how the tenants' requests have fared, and whether some are held back for a storm.
type tenantStatsReply struct {
	all       []balancer.TenantStats
	holdsBack bool
}

// Initial starts the actors. The module learns the known list at once and asks discovery for news.
func Start(set Settings) (*Agent, error) {
	if set.Metrics == nil {
		set.Metrics = metrics.New(nil)
	}
	permitted := routing.Permitted(set.Deployment.Settings)
	balancer, err := balancer.New(permitted, set.Seed)
	if err != nil {
		return nil, err
	}
	gate, err := overload.New(permitted, set.Overload, balancer, set.Seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), gate: gate, balancer: balancer, metrics: set.Metrics,
		router: routing.NewRouter(permitted, gate), upstreams: map[string]*upstream{},
		requests: map[uint32]*request{}, fleetReady: set.FleetReady, fleetCaughtUp: set.FleetCaughtUp,
		fleetPolicy: set.FleetPolicy, exclusions: set.Exclusions, ringAssignment: set.RingAssignment,
	}
	limit := &idleLimit{core: routing.NewIdleLimit(a.clock.now(), set.Deployment.ConnIdleTimeout)}
	a.upstreamSettings = upstreamSettings{
		clock: a.clock, connectTimeout: connectWait(set.Deployment),
		reuseDelay: routing.ReuseDelay,
		idleLimit:  limit, connectTimeouts: &connectTimeouts{}, descriptors: set.Descriptors, bodies: set.Bodies,
		metrics: set.Metrics,
	}
	a.recorder = stateRecorder{
		session:       state.NewRecorder(set.Initial, balancer, gate, limit, set.Probation),
		usesProbation: set.Probation.Enabled, changed: set.OnStateChange, clock: a.clock,
	}
	a.list = startList(set.Discovery, set.Initial.List, set.Disabled, a.clock, set.Metrics,
		func(n listUpdate) { a.mail.put(n) })
	if set.Datagrams != nil {
		a.peers = startPeerSender(set.Datagrams)
	}
	go a.mail.receive(a.handle)
	return a, nil
}

// connectWait is how long an attempt waits for its connection at the most. Guards against one that is sent
// on, after the grace, to a booking server which began to drain meanwhile: half of that is left for its way.
func connectWait(set protocol.Settings) time.Duration {
	if grace := set.Rules.DrainGrace; grace > 0 {
		return min(set.ConnectTimeout, grace/2)
	}
	return set.ConnectTimeout
}

// IsReady tells whether a booking server is known that takes operations, and what has to be there beside it
// is.
func (a *Agent) Ready() bool { return a.ready.Load() && (a.fleetReady == nil || a.fleetReady()) }

// HandleRequest carries an operation out and returns its final answer; false where the client left before. In a
// process that just began it may wait first, see learn.
func (a *Agent) HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool) {
	if !a.waitForFleetState(ctx, op.TimeLeft) {
		op.Release()
		return protocol.Response{}, false
	}
	o := &request{Request: op, response: make(chan protocol.Response, 1)}
	a.mail.put(o)
	whole := op.BodyComplete
	for {
		select {
		case answer := <-o.response:
			return answer, true
		case <-whole:
			whole = nil
			a.mail.put(bodyComplete{o})
		case <-ctx.Done():
			a.mail.put(clientGone{o})
			return protocol.Response{}, false
		}
	}
}

const (
	// fleetWaitFraction of its client's time, and maxFleetWait, is how long an operation waits in a process that just
	// began, which does not know yet what its fleet has agreed on; fleetPollInterval is how often it is looked.
	fleetWaitFraction = 0.5
	maxFleetWait      = time.Second
	fleetPollInterval = 2 * time.Millisecond
)

// learn has an operation that comes before this process has caught up with its fleet wait a little: sent on
// at once it could reach a booking server that staff were told is free of such requests. False: the client
// has left.
func (a *Agent) waitForFleetState(ctx context.Context, timeLeft time.Duration) bool {
	if a.fleetCaughtUp == nil || a.fleetCaughtUp() {
		return true
	}
	enough := time.NewTimer(min(time.Duration(fleetWaitFraction*float64(timeLeft)), maxFleetWait))
	defer enough.Stop()
	again := time.NewTicker(fleetPollInterval)
	defer again.Stop()
	for !a.fleetCaughtUp() {
		select {
		case <-again.C:
		case <-enough.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// ReceiveDatagram takes another agent's datagram in, or drops it where too many messages wait.
func (a *Agent) ReceiveDatagram(d protocol.Datagram) {
	if a.mail.waiting() < maxDatagramsWaiting {
		a.mail.put(d)
	}
}

// SetDiscovery has the pool config watched at another address from now on.
func (a *Agent) SetDiscovery(addr netip.AddrPort) { a.list.mail.put(discoveryMoved{addr}) }

// SetOverload has the gate before the module go by other figures.
func (a *Agent) SetOverload(f overload.Config) { a.mail.put(overloadChanged{f}) }

// SetFleetPolicy has the agent go by what its fleet has agreed on, from what is handled next on; nil: by its
// settings alone. The effect is not to be changed any more. It holds until the next SetFleetPolicy, also over
// SetOverload.
func (a *Agent) SetFleetPolicy(effect *policy.Effect) { a.mail.put(fleetPolicyChanged{effect}) }

// SetFleetSize has the module, and the gate before it, divide by how many agents are there; see balancer.FleetSize and
// overload.Controller.
func (a *Agent) SetFleetSize(p balancer.FleetSize, storm int) { a.mail.put(fleetSizeChanged{p, storm}) }

// TenantStats tells how the tenants' requests have fared since the start, in the order of the settings and first
// those of none, nil where ctx ends before; and whether requests are held back for a storm.
func (a *Agent) TenantStats(ctx context.Context) (all []balancer.TenantStats, damps bool) {
	to := make(chan tenantStatsReply, 1)
	a.mail.put(tenantStatsQuery{to})
	select {
	case s := <-to:
		return s.all, s.holdsBack
	case <-ctx.Done():
		return nil, false
	}
}

// BaselineLatencies tells how quick the kinds of servers were; nil where ctx ends before.
func (a *Agent) BaselineLatencies(ctx context.Context) []balancer.BaselineLatency {
	to := make(chan []balancer.BaselineLatency, 1)
	a.mail.put(baselineQuery{to})
	select {
	case all := <-to:
		return all
	case <-ctx.Done():
		return nil
	}
}

// FailAll fails every operation that is still unanswered: the agent is about to end.
func (a *Agent) FailAll() { a.mail.put(failAll{}) }

// ReleaseIdle has idle connections to booking servers closed.
func (a *Agent) ReleaseIdle() { a.mail.put(releaseIdle{}) }

// follow has the core go by what is agreed at this moment, before it is told of anything: a lease that
// has run out, as while the process stood still, is seen before the next decision.
func (a *Agent) applyFleetState() {
	if a.fleetPolicy != nil {
		if e := a.fleetPolicy(); e != a.appliedPolicy {
			a.appliedPolicy = e
			a.router.SetFleetPolicy(e)
		}
	}
	if a.exclusions != nil {
		if v := a.exclusions(); v != a.appliedExclusions {
			a.appliedExclusions = v
			a.router.SetExclusions(v)
		}
	}
	if a.ringAssignment != nil {
		if p := a.ringAssignment(); p != a.appliedAssignment {
			a.appliedAssignment = p
			a.router.SetRingAssignment(p)
		}
	}
}

func (a *Agent) handle(m any) bool {
	a.applyFleetState()
	now := a.clock.now()
	switch m := m.(type) {
	case *request:
		a.startRequest(now, m)
	case responseStarted:
		a.responseStarted(now, m)
	case attemptEnded:
		a.response = m.response
		a.carryOutAll(a.router.AttemptEnded(now, m.attempt.request.id, m.attempt.number, m.result))
		a.closeUnusedResponse()
	case clientGone:
		a.carryOutAll(a.router.ClientGone(now, m.operation.id))
		m.operation.closeUntakenResponse()
	case bodyComplete:
		a.carryOutAll(a.router.BodyComplete(now, m.operation.id))
	case timerDue:
		a.carryOutAll(a.router.TimerDue(now, m.tag))
	case listUpdate:
		a.carryOutAll(a.router.ListUpdated(now, m.kind, m.list, m.watch))
		a.recorder.listUpdated(now, m)
		a.ready.Store(a.router.HasReadyEndpoint())
	case protocol.Datagram:
		a.carryOutAll(a.router.DatagramReceived(now, m))
	case overloadChanged:
		if err := a.gate.SetConfig(m.figures); err != nil {
			slog.Warn("overload settings not applied", "error", err)
		}
	case fleetPolicyChanged:
		a.router.SetFleetPolicy(m.effect)
	case fleetSizeChanged:
		a.balancer.SetFleetSize(m.FleetSize)
		a.gate.SetFleetSize(m.overload)
	case tenantStatsQuery:
		m.to <- tenantStatsReply{a.router.TenantStats(), a.gate != nil && a.gate.IsShedding()}
	case baselineQuery:
		m.to <- a.balancer.BaselineLatencies()
	case failAll:
		a.carryOutAll(a.router.FailAll())
	case snapshotQuery:
		m.to <- a.recorder.session.Snapshot(now)
	case releaseIdle:
		a.carryOutAll(a.router.ReleaseIdle())
	}
	a.reportEjections(now)
	return true
}

// ejectionReportInterval is how often the figures are told whom the module avoids, at most.
const ejectionReportInterval = 100 * time.Millisecond

// view tells the figures whom the module avoids. It comes with what is handled anyway: the module's
// rounds at the latest.
func (a *Agent) reportEjections(now time.Duration) {
	if a.balancer != nil && now-a.ejectionsReportedAt >= ejectionReportInterval {
		a.ejectionsReportedAt = now
		a.metrics.SetAvoided(a.balancer.EjectedServers())
	}
}

// DisableEndpoint takes a booking server out by hand, EnableEndpoint puts it back. WasListed is false where no list ever had the id;
// bans are all that hold after it.
func (a *Agent) DisableEndpoint(ctx context.Context, id string) (bans []routing.DisabledEndpoint, listed bool, err error) {
	return a.setDisabled(ctx, setDisabled{id: id})
}

// EnableEndpoint puts a booking server back; see DisableEndpoint.
func (a *Agent) EnableEndpoint(ctx context.Context, id string) (bans []routing.DisabledEndpoint, listed bool, err error) {
	return a.setDisabled(ctx, setDisabled{id: id, enable: true})
}

func (a *Agent) setDisabled(ctx context.Context, m setDisabled) ([]routing.DisabledEndpoint, bool, error) {
	done := make(chan disableResult, 1)
	m.done = done
	a.list.mail.put(m)
	select {
	case b := <-done:
		return b.disabled, b.listed, b.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// WasListed tells whether a list ever had a booking server; false where that is not known before ctx ends.
func (a *Agent) WasListed(ctx context.Context, id string) bool {
	done := make(chan bool, 1)
	a.list.mail.put(listedQuery{id, done})
	select {
	case is := <-done:
		return is
	case <-ctx.Done():
		return false
	}
}

// Endpoints are those on this agent's own list, as staff's word leaves them; false: that is not known before
// ctx ends.
func (a *Agent) Endpoints(ctx context.Context) ([]balancer.Server, bool) {
	done := make(chan []balancer.Server, 1)
	a.list.mail.put(endpointsQuery{done})
	select {
	case all := <-done:
		return all, true
	case <-ctx.Done():
		return nil, false
	}
}

// MergeDisabled takes in what another process of this agent was told by hand.
func (a *Agent) MergeDisabled(bans []routing.DisabledEndpoint) { a.list.mail.put(mergeDisabled{bans}) }

// begin hands an operation to the core, which gives it its number.
func (a *Agent) startRequest(now time.Duration, o *request) {
	id, out := a.router.RequestArrived(now, o.Request, a.clock.at(o.ArrivedAt))
	o.id = id
	a.requests[id] = o
	a.carryOutAll(out)
}

// began takes an answer that is longer than what is held whole.
func (a *Agent) responseStarted(now time.Duration, m responseStarted) {
	a.response = m.response
	if m.attempt.timer.Stop() { // else its time is up, and its end will be told
		a.carryOutAll(a.router.ResponseStarted(now, m.attempt.request.id, m.attempt.number))
	}
	a.closeUnusedResponse()
}

// drop gives up the reply in hand where it has become nobody's answer.
func (a *Agent) closeUnusedResponse() {
	if a.response.Flow != nil {
		a.response.Flow.Close()
	}
	a.response = protocol.UpstreamResponse{}
}

// closeUntakenResponse gives up an answer that crossed the client's leaving.
func (o *request) closeUntakenResponse() {
	select {
	case answer := <-o.response:
		if answer.Flow != nil {
			answer.Flow.Close()
		}
	default:
	}
}

// do carries out what the core says.
func (a *Agent) carryOutAll(out []routing.Output) {
	for i := range out {
		a.carryOut(&out[i])
	}
}

func (a *Agent) carryOut(out *routing.Output) {
	o := a.requests[out.Request]
	switch out.Kind {
	case routing.Respond:
		a.respond(o, out)
	case routing.StartAttempt:
		s := newAttempt(o, *out, a.clock)
		for len(o.attempts) <= out.Attempt {
			o.attempts = append(o.attempts, nil)
		}
		o.attempts[out.Attempt] = s
		a.upstreams[out.Endpoint].mail.put(s)
	case routing.RescheduleAttempt:
		o.attempts[out.Attempt].reschedule(a.clock.time(out.At), a.clock.time(out.Deadline))
	case routing.CancelAttempt:
		o.attempts[out.Attempt].cancel(out.Why)
	case routing.CancelIfUnsent:
		o.attempts[out.Attempt].cancelIfUnsent()
	case routing.ForgetRequest:
		o.Release()
		delete(a.requests, out.Request)
	case routing.SetTimer:
		tag := out.Tag
		time.AfterFunc(a.clock.until(out.At), func() { a.mail.put(timerDue{tag}) })
	case routing.SendDatagram:
		if a.peers != nil {
			a.peers.enqueue(protocol.Datagram{Agent: out.Peer, Data: out.Data})
		}
	case routing.WatchList:
		a.list.mail.put(watchList{})
	case routing.FetchList:
		a.list.mail.put(fetchList{})
	case routing.OpenEndpoint:
		a.upstreams[out.Endpoint] = startUpstream(a.upstreamSettings, out.Addr, func(m any) { a.mail.put(m) })
	case routing.SetEndpointAddress:
		a.upstreams[out.Endpoint].mail.put(addressChanged{out.Addr})
	case routing.RemoveEndpoint:
		a.upstreams[out.Endpoint].mail.put(retire{})
		delete(a.upstreams, out.Endpoint)
	case routing.DrainEndpoint:
		a.upstreams[out.Endpoint].mail.put(stopReuse{})
	case routing.ReleaseIdle:
		a.upstreams[out.Endpoint].mail.put(closeIdleHalf{})
	case routing.LogDecision:
		slog.Info("balancer", "says", out.Text)
		a.recorder.stateChanged() // what the module says is what changes its mind
	case routing.UnsupportedProbe:
		slog.Error("balancer requested a probe, which is not permitted", "server", out.Endpoint)
	}
}

// answer gives the one final answer; a good one is the reply in hand.
func (a *Agent) respond(o *request, out *routing.Output) {
	answer := protocol.Response{
		Kind: out.Result, RetryAfter: out.After, OverQuota: out.OverQuota,
		Quota: out.Quota, Body: []byte(out.Text),
	}
	if out.Result == protocol.Served {
		answer = protocol.Response{
			Kind: protocol.Served, Flow: a.response.Flow, ContentType: a.response.ContentType,
			Status: a.response.Status,
		}
		a.response.Flow = nil
	}
	answer.Streaming = out.Streaming
	o.response <- answer
}
