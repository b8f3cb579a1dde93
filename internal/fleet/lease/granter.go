package lease

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// GranterSettings are the settings of one voter.
type GranterSettings struct {
	Terms  Terms
	Agents int // agents 0 to Agents-1 may request leases; requests of others are dropped and counted
	// MayGrant reports whether a request may be granted; it is called before each grant. nil: all may be
	// granted.
	MayGrant func(now ClockReading, from int, r Request) bool
}

// GranterStats are counters since the start.
type GranterStats struct {
	Granted, Rejected, Dropped uint64
	Pauses                     uint64 // intervals between two inputs that exceeded Terms.MaxPause
}

// Reply is a grant to be sent to an agent.
type Reply struct {
	To    int
	Grant Grant
}

// ActiveHolder is an agent that may still hold a lease which this voter granted.
type ActiveHolder struct {
	Agent       int
	Incarnation uint64
	Applied     replica.Position // position in the agent's request; without the sum
	GrantedAt   ClockReading
}

// Granter is the voter's side of leases. Its grants do not depend on earlier ones, and it remembers them only
// for ActiveHolders: a voter that lost its state may grant as soon as the leader has confirmed a read.
type Granter struct {
	settings  GranterSettings
	stats     GranterStats
	lastInput ClockReading
	hasInput  bool // lastInput is set

	isConfirmed    bool
	confirmedAsOf  ClockReading // the start of the read that confirmed the position
	position       replica.Position
	isReadPending  bool
	readStarted    ClockReading
	lastReadFailed bool

	holders []ActiveHolder  // by the agent's number
	pending map[int]Request // requests that wait for a confirmed read, by the agent's number
}

// NewGranter returns a Granter that knows no position yet.
func NewGranter(settings GranterSettings) *Granter {
	settings.Terms = settings.Terms.WithDefaults()
	return &Granter{
		settings: settings, holders: make([]ActiveHolder, max(settings.Agents, 0)), pending: map[int]Request{},
	}
}

// Stats returns the counters since the start.
func (g *Granter) Stats() GranterStats { return g.stats }

// noteInput detects pauses of the process and unanswered reads.
func (g *Granter) noteInput(now ClockReading) {
	if g.hasInput && now.Since(g.lastInput) > g.settings.Terms.MaxPause {
		g.stats.Pauses++
		g.isConfirmed = false
	}
	g.lastInput, g.hasInput = now, true
	if g.isReadPending && now.Since(g.readStarted) > g.settings.Terms.MaxKnowledgeAge/2 {
		g.isReadPending, g.lastReadFailed = false, true
	}
}

// HandleRequest processes an agent's request, and returns the replies to send. The caller has to read the
// clocks after it received the request. A request without a reply waits for the next confirmed read.
// startRead reports whether the caller has to start a linearizable read now, and to report its end with
// HandleConfirmed.
func (g *Granter) HandleRequest(now ClockReading, from int, r Request) (replies []Reply, startRead bool) {
	g.noteInput(now)
	if from < 0 || from >= len(g.holders) || r.Agent != from {
		g.stats.Dropped++
		return nil, false
	}
	switch {
	case g.isFresh(now):
		replies = append(replies, g.grant(now, from, r))
	case g.lastReadFailed:
		replies = append(replies, g.reject(from, r))
	default:
		g.pending[from] = r
	}
	return replies, g.startRead(now)
}

// startRead marks a read as pending, and returns true, unless one is pending already or the position was
// confirmed less than half of MaxKnowledgeAge ago.
func (g *Granter) startRead(now ClockReading) bool {
	if g.isReadPending || g.isConfirmed && now.Since(g.confirmedAsOf) < g.settings.Terms.MaxKnowledgeAge/2 {
		return false
	}
	g.isReadPending, g.readStarted = true, now
	return true
}

// isFresh reports whether the position was confirmed recently enough to grant leases on it.
func (g *Granter) isFresh(now ClockReading) bool {
	return g.isConfirmed && now.Since(g.confirmedAsOf) <= g.settings.Terms.MaxKnowledgeAge
}

// reject returns the rejection of a request.
func (g *Granter) reject(to int, r Request) Reply {
	g.stats.Rejected++
	return Reply{To: to, Grant: Grant{Nonce: r.Nonce, Rejected: true}}
}

// grant returns the grant of a request, or its rejection if MayGrant does not allow it.
func (g *Granter) grant(now ClockReading, to int, r Request) Reply {
	if g.settings.MayGrant != nil && !g.settings.MayGrant(now, to, r) {
		return g.reject(to, r)
	}
	g.stats.Granted++
	g.holders[to] = ActiveHolder{
		Agent: to, Incarnation: r.Incarnation, GrantedAt: now,
		Applied: replica.Position{Epoch: r.Epoch, Seq: r.Seq},
	}
	return Reply{To: to, Grant: Grant{
		Nonce: r.Nonce, Epoch: g.position.Epoch, Seq: g.position.Seq,
		Unix: now.Unix,
	}}
}

// HandleConfirmed processes the end of a linearizable read, after this voter has applied everything that the
// read covers, up to position. It returns the replies to pending requests. startedAt is the clock reading
// before the read started, never that of its end. A read that ended without an answer must not be reported.
func (g *Granter) HandleConfirmed(now, startedAt ClockReading, position replica.Position) (replies []Reply) {
	g.noteInput(now)
	isOlder := g.isConfirmed && startedAt.Mono < g.confirmedAsOf.Mono
	if isOlder || now.Since(startedAt) > g.settings.Terms.MaxKnowledgeAge {
		return nil
	}
	g.isConfirmed, g.confirmedAsOf, g.position, g.lastReadFailed = true, startedAt, position, false
	if startedAt.Mono >= g.readStarted.Mono {
		g.isReadPending = false
	}
	for to := range g.holders {
		if r, isPending := g.pending[to]; isPending {
			replies = append(replies, g.grant(now, to, r))
		}
	}
	clear(g.pending)
	return replies
}

// ActiveHolders returns the agents that may still hold a lease which this voter granted, ordered by number.
func (g *Granter) ActiveHolders(now ClockReading) []ActiveHolder {
	return slices.DeleteFunc(slices.Clone(g.holders), func(h ActiveHolder) bool {
		return h.GrantedAt == (ClockReading{}) || now.Since(h.GrantedAt) >= g.maxHoldDuration()
	})
}

// maxHoldDuration returns the maximum time, by the granter's clock, that a holder may act after its grant.
func (g *Granter) maxHoldDuration() time.Duration {
	t := g.settings.Terms
	return time.Duration(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift))
}
