// Package judge tells from the outside whether a fleet has kept what package policy promises: from the
// decisions that its agents made, when, and under which version. It knows nothing of how they agreed.
package judge

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
)

// Decision is one of an agent's, at a true time. Decisions are to be told in the order of their times.
type Decision struct {
	At time.Duration
	// LatestAt is the latest at which it can have been made, where it was seen from outside only, and not before At;
	// zero: it was made at At.
	LatestAt time.Duration
	Agent    int
	Mode     policy.Mode
	Version  uint64 // acted on, or whose floor it was
}

// Version is one that was activated.
type Version struct {
	Number        uint64
	EffectiveAt   time.Duration  // when it was to take hold
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

// maxViolations are kept; all are counted.
const maxViolations = 20

// Judge hears of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// Decisions are counted by how they were made.
	Decisions [policy.ModeFull + 1]int

	slack    time.Duration
	versions []*version // by number
}

type version struct {
	Version
	at    time.Duration // activated
	first time.Duration // acted on by the first agent
	acted bool
}

// New returns a Judge of a fleet that begins with a version. Slack is how far two agents' clocks may be
// apart.
func New(slack time.Duration, begin Version) *Judge {
	return &Judge{slack: slack, versions: []*version{{Version: begin}}}
}

// Activated tells of a version, before any decision is told that could be made under it. Numbers rise.
func (j *Judge) Activated(at time.Duration, v Version) {
	j.versions = append(j.versions, &version{Version: v, at: at})
}

// Decided hears of a decision, and tells whether it breaks no promise.
func (j *Judge) Decided(d Decision) bool {
	j.Decisions[min(d.Mode, policy.ModeFull)]++
	text := ""
	switch d.Mode {
	case policy.ModeFull:
		text = j.full(d)
	case policy.ModeFloor:
		text = j.within(d)
	}
	if text == "" {
		return true
	}
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{d, text})
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

func (j *Judge) full(d Decision) string {
	v, till := j.find(d.Version), max(d.At, d.LatestAt)
	switch {
	case v == nil:
		return "the version was never activated"
	case till < v.EffectiveAt-j.slack:
		return "before the version takes hold"
	}
	for i := len(j.versions) - 1; i >= 0 && j.versions[i].Number > d.Version; i-- {
		if newer := j.versions[i]; newer.acted && d.At > newer.first+j.slack {
			return fmt.Sprintf("version %d was acted on since %v", newer.Number, newer.first)
		}
	}
	if !v.acted || till < v.first {
		v.acted, v.first = true, till
	}
	return ""
}

// within holds a floor against what is in force: one of two versions where that just changes.
func (j *Judge) within(d Decision) string {
	v := j.find(d.Version)
	if v == nil {
		return "the version was never activated"
	}
	for i := len(j.versions) - 1; i >= 0; i-- {
		in := j.versions[i]
		if begins := max(in.EffectiveAt, in.at); d.At < begins-j.slack {
			continue
		} else if in.Effect.Allows(v.Floor) {
			return ""
		} else if d.At > begins+j.slack {
			return fmt.Sprintf("version %d is in force and does not allow it", in.Number)
		}
	}
	return ""
}
