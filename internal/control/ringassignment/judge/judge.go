// Package judge checks from the outside whether a fleet's ring is what package ringassignment promises: from
// who owned which keys at which agent, when, and which servers were really there. It knows nothing of how the
// agents agreed.
//
// It reads no clock and does no input or output; all times are true times that the caller passes. Its types
// are not safe for concurrent use.
package judge

import (
	"fmt"
	"time"
)

// NoOwner owns a key that no server owns.
const NoOwner = -1

// Owners are, by key, the number of the server that owns it, or NoOwner. They are not to be changed.
type Owners []int32

// Sample is what an agent uses at a time. Samples are passed in the order of their times.
type Sample struct {
	At         time.Duration
	Agent      int
	HasLease   bool
	Generation uint64  // zero: none
	Owners     *Owners // the same pointer while nothing changes
}

// Truth is what servers really are at a time.
type Truth interface {
	// IsReady tells whether the server runs and accepts requests.
	IsReady(server int32) bool
	// IsKnownGone tells whether the agent has known, for longer than it may take to act on it, that the server
	// drains or is gone.
	IsKnownGone(agent int, server int32) bool
	// Capacity is the server's when warm.
	Capacity(server int32) float64
	// SlowStartFraction is the fraction of it that slow start permits, as far as the leader could know that as
	// it made a generation that was first used at a time.
	SlowStartFraction(server int32, made time.Duration) float64
	// IsSteady tells whether the server has been there and warm for a minute, by the agent's list too, apart
	// from the time between two moments.
	IsSteady(agent int, server int32, from, to time.Duration) bool
}

// Violation is a sample that should not have been.
type Violation struct {
	Sample
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, generation %d: %s", b.At, b.Agent, b.Generation, b.Reason)
}

// maxViolations is how many violations are kept; all are counted.
const maxViolations = 20

// Settings are what the promises are checked with.
type Settings struct {
	MaxMoveRate  float64       // fraction of the keys that may move in a second without need
	MaxMoveBurst time.Duration // for how long unused MaxMoveRate adds up
	OwedValidity time.Duration // how long the keys of lost servers may be made up for
	SampleError  float64       // fraction of the keys by which samples may be off
}

// Judge checks the samples of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// Moved are the fractions of all keys that each agent has moved in all, and Needed those of them whose
	// server was lost.
	Moved, Needed map[int]float64
	// Behind counts samples with a lease by how many generations they are behind the newest that was used.
	Behind [3]int

	settings       Settings
	truth          Truth
	agents         map[int]*agent
	newest         uint64 // that an agent with a lease has used
	firstUsedAt    map[uint64]time.Duration
	countsByOwners map[*Owners][]keyCount
	windows        []*plannedWindow
}

type agent struct {
	last        Sample
	running     bool // and last is valid
	recentMoves []recentMove
}

// recentMove is which fractions of the keys an agent moved at a time, and moved with need.
type recentMove struct {
	at            time.Duration
	moved, needed float64
}

// New returns a Judge.
func New(settings Settings, truth Truth) *Judge {
	return &Judge{
		settings: settings, truth: truth, Moved: map[int]float64{}, Needed: map[int]float64{},
		agents: map[int]*agent{}, firstUsedAt: map[uint64]time.Duration{},
		countsByOwners: map[*Owners][]keyCount{},
	}
}

// ProcessEnded takes that an agent's process has ended.
func (j *Judge) ProcessEnded(n int) {
	if a := j.agents[n]; a != nil {
		a.running = false
	}
}

// AddSample checks a sample.
func (j *Judge) AddSample(s Sample) {
	a := j.agents[s.Agent]
	if a == nil {
		a = &agent{}
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

// checkGeneration: after an agent with a lease has used a generation, no agent with a lease uses one that is
// older than the one before. That holds in true time, whatever clocks show.
func (j *Judge) checkGeneration(s Sample) {
	j.newest = max(j.newest, s.Generation)
	behind := j.newest - s.Generation
	j.Behind[min(behind, 2)]++
	if behind > 1 {
		j.addViolation(s, fmt.Sprintf("generation %d was in use before", j.newest))
	}
}

func (j *Judge) addViolation(s Sample, reason string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{s, reason})
	}
}
