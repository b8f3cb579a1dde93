package policy

import "dunestep/internal/fleet/lease"

// Mode is how much of the agreed policy an agent may act on.
type Mode uint8

const (
	// ModeBottom means that the agent acts within the lowest floor, which no version can forbid: it has never
	// had a lease, or its last lease is so old that the floor that it knows may have been replaced.
	ModeBottom Mode = iota
	// ModeFloor means that the agent acts within the floor of a version.
	ModeFloor
	// ModeFull means that the agent acts on a version.
	ModeFull
)

// String returns the word that the operators' interface shows; operators' tools compare it.
func (h Mode) String() string { return [...]string{"bottom", "floor", "full"}[min(h, ModeFull)] }

// Active is the policy that an agent acts on at one moment.
type Active struct {
	Mode    Mode
	Version uint64  // the version acted on, or the one whose floor applies; zero for ModeBottom
	Effect  *Effect // the same pointer as long as nothing changes
}

// Active returns the policy that a decision has to act on. The clock reading and the lease's standing must be
// taken for this decision, so that a process that was paused notices that its lease has expired.
func (a *Agent) Active(now lease.ClockReading, standing lease.Standing) Active {
	switch {
	case standing == lease.New:
		return Active{Effect: a.bottom}
	case standing == lease.Full:
		a.hadLease, a.lastLeased = true, now
	case !a.hadLease || now.Since(a.lastLeased) >= a.times.FloorValidity:
		return Active{Effect: a.bottom}
	}
	v := a.effectiveVersion(now)
	if standing == lease.Full && v.effect != nil && !a.isBoundByPromise(now) {
		return Active{Mode: ModeFull, Version: v.version.Number, Effect: v.effect}
	}
	if v.floor == nil {
		return Active{Effect: a.bottom}
	}
	return Active{Mode: ModeFloor, Version: v.version.Number, Effect: v.floor}
}

// effectiveVersion returns the newest version whose effective time has passed.
func (a *Agent) effectiveVersion(now lease.ClockReading) resolvedVersion {
	newest := a.recent[0]
	if n := newest.version.Number; n > a.newestEffective && now.Unix >= newest.version.EffectiveAt {
		a.newestEffective = n
	}
	if newest.version.Number > a.newestEffective && len(a.recent) > 1 {
		return a.recent[1]
	}
	return newest
}

// isBoundByPromise reports whether the agent's promise keeps it from acting on the version in force.
func (a *Agent) isBoundByPromise(now lease.ClockReading) bool {
	open := a.state.OpenChange
	return open != nil && a.lastAnswer.Version == open.Number && a.lastAnswer.Code == Accepted &&
		now.Unix >= open.EffectiveAt
}
