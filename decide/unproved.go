package decide

import (
	"slices"
	"time"

	"dunestep/proving"
)

// The servers of a list that nobody has confirmed yet, between the parts of decide.go that ask it and package
// proving, which decides: here its words are put into this package's. See docs/design/restart.md.

// Doubt has the servers that are listed now prove themselves by requests, until Confirm. Trust is how far the
// list is trusted, from 0 to 1: see proving.Trust.
func (b *Balancer) Doubt(trust float64) {
	b.proofs.Doubt(trust)
	for _, s := range b.ring.Members() {
		s.proof = b.proofs.Add()
	}
}

// Confirm takes in that discovery has told what the list is: its servers need no proof.
func (b *Balancer) Confirm() {
	for _, s := range b.servers {
		s.proof = nil
	}
	b.proofs.Confirm()
}

// toProve is what counts of a request at a server that is not proved.
func (r *request) toProve() proving.Request {
	return proving.Request{
		Aim: r.class.Aim, Safe: r.class.Effect == Safe, Copies: r.class.copies,
		Attempts: len(r.attempts), Most: r.class.most, By: r.proofBy,
		Ended: slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.done }),
	}
}

// vouched tells what trusted does, and for a server that is not proved, whether it has room for the request.
func (b *Balancer) vouched(r *request, s *server) (ok, trial bool) {
	if s.proof == nil {
		return b.trusted(r, s)
	}
	return s.proof.Room(b.now, r.toProve().Careful(b.now)), false
}

// dispatch sends a request on, and where its server's proof asks for that, to one more at once.
func (b *Balancer) dispatch(r *request, s *server) {
	twice := s.proof != nil && s.proof.Twice(r.toProve())
	b.send(r, s)
	if !twice {
		return
	}
	if other := b.pick(r); other != nil {
		b.send(r, other) // which has the request, and the first one is the trial
		r.attempts[0].copy = true
		r.copies, r.copied = r.copies+1, r.copied+1
	}
}

// allow notes that the request goes to the server, and bounds how long that may take.
func (b *Balancer) allow(r *request, s *server, limit time.Duration) time.Duration {
	if s.proof == nil {
		return limit
	}
	s.proof.Sent()
	return s.proof.Limit(r.toProve(), limit, time.Duration(b.pace.quick*float64(time.Second)))
}

// hear takes what an outcome says of a server that is not proved, and then as of any other.
func (b *Balancer) hear(r *request, a *attempt, e *AttemptDone) {
	if s := a.server; s.proof != nil && b.proofs.Ended(s.proof, b.now, proofOf(e.Outcome)) {
		s.proof = nil
	}
	b.learn(r, a, e)
	if e.Finished && !r.closed {
		b.noteEnd(r, e.Outcome == Served)
	}
}

func proofOf(o Outcome) proving.End {
	switch o {
	case Served:
		return proving.Served
	case TurnedAway:
		return proving.Turned
	case NotSent, CalledOff:
		return proving.Void
	}
	return proving.Failed
}

// await has a request wait for a server to prove itself, where one may in time, and else gives it up.
func (b *Balancer) await(r *request) {
	r.proofBy = b.proofs.By(r.toProve(), b.now, r.deadline-2*b.set.Tick)
	ask := r.toProve()
	if !b.proofs.Worth(ask, b.now) || !b.hope(r) {
		b.giveUp(r)
		return
	}
	wait := ask.Pause(b.now, b.set.Tick)
	r.holding, r.askUntil = true, b.now+wait
	b.timer(wait, r.id, tagRetry)
}

// hope tells whether a server that may have the request can have room for it by then.
func (b *Balancer) hope(r *request) bool {
	var seen proving.Outlook
	for _, s := range b.ring.Members() {
		seen.See(s.proof, s.proof == nil || b.lawful(r, s), r.proofBy)
	}
	return seen.Hope()
}
