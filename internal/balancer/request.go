package balancer

import (
	"cmp"
	"time"

	"dunestep/internal/balancer/ring"
)

// meanWorkGain is the weight of a new work hint in their mean.
const meanWorkGain = 0.01

// request is a client's request from its arrival until its last attempt has ended. The order of its fields
// keeps it small: there is one for each request under way.
type request struct {
	id            uint32
	hash          uint32 // of its key
	tenant        int32  // its number: see exclusionState
	exclusionHash uint32 // by which exclusions apply to it; without a key, another one at each selection
	class         *class
	workUnits     float64       // its work hint, in the mean of all hints
	objectiveAt   time.Duration // when an answer loses its value
	deadline      time.Duration // when the client gives up

	waitUntil      time.Duration // for a timer or a probe's answer
	probationUntil time.Duration // until when it waits for a server to end its probation; zero: not yet
	notBefore      time.Duration // no attempt before; zero: any time

	attempts     []attempt
	hedgedProbe  *server // to get a hedged probe request beside the chosen server
	openAttempts int16
	openHedges   int16 // of the open attempts
	hedges       int16
	probes       int16 // asked for on its behalf

	waiting           bool // see waitUntil
	closed            bool // the client has its answer, or is gone
	streaming         bool // an answer has begun
	needsRetryToken   bool // the next attempt is a retry that no token was spent on
	lastUnprocessed   bool // the last attempt was not processed
	hasKey            bool
	overQuota         bool // beyond its tenant's quota
	ignoresProbes     bool // sent to a server whose probes failed, to test them
	ignoresExclusions bool // exclusions leave it no server
	endReason         endReason
}

func (b *Balancer) onRequest(e *Request) {
	if b.requests[e.ID] != nil {
		return
	}
	r := &request{
		id: e.ID, class: b.classOf(e), workUnits: 1, deadline: b.now + max(e.ClientTimeout, 0),
		tenant: b.countRequest(e),
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

// checkAdmission returns why a new request is not sent at all.
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
	// A retry's timeout below the longest seen is what is left of the client's deadline: the request is that
	// much older, and likely too old to count. Where clients don't mark their retries, those with short
	// timeouts of their own are taken for old ones; where they do, a first try that was long on its way is not.
	c.maxClientTimeout = max(c.maxClientTimeout, e.ClientTimeout)
	if e.ClientTimeout < c.maxClientTimeout-b.settings.Tick &&
		(e.ClientRetry || !b.settings.ClientsMarkRetries) {
		r.objectiveAt -= c.Deadline - e.ClientTimeout
	}
	if c.LateWeight > 0 {
		r.objectiveAt = r.deadline
	}
}

// isTooLate reports whether no attempt can be made after the wait, since the client will have left.
func (b *Balancer) isTooLate(r *request, wait time.Duration) bool {
	return b.now+wait+b.settings.Tick >= r.deadline
}

// route selects a server and sends the request, or probes the server first, or ends the request.
func (b *Balancer) route(r *request) {
	var s *server
	if !b.isTooLate(r, 0) && len(r.attempts) < r.class.maxAttempts {
		s = b.selectServer(r)
	}
	switch {
	case s != nil && !b.spendRetryToken(r, s):
		b.rejectOrFail(r, endNoRetryToken)
	case s != nil && (!b.needsProbe(r, s) || b.mayGoUnprobed(r)):
		b.dispatch(r, s)
		b.sendHedgedProbe(r)
	case s != nil && r.probes < maxProbesPerRequest:
		b.probeFirst(r, s)
	default:
		b.waitForProbation(r)
	}
}

// wait has the request wait until a timer or a probe wakes it up.
func (b *Balancer) wait(r *request, length time.Duration) {
	r.waiting, r.waitUntil = true, b.now+length
	b.setTimer(length, r.id, timerRetry)
}

// closeRequest ends a request whose client needs nothing more. It is forgotten with its last attempt.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}
