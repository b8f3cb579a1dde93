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

// Setup configures a search.
type Setup struct {
	Voters, Agents int
	Grants         int    // maximum number of leases granted to each agent
	Faults         int    // maximum number of faults that leaders observe
	Restarts       int    // maximum number of voter restarts
	Without        string // disabled protection, one of Protections; empty: none
	Workers        int    // zero: one
	Exhaustive     bool   // distinguishes states also by what no longer has an effect
}

// Protections returns the protections that can be disabled. Package lab describes them.
func Protections() []string {
	return []string{"notice", "own clock", "fence", "linger", "turns", "early return", "begin"}
}

// Result is the result of a search.
type Result struct {
	States    int
	Distinct  int      // states of an exhaustive search that differ in what still has an effect
	Violation string   // empty: none found
	Steps     []string // steps that lead to the violation
	Free      int      // number of states in which the window is free
}

// Times in steps of stepLength.
const (
	leaseLength, knowledgeAge = 4, 1
	floorValidity             = 9 // after the last decision with a lease
	maxInFlight, clockMargin  = 3, 1
	minNotice                 = 17
	windowFrom, windowDrained = 1, 3
	returnFrom, windowTo      = 13, 15
	lastStep                  = windowTo + 1
	maxAge                    = leaseLength + knowledgeAge + maxInFlight // maximum age that makes a difference
)

// stepLength is longer than maintenance.SumPeriod and the clock error.
const stepLength = 12*time.Second + 100*time.Microsecond

// terms are the lease terms of all components, unless a protection is disabled. They are not modified.
var terms = lease.Terms{
	Duration: leaseLength * 12 * time.Second, MaxKnowledgeAge: knowledgeAge * 12 * time.Second,
	MaxPause: time.Hour, MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}

// reading returns the reading of all clocks at a step.
func reading(s int) lease.ClockReading {
	at := 1798459200*time.Second + time.Duration(s)*stepLength
	return lease.ClockReading{Unix: at, Mono: at}
}

// maxVoters, maxAgents and maxGrants limit the size of a state.
const maxVoters, maxAgents, maxGrants = 3, 2, 4

// search is the state that all workers share.
type search struct {
	setup       Setup
	seed        maphash.Seed
	seen        *modelcheck.StateSet
	distinct    *modelcheck.StateSet // of an exhaustive search
	active      [policy.ModeFull + 1]policy.Active
	initialJobs []job

	sync.Mutex    // guards the fields up to result, and all calls of components
	emptyLog      *logPosition
	positionCount uint16
	proposals     map[string]*proposal
	result        Result

	violated atomic.Bool
	free     atomic.Int64
}

// Run explores all steps from all reachable states, until a violation is found. It panics if the setup is too
// large.
func Run(setup Setup) Result {
	if setup.Voters > maxVoters || setup.Agents > maxAgents || setup.Grants >= maxGrants {
		panic(fmt.Sprintf("%+v: too many voters, agents or leases", setup))
	}
	s := &search{
		setup: setup, seed: maphash.MakeSeed(), proposals: map[string]*proposal{},
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
	modelcheck.Run(setup.Workers, s.initialJobs, func(jobs *modelcheck.JobQueue[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.state)
		}
	})
	s.result.States, s.result.Distinct = s.seen.Count(), s.distinct.Count()
	s.result.Free = int(s.free.Load())
	return s.result
}

// addViolation stores the first violation, and makes all workers stop.
func (s *search) addViolation(text string, steps []takenStep) {
	s.Lock()
	defer s.Unlock()
	if s.violated.Swap(true) {
		return
	}
	s.result.Violation = text
	for _, taken := range steps {
		s.result.Steps = append(s.result.Steps, taken.String())
	}
}
