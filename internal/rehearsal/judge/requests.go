package judge

import (
	"math"
	"slices"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

const maxTime = time.Duration(math.MaxInt64)

// A request is one try of a client that an agent received. It is kept for a while after its answer and
// after the end of its attempts: a later action of the agent on it breaks a rule.
type request struct {
	received    record.Event
	deadline    time.Duration // by which it must be answered, including slack
	attempts    []attempt
	closed      bool // answered, lost, left by its client, or void
	agentPaused bool // its agent was paused while it held the request: no deadline applies
	servedBy    int  // attempt whose body was the answer; negative: none
	clientLeft  bool // its client closed its connection at leftAt, before an answer
	leftAt      time.Duration
	leftUnsent  bool // no attempt had been sent when the client left
	answered    bool // it got its final answer at answeredAt
	answeredAt  time.Duration
	events      []record.Event
}

// An attempt records what was seen of an attempt on the wire.
type attempt struct {
	server                       int32
	sent, ended, reached, worked bool
	outcome                      record.Outcome
	work                         time.Duration
	ran                          bool
}

// mayHaveRun reports whether the attempt may have had an effect: it was sent and did not provably fail
// before it ran.
func (a *attempt) mayHaveRun() bool { return a.sent && !(a.ended && a.outcome.NeverRan()) }

// attempt returns the attempt with the given number, or nil if there is none.
func (req *request) attempt(n int8) *attempt {
	if n < 0 || int(n) >= len(req.attempts) {
		return nil
	}
	return &req.attempts[n]
}

// wasSent reports whether any part of the request may have reached an upstream server.
func (req *request) wasSent() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.sent })
}

// done reports whether no further event of the request can follow.
func (req *request) done() bool {
	for i := range req.attempts {
		if a := &req.attempts[i]; !a.ended || a.reached && !a.worked {
			return false
		}
	}
	return req.closed
}

const (
	maxRequestEvents = 40               // events kept of a request: more than its rules need
	evictAfter       = 60 * time.Second // past the deadline, for a request whose end was never recorded
	evictDoneAfter   = 2 * time.Second  // past the deadline, for a request that is done
	maxAttemptNumber = 100
)

// requestTracker holds the open requests.
type requestTracker struct {
	scenario *scenario.Scenario
	open     map[uint32]*request
	order    []*request // in order of arrival
	evicted  []*request // by the last call of evict
	free     []*request // for reuse
	paused   map[int32]bool
}

// requestOf returns the request that an event belongs to, or nil if there is none. RequestReceived begins a
// request.
func (o *requestTracker) requestOf(e *record.Event) *request {
	switch e.Kind {
	case record.RequestReceived:
		return o.begin(e)
	case record.Answered, record.ConnectionLost, record.ClientLeft, record.AttemptSent, record.AttemptReached,
		record.AttemptEnded, record.WorkDone:
		return o.open[e.RequestID]
	}
	return nil
}

func (o *requestTracker) begin(e *record.Event) *request {
	req := &request{}
	if n := len(o.free); n > 0 {
		req, o.free = o.free[n-1], o.free[:n-1]
		*req = request{attempts: req.attempts[:0], events: req.events[:0]}
	}
	req.received, req.servedBy, req.agentPaused = *e, -1, o.paused[e.Agent]
	req.deadline = e.At + e.Left + o.scenario.Rules.AnswerSlack + wireSlack
	o.open[e.RequestID] = req
	o.order = append(o.order, req)
	return req
}

// apply applies an event to its request.
func (o *requestTracker) apply(e *record.Event, req *request) {
	if req == nil {
		return
	}
	if len(req.events) < maxRequestEvents {
		req.events = append(req.events, *e)
	}
	req.apply(e)
}

func (req *request) apply(e *record.Event) {
	switch e.Kind {
	case record.Answered:
		if !req.closed {
			req.answered, req.answeredAt = true, e.At
		}
		if req.closed = true; e.Answer == record.Served {
			req.servedBy = int(e.Attempt)
		}
		return
	case record.ClientLeft:
		if !req.closed && !e.Unread {
			req.clientLeft, req.leftAt, req.leftUnsent = true, e.At, !req.wasSent()
		}
		req.closed = true
		return
	case record.ConnectionLost:
		req.closed = true
		return
	case record.RequestReceived:
		return
	}
	if e.Attempt < 0 || e.Attempt > maxAttemptNumber {
		return
	}
	for int(e.Attempt) >= len(req.attempts) {
		req.attempts = append(req.attempts, attempt{})
	}
	a := &req.attempts[e.Attempt]
	a.server = e.Server
	switch e.Kind {
	case record.AttemptSent:
		a.sent = true
	case record.AttemptReached:
		a.reached = true
	case record.AttemptEnded:
		a.ended, a.outcome = true, e.Outcome
	case record.WorkDone:
		a.worked, a.work, a.ran = true, a.work+e.Work, a.ran || e.Ran
	}
}

// closeAll closes and returns the requests that a killed agent held: they need no answer any more.
func (o *requestTracker) closeAll(agent int32) (ended []*request) {
	for _, req := range o.order {
		if req.received.Agent == agent && !req.closed && o.open[req.received.RequestID] == req {
			req.closed = true
			ended = append(ended, req)
		}
	}
	return ended
}

// setPaused records that an agent is paused or resumed. No deadline applies any more to the requests it
// holds.
func (o *requestTracker) setPaused(e *record.Event) {
	if o.paused == nil {
		o.paused = map[int32]bool{}
	}
	o.paused[e.Agent] = e.Kind == record.AgentPaused
	for _, req := range o.order {
		req.agentPaused = req.agentPaused || req.received.Agent == e.Agent
	}
}

// evict removes the requests that have been done for a while or whose end is long overdue, and returns them
// in order of arrival. The returned requests are valid until the next call.
func (o *requestTracker) evict(now time.Duration) []*request {
	o.free = append(o.free, o.evicted...)
	o.evicted = o.evicted[:0]
	kept := o.order[:0]
	for _, req := range o.order {
		switch open := o.open[req.received.RequestID] == req; {
		case !open: // its number was reused
			o.free = append(o.free, req)
		case now-evictAfter > req.deadline, now-evictDoneAfter > req.deadline && req.done():
			delete(o.open, req.received.RequestID)
			o.evicted = append(o.evicted, req)
		default:
			kept = append(kept, req)
		}
	}
	clear(o.order[len(kept):])
	o.order = kept
	return o.evicted
}
