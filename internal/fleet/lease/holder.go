package lease

import (
	"math"
	"math/rand/v2"
	"time"

	"dunestep/internal/fleet/replica"
)

// Standing is how an agent may act.
type Standing uint8

const (
	// New: it has not held a lease yet, so it knows of nothing that it could act within.
	New Standing = iota
	// Floor: only within what every policy has to allow.
	Floor
	// Full: on its records.
	Full
)

func (s Standing) String() string { return [...]string{"new", "floor", "full"}[min(s, Full)] }

// HolderSettings are one agent's.
type HolderSettings struct {
	Terms       Terms
	Self        int
	Incarnation uint64 // of the process; later ones are higher
	Voters      []int
	Seed        uint64 // another one for each agent and process: numbers of requests come from it
}

// HolderStats count since the start.
type HolderStats struct {
	Requests, Granted, Rejected uint64
	Late                        uint64 // grants that came after they had run out
	Unmatched                   uint64 // answers to no open request, or of an epoch that was replaced
}

// Holder asks for leases and says whether one holds. A restart is a new Holder.
type Holder struct {
	settings          HolderSettings
	rng               *rand.Rand
	stats             HolderStats
	voters            []int // in the order in which they are asked
	voterTurn         int
	nextRequest       time.Duration // steady clock
	failuresInRow     int           // requests in a row that brought no lease
	roundTrip         time.Duration // from a request to its answer, smoothed; zero: none came yet
	successRate       float64       // of requests that brought a lease, smoothed: the rest is what ways and voters lose
	outstanding       [maxOutstanding]outstandingRequest
	requestCount      int
	applied           replica.Position
	current           leaseGrant    // one that is, or was, covered by what is applied
	pending           leaseGrant    // a newer one that is not covered yet
	unixOffset        time.Duration // the Unix clock of the steady one, when a voter's grant last bore it out
	isUnixOffsetKnown bool
	offVoters         map[int]bool // voters by whose last grant this machine's Unix clock is off
	hasHeld           bool
}

const (
	// maxOutstanding is how many requests a grant can still come for.
	maxOutstanding = 16
	// quick is how many requests in a row wait only for as long as answers take, before they slow down.
	fastRequests = 4
	// minEagerRequests is how many requests in a row go out before voters are taken to be away, where all requests
	// were answered so far; maxEagerRequests is how many do at the most, where many were lost.
	minEagerRequests, maxEagerRequests = 16, 32
	// unlucky is how seldom that many requests in a row are to be lost by chance.
	allLostProbability = 1e-5
)

type outstandingRequest struct {
	nonce uint64
	voter int
	sent  ClockReading
}

// grant holds from when it was asked for.
type leaseGrant struct {
	requestedAt ClockReading
	position    replica.Position
	isSet       bool
}

// NewHolder returns a Holder that asks at once, spread over a part of a lease, as all agents may start
// together.
func NewHolder(set HolderSettings, now ClockReading) *Holder {
	set.Terms = set.Terms.WithDefaults()
	h := &Holder{settings: set, successRate: 1, offVoters: map[int]bool{}, rng: rand.New(rand.NewPCG(set.Seed, set.Incarnation))}
	for _, i := range h.rng.Perm(len(set.Voters)) {
		h.voters = append(h.voters, set.Voters[i])
	}
	h.nextRequest = now.Mono + h.jitter(set.Terms.Duration/16)
	return h
}

func (h *Holder) jitter(most time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(most) + 1))
}

// Stats are counts since the start.
func (h *Holder) Stats() HolderStats { return h.stats }

// Next is when Tick is due, by the steady clock.
func (h *Holder) Next() time.Duration { return h.nextRequest }

// Tick returns the request to send, and to whom: at most one. The voter may be the agent itself.
func (h *Holder) Tick(now ClockReading) (to int, r Request, send bool) {
	if now.Mono < h.nextRequest || len(h.voters) == 0 {
		return 0, Request{}, false
	}
	h.voterTurn = (h.voterTurn + 1) % len(h.voters)
	to = h.voters[h.voterTurn]
	r = Request{
		Agent: h.settings.Self, Incarnation: h.settings.Incarnation, Nonce: h.rng.Uint64(), Epoch: h.applied.Epoch,
		Seq: h.applied.Seq,
	}
	h.outstanding[h.requestCount%maxOutstanding] = outstandingRequest{nonce: r.Nonce, voter: to, sent: now}
	h.requestCount++
	h.stats.Requests++
	h.failuresInRow = min(h.failuresInRow+1, maxEagerRequests+len(h.voters)+4)
	wait := h.retryDelay()
	h.nextRequest = now.Mono + wait*7/8 + h.jitter(wait/4)
	return to, r, true
}

// wait is for how long a voter that was just asked is waited for, before the next one is: for a few requests
// as long as answers take, then for up to a sixteenth of a lease, as long as ways that lose so much may have
// lost all of them; then ever longer, as voters are away and may not be asked by all agents without end.
func (h *Holder) retryDelay() time.Duration {
	usual, soon := h.settings.Terms.Duration/16, h.eagerRequests()
	if h.failuresInRow > soon {
		return min(usual<<(h.failuresInRow-soon), h.settings.Terms.Duration/2)
	}
	first := usual
	if h.roundTrip > 0 {
		first = min(max(4*h.roundTrip, usual/6), usual)
	}
	return min(first<<max(h.failuresInRow-fastRequests, 0), usual)
}

// soon is how many requests in a row are sent before voters are taken to be away.
func (h *Holder) eagerRequests() int {
	if h.successRate >= 1 {
		return minEagerRequests
	}
	return int(min(max(math.Log(allLostProbability)/math.Log(1-h.successRate), minEagerRequests), maxEagerRequests))
}

// brought takes in that a request has brought a lease: by it the way's loss is known.
func (h *Holder) noteSuccess() {
	if h.failuresInRow > 0 {
		h.successRate += (1/float64(h.failuresInRow) - h.successRate) / 8
	}
	h.failuresInRow = 0
}

// took takes in how long an answer was on its way.
func (h *Holder) noteRoundTrip(d time.Duration) {
	if h.roundTrip == 0 {
		h.roundTrip = d
	}
	h.roundTrip = max(h.roundTrip+(d-h.roundTrip)/8, 1)
}

// HandleGrant takes what a voter said. Anything that is no answer to an open request is passed over.
func (h *Holder) HandleGrant(now ClockReading, from int, g Grant) {
	for i := range h.outstanding {
		if o := h.outstanding[i]; o.nonce == g.Nonce && o.voter == from && o.nonce != 0 {
			h.outstanding[i] = outstandingRequest{}
			h.handleGrant(now, o, g)
			return
		}
	}
	h.stats.Unmatched++
}

func (h *Holder) handleGrant(now ClockReading, o outstandingRequest, g Grant) {
	at := replica.Position{Epoch: g.Epoch, Seq: g.Seq}
	h.noteRoundTrip(now.Mono - o.sent.Mono)
	switch {
	case g.Rejected:
		h.stats.Rejected++
		if h.failuresInRow >= len(h.voters) {
			return // all have; no sooner than without an answer
		}
		h.nextRequest = min(h.nextRequest, now.Mono+h.jitter(h.settings.Terms.Duration/16))
		return
	case g.Epoch < h.applied.Epoch:
		h.stats.Unmatched++
		return
	case !h.isUnexpired(now, o.sent):
		h.stats.Late++
		return
	}
	h.stats.Granted++
	h.noteSuccess()
	h.compareClocks(now, o, g)
	half := h.settings.Terms.Duration / 2
	h.nextRequest = max(now.Mono, o.sent.Mono+half*7/8+h.jitter(half/4))
	later := func(g leaseGrant) bool { return g.isSet && g.requestedAt.Mono >= o.sent.Mono }
	if !later(h.current) && !later(h.pending) {
		h.pending = leaseGrant{requestedAt: o.sent, position: at, isSet: true}
	}
	h.adoptPending()
}

// compare holds this machine's Unix clock against the voter's: it was read between the request and now. A
// voter's own word to itself says nothing.
func (h *Holder) compareClocks(now ClockReading, o outstandingRequest, g Grant) {
	if o.voter == h.settings.Self {
		return
	}
	slack := 2*h.settings.Terms.MaxClockError + now.Mono - o.sent.Mono
	early, late := o.sent.Unix-slack, now.Unix+slack
	h.offVoters[o.voter] = g.Unix < early || g.Unix > late
	if !h.offVoters[o.voter] {
		h.unixOffset, h.isUnixOffsetKnown = now.Unix-now.Mono, true
	}
}

// IsClockOff tells whether this machine's Unix clock differs from those of most voters by more than
// Terms.MaxClockError allows of two clocks. Leases do not mind; whatever goes by Unix time does.
//
// A clock that was set since is told at once, by how far it was ahead of the steady one when it was right.
func (h *Holder) IsClockOff(now ClockReading) bool {
	if h.isUnixOffsetKnown && (now.Unix-now.Mono-h.unixOffset).Abs() > h.settings.Terms.MaxClockError {
		return true
	}
	n, of := 0, 0
	for _, v := range h.settings.Voters {
		if v != h.settings.Self {
			of++
			if h.offVoters[v] {
				n++
			}
		}
	}
	return 2*n > of
}

// SetApplied tells how far the agent's own records go that it acts on.
func (h *Holder) SetApplied(at replica.Position) {
	h.applied = at
	h.adoptPending()
}

// settle takes the newer grant for the one held as soon as what it names is applied. Until then the former
// one goes on: it counts from its own request, and the fence with it.
func (h *Holder) adoptPending() {
	if h.pending.isSet && h.applied.Covers(h.pending.position) {
		h.current, h.pending, h.hasHeld = h.pending, leaseGrant{}, true
	}
}

func (h *Holder) isUnexpired(now, from ClockReading) bool {
	return now.Since(from) < h.settings.Terms.Duration
}

// Holds tells whether the agent may act on its records. Now is read for this decision: one that was read
// before, or the time of the last input, says nothing about now.
func (h *Holder) Holds(now ClockReading) bool {
	if h.current.isSet && !h.isUnexpired(now, h.current.requestedAt) {
		h.current = leaseGrant{} // it does not come back, whatever clocks show later
	}
	return h.current.isSet && h.applied.Covers(h.current.position)
}

// Standing is how the agent may act; now as for Holds.
func (h *Holder) Standing(now ClockReading) Standing {
	switch {
	case h.Holds(now):
		return Full
	case h.hasHeld:
		return Floor
	}
	return New
}

// Remaining is for how much longer the lease holds by now; zero where none does.
func (h *Holder) Remaining(now ClockReading) time.Duration {
	if !h.Holds(now) {
		return 0
	}
	return h.settings.Terms.Duration - now.Since(h.current.requestedAt)
}

// Behind tells that a voter has named records that are not applied here: where the log should be asked for.
func (h *Holder) Behind() (at replica.Position, behind bool) {
	return h.pending.position, h.pending.isSet
}
