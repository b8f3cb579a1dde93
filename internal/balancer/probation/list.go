package probation

import "time"

// List is what one agent knows of a list that nobody has confirmed. The zero value is that of a list that
// needs no probation.
type List struct {
	trust    float64
	unproven int // servers
}

// Trust is how far a list is trusted that was confirmed so long ago: from 1, just now, down to 0, once it is
// as old as a full deploy takes, when any of its servers may have been replaced. A negative age is not known,
// and not trusted.
func Trust(age, fullDeploy time.Duration) float64 {
	if age < 0 || age >= fullDeploy {
		return 0
	}
	return 1 - float64(age)/float64(fullDeploy)
}

// Start starts the probation of a list that is trusted so far: see Trust. Each of its servers is to be added.
func (l *List) Start(trust float64) { l.trust = trust }

// Add adds a server of the list, and returns what is known of it: nothing.
func (l *List) Add() *Server {
	l.unproven++
	return NewServer(l.trust)
}

// ListConfirmed takes in that the list is confirmed: neither it nor its servers need probation any more.
func (l *List) ListConfirmed() { l.unproven = 0 }

// AttemptEnded notes the end of an attempt at a server, and reports whether it proves the server.
func (l *List) AttemptEnded(s *Server, now time.Duration, outcome Outcome) (proved bool) {
	if proved = s.AttemptEnded(now, outcome); proved {
		l.unproven--
	}
	return proved
}

// WaitDeadline is until when a request that finds no server waits for one to prove itself, at the latest
// until latest. What it was given the first time holds.
func (l *List) WaitDeadline(r Request, now, latest time.Duration) time.Duration {
	if r.WaitUntil != 0 {
		return r.WaitUntil
	}
	return min(now+WaitTime(r.LatencyObjective, l.trust), latest)
}

// ShouldWait reports whether a request with its WaitUntil set goes on waiting, as far as the list and the
// request say: whether a server can have capacity for it is for an Outlook to say.
func (l *List) ShouldWait(r Request, now time.Duration) bool {
	return now < r.WaitUntil && r.Attempts < r.MaxAttempts && l.unproven > 0
}

// Outlook reports whether any server can have capacity for a request in time: one that responds and is given
// more with each response, or, while none does, any one. The zero value has no servers.
type Outlook struct{ hasCapacity, hasAnswering, hasUntested bool }

// Add takes in a server of the list; nil is one that is not on probation. Permitted: it may get the request.
func (o *Outlook) Add(s *Server, permitted bool, by time.Duration) {
	switch {
	case s == nil || !permitted:
		o.hasAnswering = o.hasAnswering || s == nil
	case !s.isAnswering:
		o.hasUntested = o.hasUntested || s.MayHaveCapacity(by)
	case s.MayHaveCapacity(by):
		o.hasCapacity = true
	default:
		o.hasAnswering = true
	}
}

// MayHaveCapacity reports whether any of the servers added can have capacity in time.
func (o *Outlook) MayHaveCapacity() bool { return o.hasCapacity || o.hasUntested && !o.hasAnswering }
