package lease

import (
	"math/rand/v2"
	"time"

	"dunestep/internal/fleet/replica"
)

// Standing is the extent to which an agent may act.
type Standing uint8

// The standings.
const (
	// New agents have not held a lease yet, and do not know what they may do.
	New Standing = iota
	// Floor agents held a lease before, and may do only what every policy has to allow.
	Floor
	// Full agents hold a lease, and may act on their applied records.
	Full
)

// String returns the name that operators' commands show.
func (s Standing) String() string { return [...]string{"new", "floor", "full"}[min(s, Full)] }

// HolderSettings are the settings of one agent.
type HolderSettings struct {
	Terms       Terms
	Self        int
	Incarnation uint64 // of the process, higher than those of earlier ones
	Voters      []int
	Seed        uint64 // seed of the requests' nonces, different at each agent and process
}

// HolderStats are counters since the start.
type HolderStats struct {
	Requests, Granted, Rejected uint64
	Late                        uint64 // grants that had expired when they arrived
	Unmatched                   uint64 // replies without an outstanding request, or of a replaced epoch
}

// maxOutstanding is the number of latest requests whose replies are accepted.
const maxOutstanding = 16

// Holder requests leases and decides whether one is held. A restarted process needs a new Holder.
type Holder struct {
	settings       HolderSettings
	rng            *rand.Rand
	stats          HolderStats
	retries        retrySchedule
	nextRequest    time.Duration // steady clock
	voters         []int         // in random order; requests go to one after the other
	lastVoterIndex int           // index of the voter that got the last request
	outstanding    [maxOutstanding]outstandingRequest
	requestCount   int

	applied replica.Position
	current leaseGrant // its position was applied when it was adopted
	pending leaseGrant // a later grant whose position is not applied yet
	hasHeld bool       // a lease was held before

	clocks clockCheck
}

// outstandingRequest is a request that may still be answered. The zero value means that there is none.
type outstandingRequest struct {
	nonce uint64
	voter int
	sent  ClockReading
}

// leaseGrant is a grant, which counts from the time of its request.
type leaseGrant struct {
	requestedAt ClockReading
	position    replica.Position
	isSet       bool
}

// NewHolder returns a Holder whose first request is due at a random time within a sixteenth of a lease's
// duration, as all agents may start at the same time.
func NewHolder(settings HolderSettings, now ClockReading) *Holder {
	settings.Terms = settings.Terms.WithDefaults()
	h := &Holder{
		settings: settings, retries: newRetrySchedule(settings.Terms.Duration),
		clocks: newClockCheck(settings), rng: rand.New(rand.NewPCG(settings.Seed, settings.Incarnation)),
	}
	for _, i := range h.rng.Perm(len(settings.Voters)) {
		h.voters = append(h.voters, settings.Voters[i])
	}
	h.nextRequest = now.Mono + h.jitter(settings.Terms.Duration/16)
	return h
}

// jitter draws a duration from 0 to limit.
func (h *Holder) jitter(limit time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(limit) + 1))
}

// Stats returns the counters since the start.
func (h *Holder) Stats() HolderStats { return h.stats }

// Next returns the time at which Tick is due, by the steady clock.
func (h *Holder) Next() time.Duration { return h.nextRequest }

// Tick returns the request to send, and the voter to send it to, if a request is due. The voter may be the
// agent itself.
func (h *Holder) Tick(now ClockReading) (voter int, r Request, isDue bool) {
	if now.Mono < h.nextRequest || len(h.voters) == 0 {
		return 0, Request{}, false
	}
	h.lastVoterIndex = (h.lastVoterIndex + 1) % len(h.voters)
	voter = h.voters[h.lastVoterIndex]
	r = Request{
		Agent: h.settings.Self, Incarnation: h.settings.Incarnation, Nonce: h.rng.Uint64(),
		Epoch: h.applied.Epoch, Seq: h.applied.Seq,
	}
	h.outstanding[h.requestCount%maxOutstanding] = outstandingRequest{nonce: r.Nonce, voter: voter, sent: now}
	h.requestCount++
	h.stats.Requests++
	h.retries.noteRequest(len(h.voters))
	delay := h.retries.delay()
	h.nextRequest = now.Mono + delay*7/8 + h.jitter(delay/4)
	return voter, r, true
}

// HandleGrant processes a voter's reply. A reply without an outstanding request is only counted.
func (h *Holder) HandleGrant(now ClockReading, from int, g Grant) {
	for i := range h.outstanding {
		if o := h.outstanding[i]; o.nonce == g.Nonce && o.voter == from && o.nonce != 0 {
			h.outstanding[i] = outstandingRequest{}
			h.handleReply(now, o, g)
			return
		}
	}
	h.stats.Unmatched++
}

func (h *Holder) handleReply(now ClockReading, o outstandingRequest, g Grant) {
	h.retries.roundTrip.AddSample(now.Mono - o.sent.Mono)
	switch {
	case g.Rejected:
		h.stats.Rejected++
		// Send a request to the next voter soon, unless all voters may have rejected one.
		if h.retries.failuresInRow < len(h.voters) {
			h.nextRequest = min(h.nextRequest, now.Mono+h.jitter(h.settings.Terms.Duration/16))
		}
		return
	case g.Epoch < h.applied.Epoch:
		h.stats.Unmatched++
		return
	case !h.isUnexpired(now, o.sent):
		h.stats.Late++
		return
	}
	h.stats.Granted++
	h.retries.noteSuccess()
	h.clocks.compare(now, o, g)
	half := h.settings.Terms.Duration / 2
	h.nextRequest = max(now.Mono, o.sent.Mono+half*7/8+h.jitter(half/4))
	if !h.current.isNotBefore(o.sent) && !h.pending.isNotBefore(o.sent) {
		h.pending = leaseGrant{
			requestedAt: o.sent, position: replica.Position{Epoch: g.Epoch, Seq: g.Seq}, isSet: true,
		}
	}
	h.adoptPending()
}

// isNotBefore reports whether there is a grant and it was requested at or after a reading.
func (g leaseGrant) isNotBefore(requestedAt ClockReading) bool {
	return g.isSet && g.requestedAt.Mono >= requestedAt.Mono
}

// SetApplied sets the position up to which the agent has applied the log.
func (h *Holder) SetApplied(position replica.Position) {
	h.applied = position
	h.adoptPending()
}

// adoptPending makes the pending grant the current one once its position is applied. Until then the former
// grant remains in effect: it counts from its own request, and so does its fence.
func (h *Holder) adoptPending() {
	if h.pending.isSet && h.applied.Covers(h.pending.position) {
		h.current, h.pending, h.hasHeld = h.pending, leaseGrant{}, true
	}
}

func (h *Holder) isUnexpired(now, requestedAt ClockReading) bool {
	return now.Since(requestedAt) < h.settings.Terms.Duration
}

// Holds reports whether the agent holds a lease, and so may act on its records. The caller has to read the
// clocks for this decision: an earlier reading, such as that of the last input, may be from before a pause.
func (h *Holder) Holds(now ClockReading) bool {
	if h.current.isSet && !h.isUnexpired(now, h.current.requestedAt) {
		h.current = leaseGrant{} // an expired lease stays expired even if a clock is set back
	}
	return h.current.isSet && h.applied.Covers(h.current.position)
}

// Standing returns the extent to which the agent may act. The caller has to read the clocks as for Holds.
func (h *Holder) Standing(now ClockReading) Standing {
	switch {
	case h.Holds(now):
		return Full
	case h.hasHeld:
		return Floor
	}
	return New
}

// Remaining returns the time until the lease expires, or 0 if none is held.
func (h *Holder) Remaining(now ClockReading) time.Duration {
	if !h.Holds(now) {
		return 0
	}
	return h.settings.Terms.Duration - now.Since(h.current.requestedAt)
}

// PendingPosition returns the position of a grant that is not in effect yet because the agent has not applied
// the records up to it. isPending reports whether there is one.
func (h *Holder) PendingPosition() (position replica.Position, isPending bool) {
	return h.pending.position, h.pending.isSet
}

// IsClockOff reports whether this machine's Unix clock differs from those of most other voters by more than
// Terms.MaxClockError allows for two clocks. Leases do not depend on it, but actions at a Unix time do. A
// clock that was set since the last comparison is detected at once by its offset to the steady clock.
func (h *Holder) IsClockOff(now ClockReading) bool { return h.clocks.isOff(now) }
