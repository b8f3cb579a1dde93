package search

import (
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/modelcheck"
)

// Setup configures a search. Zero values select the smallest system.
type Setup struct {
	Voters         int    // 2 or 3; zero: 2
	Seconds        int    // time after the proposal of the change
	Postponements  int    // maximum number of postponements of the change
	Grants         int    // maximum number of leases granted after the proposal
	Restarts       int    // maximum number of process restarts
	RejectingAgent bool   // one of the agents cannot use the document
	Without        string // disabled protection, one of Protections; empty: none
	Workers        int    // zero: one
	Exhaustive     bool   // distinguishes states also by what no longer has an effect
}

// Protections returns the protections that can be disabled. Package lab describes them.
func Protections() []string {
	return []string{"promise", "prepare", "fence", "outstanding", "begin", "decline"}
}

// Result is the result of a search.
type Result struct {
	States    int
	Distinct  int      // states of an exhaustive search that differ in what still has an effect
	Violation string   // empty: none found
	Steps     []string // steps that lead to the violation
	Accepted  int      // number of states in which the change was activated
	Rejected  int      // number of states in which the change was abandoned
}

const (
	maxVoters, agentCount, maxGrants = 3, 2, 8
	leaseSeconds, knowledgeSeconds   = 3, 1
	// stepLength is the duration of one second of the model. It is slightly longer to allow for clock drift.
	stepLength = time.Second + 10*time.Microsecond
)

// times are the times of all components, unless a protection is disabled. They are not modified.
var times = policy.Times{ActivationLead: time.Second / 2, Terms: lease.Terms{
	Duration:        leaseSeconds * time.Second,
	MaxKnowledgeAge: knowledgeSeconds * time.Second, MaxPause: time.Hour,
	MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}}

// reading returns the reading of all clocks at a second.
func reading(s int) lease.ClockReading {
	return lease.ClockReading{Unix: time.Duration(1000+s) * stepLength, Mono: time.Duration(1000+s) * stepLength}
}

// search is the state that all workers share.
type search struct {
	setup        Setup
	voterNumbers []int
	seed         maphash.Seed
	seen         *modelcheck.StateSet
	distinct     *modelcheck.StateSet // of an exhaustive search

	sync.Mutex    // guards the fields up to result, and all calls of components
	emptyLog      *logPosition
	positionCount uint16
	proposals     map[string]*proposal
	result        Result

	violated           atomic.Bool
	accepted, rejected atomic.Int64
}

// localSettings returns local settings that permit a number of attempts.
func localSettings(attempts int) policy.LocalSettings {
	return policy.LocalSettings{Settings: balancer.Settings{
		Classes: []balancer.Class{{Name: "find"}},
		Limits:  balancer.Limits{MaxAttempts: attempts},
	}}
}

// Run explores all steps from all reachable states, until a violation is found. It panics if the setup is too
// large.
func Run(setup Setup) Result {
	if setup.Voters == 0 {
		setup.Voters = 2
	}
	if setup.Voters > maxVoters || setup.Voters+setup.Grants > maxGrants {
		panic(fmt.Sprintf("%+v: too many voters or leases", setup))
	}
	s := &search{
		setup: setup, voterNumbers: []int{0, 1, 2}[:setup.Voters], seed: maphash.MakeSeed(),
		seen:     modelcheck.NewStateSet(),
		distinct: modelcheck.NewStateSet(), proposals: map[string]*proposal{},
		emptyLog: &logPosition{stateMachine: policy.NewStateMachine()},
	}
	var initialJobs []job
	for _, age := range [][maxVoters]int{{0, 0, 0}, {0, 2, 1}, {1, 1, 2}, {2, 1, 0}} {
		initialJobs = append(initialJobs, job{state: s.initialState(age)})
	}
	modelcheck.Run(setup.Workers, initialJobs, func(jobs *modelcheck.JobQueue[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.state)
		}
	})
	s.result.States, s.result.Distinct = s.seen.Count(), s.distinct.Count()
	s.result.Accepted, s.result.Rejected = int(s.accepted.Load()), int(s.rejected.Load())
	return s.result
}

// addViolation stores the first violation, and makes all workers stop.
func (s *search) addViolation(text string, steps []step) {
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
