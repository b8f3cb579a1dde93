// Package judge checks whether a fleet's agents decide under the policy versions that package policy permits.
// Its input is the decisions that the agents made, with their times and policy versions; it is independent of
// the protocol by which the versions were agreed.
//
// The package reads no clock and does no I/O. All times are true times, which the caller passes. Its types
// are not safe for concurrent use.
package judge

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
)

// Decision is a decision of an agent. Decisions are passed in the order of At.
type Decision struct {
	At time.Duration // true time of the decision, or the earliest possible one
	// LatestAt is the latest time at which the decision can have been made, if only bounds are known; zero means
	// that it was made at At.
	LatestAt time.Duration
	Agent    int
	Mode     policy.Mode
	Version  uint64 // version in use, or whose floor was in use
}

// Version is a policy version that was activated.
type Version struct {
	Number        uint64
	EffectiveAt   time.Duration
	Effect, Floor *policy.Effect // evaluated with the local settings of all agents
}

// Violation is a decision that the policy does not permit.
type Violation struct {
	Decision
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, %v of version %d: %s", b.At, b.Agent, b.Mode, b.Version, b.Reason)
}

// maxViolations is the number of violations that are kept; all are counted.
const maxViolations = 20

// Judge checks the decisions of one fleet.
type Judge struct {
	// Violations holds the first maxViolations violations; Count is the number of all of them.
	Violations []Violation
	Count      int
	// Decisions is the number of decisions by mode.
	Decisions [policy.ModeFull + 1]int

	clockError time.Duration
	versions   []*version // by increasing number
}

type version struct {
	Version
	activatedAt  time.Duration
	firstActedAt time.Duration // true time of the first decision by any agent; valid if wasActedOn
	wasActedOn   bool
}

// New returns a Judge of a fleet that starts with a version. clockError is the maximum difference between two
// agents' clocks.
func New(clockError time.Duration, initial Version) *Judge {
	return &Judge{clockError: clockError, versions: []*version{{Version: initial}}}
}

// VersionActivated adds a version, which must be newer than the former ones. It must be called before any
// decision that can be made under the version.
func (j *Judge) VersionActivated(at time.Duration, v Version) {
	j.versions = append(j.versions, &version{Version: v, activatedAt: at})
}

// DecisionMade checks a decision, and reports whether it is allowed.
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

// checkFull returns why a decision under a version is not allowed, or an empty string if it is allowed.
func (j *Judge) checkFull(d Decision) string {
	v, latest := j.find(d.Version), max(d.At, d.LatestAt)
	switch {
	case v == nil:
		return "the version was never activated"
	case latest < v.EffectiveAt-j.clockError:
		return "the version has not taken effect"
	}
	for i := len(j.versions) - 1; i >= 0 && j.versions[i].Number > d.Version; i-- {
		if newer := j.versions[i]; newer.wasActedOn && d.At > newer.firstActedAt+j.clockError {
			return fmt.Sprintf("newer version %d has been in use since %v", newer.Number, newer.firstActedAt)
		}
	}
	if !v.wasActedOn || latest < v.firstActedAt {
		v.wasActedOn, v.firstActedAt = true, latest
	}
	return ""
}

// checkFloor returns why a decision within a floor is not allowed, or an empty string if it is allowed. The
// version in force must allow the floor; within the clock error of a change of versions either may allow it.
func (j *Judge) checkFloor(d Decision) string {
	v := j.find(d.Version)
	if v == nil {
		return "the version was never activated"
	}
	for i := len(j.versions) - 1; i >= 0; i-- {
		inForce := j.versions[i]
		start := max(inForce.EffectiveAt, inForce.activatedAt)
		switch {
		case d.At < start-j.clockError:
			continue
		case inForce.Effect.Allows(v.Floor):
			return ""
		case d.At > start+j.clockError:
			return fmt.Sprintf("version %d is in force and does not allow the floor", inForce.Number)
		}
	}
	return ""
}
