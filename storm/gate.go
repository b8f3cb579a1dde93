// Package storm stands before the decision module and turns away what would make trouble worse: in slow
// spells, while nothing is served, and when what was down comes back.
//
// It does no input or output. A Gate is fed the module's events in order and hands on those that the module
// is to see; each call of Step returns the actions to carry out, its own and the module's. Time is that of
// package decide, and should be the same at every agent. The same settings, seed and events always give the
// same actions. A Gate is not safe for concurrent use.
package storm

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/decide"
)

// Module makes the decisions about what is let in: decide.Balancer.
type Module interface {
	Step(now time.Duration, ev decide.Event) []decide.Action
	// ArrivalFraction is this agent's part of all arrivals, from 0 to 1.
	ArrivalFraction() float64
	// Sparse tells whether it is one of so many that its own requests in flight bound nothing.
	Sparse() bool
	// ApplyFleetPolicy has it go by what the fleet has agreed on: see decide.Balancer.
	ApplyFleetPolicy(quota []float64, classes []decide.RetryPolicy)
	// SetWarmServersSaturated says whether the servers that are warm are full.
	SetWarmServersSaturated(on bool)
	// SetExclusions has it keep tenants' keys off servers, TenantStats tells how tenants fared: see decide.Balancer.
	SetExclusions(a *decide.Exclusions)
	TenantStats() []decide.TenantStats
	// SetRingAssignment has it go by an agreed generation of the ring: see decide.Balancer.
	SetRingAssignment(p *decide.RingAssignment)
}

// Gate lets requests through to a Module, or refuses them.
type Gate struct {
	module Module
	set    decide.Settings
	own    Figures // the operator's
	inVain float64 // as agreed: no figure above it; zero: nothing is
	fig    Figures // what holds: own, within what is agreed
	there  int     // agents, as far as is known
	rng    *rand.Rand
	now    time.Duration
	acts   []decide.Action
	next   []decide.Event // for the module, once it has taken in the present one

	requests   map[uint32]*request
	spare      []*request
	servers    map[string]*server
	inOrder    []*server // by id
	kinds      map[string]*pace
	longestAim time.Duration
	hasSafe    bool // there is a class that may be repeated

	crowd  level // requests of this agent at servers
	order  order
	shares map[string]*share
	turned map[string]uint64 // requests turned away here, by the settings' tenants, or decide.NoTenant
	told   told

	came        faded // requests
	sent        faded // of these, sent on
	served      faded // answers
	usual       faded // the same, over a longer time
	most        faded // servers that take requests
	firstAnswer time.Duration

	spell    spell
	damper   damper
	repeats  repeats
	throttle throttle
	further  float64       // attempts beyond the first that may be made in an outage
	slot     time.Duration // of the last client that was told when to come back

	// Used again for each event: the module keeps none.
	again  decide.Request
	end    decide.AttemptDone
	stream decide.StreamStarted
}

// request is what is kept of one that was let in.
type request struct {
	who      uint64
	tenant   string
	over     bool
	attempts []attempt
	sends    int // by the module; some were held back
	open     int
	answered bool
	streams  bool // its class: servers work until the end of the answer
}

type attempt struct {
	number int // by the module's count, which has those that were held back
	server *server
	crowd  float64 // in flight at its start
	done   bool
	begun  bool // its answer
}

// server is a booking server and how its answers compare with the usual.
type server struct {
	entry   decide.Server
	kind    *pace
	ready   bool
	renewed time.Duration // added to its start, for the module to take it for a new one
	log     faded         // logarithms of the factors, and below how many
	answers faded
	heard   time.Duration
	window  float64 // requests that may be in flight in all while it proves itself
	proven  time.Duration
	failed  int           // attempts in a row
	lost    int           // of these, not turned away
	out     int           // requests of this agent
	until   time.Duration // it failed one: where it is cold, no more before
}

const (
	serverHalf = time.Second
	fleetHalf  = time.Minute
	failedOut  = 3 // attempts in a row: nothing is expected of the server
)

// New returns a Gate before a module that was built with the same settings.
func New(set decide.Settings, fig Figures, module Module, seed uint64) (*Gate, error) {
	fig, err := fig.orDefaults()
	if err != nil {
		return nil, err
	}
	if len(set.Classes) == 0 {
		return nil, errors.New("storm: no request classes")
	}
	set.Balancers = max(set.Balancers, 1)
	g := &Gate{
		module: module, set: set, there: set.Balancers, own: fig, fig: fig,
		rng:      rand.New(rand.NewPCG(seed, 0x73746f72)),
		requests: map[uint32]*request{}, servers: map[string]*server{}, kinds: map[string]*pace{},
		crowd: level{faded: faded{half: factorHalf}}, order: newOrder(set.Classes), shares: map[string]*share{},
		turned: map[string]uint64{decide.NoTenant: 0},
		came:   faded{half: rateHalf}, sent: faded{half: rateHalf}, served: faded{half: rateHalf},
		usual: faded{half: usualHalf}, most: faded{half: fleetHalf},
		spell: newSpell(), damper: newDamper(), repeats: newRepeats(), throttle: newThrottle(),
	}
	g.told = newTold(g.rng.Uint64())
	for _, c := range set.Classes {
		g.longestAim = max(g.longestAim, c.LatencyObjective)
		g.hasSafe = g.hasSafe || c.Idempotency != decide.NotIdempotent
	}
	for _, t := range set.Tenants {
		g.shares[t.Name], g.turned[t.Name] = newShare(t.QuotaPerSecond), 0
	}
	return g, nil
}

// Build returns a Gate before a decide.Balancer of its own.
func Build(set decide.Settings, fig Figures, seed uint64) (*Gate, error) {
	balancer, err := decide.New(set, seed)
	if err != nil {
		return nil, err
	}
	return New(set, fig, balancer, seed)
}

// Set changes the figures; what is under way goes on by the new ones. Figures that can't be counted with
// change nothing.
func (g *Gate) Set(fig Figures) error {
	fig, err := fig.orDefaults()
	if err != nil {
		return err
	}
	g.own = fig
	g.combine()
	return nil
}

// ApplyFleetPolicy has the gate and its module go by what the fleet has agreed on, from the next Step on: see
// decide.Balancer for the tenants' quotas and the classes, and Figures.InVain for inVain, which holds until
// the next ApplyFleetPolicy, whatever Set says; only a lower figure of the operator's own stays. An inVain that is not
// above zero leaves it to the operator's, and ApplyFleetPolicy(nil, nil, 0) takes all back.
func (g *Gate) Agree(quota []float64, classes []decide.RetryPolicy, inVain float64) {
	part := g.module.ArrivalFraction()
	for i, t := range g.set.Tenants {
		perS := t.QuotaPerSecond
		if i < len(quota) {
			perS = quota[i]
		}
		g.shares[t.Name].set(g.now, perS, part)
	}
	g.module.ApplyFleetPolicy(quota, classes)
	if g.inVain = 0; inVain > 0 {
		g.inVain = inVain
	}
	g.combine()
}

// Present has the gate divide what all agents together send in an outage by another number of them than the
// settings name, from now on; zero: by theirs. As decide.QuotaCounted has it, together they send half as much
// again at the most, however wrong it is.
func (g *Gate) Present(agents int) { g.there = decide.EffectiveFleetSize(agents, g.set.Balancers) }

// combine finds the figures that hold.
func (g *Gate) combine() {
	if g.fig = g.own; g.inVain > 0 {
		g.fig.InVain = min(g.own.InVain, g.inVain)
	}
	if g.fig.Off {
		g.spell.purging, g.spell.called, g.damper.phase, g.repeats.on = false, 0, calm, false
	}
}

// Step takes an event in and returns the actions to take, valid until the next Step.
func (g *Gate) Step(now time.Duration, ev decide.Event) []decide.Action {
	g.acts, g.next = g.acts[:0], g.next[:0]
	g.now = max(g.now, now)
	if !g.fig.Off {
		g.watchSpell()
		g.watchOutage()
	}
	switch e := ev.(type) {
	case *decide.Request:
		if ev = g.admit(e); ev == nil {
			return g.acts
		}
	case *decide.AttemptDone:
		ev = g.ended(e)
	case *decide.StreamStarted:
		if r := g.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			g.begun(r, &r.attempts[e.Attempt])
			g.stream = decide.StreamStarted{ID: e.ID, Attempt: r.attempts[e.Attempt].number}
			ev = &g.stream
		}
	case *decide.ClientGone:
		g.answered(e.ID)
	case *decide.ServerListUpdate:
		g.fleet() // before it changes
		ev = g.listed(e)
	case *decide.PeerMessage:
		if len(e.Data) > 0 && e.Data[0] == msgStorm {
			g.heardPeer(e.From, e.Data)
			return g.acts
		}
	}
	g.pass(ev)
	for len(g.next) > 0 {
		ev, g.next = g.next[0], g.next[1:]
		g.pass(ev)
	}
	return g.acts
}

// pass hands an event to the module and takes in what it does.
func (g *Gate) pass(ev decide.Event) {
	g.module.SetWarmServersSaturated(g.throttle.on) // a sparse one sees it nowhere else
	for _, a := range g.module.Step(g.now, ev) {
		if g.watch(&a) {
			g.acts = append(g.acts, a)
		}
	}
}

func (g *Gate) log(format string, args ...any) {
	g.acts = append(g.acts, decide.Action{Kind: decide.Log, Text: fmt.Sprintf(format, args...)})
}

// admit returns what the module is to see of a request that is let in, or refuses it and returns nil.
func (g *Gate) admit(e *decide.Request) decide.Event {
	g.came.add(g.now, 1)
	if g.damper.asked++; g.requests[e.ID] != nil {
		return nil // it is known already
	}
	who := g.told.who(e.Key, e.Tenant, e.Class)
	back := g.told.find(g.now, who)
	repeat := e.ClientRetry || back != nil && !g.set.ClientsMarkRetries
	over, counts := g.overShare(e.Tenant, repeat)
	late := back != nil && repeat && (g.now < back.due-toldEarly || back.times >= 3)
	tier := g.order.tier(e.Class, over, late)
	g.order.offer(g.now, tier)
	if g.noteTry(repeat, late) {
		g.refuse(e, who, over)
		return nil
	}
	if g.throttled(e, tier) {
		g.refuse(e, who, over)
		return nil
	}
	if g.inPurge() || g.damper.phase != calm {
		before := g.order.before(g.now, tier, g.lot(e))
		if g.inPurge() && before >= g.purgeRoom() || !g.letIn(e, before) {
			g.damper.turned.add(g.now, 1)
			g.damper.refused++
			g.refuse(e, who, over)
			return nil
		}
	}
	g.enter(e, who, over)
	if !counts && !over {
		g.again = *e
		g.again.QuotaCounted = true
		return &g.again
	}
	return e
}

func (g *Gate) enter(e *decide.Request, who uint64, over bool) {
	r := &request{}
	if n := len(g.spare); n > 0 {
		r, g.spare = g.spare[n-1], g.spare[:n-1]
	}
	class, known := g.order.classes[e.Class]
	*r = request{
		who: who, tenant: e.Tenant, over: over, attempts: r.attempts[:0],
		streams: known && g.set.Classes[class].Streaming,
	}
	g.requests[e.ID] = r
}

func (g *Gate) lot(e *decide.Request) float64 {
	if e.Key == "" {
		return g.rng.Float64()
	}
	return lot(e.Key, g.now, g.fig.Turn)
}

// refuse turns a request away at once.
func (g *Gate) refuse(e *decide.Request, who uint64, over bool) {
	g.noteTurned(e.Tenant)
	g.acts = append(g.acts, decide.Action{
		Kind: decide.Reject, ID: e.ID, After: g.advise(who), OverQuota: over,
		Quota: g.quota(e.Tenant),
	})
}

// advise says when a client that is turned away is to come back: those that were told come back one after
// another, as fast as there is room for them, and no two at once.
func (g *Gate) advise(who uint64) time.Duration {
	if !g.set.Limits.RetryAfter {
		return 0
	}
	most := g.set.Limits.MaxRetryAfter
	gap := time.Duration(float64(time.Second) / max(g.usual.perSecond(g.now), 1))
	g.slot = max(g.slot, g.now+adviceLeast) + gap
	after := g.slot - g.now
	if after > most { // the queue is longer than may be said: they spread over the later half
		g.slot = g.now + most
		after = most - time.Duration(g.rng.Float64()/2*float64(most))
	}
	g.told.note(g.now, who, g.now+after)
	return after
}

const (
	adviceLeast = 100 * time.Millisecond
	toldEarly   = 20 * time.Millisecond // what the way takes off
)

// watch takes in what the module does, and tells whether it is to be carried out.
func (g *Gate) watch(a *decide.Action) bool {
	r := g.requests[a.ID]
	switch a.Kind {
	case decide.Send:
		return r == nil || g.sends(a, r)
	case decide.Cancel:
		return r == nil || r.renumber(a)
	case decide.Reject, decide.Fail:
		if r == nil {
			return true
		}
		if a.Kind == decide.Reject {
			a.OverQuota, a.Quota = r.over && !g.fig.Off, g.quota(r.tenant)
			if g.damper.phase != calm || g.inPurge() {
				a.After = g.advise(r.who)
			} else if a.After > 0 {
				g.told.note(g.now, r.who, g.now+a.After)
			}
		}
		g.answered(a.ID)
	}
	return true
}

// renumber gives an action the number that its attempt has outside, or tells that it was held back.
func (r *request) renumber(a *decide.Action) bool {
	for i := range r.attempts {
		if r.attempts[i].number == a.Attempt {
			a.Attempt = i
			return true
		}
	}
	return false
}

// sends notes an attempt, unless it is held back: the module is told then that it was not sent.
func (g *Gate) sends(a *decide.Action, r *request) bool {
	number, s := r.sends, g.server(a.Server)
	r.sends++
	if g.holdsBack(r, s) {
		g.next = append(g.next, &decide.AttemptDone{
			ID: a.ID, Attempt: number, Server: a.Server,
			Outcome: decide.NotSent, RequestDone: r.answered,
		})
		return false
	}
	if len(r.attempts) == 0 {
		g.sent.add(g.now, 1)
		g.further = min(g.further+furtherShare, furtherMost)
	}
	g.damper.sent = g.now
	r.attempts = append(r.attempts, attempt{number: number, server: s, crowd: g.crowding()})
	r.open++
	s.out++
	g.crowd.change(g.now, 1)
	return true
}

// holdsBack tells whether an attempt is not to be made. While an outage is not over, those beyond the first
// come out of one small budget, for retries and second copies of all classes. And a cold server that has to
// carry what others can't gets no more than it proves: each agent's part of its budget is small, but all turn
// to it at once.
func (g *Gate) holdsBack(r *request, s *server) bool {
	if g.fig.Off {
		return false
	}
	troubled := g.damper.phase != calm
	if (troubled || 2*float64(g.working()) < g.fleet()) && g.cold(s) &&
		(g.now < s.until || float64(s.out) >= max(s.window, 1)) {
		return true
	}
	if !troubled || len(r.attempts) == 0 {
		return false
	}
	if g.damper.phase == outage || g.further < 1 {
		return true
	}
	g.further--
	return false
}

const (
	furtherShare = 0.1 // of the requests that are sent on
	furtherMost  = 5.0
)

// answered notes that a request has its answer, or needs none.
func (g *Gate) answered(id uint32) {
	if r := g.requests[id]; r != nil {
		r.answered = true
		g.forget(id, r)
	}
}

func (g *Gate) forget(id uint32, r *request) {
	if r.answered && r.open == 0 {
		delete(g.requests, id)
		g.spare = append(g.spare, r)
	}
}

// ended notes the end of an attempt, and returns what the module is to see of it. That a trial in an outage
// fails says nothing of its server: to the module it was called off, or it would find every server down on
// its own account and owe each its own proof when they are back.
func (g *Gate) ended(e *decide.AttemptDone) decide.Event {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return e
	}
	a := &r.attempts[e.Attempt]
	a.done = true
	r.open--
	g.noLonger(a)
	if !e.Evidence.Ours {
		g.throttle.ended(g.now, e.Outcome)
	}
	if e.Outcome == decide.Served {
		g.served.add(g.now, 1)
		g.usual.add(g.now, 1)
		if g.settled() && !g.cold(a.server) {
			g.compare(a, max(e.Latency, time.Microsecond))
		}
		g.told.forget(g.now, r.who)
	}
	if !e.Evidence.Ours { // what this agent is short of says nothing of its servers
		g.noteEnd(a.server, e.Outcome)
	}
	r.answered = r.answered || e.RequestDone
	g.forget(e.ID, r)
	g.end = *e
	g.end.Attempt = a.number
	if g.damper.phase == outage && !e.Outcome.Unprocessed() {
		g.end.Outcome = decide.Canceled
	}
	return &g.end
}

// begun takes in that an answer has begun: where its class does not stream, its server's work is done,
// however slowly the client takes it.
func (g *Gate) begun(r *request, a *attempt) {
	if !a.done && !r.streams {
		g.noLonger(a)
		a.begun = true
	}
}

// noLonger takes an attempt off the crowd, once.
func (g *Gate) noLonger(a *attempt) {
	if !a.begun {
		a.server.out--
		g.crowd.change(g.now, -1)
	}
}

// cold tells whether a server is slow because it just started.
func (g *Gate) cold(s *server) bool {
	return s.entry.StartedAt > s.renewed && g.now-s.entry.StartedAt < g.set.Rules.SlowStartDuration
}

// compare sets an answer's time against the usual one.
func (g *Gate) compare(a *attempt, took time.Duration) {
	s, log := a.server, math.Log(took.Seconds())
	g.firstAnswer = cmp.Or(g.firstAnswer, g.now)
	usual, known := s.kind.usual(a.crowd)
	if known {
		g.spell.answered(g.now, log-usual)
		s.log.fade(g.now)
		s.log.weight += log - usual
		s.answers.add(g.now, 1)
		s.heard = g.now
	}
	s.kind.learn(a.crowd, log, known && g.spell.own.weight >= ownLeast && g.spell.own.factor() > unusual)
}

// crowding is how many requests this agent has in flight of late at ten servers: where some answer nothing,
// or are gone, the others are more crowded.
func (g *Gate) crowding() float64 { return g.crowd.mean(g.now) * 10 / float64(max(g.working(), 1)) }

// working counts the servers that take requests and do not fail them all.
func (g *Gate) working() (n int) {
	for _, s := range g.inOrder {
		if s.ready && s.failed < failedOut {
			n++
		}
	}
	return n
}

// fleet is how many servers there were of late, at most.
func (g *Gate) fleet() float64 {
	g.most.fade(g.now)
	g.most.weight = max(g.most.weight, float64(g.ready()))
	return g.most.weight
}

// slowShare is the part of the servers heard of late that are slow.
func (g *Gate) slowShare() float64 {
	slow, all := 0.0, 0.0
	for _, s := range g.inOrder {
		if !s.ready || s.heard == 0 || g.now-s.heard >= heardLately {
			continue
		}
		all++
		if s.log.weight > s.answers.weight*math.Log(slowServer) { // they fade alike
			slow++
		}
	}
	return slow / max(all, 1)
}

// carried is the part of what comes that the module finds room for.
func (g *Gate) carried() float64 { return g.sent.perSecond(g.now) / max(g.came.perSecond(g.now), 1) }

func (g *Gate) server(id string) *server {
	s := g.servers[id]
	if s == nil {
		s = &server{
			entry: decide.Server{ID: id}, kind: g.kind(""), log: faded{half: serverHalf},
			answers: faded{half: serverHalf},
		}
		g.servers[id] = s
		at, _ := slices.BinarySearchFunc(g.inOrder, id,
			func(s *server, id string) int { return cmp.Compare(s.entry.ID, id) })
		g.inOrder = slices.Insert(g.inOrder, at, s)
	}
	return s
}

func (g *Gate) kind(name string) *pace {
	k := g.kinds[name]
	if k == nil {
		k = &pace{}
		g.kinds[name] = k
	}
	return k
}

// listed takes news of the server list in, and returns what the module is to see of it: the starts of servers
// that were renewed are not the list's.
func (g *Gate) listed(e *decide.ServerListUpdate) decide.Event {
	if e.Kind == decide.UpdateFailed {
		return e
	}
	news := &decide.ServerListUpdate{Kind: e.Kind, Watch: e.Watch, Servers: slices.Clone(e.Servers)}
	seen := make(map[string]bool, len(e.Servers))
	for i := range news.Servers {
		l := &news.Servers[i]
		seen[l.ID] = true
		if l.State == decide.Gone {
			g.drop(l.ID)
			continue
		}
		s := g.server(l.ID)
		l.StartedAt += s.renewed
		s.entry, s.kind, s.ready = *l, g.kind(l.MachineKind), l.State == decide.Ready
	}
	if e.Kind != decide.UpdateIncremental {
		for _, s := range slices.Clone(g.inOrder) {
			if !seen[s.entry.ID] {
				g.drop(s.entry.ID)
			}
		}
	}
	return news
}

func (g *Gate) drop(id string) {
	if s := g.servers[id]; s != nil {
		s.ready = false
		delete(g.servers, id)
		g.inOrder = slices.DeleteFunc(g.inOrder, func(o *server) bool { return o == s })
	}
}

// ready counts the servers that take requests.
func (g *Gate) ready() (n int) {
	for _, s := range g.inOrder {
		if s.ready {
			n++
		}
	}
	return n
}
