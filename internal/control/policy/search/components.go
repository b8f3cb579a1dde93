package search

import (
	"hash/maphash"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

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

func (s *search) voterTimes() policy.Times {
	t := times
	if s.setup.Without == "outstanding" {
		t.Terms.Duration = 1
	}
	return t
}

// newAgent is an agent whose process has just started.
func (s *search) newAgent(i int, p *logPosition, incarnation int8) agent {
	attempts := 3
	if s.setup.RejectingAgent && i == 0 {
		attempts = 2
	}
	a := policy.NewAgent(localSettings(attempts), times)
	a.Learn(p.stateMachine)
	return agent{known: p.depth, incarnation: incarnation, agent: a, fingerprint: s.agentFingerprint(a)}
}

func (s *search) agentFingerprint(a *policy.Agent) uint64 {
	return maphash.Bytes(s.seed, a.Fingerprint(nil))
}

// learn has the parts of a voter learn the agreed state.
func (s *search) learn(v *voter, p *logPosition, now int) {
	v.known = p.depth
	v.voter.Learn(p.stateMachine)
	v.proposer.Learn(reading(now), p.stateMachine, answer(p.stateMachine))
	s.updateFingerprints(v, now)
}

func (s *search) updateFingerprints(v *voter, now int) {
	v.fingerprint = maphash.Bytes(s.seed, v.voter.Fingerprint(reading(now), nil))
	v.proposerFingerprint = maphash.Bytes(s.seed, v.proposer.Fingerprint(reading(now), nil))
}

func (v voter) fork() voter {
	v.voter, v.proposer = v.voter.Fork(), v.proposer.Fork()
	return v
}

// answer is that of the agent in a voter's process, which plays no other part here.
func answer(m *policy.StateMachine) []byte {
	if open := m.State().OpenChange; open != nil {
		return policy.Answer{Version: open.Number}.Encode()
	}
	return nil
}

// restartVoter is a voter whose process has just started.
func (s *search) restartVoter(i int, p *logPosition, now int) voter {
	begin := reading(now)
	if s.setup.Without == "begin" {
		begin = reading(-100)
	}
	v := voter{
		proposer: policy.NewProposer(i, s.proposerTimes()),
		voter:    policy.NewVoter(i, s.voterTimes(), begin),
	}
	v.proposer.SetVoters(reading(now), s.voterNumbers, 1)
	s.learn(&v, p, now)
	return v
}

// due is what a voter proposes: as the leader where kind is voterLeads, else its report.
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

// voterReply is a voter after an agent's answer or request for a lease.
type voterReply struct {
	voter   voter
	granted bool
	changed bool
}

// requestLease has an agent request a lease of a voter.
func (s *search) requestLease(v voter, p *logPosition, i int, a agent, now int) (h voterReply) {
	v = v.fork()
	note := a.agent.EncodedAnswer()
	if open := p.stateMachine.State().OpenChange; s.setup.Without == "decline" && open != nil {
		note = policy.Answer{Version: open.Number}.Encode()
	}
	h.granted = v.voter.AllowLease(reading(now), i, uint64(a.incarnation), note)
	s.updateFingerprints(&v, now)
	h.voter = v
	return h
}

// receiveAnswer has a voter receive an agent's answer.
func (s *search) receiveAnswer(v voter, i int, a agent, now int) (h voterReply) {
	before := v.fingerprint
	v = v.fork()
	v.voter.AnswerReceived(i, uint64(a.incarnation), a.agent.EncodedAnswer())
	s.updateFingerprints(&v, now)
	h.voter, h.changed = v, v.fingerprint != before
	return h
}

// decision is what an agent acts on, and the agent after it.
type decision struct {
	mode    policy.Mode
	version int8
	after   agent
}

// decide has an agent make a decision.
func (s *search) decide(a agent, now int, standing lease.Standing) (d decision) {
	a.agent = a.agent.Fork()
	act := a.agent.Active(reading(now), standing)
	if s.setup.Without == "promise" && act.Mode == policy.ModeFloor && a.agent.IsUsable() {
		act.Mode = policy.ModeFull
	}
	a.fingerprint = s.agentFingerprint(a.agent)
	return decision{act.Mode, int8(act.Version), a}
}

// comesToAnEnd has nothing else go wrong, and tells whether the change comes to an end then.
func (s *search) comesToAnEnd(v voter, p *logPosition, now int) bool {
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
