// Package search tries all that can happen to one change of policy in a small world: two voters or three, any
// of which may lead at any moment, two agents, and time that passes in whole seconds. In each state every
// step
// is tried that is possible there: a record is learnt, a lease asked for and granted, a note heard, a report
// or a decision proposed, agreed on or lost, a process ended and begun anew. What is not done is what is lost
// or late, and an agent that does nothing is one that stands still. Parts are those of package policy itself;
// leases are reduced to the rules by which package lease grants and counts them.
//
// What a part does is asked of it once, and remembered by each worker: a part is known by its fingerprint and
// what it has learnt. States are told apart by hashes.
package search

import (
	"bytes"
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

// Setup is a search.
type Setup struct {
	Voters   int  // two or three; zero: two
	Seconds  int  // for how long, after the change is proposed
	Later    int  // how many times it is put off
	Grants   int  // how many leases are granted after that
	Restarts int  // how many processes end, and begin anew
	Odd      bool // one of the agents cannot use the document
	Without  string
	Workers  int  // zero: one
	Whole    bool // without leaving out what cannot matter any more: for comparison
}

// Protections can be taken out: see package lab's.
var Protections = []string{"promise", "prepare", "fence", "outstanding", "begin", "decline"}

// Found is what a search has come to.
type Found struct {
	States    int
	Apart     int      // of a whole search: those that are told apart where what can't matter is left out
	Violation string   // empty: none
	Steps     []string // that lead to it
	Accepted  int      // states in which the change is activated
	Rejected  int      // and abandoned
}

const (
	mostVoters, agents, mostGrants = 3, 2, 8
	length, heard                  = 3, 1 // seconds
	second                         = time.Second + 10*time.Microsecond
)

var times = policy.Times{ActivationLead: time.Second / 2, Terms: lease.Terms{
	Duration:        length * time.Second,
	MaxKnowledgeAge: heard * time.Second, MaxPause: time.Hour, MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}}

func reading(s int) lease.ClockReading {
	return lease.ClockReading{Unix: time.Duration(1000+s) * second, Mono: time.Duration(1000+s) * second}
}

// grant is a lease, as its agent has it.
type grant struct{ asked, covers int8 }

// agent is one's part, which is never changed, nor is a voter's: what it would do is tried on a fork. Sum
// tells
// it from others that have learnt the same.
type agent struct {
	known, life, count int8
	grants             [mostGrants]grant
	sum                uint64
	part               *policy.Agent
}

type voter struct {
	known         int8
	sum, councils uint64
	part          *policy.Voter
	council       *policy.Proposer
}

// place is one in a log, with the state there. Records that change nothing are left out, and a report takes
// the
// place of what it is about.
type place struct {
	id      uint16
	depth   int8
	before  *place
	machine *policy.StateMachine
	open    bool
	end     policy.ProposalStatus
	next    map[*proposal]*place
}

// proposal is a record, the same one for the same bytes.
type proposal struct {
	id                 uint16
	data               []byte
	reports, postpones bool
}

// world is small, and has nothing of its own: a copy goes its own way.
type world struct {
	log              *place    // the last in it: after no record, one, two
	pending          *proposal // the last postponement that was proposed; agreed on late, or never
	agents           [agents]agent
	voters           [mostVoters]voter
	now              int8
	before           int8 // how many records there were a second ago
	acted            int8 // the newest version that an agent has acted on
	grants, restarts int8
	later            int8
}

// search is what all workers share.
type search struct {
	set   Setup
	all   []int // voters
	seed  maphash.Seed
	seen  *modelcheck.States
	apart *modelcheck.States // of a whole search

	sync.Mutex // of what follows, and of all parts that are asked what they do
	root       *place
	places     uint16
	proposals  map[string]*proposal
	found      Found

	broken          atomic.Bool
	taken, notTaken atomic.Int64
}

func own(attempts int) policy.LocalSettings {
	return policy.LocalSettings{Settings: balancer.Settings{
		Classes: []balancer.Class{{Name: "find"}},
		Limits:  balancer.Limits{MaxAttempts: attempts},
	}}
}

// Run tries all.
func Run(set Setup) Found {
	if set.Voters == 0 {
		set.Voters = 2
	}
	if set.Voters > mostVoters || set.Voters+set.Grants > mostGrants {
		panic(fmt.Sprintf("%+v: there is no room for so many", set))
	}
	s := &search{
		set: set, all: []int{0, 1, 2}[:set.Voters], seed: maphash.MakeSeed(), seen: modelcheck.NewStates(),
		apart: modelcheck.NewStates(), proposals: map[string]*proposal{},
		root: &place{machine: policy.NewStateMachine()},
	}
	var began []job
	for _, age := range [][mostVoters]int{{0, 0, 0}, {0, 2, 1}, {1, 1, 2}, {2, 1, 0}} {
		began = append(began, job{w: s.begin(age)})
	}
	modelcheck.Run(set.Workers, began, func(jobs *modelcheck.Jobs[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.w)
		}
	})
	s.found.States, s.found.Apart = s.seen.Count(), s.apart.Count()
	s.found.Accepted, s.found.Rejected = int(s.taken.Load()), int(s.notTaken.Load())
	return s.found
}

// begin is a world in which each agent holds leases of all voters, so many seconds old at each, and the
// change
// has just been proposed.
func (s *search) begin(age [mostVoters]int) world {
	w := world{grants: int8(s.set.Grants), restarts: int8(s.set.Restarts), later: int8(s.set.Later), log: s.root}
	for v := range s.all {
		n := voter{
			part:    policy.NewVoter(v, s.voterTimes(), reading(-100)),
			council: policy.NewProposer(v, s.councilTimes()),
		}
		n.council.SetVoters(reading(-100), s.all, 1)
		s.learns(&n, s.root, 0)
		for i := range w.agents {
			n.part.AllowLease(reading(-age[v]), i, 0, nil)
		}
		s.sums(&n, 0)
		w.voters[v] = n
	}
	for i := range w.agents {
		a := s.newAgent(i, s.root, 0)
		for v := range s.all {
			a.grants[a.count] = grant{asked: int8(-age[v])}
			a.count++
		}
		w.agents[i] = a
	}
	data, err := policy.EncodeProposal(policy.Proposal{
		ID: "change", Now: reading(0).Unix, EffectiveAt: reading(2).Unix,
		Document: []byte("format = 1\n[classes.find]\nattempts = 3\n"),
	})
	if err != nil {
		panic(err) // of constants
	}
	w.log = s.agree(w.log, s.proposal(data))
	return w
}

func (s *search) councilTimes() policy.Times {
	t := times
	switch s.set.Without {
	case "prepare":
		t.Terms.Duration, t.Terms.MaxKnowledgeAge = 1, 1
	case "fence":
		t.Terms.Duration, t.Terms.MaxKnowledgeAge = time.Second/2, time.Second/2
	}
	return t
}

func (s *search) voterTimes() policy.Times {
	t := times
	if s.set.Without == "outstanding" {
		t.Terms.Duration = 1
	}
	return t
}

// proposal is the one of a record. The search is locked, here and in what follows up to ends.
func (s *search) proposal(data []byte) *proposal {
	p := s.proposals[string(data)]
	if p == nil {
		p = &proposal{
			id: uint16(len(s.proposals) + 1), data: data, reports: policy.IsPromiseReport(data),
			postpones: policy.IsPostponement(data),
		}
		s.proposals[string(data)] = p
	}
	return p
}

// agree adds a record to the log. What a report is about keeps its place, with the report.
func (s *search) agree(last *place, p *proposal) *place {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := policy.NewStateMachine()
	if err := m.Restore(last.machine.Snapshot()); err != nil {
		panic(err) // of its own
	}
	m.Apply(uint64(last.depth+1), p.data)
	if next = last; !bytes.Equal(m.Snapshot(), last.machine.Snapshot()) {
		s.places++
		next = &place{
			id: s.places, depth: last.depth + 1, before: last, machine: m, open: m.State().OpenChange != nil,
			end: m.Outcome("change").Status,
		}
		if p.reports {
			next.depth, next.before = last.depth, last.before
		}
	}
	if last.next == nil {
		last.next = map[*proposal]*place{}
	}
	last.next[p] = next
	return next
}

// up is the place after so many records.
func (p *place) up(depth int8) *place {
	for p.depth > depth {
		p = p.before
	}
	return p
}

func (s *search) newAgent(i int, p *place, life int8) agent {
	tries := 3
	if s.set.Odd && i == 0 {
		tries = 2
	}
	a := policy.NewAgent(own(tries), times)
	a.Learn(p.machine)
	return agent{known: p.depth, life: life, part: a, sum: s.agentSum(a)}
}

func (s *search) agentSum(a *policy.Agent) uint64 { return maphash.Bytes(s.seed, a.Fingerprint(nil)) }

// learns has a voter's own parts learn what is agreed.
func (s *search) learns(v *voter, p *place, now int) {
	v.known = p.depth
	v.part.Learn(p.machine)
	v.council.Learn(reading(now), p.machine, answer(p.machine))
	s.sums(v, now)
}

func (s *search) sums(v *voter, now int) {
	v.sum = maphash.Bytes(s.seed, v.part.Fingerprint(reading(now), nil))
	v.councils = maphash.Bytes(s.seed, v.council.Fingerprint(reading(now), nil))
}

func (v voter) fork() voter {
	v.part, v.council = v.part.Fork(), v.council.Fork()
	return v
}

// answer is that of the agent in a voter's process, which takes no other part here.
func answer(m *policy.StateMachine) []byte {
	if open := m.State().OpenChange; open != nil {
		return policy.Answer{Version: open.Number}.Encode()
	}
	return nil
}

func (s *search) beginsAnew(i int, p *place, now int) voter {
	begin := reading(now)
	if s.set.Without == "begin" {
		begin = reading(-100)
	}
	v := voter{council: policy.NewProposer(i, s.councilTimes()), part: policy.NewVoter(i, s.voterTimes(), begin)}
	v.council.SetVoters(reading(now), s.all, 1)
	s.learns(&v, p, now)
	return v
}

// due are what a voter's own parts propose: its report, or as a leader.
func (s *search) due(v voter, now int, leads bool) (all []*proposal) {
	v = v.fork()
	var records [][]byte
	if leads {
		records, _ = v.council.Due(reading(now))
	} else {
		records, _ = v.part.Due(reading(now))
	}
	for _, r := range records {
		all = append(all, s.proposal(r))
	}
	return all
}

// hears is what comes of a voter that hears an agent, or is asked for a lease.
type hears struct {
	voter   voter
	granted bool
	changed bool
}

// asked has a voter be asked by an agent for a lease.
func (s *search) asked(v voter, p *place, i int, a agent, now int) (h hears) {
	v = v.fork()
	note := a.part.EncodedAnswer()
	if open := p.machine.State().OpenChange; s.set.Without == "decline" && open != nil {
		note = policy.Answer{Version: open.Number}.Encode()
	}
	h.granted = v.part.AllowLease(reading(now), i, uint64(a.life), note)
	s.sums(&v, now)
	h.voter = v
	return h
}

func (s *search) hears(v voter, i int, a agent, now int) (h hears) {
	was := v.sum
	v = v.fork()
	v.part.AnswerReceived(i, uint64(a.life), a.part.EncodedAnswer())
	s.sums(&v, now)
	h.voter, h.changed = v, v.sum != was
	return h
}

// decided is how an agent acts.
type decided struct {
	how     policy.Mode
	version int8
	after   agent
}

func (s *search) decides(a agent, now int, standing lease.Standing) (d decided) {
	a.part = a.part.Fork()
	act := a.part.Active(reading(now), standing)
	if s.set.Without == "promise" && act.Mode == policy.ModeFloor && a.part.IsUsable() {
		act.Mode = policy.ModeFull
	}
	a.sum = s.agentSum(a.part)
	return decided{act.Mode, int8(act.Version), a}
}

// ends has the rest go well: it tells whether the change has come to an end then.
func (s *search) ends(v voter, p *place, now int) bool {
	v = v.fork()
	s.learns(&v, p, now)
	now += length + heard + 1
	for range 3 {
		records, _ := v.council.Due(reading(now))
		v.council.ResetRetries()
		for _, r := range records {
			p = s.agree(p, s.proposal(r))
		}
		s.learns(&v, p, now)
		now++
	}
	return !p.open
}

// breach notes what is wrong. All end.
func (s *search) breach(text string, steps []taken) {
	s.Lock()
	defer s.Unlock()
	if s.broken.Swap(true) {
		return
	}
	s.found.Violation = text
	for _, t := range steps {
		s.found.Steps = append(s.found.Steps, t.String())
	}
}
