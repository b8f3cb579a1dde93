package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// carryOut converts an action of the decision module to outputs.
func (r *Router) carryOut(now time.Duration, act balancer.Action) {
	switch act.Kind {
	case balancer.Send:
		r.startAttempt(now, act)
	case balancer.Fail:
		r.respondOnce(act.ID, Output{
			Result: protocol.Failed, Text: FailedText, Cause: act.Reason, Skipped: act.Skipped,
		})
	case balancer.Reject:
		r.respondOnce(act.ID, Output{
			Result: protocol.Rejected, After: act.After, OverQuota: act.OverQuota,
			Quota: act.Quota, Text: RejectedText, Cause: act.Reason, Skipped: act.Skipped,
		})
	case balancer.Cancel:
		if req := r.runningAttempt(act.ID, act.Attempt); req != nil {
			r.cancel(req, act.Attempt, Canceled)
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

// startAttempt starts an attempt. An attempt that can't be started, or would be of no use, is added
// to notStarted instead.
func (r *Router) startAttempt(now time.Duration, act balancer.Action) {
	req := r.requests[act.ID]
	if req == nil {
		return
	}
	until, afterBody := req.attemptTimes(now, act.After)
	number := len(req.attempts)
	req.attempts = append(req.attempts, attemptState{endpoint: act.Server, startedAt: now})
	req.openAttempts++
	if !r.maySend(req, act.Server) || until <= now || number >= r.maxAttempts {
		r.notStarted = append(r.notStarted, notStarted{req, number})
		return
	}
	writeBy := time.Duration(0)
	if act.WriteWithin != 0 {
		writeBy = now + act.WriteWithin
	}
	req.attempts[number].running = true
	r.useEndpoint(act.Server)
	r.emit(Output{
		Kind: StartAttempt, Request: req.id, Attempt: number, Endpoint: act.Server, At: until,
		Deadline: req.deadline, Streaming: req.streaming, After: afterBody, WriteBy: writeBy,
	})
}

// attemptTimes returns when an attempt ends, and its timeout counted from the last byte of the request's
// body, zero if that is received. An attempt that may pass on a body that can't be sent again goes on as
// long as its client waits: no other attempt can take its place, and the server's time begins only when it
// has taken the body.
func (req *requestState) attemptTimes(now, timeout time.Duration) (until, afterBody time.Duration) {
	if req.hasStreamedBody || timeout == 0 {
		return req.deadline, req.clientTimeLeft
	}
	return min(req.deadline, now+timeout), 0
}

// maySend reports whether the request can be sent to the endpoint and still needs a response.
func (r *Router) maySend(req *requestState, endpoint string) bool {
	e := r.endpoints[endpoint]
	return e != nil && e.open() && !req.answered && !req.bodyConsumed && !r.failingAll
}
