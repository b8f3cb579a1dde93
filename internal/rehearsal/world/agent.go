package world

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// clockStart is the agents' Unix time at the start of a run: 06:00 UTC on Monday, 13 April 2026, after
// Easter.
const clockStart = time.Duration(1776060000) * time.Second

// agent is one agent, across the restarts of its process.
type agent struct {
	w          *world
	number     int
	name       string
	zone       int
	share      float64       // of the run's first tries
	links      []*link       // by server number
	rng        stream        // for its datagrams and starts
	starts     int           // of its program so far
	downFaults int           // active faults that keep it down
	proc       *agentProcess // nil: killed or not ready yet
	starting   *agentProcess // of a real agent that is not ready yet
	client     *client

	toDiscovery, toServers streamBlock // faults of its streams
	savedState             []byte      // its state file as last written completely; survives the process
	disabled               []routing.DisabledEndpoint
	disabledServers        map[*server]bool // those of disabled that are enforced
}

// link returns the agent's path to a server.
func (a *agent) link(s *server) *link {
	for len(a.links) <= s.number {
		a.links = append(a.links, nil)
	}
	if a.links[s.number] == nil {
		a.links[s.number] = newLink(a.w, a, s)
	}
	return a.links[s.number]
}

// agentProcess is one run of an agent's program: the daemon's routing core with virtual time and a
// virtual network in place of sockets and goroutines. Messages wait in a mailbox until the one before
// is handled.
type agentProcess struct {
	w                 *world
	agent             *agent
	ended             bool
	external          bool // a real program, which keeps most of the following state itself
	router            *routing.Router
	list              *routing.ListTracker
	idleLimit         *routing.IdleLimit
	connectTimeouts   routing.ConnectTimeouts
	recorder          *state.Recorder // nil: no state is saved, and lists are not verified
	descriptors       *routing.Descriptors
	upstreams         map[string]*upstream
	requests          map[uint32]*agentRequest
	calls             map[int]*call
	sentServers       []bool  // by server number: on the list that it was sent
	openConns         []*conn // to upstream servers
	listener          listener
	mailbox           []message
	handling          bool
	shutdown          shutdown
	replaced          bool    // another process has taken over
	pauseFaults       int     // active pause faults
	pauseCount        int     // pauses not yet resumed
	deferred          []event // events until it is resumed
	sendingAway       bool    // an operator has it send its clients away
	sendingAwaySince  time.Duration
	accepted          uint64                   // requests so far, for their IDs on the wire
	wireRequest       protocol.Request         // reused: the router does not retain it
	appliedPolicy     *policy.Effect           // last one given to the router
	ring              *ringassignment.Agent    // nil: keys are placed by the agent's own list
	appliedAssignment *balancer.RingAssignment // last one given to the router
	lastConnected     time.Duration            // last time at which it was not cut off from the voters
	appliedExclusions *balancer.Exclusions     // last ones given to the router
}

// agentRequest is a client's try that the agent has accepted.
type agentRequest struct {
	id       uint32
	try      *try
	attempts []*attempt
}

// upstream is an upstream server as an agent process knows it, with its connections.
type upstream struct {
	proc   *agentProcess
	pool   *routing.Pool[*conn]
	expiry time.Duration // next check of idle connections; zero: none scheduled
}

// message is an input of an agent's router or list tracker.
type message struct {
	kind        messageKind
	proc        *agentProcess
	number      int // of a call
	err         error
	update      balancer.UpdateKind
	watchStatus balancer.WatchStatus
	list        protocol.EndpointList
	confirms    bool // the update confirms the list
	id          uint32
	attempt     int
	result      routing.AttemptResult
	tag         uint64
	sender      int
	data        []byte
	try         *try
}

type messageKind uint8

const (
	listUpdated messageKind = iota
	callAccepted
	callReceived
	callIdle
	callEnded
	requestArrived
	clientGone
	attemptEnded
	timerDue
	datagramReceived
	releaseIdle
	failAll
	endResponses
)

func (m *message) fire() { m.proc.post(*m) }

// start starts an agent's program. It gets the list as discovery published it some time before, and its
// state file.
func (a *agent) start() error {
	w := a.w
	if w.wire != nil {
		a.startExternal()
		return nil
	}
	settings := routing.Permitted(w.deployment(a))
	a.starts++
	seed := nameSeed(w.seed, a.name) + uint64(a.starts)
	decisions, err := balancer.New(settings, seed)
	if err != nil {
		return err
	}
	shedder, err := overload.New(settings, w.options.Overload, decisions, seed)
	if err != nil {
		return err
	}
	age := w.scenario.Discovery.KnownAge.Draw(a.rng.Rand)
	list, version := w.discovery.asOf(max(w.now-age, 0))
	known := w.discovery.endpointList(list, version, true)
	start := a.loadState(known)
	if start.IsFromFile {
		known = start.List
		list = w.discovery.asOfVersion(known.Version)
	}
	module := routing.Module(shedder)
	if w.delayedView != nil {
		module = w.delayedView.policy(settings, seed)
	}
	l := &agentProcess{
		w: w, agent: a, router: routing.NewRouter(settings, module),
		list:        routing.NewListTracker(serverAddr(0), known, a.disabled),
		idleLimit:   routing.NewIdleLimit(clockStart+w.now, w.scenario.Connections.Idle),
		descriptors: routing.NewDescriptors(w.scenario.Agents.Sockets), upstreams: map[string]*upstream{},
		requests: map[uint32]*agentRequest{}, calls: map[int]*call{},
	}
	a.proc = l
	l.joinRing()
	if s := &w.scenario.Agents; w.delayedView == nil &&
		(s.StateInterval > 0 || s.ListProbation || w.hasUpgrades()) {
		l.recorder = state.NewRecorder(start, decisions, shedder, l.idleLimit,
			state.ProbationSettings{Enabled: s.ListProbation, FullDeploy: s.DeployTime})
	}
	if every := w.scenario.Agents.StateInterval; every > 0 {
		w.scheduleAfter(every, rankTimer, (*periodicSave)(l))
	}
	w.record.agent(record.AgentUp, a)
	l.recordList(list, true)
	l.post(message{kind: listUpdated, update: balancer.UpdateCached, list: l.list.ApplyDisabled(known)})
	return nil
}

// kill ends the program: all its state is lost and its connections are reset.
func (a *agent) kill() {
	l := a.proc
	if l == nil {
		return
	}
	a.proc = nil
	a.w.record.agent(record.AgentDown, a)
	l.terminate()
}

// terminate ends the process and resets its connections.
func (l *agentProcess) terminate() {
	l.ended = true
	for _, c := range l.calls {
		c.remove()
	}
	if l.external {
		l.killExternal()
	}
	for len(l.openConns) > 0 {
		c := l.openConns[len(l.openConns)-1]
		if s := c.attempt; s != nil && !s.ended {
			s.finish(record.Abandoned)
		}
		c.close()
	}
	l.agent.client.resetConns(l)
}

func (l *agentProcess) clock() time.Duration { return clockStart + l.w.now }

// post passes a message to the router or the list tracker, now or after those that wait.
func (l *agentProcess) post(m message) {
	if l.external {
		l.postExternal(m)
		return
	}
	if l.ended {
		return
	}
	if l.pauseCount > 0 { // separate, so that only there the message escapes to the heap
		l.postDeferred(m)
		return
	}
	l.mailbox = append(l.mailbox, m)
	if l.handling {
		return
	}
	l.handling = true
	for i := 0; i < len(l.mailbox); i++ {
		l.handle(&l.mailbox[i])
	}
	clear(l.mailbox)
	l.mailbox = l.mailbox[:0]
	l.handling = false
}

func (l *agentProcess) postDeferred(m message) {
	m.proc = l
	l.deferIfPaused(&m)
}

// updatePolicy applies the present fleet policy to the router, as agent.Agent does before each message.
func (l *agentProcess) updatePolicy() {
	if acting := l.w.options.FleetPolicy; acting != nil {
		if e := acting(l.agent.number, l.w.now); e != l.appliedPolicy {
			l.appliedPolicy = e
			l.router.SetFleetPolicy(e)
		}
	}
}

func (l *agentProcess) handle(msg *message) {
	m := *msg // a copy: the mailbox may grow
	l.updatePolicy()
	l.updateAssignment()
	l.updateExclusions()
	switch now := l.clock(); m.kind {
	case listUpdated:
		l.execute(l.router.ListUpdated(now, m.update, m.list, m.watchStatus))
		l.recordUpdate(&m)
	case callAccepted:
		l.executeList(l.list.CallAccepted(m.number))
		l.w.scheduleAfter(callIdleWait, rankTimer, &message{kind: callIdle, proc: l, number: m.number})
	case callIdle:
		l.executeList(l.list.CallIdle(m.number))
		l.executeList(l.list.CallKeptAlive(m.number))
	case callReceived:
		l.executeList(l.list.CallReceived(m.number, m.list))
	case callEnded:
		delete(l.calls, m.number)
		l.executeList(l.list.CallEnded(m.number, m.err))
	case requestArrived:
		l.requestArrived(m.try)
	case clientGone:
		if m.try.agentRequest != nil {
			l.execute(l.router.ClientGone(now, m.try.agentRequest.id))
		}
	case attemptEnded:
		l.execute(l.router.AttemptEnded(now, m.id, m.attempt, m.result))
	case timerDue:
		l.execute(l.router.TimerDue(now, m.tag))
	case datagramReceived:
		l.execute(l.router.DatagramReceived(now, protocol.Datagram{Agent: m.sender, Data: m.data}))
	case releaseIdle:
		l.execute(l.router.ReleaseIdle())
	case failAll:
		l.execute(l.router.FailAll())
	case endResponses:
		l.execute(l.router.EndResponses())
	}
}

// requestArrived passes a client's try to the router.
func (l *agentProcess) requestArrived(t *try) {
	w := l.w
	q := t.request
	l.accepted++
	req := &l.wireRequest
	*req = protocol.Request{
		CorrelationID: wireID(l.accepted), Class: q.agentClass(),
		IsRetry:  t.number > 0 && w.scenario.Clients.MarksRetry,
		TimeLeft: (t.deadline - t.sentAt).Truncate(time.Millisecond),
	}
	if q.key > 0 {
		req.Key = w.keyNames[q.key-1]
	}
	if q.tenant != record.NoTenant {
		req.Tenant = w.scenario.Tenants[q.tenant].Name
	}
	o := &agentRequest{try: t}
	t.agentRequest = o
	id, out := l.router.RequestArrived(l.clock(), req, l.clock())
	o.id = id
	l.requests[id] = o
	l.execute(out)
}

// wireID formats a request's ID on the wire.
func wireID(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := len(b) - 1; i >= 0; i-- {
		b[i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}

// execute carries out the router's outputs.
func (l *agentProcess) execute(outputs []routing.Output) {
	w := l.w
	for i := range outputs {
		o := &outputs[i]
		switch o.Kind {
		case routing.Respond:
			l.respond(o)
		case routing.StartAttempt:
			l.startAttempt(o)
		case routing.CancelAttempt:
			if s := l.requests[o.Request].attempt(o.Attempt); s != nil && !s.ended {
				s.end(o.Reason)
			}
		case routing.CancelIfUnsent:
			if s := l.requests[o.Request].attempt(o.Attempt); s != nil && !s.ended && s.phase == routing.Connecting {
				s.end(routing.Canceled)
			}
		case routing.ForgetRequest:
			delete(l.requests, o.Request)
		case routing.SetTimer:
			w.schedule(o.At-clockStart, rankTimer, &message{kind: timerDue, proc: l, tag: o.Tag})
		case routing.SendDatagram:
			if !l.replaced { // only the new process sends gossip
				l.sendDatagram(o.Peer, o.Data)
			}
		case routing.WatchList:
			l.executeList(l.list.Watch())
		case routing.FetchList:
			l.executeList(l.list.Fetch())
		case routing.OpenEndpoint:
			l.upstreams[o.Endpoint] = &upstream{
				proc: l, pool: routing.NewPool[*conn](o.Addr, l.idleLimit, noSettleTime),
			}
		case routing.SetEndpointAddress:
			closeAll(l.upstreams[o.Endpoint].pool.SetAddress(o.Addr))
		case routing.ReplaceEndpoint:
			closeAll(l.upstreams[o.Endpoint].pool.ProcessReplaced())
		case routing.RemoveEndpoint:
			closeAll(l.upstreams[o.Endpoint].pool.Retire())
			delete(l.upstreams, o.Endpoint)
		case routing.DrainEndpoint:
			closeAll(l.upstreams[o.Endpoint].pool.StopReuse())
		case routing.ReleaseIdle:
			closeAll(l.upstreams[o.Endpoint].pool.CloseIdleHalf())
		case routing.LogDecision:
			if w.options.Log != nil {
				w.options.Log(w.now, l.agent.name, o.Text)
			}
		case routing.UnsupportedProbe:
			if w.options.Log != nil {
				w.options.Log(w.now, l.agent.name, "not allowed: probe "+o.Endpoint)
			}
		}
	}
}

// attempt returns the attempt of an index; nil if there is none.
func (o *agentRequest) attempt(index int) *attempt {
	for _, s := range o.attempts {
		if s.index == index {
			return s
		}
	}
	return nil
}

// executeList carries out the list tracker's outputs.
func (l *agentProcess) executeList(outputs []routing.ListOutput) {
	for i := range outputs {
		switch o := &outputs[i]; o.Kind {
		case routing.StartCall:
			c := &call{
				discovery: l.w.discovery, proc: l, number: o.Call, watch: o.Request.Watch,
				sentVersion: o.Request.FromVersion,
			}
			c.updateDelay = time.Duration(l.agent.rng.Float64() * float64(c.discovery.updateSpread))
			l.calls[o.Call] = c
			l.w.schedule(l.agent.callArrival(c.discovery), rankArrival, (*callArrives)(c))
		case routing.EndCall:
			if c := l.calls[o.Call]; c != nil && !c.ended {
				c.remove()
				l.w.scheduleAfter(0, rankArrival, &message{kind: callEnded, proc: l, number: o.Call, err: errCanceled})
			}
		case routing.ListUpdate:
			l.post(message{
				kind: listUpdated, update: o.Update, list: o.List, watchStatus: o.Watch, confirms: o.Confirms,
			})
		}
	}
}
