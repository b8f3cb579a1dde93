package overload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"dunestep/internal/balancer"
)

// Balancer chooses the servers of what is admitted: balancer.Balancer.
type Balancer interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
	// ArrivalFraction is this agent's part of all arrivals, from 0 to 1.
	ArrivalFraction() float64
	// IsSparse reports whether the agent is one of so many that its own requests in flight say nothing of the
	// servers'.
	IsSparse() bool
	// ApplyFleetPolicy, SetExclusions, TenantStats and SetRingAssignment: see balancer.Balancer.
	ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy)
	SetExclusions(a *balancer.Exclusions)
	TenantStats() []balancer.TenantStats
	SetRingAssignment(p *balancer.RingAssignment)
	// SetWarmServersSaturated sets whether the servers that are not warming up have no capacity left.
	SetWarmServersSaturated(on bool)
}

const (
	randomStream = 0x73746f72 // keeps the draws apart from the balancer's, which has the same seed

	rateHalfLife        = 400 * time.Millisecond
	usualRateHalfLife   = 3 * time.Second
	factorHalfLife      = 300 * time.Millisecond
	peakServersHalfLife = time.Minute
	checkInterval       = 10 * time.Millisecond // between looks at episodes, retry storms and the throttle
)

// Controller is the admission controller: it forwards requests to a Balancer, or rejects them.
type Controller struct {
	balancer Balancer
	settings balancer.Settings
	rng      *rand.Rand
	now      time.Duration // of the present event; never runs backwards

	configured           Config  // the operator's
	agreedWastedFraction float64 // the fleet policy's bound of Config.WastedFraction; zero: none
	config               Config  // what holds: configured, within the bound
	agents               int     // that share the servers, as far as is known

	actions       []balancer.Action // of the present event
	pendingEvents []balancer.Event  // for the balancer, once it has taken the present one

	requests     map[uint32]*request
	freeRequests []*request // to be used again
	servers      map[string]*server
	serversByID  []*server                       // the same, sorted
	serviceTimes map[string]*serviceTimeEstimate // by kind of machine

	longestObjective   time.Duration // of all classes' latency objectives
	hasRepeatableClass bool          // there is a class that clients may repeat

	fairness       fairnessOrder
	quotas         map[string]*tenantQuota // by tenant
	rejected       map[string]uint64       // requests rejected here, by tenant or balancer.NoTenant
	retryAfters    retryAfterTable
	lastReturnSlot time.Duration // when the last rejected client is to come back

	inFlight        meanCount     // requests of this agent at servers
	arrivals        decayingSum   // requests
	forwarded       decayingSum   // of these, forwarded
	successes       decayingSum   // attempts that were served
	usualSuccesses  decayingSum   // the same, over a longer time
	peakServers     decayingSum   // ready servers: the most of late
	firstResponseAt time.Duration // zero: none yet

	checkedAt   time.Duration
	episode     episode
	outage      outageState
	retryStorm  retryStorm
	throttle    adaptiveThrottle
	retryBudget float64 // attempts beyond the first that may be made while an outage is not over

	// The events for the balancer, which keeps none: used again for each.
	requestEvent       balancer.Request
	attemptDoneEvent   balancer.AttemptDone
	streamStartedEvent balancer.StreamStarted
}

// New returns a Controller before a Balancer that was built with the same settings. It fails where the config
// has a number that cannot be used, or the settings have no classes.
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

// NewWithBalancer returns a Controller before a balancer.Balancer of its own; it fails where either cannot be
// built.
func NewWithBalancer(set balancer.Settings, config Config, seed uint64) (*Controller, error) {
	next, err := balancer.New(set, seed)
	if err != nil {
		return nil, err
	}
	return New(set, config, next, seed)
}

// Step takes an event and returns the actions to carry out, in order, valid until the next Step.
func (c *Controller) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	c.actions, c.pendingEvents = c.actions[:0], c.pendingEvents[:0]
	c.now = max(c.now, now)
	if !c.config.Disabled {
		c.runPeriodicChecks()
		c.updateOutage()
	}
	if ev = c.takeIn(ev); ev == nil {
		return c.actions
	}
	c.stepBalancer(ev)
	for len(c.pendingEvents) > 0 {
		ev, c.pendingEvents = c.pendingEvents[0], c.pendingEvents[1:]
		c.stepBalancer(ev)
	}
	return c.actions
}

// takeIn takes an event and returns what the balancer is to see of it; nil: nothing.
func (c *Controller) takeIn(ev balancer.Event) balancer.Event {
	switch e := ev.(type) {
	case *balancer.Request:
		return c.admit(e)
	case *balancer.AttemptDone:
		return c.onAttemptDone(e)
	case *balancer.StreamStarted:
		return c.onStreamStarted(e)
	case *balancer.ClientGone:
		c.onFinalAnswer(e.ID)
	case *balancer.ServerListUpdate:
		c.recentPeakServers() // before the list changes
		return c.onServerListUpdate(e)
	case *balancer.PeerMessage:
		if len(e.Data) > 0 && e.Data[0] == messageOverload {
			c.onPeerMessage(e.From, e.Data)
			return nil
		}
	}
	return ev
}

// stepBalancer passes an event to the balancer and takes in the actions that it returns.
func (c *Controller) stepBalancer(ev balancer.Event) {
	c.balancer.SetWarmServersSaturated(c.throttle.isActive) // a sparse agent cannot see it elsewhere
	for _, a := range c.balancer.Step(c.now, ev) {
		if c.onAction(&a) {
			c.actions = append(c.actions, a)
		}
	}
}

// runPeriodicChecks looks at everything that is judged by rates.
func (c *Controller) runPeriodicChecks() {
	if c.now < c.checkedAt+checkInterval {
		return
	}
	c.checkedAt = c.now
	c.updateRetryStorm()
	c.updateThrottle()
	c.updateEpisode()
}

// IsShedding reports whether requests are held back at this moment: for a latency episode, an outage or a
// retry storm.
func (c *Controller) IsShedding() bool {
	return c.isSheddingNow() || c.outage.phase != phaseNormal || c.retryStorm.isActive
}

func (c *Controller) logf(format string, args ...any) {
	c.actions = append(c.actions, balancer.Action{Kind: balancer.Log, Text: fmt.Sprintf(format, args...)})
}
