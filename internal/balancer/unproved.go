package balancer

import (
	"slices"
	"time"

	"dunestep/internal/balancer/probation"
)

// The servers of a list that nobody has confirmed yet, between the parts of decide.go that ask it and package
// proving, which decides: here its words are put into this package's. See docs/design/restart.md.

// StartProbation has the servers that are listed now prove themselves by requests, until ConfirmServerList. Trust is how far the
// list is trusted, from 0 to 1: see probation.Trust.
func (b *Balancer) StartProbation(trust float64) {
	b.probation.Start(trust)
	for _, s := range b.ring.Members() {
		s.probation = b.probation.Add()
	}
}

// ConfirmServerList takes in that discovery has told what the list is: its servers need no proof.
func (b *Balancer) ConfirmServerList() {
	for _, s := range b.servers {
		s.probation = nil
	}
	b.probation.ListConfirmed()
}

// probationRequest is what counts of a request at a server that is not proved.
func (r *request) probationRequest() probation.Request {
	return probation.Request{
		LatencyObjective: r.class.LatencyObjective, Idempotent: r.class.Idempotency == Idempotent, MayHedge: r.class.hedging,
		Attempts: len(r.attempts), MaxAttempts: r.class.maxAttempts, WaitUntil: r.probationUntil,
		HasEndedAttempt: slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.done }),
	}
}

// vouched tells what trusted does, and for a server that is not proved, whether it has room for the request.
func (b *Balancer) checkTrust(r *request, s *server) (ok, trial bool) {
	if s.probation == nil {
		return b.checkHealth(r, s)
	}
	return s.probation.HasCapacity(b.now, r.probationRequest().NeedsAnsweringServer(b.now)), false
}

// dispatch sends a request on, and where its server's proof asks for that, to one more at once.
func (b *Balancer) dispatch(r *request, s *server) {
	twice := s.probation != nil && s.probation.ShouldHedge(r.probationRequest())
	b.sendAttempt(r, s)
	if !twice {
		return
	}
	if other := b.selectServer(r); other != nil {
		b.sendAttempt(r, other) // which has the request, and the first one is the trial
		r.attempts[0].hedged = true
		r.openHedges, r.hedges = r.openHedges+1, r.hedges+1
	}
}

// allow notes that the request goes to the server, and bounds how long that may take.
func (b *Balancer) attemptTimeout(r *request, s *server, limit time.Duration) time.Duration {
	if s.probation == nil {
		return limit
	}
	s.probation.AttemptSent()
	return s.probation.AttemptTimeout(r.probationRequest(), limit, time.Duration(b.baseline.seconds*float64(time.Second)))
}

// hear takes what an outcome says of a server that is not proved, and then as of any other.
func (b *Balancer) onAttemptEnd(r *request, a *attempt, e *AttemptDone) {
	if s := a.server; s.probation != nil && b.probation.AttemptEnded(s.probation, b.now, probationEnd(e.Outcome)) {
		s.probation = nil
	}
	b.observeAttempt(r, a, e)
	if e.RequestDone && !r.closed {
		b.countEnd(r, e.Outcome == Served)
	}
}

func probationEnd(o Outcome) probation.Outcome {
	switch o {
	case Served:
		return probation.Served
	case Rejected:
		return probation.Rejected
	case NotSent, Canceled:
		return probation.NoEvidence
	}
	return probation.Failed
}

// await has a request wait for a server to prove itself, where one may in time, and else gives it up.
func (b *Balancer) waitForProbation(r *request) {
	r.probationUntil = b.probation.WaitDeadline(r.probationRequest(), b.now, r.deadline-2*b.settings.Tick)
	ask := r.probationRequest()
	if !b.probation.ShouldWait(ask, b.now) || !b.mayProveInTime(r) {
		b.rejectOrFail(r)
		return
	}
	wait := ask.RecheckDelay(b.now, b.settings.Tick)
	r.waiting, r.waitUntil = true, b.now+wait
	b.setTimer(wait, r.id, timerRetry)
}

// hope tells whether a server that may have the request can have room for it by then.
func (b *Balancer) mayProveInTime(r *request) bool {
	var seen probation.Outlook
	for _, s := range b.ring.Members() {
		seen.Add(s.probation, s.probation == nil || b.isPermitted(r, s), r.probationUntil)
	}
	return seen.MayHaveCapacity()
}
