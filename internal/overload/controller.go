package overload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"dunestep/internal/balancer"
)

// Balancer chooses the servers of admitted requests. balancer.Balancer implements it.
type Balancer interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
	// ArrivalFraction returns this agent's fraction of the fleet's arrivals, from 0 to 1.
	ArrivalFraction() float64
	// IsSparse reports whether the agent is one of so many, and sends so little, that its own requests in
	// flight do not show how busy the servers are.
	IsSparse() bool
	// ApplyFleetPolicy and the next three methods are documented at balancer.Balancer.
	ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy)
	SetExclusions(a *balancer.Exclusions)
	TenantStats() []balancer.TenantStats
	SetRingAssignment(p *balancer.RingAssignment)
	// SetWarmServersSaturated sets whether the servers that are not in slow start have no capacity left.
	SetWarmServersSaturated(on bool)
}

const (
	randomStream = 0x73746f72 // keeps the draws independent of the balancer's, which uses the same seed

	rateHalfLife        = 400 * time.Millisecond
	usualRateHalfLife   = 3 * time.Second
	factorHalfLife      = 300 * time.Millisecond
	peakServersHalfLife = time.Minute
	checkInterval       = 10 * time.Millisecond // time between checks of episodes, retry storms and the throttle
)

// Controller is the admission controller: it forwards requests to a Balancer or rejects them.
type Controller struct {
	balancer Balancer
	settings balancer.Settings
	rng      *rand.Rand
	now      time.Duration // time of the current event; never decreases

	configured           Config  // as set by the operator
	agreedWastedFraction float64 // the fleet policy's upper bound of Config.WastedFraction; zero: none
	config               Config  // in effect: configured, within the agreed bound
	agents               int     // estimated number of agents that share the servers

	actions       []balancer.Action // actions of the current event
	pendingEvents []balancer.Event  // events to pass to the balancer after the current one

	requests     map[uint32]*request
	freeRequests []*request // for reuse
	servers      map[string]*server
	serversByID  []*server // the same, sorted by ID
	serverCounts serverCounts
	// capacityFraction is the result of serverCapacityFraction at capacityFractionAt; zero: not calculated yet.
	capacityFraction   float64
	capacityFractionAt time.Duration
	serviceTimes       map[string]*serviceTimeEstimate // by machine kind

	longestObjective   time.Duration // maximum latency objective of all classes
	hasRepeatableClass bool          // whether there is a class whose requests clients may repeat

	fairness       fairnessOrder
	quotas         map[string]*tenantQuota // by tenant
	rejected       map[string]uint64       // number of requests rejected here, by tenant or balancer.NoTenant
	retryAfters    retryAfterTable
	lastReturnSlot time.Duration // return time of the last rejected client

	inFlight        meanCount     // this agent's requests at servers
	arrivals        decayingSum   // requests
	forwarded       decayingSum   // of these, forwarded
	successes       decayingSum   // attempts that were served
	usualSuccesses  decayingSum   // the same, with a longer half-life
	peakServers     decayingSum   // recent maximum of ready servers
	firstResponseAt time.Duration // zero: none yet

	checkedAt   time.Duration
	episode     episode
	outage      outageState
	retryStorm  retryStorm
	throttle    adaptiveThrottle
	retryBudget float64 // attempts beyond the first that may be made until an outage is over

	// Events for the balancer, which does not retain them: reused for each call.
	requestEvent        balancer.Request
	attemptDoneEvent    balancer.AttemptDone
	streamStartedEvent  balancer.StreamStarted
	responseBegunEvent  balancer.ResponseBegun
	attemptOverdueEvent balancer.AttemptOverdue
}

// New returns a Controller in front of next, a Balancer that was built with the same settings. It fails if
// a number of the config is not above zero and finite, or if the settings have no classes.
func New(set balancer.Settings, config Config, next Balancer, seed uint64) (*Controller, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	if len(set.Classes) == 0 {
		return nil, errors.New("overload: the settings have no request classes")
	}
	set.Balancers = max(set.Balancers, 1)
	rate := decayingSum{halfLife: rateHalfLife}
	c := &Controller{
		balancer: next, settings: set, agents: set.Balancers, configured: config, config: config,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		requests: map[uint32]*request{}, servers: map[string]*server{},
		serviceTimes: map[string]*serviceTimeEstimate{},
		inFlight:     meanCount{decayingSum: decayingSum{halfLife: factorHalfLife}},
		fairness:     newFairnessOrder(set.Classes), quotas: map[string]*tenantQuota{},
		rejected: map[string]uint64{balancer.NoTenant: 0},
		arrivals: rate, forwarded: rate, successes: rate,
		usualSuccesses: decayingSum{halfLife: usualRateHalfLife},
		peakServers:    decayingSum{halfLife: peakServersHalfLife},
		episode:        newEpisode(), outage: newOutageState(),
		retryStorm: newRetryStorm(), throttle: newAdaptiveThrottle(),
	}
	c.retryAfters = newRetryAfterTable(c.rng.Uint64())
	for _, class := range set.Classes {
		c.longestObjective = max(c.longestObjective, class.LatencyObjective)
		c.hasRepeatableClass = c.hasRepeatableClass || class.Idempotency != balancer.NotIdempotent
	}
	for _, t := range set.Tenants {
		c.quotas[t.Name], c.rejected[t.Name] = newTenantQuota(t.QuotaPerSecond), 0
	}
	return c, nil
}

// NewWithBalancer returns a Controller in front of a new balancer.Balancer. It fails if either cannot be
// built.
func NewWithBalancer(set balancer.Settings, config Config, seed uint64) (*Controller, error) {
	next, err := balancer.New(set, seed)
	if err != nil {
		return nil, err
	}
	return New(set, config, next, seed)
}

// Step processes an event and returns the actions to carry out, in order; they are valid until the next
// Step.
func (c *Controller) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	c.actions, c.pendingEvents = c.actions[:0], c.pendingEvents[:0]
	c.now = max(c.now, now)
	if !c.config.Disabled {
		c.runPeriodicChecks()
		c.updateOutage()
	}
	if ev = c.handleEvent(ev); ev == nil {
		return c.actions
	}
	c.stepBalancer(ev)
	for len(c.pendingEvents) > 0 {
		ev, c.pendingEvents = c.pendingEvents[0], c.pendingEvents[1:]
		c.stepBalancer(ev)
	}
	return c.actions
}

// handleEvent processes an event and returns the event to pass to the balancer; nil: none.
func (c *Controller) handleEvent(ev balancer.Event) balancer.Event {
	switch e := ev.(type) {
	case *balancer.Request:
		return c.admit(e)
	case *balancer.BodyComplete:
		c.onBodyComplete(e.ID)
	case *balancer.AttemptDone:
		return c.onAttemptDone(e)
	case *balancer.StreamStarted:
		return c.onStreamStarted(e)
	case *balancer.ResponseBegun:
		c.responseBegunEvent = *e
		c.responseBegunEvent.Attempt = c.balancerNumber(e.ID, e.Attempt)
		return &c.responseBegunEvent
	case *balancer.AttemptOverdue:
		c.attemptOverdueEvent = *e
		c.attemptOverdueEvent.Attempt = c.balancerNumber(e.ID, e.Attempt)
		if c.outage.phase == phaseOutage { // as with a trial that fails: see onAttemptDone
			c.attemptOverdueEvent.IsSilent = false
		}
		return &c.attemptOverdueEvent
	case *balancer.ClientGone:
		c.onFinalAnswer(e.ID)
	case *balancer.ServerListUpdate:
		c.recentPeakServers() // updates the peak before the list changes
		return c.onServerListUpdate(e)
	case *balancer.PeerMessage:
		if len(e.Data) > 0 && e.Data[0] == messageOverload {
			c.onPeerMessage(e.From, e.Data)
			return nil
		}
	}
	return ev
}

// stepBalancer passes an event to the balancer and processes the actions that it returns.
func (c *Controller) stepBalancer(ev balancer.Event) {
	c.balancer.SetWarmServersSaturated(c.throttle.isActive) // a sparse balancer cannot detect saturation itself
	for _, a := range c.balancer.Step(c.now, ev) {
		if c.onAction(&a) {
			c.actions = append(c.actions, a)
		}
	}
}

// runPeriodicChecks updates the states that depend on rates, once per checkInterval.
func (c *Controller) runPeriodicChecks() {
	if c.now < c.checkedAt+checkInterval {
		return
	}
	c.checkedAt = c.now
	c.updateRetryStorm()
	c.updateThrottle()
	c.updateEpisode()
}

// IsShedding reports whether requests may be rejected now because of a latency episode, an outage or a
// retry storm.
func (c *Controller) IsShedding() bool {
	return c.isSheddingNow() || c.outage.phase != phaseNormal || c.retryStorm.isActive
}

func (c *Controller) logf(format string, args ...any) {
	c.actions = append(c.actions, balancer.Action{Kind: balancer.Log, Text: fmt.Sprintf(format, args...)})
}
