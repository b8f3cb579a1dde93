// Package agent runs the load balancing agent: it carries out what the decisions of packages routing,
// balancer and overload ask for, by sockets and timers.
//
// It is made of actors, each a goroutine with a mailbox (mailbox.go) that alone owns its state: the Agent
// with the requests, the router and the balancer (actor.go), one upstream for each endpoint with its
// connections (upstream.go), the endpoint list with its calls to discovery (list.go), the sender of datagrams
// to other agents (peers.go), and beside them the FleetActor (fleetactor.go). An attempt runs in a goroutine
// of its own (exchange.go). All of them end with the process, but for an upstream, whose actor ends once its
// endpoint was removed and its connections are returned.
//
// The exported methods of Agent and FleetActor are safe for concurrent use. The package knows no wire format:
// requests, responses and lists are typed values.
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

// Settings are what an Agent is started with.
type Settings struct {
	Deployment  protocol.Settings
	Seed        uint64
	Overload    overload.Config
	Discovery   netip.AddrPort
	Initial     state.Initial // the list, and what was learned before a restart
	Probation   state.ProbationSettings
	Descriptors *transport.Descriptors
	Bodies      *transport.BodyLimits
	Metrics     *metrics.Counters          // nil: nobody reads them
	Disabled    []routing.DisabledEndpoint // from the start on
	Datagrams   *transport.Datagrams       // nil: agents don't communicate
	// FleetReady tells whether this agent has what it needs of the fleet to be ready; nil: nothing.
	FleetReady func() bool
	// FleetCaughtUp tells whether this process knows what its fleet has agreed on, as far as that can be known.
	// Requests wait for it a little: see Agent.HandleRequest. Nil: there is nothing to know.
	FleetCaughtUp func() bool
	// FleetPolicy returns the effect of the agreed policy at each moment; nil, or a nil effect: there is none.
	// The same pointer stands for the same effect.
	FleetPolicy func() *policy.Effect
	// Exclusions returns which endpoints tenants' requests avoid at each moment; nil: none. The same pointer
	// stands for the same.
	Exclusions func() *balancer.Exclusions
	// RingAssignment returns the agreed ring assignment at each moment; nil: each agent goes by its own list.
	// The same pointer stands for the same.
	RingAssignment func() *balancer.RingAssignment
	// OnStateChange is called by the agent's actor when something of importance has changed in the state that
	// is stored; nil: there is nobody to call.
	OnStateChange func()
}

// Agent is the agent's actor, with the actors that it starts.
type Agent struct {
	mail          *mailbox[any]
	clock         clock
	hasEndpoint   atomic.Bool // an endpoint is known that takes requests
	fleetReady    func() bool
	fleetCaughtUp func() bool
	list          *listActor

	// Of the actor.
	fleet            fleetSources
	upstreamSettings upstreamSettings
	controller       *overload.Controller
	balancer         *balancer.Balancer
	metrics          *metrics.Counters
	ejectedAt        time.Duration // when the metrics last got the ejected servers
	router           *routing.Router
	recorder         stateRecorder
	peers            *peerSender // nil: agents don't communicate
	upstreams        map[string]*upstream
	requests         map[uint32]*request
	response         protocol.UpstreamResponse // of the attempt whose end the router is given
}

// Start starts the actors. The balancer learns the initial list at once, and asks discovery for a newer one.
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
		fleet: fleetSources{policy: set.FleetPolicy, exclusions: set.Exclusions, ring: set.RingAssignment},
	}
	limit := &idleLimit{shared: routing.NewIdleLimit(a.clock.now(), set.Deployment.ConnIdleTimeout)}
	a.upstreamSettings = upstreamSettings{
		clock: a.clock, maxConnectTimeout: maxConnectTimeout(set.Deployment), reuseDelay: routing.ReuseDelay,
		idleLimit: limit, connectTimeouts: &connectTimeouts{}, descriptors: set.Descriptors, bodies: set.Bodies,
		metrics: set.Metrics,
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
	go a.mail.receive(a.handle)
	return a, nil
}

// maxConnectTimeout is how long an attempt waits for its connection at most. Half of the drain grace is left
// for the request's way: an endpoint that begins to drain meanwhile must not get it after the grace.
func maxConnectTimeout(set protocol.Settings) time.Duration {
	if grace := set.Rules.DrainGrace; grace > 0 {
		return min(set.ConnectTimeout, grace/2)
	}
	return set.ConnectTimeout
}

// Ready tells whether an endpoint is known that takes requests, and whether the fleet's part is ready.
func (a *Agent) Ready() bool { return a.hasEndpoint.Load() && (a.fleetReady == nil || a.fleetReady()) }
