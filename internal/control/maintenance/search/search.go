package search

import (
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/modelcheck"
)

// Setup is a search.
type Setup struct {
	Voters, Agents int
	Grants         int    // of leases, at most, at each agent
	Faults         int    // that leaders see, at most
	Restarts       int    // of voters, at most
	Without        string // a protection that is removed: one of Protections; empty: none
	Workers        int    // zero: one
	Exhaustive     bool   // without leaving out what has no effect any more: for comparison
}

// Protections are those that can be removed; package lab explains them.
func Protections() []string {
	return []string{"notice", "own clock", "fence", "linger", "turns", "early return", "begin"}
}

// Result is the result of a search.
type Result struct {
	States    int
	Distinct  int      // of an exhaustive search: those that differ in what has an effect
	Violation string   // empty: none
	Steps     []string // that lead to it
	Free      int      // states in which the window is free
}

// Times in steps.
const (
	leaseLength, knowledgeAge = 4, 1 // of leases
	floorValidity             = 9    // after the last lease
	maxInFlight, clockMargin  = 3, 1
	minNotice                 = 17
	windowFrom, windowDrained = 1, 3
	returnFrom, windowTo      = 13, 15
	lastStep                  = windowTo + 1
	maxAge                    = leaseLength + knowledgeAge + maxInFlight // greater ages make no difference
)

// stepLength is longer than counts are summed up, and than clocks are off.
const stepLength = 12*time.Second + 100*time.Microsecond

// terms are those of all parts, unless a protection is removed; nobody changes them.
var terms = lease.Terms{
	Duration: leaseLength * 12 * time.Second, MaxKnowledgeAge: knowledgeAge * 12 * time.Second,
	MaxPause: time.Hour, MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}

// reading is what all clocks show at a step.
func reading(s int) lease.ClockReading {
	at := 1798459200*time.Second + time.Duration(s)*stepLength
	return lease.ClockReading{Unix: at, Mono: at}
}

// maxVoters, maxAgents and maxGrants are what a world has room for.
const maxVoters, maxAgents, maxGrants = 3, 2, 4

// search is what all workers share.
type search struct {
	setup       Setup
	seed        maphash.Seed
	seen        *modelcheck.StateSet
	distinct    *modelcheck.StateSet // of an exhaustive search
	active      [policy.ModeFull + 1]policy.Active
	initialJobs []job

	sync.Mutex    // guards the fields up to result, and all calls of parts
	emptyLog      *logPosition
	positionCount uint16
	proposals     map[string]*proposal
	result        Result

	violated atomic.Bool
	free     atomic.Int64
}

// Run tries all steps in all states. It panics where Setup is too large.
func Run(set Setup) Result {
	if set.Voters > maxVoters || set.Agents > maxAgents || set.Grants >= maxGrants {
		panic(fmt.Sprintf("%+v: there is no room for so many voters, agents and leases", set))
	}
	s := &search{
		setup: set, seed: maphash.MakeSeed(), proposals: map[string]*proposal{},
		seen: modelcheck.NewStateSet(), distinct: modelcheck.NewStateSet(),
	}
	s.emptyLog = &logPosition{stateMachine: maintenance.NewStateMachine(func() uint64 { return 1 })}
	always, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 1,
		MaxLengthMin: 600, MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	if err != nil {
		panic(err) // the values are constants
	}
	effect := &policy.Effect{Contracts: map[string]*contract.Contract{"east": always}}
	s.active = [...]policy.Active{
		policy.ModeBottom: {Effect: &policy.Effect{}},
		policy.ModeFloor:  {Mode: policy.ModeFloor, Version: 1, Effect: effect},
		policy.ModeFull:   {Mode: policy.ModeFull, Version: 1, Effect: effect},
	}
	s.addInitialJobs(nil)
	modelcheck.Run(set.Workers, s.initialJobs, func(jobs *modelcheck.JobQueue[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.world)
		}
	})
	s.result.States, s.result.Distinct = s.seen.Count(), s.distinct.Count()
	s.result.Free = int(s.free.Load())
	return s.result
}

// addViolation notes a violation. All workers end then.
func (s *search) addViolation(text string, steps []takenStep) {
	s.Lock()
	defer s.Unlock()
	if s.violated.Swap(true) {
		return
	}
	s.result.Violation = text
	for _, t := range steps {
		s.result.Steps = append(s.result.Steps, t.String())
	}
}
