package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
)

// unreported stands for a server's own count of requests where none is known.
const unreported = -1.0

// attempt is one try of a request at a server.
type attempt struct {
	server           *server
	outlier          outlier.Attempt
	reportedInFlight float64 // by the server's report when it was sent; unreported: none
	// a served answer sooner than this contradicts a failed probe; zero: none failed
	failedProbeLatency time.Duration
	inFlightAtSend     int32 // at the server, from this balancer
	done               bool
	responseStarted    bool
	unprocessed        bool // it had no effect
	hedged             bool
}

// sendAttempt sends the request to the server.
func (b *Balancer) sendAttempt(r *request, s *server) {
	timeout := b.attemptTimeout(r, s, r.deadline-b.now)
	if left := r.objectiveAt - b.now - b.settings.Tick; !r.class.Streaming && left > 0 {
		timeout = min(timeout, left) // a later answer has no value and keeps the server busy
	}
	a := attempt{
		server: s, inFlightAtSend: int32(s.inFlight), reportedInFlight: unreported,
		failedProbeLatency: b.contradictionLatency(r, s),
	}
	if b.hasFreshReport(s) {
		a.reportedInFlight = s.reportedInFlight
		s.reportedInFlight++
	}
	a.outlier = b.detector.AttemptStarted(b.now, s.outlier, r.class.index, timeout)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if s.inFlight == 0 {
		s.silentSince = b.now
	}
	b.addInFlight(&r.attempts[len(r.attempts)-1], 1)
	b.sentThisRound += r.workUnits
	s.slowStart.Spend(r.workUnits)
	b.zoneReach.RecordTrial(b.now, s.Zone)
	b.accounts.RequestSent(&s.account, r.workUnits)
	b.emit(Action{Kind: Send, ID: r.id, Server: s.ID, After: timeout})
	b.countOverride(r, s)
}

func (b *Balancer) onAttemptDone(e *AttemptDone) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done, a.unprocessed = true, e.Outcome.Unprocessed()
	r.openAttempts--
	if a.hedged {
		r.openHedges--
	}
	b.addInFlight(a, -1)
	b.observeProbation(a, e)
	b.observeAttempt(r, a, e)
	if e.RequestDone && !r.closed {
		b.countDone(r, e.Outcome)
	}
	if e.RequestDone || r.closed {
		b.closeRequest(r)
	} else if r.openAttempts == r.openHedges && !r.streaming && !r.waiting {
		r.lastUnprocessed = a.unprocessed
		b.retry(r)
	}
}

// onStreamStarted stops counting an attempt as in flight once its answer has begun: a client that reads a
// long answer slowly must not make the server look busy and silent. Where a class streams, the server works
// until the end, so that the attempt counts on.
func (b *Balancer) onStreamStarted(e *StreamStarted) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[e.Attempt]
	r.streaming, a.server.silentSince = true, b.now
	if !a.done && !r.class.Streaming {
		b.addInFlight(a, -1)
		a.responseStarted = true
	}
}
