package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet/lease"
)

// proposal is a change that is asked for at a node, again and again until its outcome is known.
type proposal struct {
	node   int
	id     string
	data   []byte
	status policy.ProposalStatus
}

// Propose asks for a change at a node, until its outcome is known there.
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
	l.retry(p)
}

func (l *Lab) retry(p *proposal) {
	p.status = l.node(p.node).replica.StateMachine.Outcome(p.id).Status
	if p.status != policy.StatusUnknown {
		return
	}
	if l.node(p.node).incarnation > 0 && !l.IsPaused(p.node) {
		l.submit(p.node, p.data)
	}
	l.At(l.Now()+500*time.Millisecond, func() { l.retry(p) })
}

// Unsettled counts the changes that were asked for whose outcome is not agreed.
func (l *Lab) Unsettled() (n int) {
	for _, p := range l.proposals {
		if l.reference.Outcome(p.id).Status == policy.StatusUnknown {
			n++
		}
	}
	return n
}

// Decide has every agent that runs make a decision.
func (l *Lab) Decide() {
	for i, a := range l.agents {
		if a.incarnation > 0 && !l.IsPaused(a.number) {
			l.decide(i, a)
		}
	}
}

func (l *Lab) decide(i int, a *agent) {
	now := l.reading(a.number)
	standing := a.holder.Standing(now)
	active := a.replica.Agent.Active(now, standing)
	if l.Decided != nil {
		l.Decided(i, now, standing, active)
	}
	isBound := standing == lease.Full && active.Mode == policy.ModeFloor && a.replica.Agent.IsUsable()
	if isBound && l.setup.Without == withoutPromise {
		active.Mode = policy.ModeFull
	}
	l.Judge.DecisionMade(judge.Decision{At: l.Now(), Agent: i, Mode: active.Mode, Version: active.Version})
	if active.Mode != policy.ModeFull {
		return
	}
	acted := l.Acted[active.Version]
	if acted == nil {
		acted = map[int]time.Duration{}
		l.Acted[active.Version] = acted
	}
	if _, before := acted[i]; !before {
		acted[i] = l.Now()
	}
}
