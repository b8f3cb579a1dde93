package probation

import "time"

// List is one agent's state of an unconfirmed endpoint list. The zero value is a list that needs no
// probation.
type List struct {
	trust    float64
	unproven int // number of servers
}

// Trust returns the trust in a list by the time since it was confirmed: from 1 at age zero down to 0 at the
// duration of a full deploy, when any of its servers may have been replaced. A negative age means unknown and
// gives 0.
func Trust(age, fullDeploy time.Duration) float64 {
	if age < 0 || age >= fullDeploy {
		return 0
	}
	return 1 - float64(age)/float64(fullDeploy)
}

// Start starts the probation of a list with the given trust: see Trust. The caller adds each of its servers.
func (l *List) Start(trust float64) { l.trust = trust }

// Add adds a server of the list and returns its initial state.
func (l *List) Add() *Server {
	l.unproven++
	return NewServer(l.trust)
}

// ListConfirmed ends the probation of the list and its servers, because discovery has confirmed the list.
func (l *List) ListConfirmed() { l.unproven = 0 }

// AttemptEnded records the end of an attempt at a server and reports whether it proves the server.
func (l *List) AttemptEnded(s *Server, now time.Duration, outcome Outcome) (proved bool) {
	if proved = s.AttemptEnded(now, outcome); proved {
		l.unproven--
	}
	return proved
}

// WaitDeadline returns when a request that finds no server stops waiting for a proven one, which is not after
// latest. If the request's WaitUntil is set, it is the result.
func (l *List) WaitDeadline(r Request, now, latest time.Duration) time.Duration {
	if r.WaitUntil != 0 {
		return r.WaitUntil
	}
	return min(now+WaitTime(r.LatencyObjective, l.trust), latest)
}

// ShouldWait reports whether a request whose WaitUntil is set keeps waiting, by the state of the list and the
// request. Whether a server can have capacity for it is reported by Outlook.
func (l *List) ShouldWait(r Request, now time.Duration) bool {
	return now < r.WaitUntil && r.Attempts < r.MaxAttempts && l.unproven > 0
}

// Outlook determines whether any server can have capacity for a request in time: a server that responds, as
// each response raises its limit, or, if none responds, an untested one. The zero value has no servers.
type Outlook struct{ hasCapacity, hasAnswering, hasUntested bool }

// Add adds a server of the list, or nil for one that is not on probation. The server counts only if it is
// permitted to get the request, and can have capacity by the given time.
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

// MayHaveCapacity reports whether any of the added servers can have capacity in time.
func (o *Outlook) MayHaveCapacity() bool { return o.hasCapacity || o.hasUntested && !o.hasAnswering }
