// Package agent runs the load balancing agent: it carries out the decisions of packages routing, balancer and
// overload with sockets and timers.
//
// It consists of actors. Each is a goroutine with a mailbox (mailbox.go) and the only one to access its
// state: the Agent with the requests, the router and the balancer (actor.go), one upstream for each
// endpoint with its connections (upstream.go), the endpoint list with the calls to discovery (list.go), the
// sender of datagrams to other agents (peers.go), and the FleetActor (fleetactor.go). Each attempt runs in
// its own goroutine (exchange.go). The actors run until the process ends, except for an upstream, whose
// actor ends once its endpoint was removed and its connections are returned.
//
// The exported methods of Agent and FleetActor are safe for concurrent use. The package does not depend on
// a wire format: requests, responses and lists are typed values.
package agent

import (
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

// Settings are the parameters of an Agent.
type Settings struct {
	Deployment  protocol.Settings
	Seed        uint64
	Overload    overload.Config
	Discovery   netip.AddrPort
	Initial     state.Initial // the endpoint list, and what was learned before a restart
	Probation   state.ProbationSettings
	Descriptors *transport.Descriptors
	Bodies      *transport.BodyLimits
	Metrics     *metrics.Counters          // nil: not used
	Disabled    []routing.DisabledEndpoint // endpoints disabled from the start
	Datagrams   *transport.Datagrams       // nil: agents don't communicate
	// FleetReady reports whether this agent has the fleet state that it needs to be ready; nil: it needs
	// none.
	FleetReady func() bool
	// FleetCaughtUp reports whether this process has learned what its fleet has agreed on, as
	// far as possible. Requests wait for it for a limited time: see Agent.HandleRequest. Nil:
	// there is no fleet state.
	FleetCaughtUp func() bool
	// FleetPolicy returns the effect of the agreed policy at the moment of the call; nil, or a nil effect:
	// there is none. The same pointer means an unchanged effect.
	FleetPolicy func() *policy.Effect
	// Exclusions returns the endpoints that tenants' requests avoid at the moment of the call; nil: none.
	// The same pointer means unchanged exclusions.
	Exclusions func() *balancer.Exclusions
	// RingAssignment returns the agreed ring assignment at the moment of the call; nil: each agent uses its
	// own list. The same pointer means an unchanged assignment.
	RingAssignment func() *balancer.RingAssignment
	// RequestIDs has the ids that are open at all processes of this agent; nil: no other process is known.
	RequestIDs RequestIDs
	// OnStateChange is called by the agent's actor when the state that is stored has changed
	// significantly; nil: not called.
	OnStateChange func()
}

// Agent is the agent's main actor. It starts and uses the other actors.
type Agent struct {
	mail          *mailbox[any]
	clock         clock
	hasEndpoint   atomic.Bool // at least one endpoint is ready
	fleetReady    func() bool
	fleetCaughtUp func() bool
	list          *listActor
	ids           RequestIDs      // nil: not used
	idempotent    map[string]bool // classes whose requests may run twice

	// Accessed only by the actor's goroutine.
	fleet        fleetSources
	openUpstream func(netip.AddrPort) *upstream
	controller   *overload.Controller
	balancer     *balancer.Balancer
	metrics      *metrics.Counters
	ejectedAt    time.Duration // when the ejected servers were last reported to the metrics
	router       *routing.Router
	recorder     stateRecorder
	peers        *peerSender // nil: agents don't communicate
	upstreams    map[string]*upstream
	requests     map[uint32]*request
	response     protocol.UpstreamResponse // of the attempt whose report the router handles
}

// Start starts the actors and returns the Agent. The balancer gets the initial list at once and requests a
// newer one from discovery. The error reports invalid settings.
func Start(set Settings) (*Agent, error) {
	if set.Metrics == nil {
		set.Metrics = metrics.New(nil)
	}
	permitted := routing.Permitted(set.Deployment.Settings)
	b, err := balancer.New(permitted, set.Seed)
	if err != nil {
		return nil, err
	}
	controller, err := overload.New(permitted, set.Overload, b, set.Seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), controller: controller, balancer: b, metrics: set.Metrics,
		router: routing.NewRouter(permitted, controller), upstreams: map[string]*upstream{},
		requests: map[uint32]*request{}, fleetReady: set.FleetReady, fleetCaughtUp: set.FleetCaughtUp,
		ids: set.RequestIDs, idempotent: map[string]bool{},
		fleet: fleetSources{policy: set.FleetPolicy, exclusions: set.Exclusions, ring: set.RingAssignment},
	}
	for _, class := range permitted.Classes {
		a.idempotent[class.Name] = class.Idempotency == balancer.Idempotent
	}
	limit := &idleLimit{shared: routing.NewIdleLimit(a.clock.now(), set.Deployment.ConnIdleTimeout)}
	upstreams := upstreamSettings{
		clock: a.clock, maxConnectTimeout: maxConnectTimeout(set.Deployment), reuseDelay: routing.ReuseDelay,
		idleLimit: limit, connectTimeouts: &connectTimeouts{}, descriptors: set.Descriptors, bodies: set.Bodies,
		metrics: set.Metrics,
	}
	a.openUpstream = func(addr netip.AddrPort) *upstream {
		return startUpstream(upstreams, addr, func(m any) { a.mail.put(m) })
	}
	a.recorder = stateRecorder{
		recorder:      state.NewRecorder(set.Initial, b, controller, limit, set.Probation),
		usesProbation: set.Probation.Enabled, onChange: set.OnStateChange, clock: a.clock,
	}
	a.list = startList(set.Discovery, set.Initial.List, set.Disabled, a.clock, set.Metrics,
		func(u listUpdate) { a.mail.put(u) })
	if set.Datagrams != nil {
		a.peers = startPeerSender(set.Datagrams)
	}
	a.mail.observe = newDelayLog(set.Metrics).observe
	go a.mail.receive(a.handle)
	return a, nil
}

// maxConnectTimeout returns the maximum time that an attempt waits for its connection. An endpoint that
// begins to drain meanwhile must not get the request after the drain grace, so the wait is at most half of
// the grace and the other half remains for sending the request.
func maxConnectTimeout(set protocol.Settings) time.Duration {
	if grace := set.Rules.DrainGrace; grace > 0 {
		return min(set.ConnectTimeout, grace/2)
	}
	return set.ConnectTimeout
}

// Ready reports whether at least one endpoint is ready, and Settings.FleetReady allows the agent to be ready.
func (a *Agent) Ready() bool { return a.hasEndpoint.Load() && (a.fleetReady == nil || a.fleetReady()) }
