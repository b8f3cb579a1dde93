package lease

import (
	"math"
	"math/rand/v2"
	"time"

	"dunestep/fleet/chronicle"
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

// HolderFigures count since the start.
type HolderFigures struct {
	Asked, Granted, Refused uint64
	Late                    uint64 // grants that came after they had run out
	Strange                 uint64 // answers to no open request, or of an epoch that was replaced
}

// Holder asks for leases and says whether one holds. A restart is a new Holder.
type Holder struct {
	set      HolderSettings
	rng      *rand.Rand
	fig      HolderFigures
	voters   []int // in the order in which they are asked
	turn     int
	next     time.Duration // steady clock
	failed   int           // requests in a row that brought no lease
	trip     time.Duration // from a request to its answer, smoothed; zero: none came yet
	share    float64       // of requests that brought a lease, smoothed: the rest is what ways and voters lose
	open     [openRequests]request
	asked    int
	applied  chronicle.Position
	held     grant         // one that is, or was, covered by what is applied
	wanted   grant         // a newer one that is not covered yet
	ahead    time.Duration // the Unix clock of the steady one, when a voter's grant last bore it out
	compared bool
	off      map[int]bool // voters by whose last grant this machine's Unix clock is off
	ever     bool
}

const (
	// openRequests is how many requests a grant can still come for.
	openRequests = 16
	// quick is how many requests in a row wait only for as long as answers take, before they slow down.
	quick = 4
	// leastSoon is how many requests in a row go out before voters are taken to be away, where all requests
	// were answered so far; mostSoon is how many do at the most, where many were lost.
	leastSoon, mostSoon = 16, 32
	// unlucky is how seldom that many requests in a row are to be lost by chance.
	unlucky = 1e-5
)

type request struct {
	nonce uint64
	voter int
	sent  Reading
}

// grant holds from when it was asked for.
type grant struct {
	from Reading
	at   chronicle.Position
	is   bool
}

// NewHolder returns a Holder that asks at once, spread over a part of a lease, as all agents may start
// together.
func NewHolder(set HolderSettings, now Reading) *Holder {
	set.Terms = set.Terms.Usual()
	h := &Holder{set: set, share: 1, off: map[int]bool{}, rng: rand.New(rand.NewPCG(set.Seed, set.Incarnation))}
	for _, i := range h.rng.Perm(len(set.Voters)) {
		h.voters = append(h.voters, set.Voters[i])
	}
	h.next = now.Mono + h.spread(set.Terms.Length/16)
	return h
}

func (h *Holder) spread(most time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(most) + 1))
}

// Figures are counts since the start.
func (h *Holder) Figures() HolderFigures { return h.fig }

// Next is when Tick is due, by the steady clock.
func (h *Holder) Next() time.Duration { return h.next }

// Tick returns the request to send, and to whom: at most one. The voter may be the agent itself.
func (h *Holder) Tick(now Reading) (to int, r Request, send bool) {
	if now.Mono < h.next || len(h.voters) == 0 {
		return 0, Request{}, false
	}
	h.turn = (h.turn + 1) % len(h.voters)
	to = h.voters[h.turn]
	r = Request{
		Agent: h.set.Self, Incarnation: h.set.Incarnation, Nonce: h.rng.Uint64(), Epoch: h.applied.Epoch,
		Seq: h.applied.Seq,
	}
	h.open[h.asked%openRequests] = request{nonce: r.Nonce, voter: to, sent: now}
	h.asked++
	h.fig.Asked++
	h.failed = min(h.failed+1, mostSoon+len(h.voters)+4)
	wait := h.wait()
	h.next = now.Mono + wait*7/8 + h.spread(wait/4)
	return to, r, true
}

// wait is for how long a voter that was just asked is waited for, before the next one is: for a few requests
// as long as answers take, then for up to a sixteenth of a lease, as long as ways that lose so much may have
// lost all of them; then ever longer, as voters are away and may not be asked by all agents without end.
func (h *Holder) wait() time.Duration {
	usual, soon := h.set.Terms.Length/16, h.soon()
	if h.failed > soon {
		return min(usual<<(h.failed-soon), h.set.Terms.Length/2)
	}
	first := usual
	if h.trip > 0 {
		first = min(max(4*h.trip, usual/6), usual)
	}
	return min(first<<max(h.failed-quick, 0), usual)
}

// soon is how many requests in a row are sent before voters are taken to be away.
func (h *Holder) soon() int {
	if h.share >= 1 {
		return leastSoon
	}
	return int(min(max(math.Log(unlucky)/math.Log(1-h.share), leastSoon), mostSoon))
}

// brought takes in that a request has brought a lease: by it the way's loss is known.
func (h *Holder) brought() {
	if h.failed > 0 {
		h.share += (1/float64(h.failed) - h.share) / 8
	}
	h.failed = 0
}

// took takes in how long an answer was on its way.
func (h *Holder) took(d time.Duration) {
	if h.trip == 0 {
		h.trip = d
	}
	h.trip = max(h.trip+(d-h.trip)/8, 1)
}

// Answered takes what a voter said. Anything that is no answer to an open request is passed over.
func (h *Holder) Answered(now Reading, from int, g Grant) {
	for i := range h.open {
		if o := h.open[i]; o.nonce == g.Nonce && o.voter == from && o.nonce != 0 {
			h.open[i] = request{}
			h.answered(now, o, g)
			return
		}
	}
	h.fig.Strange++
}

func (h *Holder) answered(now Reading, o request, g Grant) {
	at := chronicle.Position{Epoch: g.Epoch, Seq: g.Seq}
	h.took(now.Mono - o.sent.Mono)
	switch {
	case g.Refused:
		h.fig.Refused++
		if h.failed >= len(h.voters) {
			return // all have; no sooner than without an answer
		}
		h.next = min(h.next, now.Mono+h.spread(h.set.Terms.Length/16))
		return
	case g.Epoch < h.applied.Epoch:
		h.fig.Strange++
		return
	case !h.lasts(now, o.sent):
		h.fig.Late++
		return
	}
	h.fig.Granted++
	h.brought()
	h.compare(now, o, g)
	half := h.set.Terms.Length / 2
	h.next = max(now.Mono, o.sent.Mono+half*7/8+h.spread(half/4))
	later := func(g grant) bool { return g.is && g.from.Mono >= o.sent.Mono }
	if !later(h.held) && !later(h.wanted) {
		h.wanted = grant{from: o.sent, at: at, is: true}
	}
	h.settle()
}

// compare holds this machine's Unix clock against the voter's: it was read between the request and now. A
// voter's own word to itself says nothing.
func (h *Holder) compare(now Reading, o request, g Grant) {
	if o.voter == h.set.Self {
		return
	}
	slack := 2*h.set.Terms.Clocks + now.Mono - o.sent.Mono
	early, late := o.sent.Unix-slack, now.Unix+slack
	h.off[o.voter] = g.Unix < early || g.Unix > late
	if !h.off[o.voter] {
		h.ahead, h.compared = now.Unix-now.Mono, true
	}
}

// ClockOff tells whether this machine's Unix clock differs from those of most voters by more than
// Terms.Clocks allows of two clocks. Leases do not mind; whatever goes by Unix time does.
//
// A clock that was set since is told at once, by how far it was ahead of the steady one when it was right.
func (h *Holder) ClockOff(now Reading) bool {
	if h.compared && (now.Unix-now.Mono-h.ahead).Abs() > h.set.Terms.Clocks {
		return true
	}
	n, of := 0, 0
	for _, v := range h.set.Voters {
		if v != h.set.Self {
			of++
			if h.off[v] {
				n++
			}
		}
	}
	return 2*n > of
}

// Applied tells how far the agent's own records go that it acts on.
func (h *Holder) Applied(at chronicle.Position) {
	h.applied = at
	h.settle()
}

// settle takes the newer grant for the one held as soon as what it names is applied. Until then the former
// one goes on: it counts from its own request, and the fence with it.
func (h *Holder) settle() {
	if h.wanted.is && h.applied.Covers(h.wanted.at) {
		h.held, h.wanted, h.ever = h.wanted, grant{}, true
	}
}

func (h *Holder) lasts(now, from Reading) bool { return now.Since(from) < h.set.Terms.Length }

// Holds tells whether the agent may act on its records. Now is read for this decision: one that was read
// before, or the time of the last input, says nothing about now.
func (h *Holder) Holds(now Reading) bool {
	if h.held.is && !h.lasts(now, h.held.from) {
		h.held = grant{} // it does not come back, whatever clocks show later
	}
	return h.held.is && h.applied.Covers(h.held.at)
}

// Standing is how the agent may act; now as for Holds.
func (h *Holder) Standing(now Reading) Standing {
	switch {
	case h.Holds(now):
		return Full
	case h.ever:
		return Floor
	}
	return New
}

// Left is for how much longer the lease holds by now; zero where none does.
func (h *Holder) Left(now Reading) time.Duration {
	if !h.Holds(now) {
		return 0
	}
	return h.set.Terms.Length - now.Since(h.held.from)
}

// Behind tells that a voter has named records that are not applied here: where the log should be asked for.
func (h *Holder) Behind() (at chronicle.Position, behind bool) { return h.wanted.at, h.wanted.is }
