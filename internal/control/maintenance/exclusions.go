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

// Agent works out what one process's requests keep off.
//
// With a lease it follows the agreed state, of which it knows all but the latest moment. Without one it
// follows the plan alone, whatever it knows of a pause, as that may have ended: it keeps off a server
// whenever any agent does. Only what cannot be undone counts then: that a window returns early. At
// policy.ModeBottom it may not know of a window at all, and also keeps off the servers whose turn it is.
type Agent struct {
	turns    Turns
	windows  []*storedWindow
	revision uint64 // grows with each Learn

	last       *balancer.Exclusions
	turn       int            // that last keeps off; below zero: none
	basis      exclusionBasis // of last
	validUntil time.Duration  // last; Unix time
}

// exclusionBasis is what an answer was made from.
type exclusionBasis struct {
	valid    bool
	revision uint64
	from     time.Duration // Unix time
	hasLease bool
	mode     policy.Mode
	version  uint64
	effect   *policy.Effect
}

// noTurn is the turn of an agent that keeps off no servers for their turn.
const noTurn = -1

// NewAgent returns an Agent that knows of no windows yet. Turns are the same at all agents; zero: none.
func NewAgent(turns int) *Agent { return &Agent{turns: Turns(turns), turn: noTurn} }

// Learn takes the present state: after records were applied, and after a snapshot, before a lease holds that
// covers them.
func (a *Agent) Learn(m *StateMachine) {
	a.windows = m.state.Windows
	a.revision++
}

// Exclusions is what to keep off now; nil: nothing is moved. It is the same pointer while nothing changes.
// The reading, the lease's standing and what is acted on have to be taken for this decision, so that a
// process that was paused notices that its lease has expired.
func (a *Agent) Exclusions(now lease.ClockReading, standing lease.Standing,
	active policy.Active,
) *balancer.Exclusions {
	basis := exclusionBasis{
		valid: true, revision: a.revision, hasLease: standing == lease.Full, mode: active.Mode,
		version: active.Version, effect: active.Effect,
	}
	lastBasis := a.basis
	lastBasis.from = 0
	if lastBasis == basis && now.Unix >= a.basis.from && now.Unix < a.validUntil {
		return a.last
	}
	exclusions, turn := a.compute(now.Unix, basis)
	basis.from = now.Unix
	if a.basis = basis; turn != a.turn || !haveSameTenants(exclusions, a.last) {
		a.last, a.turn = exclusions, turn
	}
	return a.last
}

// exclusionBuilder is a balancer.Exclusions that is being made, and until when it is valid.
type exclusionBuilder struct {
	tenants    map[string]map[string]uint32
	validUntil time.Duration
}

// compute makes the exclusions at a time; nil: there are none.
func (a *Agent) compute(at time.Duration, basis exclusionBasis) (exclusions *balancer.Exclusions, turn int) {
	b := exclusionBuilder{validUntil: at + time.Hour}
	for _, w := range a.windows {
		if at < w.To {
			b.addWindow(w, at, basis)
		}
	}
	exclusions, turn = &balancer.Exclusions{Tenants: b.tenants}, noTurn
	if basis.mode == policy.ModeBottom && a.turns > 0 {
		var until time.Duration
		turn, until = a.turns.At(at)
		b.validUntil = min(b.validUntil, until)
		exclusions.AllTenants = isInTurn(a.turns, turn)
	}
	a.validUntil = b.validUntil
	if len(exclusions.Tenants) == 0 && exclusions.AllTenants == nil {
		exclusions = nil
	}
	return exclusions, turn
}

func isInTurn(turns Turns, turn int) func(server, zone string) bool {
	return func(server, zone string) bool { return turns.Of(server, zone) == turn }
}

// addWindow adds what a window moves at a time.
func (b *exclusionBuilder) addWindow(w *storedWindow, at time.Duration, basis exclusionBasis) {
	b.validUntil = min(b.validUntil, w.nextChange(at))
	steps := w.movedStepsWithoutLease(at)
	if basis.hasLease {
		steps = w.movedSteps(at)
	}
	if steps == 0 {
		return
	}
	for _, tenant := range w.Tenants {
		if b.isAllowed(tenant, at, basis) {
			b.exclude(tenant, w, steps)
		}
	}
}

// isAllowed tells whether the contract that applies here allows a tenant to be moved. No contract is known at
// policy.ModeBottom, nor within the floor of a version whose document cannot be read here: a window that was
// accepted, under a contract, is followed to its end then.
func (b *exclusionBuilder) isAllowed(tenant string, at time.Duration, basis exclusionBasis) bool {
	unknown := basis.effect == nil || basis.mode == policy.ModeFloor && basis.effect.Contracts == nil
	if basis.mode == policy.ModeBottom || unknown {
		return true
	}
	c := basis.effect.Contracts[tenant]
	if c == nil {
		return false
	}
	b.validUntil = min(b.validUntil, nextHoursEdge(c, at))
	return c.Allows(at)
}

// nextHoursEdge is when a contract's hours begin or end next.
func nextHoursEdge(c *contract.Contract, at time.Duration) time.Duration {
	if _, to, ok := c.RunAt(at); ok {
		return to
	}
	if from, _, ok := c.NextRun(at); ok {
		return from
	}
	return at + time.Hour
}

// exclude excludes a window's servers for a tenant's keys, as far as steps are moved: those whose hash is
// below a bound.
func (b *exclusionBuilder) exclude(tenant string, w *storedWindow, steps int) {
	below := uint32(math.MaxUint32)
	if steps < w.Steps {
		below = uint32(uint64(steps) << 32 / uint64(w.Steps))
	}
	if b.tenants == nil {
		b.tenants = map[string]map[string]uint32{}
	}
	if b.tenants[tenant] == nil {
		b.tenants[tenant] = make(map[string]uint32, len(w.Nodes))
	}
	for _, id := range w.Nodes {
		b.tenants[tenant][id] = max(b.tenants[tenant][id], below)
	}
}

// haveSameTenants tells whether two exclude the same, apart from turns.
func haveSameTenants(x, y *balancer.Exclusions) bool {
	if x == nil || y == nil {
		return x == y
	}
	return maps.EqualFunc(x.Tenants, y.Tenants, maps.Equal[map[string]uint32])
}
