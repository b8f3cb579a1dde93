package search

import (
	"hash/maphash"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// proposerTimes returns the times of proposers, which some disabled protections shorten.
func (s *search) proposerTimes() policy.Times {
	t := times
	switch s.setup.Without {
	case "prepare":
		t.Terms.Duration, t.Terms.MaxKnowledgeAge = 1, 1
	case "fence":
		t.Terms.Duration, t.Terms.MaxKnowledgeAge = time.Second/2, time.Second/2
	}
	return t
}

// voterTimes returns the times of voters, which a disabled protection shortens.
func (s *search) voterTimes() policy.Times {
	t := times
	if s.setup.Without == "outstanding" {
		t.Terms.Duration = 1
	}
	return t
}

// newAgent returns an agent whose process has just started with the records up to a position.
func (s *search) newAgent(i int, p *logPosition, incarnation int8) agent {
	attempts := 3
	if s.setup.RejectingAgent && i == 0 {
		attempts = 2
	}
	a := policy.NewAgent(localSettings(attempts), times)
	a.Learn(p.stateMachine)
	return agent{applied: p.depth, incarnation: incarnation, agent: a, fingerprint: s.agentFingerprint(a)}
}

func (s *search) agentFingerprint(a *policy.Agent) uint64 {
	return maphash.Bytes(s.seed, a.Fingerprint(nil))
}

// learn updates the components of a voter with the agreed state at a position.
func (s *search) learn(v *voter, p *logPosition, now int) {
	v.applied = p.depth
	v.voter.Learn(p.stateMachine)
	v.proposer.Learn(reading(now), p.stateMachine, localAnswer(p.stateMachine))
	s.updateFingerprints(v, now)
}

// updateFingerprints sets the fingerprints of a voter for a second.
func (s *search) updateFingerprints(v *voter, now int) {
	v.fingerprint = maphash.Bytes(s.seed, v.voter.Fingerprint(reading(now), nil))
	v.proposerFingerprint = maphash.Bytes(s.seed, v.proposer.Fingerprint(reading(now), nil))
}

// fork returns an independent copy of the voter.
func (v voter) fork() voter {
	v.voter, v.proposer = v.voter.Fork(), v.proposer.Fork()
	return v
}

// localAnswer returns the accepting answer of the agent in a voter's process, or nil if no change is open.
// The model has no other use for that agent.
func localAnswer(m *policy.StateMachine) []byte {
	if open := m.State().OpenChange; open != nil {
		return policy.Answer{Version: open.Number}.Encode()
	}
	return nil
}

// restartVoter returns voter i just after a restart, with the records up to a position.
func (s *search) restartVoter(i int, p *logPosition, now int) voter {
	startedAt := reading(now)
	if s.setup.Without == "begin" {
		startedAt = reading(-100)
	}
	v := voter{
		proposer: policy.NewProposer(i, s.proposerTimes()),
		voter:    policy.NewVoter(i, s.voterTimes(), startedAt),
	}
	v.proposer.SetVoters(reading(now), s.voterNumbers, 1)
	s.learn(&v, p, now)
	return v
}

// due returns the records that a voter proposes: as the leader if kind is voterLeads, and its report
// otherwise.
func (s *search) due(v voter, now int, kind stepKind) (all []*proposal) {
	v = v.fork()
	var records [][]byte
	if kind == voterLeads {
		records, _ = v.proposer.Due(reading(now))
	} else {
		records, _ = v.voter.Due(reading(now))
	}
	for _, r := range records {
		all = append(all, s.proposal(r))
	}
	return all
}

// voterReply is the result of an agent's answer or lease request at a voter.
type voterReply struct {
	voter   voter // after the message
	granted bool  // the lease was granted
	changed bool  // the voter's fingerprint changed
}

// requestLease returns the result of an agent's lease request at a voter.
func (s *search) requestLease(v voter, p *logPosition, i int, a agent, now int) (reply voterReply) {
	v = v.fork()
	note := a.agent.EncodedAnswer()
	if open := p.stateMachine.State().OpenChange; s.setup.Without == "decline" && open != nil {
		note = policy.Answer{Version: open.Number}.Encode()
	}
	reply.granted = v.voter.AllowLease(reading(now), i, uint64(a.incarnation), note)
	s.updateFingerprints(&v, now)
	reply.voter = v
	return reply
}

// receiveAnswer returns the result of an agent's answer at a voter.
func (s *search) receiveAnswer(v voter, i int, a agent, now int) (reply voterReply) {
	before := v.fingerprint
	v = v.fork()
	v.voter.AnswerReceived(i, uint64(a.incarnation), a.agent.EncodedAnswer())
	s.updateFingerprints(&v, now)
	reply.voter, reply.changed = v, v.fingerprint != before
	return reply
}

// decision is what an agent acts on, and the agent after the decision.
type decision struct {
	mode    policy.Mode
	version int8
	after   agent
}

// decide returns an agent's decision under a lease of a standing.
func (s *search) decide(a agent, now int, standing lease.Standing) (d decision) {
	a.agent = a.agent.Fork()
	active := a.agent.Active(reading(now), standing)
	if s.setup.Without == "promise" && active.Mode == policy.ModeFloor && a.agent.IsUsable() {
		active.Mode = policy.ModeFull
	}
	a.fingerprint = s.agentFingerprint(a.agent)
	return decision{active.Mode, int8(active.Version), a}
}

// changeCompletes reports whether a voter that leads without further faults activates or abandons the change.
func (s *search) changeCompletes(v voter, p *logPosition, now int) bool {
	v = v.fork()
	s.learn(&v, p, now)
	now += leaseSeconds + knowledgeSeconds + 1
	for range 3 {
		records, _ := v.proposer.Due(reading(now))
		v.proposer.ResetRetries()
		for _, r := range records {
			p = s.appendRecord(p, s.proposal(r))
		}
		s.learn(&v, p, now)
		now++
	}
	return !p.open
}
