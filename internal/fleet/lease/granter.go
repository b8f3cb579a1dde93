package lease

import (
	"slices"
	"time"

	"dunestep/internal/fleet/replica"
)

// GranterSettings are one voter's.
type GranterSettings struct {
	Terms  Terms
	Agents int // numbers 0 to Agents-1 can ask; others are dropped and counted
	// MayGrant is asked at the moment of each grant whether the parts above let this agent have one; nil: they
	// do. Who may not is refused.
	MayGrant func(now ClockReading, from int, r Request) bool
}

// GranterStats count since the start.
type GranterStats struct {
	Granted, Rejected, Dropped uint64
	Pauses                     uint64 // times between two inputs that were longer than Terms.MaxPause
}

// Reply is what to send to an agent.
type Reply struct {
	To    int
	Grant Grant
}

// ActiveHolder is an agent that was granted a lease here which may still hold.
type ActiveHolder struct {
	Agent       int
	Incarnation uint64
	Applied     replica.Position // by its own word, without the sum, as it asked
	GrantedAt   ClockReading
}

// Granter is the voter's side. It holds no promise but its table, which is for ActiveHolders alone: a voter that
// lost all may grant as soon as it has asked the leader again.
type Granter struct {
	settings  GranterSettings
	stats     GranterStats
	lastInput ClockReading // of the last input
	hasInput  bool         // there was one

	isConfirmed    bool
	confirmedAsOf  ClockReading // when the leader was asked that has confirmed this place
	position       replica.Position
	isReadPending  bool
	readStarted    ClockReading
	lastReadFailed bool // the last time that the leader was asked brought nothing

	holders []ActiveHolder
	pending map[int]Request
}

// NewGranter returns a Granter that knows nothing yet.
func NewGranter(set GranterSettings) *Granter {
	set.Terms = set.Terms.WithDefaults()
	return &Granter{settings: set, holders: make([]ActiveHolder, max(set.Agents, 0)), pending: map[int]Request{}}
}

// Stats are counts since the start.
func (g *Granter) Stats() GranterStats { return g.stats }

// input sees pauses: what was known before one is not used after it.
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

// HandleRequest takes an agent's request. Now has to be read after the request was taken from the way. It is
// answered at once, or with the leader's next confirmation: ask is true where a linearizable read is to begin
// now, whose end is for HandleConfirmed.
func (g *Granter) HandleRequest(now ClockReading, from int, r Request) (out []Reply, ask bool) {
	g.noteInput(now)
	if from < 0 || from >= len(g.holders) || r.Agent != from {
		g.stats.Dropped++
		return nil, false
	}
	switch {
	case g.isFresh(now):
		out = append(out, g.grant(now, from, r))
	case g.lastReadFailed:
		g.stats.Rejected++
		out = append(out, Reply{To: from, Grant: Grant{Nonce: r.Nonce, Rejected: true}})
	default:
		g.pending[from] = r
	}
	return out, g.startRead(now)
}

// ask begins to ask the leader where what is known is not from the last half of MaxKnowledgeAge.
func (g *Granter) startRead(now ClockReading) bool {
	if g.isReadPending || g.isConfirmed && now.Since(g.confirmedAsOf) < g.settings.Terms.MaxKnowledgeAge/2 {
		return false
	}
	g.isReadPending, g.readStarted = true, now
	return true
}

func (g *Granter) isFresh(now ClockReading) bool {
	return g.isConfirmed && now.Since(g.confirmedAsOf) <= g.settings.Terms.MaxKnowledgeAge
}

func (g *Granter) grant(now ClockReading, to int, r Request) Reply {
	if g.settings.MayGrant != nil && !g.settings.MayGrant(now, to, r) {
		g.stats.Rejected++
		return Reply{To: to, Grant: Grant{Nonce: r.Nonce, Rejected: true}}
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

// HandleConfirmed tells that a linearizable read which began at a reading has ended, and that this voter has
// applied all that it named, up to at. Requests is the reading before the read began, never that of its end. A
// read that a fallen leader or a lost message ended is not told. What waited is granted.
func (g *Granter) HandleConfirmed(now, asked ClockReading, at replica.Position) (out []Reply) {
	g.noteInput(now)
	if g.isConfirmed && asked.Mono < g.confirmedAsOf.Mono || now.Since(asked) > g.settings.Terms.MaxKnowledgeAge {
		return nil
	}
	g.isConfirmed, g.confirmedAsOf, g.position, g.lastReadFailed = true, asked, at, false
	if asked.Mono >= g.readStarted.Mono {
		g.isReadPending = false
	}
	for to := range g.holders {
		if r, is := g.pending[to]; is {
			out = append(out, g.grant(now, to, r))
		}
	}
	clear(g.pending)
	return out
}

// ActiveHolders are the agents that may still hold a lease which was granted here, by number.
func (g *Granter) ActiveHolders(now ClockReading) []ActiveHolder {
	return slices.DeleteFunc(slices.Clone(g.holders), func(h ActiveHolder) bool {
		return h.GrantedAt == (ClockReading{}) || now.Since(h.GrantedAt) >= g.maxHolding()
	})
}

// maxHolding is how long after a grant its holder may still act, by the granter's clock.
func (g *Granter) maxHolding() time.Duration {
	t := g.settings.Terms
	return time.Duration(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift))
}
