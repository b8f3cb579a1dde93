// Package judge checks from the outside whether a fleet keeps what package policy promises: from the
// decisions that its agents made, when, and under which version. It knows nothing of how they agreed.
//
// It reads no clock and does no input or output; all times are true times that the caller passes. Its types
// are not safe for concurrent use.
package judge

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
)

// Decision is one of an agent's, at a true time. Decisions are passed in the order of their times.
type Decision struct {
	At time.Duration
	// LatestAt is the latest time at which it can have been made, where it was seen from outside only, and not
	// before At; zero: it was made at At.
	LatestAt time.Duration
	Agent    int
	Mode     policy.Mode
	Version  uint64 // acted on, or whose floor it was
}

// Version is one that was activated.
type Version struct {
	Number        uint64
	EffectiveAt   time.Duration
	Effect, Floor *policy.Effect // with the settings of all agents
}

// Violation is a decision that should not have been made.
type Violation struct {
	Decision
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, %v of version %d: %s", b.At, b.Agent, b.Mode, b.Version, b.Reason)
}

// maxViolations is how many violations are kept; all are counted.
const maxViolations = 20

// Judge checks the decisions of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// Decisions are counted by their modes.
	Decisions [policy.ModeFull + 1]int

	clockError time.Duration
	versions   []*version // by number
}

type version struct {
	Version
	activatedAt  time.Duration
	firstActedAt time.Duration // by any agent
	wasActedOn   bool
}

// New returns a Judge of a fleet that begins with a version. ClockError is how far two agents' clocks may be
// apart.
func New(clockError time.Duration, begin Version) *Judge {
	return &Judge{clockError: clockError, versions: []*version{{Version: begin}}}
}

// VersionActivated takes a version, before any decision that could be made under it. Numbers rise.
func (j *Judge) VersionActivated(at time.Duration, v Version) {
	j.versions = append(j.versions, &version{Version: v, activatedAt: at})
}

// DecisionMade takes a decision, and tells whether it is allowed.
func (j *Judge) DecisionMade(d Decision) bool {
	j.Decisions[min(d.Mode, policy.ModeFull)]++
	reason := ""
	switch d.Mode {
	case policy.ModeFull:
		reason = j.checkFull(d)
	case policy.ModeFloor:
		reason = j.checkFloor(d)
	}
	if reason == "" {
		return true
	}
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{d, reason})
	}
	return false
}

func (j *Judge) find(number uint64) *version {
	for i := len(j.versions) - 1; i >= 0; i-- {
		if j.versions[i].Number == number {
			return j.versions[i]
		}
	}
	return nil
}

// checkFull says why a decision under a version is not allowed; empty: it is.
func (j *Judge) checkFull(d Decision) string {
	v, latest := j.find(d.Version), max(d.At, d.LatestAt)
	switch {
	case v == nil:
		return "the version was never activated"
	case latest < v.EffectiveAt-j.clockError:
		return "before the version takes hold"
	}
	for i := len(j.versions) - 1; i >= 0 && j.versions[i].Number > d.Version; i-- {
		if newer := j.versions[i]; newer.wasActedOn && d.At > newer.firstActedAt+j.clockError {
			return fmt.Sprintf("version %d was acted on since %v", newer.Number, newer.firstActedAt)
		}
	}
	if !v.wasActedOn || latest < v.firstActedAt {
		v.wasActedOn, v.firstActedAt = true, latest
	}
	return ""
}

// checkFloor says why a decision within a floor is not allowed; empty: it is. The version in force has to
// allow the floor, or one of two versions while one follows the other.
func (j *Judge) checkFloor(d Decision) string {
	v := j.find(d.Version)
	if v == nil {
		return "the version was never activated"
	}
	for i := len(j.versions) - 1; i >= 0; i-- {
		inForce := j.versions[i]
		begins := max(inForce.EffectiveAt, inForce.activatedAt)
		switch {
		case d.At < begins-j.clockError:
			continue
		case inForce.Effect.Allows(v.Floor):
			return ""
		case d.At > begins+j.clockError:
			return fmt.Sprintf("version %d is in force and does not allow it", inForce.Number)
		}
	}
	return ""
}
