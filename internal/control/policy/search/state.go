package search

import (
	"bytes"

	"dunestep/internal/control/policy"
)

// leaseGrant is a lease of an agent: the second at which it was requested, and the number of records that the
// agent must have applied to use it.
type leaseGrant struct{ requestedAt, coveredRecords int8 }

// agent is the state of an agent. Its policy.Agent is never modified: a step works on a fork. The fingerprint
// distinguishes it from others that have applied the same records.
type agent struct {
	applied, incarnation, grantCount int8
	grants                           [maxGrants]leaseGrant
	fingerprint                      uint64
	agent                            *policy.Agent
}

// voter is the state of a voter. Its components are never modified, like those of an agent.
type voter struct {
	applied                          int8
	fingerprint, proposerFingerprint uint64
	voter                            *policy.Voter
	proposer                         *policy.Proposer
}

// logPosition is a position in a log, with the state after its records. A record that does not change the
// state adds no position, and a report replaces the position before it.
type logPosition struct {
	id           uint16
	depth        int8
	before       *logPosition
	stateMachine *policy.StateMachine
	open         bool
	status       policy.ProposalStatus
	next         map[*proposal]*logPosition
}

// proposal is a proposed record. There is one proposal for each encoding.
type proposal struct {
	id                              uint16
	data                            []byte
	isPromiseReport, isPostponement bool
}

// systemState is a state of the whole system. It has no pointers to mutable data, so a copy is independent.
type systemState struct {
	log                 *logPosition // last position
	pendingPostponement *proposal    // last proposed postponement, which may still be agreed
	agents              [agentCount]agent
	voters              [maxVoters]voter
	now                 int8
	recordsOneSecondAgo int8 // number of records a second ago
	newestActedOn       int8 // newest version that an agent has acted on
	grants, restarts    int8
	postponements       int8
}

// initialState returns a state in which the change has just been proposed. Each agent holds a lease from each
// voter; age is the age of these leases by voter, in seconds.
func (s *search) initialState(age [maxVoters]int) systemState {
	state := systemState{
		grants: int8(s.setup.Grants), restarts: int8(s.setup.Restarts),
		postponements: int8(s.setup.Postponements), log: s.emptyLog,
	}
	for v := range s.voterNumbers {
		initial := voter{
			voter:    policy.NewVoter(v, s.voterTimes(), reading(-100)),
			proposer: policy.NewProposer(v, s.proposerTimes()),
		}
		initial.proposer.SetVoters(reading(-100), s.voterNumbers, 1)
		s.learn(&initial, s.emptyLog, 0)
		for i := range state.agents {
			initial.voter.AllowLease(reading(-age[v]), i, 0, nil)
		}
		s.updateFingerprints(&initial, 0)
		state.voters[v] = initial
	}
	for i := range state.agents {
		holder := s.newAgent(i, s.emptyLog, 0)
		for v := range s.voterNumbers {
			holder.grants[holder.grantCount] = leaseGrant{requestedAt: int8(-age[v])}
			holder.grantCount++
		}
		state.agents[i] = holder
	}
	data, err := policy.EncodeProposal(policy.Proposal{
		ID: "change", Now: reading(0).Unix, EffectiveAt: reading(2).Unix,
		Document: []byte("format = 1\n[classes.find]\nattempts = 3\n"),
	})
	if err != nil {
		panic(err) // the document is a constant
	}
	state.log = s.appendRecord(state.log, s.proposal(data))
	return state
}

// proposal returns the proposal of a record. The search must be locked, as for all calls of components.
func (s *search) proposal(data []byte) *proposal {
	p := s.proposals[string(data)]
	if p == nil {
		p = &proposal{
			id: uint16(len(s.proposals) + 1), data: data, isPromiseReport: policy.IsPromiseReport(data),
			isPostponement: policy.IsPostponement(data),
		}
		s.proposals[string(data)] = p
	}
	return p
}

// appendRecord returns the position after a record is appended at a position. The position of a report
// replaces the one before it.
func (s *search) appendRecord(last *logPosition, p *proposal) *logPosition {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := policy.NewStateMachine()
	if err := m.Restore(last.stateMachine.Snapshot()); err != nil {
		panic(err) // the snapshot is of the same build
	}
	m.Apply(uint64(last.depth+1), p.data)
	if next = last; !bytes.Equal(m.Snapshot(), last.stateMachine.Snapshot()) {
		s.positionCount++
		next = &logPosition{
			id: s.positionCount, depth: last.depth + 1, before: last, stateMachine: m,
			open:   m.State().OpenChange != nil,
			status: m.Outcome("change").Status,
		}
		if p.isPromiseReport {
			next.depth, next.before = last.depth, last.before
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
