package maintenance

import (
	"maps"
	"math"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// Agent is what one process goes by.
//
// With a lease it goes by the state: it knows all that was agreed but a moment ago. Without one it goes by
// the plan alone, whatever it knows of a pause, as that may have ended: it keeps off a node whenever anybody
// does. Only what can't be taken back counts then: that a window returns early. At the bottom it may not know
// of a window at all, and keeps off the servers whose turn it is besides.
type Agent struct {
	turns    Turns
	windows  []*storedWindow
	revision uint64 // rises with what is learnt

	last       *balancer.Exclusions
	turn       int // that last keeps off; below zero: none
	basis      exclusionBasis
	validUntil time.Duration // Unix time
}

// basis is what the last answer was made from.
type exclusionBasis struct {
	valid    bool
	revision uint64
	from     time.Duration
	lease    bool
	mode     policy.Mode
	version  uint64
	effect   *policy.Effect
}

// NewAgent returns an Agent that knows nothing yet; turns are the same at all agents, zero: none.
func NewAgent(turns int) *Agent { return &Agent{turns: Turns(turns), turn: -1} }

// Learn takes what the log says now: after records were applied, and after a snapshot, before a lease holds
// that names them.
func (a *Agent) Learn(m *StateMachine) {
	a.windows = m.state.Windows
	a.revision++
}

// Exclusions is what to keep off now; the same one while nothing changes, nil: nothing is moved. The reading,
// the standing by it and how to act are to be read for this decision, so that a process that was paused
// sees where it stands now.
func (a *Agent) Exclusions(now lease.ClockReading, standing lease.Standing, acting policy.Active) *balancer.Exclusions {
	b := exclusionBasis{
		valid: true, revision: a.revision, lease: standing == lease.Full, mode: acting.Mode,
		version: acting.Version, effect: acting.Effect,
	}
	same := a.basis
	same.from = 0
	if same == b && now.Unix >= a.basis.from && now.Unix < a.validUntil {
		return a.last
	}
	fresh, turn := a.compute(now.Unix, b)
	b.from = now.Unix
	if a.basis = b; turn != a.turn || !haveSameTenants(fresh, a.last) {
		a.last, a.turn = fresh, turn
	}
	return a.last
}

// avoiding is a balancer.Exclusions in the making, and until when it holds.
type exclusionBuilder struct {
	tenants map[string]map[string]uint32
	until   time.Duration
}

func (a *Agent) compute(at time.Duration, b exclusionBasis) (out *balancer.Exclusions, turn int) {
	v := exclusionBuilder{until: at + time.Hour}
	for _, f := range a.windows {
		if at < f.To {
			v.addWindow(f, at, b)
		}
	}
	out, turn = &balancer.Exclusions{Tenants: v.tenants}, -1
	if b.mode == policy.ModeBottom && a.turns > 0 {
		var until time.Duration
		turn, until = a.turns.At(at)
		v.until = min(v.until, until)
		out.AllTenants = isInTurn(a.turns, turn)
	}
	a.validUntil = v.until
	if len(out.Tenants) == 0 && out.AllTenants == nil {
		out = nil
	}
	return out, turn
}

func isInTurn(turns Turns, turn int) func(server, zone string) bool {
	return func(server, zone string) bool { return turns.Of(server, zone) == turn }
}

func (v *exclusionBuilder) addWindow(f *storedWindow, at time.Duration, b exclusionBasis) {
	v.until = min(v.until, f.nextChange(at))
	steps := f.movedStepsWithoutLease(at)
	if b.lease {
		steps = f.movedSteps(at)
	}
	if steps == 0 {
		return
	}
	for _, t := range f.Tenants {
		if v.isAllowed(t, at, b) {
			v.exclude(t, f, steps)
		}
	}
}

// allowed tells whether the contract that binds here lets a tenant be moved. At the bottom there is none to
// go by, and on the floor of a version whose document cannot be read here none is known: what was accepted,
// under a contract, is followed to its end then.
func (v *exclusionBuilder) isAllowed(tenant string, at time.Duration, b exclusionBasis) bool {
	unknown := b.effect == nil || b.mode == policy.ModeFloor && b.effect.Contracts == nil
	if b.mode == policy.ModeBottom || unknown {
		return true
	}
	c := b.effect.Contracts[tenant]
	if c == nil {
		return false
	}
	v.until = min(v.until, nextHoursEdge(c, at))
	return c.Allows(at)
}

// edge is when the hours begin or end next.
func nextHoursEdge(c *contract.Contract, at time.Duration) time.Duration {
	if _, to, ok := c.RunAt(at); ok {
		return to
	}
	if from, _, ok := c.NextRun(at); ok {
		return from
	}
	return at + time.Hour
}

func (v *exclusionBuilder) exclude(tenant string, f *storedWindow, steps int) {
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
func haveSameTenants(x, y *balancer.Exclusions) bool {
	if x == nil || y == nil {
		return x == y
	}
	return maps.EqualFunc(x.Tenants, y.Tenants, maps.Equal[map[string]uint32])
}
