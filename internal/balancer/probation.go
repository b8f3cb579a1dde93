package balancer

import (
	"slices"
	"time"

	"dunestep/internal/balancer/probation"
)

// Servers of a list that discovery has not confirmed are on probation. Package probation decides which
// requests they get; the functions here convert between its types and this package's. See
// docs/design/restart.md.

// StartProbation puts all members of the ring on probation until ConfirmServerList. Trust is the degree of
// trust in the list, from 0 to 1.
func (b *Balancer) StartProbation(trust float64) {
	b.probation.Start(trust)
	for _, s := range b.ring.Members() {
		s.probation = b.probation.Add()
	}
}

// ConfirmServerList ends the probation of all servers, after discovery has confirmed the list.
func (b *Balancer) ConfirmServerList() {
	for _, s := range b.servers {
		s.probation = nil
	}
	b.probation.ListConfirmed()
}

// probationRequest returns the properties of the request that matter for servers on probation.
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

// attemptTimeout returns the timeout of a new attempt. At a server on probation it also counts the attempt,
// and the timeout may be shorter than the given one.
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

// observeProbation records the end of an attempt at a server on probation, and ends the probation once the
// server has served enough attempts.
func (b *Balancer) observeProbation(a *attempt, e *AttemptDone) {
	if s := a.server; s.probation != nil &&
		b.probation.AttemptEnded(s.probation, b.now, probationOutcome(e.Outcome)) {
		s.probation = nil
	}
}

// probationOutcome converts an outcome to that of package probation.
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

// waitForProbation lets a request without an eligible server wait for a server to finish its probation, if
// one may do so in time. Else it ends the request.
func (b *Balancer) waitForProbation(r *request) {
	r.probationUntil = b.probation.WaitDeadline(r.probationRequest(), b.now, r.deadline-2*b.settings.Tick)
	waiting := r.probationRequest()
	if !b.probation.ShouldWait(waiting, b.now) || !b.probationMayEndInTime(r) {
		b.rejectOrFail(r, endNoServer)
		return
	}
	b.wait(r, waiting.RecheckDelay(b.now, b.settings.Tick))
}

// probationMayEndInTime reports whether a permitted server may have capacity for the request in time.
func (b *Balancer) probationMayEndInTime(r *request) bool {
	var outlook probation.Outlook
	for _, s := range b.ring.Members() {
		permitted := s.probation == nil || b.checkPermitted(r, s) == notSkipped
		outlook.Add(s.probation, permitted, r.probationUntil)
	}
	return outlook.MayHaveCapacity()
}
