package lease

import (
	"slices"
	"time"

	"dunestep/fleet/chronicle"
)

// GranterSettings are one voter's.
type GranterSettings struct {
	Terms  Terms
	Agents int // numbers 0 to Agents-1 can ask; others are dropped and counted
	// May is asked at the moment of each grant whether the parts above let this agent have one; nil: they
	// do. Who may not is refused.
	May func(now Reading, from int, r Request) bool
}

// GranterFigures count since the start.
type GranterFigures struct {
	Granted, Refused, Dropped uint64
	Pauses                    uint64 // times between two inputs that were longer than Terms.Pause
}

// Answer is what to send to an agent.
type Answer struct {
	To    int
	Grant Grant
}

// Held is an agent that was granted a lease here which may still hold.
type Held struct {
	Agent       int
	Incarnation uint64
	Applied     chronicle.Position // by its own word, without the sum, as it asked
	Granted     Reading
}

// Granter is the voter's side. It holds no promise but its table, which is for Present alone: a voter that
// lost all may grant as soon as it has asked the leader again.
type Granter struct {
	set   GranterSettings
	fig   GranterFigures
	last  Reading // of the last input
	heard bool    // there was one

	sure    bool
	from    Reading // when the leader was asked that has confirmed this place
	at      chronicle.Position
	asking  bool
	asked   Reading
	trouble bool // the last time that the leader was asked brought nothing

	agents  []Held
	waiting map[int]Request
}

// NewGranter returns a Granter that knows nothing yet.
func NewGranter(set GranterSettings) *Granter {
	set.Terms = set.Terms.Usual()
	return &Granter{set: set, agents: make([]Held, max(set.Agents, 0)), waiting: map[int]Request{}}
}

// Figures are counts since the start.
func (g *Granter) Figures() GranterFigures { return g.fig }

// input sees pauses: what was known before one is not used after it.
func (g *Granter) input(now Reading) {
	if g.heard && now.Since(g.last) > g.set.Terms.Pause {
		g.fig.Pauses++
		g.sure = false
	}
	g.last, g.heard = now, true
	if g.asking && now.Since(g.asked) > g.set.Terms.Heard/2 {
		g.asking, g.trouble = false, true
	}
}

// Requested takes an agent's request. Now has to be read after the request was taken from the way. It is
// answered at once, or with the leader's next confirmation: ask is true where a linearizable read is to begin
// now, whose end is for Confirmed.
func (g *Granter) Requested(now Reading, from int, r Request) (out []Answer, ask bool) {
	g.input(now)
	if from < 0 || from >= len(g.agents) || r.Agent != from {
		g.fig.Dropped++
		return nil, false
	}
	switch {
	case g.fresh(now):
		out = append(out, g.grant(now, from, r))
	case g.trouble:
		g.fig.Refused++
		out = append(out, Answer{To: from, Grant: Grant{Nonce: r.Nonce, Refused: true}})
	default:
		g.waiting[from] = r
	}
	return out, g.ask(now)
}

// ask begins to ask the leader where what is known is not from the last half of Heard.
func (g *Granter) ask(now Reading) bool {
	if g.asking || g.sure && now.Since(g.from) < g.set.Terms.Heard/2 {
		return false
	}
	g.asking, g.asked = true, now
	return true
}

func (g *Granter) fresh(now Reading) bool { return g.sure && now.Since(g.from) <= g.set.Terms.Heard }

func (g *Granter) grant(now Reading, to int, r Request) Answer {
	if g.set.May != nil && !g.set.May(now, to, r) {
		g.fig.Refused++
		return Answer{To: to, Grant: Grant{Nonce: r.Nonce, Refused: true}}
	}
	g.fig.Granted++
	g.agents[to] = Held{
		Agent: to, Incarnation: r.Incarnation, Granted: now,
		Applied: chronicle.Position{Epoch: r.Epoch, Seq: r.Seq},
	}
	return Answer{To: to, Grant: Grant{
		Nonce: r.Nonce, Epoch: g.at.Epoch, Seq: g.at.Seq,
		Unix: now.Unix,
	}}
}

// Confirmed tells that a linearizable read which began at a reading has ended, and that this voter has
// applied all that it named, up to at. Asked is the reading before the read began, never that of its end. A
// read that a fallen leader or a lost message ended is not told. What waited is granted.
func (g *Granter) Confirmed(now, asked Reading, at chronicle.Position) (out []Answer) {
	g.input(now)
	if g.sure && asked.Mono < g.from.Mono || now.Since(asked) > g.set.Terms.Heard {
		return nil
	}
	g.sure, g.from, g.at, g.trouble = true, asked, at, false
	if asked.Mono >= g.asked.Mono {
		g.asking = false
	}
	for to := range g.agents {
		if r, is := g.waiting[to]; is {
			out = append(out, g.grant(now, to, r))
		}
	}
	clear(g.waiting)
	return out
}

// Present are the agents that may still hold a lease which was granted here, by number.
func (g *Granter) Present(now Reading) []Held {
	return slices.DeleteFunc(slices.Clone(g.agents), func(h Held) bool {
		return h.Granted == (Reading{}) || now.Since(h.Granted) >= g.mayLast()
	})
}

// mayLast is how long after a grant its holder may still act, by the granter's clock.
func (g *Granter) mayLast() time.Duration {
	t := g.set.Terms
	return time.Duration(float64(t.Length) * (1 + t.Drift) / (1 - t.Drift))
}
