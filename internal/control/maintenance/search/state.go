package search

import (
	"bytes"
	"slices"

	"dunestep/internal/control/maintenance"
)

// leaseGrant is a lease of an agent: the step at which it was requested, and the number of records that the
// agent must have applied to use it.
type leaseGrant struct{ requestedAt, coveredRecords int8 }

// agent is the state of an agent.
type agent struct {
	applied     int8 // number of records applied
	lastLeaseAt int8 // time of its last decision with a lease
	grantsLeft  int8 // number of further leases that it may be granted
	grantCount  int8
	grants      [maxGrants]leaseGrant
}

// voter is the state of a voter. Its proposer is never modified: a step works on a fork. The fingerprints
// distinguish it from others that have applied the same records.
type voter struct {
	applied      int8
	fingerprints fingerprints
	proposer     *maintenance.Proposer
}

// fingerprints are the fingerprints of a proposer by detail.
type fingerprints [maintenance.DetailCount]uint64

// logPosition is a position in a log, with the state after its records. A record that does not change the
// state adds no position.
type logPosition struct {
	id           uint16
	depth        int8
	before       *logPosition
	stateMachine *maintenance.StateMachine
	state        maintenance.State
	next         map[*proposal]*logPosition
	agent        *maintenance.Agent // an agent that has applied the records
}

// proposal is a proposed record. There is one proposal for each encoding.
type proposal struct {
	id           uint16
	data         []byte
	declaresFree bool
}

// systemState is a state of the whole system. It has no pointers to mutable data, so a copy is independent.
type systemState struct {
	log               *logPosition // last position
	pendingFree       *proposal    // record that declares the servers free, which may still be agreed
	agents            [maxAgents]agent
	voters            [maxVoters]voter
	now               int8
	recordsOneStepAgo int8 // number of records a step ago
	lastSentAt        int8 // time of the last request to the window's server
	faults, restarts  int8
}

// never is a time before all events.
const never = -100

// proposedAt returns the time at which the window is accepted and confirmed.
func (s *search) proposedAt() int {
	if s.setup.Without == "notice" {
		return windowFrom - 1
	}
	return windowFrom - minNotice
}

// addInitialJobs adds jobs for all possible states just before the window starts, given the first agents. For
// each other agent it tries all times of its last lease, including never. An agent knows the window if one of
// its leases covers it.
func (s *search) addInitialJobs(agents []agent) {
	if len(agents) < s.setup.Agents {
		left := int8(s.setup.Grants)
		for last := s.proposedAt() - 1; last <= 0; last++ {
			s.addInitialJobs(append(slices.Clone(agents), agent{lastLeaseAt: int8(last), grantsLeft: left}))
			if last >= s.proposedAt() {
				s.addInitialJobs(append(slices.Clone(agents),
					agent{lastLeaseAt: int8(last), grantsLeft: left, applied: 2}))
			}
		}
		s.addInitialJobs(append(slices.Clone(agents), agent{lastLeaseAt: never, grantsLeft: left}))
		return
	}
	if state, isPossible := s.initialState(agents); isPossible {
		s.initialJobs = append(s.initialJobs, job{state: state})
	}
}

// initialState returns a state in which the window was accepted and confirmed. It returns false if the
// agents cannot be in these states.
func (s *search) initialState(agents []agent) (state systemState, isPossible bool) {
	state = systemState{
		log: s.emptyLog, lastSentAt: never, faults: int8(s.setup.Faults), restarts: int8(s.setup.Restarts),
	}
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
	state.log = s.appendRecord(state.log, s.proposal(data))
	proposer := maintenance.NewProposer(s.proposerSettings())
	proposer.Learn(at, state.log.stateMachine)
	result := s.runAsLeader(proposer, s.proposedAt(), voterLeads)
	for _, p := range result.records {
		state.log = s.appendRecord(state.log, p)
	}
	state.recordsOneStepAgo = state.log.depth
	for i, a := range agents {
		// The lease of its last decision was requested up to leaseLength-1 steps before, and granted by a voter
		// that had applied all records up to knowledgeAge steps before the request.
		if covered := int(a.lastLeaseAt)-leaseLength+1-knowledgeAge > s.proposedAt(); covered && a.applied == 0 {
			return state, false // covered by another initial state
		}
		if a.lastLeaseAt == 0 {
			a.grantCount, a.grants[0] = 1, leaseGrant{requestedAt: 0, coveredRecords: a.applied}
			if a.applied == 0 {
				a.grants[0].requestedAt = int8(s.proposedAt())
			}
		}
		state.agents[i] = a
	}
	for i := range s.setup.Voters {
		state.voters[i] = s.learn(maintenance.NewProposer(s.proposerSettings()), state.log, s.proposedAt(), 0)
	}
	if s.setup.Voters > 0 {
		state.voters[0] = s.learn(result.proposer, state.log, s.proposedAt(), 0)
	}
	return state, true
}

// proposal returns the proposal of a record. The search must be locked, as for all calls of components.
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

// appendRecord returns the position after a record is appended at a position.
func (s *search) appendRecord(last *logPosition, p *proposal) *logPosition {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := maintenance.NewStateMachine(func() uint64 { return 1 })
	if err := m.Restore(last.stateMachine.Snapshot()); err != nil {
		panic(err) // the snapshot is of the same build
	}
	m.Apply(uint64(last.depth+1), p.data)
	if next = last; !bytes.Equal(m.Snapshot(), last.stateMachine.Snapshot()) {
		s.positionCount++
		next = &logPosition{
			id: s.positionCount, depth: last.depth + 1, before: last, stateMachine: m,
			state: m.Windows()[0].State, agent: s.newAgentAt(m),
		}
	}
	if last.next == nil {
		last.next = map[*proposal]*logPosition{}
	}
	last.next[p] = next
	return next
}

// at returns the position after a number of records.
func (p *logPosition) at(depth int8) *logPosition {
	for p.depth > depth {
		p = p.before
	}
	return p
}
