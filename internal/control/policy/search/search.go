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

// Setup is a search. A zero value stands for the least.
type Setup struct {
	Voters         int    // two or three; zero: two
	Seconds        int    // that pass after the change is proposed
	Postponements  int    // of the change, at most
	Grants         int    // of leases after that, at most
	Restarts       int    // of processes, at most
	RejectingAgent bool   // one of the agents cannot use the document
	Without        string // a protection that is removed: one of Protections; empty: none
	Workers        int    // zero: one
	Exhaustive     bool   // without leaving out what has no effect any more: for comparison
}

// Protections are those that can be removed; package lab explains them.
func Protections() []string {
	return []string{"promise", "prepare", "fence", "outstanding", "begin", "decline"}
}

// Result is the result of a search.
type Result struct {
	States    int
	Distinct  int      // of an exhaustive search: those that differ in what has an effect
	Violation string   // empty: none
	Steps     []string // that lead to it
	Accepted  int      // states in which the change was activated
	Rejected  int      // in which it was abandoned
}

const (
	maxVoters, agents, maxGrants   = 3, 2, 8
	leaseSeconds, knowledgeSeconds = 3, 1
	// second is how long a step of time takes: a little longer, for the clocks' drift.
	second = time.Second + 10*time.Microsecond
)

// times are those of all parts, unless a protection is removed; nobody changes them.
var times = policy.Times{ActivationLead: time.Second / 2, Terms: lease.Terms{
	Duration:        leaseSeconds * time.Second,
	MaxKnowledgeAge: knowledgeSeconds * time.Second, MaxPause: time.Hour,
	MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}}

// reading is what all clocks show at a second.
func reading(s int) lease.ClockReading {
	return lease.ClockReading{Unix: time.Duration(1000+s) * second, Mono: time.Duration(1000+s) * second}
}

// search is what all workers share.
type search struct {
	setup        Setup
	voterNumbers []int // of the voters
	seed         maphash.Seed
	seen         *modelcheck.StateSet
	distinct     *modelcheck.StateSet // of an exhaustive search

	sync.Mutex    // guards the fields up to result, and all calls of parts
	emptyLog      *logPosition
	positionCount uint16
	proposals     map[string]*proposal
	result        Result

	violated           atomic.Bool
	accepted, rejected atomic.Int64
}

// localSettings permit a number of attempts.
func localSettings(attempts int) policy.LocalSettings {
	return policy.LocalSettings{Settings: balancer.Settings{
		Classes: []balancer.Class{{Name: "find"}},
		Limits:  balancer.Limits{MaxAttempts: attempts},
	}}
}

// Run tries all steps in all states. It panics where Setup is too large.
func Run(set Setup) Result {
	if set.Voters == 0 {
		set.Voters = 2
	}
	if set.Voters > maxVoters || set.Voters+set.Grants > maxGrants {
		panic(fmt.Sprintf("%+v: there is no room for so many voters and leases", set))
	}
	s := &search{
		setup: set, voterNumbers: []int{0, 1, 2}[:set.Voters], seed: maphash.MakeSeed(),
		seen:     modelcheck.NewStateSet(),
		distinct: modelcheck.NewStateSet(), proposals: map[string]*proposal{},
		emptyLog: &logPosition{stateMachine: policy.NewStateMachine()},
	}
	var began []job
	for _, age := range [][maxVoters]int{{0, 0, 0}, {0, 2, 1}, {1, 1, 2}, {2, 1, 0}} {
		began = append(began, job{world: s.initialWorld(age)})
	}
	modelcheck.Run(set.Workers, began, func(jobs *modelcheck.JobQueue[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.world)
		}
	})
	s.result.States, s.result.Distinct = s.seen.Count(), s.distinct.Count()
	s.result.Accepted, s.result.Rejected = int(s.accepted.Load()), int(s.rejected.Load())
	return s.result
}

// addViolation notes a violation. All workers end then.
func (s *search) addViolation(text string, steps []step) {
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
