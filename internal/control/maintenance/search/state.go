package search

import (
	"bytes"
	"slices"

	"dunestep/internal/control/maintenance"
)

// leaseGrant is a lease of an agent: when it was requested, and how many records it covers.
type leaseGrant struct{ requestedAt, covers int8 }

// agent is what an agent knows, and its leases.
type agent struct {
	known      int8
	lastLeased int8 // when it acted on a lease last
	grantsLeft int8 // grants that may come
	grantCount int8
	grants     [maxGrants]leaseGrant
}

// voter is a voter's proposer. It is never changed: a step works on a fork. The fingerprints distinguish it
// from others that have learnt the same records.
type voter struct {
	known        int8
	fingerprints fingerprints
	proposer     *maintenance.Proposer
}

// fingerprints are those of all details.
type fingerprints [maintenance.FingerprintDetails]uint64

// logPosition is a position in a log, with the state there. Records that change nothing are left out.
type logPosition struct {
	id           uint16
	depth        int8
	before       *logPosition
	stateMachine *maintenance.StateMachine
	state        maintenance.State
	next         map[*proposal]*logPosition
	agent        *maintenance.Agent // of one that has learnt so far
}

// proposal is a record; the same bytes are the same one.
type proposal struct {
	id           uint16
	data         []byte
	declaresFree bool
}

// world is a state. It has no pointers to what changes: a copy of it is independent.
type world struct {
	log              *logPosition // the last in it
	pending          *proposal
	agents           [maxAgents]agent
	voters           [maxVoters]voter
	now              int8
	knownAStepAgo    int8 // how many records there were a step ago
	lastSent         int8 // when a request was sent to the node last
	faults, restarts int8
}

// never is a step at which nothing has happened.
const never = -100

// proposedAt is when the window was accepted and confirmed.
func (s *search) proposedAt() int {
	if s.setup.Without == "notice" {
		return windowFrom - 1
	}
	return windowFrom - minNotice
}

// addInitialJobs adds all states that agents can be in as the window is about to begin: each has had its last
// lease at any time, or none, and knows the window if one of its leases covers it.
func (s *search) addInitialJobs(agents []agent) {
	if len(agents) < s.setup.Agents {
		left := int8(s.setup.Grants)
		for last := s.proposedAt() - 1; last <= 0; last++ {
			s.addInitialJobs(append(slices.Clone(agents), agent{lastLeased: int8(last), grantsLeft: left}))
			if last >= s.proposedAt() {
				s.addInitialJobs(append(slices.Clone(agents), agent{lastLeased: int8(last), grantsLeft: left, known: 2}))
			}
		}
		s.addInitialJobs(append(slices.Clone(agents), agent{lastLeased: never, grantsLeft: left}))
		return
	}
	if w, can := s.initialWorld(agents); can {
		s.initialJobs = append(s.initialJobs, job{world: w})
	}
}

// initialWorld is a world in which the window was accepted and confirmed; false: the agents cannot be so.
func (s *search) initialWorld(agents []agent) (w world, can bool) {
	w = world{log: s.emptyLog, lastSent: never, faults: int8(s.setup.Faults), restarts: int8(s.setup.Restarts)}
	at := reading(s.proposedAt())
	data, err := maintenance.EncodeProposal(maintenance.Proposal{
		Now: at.Unix, PolicyVersion: 1, MinNotice: reading(windowFrom).Unix - at.Unix,
		Window: &maintenance.Window{
			ID: "w", Nodes: []string{"n"}, Tenants: []string{"east"}, Steps: 2,
			From: reading(windowFrom).Unix, DrainedAt: reading(windowDrained).Unix,
			ReturnFrom: reading(returnFrom).Unix,
			To:         reading(windowTo).Unix,
		},
	})
	if err != nil {
		panic(err) // the values are constants
	}
	w.log = s.appendRecord(w.log, s.proposal(data))
	proposer := maintenance.NewProposer(s.proposerSettings())
	proposer.Learn(at, w.log.stateMachine)
	result := s.lead(proposer, s.proposedAt(), voterLeads)
	for _, p := range result.records {
		w.log = s.appendRecord(w.log, p)
	}
	w.knownAStepAgo = w.log.depth
	for i, a := range agents {
		// A lease that it acted on for its last time was asked for up to so long before, by a voter that knew all
		// up to a step before that.
		if covered := int(a.lastLeased)-leaseLength+1-knowledgeAge > s.proposedAt(); covered && a.known == 0 {
			return w, false // another of the initial worlds
		}
		if a.lastLeased == 0 {
			a.grantCount, a.grants[0] = 1, leaseGrant{requestedAt: 0, covers: a.known}
			if a.known == 0 {
				a.grants[0].requestedAt = int8(s.proposedAt())
			}
		}
		w.agents[i] = a
	}
	for i := range s.setup.Voters {
		w.voters[i] = s.learn(maintenance.NewProposer(s.proposerSettings()), w.log, s.proposedAt(), 0)
	}
	if s.setup.Voters > 0 {
		w.voters[0] = s.learn(result.proposer, w.log, s.proposedAt(), 0)
	}
	return w, true
}

// proposal is the proposal of a record. The search is locked, here and in all calls of parts.
func (s *search) proposal(data []byte) *proposal {
	p := s.proposals[string(data)]
	if p == nil {
		p = &proposal{
			id: uint16(len(s.proposals) + 1), data: data,
			declaresFree: maintenance.IsTrafficFreeRecord(data),
		}
		s.proposals[string(data)] = p
	}
	return p
}

// appendRecord adds a record to the log.
func (s *search) appendRecord(last *logPosition, p *proposal) *logPosition {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := maintenance.NewStateMachine(func() uint64 { return 1 })
	if err := m.Restore(last.stateMachine.Snapshot()); err != nil {
		panic(err) // it is the same build's
	}
	m.Apply(uint64(last.depth+1), p.data)
	if next = last; !bytes.Equal(m.Snapshot(), last.stateMachine.Snapshot()) {
		s.positionCount++
		next = &logPosition{
			id: s.positionCount, depth: last.depth + 1, before: last, stateMachine: m,
			state: m.Windows()[0].State, agent: s.agentAt(m),
		}
	}
	if last.next == nil {
		last.next = map[*proposal]*logPosition{}
	}
	last.next[p] = next
	return next
}

// at is the position after a number of records.
func (p *logPosition) at(depth int8) *logPosition {
	for p.depth > depth {
		p = p.before
	}
	return p
}
