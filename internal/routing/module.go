package routing

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/figures"
	"dunestep/internal/protocol"
	"dunestep/internal/state"
	"dunestep/internal/transport"
	"dunestep/policy"
	"dunestep/storm"
)

// Settings is what an Agent goes by.
type Settings struct {
	Deployment  protocol.Settings
	Seed        uint64
	Storm       storm.Figures
	Discovery   netip.AddrPort
	Start       state.Beginning // the list, and what was learned before a restart
	Proof       state.Proof
	Descriptors *transport.Descriptors
	Bodies      *transport.Bodies
	Figures     *figures.Figures
	Bans        []core.Ban           // that hold from the start
	Datagrams   *transport.Datagrams // nil where agents do not talk to one another
	// Awaits tells whether this agent has what it has to have beside the list before it says that it is
	// ready; nil: there is nothing.
	Awaits func() bool
	// Knows tells whether this process knows what its fleet has agreed on, as far as it can be known; operations
	// wait for that a little: see Agent.Operate. Nil: there is nothing to know.
	Knows func() bool
	// Acting tells, at each moment, what the fleet has agreed on that this agent goes by; nil: there is
	// nothing. The same pointer stands for the same effect.
	Acting func() *policy.Effect
	// Avoiding tells, at each moment, which servers tenants' keys keep off; nil: there is nothing. The same
	// pointer stands for the same.
	Avoiding func() *decide.Avoid
	// Placed tells, at each moment, the generation of the ring that the fleet goes by; nil: each agent goes by
	// its own list. The same pointer stands for the same.
	Placed func() *decide.Placed
	// Changed is told, from the module's actor, that something of weight has changed in what is kept; nil:
	// nobody is.
	Changed func()
}

// Agent is the module's actor, with the actors that it tells what to do.
type Agent struct {
	upstream upstreamSettings
	mail     *mailbox[any]
	clock    clock
	ready    atomic.Bool
	awaits   func() bool
	knows    func() bool
	acting   func() *policy.Effect
	actsOn   *policy.Effect // the actor's: what it goes by
	avoiding func() *decide.Avoid
	avoids   *decide.Avoid // the actor's, too
	placed   func() *decide.Placed
	placedBy *decide.Placed // the actor's, too

	// Owned by the actor.
	gate       *storm.Gate // before the decision module
	balancer   *decide.Balancer
	figures    *figures.Figures
	viewed     time.Duration // when the module's view was last told to the figures
	router     *core.Router
	kept       kept
	list       *list
	agents     *agents
	servers    map[string]*booking
	operations map[uint32]*operation
	reply      protocol.Reply // of the attempt that the core is being told of
}

// operation is an operation that the core knows, under its number. All but answer is the module's actor's.
type operation struct {
	*protocol.Operation
	id       uint32
	answer   chan protocol.Answer
	attempts []*attempt // by their numbers; nil: not started
}

// The messages of the module's actor, beside *operation, attemptBegan, attemptEnded, poolNews and
// protocol.Datagram.
type (
	clientGone struct{ operation *operation }
	cameWhole  struct{ operation *operation }
	abandon    struct{}
	timerDue   struct{ tag uint64 }
	reclaim    struct{}
	remember   struct{ to chan<- state.Snapshot }
	weather    struct{ figures storm.Figures }
	agreed     struct{ effect *policy.Effect }
	strained   struct{ to chan<- strain }
	quickened  struct{ to chan<- []decide.Quick }
	present    struct {
		decide.Present
		storm int
	}
)

// strain is how the tenants' requests have fared, and whether some are held back for a storm.
type strain struct {
	all   []decide.Strain
	damps bool
}

// Start starts the actors. The module learns the known list at once and asks discovery for news.
func Start(set Settings) (*Agent, error) {
	if set.Figures == nil {
		set.Figures = figures.New(nil)
	}
	permitted := core.Permitted(set.Deployment.Settings)
	balancer, err := decide.New(permitted, set.Seed)
	if err != nil {
		return nil, err
	}
	gate, err := storm.New(permitted, set.Storm, balancer, set.Seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), gate: gate, balancer: balancer, figures: set.Figures,
		router: core.NewRouter(permitted, gate), servers: map[string]*booking{},
		operations: map[uint32]*operation{}, awaits: set.Awaits, knows: set.Knows,
		acting: set.Acting, avoiding: set.Avoiding, placed: set.Placed,
	}
	limit := &idleLimit{core: core.NewIdleLimit(a.clock.now(), set.Deployment.ConnIdle)}
	a.upstream = upstreamSettings{
		clock: a.clock, connectTimeout: connectWait(set.Deployment),
		settle:    core.SettleTime,
		idleLimit: limit, connects: &connects{}, descriptors: set.Descriptors, bodies: set.Bodies,
		figures: set.Figures,
	}
	a.kept = kept{
		session: state.NewSession(set.Start, balancer, gate, limit, set.Proof),
		proves:  set.Proof.Wanted, changed: set.Changed, clock: a.clock,
	}
	a.list = startList(set.Discovery, set.Start.List, set.Bans, a.clock, set.Figures,
		func(n poolNews) { a.mail.put(n) })
	if set.Datagrams != nil {
		a.agents = startAgents(set.Datagrams)
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

// Ready tells whether a booking server is known that takes operations, and what has to be there beside it
// is.
func (a *Agent) Ready() bool { return a.ready.Load() && (a.awaits == nil || a.awaits()) }

// Operate carries an operation out and returns its final answer; false where the client left before. In a
// process that just began it may wait first, see learn.
func (a *Agent) Operate(ctx context.Context, op *protocol.Operation) (protocol.Answer, bool) {
	if !a.learn(ctx, op.TimeLeft) {
		op.Release()
		return protocol.Answer{}, false
	}
	o := &operation{Operation: op, answer: make(chan protocol.Answer, 1)}
	a.mail.put(o)
	whole := op.Whole
	for {
		select {
		case answer := <-o.answer:
			return answer, true
		case <-whole:
			whole = nil
			a.mail.put(cameWhole{o})
		case <-ctx.Done():
			a.mail.put(clientGone{o})
			return protocol.Answer{}, false
		}
	}
}

const (
	// learnShare of its client's time, and learnMost, is how long an operation waits in a process that just
	// began, which does not know yet what its fleet has agreed on; learnEvery is how often it is looked.
	learnShare = 0.5
	learnMost  = time.Second
	learnEvery = 2 * time.Millisecond
)

// learn has an operation that comes before this process has caught up with its fleet wait a little: sent on
// at once it could reach a booking server that staff were told is free of such requests. False: the client
// has left.
func (a *Agent) learn(ctx context.Context, timeLeft time.Duration) bool {
	if a.knows == nil || a.knows() {
		return true
	}
	enough := time.NewTimer(min(time.Duration(learnShare*float64(timeLeft)), learnMost))
	defer enough.Stop()
	again := time.NewTicker(learnEvery)
	defer again.Stop()
	for !a.knows() {
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

// Hear takes another agent's datagram in, or drops it where too many messages wait.
func (a *Agent) Hear(d protocol.Datagram) {
	if a.mail.waiting() < maxDatagramsWaiting {
		a.mail.put(d)
	}
}

// Rediscover has the pool config watched at another address from now on.
func (a *Agent) Rediscover(addr netip.AddrPort) { a.list.mail.put(relocate{addr}) }

// SetStorm has the gate before the module go by other figures.
func (a *Agent) SetStorm(f storm.Figures) { a.mail.put(weather{f}) }

// Agree has the agent go by what its fleet has agreed on, from what is handled next on; nil: by its
// settings alone. The effect is not to be changed any more. It holds until the next Agree, also over
// SetStorm.
func (a *Agent) Agree(effect *policy.Effect) { a.mail.put(agreed{effect}) }

// Present has the module, and the gate before it, divide by how many agents are there; see decide.Present and
// storm.Gate.
func (a *Agent) Present(p decide.Present, storm int) { a.mail.put(present{p, storm}) }

// Strain tells how the tenants' requests have fared since the start, in the order of the settings and first
// those of none, nil where ctx ends before; and whether requests are held back for a storm.
func (a *Agent) Strain(ctx context.Context) (all []decide.Strain, damps bool) {
	to := make(chan strain, 1)
	a.mail.put(strained{to})
	select {
	case s := <-to:
		return s.all, s.damps
	case <-ctx.Done():
		return nil, false
	}
}

// Quicks tells how quick the kinds of servers were; nil where ctx ends before.
func (a *Agent) Quicks(ctx context.Context) []decide.Quick {
	to := make(chan []decide.Quick, 1)
	a.mail.put(quickened{to})
	select {
	case all := <-to:
		return all
	case <-ctx.Done():
		return nil
	}
}

// Abandon fails every operation that is still unanswered: the agent is about to end.
func (a *Agent) Abandon() { a.mail.put(abandon{}) }

// Reclaim has idle connections to booking servers closed.
func (a *Agent) Reclaim() { a.mail.put(reclaim{}) }

// follow has the core go by what is agreed at this moment, before it is told of anything: a lease that
// has run out, as while the process stood still, is seen before the next decision.
func (a *Agent) follow() {
	if a.acting != nil {
		if e := a.acting(); e != a.actsOn {
			a.actsOn = e
			a.router.Agree(e)
		}
	}
	if a.avoiding != nil {
		if v := a.avoiding(); v != a.avoids {
			a.avoids = v
			a.router.Avoid(v)
		}
	}
	if a.placed != nil {
		if p := a.placed(); p != a.placedBy {
			a.placedBy = p
			a.router.Place(p)
		}
	}
}

func (a *Agent) handle(m any) bool {
	a.follow()
	now := a.clock.now()
	switch m := m.(type) {
	case *operation:
		a.begin(now, m)
	case attemptBegan:
		a.began(now, m)
	case attemptEnded:
		a.reply = m.reply
		a.do(a.router.StepEnded(now, m.attempt.operation.id, m.attempt.number, m.saw))
		a.drop()
	case clientGone:
		a.do(a.router.ClientGone(now, m.operation.id))
		m.operation.takeBack()
	case cameWhole:
		a.do(a.router.Whole(now, m.operation.id))
	case timerDue:
		a.do(a.router.TimerDue(now, m.tag))
	case poolNews:
		a.do(a.router.PoolNews(now, m.kind, m.config, m.word))
		a.kept.news(now, m)
		a.ready.Store(a.router.Ready())
	case protocol.Datagram:
		a.do(a.router.PeerSays(now, m))
	case weather:
		if err := a.gate.Set(m.figures); err != nil {
			slog.Warn("figures not taken over", "error", err)
		}
	case agreed:
		a.router.Agree(m.effect)
	case present:
		a.balancer.Present(m.Present)
		a.gate.Present(m.storm)
	case strained:
		m.to <- strain{a.router.Strain(), a.gate != nil && a.gate.Damps()}
	case quickened:
		m.to <- a.balancer.Quicks()
	case abandon:
		a.do(a.router.Abandon())
	case remember:
		m.to <- a.kept.session.Snapshot(now)
	case reclaim:
		a.do(a.router.Reclaim())
	}
	a.view(now)
	return true
}

// viewEvery is how often the figures are told whom the module avoids, at most.
const viewEvery = 100 * time.Millisecond

// view tells the figures whom the module avoids. It comes with what is handled anyway: the module's
// rounds at the latest.
func (a *Agent) view(now time.Duration) {
	if a.balancer != nil && now-a.viewed >= viewEvery {
		a.viewed = now
		a.figures.SetAvoided(a.balancer.Avoided())
	}
}

// Ban takes a booking server out by hand, Lift puts it back. Listed is false where no list ever had the id;
// bans are all that hold after it.
func (a *Agent) Ban(ctx context.Context, id string) (bans []core.Ban, listed bool, err error) {
	return a.ban(ctx, ban{id: id})
}

// Lift puts a booking server back; see Ban.
func (a *Agent) Lift(ctx context.Context, id string) (bans []core.Ban, listed bool, err error) {
	return a.ban(ctx, ban{id: id, lift: true})
}

func (a *Agent) ban(ctx context.Context, m ban) ([]core.Ban, bool, error) {
	done := make(chan banned, 1)
	m.done = done
	a.list.mail.put(m)
	select {
	case b := <-done:
		return b.bans, b.listed, b.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// Listed tells whether a list ever had a booking server; false where that is not known before ctx ends.
func (a *Agent) Listed(ctx context.Context, id string) bool {
	done := make(chan bool, 1)
	a.list.mail.put(isListed{id, done})
	select {
	case is := <-done:
		return is
	case <-ctx.Done():
		return false
	}
}

// Servers are those on this agent's own list, as staff's word leaves them; false: that is not known before
// ctx ends.
func (a *Agent) Servers(ctx context.Context) ([]decide.Server, bool) {
	done := make(chan []decide.Server, 1)
	a.list.mail.put(servers{done})
	select {
	case all := <-done:
		return all, true
	case <-ctx.Done():
		return nil, false
	}
}

// JoinBans takes in what another process of this agent was told by hand.
func (a *Agent) JoinBans(bans []core.Ban) { a.list.mail.put(joinBans{bans}) }

// begin hands an operation to the core, which gives it its number.
func (a *Agent) begin(now time.Duration, o *operation) {
	id, out := a.router.Arrive(now, o.Operation, a.clock.at(o.Sent))
	o.id = id
	a.operations[id] = o
	a.do(out)
}

// began takes an answer that is longer than what is held whole.
func (a *Agent) began(now time.Duration, m attemptBegan) {
	a.reply = m.reply
	if m.attempt.timer.Stop() { // else its time is up, and its end will be told
		a.do(a.router.StepBegan(now, m.attempt.operation.id, m.attempt.number))
	}
	a.drop()
}

// drop gives up the reply in hand where it has become nobody's answer.
func (a *Agent) drop() {
	if a.reply.Flow != nil {
		a.reply.Flow.Close()
	}
	a.reply = protocol.Reply{}
}

// takeBack gives up an answer that crossed the client's leaving.
func (o *operation) takeBack() {
	select {
	case answer := <-o.answer:
		if answer.Flow != nil {
			answer.Flow.Close()
		}
	default:
	}
}

// do carries out what the core says.
func (a *Agent) do(out []core.Output) {
	for i := range out {
		a.act(&out[i])
	}
}

func (a *Agent) act(out *core.Output) {
	o := a.operations[out.Operation]
	switch out.Kind {
	case core.Answer:
		a.answer(o, out)
	case core.StartStep:
		s := newAttempt(o, *out, a.clock)
		for len(o.attempts) <= out.Attempt {
			o.attempts = append(o.attempts, nil)
		}
		o.attempts[out.Attempt] = s
		a.servers[out.Server].mail.put(s)
	case core.RetimeStep:
		o.attempts[out.Attempt].retime(a.clock.time(out.At), a.clock.time(out.Deadline))
	case core.CancelStep:
		o.attempts[out.Attempt].cancel(out.Why)
	case core.UnwantStep:
		o.attempts[out.Attempt].unwant()
	case core.Forget:
		o.Release()
		delete(a.operations, out.Operation)
	case core.SetTimer:
		tag := out.Tag
		time.AfterFunc(a.clock.until(out.At), func() { a.mail.put(timerDue{tag}) })
	case core.Tell:
		if a.agents != nil {
			a.agents.tell(protocol.Datagram{Agent: out.Peer, Data: out.Data})
		}
	case core.Subscribe:
		a.list.mail.put(subscribe{})
	case core.Fetch:
		a.list.mail.put(fetch{})
	case core.OpenServer:
		a.servers[out.Server] = startBooking(a.upstream, out.Addr, func(m any) { a.mail.put(m) })
	case core.MoveServer:
		a.servers[out.Server].mail.put(moved{out.Addr})
	case core.RetireServer:
		a.servers[out.Server].mail.put(retire{})
		delete(a.servers, out.Server)
	case core.RestServer:
		a.servers[out.Server].mail.put(rest{})
	case core.LetGo:
		a.servers[out.Server].mail.put(letGo{})
	case core.Log:
		slog.Info("module", "says", out.Text)
		a.kept.change() // what the module says is what changes its mind
	case core.ProbeUnheard:
		slog.Error("the module wants to probe, which is not allowed", "server", out.Server)
	}
}

// answer gives the one final answer; a good one is the reply in hand.
func (a *Agent) answer(o *operation, out *core.Output) {
	answer := protocol.Answer{
		Kind: out.Result, RetryAfter: out.After, OverShare: out.OverShare,
		Quota: out.Quota, Body: []byte(out.Text),
	}
	if out.Result == protocol.Served {
		answer = protocol.Answer{
			Kind: protocol.Served, Flow: a.reply.Flow, ContentType: a.reply.ContentType,
			Status: a.reply.Status,
		}
		a.reply.Flow = nil
	}
	answer.Begins = out.Begins
	o.answer <- answer
}
