package balancer

import (
	"slices"
	"time"

	"dunestep/internal/balancer/probation"
)

// Servers of a list that discovery has not confirmed are on probation: package probation decides what they
// get, and here its terms are put into this package's. See docs/design/restart.md.

// StartProbation puts the servers that are listed now on probation, until ConfirmServerList. Trust is how far
// the list is trusted, from 0 to 1.
func (b *Balancer) StartProbation(trust float64) {
	b.probation.Start(trust)
	for _, s := range b.ring.Members() {
		s.probation = b.probation.Add()
	}
}

// ConfirmServerList ends all probation: discovery has confirmed the list.
func (b *Balancer) ConfirmServerList() {
	for _, s := range b.servers {
		s.probation = nil
	}
	b.probation.ListConfirmed()
}

// probationRequest is what counts of the request at a server on probation.
func (r *request) probationRequest() probation.Request {
	return probation.Request{
		LatencyObjective: r.class.LatencyObjective,
		Idempotent:       r.class.Idempotency == Idempotent,
		MayHedge:         r.class.hedging,
		Attempts:         len(r.attempts),
		MaxAttempts:      r.class.maxAttempts,
		WaitUntil:        r.probationUntil,
		HasEndedAttempt:  slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.done }),
	}
}

// attemptTimeout counts an attempt at a server on probation and bounds its timeout.
func (b *Balancer) attemptTimeout(r *request, s *server, timeout time.Duration) time.Duration {
	if s.probation == nil {
		return timeout
	}
	s.probation.AttemptSent()
	return s.probation.AttemptTimeout(
		r.probationRequest(),
		timeout,
		time.Duration(b.baseline.seconds*float64(time.Second)),
	)
}

// observeProbation counts an attempt's end at a server on probation, and ends the probation when it has
// served enough.
func (b *Balancer) observeProbation(a *attempt, e *AttemptDone) {
	if s := a.server; s.probation != nil &&
		b.probation.AttemptEnded(s.probation, b.now, probationOutcome(e.Outcome)) {
		s.probation = nil
	}
}

func probationOutcome(o Outcome) probation.Outcome {
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

// waitForProbation has a request that found no server wait for one to end its probation, where one may in
// time, and else ends it.
func (b *Balancer) waitForProbation(r *request) {
	r.probationUntil = b.probation.WaitDeadline(r.probationRequest(), b.now, r.deadline-2*b.settings.Tick)
	waiting := r.probationRequest()
	if !b.probation.ShouldWait(waiting, b.now) || !b.probationMayEndInTime(r) {
		b.rejectOrFail(r, endNoServer)
		return
	}
	b.wait(r, waiting.RecheckDelay(b.now, b.settings.Tick))
}

// probationMayEndInTime reports whether a server that may have the request can have capacity for it in time.
func (b *Balancer) probationMayEndInTime(r *request) bool {
	var outlook probation.Outlook
	for _, s := range b.ring.Members() {
		permitted := s.probation == nil || b.checkPermitted(r, s) == notSkipped
		outlook.Add(s.probation, permitted, r.probationUntil)
	}
	return outlook.MayHaveCapacity()
}
