package window

import (
	"maps"
	"math"
	"time"

	"dunestep/contract"
	"dunestep/decide"
	"dunestep/fleet/lease"
	"dunestep/policy"
)

// Agent is what one process goes by.
//
// With a lease it goes by the state: it knows all that was agreed but a moment ago. Without one it goes by
// the plan alone, whatever it knows of a pause, as that may have ended: it keeps off a node whenever anybody
// does. Only what can't be taken back counts then: that a window returns early. At the bottom it may not know
// of a window at all, and keeps off the servers whose turn it is besides.
type Agent struct {
	turns Turns
	forms []*form
	told  uint64 // rises with what is learnt

	last  *decide.Avoid
	turn  int // that last keeps off; below zero: none
	made  basis
	until time.Duration // Unix time
}

// basis is what the last answer was made from.
type basis struct {
	is      bool
	told    uint64
	from    time.Duration
	lease   bool
	how     policy.How
	version uint64
	effect  *policy.Effect
}

// NewAgent returns an Agent that knows nothing yet; turns are the same at all agents, zero: none.
func NewAgent(turns int) *Agent { return &Agent{turns: Turns(turns), turn: -1} }

// Learn takes what the log says now: after records were applied, and after a snapshot, before a lease holds
// that names them.
func (a *Agent) Learn(m *Machine) {
	a.forms = m.st.Windows
	a.told++
}

// Avoid is what to keep off now; the same one while nothing changes, nil: nothing is moved. The reading,
// the standing by it and how to act are to be read for this decision, so that a process that was paused
// sees where it stands now.
func (a *Agent) Avoid(now lease.Reading, standing lease.Standing, acting policy.Acting) *decide.Avoid {
	b := basis{
		is: true, told: a.told, lease: standing == lease.Full, how: acting.How,
		version: acting.Version, effect: acting.Effect,
	}
	same := a.made
	same.from = 0
	if same == b && now.Unix >= a.made.from && now.Unix < a.until {
		return a.last
	}
	fresh, turn := a.compute(now.Unix, b)
	b.from = now.Unix
	if a.made = b; turn != a.turn || !alike(fresh, a.last) {
		a.last, a.turn = fresh, turn
	}
	return a.last
}

// avoiding is a decide.Avoid in the making, and until when it holds.
type avoiding struct {
	tenants map[string]map[string]uint32
	until   time.Duration
}

func (a *Agent) compute(at time.Duration, b basis) (out *decide.Avoid, turn int) {
	v := avoiding{until: at + time.Hour}
	for _, f := range a.forms {
		if at < f.To {
			v.add(f, at, b)
		}
	}
	out, turn = &decide.Avoid{Tenants: v.tenants}, -1
	if b.how == policy.Bottom && a.turns > 0 {
		var until time.Duration
		turn, until = a.turns.At(at)
		v.until = min(v.until, until)
		out.Turn = turnOf(a.turns, turn)
	}
	a.until = v.until
	if len(out.Tenants) == 0 && out.Turn == nil {
		out = nil
	}
	return out, turn
}

func turnOf(turns Turns, turn int) func(server, zone string) bool {
	return func(server, zone string) bool { return turns.Of(server, zone) == turn }
}

func (v *avoiding) add(f *form, at time.Duration, b basis) {
	v.until = min(v.until, f.next(at))
	steps := f.final(at)
	if b.lease {
		steps = f.moved(at)
	}
	if steps == 0 {
		return
	}
	for _, t := range f.Tenants {
		if v.allowed(t, at, b) {
			v.move(t, f, steps)
		}
	}
}

// allowed tells whether the contract that binds here lets a tenant be moved. At the bottom there is none to
// go by, and on the floor of a version whose document cannot be read here none is known: what was accepted,
// under a contract, is followed to its end then.
func (v *avoiding) allowed(tenant string, at time.Duration, b basis) bool {
	unknown := b.effect == nil || b.how == policy.Within && b.effect.Contracts == nil
	if b.how == policy.Bottom || unknown {
		return true
	}
	c := b.effect.Contracts[tenant]
	if c == nil {
		return false
	}
	v.until = min(v.until, edge(c, at))
	return c.Allows(at)
}

// edge is when the hours begin or end next.
func edge(c *contract.Contract, at time.Duration) time.Duration {
	if _, to, ok := c.Run(at); ok {
		return to
	}
	if from, _, ok := c.Next(at); ok {
		return from
	}
	return at + time.Hour
}

func (v *avoiding) move(tenant string, f *form, steps int) {
	below := uint32(math.MaxUint32)
	if steps < f.Steps {
		below = uint32(uint64(steps) << 32 / uint64(f.Steps))
	}
	if v.tenants == nil {
		v.tenants = map[string]map[string]uint32{}
	}
	if v.tenants[tenant] == nil {
		v.tenants[tenant] = make(map[string]uint32, len(f.Nodes))
	}
	for _, node := range f.Nodes {
		v.tenants[tenant][node] = max(v.tenants[tenant][node], below)
	}
}

// alike tells whether two say the same, but for turns.
func alike(x, y *decide.Avoid) bool {
	if x == nil || y == nil {
		return x == y
	}
	return maps.EqualFunc(x.Tenants, y.Tenants, maps.Equal[map[string]uint32])
}
