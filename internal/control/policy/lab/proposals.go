package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet/lease"
)

// proposal is a change that is proposed at a node, and repeated until its outcome is known there.
type proposal struct {
	node   int
	id     string
	data   []byte
	status policy.ProposalStatus
}

// Propose proposes a change at a node, and repeats it every 500 ms until its outcome is known there.
func (l *Lab) Propose(n int, document string) {
	state := l.node(n).replica.StateMachine.State()
	p := &proposal{node: n, id: fmt.Sprint("change ", len(l.proposals))}
	now := l.UnixTime(n)
	data, err := policy.EncodeProposal(policy.Proposal{
		ID: p.id, Agent: n, BaseVersion: state.InForce.Number, Now: now,
		EffectiveAt: now + l.setup.LeadTime, Document: []byte(document),
	})
	if err != nil {
		panic(err) // the lab's documents are valid
	}
	p.data = data
	l.proposals = append(l.proposals, p)
	l.retryProposal(p)
}

// retryProposal submits a proposal unless its outcome is known, and schedules the next retry.
func (l *Lab) retryProposal(p *proposal) {
	p.status = l.node(p.node).replica.StateMachine.Outcome(p.id).Status
	if p.status != policy.StatusUnknown {
		return
	}
	if l.node(p.node).incarnation > 0 && !l.IsPaused(p.node) {
		l.submit(p.node, p.data)
	}
	l.At(l.Now()+500*time.Millisecond, func() { l.retryProposal(p) })
}

// CountUnknownOutcomes returns the number of proposals whose outcome is not in the agreed log.
func (l *Lab) CountUnknownOutcomes() (n int) {
	for _, p := range l.proposals {
		if l.reference.Outcome(p.id).Status == policy.StatusUnknown {
			n++
		}
	}
	return n
}

// Decide makes a decision at each agent that is running and not paused.
func (l *Lab) Decide() {
	for i, a := range l.agents {
		if a.incarnation > 0 && !l.IsPaused(a.number) {
			l.decide(i, a)
		}
	}
}

// decide makes a decision at an agent, and passes it to the judge.
func (l *Lab) decide(i int, a *agent) {
	now := l.reading(a.number)
	standing := a.holder.Standing(now)
	active := a.replica.Agent.Active(now, standing)
	if l.OnDecision != nil {
		l.OnDecision(i, now, standing, active)
	}
	isBound := standing == lease.Full && active.Mode == policy.ModeFloor && a.replica.Agent.IsUsable()
	if isBound && l.setup.Without == withoutPromise {
		active.Mode = policy.ModeFull
	}
	l.Judge.DecisionMade(judge.Decision{At: l.Now(), Agent: i, Mode: active.Mode, Version: active.Version})
	if active.Mode != policy.ModeFull {
		return
	}
	firstActedAt := l.FirstActedAt[active.Version]
	if firstActedAt == nil {
		firstActedAt = map[int]time.Duration{}
		l.FirstActedAt[active.Version] = firstActedAt
	}
	if _, known := firstActedAt[i]; !known {
		firstActedAt[i] = l.Now()
	}
}
