package routing

import (
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/protocol"
)

const (
	// ResponseMargin is taken off the client's timeout, so that the final answer is there before it leaves.
	ResponseMargin = 5 * time.Millisecond
	// maxBodyTime bounds how long a request's body may be coming. Whether it gets on is for the listener to see.
	maxBodyTime = 15 * time.Minute
)

// The texts of answers that no endpoint gave.
const (
	failedText       = "failed\n"
	rejectedText     = "busy\n"
	idInUseText      = "the id is in use\n"
	unknownClassText = "unknown class\n"
)

// Module makes the decisions: overload.Controller before balancer.Balancer, or a test's.
type Module interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
}

// Permitted removes from a deployment's settings what is not available here: the protocol has no probes of
// endpoints; and discovery sends nothing unless it is called, also where it is said to push lists. The
// decision module must be built with the result.
func Permitted(set balancer.Settings) balancer.Settings {
	set.Limits.Probes = false
	set.DiscoveryOnDemand = true
	return set
}

// Router knows every request, its attempts and the endpoints' state, and gives each request one final answer,
// whatever crosses. Each input returns what is to be done, in order, valid until the next input.
type Router struct {
	module      Module
	maxAttempts int                       // of a request
	goneUsable  bool                      // endpoints listed as gone may still be used
	classes     map[string]balancer.Class // those of the settings

	requests       map[uint32]*requestState
	correlationIDs map[string]uint32 // the requests' numbers by their ids on the socket
	lastID         uint32
	endpoints      map[string]*endpointState
	failingAll     bool // see FailAll

	out        []Output
	notStarted []notStarted    // attempts whose end is reported once the actions are done
	reusable   []*requestState // forgotten requests

	// Events are reused: the decision module keeps none.
	arrival     balancer.Request
	attemptDone balancer.AttemptDone
}

// requestState is a request that the decision module knows.
type requestState struct {
	id               uint32
	correlationID    string
	deadline         time.Duration // of the final answer
	streamed         bool          // answers are passed on from their first byte on
	answered         bool          // or its client has left
	clientTimeLeft   time.Duration // from the last byte of its body on, while that has not come; zero: it has
	bodyConsumed     bool          // a part of its body is gone: it can't be sent again
	streamingAttempt int           // the attempt whose answer is on its way to the client, from 1; zero: none
	attempts         []attemptState
	openAttempts     int // attempts whose end has not been reported to the decision module
}

// attemptState is one attempt of a request.
type attemptState struct {
	endpoint         string
	running          bool          // started and not ended
	timeoutAfterBody time.Duration // its timeout from the last byte of the request's body on
}

// notStarted is an attempt that could not be started.
type notStarted struct {
	request *requestState
	attempt int
}

// NewRouter returns a Router that knows no endpoints yet: the cached list comes with ListUpdated, as
// balancer.UpdateCached. The module must have been built with the same settings.
func NewRouter(set balancer.Settings, module Module) *Router {
	r := &Router{
		module:         module,
		maxAttempts:    max(set.Limits.MaxAttempts, 1),
		goneUsable:     set.Rules.GoneUsable,
		classes:        map[string]balancer.Class{},
		requests:       map[uint32]*requestState{},
		correlationIDs: map[string]uint32{},
		endpoints:      map[string]*endpointState{},
	}
	for _, c := range set.Classes {
		r.classes[c.Name] = c
	}
	return r
}

// RequestArrived takes in a new request and gives it a number: ids on the socket have 64 bits, the decision
// module's 32, and two that collided would answer one client with the other's body. Sent is the earliest time
// that is known of it, from which the client's timeout counts. The number is valid until ForgetRequest.
func (r *Router) RequestArrived(
	now time.Duration,
	in *protocol.Request,
	sent time.Duration,
) (uint32, []Output) {
	r.out = r.out[:0]
	req := r.register(in)
	req.deadline = sent + in.TimeLeft - ResponseMargin
	if in.Rest != nil { // the timeout counts from its last byte
		req.clientTimeLeft, req.deadline = in.TimeLeft, now+maxBodyTime
	}
	class, known := r.classes[in.Class]
	req.streamed = class.Streaming
	_, inUse := r.correlationIDs[in.CorrelationID]
	switch {
	case inUse: // forwarded, it could be processed twice
		r.refuseUnknown(req, protocol.Malformed, idInUseText)
	case !known: // neither its objective nor its idempotency is known
		r.refuseUnknown(req, protocol.Malformed, unknownClassText)
	case r.failingAll: // it would not be answered any more
		r.refuseUnknown(req, protocol.Rejected, rejectedText)
	default:
		r.correlationIDs[in.CorrelationID] = req.id
		r.arrival = balancer.Request{
			ID: req.id, WorkHint: in.WorkHint, Key: in.Key, Tenant: in.Tenant, Class: in.Class,
			ClientTimeout: max(min(req.deadline-now, in.TimeLeft), 0), ClientRetry: in.IsRetry,
		}
		r.decide(now, &r.arrival)
	}
	return req.id, r.out
}

// register gives a request its number.
func (r *Router) register(in *protocol.Request) *requestState {
	for r.lastID++; r.requests[r.lastID] != nil; r.lastID++ {
	}
	if len(r.reusable) == 0 {
		r.reusable = append(r.reusable, &requestState{})
	}
	last := len(r.reusable) - 1
	req := r.reusable[last]
	r.reusable = r.reusable[:last]
	*req = requestState{id: r.lastID, correlationID: in.CorrelationID, attempts: req.attempts[:0]}
	r.requests[req.id] = req
	return req
}

// refuseUnknown answers a request that the decision module is not asked about.
func (r *Router) refuseUnknown(req *requestState, as protocol.ResponseKind, why string) {
	req.correlationID = "" // it belongs to another request, or was not entered
	r.respond(req, Output{Result: as, Text: why})
}

// BodyComplete takes in that the last byte of a request's body has come: from now on its timeout counts.
func (r *Router) BodyComplete(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	req := r.requests[id]
	if req == nil || req.clientTimeLeft == 0 {
		return r.out
	}
	req.deadline, req.clientTimeLeft = now+req.clientTimeLeft-ResponseMargin, 0
	for number, a := range req.attempts {
		if a.running {
			r.emit(Output{
				Kind: RescheduleAttempt, Request: id, Attempt: number, Deadline: req.deadline,
				At: min(req.deadline, now+a.timeoutAfterBody),
			})
		}
	}
	return r.out
}

// ResponseStarted takes in that an attempt's answer has begun, as a good one, and is longer than what is
// buffered; AttemptEnded reports how it ended. The first such answer is the request's final one, however it
// ends. From now on it lasts as long as the endpoint sends: the objective is about the first bytes.
func (r *Router) ResponseStarted(now time.Duration, id uint32, attempt int) []Output {
	r.out = r.out[:0]
	req := r.runningAttempt(id, attempt)
	if req == nil {
		return r.out
	}
	if why := checkStart(req.answered, req.deadline-now); why != NotEnded {
		r.cancel(req, attempt, why)
		return r.out
	}
	req.streamingAttempt = attempt + 1
	r.respond(req, Output{Result: protocol.Served, Attempt: attempt, Streaming: true})
	r.decide(now, &balancer.StreamStarted{ID: id, Attempt: attempt})
	return r.out
}

// AttemptEnded takes in the end of an attempt. The first that is served is the request's final answer. An end
// that is reported twice, or of an attempt that was not started, is ignored.
func (r *Router) AttemptEnded(now time.Duration, id uint32, attempt int, saw AttemptResult) []Output {
	r.out = r.out[:0]
	if req := r.runningAttempt(id, attempt); req != nil {
		req.attempts[attempt].running = false
		req.bodyConsumed = req.bodyConsumed || saw.BodyConsumed
		r.attemptOver(now, req, attempt, saw.Outcome(), saw.Latency, saw.Evidence())
	}
	return r.out
}

// attemptOver reports an attempt's end to the decision module.
func (r *Router) attemptOver(now time.Duration, req *requestState, attempt int, outcome balancer.Outcome,
	latency time.Duration, known outlier.Evidence,
) {
	r.attemptDone = balancer.AttemptDone{
		ID: req.id, Attempt: attempt, Server: req.attempts[attempt].endpoint, Outcome: outcome,
		Latency: latency, Evidence: known,
	}
	req.openAttempts--
	canNotRetry := req.bodyConsumed && outcome.Unprocessed() && req.openAttempts == 0
	switch {
	case outcome == balancer.Served && !req.answered:
		r.respond(req, Output{Result: protocol.Served, Attempt: attempt})
	case canNotRetry && !req.answered:
		r.respond(req, Output{Result: protocol.Rejected, Text: rejectedText})
	default:
		r.forgetIfDone(req)
	}
	r.attemptDone.RequestDone = req.answered
	r.decide(now, &r.attemptDone)
}

// runningAttempt returns the request of an attempt that is under way; nil: there is none.
func (r *Router) runningAttempt(id uint32, attempt int) *requestState {
	req := r.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) || !req.attempts[attempt].running {
		return nil
	}
	return req
}

// ClientGone takes in that the client has left: it gets no answer any more. An answer that has begun is
// canceled; other attempts that were sent go on to their ends, as the decision module says.
func (r *Router) ClientGone(now time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	req := r.requests[id]
	switch {
	case req == nil:
	case req.answered:
		r.cancelStreaming(req, ClientLeft)
	default:
		req.answered = true
		r.cancelUnsent(req)
		r.forgetIfDone(req)
		r.decide(now, &balancer.ClientGone{ID: id})
	}
	return r.out
}

// TimerDue takes in that a timer is due.
func (r *Router) TimerDue(now time.Duration, tag uint64) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.TimerDue{Tag: tag})
	return r.out
}

// DatagramReceived takes in another agent's datagram.
func (r *Router) DatagramReceived(now time.Duration, d protocol.Datagram) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.PeerMessage{From: d.Agent, Data: d.Data})
	return r.out
}

// FailAll fails every request that has no answer, breaks off answers that have only begun, and rejects what
// is still to come: the agent is about to end. Nothing is sent to an endpoint from here on.
func (r *Router) FailAll() []Output {
	r.out = r.out[:0]
	r.failingAll = true
	for _, id := range sorted(r.requests) {
		r.cancelStreaming(r.requests[id], AgentStopping)
		r.respondOnce(id, Output{Result: protocol.Failed, Text: failedText})
	}
	return r.out
}

// ReleaseIdle closes idle connections to endpoints: descriptors are short.
func (r *Router) ReleaseIdle() []Output {
	r.out = r.out[:0]
	for _, id := range sorted(r.endpoints) {
		if r.endpoints[id].open {
			r.emit(Output{Kind: ReleaseIdle, Endpoint: id})
		}
	}
	return r.out
}

func (r *Router) emit(o Output) { r.out = append(r.out, o) }

func (r *Router) cancel(req *requestState, attempt int, why EndReason) {
	r.emit(Output{Kind: CancelAttempt, Request: req.id, Attempt: attempt, Why: why})
}

// cancelStreaming cancels an answer that is on its way to the client.
func (r *Router) cancelStreaming(req *requestState, why EndReason) {
	if req.streamingAttempt > 0 && req.attempts[req.streamingAttempt-1].running {
		r.cancel(req, req.streamingAttempt-1, why)
	}
	req.streamingAttempt = 0
}

// cancelUnsent ends the request's attempts that were not written yet: one whose connection comes up late
// would be sent after the final answer, or after the client has left.
func (r *Router) cancelUnsent(req *requestState) {
	for number, a := range req.attempts {
		if a.running && number+1 != req.streamingAttempt {
			r.emit(Output{Kind: CancelIfUnsent, Request: req.id, Attempt: number})
		}
	}
}

// respondOnce gives the final answer unless there was one.
func (r *Router) respondOnce(id uint32, answer Output) {
	if req := r.requests[id]; req != nil && !req.answered {
		r.respond(req, answer)
	}
}

// respond gives the one final answer.
func (r *Router) respond(req *requestState, answer Output) {
	req.answered = true
	r.cancelUnsent(req)
	answer.Kind, answer.Request = Respond, req.id
	r.emit(answer)
	r.forgetIfDone(req)
}

// forgetIfDone forgets a request that is answered and has no open attempt. Until then its id is in use.
func (r *Router) forgetIfDone(req *requestState) {
	if !req.answered || req.openAttempts > 0 {
		return
	}
	delete(r.requests, req.id)
	if req.correlationID != "" {
		delete(r.correlationIDs, req.correlationID)
	}
	r.reusable = append(r.reusable, req)
	r.emit(Output{Kind: ForgetRequest, Request: req.id})
}

// decide has the decision module handle an event and carries out its actions: nothing else calls it. Attempts
// that could not be started end right after the actions that asked for them, before any other input.
func (r *Router) decide(now time.Duration, ev balancer.Event) {
	for _, act := range r.module.Step(now, ev) {
		r.carryOut(now, act)
	}
	for len(r.notStarted) > 0 {
		a := r.notStarted[0]
		r.notStarted = slices.Delete(r.notStarted, 0, 1)
		r.attemptOver(now, a.request, a.attempt, balancer.NotSent, 0, outlier.Evidence{})
	}
}
