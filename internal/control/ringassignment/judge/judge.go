// Package judge checks a fleet's ring against the guarantees of package ringassignment. Its inputs are
// samples of which server owned each key at which agent, and the true state of the servers. It does not
// depend on how the agents agree.
//
// It reads no clock and does no input or output; all times are true times that the caller passes. Its types
// are not safe for concurrent use.
package judge

import (
	"fmt"
	"time"
)

// NoOwner is the owner of a key that no server owns.
const NoOwner = -1

// Owners has for each key the number of the server that owns it, or NoOwner. It must not be modified.
type Owners []int32

// Sample is the ring that an agent uses at one time. Samples must be passed in order of time.
type Sample struct {
	At         time.Duration
	Agent      int
	HasLease   bool
	Generation uint64  // zero if the agent uses its own endpoint list
	Owners     *Owners // stays the same pointer while nothing changes
}

// Truth reports the true state of the servers at the time of the current sample.
type Truth interface {
	// IsReady reports whether the server runs and accepts requests.
	IsReady(server int32) bool
	// IsKnownGone reports whether the agent has known that the server is draining or gone for longer than it may
	// take to act on that.
	IsKnownGone(agent int, server int32) bool
	// Capacity returns the server's capacity when it is warm.
	Capacity(server int32) float64
	// SlowStartFraction returns the fraction of the capacity that slow start permits, as far as the leader could
	// know it when it proposed the generation that was first used at firstUsedAt.
	SlowStartFraction(server int32, firstUsedAt time.Duration) float64
	// IsSteady reports whether the server has been ready and warm for a minute, in the agent's list too, not
	// counting the time between from and to.
	IsSteady(agent int, server int32, from, to time.Duration) bool
}

// Violation is a sample that violates a guarantee.
type Violation struct {
	Sample
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, generation %d: %s", b.At, b.Agent, b.Generation, b.Reason)
}

// maxViolations is the maximum number of stored violations; Count includes all.
const maxViolations = 20

// Settings are the limits and tolerances of the checks.
type Settings struct {
	MaxMoveRate  float64       // maximum unneeded moves, as a fraction of the keys per second
	MaxMoveBurst time.Duration // time for which unused MaxMoveRate accumulates
	OwedValidity time.Duration // time for which the keys of lost servers may be replaced
	SampleError  float64       // tolerated sampling error, as a fraction of the keys
}

// Judge checks the samples of one fleet.
type Judge struct {
	// Violations are the first violations, at most 20; Count is the number of all.
	Violations []Violation
	Count      int
	// Moved is the total of key moves by agent, as a fraction of all keys. Needed is the part of it that moved
	// from lost servers.
	Moved, Needed map[int]float64
	// SamplesBehind counts the samples with a lease by their distance to the newest generation in use: 0, 1,
	// and 2 or more generations.
	SamplesBehind [3]int

	settings       Settings
	truth          Truth
	agents         map[int]*agentState
	newest         uint64 // newest generation that an agent with a lease has used
	firstUsedAt    map[uint64]time.Duration
	countsByOwners map[*Owners][]keyCount
	windows        []*plannedWindow
}

type agentState struct {
	last        Sample
	running     bool // whether the process of last still runs
	recentMoves []recentMove
}

// recentMove is the fraction of the keys that an agent moved at one time, and the part that moved from lost
// servers.
type recentMove struct {
	at            time.Duration
	moved, needed float64
}

// New returns a Judge.
func New(settings Settings, truth Truth) *Judge {
	return &Judge{
		settings: settings, truth: truth, Moved: map[int]float64{}, Needed: map[int]float64{},
		agents: map[int]*agentState{}, firstUsedAt: map[uint64]time.Duration{},
		countsByOwners: map[*Owners][]keyCount{},
	}
}

// ProcessEnded records that the process of agent n has ended.
func (j *Judge) ProcessEnded(n int) {
	if a := j.agents[n]; a != nil {
		a.running = false
	}
}

// AddSample checks a sample.
func (j *Judge) AddSample(s Sample) {
	a := j.agents[s.Agent]
	if a == nil {
		a = &agentState{}
		j.agents[s.Agent] = a
	}
	before, wasRunning := a.last, a.running
	a.last, a.running = s, true
	if _, known := j.firstUsedAt[s.Generation]; !known {
		j.firstUsedAt[s.Generation] = s.At
	}
	if s.HasLease {
		j.checkGeneration(s)
	}
	if wasRunning && s.Owners != before.Owners {
		j.checkMoves(a, before, s)
	}
	j.checkServers(s)
	j.checkWindows(s)
}

// checkGeneration checks that the generations in use at agents with a lease differ by at most one: once an
// agent has used a generation, no agent uses one older than its predecessor. This must be true in true time,
// whatever the clocks show.
func (j *Judge) checkGeneration(s Sample) {
	j.newest = max(j.newest, s.Generation)
	behind := j.newest - s.Generation
	j.SamplesBehind[min(behind, 2)]++
	if behind > 1 {
		j.addViolation(s, fmt.Sprintf("generation %d is already in use", j.newest))
	}
}

func (j *Judge) addViolation(s Sample, reason string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{s, reason})
	}
}
