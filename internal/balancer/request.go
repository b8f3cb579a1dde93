package balancer

import (
	"cmp"
	"time"

	"dunestep/internal/balancer/ring"
)

// meanWorkGain is the weight of a new work hint in the mean.
const meanWorkGain = 0.01

// request is the state of a client's request from its arrival until its last attempt has ended. The order of
// the fields keeps the struct small, since there is one for each request in flight.
type request struct {
	id            uint32
	hash          uint32 // hash of the key
	tenant        int32  // tenant number: see exclusionState
	exclusionHash uint32 // hash by which exclusions apply; without a key, a new one at each selection
	class         *class
	workUnits     float64       // work hint relative to the mean of all hints; one without a hint
	objectiveAt   time.Duration // when an answer loses its value
	deadline      time.Duration // when the client gives up

	waitUntil      time.Duration // when a timer ends the wait for a probe or a server's probation
	probationUntil time.Duration // end of the wait for a server to finish its probation; zero: not started
	notBefore      time.Duration // earliest start of the next attempt; zero: any time

	attempts     []attempt
	hedgedProbe  *server // server to get a hedged probe request in addition to the chosen server
	openAttempts int16   // number of attempts that have not ended
	openHedges   int16   // number of open attempts that are hedges
	hedges       int16   // number of attempts that are hedges
	probes       int16   // number of probes for this request

	isBodyPending     bool // its client is still sending the body
	waiting           bool // waits for a retry, a probe or a server's probation
	closed            bool // the client has its answer or has disconnected
	streaming         bool // a response has begun
	needsRetryToken   bool // the next attempt is a retry for which no token has been spent
	lastUnprocessed   bool // the last attempt was not processed
	hasKey            bool
	overQuota         bool // exceeds its tenant's quota
	ignoresProbes     bool // tests a server whose probes failed
	ignoresExclusions bool // exclusions are overridden: see SetExclusions
	endReason         endReason
}

func (b *Balancer) onRequest(e *Request) {
	if b.requests[e.ID] != nil {
		return
	}
	r := &request{
		id: e.ID, class: b.classOf(e), workUnits: 1, deadline: b.now + max(e.ClientTimeout, 0),
		tenant: b.countRequest(e), isBodyPending: e.IsBodyPending,
	}
	b.setObjective(r, e)
	if e.WorkHint > 0 {
		w := seconds(e.WorkHint)
		b.meanWork = cmp.Or(b.meanWork, w)
		b.meanWork += meanWorkGain * (w - b.meanWork)
		r.workUnits = w / b.meanWork
	}
	if e.Key != "" {
		r.hasKey, r.hash = true, ring.Hash(e.Key)
	}
	r.overQuota = b.quotas.IsOverQuota(b.now, e.quotaTenant())
	b.earnRetryTokens()
	b.requests[e.ID] = r
	if reason := b.checkAdmission(r); reason != notEnded {
		b.rejectOrFail(r, reason)
	} else {
		b.route(r)
	}
}

// checkAdmission returns why a new request is not sent to any server, or notEnded.
func (b *Balancer) checkAdmission(r *request) endReason {
	switch {
	case r.hasKey && b.isPoisoned(r.hash):
		return endPoisonedKey
	case r.objectiveAt <= b.now:
		return endObjectiveMissed
	}
	return notEnded
}

// setObjective sets when the request's answer loses its value.
func (b *Balancer) setObjective(r *request, e *Request) {
	c := r.class
	objective := c.LatencyObjective + time.Duration(c.ObjectivePerWork*float64(e.WorkHint))
	r.objectiveAt = b.now + min(objective, c.Deadline)
	// If a retry's timeout is below the longest one of the class, it is what remains of the client's deadline,
	// so the request is older by the difference and its objective is earlier. If clients don't mark their
	// retries, every request with a shorter timeout counts as such a retry. If they do, a first try does not,
	// even if it has a shorter timeout because it took long to arrive.
	c.maxClientTimeout = max(c.maxClientTimeout, e.ClientTimeout)
	if e.ClientTimeout < c.maxClientTimeout-b.settings.Tick &&
		(e.ClientRetry || !b.settings.ClientsMarkRetries) {
		r.objectiveAt -= c.Deadline - e.ClientTimeout
	}
	if c.LateWeight > 0 {
		r.objectiveAt = r.deadline
	}
}

// isTooLate reports whether the client gives up before an attempt can be made after the wait.
func (b *Balancer) isTooLate(r *request, wait time.Duration) bool {
	return b.now+wait+b.settings.Tick >= r.deadline
}

// route selects a server for the request and sends it or probes the server first. Without a server the
// request waits for one to finish its probation, or ends.
func (b *Balancer) route(r *request) {
	var s *server
	b.skipped = SkipCounts{}
	if !b.isTooLate(r, 0) && len(r.attempts) < r.class.maxAttempts {
		s = b.selectServer(r)
	}
	switch {
	case s != nil && !b.spendRetryToken(r, s):
		b.rejectOrFail(r, endNoRetryToken)
	case s != nil && (!b.needsProbe(r, s) || b.maySkipProbe(r)):
		b.dispatch(r, s)
		b.sendHedgedProbe(r)
	case s != nil && r.probes < maxProbesPerRequest:
		b.probeAndWait(r, s)
	default:
		b.waitForProbation(r)
	}
}

// wait lets the request wait for at most the given time, until a timer or a probe resumes it.
func (b *Balancer) wait(r *request, length time.Duration) {
	r.waiting, r.waitUntil = true, b.now+length
	b.setTimer(length, r.id, timerRetry)
}

// closeRequest closes a request whose client needs no more answers. It is removed once its last attempt has
// ended.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}
