package balancer

import (
	"time"

	"dunestep/internal/balancer/outlier"
)

// unreported is the value of attempt.reportedInFlight without a fresh load report.
const unreported = -1.0

// attempt is one attempt to serve a request at a server.
type attempt struct {
	server           *server
	outlier          outlier.Attempt
	reportedInFlight float64 // requests in flight by the server's load report at the time of sending
	// latency below which a served attempt contradicts the server's failed probe; zero: no failed probe
	failedProbeLatency time.Duration
	inFlightAtSend     int32 // this balancer's other requests at the server at the time of sending
	done               bool
	isReceiving        bool // not counted as in flight yet: see onBodyComplete
	responseStarted    bool // no longer counted as in flight: see onStreamStarted
	isResponding       bool // its response has begun: the server is not silent
	isOverdue          bool // its timeout has counted as evidence: see onAttemptOverdue
	isSilent           bool // nothing has come in its time but the head of its response
	isStreaming        bool // its response is being streamed
	unprocessed        bool // ended without having been processed
	hedged             bool
}

// sendAttempt sends the request to the server. The attempt times out with the client's deadline, or earlier
// at the objective where a later answer has no value.
func (b *Balancer) sendAttempt(r *request, s *server) {
	timeout := b.attemptTimeout(r, s, r.deadline-b.now)
	if left := r.objectiveAt - b.now - b.settings.Tick; !r.class.Streaming && left > 0 {
		timeout = min(timeout, left) // a later answer would have no value and keep the server busy
	}
	a := attempt{
		server: s, inFlightAtSend: int32(s.inFlight), reportedInFlight: unreported, isReceiving: r.isBodyPending,
		failedProbeLatency: b.contradictionLatency(r, s),
	}
	if b.hasFreshReport(s) {
		a.reportedInFlight = s.reportedInFlight
		s.reportedInFlight++
	}
	a.outlier = b.detector.AttemptStarted(b.now, s.outlier, r.class.index, timeout)
	b.watch(s)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	b.beginInFlight(&r.attempts[len(r.attempts)-1])
	b.sentThisRound += r.workUnits
	s.slowStart.Spend(r.workUnits)
	b.zoneReach.RecordAttempt(b.now, s.Zone)
	b.accounts.RequestSent(&s.account, r.workUnits)
	b.emit(Action{
		Kind: Send, ID: r.id, Server: s.ID, After: timeout,
		WriteWithin: b.dedupWindowLeft(r.class, r.attempts[:len(r.attempts)-1]),
	})
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
	b.endInFlight(a)
	b.observeProbation(a, e)
	b.observeAttempt(r, a, e)
	if e.RequestDone && !r.closed {
		b.countAttemptAnswer(r, e.Outcome)
	}
	if e.RequestDone || r.closed {
		b.closeRequest(r)
	} else if r.openAttempts == r.openHedges && !r.streaming && !r.waiting {
		r.lastUnprocessed = a.unprocessed
		b.retry(r)
	}
}

// onStreamStarted handles a response that is being streamed. If nothing but its head has come so far, the
// server does not count as having responded yet.
func (b *Balancer) onStreamStarted(e *StreamStarted) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[e.Attempt]
	r.streaming, a.isStreaming = true, true
	if !a.isSilent {
		b.onBodyBegun(r, a)
	}
}

// onBodyComplete counts the request's attempts as in flight: a server begins a request with its last byte.
// Clients that send their bodies slowly do not make servers look busy and silent.
func (b *Balancer) onBodyComplete(e *BodyComplete) {
	r := b.requests[e.ID]
	if r == nil || !r.isBodyPending {
		return
	}
	r.isBodyPending = false
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.isReceiving && !a.done && !a.responseStarted {
			b.endInFlight(a)
			a.isReceiving = false
			b.beginInFlight(a)
		}
	}
}
