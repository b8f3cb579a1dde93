// Package search tries all that can happen to one window in a small world: voters, any of which may lead at
// any moment, agents, and time that passes in whole steps. In each state everything is tried that is
// possible there: a record is learnt, a lease asked for and granted, the leader sees trouble or none and
// has what it proposes agreed at once, late or never, a voter ends and begins anew. What is not done is
// what is lost or late; an agent that does nothing is one that stands still, and it sends a request in each
// state in which it may. Machine, agent and council are package window's; leases are reduced to the rules
// by which package lease grants and counts them, what agents have when it begins to all that these allow.
//
// What a part does is asked of it once, and remembered by each worker: a part is known by its fingerprint and
// what it has learnt. States are told apart by hashes. Voters, and agents, that have changed places are the
// same.
package search

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"slices"
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
	Grants         int // how many leases are granted, at each agent
	Troubles       int // how many times a leader sees trouble
	Restarts       int // of voters
	Without        string
	Workers        int  // zero: one
	Whole          bool // without leaving out what cannot matter any more: for comparison
}

// Protections can be taken out: see package lab's.
var Protections = []string{"notice", "own clock", "fence", "linger", "turns", "early return", "begin"}

// Found is what a search has come to.
type Found struct {
	States    int
	Apart     int      // of a whole search: those that are told apart where what can't matter is left out
	Violation string   // empty: none
	Steps     []string // that lead to it
	Free      int      // states in which the window is free
}

// Times are steps.
const (
	length, heard, floor = 4, 1, 9 // of leases, and of those who had one
	lingers, margin      = 3, 1
	notice               = 17
	from, drained        = 1, 3
	back, to             = 13, 15
	end                  = to + 1
	most                 = length + heard + lingers // longer ages mean the same

	step = 12*time.Second + 100*time.Microsecond // longer than counts are summed, and than clocks are off
)

var terms = lease.Terms{
	Duration: length * 12 * time.Second, MaxKnowledgeAge: heard * 12 * time.Second, MaxPause: time.Hour,
	MaxClockError: time.Nanosecond, MaxDrift: 1e-6,
}

func reading(s int) lease.ClockReading {
	at := 1798459200*time.Second + time.Duration(s)*step
	return lease.ClockReading{Unix: at, Mono: at}
}

// most voters, agents and leases at one of them that there is room for.
const mostVoters, mostAgents, mostGrants = 3, 2, 4

// grant is a lease, as its agent has it.
type grant struct{ asked, covers int8 }

type agent struct {
	known  int8
	last   int8 // when it acted on a lease last
	left   int8 // grants that may come
	count  int8
	grants [mostGrants]grant
}

// voter is one's council, which is never changed: what it would do is tried on a fork. Sums tell it from
// others
// that have learnt the same.
type voter struct {
	known   int8
	sums    sums
	council *maintenance.Proposer
}

type sums [maintenance.FingerprintDetails]uint64

// place is one in a log, with the state there. Records that change nothing are left out.
type place struct {
	id      uint16
	depth   int8
	before  *place
	machine *maintenance.StateMachine
	state   maintenance.State
	next    map[*proposal]*place
	part    *maintenance.Agent // of one that has learnt so far
}

// proposal is a record, the same one for the same bytes.
type proposal struct {
	id    uint16
	data  []byte
	frees bool
}

// world is small, and has nothing of its own: a copy goes its own way.
type world struct {
	log                *place // the last in it
	pending            *proposal
	agents             [mostAgents]agent
	voters             [mostVoters]voter
	now                int8
	before             int8 // how many records there were a step ago
	sent               int8 // when a request was sent to the node last
	troubles, restarts int8
}

// search is what all workers share.
type search struct {
	set    Setup
	seed   maphash.Seed
	seen   *modelcheck.States
	apart  *modelcheck.States // of a whole search
	acting [policy.ModeFull + 1]policy.Active
	began  []job

	sync.Mutex // of what follows, and of all parts that are asked what they do
	root       *place
	places     uint16
	proposals  map[string]*proposal
	found      Found

	broken atomic.Bool
	free   atomic.Int64
}

const never = -100

// Run tries all.
func Run(set Setup) Found {
	if set.Voters > mostVoters || set.Agents > mostAgents || set.Grants >= mostGrants {
		panic(fmt.Sprintf("%+v: there is no room for so many", set))
	}
	s := &search{
		set: set, seed: maphash.MakeSeed(), proposals: map[string]*proposal{},
		seen: modelcheck.NewStates(), apart: modelcheck.NewStates(),
	}
	s.root = &place{machine: maintenance.NewStateMachine(func() uint64 { return 1 })}
	always, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 1,
		MaxLengthMin: 600, MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	if err != nil {
		panic(err) // of constants
	}
	effect := &policy.Effect{Contracts: map[string]*contract.Contract{"east": always}}
	s.acting = [...]policy.Active{
		policy.ModeBottom: {Effect: &policy.Effect{}},
		policy.ModeFloor:  {Mode: policy.ModeFloor, Version: 1, Effect: effect},
		policy.ModeFull:   {Mode: policy.ModeFull, Version: 1, Effect: effect},
	}
	s.begin(nil)
	modelcheck.Run(set.Workers, s.began, func(jobs *modelcheck.Jobs[job]) func(job) {
		k := newWorker(s, jobs)
		return func(j job) {
			k.steps = j.steps
			k.visit(&j.w)
		}
	})
	s.found.States, s.found.Apart = s.seen.Count(), s.apart.Count()
	s.found.Free = int(s.free.Load())
	return s.found
}

// asked is when the window was accepted and noted.
func (s *search) asked() int {
	if s.set.Without == "notice" {
		return from - 1
	}
	return from - notice
}

// begin plays from all that agents can have when the window is about to begin: each has held its last lease
// at any time, or none, and knows the window if a lease of its covers it.
func (s *search) begin(agents []agent) {
	if len(agents) < s.set.Agents {
		left := int8(s.set.Grants)
		for last := s.asked() - 1; last <= 0; last++ {
			s.begin(append(slices.Clone(agents), agent{last: int8(last), left: left}))
			if last >= s.asked() {
				s.begin(append(slices.Clone(agents), agent{last: int8(last), left: left, known: 2}))
			}
		}
		s.begin(append(slices.Clone(agents), agent{last: never, left: left}))
		return
	}
	if w, can := s.first(agents); can {
		s.began = append(s.began, job{w: w})
	}
}

// first is a world in which the window was asked for and noted.
func (s *search) first(agents []agent) (w world, can bool) {
	w = world{log: s.root, sent: never, troubles: int8(s.set.Troubles), restarts: int8(s.set.Restarts)}
	at := reading(s.asked())
	data, err := maintenance.EncodeProposal(maintenance.Proposal{
		Now: at.Unix, PolicyVersion: 1, MinNotice: reading(from).Unix - at.Unix,
		Window: &maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, Steps: 2,
			From: reading(from).Unix, DrainedAt: reading(drained).Unix, ReturnFrom: reading(back).Unix,
			To: reading(to).Unix,
		},
	})
	if err != nil {
		panic(err) // of constants
	}
	w.log = s.agree(w.log, s.proposal(data))
	council := maintenance.NewProposer(s.council())
	council.Learn(at, w.log.machine)
	led := s.leads(council, s.asked(), false)
	for _, p := range led.records {
		w.log = s.agree(w.log, p)
	}
	w.before = w.log.depth
	for i, a := range agents {
		// A lease that it acted on for its last time was asked for up to so long before, by a voter that knew all
		// up to a step before that.
		if covered := int(a.last)-length+1-heard > s.asked(); covered && a.known == 0 {
			return w, false // another one
		}
		if a.last == 0 {
			a.count, a.grants[0] = 1, grant{asked: 0, covers: a.known}
			if a.known == 0 {
				a.grants[0].asked = int8(s.asked())
			}
		}
		w.agents[i] = a
	}
	for i := range s.set.Voters {
		w.voters[i] = s.learns(maintenance.NewProposer(s.council()), w.log, s.asked(), 0)
	}
	if s.set.Voters > 0 {
		w.voters[0] = s.learns(led.council, w.log, s.asked(), 0)
	}
	return w, true
}

// council has the settings of each voter's.
func (s *search) council() maintenance.ProposerSettings {
	set := maintenance.ProposerSettings{
		Times: policy.Times{Terms: terms}, MaxInFlight: lingers * 12 * time.Second,
		ClockMargin: margin * 12 * time.Second,
	}
	switch s.set.Without {
	case "linger":
		set.MaxInFlight = 1
	case "fence":
		set.Times.Terms.Duration, set.Times.Terms.MaxKnowledgeAge = 1, 1
	}
	return set
}

// proposal is the one of a record. The search is locked, here and in what follows up to part.
func (s *search) proposal(data []byte) *proposal {
	p := s.proposals[string(data)]
	if p == nil {
		p = &proposal{id: uint16(len(s.proposals) + 1), data: data, frees: maintenance.IsTrafficFreeRecord(data)}
		s.proposals[string(data)] = p
	}
	return p
}

// agree adds a record to the log.
func (s *search) agree(last *place, p *proposal) *place {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := maintenance.NewStateMachine(func() uint64 { return 1 })
	if err := m.Restore(last.machine.Snapshot()); err != nil {
		panic(err) // of its own
	}
	m.Apply(uint64(last.depth+1), p.data)
	if next = last; !bytes.Equal(m.Snapshot(), last.machine.Snapshot()) {
		s.places++
		next = &place{
			id: s.places, depth: last.depth + 1, before: last, machine: m,
			state: m.Windows()[0].State, part: s.part(m),
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

// learns has a council learn what is agreed, at a time, and be looked at later.
func (s *search) learns(c *maintenance.Proposer, p *place, now, later int) voter {
	c = c.Fork()
	c.Learn(reading(now), p.machine)
	return voter{known: p.depth, sums: s.sums(c, later), council: c}
}

func (s *search) sums(c *maintenance.Proposer, now int) (all sums) {
	for d := range all {
		fingerprint := c.Fingerprint(reading(now), most*step, maintenance.FingerprintDetail(d), nil)
		all[d] = maphash.Bytes(s.seed, fingerprint)
	}
	return all
}

// led is what comes of a look.
type led struct {
	council *maintenance.Proposer
	sums    sums
	changed bool // the council itself
	records []*proposal
}

// leads has a council look, and propose.
func (s *search) leads(c *maintenance.Proposer, at int, trouble bool) (l led) {
	c, now := c.Fork(), reading(at)
	was := s.sums(c, at)
	count := maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 100}
	if trouble {
		count.Served, count.Failed = 50, 50
	}
	c.SetReports(now, []maintenance.TenantCounts{count})
	records, _ := c.Due(now, func() maintenance.LeaderView {
		return maintenance.LeaderView{
			Standing: lease.Full, Active: s.acting[policy.ModeFull], InForce: 1,
			Servers: []maintenance.Server{{ID: "n", Capacity: 1}, {ID: "m", Capacity: 9}},
		}
	})
	c.ResetRetries()
	l.council, l.sums = c, s.sums(c, at)
	l.changed = l.sums != was
	for _, r := range records {
		l.records = append(l.records, s.proposal(r))
	}
	return l
}

func (s *search) part(m *maintenance.StateMachine) *maintenance.Agent {
	turns := 1 // each server has its turn: the window is in it
	if s.set.Without == "turns" {
		turns = 0
	}
	a := maintenance.NewAgent(turns)
	a.Learn(m)
	return a
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
