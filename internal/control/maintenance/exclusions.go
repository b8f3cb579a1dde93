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

// Agent computes which servers the requests of one process are kept off.
//
// With a lease it follows the agreed state, which it knows except for the latest records. Without a lease it
// follows only the plan and ignores any pause that it knows of, as the window may have been resumed since: it
// excludes a server whenever any agent does. Of the later changes it follows only an early return, as that
// cannot be undone. At policy.ModeBottom it may not know of a window at all, and also excludes the servers
// whose turn it is.
type Agent struct {
	turns    Turns
	windows  []*storedWindow
	revision uint64 // incremented by each Learn

	last       *balancer.Exclusions
	turn       int            // excluded by last; noTurn: none
	basis      exclusionBasis // inputs that last was computed from
	validUntil time.Duration  // expiry of last; Unix time
}

// exclusionBasis has the inputs that exclusions were computed from.
type exclusionBasis struct {
	valid    bool
	revision uint64
	from     time.Duration // time of the computation; Unix time
	hasLease bool
	mode     policy.Mode
	version  uint64
	effect   *policy.Effect
}

// noTurn means that no servers are excluded because of their turn.
const noTurn = -1

// NewAgent returns an Agent without windows. Turns must be the same at all agents; zero disables turns.
func NewAgent(turns int) *Agent { return &Agent{turns: Turns(turns), turn: noTurn} }

// Learn updates the agent to the present state. It must be called after records were applied or a snapshot
// was restored, before a lease that covers them becomes valid.
func (a *Agent) Learn(m *StateMachine) {
	a.windows = m.state.Windows
	a.revision++
}

// Exclusions returns which servers to keep off now; nil if nothing is moved. It returns the same pointer
// while nothing changes. The clock reading, the lease's standing and the active policy must be taken for this
// decision, so that a process that was suspended notices that its lease has expired.
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

// exclusionBuilder accumulates a balancer.Exclusions and the time until which it is valid.
type exclusionBuilder struct {
	tenants    map[string]map[string]uint32
	validUntil time.Duration
}

// compute returns the exclusions at a time, nil if there are none, and the excluded turn. It sets validUntil.
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

// addWindow adds the servers and tenants that a window moves at a time.
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

// isAllowed reports whether the contract in force at this agent allows a tenant to be moved. It returns true
// if the contract is unknown, which it is at policy.ModeBottom and within the floor of a version whose
// document this build cannot read: the window was accepted under a contract, so it is followed to its end.
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

// nextHoursEdge returns when a contract's hours begin or end next, or at plus an hour if none is found.
func nextHoursEdge(c *contract.Contract, at time.Duration) time.Duration {
	if _, to, ok := c.RunAt(at); ok {
		return to
	}
	if from, _, ok := c.NextRun(at); ok {
		return from
	}
	return at + time.Hour
}

// exclude excludes a window's servers for the tenant's keys whose hash is below a bound, which is
// proportional to the moved steps.
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

// haveSameTenants reports whether two Exclusions are equal apart from turns.
func haveSameTenants(x, y *balancer.Exclusions) bool {
	if x == nil || y == nil {
		return x == y
	}
	return maps.EqualFunc(x.Tenants, y.Tenants, maps.Equal[map[string]uint32])
}
