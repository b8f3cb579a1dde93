package probation

import "time"

// every is how often a request that waits for a proved server looks again.
const recheckInterval = 10 * time.Millisecond

// Request is what counts of a request that asks for a server.
type Request struct {
	LatencyObjective time.Duration // in which an answer is worth all
	Idempotent       bool          // it may run twice
	MayHedge         bool          // two attempts of it may be out at once
	Attempts         int           // that it has had
	MaxAttempts      int           // attempts that it may have, the first one too
	HasEndedAttempt  bool          // one of its attempts has ended
	WaitUntil        time.Duration // until then it waits for a proved server, see List.WaitDeadline; zero: it did not yet
}

// NeedsAnsweringServer tells whether the request goes only where others are answered: what may not be repeated, and what
// has been at a bad server before, for as long as it waits.
func (r Request) NeedsAnsweringServer(now time.Duration) bool {
	return (!r.Idempotent || r.HasEndedAttempt) && (r.WaitUntil <= 0 || now < r.WaitUntil)
}

// ShouldHedge tells whether a request that goes to the server as its first goes to one more at once: half of an
// unconfirmed list may be dead, and to find that out by waiting costs the request its time.
func (s *Server) ShouldHedge(r Request) bool {
	return !s.isAnswering && r.Idempotent && r.MayHedge && r.Attempts == 0 && r.MaxAttempts >= 2
}

// AttemptTimeout bounds how long an attempt of the request at the server may take: less than limit where nothing was
// heard of the server yet and the request can be repeated. Quick is what quick answers usually take, zero if
// that is not known.
func (s *Server) AttemptTimeout(r Request, limit, quick time.Duration) time.Duration {
	if !s.isAnswering && r.Idempotent && r.Attempts+1 < r.MaxAttempts {
		limit = min(limit, TrialTimeout(r.LatencyObjective, quick))
	}
	return limit
}

// List is what one balancer holds of a list that nobody has confirmed. Its zero value is that of a list that
// needs no proof. It is not safe for concurrent use.
type List struct {
	trust    float64
	unproven int // servers that are not proved
}

// Start begins the book of a list that is trusted so far: see Trust. Each of its servers is to be Added.
func (b *List) Start(trust float64) { b.trust = trust }

// Add returns what has been seen of one more server of the list: nothing.
func (b *List) Add() *Server {
	b.unproven++
	return NewServer(b.trust)
}

// ListConfirmed takes in that the list needs no proof any more, nor what Add returned.
func (b *List) ListConfirmed() { b.unproven = 0 }

// AttemptEnded notes the end of an attempt at a server, and tells whether the server is proved by it.
func (b *List) AttemptEnded(s *Server, now time.Duration, end Outcome) (proved bool) {
	if proved = s.AttemptEnded(now, end); proved {
		b.unproven--
	}
	return proved
}

// WaitDeadline is until when a request that finds no server waits for one to prove itself, at the latest until latest:
// what it was given the first time holds.
func (b *List) WaitDeadline(r Request, now, latest time.Duration) time.Duration {
	if r.WaitUntil != 0 {
		return r.WaitUntil
	}
	return min(now+WaitTime(r.LatencyObjective, b.trust), latest)
}

// ShouldWait tells whether a request with its time WaitDeadline set waits on, as far as the book and the request say: which
// servers may have it is for an Outlook to say.
func (b *List) ShouldWait(r Request, now time.Duration) bool {
	return now < r.WaitUntil && r.Attempts < r.MaxAttempts && b.unproven > 0
}

// RecheckDelay is how long a request that waits does so before it looks again, at the least tick.
func (r Request) RecheckDelay(now, tick time.Duration) time.Duration {
	return min(max(recheckInterval, tick), r.WaitUntil-now)
}

// Outlook tells whether any server can have room for a request by its time: one that answers and is given
// more with each answer, or, while none does, any one. Its zero value has seen no server.
type Outlook struct{ hasCapacity, hasAnswering, hasUntested bool }

// Add takes in a server of the list; nil is one that needs no proof. Lawful: it may have the request.
func (o *Outlook) Add(s *Server, lawful bool, by time.Duration) {
	switch {
	case s == nil || !lawful:
		o.hasAnswering = o.hasAnswering || s == nil
	case !s.isAnswering:
		o.hasUntested = o.hasUntested || s.MayHaveCapacity(by)
	case s.MayHaveCapacity(by):
		o.hasCapacity = true
	default:
		o.hasAnswering = true
	}
}

// MayHaveCapacity tells what the servers seen come to.
func (o *Outlook) MayHaveCapacity() bool { return o.hasCapacity || o.hasUntested && !o.hasAnswering }
