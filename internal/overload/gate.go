// Package overload stands before the decision module and turns away what would make trouble worse: in slow
// spells, while nothing is served, and when what was down comes back.
//
// It does no input or output. A Controller is fed the module's events in order and hands on those that the module
// is to see; each call of Step returns the actions to carry out, its own and the module's. Time is that of
// package decide, and should be the same at every agent. The same settings, seed and events always give the
// same actions. A Controller is not safe for concurrent use.
package overload

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

// Balancer makes the decisions about what is let in: balancer.Balancer.
type Balancer interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
	// ArrivalFraction is this agent's part of all arrivals, from 0 to 1.
	ArrivalFraction() float64
	// Sparse tells whether it is one of so many that its own requests in flight bound nothing.
	Sparse() bool
	// ApplyFleetPolicy has it go by what the fleet has agreed on: see balancer.Balancer.
	ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy)
	// SetWarmServersSaturated says whether the servers that are warm are full.
	SetWarmServersSaturated(on bool)
	// SetExclusions has it keep tenants' keys off servers, TenantStats tells how tenants fared: see balancer.Balancer.
	SetExclusions(a *balancer.Exclusions)
	TenantStats() []balancer.TenantStats
	// SetRingAssignment has it go by an agreed generation of the ring: see balancer.Balancer.
	SetRingAssignment(p *balancer.RingAssignment)
}

// Controller lets requests through to a Balancer, or refuses them.
type Controller struct {
	balancer             Balancer
	settings             balancer.Settings
	configured           Config  // the operator's
	agreedWastedFraction float64 // as agreed: no figure above it; zero: nothing is
	config               Config  // what holds: own, within what is agreed
	agents               int     // agents, as far as is known
	rng                  *rand.Rand
	now                  time.Duration
	actions              []balancer.Action
	pendingEvents        []balancer.Event // for the module, once it has taken in the present one

	requests           map[uint32]*request
	freeRequests       []*request
	servers            map[string]*server
	serversByID        []*server // by id
	serviceTimes       map[string]*serviceTimeEstimate
	longestObjective   time.Duration
	hasRepeatableClass bool // there is a class that may be repeated

	inFlight    meanCount // requests of this agent at servers
	fairness    fairnessOrder
	quotas      map[string]*tenantQuota
	rejected    map[string]uint64 // requests turned away here, by the settings' tenants, or balancer.NoTenant
	retryAfters retryAfterTable

	arrivals        decayingSum // requests
	forwarded       decayingSum // of these, sent on
	successes       decayingSum // answers
	usualSuccesses  decayingSum // the same, over a longer time
	peakServers     decayingSum // servers that take requests
	firstResponseAt time.Duration

	episode        episode
	outage         outageState
	retryStorm     retryStorm
	throttle       adaptiveThrottle
	retryBudget    float64       // attempts beyond the first that may be made in an outage
	lastReturnSlot time.Duration // of the last client that was told when to come back

	// Used again for each event: the module keeps none.
	requestEvent       balancer.Request
	attemptDoneEvent   balancer.AttemptDone
	streamStartedEvent balancer.StreamStarted
}

// request is what is kept of one that was let in.
type request struct {
	client           uint64
	tenant           string
	overQuota        bool
	attempts         []attempt
	balancerAttempts int // by the module; some were held back
	openAttempts     int
	isAnswered       bool
	isStreaming      bool // its class: servers work until the end of the answer
}

type attempt struct {
	balancerNumber  int // by the module's count, which has those that were held back
	server          *server
	concurrency     float64 // in flight at its start
	hasEnded        bool
	responseStarted bool // its answer
}

// server is a booking server and how its answers compare with the usual.
type server struct {
	entry               balancer.Server
	serviceTime         *serviceTimeEstimate
	isReady             bool
	startOffset         time.Duration // added to its start, for the module to take it for a new one
	logFactors          decayingSum   // logarithms of the factors, and below how many
	samples             decayingSum
	lastResponseAt      time.Duration
	inFlightLimit       float64 // requests that may be in flight in all while it proves itself
	lastSuccessAt       time.Duration
	consecutiveFailures int           // attempts in a row
	consecutiveFaults   int           // of these, not turned away
	inFlight            int           // requests of this agent
	holdUntil           time.Duration // it failed one: where it is cold, no more before
}

const (
	serverHalfLife      = time.Second
	peakServersHalfLife = time.Minute
	deadAfterFailures   = 3 // attempts in a row: nothing is expected of the server
)

// New returns a Controller before a module that was built with the same settings.
func New(set balancer.Settings, fig Config, module Balancer, seed uint64) (*Controller, error) {
	fig, err := fig.withDefaults()
	if err != nil {
		return nil, err
	}
	if len(set.Classes) == 0 {
		return nil, errors.New("storm: no request classes")
	}
	set.Balancers = max(set.Balancers, 1)
	g := &Controller{
		balancer: module, settings: set, agents: set.Balancers, configured: fig, config: fig,
		rng:      rand.New(rand.NewPCG(seed, 0x73746f72)),
		requests: map[uint32]*request{}, servers: map[string]*server{}, serviceTimes: map[string]*serviceTimeEstimate{},
		inFlight: meanCount{decayingSum: decayingSum{halfLife: factorHalfLife}}, fairness: newFairnessOrder(set.Classes), quotas: map[string]*tenantQuota{},
		rejected: map[string]uint64{balancer.NoTenant: 0},
		arrivals: decayingSum{halfLife: rateHalfLife}, forwarded: decayingSum{halfLife: rateHalfLife}, successes: decayingSum{halfLife: rateHalfLife},
		usualSuccesses: decayingSum{halfLife: usualRateHalfLife}, peakServers: decayingSum{halfLife: peakServersHalfLife},
		episode: newEpisode(), outage: newOutageState(), retryStorm: newRetryStorm(), throttle: newAdaptiveThrottle(),
	}
	g.retryAfters = newRetryAfterTable(g.rng.Uint64())
	for _, c := range set.Classes {
		g.longestObjective = max(g.longestObjective, c.LatencyObjective)
		g.hasRepeatableClass = g.hasRepeatableClass || c.Idempotency != balancer.NotIdempotent
	}
	for _, t := range set.Tenants {
		g.quotas[t.Name], g.rejected[t.Name] = newTenantQuota(t.QuotaPerSecond), 0
	}
	return g, nil
}

// NewWithBalancer returns a Controller before a balancer.Balancer of its own.
func NewWithBalancer(set balancer.Settings, fig Config, seed uint64) (*Controller, error) {
	balancer, err := balancer.New(set, seed)
	if err != nil {
		return nil, err
	}
	return New(set, fig, balancer, seed)
}

// SetConfig changes the figures; what is under way goes on by the new ones. Config that can't be counted with
// change nothing.
func (g *Controller) SetConfig(fig Config) error {
	fig, err := fig.withDefaults()
	if err != nil {
		return err
	}
	g.configured = fig
	g.updateConfig()
	return nil
}

// ApplyFleetPolicy has the gate and its module go by what the fleet has agreed on, from the next Step on: see
// balancer.Balancer for the tenants' quotas and the classes, and Config.WastedFraction for agreedWastedFraction, which holds until
// the next ApplyFleetPolicy, whatever SetConfig says; only a lower figure of the operator's own stays. An agreedWastedFraction that is not
// above zero leaves it to the operator's, and ApplyFleetPolicy(nil, nil, 0) takes all back.
func (g *Controller) ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy, inVain float64) {
	part := g.balancer.ArrivalFraction()
	for i, t := range g.settings.Tenants {
		perS := t.QuotaPerSecond
		if i < len(quota) {
			perS = quota[i]
		}
		g.quotas[t.Name].setRate(g.now, perS, part)
	}
	g.balancer.ApplyFleetPolicy(quota, classes)
	if g.agreedWastedFraction = 0; inVain > 0 {
		g.agreedWastedFraction = inVain
	}
	g.updateConfig()
}

// SetFleetSize has the gate divide what all agents together send in an outage by another number of them than the
// settings name, from now on; zero: by theirs. As balancer.QuotaCounted has it, together they send half as much
// again at the most, however wrong it is.
func (g *Controller) SetFleetSize(agents int) {
	g.agents = balancer.EffectiveFleetSize(agents, g.settings.Balancers)
}

// combine finds the figures that hold.
func (g *Controller) updateConfig() {
	if g.config = g.configured; g.agreedWastedFraction > 0 {
		g.config.WastedFraction = min(g.configured.WastedFraction, g.agreedWastedFraction)
	}
	if g.config.Disabled {
		g.episode.isShedding, g.episode.announcedStart, g.outage.phase, g.retryStorm.isActive = false, 0, phaseNormal, false
	}
}

// Step takes an event in and returns the actions to take, valid until the next Step.
func (g *Controller) Step(now time.Duration, ev balancer.Event) []balancer.Action {
	g.actions, g.pendingEvents = g.actions[:0], g.pendingEvents[:0]
	g.now = max(g.now, now)
	if !g.config.Disabled {
		g.updateEpisode()
		g.updateOutage()
	}
	switch e := ev.(type) {
	case *balancer.Request:
		if ev = g.admit(e); ev == nil {
			return g.actions
		}
	case *balancer.AttemptDone:
		ev = g.onAttemptDone(e)
	case *balancer.StreamStarted:
		if r := g.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			g.onResponseStarted(r, &r.attempts[e.Attempt])
			g.streamStartedEvent = balancer.StreamStarted{ID: e.ID, Attempt: r.attempts[e.Attempt].balancerNumber}
			ev = &g.streamStartedEvent
		}
	case *balancer.ClientGone:
		g.onFinalAnswer(e.ID)
	case *balancer.ServerListUpdate:
		g.recentPeakServers() // before it changes
		ev = g.onServerListUpdate(e)
	case *balancer.PeerMessage:
		if len(e.Data) > 0 && e.Data[0] == messageOverload {
			g.onPeerMessage(e.From, e.Data)
			return g.actions
		}
	}
	g.stepBalancer(ev)
	for len(g.pendingEvents) > 0 {
		ev, g.pendingEvents = g.pendingEvents[0], g.pendingEvents[1:]
		g.stepBalancer(ev)
	}
	return g.actions
}

// pass hands an event to the module and takes in what it does.
func (g *Controller) stepBalancer(ev balancer.Event) {
	g.balancer.SetWarmServersSaturated(g.throttle.isActive) // a sparse one sees it nowhere else
	for _, a := range g.balancer.Step(g.now, ev) {
		if g.onAction(&a) {
			g.actions = append(g.actions, a)
		}
	}
}

func (g *Controller) logf(format string, args ...any) {
	g.actions = append(g.actions, balancer.Action{Kind: balancer.Log, Text: fmt.Sprintf(format, args...)})
}

// admit returns what the module is to see of a request that is let in, or refuses it and returns nil.
func (g *Controller) admit(e *balancer.Request) balancer.Event {
	g.arrivals.add(g.now, 1)
	if g.outage.requestsSinceSuccess++; g.requests[e.ID] != nil {
		return nil // it is known already
	}
	who := g.retryAfters.clientID(e.Key, e.Tenant, e.Class)
	back := g.retryAfters.find(g.now, who)
	repeat := e.ClientRetry || back != nil && !g.settings.ClientsMarkRetries
	over, counts := g.checkQuota(e.Tenant, repeat)
	late := back != nil && repeat && (g.now < back.returnAt-retryAfterTolerance || back.rejections >= 3)
	tier := g.fairness.tier(e.Class, over, late)
	g.fairness.add(g.now, tier)
	if g.recordArrival(repeat, late) {
		g.reject(e, who, over)
		return nil
	}
	if g.isThrottled(e, tier) {
		g.reject(e, who, over)
		return nil
	}
	if g.isSheddingNow() || g.outage.phase != phaseNormal {
		before := g.fairness.fractionBefore(g.now, tier, g.fairnessRank(e))
		if g.isSheddingNow() && before >= g.sheddingAdmittedFraction() || !g.admitsInOutage(e, before) {
			g.outage.rejections.add(g.now, 1)
			g.outage.rejectedCount++
			g.reject(e, who, over)
			return nil
		}
	}
	g.addRequest(e, who, over)
	if !counts && !over {
		g.requestEvent = *e
		g.requestEvent.QuotaCounted = true
		return &g.requestEvent
	}
	return e
}

func (g *Controller) addRequest(e *balancer.Request, who uint64, over bool) {
	r := &request{}
	if n := len(g.freeRequests); n > 0 {
		r, g.freeRequests = g.freeRequests[n-1], g.freeRequests[:n-1]
	}
	class, known := g.fairness.classIndex[e.Class]
	*r = request{
		client: who, tenant: e.Tenant, overQuota: over, attempts: r.attempts[:0],
		isStreaming: known && g.settings.Classes[class].Streaming,
	}
	g.requests[e.ID] = r
}

func (g *Controller) fairnessRank(e *balancer.Request) float64 {
	if e.Key == "" {
		return g.rng.Float64()
	}
	return keyRank(e.Key, g.now, g.config.FairnessRotation)
}

// refuse turns a request away at once.
func (g *Controller) reject(e *balancer.Request, who uint64, over bool) {
	g.countRejected(e.Tenant)
	g.actions = append(g.actions, balancer.Action{
		Kind: balancer.Reject, ID: e.ID, After: g.retryAfter(who), OverQuota: over,
		Quota: g.reportedQuota(e.Tenant),
	})
}

// advise says when a client that is turned away is to come back: those that were told come back one after
// another, as fast as there is room for them, and no two at once.
func (g *Controller) retryAfter(who uint64) time.Duration {
	if !g.settings.Limits.RetryAfter {
		return 0
	}
	most := g.settings.Limits.MaxRetryAfter
	gap := time.Duration(float64(time.Second) / max(g.usualSuccesses.perSecond(g.now), 1))
	g.lastReturnSlot = max(g.lastReturnSlot, g.now+minRetryAfter) + gap
	after := g.lastReturnSlot - g.now
	if after > most { // the queue is longer than may be said: they spread over the later half
		g.lastReturnSlot = g.now + most
		after = most - time.Duration(g.rng.Float64()/2*float64(most))
	}
	g.retryAfters.record(g.now, who, g.now+after)
	return after
}

const (
	minRetryAfter       = 100 * time.Millisecond
	retryAfterTolerance = 20 * time.Millisecond // what the way takes off
)

// watch takes in what the module does, and tells whether it is to be carried out.
func (g *Controller) onAction(a *balancer.Action) bool {
	r := g.requests[a.ID]
	switch a.Kind {
	case balancer.Send:
		return r == nil || g.onSend(a, r)
	case balancer.Cancel:
		return r == nil || r.renumberAttempt(a)
	case balancer.Reject, balancer.Fail:
		if r == nil {
			return true
		}
		if a.Kind == balancer.Reject {
			a.OverQuota, a.Quota = r.overQuota && !g.config.Disabled, g.reportedQuota(r.tenant)
			if g.outage.phase != phaseNormal || g.isSheddingNow() {
				a.After = g.retryAfter(r.client)
			} else if a.After > 0 {
				g.retryAfters.record(g.now, r.client, g.now+a.After)
			}
		}
		g.onFinalAnswer(a.ID)
	}
	return true
}

// renumber gives an action the number that its attempt has outside, or tells that it was held back.
func (r *request) renumberAttempt(a *balancer.Action) bool {
	for i := range r.attempts {
		if r.attempts[i].balancerNumber == a.Attempt {
			a.Attempt = i
			return true
		}
	}
	return false
}

// sends notes an attempt, unless it is held back: the module is told then that it was not sent.
func (g *Controller) onSend(a *balancer.Action, r *request) bool {
	number, s := r.balancerAttempts, g.server(a.Server)
	r.balancerAttempts++
	if g.suppressesAttempt(r, s) {
		g.pendingEvents = append(g.pendingEvents, &balancer.AttemptDone{
			ID: a.ID, Attempt: number, Server: a.Server,
			Outcome: balancer.NotSent, RequestDone: r.isAnswered,
		})
		return false
	}
	if len(r.attempts) == 0 {
		g.forwarded.add(g.now, 1)
		g.retryBudget = min(g.retryBudget+retryBudgetFraction, maxRetryBudget)
	}
	g.outage.lastSentAt = g.now
	r.attempts = append(r.attempts, attempt{balancerNumber: number, server: s, concurrency: g.concurrency()})
	r.openAttempts++
	s.inFlight++
	g.inFlight.add(g.now, 1)
	return true
}

// suppressesAttempt tells whether an attempt is not to be made. While an outage is not over, those beyond the first
// come out of one small budget, for retries and second copies of all classes. And a cold server that has to
// carry what others can't gets no more than it proves: each agent's part of its budget is small, but all turn
// to it at once.
func (g *Controller) suppressesAttempt(r *request, s *server) bool {
	if g.config.Disabled {
		return false
	}
	troubled := g.outage.phase != phaseNormal
	if (troubled || 2*float64(g.workingServers()) < g.recentPeakServers()) && g.isWarmingUp(s) &&
		(g.now < s.holdUntil || float64(s.inFlight) >= max(s.inFlightLimit, 1)) {
		return true
	}
	if !troubled || len(r.attempts) == 0 {
		return false
	}
	if g.outage.phase == phaseOutage || g.retryBudget < 1 {
		return true
	}
	g.retryBudget--
	return false
}

const (
	retryBudgetFraction = 0.1 // of the requests that are sent on
	maxRetryBudget      = 5.0
)

// answered notes that a request has its answer, or needs none.
func (g *Controller) onFinalAnswer(id uint32) {
	if r := g.requests[id]; r != nil {
		r.isAnswered = true
		g.releaseRequest(id, r)
	}
}

func (g *Controller) releaseRequest(id uint32, r *request) {
	if r.isAnswered && r.openAttempts == 0 {
		delete(g.requests, id)
		g.freeRequests = append(g.freeRequests, r)
	}
}

// ended notes the end of an attempt, and returns what the module is to see of it. That a trial in an outage
// fails says nothing of its server: to the module it was called off, or it would find every server down on
// its own account and owe each its own proof when they are back.
func (g *Controller) onAttemptDone(e *balancer.AttemptDone) balancer.Event {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].hasEnded {
		return e
	}
	a := &r.attempts[e.Attempt]
	a.hasEnded = true
	r.openAttempts--
	g.leaveInFlight(a)
	if !e.Evidence.LocalShortage {
		g.throttle.recordAttemptEnd(g.now, e.Outcome)
	}
	if e.Outcome == balancer.Served {
		g.successes.add(g.now, 1)
		g.usualSuccesses.add(g.now, 1)
		if g.isSettled() && !g.isWarmingUp(a.server) {
			g.recordServiceTime(a, max(e.Latency, time.Microsecond))
		}
		g.retryAfters.forget(g.now, r.client)
	}
	if !e.Evidence.LocalShortage { // what this agent is short of says nothing of its servers
		g.recordAttemptEnd(a.server, e.Outcome)
	}
	r.isAnswered = r.isAnswered || e.RequestDone
	g.releaseRequest(e.ID, r)
	g.attemptDoneEvent = *e
	g.attemptDoneEvent.Attempt = a.balancerNumber
	if g.outage.phase == phaseOutage && !e.Outcome.Unprocessed() {
		g.attemptDoneEvent.Outcome = balancer.Canceled
	}
	return &g.attemptDoneEvent
}

// begun takes in that an answer has begun: where its class does not stream, its server's work is done,
// however slowly the client takes it.
func (g *Controller) onResponseStarted(r *request, a *attempt) {
	if !a.hasEnded && !r.isStreaming {
		g.leaveInFlight(a)
		a.responseStarted = true
	}
}

// leaveInFlight takes an attempt off the crowd, once.
func (g *Controller) leaveInFlight(a *attempt) {
	if !a.responseStarted {
		a.server.inFlight--
		g.inFlight.add(g.now, -1)
	}
}

// cold tells whether a server is slow because it just started.
func (g *Controller) isWarmingUp(s *server) bool {
	return s.entry.StartedAt > s.startOffset && g.now-s.entry.StartedAt < g.settings.Rules.SlowStartDuration
}

// compare sets an answer's time against the usual one.
func (g *Controller) recordServiceTime(a *attempt, took time.Duration) {
	s, log := a.server, math.Log(took.Seconds())
	g.firstResponseAt = cmp.Or(g.firstResponseAt, g.now)
	usual, known := s.serviceTime.usual(a.concurrency)
	if known {
		g.episode.observe(g.now, log-usual)
		s.logFactors.decay(g.now)
		s.logFactors.weight += log - usual
		s.samples.add(g.now, 1)
		s.lastResponseAt = g.now
	}
	s.serviceTime.observe(a.concurrency, log, known && g.episode.own.weight >= minOwnWeight && g.episode.own.factor() > unusualFactor)
}

// crowding is how many requests this agent has in flight of late at ten servers: where some answer nothing,
// or are gone, the others are more crowded.
func (g *Controller) concurrency() float64 {
	return g.inFlight.mean(g.now) * 10 / float64(max(g.workingServers(), 1))
}

// working counts the servers that take requests and do not fail them all.
func (g *Controller) workingServers() (n int) {
	for _, s := range g.serversByID {
		if s.isReady && s.consecutiveFailures < deadAfterFailures {
			n++
		}
	}
	return n
}

// fleet is how many servers there were of late, at most.
func (g *Controller) recentPeakServers() float64 {
	g.peakServers.decay(g.now)
	g.peakServers.weight = max(g.peakServers.weight, float64(g.readyServers()))
	return g.peakServers.weight
}

// slowServerFraction is the part of the servers heard of late that are slow.
func (g *Controller) slowServerFraction() float64 {
	slow, all := 0.0, 0.0
	for _, s := range g.serversByID {
		if !s.isReady || s.lastResponseAt == 0 || g.now-s.lastResponseAt >= recentResponse {
			continue
		}
		all++
		if s.logFactors.weight > s.samples.weight*math.Log(slowServerFactor) { // they fade alike
			slow++
		}
	}
	return slow / max(all, 1)
}

// carried is the part of what comes that the module finds room for.
func (g *Controller) forwardedFraction() float64 {
	return g.forwarded.perSecond(g.now) / max(g.arrivals.perSecond(g.now), 1)
}

func (g *Controller) server(id string) *server {
	s := g.servers[id]
	if s == nil {
		s = &server{
			entry: balancer.Server{ID: id}, serviceTime: g.serviceTimeOf(""), logFactors: decayingSum{halfLife: serverHalfLife},
			samples: decayingSum{halfLife: serverHalfLife},
		}
		g.servers[id] = s
		at, _ := slices.BinarySearchFunc(g.serversByID, id,
			func(s *server, id string) int { return cmp.Compare(s.entry.ID, id) })
		g.serversByID = slices.Insert(g.serversByID, at, s)
	}
	return s
}

func (g *Controller) serviceTimeOf(name string) *serviceTimeEstimate {
	k := g.serviceTimes[name]
	if k == nil {
		k = &serviceTimeEstimate{}
		g.serviceTimes[name] = k
	}
	return k
}

// listed takes news of the server list in, and returns what the module is to see of it: the starts of servers
// that were renewed are not the list's.
func (g *Controller) onServerListUpdate(e *balancer.ServerListUpdate) balancer.Event {
	if e.Kind == balancer.UpdateFailed {
		return e
	}
	news := &balancer.ServerListUpdate{Kind: e.Kind, Watch: e.Watch, Servers: slices.Clone(e.Servers)}
	seen := make(map[string]bool, len(e.Servers))
	for i := range news.Servers {
		l := &news.Servers[i]
		seen[l.ID] = true
		if l.State == balancer.Gone {
			g.removeServer(l.ID)
			continue
		}
		s := g.server(l.ID)
		l.StartedAt += s.startOffset
		s.entry, s.serviceTime, s.isReady = *l, g.serviceTimeOf(l.MachineKind), l.State == balancer.Ready
	}
	if e.Kind != balancer.UpdateIncremental {
		for _, s := range slices.Clone(g.serversByID) {
			if !seen[s.entry.ID] {
				g.removeServer(s.entry.ID)
			}
		}
	}
	return news
}

func (g *Controller) removeServer(id string) {
	if s := g.servers[id]; s != nil {
		s.isReady = false
		delete(g.servers, id)
		g.serversByID = slices.DeleteFunc(g.serversByID, func(o *server) bool { return o == s })
	}
}

// ready counts the servers that take requests.
func (g *Controller) readyServers() (n int) {
	for _, s := range g.serversByID {
		if s.isReady {
			n++
		}
	}
	return n
}
