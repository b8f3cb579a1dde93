package routing

import (
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/protocol"
)

const (
	// ResponseMargin is subtracted from the client's timeout, so that the final response reaches the
	// client before it gives up.
	ResponseMargin = 5 * time.Millisecond
	// MaxBodyTime is the maximum time for receiving a request's body. The listener checks that it makes
	// progress.
	MaxBodyTime = 15 * time.Minute
)

// The texts of responses that come from this agent, not from an endpoint.
const (
	FailedText       = "failed\n"
	RejectedText     = "busy\n"
	IDInUseText      = "the id is in use\n"
	unknownClassText = "unknown class\n"
)

// Module is the decision module: overload.Controller in front of balancer.Balancer, or a test's.
type Module interface {
	Step(now time.Duration, ev balancer.Event) []balancer.Action
}

// Permitted returns a deployment's settings without what this agent does not support: the protocol has no
// probes of endpoints, and discovery sends lists only in calls, even if the settings say that it pushes them.
// The decision module must be created with the result.
func Permitted(set balancer.Settings) balancer.Settings {
	set.Limits.Probes = false
	set.DiscoveryOnDemand = true
	return set
}

// Router has the state of all requests, their attempts and the endpoints, and gives each request exactly
// one final response, in whatever order events arrive. Each input returns the outputs to carry out, in
// order, valid until the next input.
type Router struct {
	module      Module
	maxAttempts int                       // of a request
	goneUsable  bool                      // endpoints listed as gone may still be used
	classes     map[string]balancer.Class // classes of the settings, by name

	requests       map[uint32]*requestState
	correlationIDs map[string]uint32 // requests' numbers by their ids on the wire
	lastID         uint32
	endpoints      map[string]*endpointState
	endpointsInUse map[string]struct{} // those that have an actor
	startTimes     *StartTimes
	failingAll     bool // see FailAll

	out          []Output
	notStarted   []notStarted    // their ends are reported after the current actions
	freeRequests []*requestState // forgotten requests, for reuse

	// Events are reused: the decision module does not retain them.
	arrival     balancer.Request
	attemptDone balancer.AttemptDone
}

// requestState is a request that the decision module knows.
type requestState struct {
	id               uint32
	correlationID    string
	class            balancer.Class
	deadline         time.Duration // of the final response
	streaming        bool          // responses are forwarded from the first byte on
	answered         bool          // the final response was given, or the client has left
	clientTimeLeft   time.Duration // counted from the last byte of the body, until that is received; else zero
	hasStreamedBody  bool          // part of the body is streamed
	bodyConsumed     bool          // part of the body is no longer buffered: it can't be sent again
	streamingAttempt int           // number of the attempt whose response is being streamed, plus 1; zero: none
	attempts         []attemptState
	openAttempts     int // attempts whose end has not been reported to the decision module
}

// attemptState is one attempt of a request.
type attemptState struct {
	endpoint    string
	running     bool // started and not ended
	startedAt   time.Duration
	unprocessed bool // ended, and cannot have been processed
	canForward  bool // its response has begun and is not known to be short
}

// notStarted is an attempt that could not be started.
type notStarted struct {
	request *requestState
	attempt int
}

// NewRouter returns a Router without endpoints: the caller passes the cached list to ListUpdated, as
// balancer.UpdateCached. The module must have been created with the same settings.
func NewRouter(set balancer.Settings, module Module) *Router {
	r := &Router{
		module:         module,
		maxAttempts:    max(set.Limits.MaxAttempts, 1),
		goneUsable:     set.Rules.GoneUsable,
		classes:        map[string]balancer.Class{},
		requests:       map[uint32]*requestState{},
		correlationIDs: map[string]uint32{},
		endpoints:      map[string]*endpointState{},
		endpointsInUse: map[string]struct{}{},
		startTimes:     NewStartTimes(),
	}
	for _, c := range set.Classes {
		r.classes[c.Name] = c
	}
	return r
}

// RequestArrived handles a new request and returns its number. Ids on the wire have 64 bits, the
// decision module's have 32; if two truncated ids collided, one client would get the other's response.
// sent is the earliest known time of the request, from which the client's timeout counts. The number is
// valid until ForgetRequest.
func (r *Router) RequestArrived(
	now time.Duration,
	in *protocol.Request,
	sent time.Duration,
) (uint32, []Output) {
	r.out = r.out[:0]
	req := r.register(in)
	req.hasStreamedBody = in.Rest != nil
	req.deadline = sent + in.TimeLeft - ResponseMargin
	if in.BodyComplete != nil { // the timeout counts from the body's last byte
		req.clientTimeLeft, req.deadline = in.TimeLeft, now+MaxBodyTime
	}
	class, known := r.classes[in.Class]
	req.class, req.streaming = class, class.Streaming
	_, inUse := r.correlationIDs[in.CorrelationID]
	switch {
	case inUse: // if forwarded, it could be processed twice
		r.respondDirectly(req, protocol.Malformed, IDInUseText, "id in use")
	case !known: // neither its objective nor its idempotency is known
		r.respondDirectly(req, protocol.Malformed, unknownClassText, "unknown class")
	case r.failingAll: // it would get no response any more
		r.respondDirectly(req, protocol.Rejected, RejectedText, "shutting down")
	default:
		r.correlationIDs[in.CorrelationID] = req.id
		r.arrival = balancer.Request{
			ID: req.id, WorkHint: in.WorkHint, Key: in.Key, Tenant: in.Tenant, Class: in.Class,
			ClientTimeout: max(min(req.deadline-now, in.TimeLeft), 0), ClientRetry: in.IsRetry,
			IsBodyPending: req.clientTimeLeft > 0,
		}
		r.decide(now, &r.arrival)
	}
	return req.id, r.out
}

// register assigns a number to a request and adds it to the requests.
func (r *Router) register(in *protocol.Request) *requestState {
	for r.lastID++; r.requests[r.lastID] != nil; r.lastID++ {
	}
	if len(r.freeRequests) == 0 {
		r.freeRequests = append(r.freeRequests, &requestState{})
	}
	last := len(r.freeRequests) - 1
	req := r.freeRequests[last]
	r.freeRequests = r.freeRequests[:last]
	*req = requestState{id: r.lastID, correlationID: in.CorrelationID, attempts: req.attempts[:0]}
	r.requests[req.id] = req
	return req
}

// respondDirectly responds to a request without a call of the decision module.
func (r *Router) respondDirectly(req *requestState, kind protocol.ResponseKind, text, cause string) {
	req.correlationID = "" // the id belongs to another request, or is not in correlationIDs
	r.respond(req, Output{Result: kind, Text: text, Cause: cause})
}

// BodyComplete handles the receipt of the last byte of a request's body: its timeout counts from when that
// byte arrived, which may have been some time ago. Its attempts go on until then: see attemptTimes.
func (r *Router) BodyComplete(arrivedAt time.Duration, id uint32) []Output {
	r.out = r.out[:0]
	req := r.requests[id]
	if req == nil || req.clientTimeLeft == 0 {
		return r.out
	}
	req.deadline, req.clientTimeLeft = arrivedAt+req.clientTimeLeft-ResponseMargin, 0
	for number, a := range req.attempts {
		if a.running {
			r.emit(Output{
				Kind: RescheduleAttempt, Request: id, Attempt: number, Deadline: req.deadline, At: req.deadline,
			})
		}
	}
	r.decide(arrivedAt, &balancer.BodyComplete{ID: id})
	return r.out
}

// AttemptEnded handles the end of an attempt. The first response that is served is the request's final one.
// An end that is reported twice, or of an attempt that was not started, is ignored.
func (r *Router) AttemptEnded(now time.Duration, id uint32, attempt int, result AttemptResult) []Output {
	r.out = r.out[:0]
	if req := r.runningAttempt(id, attempt); req != nil {
		req.attempts[attempt].running = false
		req.bodyConsumed = req.bodyConsumed || result.BodyConsumed
		r.finishAttempt(now, req, attempt, result.Outcome(), result.Latency, result.Evidence())
	}
	return r.out
}

// finishAttempt responds to the request if the attempt's end decides it, and reports the end to the decision
// module.
func (r *Router) finishAttempt(now time.Duration, req *requestState, attempt int, outcome balancer.Outcome,
	latency time.Duration, evidence outlier.Evidence,
) {
	r.attemptDone = balancer.AttemptDone{
		ID: req.id, Attempt: attempt, Server: req.attempts[attempt].endpoint, Outcome: outcome,
		Latency: latency, Evidence: evidence,
	}
	req.openAttempts--
	req.attempts[attempt].unprocessed = outcome.Unprocessed()
	canNotRetry := req.bodyConsumed && outcome.Unprocessed() && req.openAttempts == 0
	switch {
	case outcome == balancer.Served && !req.answered:
		r.respond(req, Output{Result: protocol.Served, Attempt: attempt})
	case canNotRetry && !req.answered:
		r.respondWithoutBody(now, req)
	default:
		r.forgetIfDone(req)
	}
	r.attemptDone.RequestDone = req.answered
	r.decide(now, &r.attemptDone)
}

// respondWithoutBody responds to a request none of whose attempts is open, and whose body can't be sent
// again.
func (r *Router) respondWithoutBody(now time.Duration, req *requestState) {
	response := Output{Result: protocol.Rejected, Text: RejectedText, Cause: "body consumed"}
	if !req.mayReject(now) {
		response.Result, response.Text = protocol.Failed, FailedText
	}
	r.respond(req, response)
}

// mayReject reports whether the client can safely repeat the request: each attempt was unprocessed, or
// repeating it does no harm.
func (req *requestState) mayReject(now time.Duration) bool {
	for _, a := range req.attempts {
		if !a.unprocessed && !req.class.AllowsRejectionAfter(now-a.startedAt) {
			return false
		}
	}
	return true
}

// runningAttempt returns the request of an attempt; nil: the attempt is not under way.
func (r *Router) runningAttempt(id uint32, attempt int) *requestState {
	req := r.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) || !req.attempts[attempt].running {
		return nil
	}
	return req
}

// ClientGone handles the disconnection of a client, which gets no response any more. A response that is being
// streamed is canceled. Other attempts that were sent continue unless the decision module cancels them.
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

// TimerDue handles a timer that is due.
func (r *Router) TimerDue(now time.Duration, tag uint64) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.TimerDue{Tag: tag})
	return r.out
}

// DatagramReceived handles another agent's datagram.
func (r *Router) DatagramReceived(now time.Duration, d protocol.Datagram) []Output {
	r.out = r.out[:0]
	r.decide(now, &balancer.PeerMessage{From: d.Agent, Data: d.Data})
	return r.out
}

// ReleaseIdle closes idle connections to all endpoints, to free descriptors.
func (r *Router) ReleaseIdle() []Output {
	r.out = r.out[:0]
	for _, id := range sorted(r.endpointsInUse) {
		r.emit(Output{Kind: ReleaseIdle, Endpoint: id})
	}
	return r.out
}

func (r *Router) emit(o Output) { r.out = append(r.out, o) }

func (r *Router) cancel(req *requestState, attempt int, reason EndReason) {
	r.emit(Output{Kind: CancelAttempt, Request: req.id, Attempt: attempt, Reason: reason})
}

// cancelUnsent ends the request's attempts that were not written yet. Without it, an attempt whose connection
// is established late would be sent after the final response, or after the client has left.
func (r *Router) cancelUnsent(req *requestState) {
	for number, a := range req.attempts {
		if a.running && number+1 != req.streamingAttempt {
			r.emit(Output{Kind: CancelIfUnsent, Request: req.id, Attempt: number})
		}
	}
}

// respondOnce gives the final response, unless the request has one or its client has left.
func (r *Router) respondOnce(id uint32, response Output) {
	if req := r.requests[id]; req != nil && !req.answered {
		r.respond(req, response)
	}
}

// respond gives the one final response.
func (r *Router) respond(req *requestState, response Output) {
	req.answered = true
	r.cancelUnsent(req)
	response.Kind, response.Request = Respond, req.id
	r.emit(response)
	r.forgetIfDone(req)
}

// forgetIfDone forgets a request that is answered and has no open attempts. Until then its id is in use.
func (r *Router) forgetIfDone(req *requestState) {
	if !req.answered || req.openAttempts > 0 {
		return
	}
	delete(r.requests, req.id)
	if req.correlationID != "" {
		delete(r.correlationIDs, req.correlationID)
	}
	r.freeRequests = append(r.freeRequests, req)
	r.emit(Output{Kind: ForgetRequest, Request: req.id, MayHaveRun: req.mayHaveRun()})
}

// mayHaveRun reports whether a request that must not run twice may have run.
func (req *requestState) mayHaveRun() bool {
	if req.class.Idempotency == balancer.Idempotent {
		return false
	}
	return slices.ContainsFunc(req.attempts, func(a attemptState) bool { return !a.unprocessed })
}

// decide passes an event to the decision module and carries out its actions. No other function calls the
// module's Step. Attempts that could not be started end right after the actions that requested them,
// before any other input.
func (r *Router) decide(now time.Duration, ev balancer.Event) {
	for _, act := range r.module.Step(now, ev) {
		r.carryOut(now, act)
	}
	for len(r.notStarted) > 0 {
		a := r.notStarted[0]
		r.notStarted = slices.Delete(r.notStarted, 0, 1)
		r.finishAttempt(now, a.request, a.attempt, balancer.NotSent, 0, outlier.Evidence{})
	}
}
