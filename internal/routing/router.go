package routing

import (
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/control/policy"
	"dunestep/internal/protocol"
)

// ResponseMargin is taken off the client's time, so that the final answer is there before the client leaves.
const ResponseMargin = 5 * time.Millisecond

// maxBodyTime bounds how long an operation may be coming; that it gets on is the front socket's to see.
const maxBodyTime = 15 * time.Minute

// Module makes the decisions: balancer.Balancer, or a test's.
type Module interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
}

// agreeing is a Module that takes over what the fleet has agreed on: overload.Controller.
type fleetPolicyUser interface {
	ApplyFleetPolicy(quota []float64, classes []balancer.RetryPolicy, inVain float64)
}

// avoiding is a Module that keeps tenants' keys off servers, and tells how tenants fared: overload.Controller.
type exclusionUser interface {
	SetExclusions(a *balancer.Exclusions)
	TenantStats() []balancer.TenantStats
}

// placing is a Module that goes by an agreed generation of the ring: overload.Controller.
type ringAssignmentUser interface {
	SetRingAssignment(p *balancer.RingAssignment)
}

// Permitted takes from a deployment's settings what cannot be had here: booking servers may not be probed,
// and there is no form for it; and discovery tells nothing unless it is called, also where it is said to push
// lists. The module is built with what is left.
func Permitted(set balancer.Settings) balancer.Settings {
	set.Limits.Probes = false
	set.DiscoveryOnDemand = true
	return set
}

// Router is the module's actor without its mailbox: it knows every operation, its route steps and the booking
// servers' standing, and gives each operation one final answer, whatever crosses. Each input returns what is
// to be done, in order, valid until the next input.
type Router struct {
	module         Module
	maxAttempts    int                       // attempts at an operation
	sendsToRemoved bool                      // a server that has left may still be sent to
	classes        map[string]balancer.Class // those of the settings

	requests       map[uint32]*requestState
	correlationIDs map[string]uint32 // of the operations by their ids on the socket
	lastID         uint32
	endpoints      map[string]*endpointState
	failingAll     bool

	out        []Output
	notStarted []notStarted    // the module is told of them when its actions are done
	reusable   []*requestState // forgotten ones, to be used again

	// Used again for each event: the module keeps none.
	arrival     balancer.Request
	attemptDone balancer.AttemptDone
}

// operation is an operation that the module knows.
type requestState struct {
	id               uint32
	correlationID    string
	deadline         time.Duration // of the final answer
	streamed         bool          // answers are passed on from their first byte on
	answered         bool          // or gone
	clientTimeLeft   time.Duration // of the client, from the last byte on, while that has not come; zero: it has
	bodyConsumed     bool          // a part of it has been passed on and is gone: it can't be sent again
	streamingAttempt int           // the attempt whose answer is on its way to the client, counted from one; zero: none
	attempts         []attemptState
	openAttempts     int // steps whose end the module has not been told
}

// attemptState is one attempt at an operation.
type attemptState struct {
	server           string
	running          bool          // started and not ended
	timeoutAfterBody time.Duration // how long the module waits for it, from the operation's last byte on
}

// unsent is a route step that could not be started.
type notStarted struct {
	operation *requestState
	attempt   int
}

// standing is what the list says of a booking server that is sent to, or may be.
type endpointState struct {
	state balancer.ServerState
	open  bool // it has an actor
}

// NewRouter returns a Router that knows no servers yet: the known list is told by ListUpdated, as SyncSaved. The
// module was built with the same settings.
func NewRouter(set balancer.Settings, module Module) *Router {
	r := &Router{
		module: module, maxAttempts: max(set.Limits.MaxAttempts, 1), sendsToRemoved: set.Rules.GoneUsable,
		classes: map[string]balancer.Class{}, requests: map[uint32]*requestState{}, correlationIDs: map[string]uint32{},
		endpoints: map[string]*endpointState{},
	}
	for _, c := range set.Classes {
		r.classes[c.Name] = c
	}
	return r
}

// RequestArrived takes an operation in, under a number of its own: the ids on the socket have 64 bits, the module's
// 32, and two that fell together would answer one client with the other's body. Sent is the earliest time
// that is known of it, from which the client's time counts. The number stands for the operation until ForgetRequest.
func (r *Router) RequestArrived(now time.Duration, op *protocol.Request, sent time.Duration) (uint32, []Output) {
	r.out = r.out[:0]
	o := r.register(op)
	o.deadline = sent + op.TimeLeft - ResponseMargin
	if op.Rest != nil { // its time counts from its last byte
		o.clientTimeLeft, o.deadline = op.TimeLeft, now+maxBodyTime
	}
	class, known := r.classes[op.Class]
	o.streamed = class.Streaming
	_, twice := r.correlationIDs[op.CorrelationID]
	switch {
	case twice: // passed on, it could run twice
		r.reject(o, protocol.Malformed, "the id is in use\n")
	case !known: // nothing is known of its aim, nor whether it may be repeated
		r.reject(o, protocol.Malformed, "unknown class\n")
	case r.failingAll: // it would not be answered any more
		r.reject(o, protocol.Rejected, busyText)
	default:
		r.correlationIDs[op.CorrelationID] = o.id
		r.arrival = balancer.Request{
			ID: o.id, WorkHint: op.WorkHint, Key: op.Key, Tenant: op.Tenant, Class: op.Class,
			ClientTimeout: max(min(o.deadline-now, op.TimeLeft), 0), ClientRetry: op.IsRetry,
		}
		r.decide(now, &r.arrival)
	}
	return o.id, r.out
}

// enter gives an operation its number.
func (r *Router) register(op *protocol.Request) *requestState {
	for r.lastID++; r.requests[r.lastID] != nil; r.lastID++ {
	}
	if len(r.reusable) == 0 {
		r.reusable = append(r.reusable, &requestState{})
	}
	last := len(r.reusable) - 1
	o := r.reusable[last]
	r.reusable = r.reusable[:last]
	*o = requestState{id: r.lastID, correlationID: op.CorrelationID, attempts: o.attempts[:0]}
	r.requests[o.id] = o
	return o
}

// reject answers what the module is not asked about.
func (r *Router) reject(o *requestState, as protocol.ResponseKind, why string) {
	o.correlationID = "" // it is not this one's, or not in use
	r.respond(o, Output{Result: as, Text: why})
}

// Complete takes in that the last byte of an operation has come, whose beginning came before: from now on its
// time counts.
func (r *Router) BodyComplete(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	o := r.requests[id]
	if o == nil || o.clientTimeLeft == 0 {
		return r.out
	}
	o.deadline, o.clientTimeLeft = now+o.clientTimeLeft-ResponseMargin, 0
	for attempt, s := range o.attempts {
		if s.running {
			r.emit(Output{
				Kind: RescheduleAttempt, Request: id, Attempt: attempt, Deadline: o.deadline,
				At: min(o.deadline, now+s.timeoutAfterBody),
			})
		}
	}
	return r.out
}

// ResponseStarted takes in that the answer to a route step has begun, as a good one, and is longer than what is
// held whole; how it ended is told by AttemptEnded. The first one that may begin is the operation's final
// answer, however it ends. Until then its time was the module's to say, from now on it lasts as long as the
// booking server gives: the time is of the first bytes.
func (r *Router) ResponseStarted(now time.Duration, id uint32, attempt int) []Output {
	r.out = r.out[:0]
	o := r.runningAttempt(id, attempt)
	if o == nil {
		return r.out
	}
	if why := checkStart(o.answered, o.deadline-now); why != NotEnded {
		r.cancel(o, attempt, why)
		return r.out
	}
	o.streamingAttempt = attempt + 1
	r.respond(o, Output{Result: protocol.Served, Attempt: attempt, Streaming: true})
	r.decide(now, &balancer.StreamStarted{ID: id, Attempt: attempt})
	return r.out
}

// AttemptEnded takes in the end of a route step. The first that is served is the operation's final answer. An
// end that is told twice, or of a step that was not started, is passed over.
func (r *Router) AttemptEnded(now time.Duration, id uint32, attempt int, saw AttemptResult) []Output {
	r.out = r.out[:0]
	if o := r.runningAttempt(id, attempt); o != nil {
		o.attempts[attempt].running = false
		o.bodyConsumed = o.bodyConsumed || saw.BodyConsumed
		r.attemptOver(now, o, attempt, saw.Outcome(), saw.Latency, saw.Evidence())
	}
	return r.out
}

func (r *Router) attemptOver(now time.Duration, o *requestState, attempt int, outcome balancer.Outcome,
	latency time.Duration, known outlier.Evidence,
) {
	r.attemptDone = balancer.AttemptDone{
		ID: o.id, Attempt: attempt, Server: o.attempts[attempt].server, Outcome: outcome,
		Latency: latency, Evidence: known,
	}
	o.openAttempts--
	switch {
	case outcome == balancer.Served && !o.answered:
		r.respond(o, Output{Result: protocol.Served, Attempt: attempt})
	case o.bodyConsumed && outcome.Unprocessed() && !o.answered && o.openAttempts == 0: // no other step is possible
		r.respond(o, Output{Result: protocol.Rejected, Text: busyText})
	default:
		r.forgetIfDone(o)
	}
	r.attemptDone.RequestDone = o.answered
	r.decide(now, &r.attemptDone)
}

// runningAttempt finds the operation of a route step that is out.
func (r *Router) runningAttempt(id uint32, attempt int) *requestState {
	o := r.requests[id]
	if o == nil || attempt < 0 || attempt >= len(o.attempts) || !o.attempts[attempt].running {
		return nil
	}
	return o
}

// ClientGone takes in that the client has left: no answer is owed any more. One that had begun is given up;
// other route steps that were sent on go on to their ends, as the module says.
func (r *Router) ClientGone(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	o := r.requests[id]
	switch {
	case o == nil:
	case o.answered:
		r.cancelStreaming(o, ClientLeft)
	default:
		o.answered = true
		r.cancelUnsent(o)
		r.forgetIfDone(o)
		r.decide(now, &balancer.ClientGone{ID: id})
	}
	return r.out
}

func (r *Router) cancel(o *requestState, attempt int, why EndReason) {
	r.emit(Output{Kind: CancelAttempt, Request: o.id, Attempt: attempt, Why: why})
}

// cancelStreaming gives up an answer that is on its way to the client.
func (r *Router) cancelStreaming(o *requestState, why EndReason) {
	if o.streamingAttempt > 0 && o.attempts[o.streamingAttempt-1].running {
		r.cancel(o, o.streamingAttempt-1, why)
	}
	o.streamingAttempt = 0
}

// TimerDue takes in that a timer is due.
func (r *Router) TimerDue(now time.Duration, tag uint64) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.TimerDue{Tag: tag})
	return r.out
}

// DatagramReceived takes another agent's datagram in.
func (r *Router) DatagramReceived(now time.Duration, d protocol.Datagram) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.PeerMessage{From: d.Agent, Data: d.Data})
	return r.out
}

// FailAll fails every operation that is still unanswered, breaks off answers that have only begun, and turns
// away what is to come: the agent is about to end. Nothing is sent to a booking server from here on.
func (r *Router) FailAll() []Output {
	r.out = r.out[:0]
	r.failingAll = true
	for _, id := range sorted(r.requests) {
		r.cancelStreaming(r.requests[id], AgentStopping)
		r.respondOnce(id, Output{Result: protocol.Failed, Text: failedText})
	}
	return r.out
}

// ReleaseIdle has idle connections to booking servers closed: descriptors are short.
func (r *Router) ReleaseIdle() []Output {
	r.out = r.out[:0]
	for _, id := range sorted(r.endpoints) {
		if r.endpoints[id].open {
			r.emit(Output{Kind: ReleaseIdle, Endpoint: id})
		}
	}
	return r.out
}

const (
	failedText = "failed\n"
	busyText   = "busy\n"
)

func (r *Router) emit(o Output) { r.out = append(r.out, o) }

// SetFleetPolicy has the module go by what the fleet has agreed on, from the next input on; nil: by its settings
// alone. A module without such a thing passes it over.
func (r *Router) SetFleetPolicy(e *policy.Effect) {
	module, can := r.module.(fleetPolicyUser)
	if !can {
		return
	}
	if e == nil {
		e = &policy.Effect{}
	}
	classes := make([]balancer.RetryPolicy, 0, len(e.Classes))
	for _, c := range e.Classes {
		classes = append(classes, balancer.RetryPolicy{MaxAttempts: c.MaxAttempts, Hedging: c.Hedging, MinAttemptInterval: c.MinAttemptInterval})
	}
	module.ApplyFleetPolicy(e.Quota, classes, e.MaxFailedRatio)
}

// SetExclusions has the module keep tenants' keys off servers, from the next input on; nil: off none. A module
// without such a thing passes it over.
func (r *Router) SetExclusions(a *balancer.Exclusions) {
	if module, can := r.module.(exclusionUser); can {
		module.SetExclusions(a)
	}
}

// SetRingAssignment has the module go by an agreed generation of the ring, from the next input on; nil: by its own list
// alone. A module without such a thing passes it over.
func (r *Router) SetRingAssignment(p *balancer.RingAssignment) {
	if module, can := r.module.(ringAssignmentUser); can {
		module.SetRingAssignment(p)
	}
}

// TenantStats tells how the tenants' requests have fared; nil where the module doesn't know.
func (r *Router) TenantStats() []balancer.TenantStats {
	if module, can := r.module.(exclusionUser); can {
		return module.TenantStats()
	}
	return nil
}

// step is the only place that has the module act. Buckets that could not be started end right after the actions
// that asked for them, before any other input.
func (r *Router) decide(now time.Duration, ev balancer.Event) {
	for _, act := range r.module.Step(now, ev) {
		r.carryOut(now, act)
	}
	for len(r.notStarted) > 0 {
		s := r.notStarted[0]
		r.notStarted = slices.Delete(r.notStarted, 0, 1)
		r.attemptOver(now, s.operation, s.attempt, balancer.NotSent, 0, outlier.Evidence{})
	}
}

func (r *Router) carryOut(now time.Duration, act balancer.Action) {
	switch act.Kind {
	case balancer.Send:
		r.startAttempt(now, act)
	case balancer.Fail:
		r.respondOnce(act.ID, Output{Result: protocol.Failed, Text: failedText})
	case balancer.Reject:
		r.respondOnce(act.ID, Output{
			Result: protocol.Rejected, After: act.After, OverQuota: act.OverQuota,
			Quota: act.Quota, Text: busyText,
		})
	case balancer.Cancel:
		if o := r.runningAttempt(act.ID, act.Attempt); o != nil {
			r.cancel(o, act.Attempt, Canceled)
		}
	case balancer.SetTimer:
		r.emit(Output{Kind: SetTimer, At: now + act.After, Tag: act.Tag})
	case balancer.SendToPeer:
		r.emit(Output{Kind: SendDatagram, Peer: act.Peer, Data: act.Data})
	case balancer.Subscribe:
		r.emit(Output{Kind: WatchList})
	case balancer.Fetch:
		r.emit(Output{Kind: FetchList})
	case balancer.Log:
		r.emit(Output{Kind: LogDecision, Text: act.Text})
	case balancer.Probe:
		r.emit(Output{Kind: UnsupportedProbe, Endpoint: act.Server})
	}
}

// conclude gives the answer that the module says, unless there was one.
func (r *Router) respondOnce(id uint32, with Output) {
	if o := r.requests[id]; o != nil && !o.answered {
		r.respond(o, with)
	}
}

// answer gives the one final answer.
func (r *Router) respond(o *requestState, with Output) {
	o.answered = true
	r.cancelUnsent(o)
	with.Kind, with.Request = Respond, o.id
	r.emit(with)
	r.forgetIfDone(o)
}

// unwant has the operation's route steps that were not sent on yet ended. Guards against work for nobody: a
// step whose connection comes up late would be sent on after the final answer, or after its client has gone.
func (r *Router) cancelUnsent(o *requestState) {
	for attempt, s := range o.attempts {
		if s.running && attempt+1 != o.streamingAttempt {
			r.emit(Output{Kind: CancelIfUnsent, Request: o.id, Attempt: attempt})
		}
	}
}

// forget drops an operation that is answered and of which nothing is out. Until then its id is in use.
func (r *Router) forgetIfDone(o *requestState) {
	if !o.answered || o.openAttempts > 0 {
		return
	}
	delete(r.requests, o.id)
	if o.correlationID != "" {
		delete(r.correlationIDs, o.correlationID)
	}
	r.reusable = append(r.reusable, o)
	r.emit(Output{Kind: ForgetRequest, Request: o.id})
}

// send starts a route step, where that is still of use.
func (r *Router) startAttempt(now time.Duration, act balancer.Action) {
	o := r.requests[act.ID]
	if o == nil {
		return
	}
	until, after := o.deadline, time.Duration(0)
	if act.After != 0 {
		until = min(until, now+act.After)
	}
	if o.clientTimeLeft > 0 {
		until, after = o.deadline, o.clientTimeLeft
		if act.After != 0 {
			after = min(after, act.After)
		}
	}
	attempt := len(o.attempts)
	o.attempts = append(o.attempts, attemptState{server: act.Server, timeoutAfterBody: after})
	o.openAttempts++
	server := r.endpoints[act.Server]
	if server == nil || !server.open || o.answered || o.bodyConsumed || until <= now ||
		attempt >= r.maxAttempts {
		r.notStarted = append(r.notStarted, notStarted{o, attempt})
		return
	}
	o.attempts[attempt].running = true
	r.emit(Output{
		Kind: StartAttempt, Request: o.id, Attempt: attempt, Endpoint: act.Server, At: until,
		Deadline: o.deadline, Streaming: o.streamed, After: after,
	})
}
