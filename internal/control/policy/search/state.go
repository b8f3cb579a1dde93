package search

import (
	"bytes"

	"dunestep/internal/control/policy"
)

// leaseGrant is a lease of an agent: when it was requested, in seconds, and how many records it covers.
type leaseGrant struct{ requestedAt, covers int8 }

// agent is an agent's part. Parts are never changed: a step works on a fork. The fingerprint distinguishes it
// from others that have learnt the same records.
type agent struct {
	known, incarnation, grantCount int8
	grants                         [maxGrants]leaseGrant
	fingerprint                    uint64
	agent                          *policy.Agent
}

type voter struct {
	known                            int8
	fingerprint, proposerFingerprint uint64
	voter                            *policy.Voter
	proposer                         *policy.Proposer
}

// logPosition is a position in a log, with the state there. Records that change nothing are left out, and a
// report replaces the position that it is about.
type logPosition struct {
	id           uint16
	depth        int8
	before       *logPosition
	stateMachine *policy.StateMachine
	open         bool
	status       policy.ProposalStatus
	next         map[*proposal]*logPosition
}

// proposal is a record; the same bytes are the same one.
type proposal struct {
	id                              uint16
	data                            []byte
	isPromiseReport, isPostponement bool
}

// world is a state. It has no pointers to what changes: a copy of it is independent.
type world struct {
	log              *logPosition // its last position
	pending          *proposal    // the last postponement that was proposed; it is agreed late, or never
	agents           [agents]agent
	voters           [maxVoters]voter
	now              int8
	knownASecondAgo  int8 // how many records there were a second ago
	newestActedOn    int8 // the newest version that an agent has acted on
	grants, restarts int8
	postponements    int8
}

// initialWorld is a world in which each agent holds leases of all voters, of some age in seconds at each, and
// the change has just been proposed.
func (s *search) initialWorld(age [maxVoters]int) world {
	w := world{
		grants: int8(s.setup.Grants), restarts: int8(s.setup.Restarts),
		postponements: int8(s.setup.Postponements), log: s.emptyLog,
	}
	for v := range s.voterNumbers {
		n := voter{
			voter:    policy.NewVoter(v, s.voterTimes(), reading(-100)),
			proposer: policy.NewProposer(v, s.proposerTimes()),
		}
		n.proposer.SetVoters(reading(-100), s.voterNumbers, 1)
		s.learn(&n, s.emptyLog, 0)
		for i := range w.agents {
			n.voter.AllowLease(reading(-age[v]), i, 0, nil)
		}
		s.updateFingerprints(&n, 0)
		w.voters[v] = n
	}
	for i := range w.agents {
		a := s.newAgent(i, s.emptyLog, 0)
		for v := range s.voterNumbers {
			a.grants[a.grantCount] = leaseGrant{requestedAt: int8(-age[v])}
			a.grantCount++
		}
		w.agents[i] = a
	}
	data, err := policy.EncodeProposal(policy.Proposal{
		ID: "change", Now: reading(0).Unix, EffectiveAt: reading(2).Unix,
		Document: []byte("format = 1\n[classes.find]\nattempts = 3\n"),
	})
	if err != nil {
		panic(err) // the document is a constant
	}
	w.log = s.appendRecord(w.log, s.proposal(data))
	return w
}

// proposal is the proposal of a record. The search is locked, here and in all calls of parts.
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

// appendRecord adds a record to the log. The state of a report replaces the one that it is about.
func (s *search) appendRecord(last *logPosition, p *proposal) *logPosition {
	next := last.next[p]
	if next != nil {
		return next
	}
	m := policy.NewStateMachine()
	if err := m.Restore(last.stateMachine.Snapshot()); err != nil {
		panic(err) // it is the same build's
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

// at is the position after a number of records.
func (p *logPosition) at(depth int8) *logPosition {
	for p.depth > depth {
		p = p.before
	}
	return p
}
