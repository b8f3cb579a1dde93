package core

import (
	"slices"
	"time"

	"dunestep/decide"
	"dunestep/health"
	"dunestep/internal/protocol"
	"dunestep/policy"
)

// AnswerMargin is taken off the client's time, so that the final answer is there before the client leaves.
const AnswerMargin = 5 * time.Millisecond

// comesWithin bounds how long an operation may be coming; that it gets on is the front socket's to see.
const comesWithin = 15 * time.Minute

// Module makes the decisions: decide.Balancer, or a test's.
type Module interface {
	Step(now time.Duration, ev decide.Event) []decide.Action
}

// agreeing is a Module that takes over what the fleet has agreed on: storm.Gate.
type agreeing interface {
	Agree(quota []float64, classes []decide.Agreed, inVain float64)
}

// avoiding is a Module that keeps tenants' keys off servers, and tells how tenants fared: storm.Gate.
type avoiding interface {
	Avoid(a *decide.Avoid)
	Strain() []decide.Strain
}

// placing is a Module that goes by an agreed generation of the ring: storm.Gate.
type placing interface{ Place(p *decide.Placed) }

// Permitted takes from a deployment's settings what cannot be had here: booking servers may not be probed,
// and there is no form for it; and discovery tells nothing unless it is called, also where it is said to push
// lists. The module is built with what is left.
func Permitted(set decide.Settings) decide.Settings {
	set.Limits.Probes = false
	set.OnRequest = true
	return set
}

// Router is the module's actor without its mailbox: it knows every operation, its route steps and the booking
// servers' standing, and gives each operation one final answer, whatever crosses. Each input returns what is
// to be done, in order, valid until the next input.
type Router struct {
	module  Module
	most    int                     // attempts at an operation
	stays   bool                    // a server that has left may still be sent to
	classes map[string]decide.Class // those of the settings

	operations map[uint32]*operation
	ids        map[string]uint32 // of the operations by their ids on the socket
	lastID     uint32
	servers    map[string]*standing
	abandoned  bool

	out    []Output
	unsent []unsent     // the module is told of them when its actions are done
	spare  []*operation // forgotten ones, to be used again

	// Used again for each event: the module keeps none.
	request decide.Request
	done    decide.AttemptDone
}

// operation is an operation that the module knows.
type operation struct {
	id       uint32
	wireID   string
	deadline time.Duration // of the final answer
	streams  bool          // answers are passed on from their first byte on
	answered bool          // or gone
	timeLeft time.Duration // of the client, from the last byte on, while that has not come; zero: it has
	spent    bool          // a part of it has been passed on and is gone: it can't be sent again
	begun    int           // the attempt whose answer is on its way to the client, counted from one; zero: none
	steps    []routeStep
	open     int // steps whose end the module has not been told
}

// routeStep is one attempt at an operation.
type routeStep struct {
	server string
	out    bool          // started and not ended
	after  time.Duration // how long the module waits for it, from the operation's last byte on
}

// unsent is a route step that could not be started.
type unsent struct {
	operation *operation
	attempt   int
}

// standing is what the list says of a booking server that is sent to, or may be.
type standing struct {
	state decide.ServerState
	open  bool // it has an actor
}

// NewRouter returns a Router that knows no servers yet: the known list is told by PoolNews, as SyncSaved. The
// module was built with the same settings.
func NewRouter(set decide.Settings, module Module) *Router {
	r := &Router{
		module: module, most: max(set.Limits.MaxAttempts, 1), stays: set.Rules.OnlyDrainingBind,
		classes: map[string]decide.Class{}, operations: map[uint32]*operation{}, ids: map[string]uint32{},
		servers: map[string]*standing{},
	}
	for _, c := range set.Classes {
		r.classes[c.Name] = c
	}
	return r
}

// Arrive takes an operation in, under a number of its own: the ids on the socket have 64 bits, the module's
// 32, and two that fell together would answer one client with the other's body. Sent is the earliest time
// that is known of it, from which the client's time counts. The number stands for the operation until Forget.
func (r *Router) Arrive(now time.Duration, op *protocol.Operation, sent time.Duration) (uint32, []Output) {
	r.out = r.out[:0]
	o := r.enter(op)
	o.deadline = sent + op.TimeLeft - AnswerMargin
	if op.Rest != nil { // its time counts from its last byte
		o.timeLeft, o.deadline = op.TimeLeft, now+comesWithin
	}
	class, known := r.classes[op.Class]
	o.streams = class.Stream
	_, twice := r.ids[op.CorrelationID]
	switch {
	case twice: // passed on, it could run twice
		r.turnAway(o, protocol.Malformed, "the id is in use\n")
	case !known: // nothing is known of its aim, nor whether it may be repeated
		r.turnAway(o, protocol.Malformed, "unknown class\n")
	case r.abandoned: // it would not be answered any more
		r.turnAway(o, protocol.BusyReply, busyText)
	default:
		r.ids[op.CorrelationID] = o.id
		r.request = decide.Request{
			ID: o.id, Work: op.Work, Key: op.Key, Tenant: op.Tenant, Class: op.Class,
			Budget: max(min(o.deadline-now, op.TimeLeft), 0), Retry: op.Repeat,
		}
		r.step(now, &r.request)
	}
	return o.id, r.out
}

// enter gives an operation its number.
func (r *Router) enter(op *protocol.Operation) *operation {
	for r.lastID++; r.operations[r.lastID] != nil; r.lastID++ {
	}
	if len(r.spare) == 0 {
		r.spare = append(r.spare, &operation{})
	}
	last := len(r.spare) - 1
	o := r.spare[last]
	r.spare = r.spare[:last]
	*o = operation{id: r.lastID, wireID: op.CorrelationID, steps: o.steps[:0]}
	r.operations[o.id] = o
	return o
}

// turnAway answers what the module is not asked about.
func (r *Router) turnAway(o *operation, as protocol.AnswerKind, why string) {
	o.wireID = "" // it is not this one's, or not in use
	r.answer(o, Output{Result: as, Text: why})
}

// Whole takes in that the last byte of an operation has come, whose beginning came before: from now on its
// time counts.
func (r *Router) Whole(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	o := r.operations[id]
	if o == nil || o.timeLeft == 0 {
		return r.out
	}
	o.deadline, o.timeLeft = now+o.timeLeft-AnswerMargin, 0
	for attempt, s := range o.steps {
		if s.out {
			r.put(Output{
				Kind: RetimeStep, Operation: id, Attempt: attempt, Deadline: o.deadline,
				At: min(o.deadline, now+s.after),
			})
		}
	}
	return r.out
}

// StepBegan takes in that the answer to a route step has begun, as a good one, and is longer than what is
// held whole; how it ended is told by StepEnded. The first one that may begin is the operation's final
// answer, however it ends. Until then its time was the module's to say, from now on it lasts as long as the
// booking server gives: the time is of the first bytes.
func (r *Router) StepBegan(now time.Duration, id uint32, attempt int) []Output {
	r.out = r.out[:0]
	o := r.stepOut(id, attempt)
	if o == nil {
		return r.out
	}
	if why := mayBegin(o.answered, o.deadline-now); why != GoesOn {
		r.cancel(o, attempt, why)
		return r.out
	}
	o.begun = attempt + 1
	r.answer(o, Output{Result: protocol.Served, Attempt: attempt, Begins: true})
	r.step(now, &decide.StreamStarted{ID: id, Attempt: attempt})
	return r.out
}

// StepEnded takes in the end of a route step. The first that is served is the operation's final answer. An
// end that is told twice, or of a step that was not started, is passed over.
func (r *Router) StepEnded(now time.Duration, id uint32, attempt int, saw Sighting) []Output {
	r.out = r.out[:0]
	if o := r.stepOut(id, attempt); o != nil {
		o.steps[attempt].out = false
		o.spent = o.spent || saw.Spent
		r.end(now, o, attempt, saw.Outcome(), saw.Latency, saw.Evidence())
	}
	return r.out
}

func (r *Router) end(now time.Duration, o *operation, attempt int, outcome decide.Outcome,
	latency time.Duration, known health.Evidence,
) {
	r.done = decide.AttemptDone{
		ID: o.id, Attempt: attempt, Server: o.steps[attempt].server, Outcome: outcome,
		Latency: latency, Evidence: known,
	}
	o.open--
	switch {
	case outcome == decide.Served && !o.answered:
		r.answer(o, Output{Result: protocol.Served, Attempt: attempt})
	case o.spent && outcome.NeverRan() && !o.answered && o.open == 0: // no other step is possible
		r.answer(o, Output{Result: protocol.BusyReply, Text: busyText})
	default:
		r.forget(o)
	}
	r.done.Finished = o.answered
	r.step(now, &r.done)
}

// stepOut finds the operation of a route step that is out.
func (r *Router) stepOut(id uint32, attempt int) *operation {
	o := r.operations[id]
	if o == nil || attempt < 0 || attempt >= len(o.steps) || !o.steps[attempt].out {
		return nil
	}
	return o
}

// ClientGone takes in that the client has left: no answer is owed any more. One that had begun is given up;
// other route steps that were sent on go on to their ends, as the module says.
func (r *Router) ClientGone(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	o := r.operations[id]
	switch {
	case o == nil:
	case o.answered:
		r.cancelBegun(o, ClientLeft)
	default:
		o.answered = true
		r.unwant(o)
		r.forget(o)
		r.step(now, &decide.ClientGone{ID: id})
	}
	return r.out
}

func (r *Router) cancel(o *operation, attempt int, why Ending) {
	r.put(Output{Kind: CancelStep, Operation: o.id, Attempt: attempt, Why: why})
}

// cancelBegun gives up an answer that is on its way to the client.
func (r *Router) cancelBegun(o *operation, why Ending) {
	if o.begun > 0 && o.steps[o.begun-1].out {
		r.cancel(o, o.begun-1, why)
	}
	o.begun = 0
}

// TimerDue takes in that a timer is due.
func (r *Router) TimerDue(now time.Duration, tag uint64) []Output {
	r.out = r.out[:0]
	r.step(now, &decide.TimerDue{Tag: tag})
	return r.out
}

// PeerSays takes another agent's datagram in.
func (r *Router) PeerSays(now time.Duration, d protocol.Datagram) []Output {
	r.out = r.out[:0]
	r.step(now, &decide.PeerMessage{From: d.Agent, Data: d.Data})
	return r.out
}

// Abandon fails every operation that is still unanswered, breaks off answers that have only begun, and turns
// away what is to come: the agent is about to end. Nothing is sent to a booking server from here on.
func (r *Router) Abandon() []Output {
	r.out = r.out[:0]
	r.abandoned = true
	for _, id := range sorted(r.operations) {
		r.cancelBegun(r.operations[id], AgentEnds)
		r.conclude(id, Output{Result: protocol.Failed, Text: failedText})
	}
	return r.out
}

// Reclaim has idle connections to booking servers closed: descriptors are short.
func (r *Router) Reclaim() []Output {
	r.out = r.out[:0]
	for _, id := range sorted(r.servers) {
		if r.servers[id].open {
			r.put(Output{Kind: LetGo, Server: id})
		}
	}
	return r.out
}

const (
	failedText = "failed\n"
	busyText   = "busy\n"
)

func (r *Router) put(o Output) { r.out = append(r.out, o) }

// Agree has the module go by what the fleet has agreed on, from the next input on; nil: by its settings
// alone. A module without such a thing passes it over.
func (r *Router) Agree(e *policy.Effect) {
	module, can := r.module.(agreeing)
	if !can {
		return
	}
	if e == nil {
		e = &policy.Effect{}
	}
	classes := make([]decide.Agreed, 0, len(e.Classes))
	for _, c := range e.Classes {
		classes = append(classes, decide.Agreed{Attempts: c.Attempts, Copies: c.Copies, Pace: c.Pace})
	}
	module.Agree(e.Quota, classes, e.InVain)
}

// Avoid has the module keep tenants' keys off servers, from the next input on; nil: off none. A module
// without such a thing passes it over.
func (r *Router) Avoid(a *decide.Avoid) {
	if module, can := r.module.(avoiding); can {
		module.Avoid(a)
	}
}

// Place has the module go by an agreed generation of the ring, from the next input on; nil: by its own list
// alone. A module without such a thing passes it over.
func (r *Router) Place(p *decide.Placed) {
	if module, can := r.module.(placing); can {
		module.Place(p)
	}
}

// Strain tells how the tenants' requests have fared; nil where the module doesn't know.
func (r *Router) Strain() []decide.Strain {
	if module, can := r.module.(avoiding); can {
		return module.Strain()
	}
	return nil
}

// step is the only place that has the module act. Steps that could not be started end right after the actions
// that asked for them, before any other input.
func (r *Router) step(now time.Duration, ev decide.Event) {
	for _, act := range r.module.Step(now, ev) {
		r.act(now, act)
	}
	for len(r.unsent) > 0 {
		s := r.unsent[0]
		r.unsent = slices.Delete(r.unsent, 0, 1)
		r.end(now, s.operation, s.attempt, decide.NotSent, 0, health.Evidence{})
	}
}

func (r *Router) act(now time.Duration, act decide.Action) {
	switch act.Kind {
	case decide.Send:
		r.send(now, act)
	case decide.Fail:
		r.conclude(act.ID, Output{Result: protocol.Failed, Text: failedText})
	case decide.Refuse:
		r.conclude(act.ID, Output{
			Result: protocol.BusyReply, After: act.After, OverShare: act.OverShare,
			Quota: act.Quota, Text: busyText,
		})
	case decide.Cancel:
		if o := r.stepOut(act.ID, act.Attempt); o != nil {
			r.cancel(o, act.Attempt, CalledOff)
		}
	case decide.SetTimer:
		r.put(Output{Kind: SetTimer, At: now + act.After, Tag: act.Tag})
	case decide.Tell:
		r.put(Output{Kind: Tell, Peer: act.Peer, Data: act.Data})
	case decide.Subscribe:
		r.put(Output{Kind: Subscribe})
	case decide.Fetch:
		r.put(Output{Kind: Fetch})
	case decide.Log:
		r.put(Output{Kind: Log, Text: act.Text})
	case decide.Probe:
		r.put(Output{Kind: ProbeUnheard, Server: act.Server})
	}
}

// conclude gives the answer that the module says, unless there was one.
func (r *Router) conclude(id uint32, with Output) {
	if o := r.operations[id]; o != nil && !o.answered {
		r.answer(o, with)
	}
}

// answer gives the one final answer.
func (r *Router) answer(o *operation, with Output) {
	o.answered = true
	r.unwant(o)
	with.Kind, with.Operation = Answer, o.id
	r.put(with)
	r.forget(o)
}

// unwant has the operation's route steps that were not sent on yet ended. Guards against work for nobody: a
// step whose connection comes up late would be sent on after the final answer, or after its client has gone.
func (r *Router) unwant(o *operation) {
	for attempt, s := range o.steps {
		if s.out && attempt+1 != o.begun {
			r.put(Output{Kind: UnwantStep, Operation: o.id, Attempt: attempt})
		}
	}
}

// forget drops an operation that is answered and of which nothing is out. Until then its id is in use.
func (r *Router) forget(o *operation) {
	if !o.answered || o.open > 0 {
		return
	}
	delete(r.operations, o.id)
	if o.wireID != "" {
		delete(r.ids, o.wireID)
	}
	r.spare = append(r.spare, o)
	r.put(Output{Kind: Forget, Operation: o.id})
}

// send starts a route step, where that is still of use.
func (r *Router) send(now time.Duration, act decide.Action) {
	o := r.operations[act.ID]
	if o == nil {
		return
	}
	until, after := o.deadline, time.Duration(0)
	if act.After != 0 {
		until = min(until, now+act.After)
	}
	if o.timeLeft > 0 {
		until, after = o.deadline, o.timeLeft
		if act.After != 0 {
			after = min(after, act.After)
		}
	}
	attempt := len(o.steps)
	o.steps = append(o.steps, routeStep{server: act.Server, after: after})
	o.open++
	server := r.servers[act.Server]
	if server == nil || !server.open || o.answered || o.spent || until <= now ||
		attempt >= r.most {
		r.unsent = append(r.unsent, unsent{o, attempt})
		return
	}
	o.steps[attempt].out = true
	r.put(Output{
		Kind: StartStep, Operation: o.id, Attempt: attempt, Server: act.Server, At: until,
		Deadline: o.deadline, Begins: o.streams, After: after,
	})
}
