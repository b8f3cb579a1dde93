package lab

import (
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
)

// Storage is what a starting process finds of the records that its predecessor had applied.
type Storage uint8

const (
	// StorageLost means that no records were kept.
	StorageLost Storage = iota
	// StorageKept means that all records were kept.
	StorageKept
)

// Stop ends a node's process.
func (l *Lab) Stop(n int) { l.node(n).incarnation = 0 }

// Start starts a new process of a node.
func (l *Lab) Start(n int, storage Storage) {
	nd, now := l.node(n), l.reading(n)
	nd.incarnations++
	nd.incarnation = nd.incarnations
	formerReplica := nd.replica
	if storage == StorageLost || formerReplica == nil {
		nd.applied = 0
	}
	if n < len(l.voters) {
		l.startVoter(l.voters[n], now)
	} else {
		l.startAgent(l.agents[n-len(l.voters)], now)
	}
	if nd.applied > 0 {
		if err := nd.replica.StateMachine.Restore(formerReplica.StateMachine.Snapshot()); err != nil {
			panic(err) // the snapshot is of the same build
		}
	}
	l.startApplication(nd, now)
	l.recordsApplied(n)
	l.SetTimer(n, now.Mono)
}

func (l *Lab) startAgent(a *agent, now lease.ClockReading) {
	a.holder = lease.NewHolder(lease.HolderSettings{
		Terms: l.setup.Times.Terms, Self: a.number - len(l.voters),
		Incarnation: uint64(a.incarnation), Voters: l.voterNumbers(), Seed: l.setup.Seed ^ uint64(a.number)<<32,
	}, now)
	times := l.setup.Times
	if l.setup.Without == withoutFloorExpiry {
		times.FloorValidity = time.Hour
	}
	a.replica = policy.NewReplica(a.localSettings, times, now)
}

func (l *Lab) startVoter(v *voter, now lease.ClockReading) {
	voterTimes, proposerTimes, startedAt := l.setup.Times, l.setup.Times, now
	switch l.setup.Without {
	case withoutPreparation:
		proposerTimes.Terms.Duration, proposerTimes.Terms.MaxKnowledgeAge = 1, 1
	case withoutFence:
		proposerTimes.Terms.Duration /= 10
		proposerTimes.Terms.MaxKnowledgeAge /= 10
	case withoutFloorWait:
		proposerTimes.Terms.Duration, proposerTimes.Terms.MaxKnowledgeAge = 1, 1
		proposerTimes.FloorValidity = 1
	case withoutLeaseExpiry:
		voterTimes.Terms.Duration = 1
	case withoutEarlierLeases:
		startedAt = lease.ClockReading{}
	}
	v.granter = lease.NewGranter(lease.GranterSettings{Terms: l.setup.Times.Terms, Agents: l.setup.Agents})
	v.replica = policy.NewVoterReplica(v.number, LocalSettings(), l.setup.Times, now)
	v.replica.Voter = policy.NewVoter(v.number, voterTimes, startedAt)
	v.replica.Proposer = policy.NewProposer(v.number, proposerTimes)
	v.replica.Proposer.SetVoters(now, l.voterNumbers(), 1)
	v.pendingReads, v.requests = nil, map[uint64]message{}
}

func position(n int) replica.Position { return replica.Position{Epoch: 1, Seq: uint64(n)} }

// applyRecords applies the agreed records up to number upTo at a node, and informs three random nodes of
// them.
func (l *Lab) applyRecords(n, upTo int) {
	nd := l.node(n)
	if nd.applied >= upTo {
		return
	}
	for ; nd.applied < upTo; nd.applied++ {
		if data := l.log[nd.applied]; isApplicationRecord(data) {
			nd.application.Apply(uint64(nd.applied+1), data[1:])
		} else {
			nd.replica.StateMachine.Apply(uint64(nd.applied+1), data)
		}
	}
	l.recordsApplied(n)
	for range 3 {
		l.send(n, l.Rand().IntN(l.nodeCount()), message{kind: messageRecords, records: nd.applied})
	}
}

// recordsApplied updates the components of a node after records were applied, in the same order as
// fleet.Node.
func (l *Lab) recordsApplied(n int) {
	now := l.reading(n)
	l.node(n).replica.Learn(now)
	if application := l.node(n).application; application != nil {
		application.RecordsApplied(now, false)
	}
	if n < len(l.voters) {
		v := l.voters[n]
		if l.setup.Without == withoutLeaderCheck || l.setup.Without == withoutDocumentCheck {
			v.replica.Proposer.Learn(now, v.replica.StateMachine, acceptingAnswer(v.replica.Agent.EncodedAnswer()))
		}
		l.confirm(v)
		return
	}
	a := l.agents[n-len(l.voters)]
	a.holder.SetApplied(position(a.applied))
	l.notifyVoters(a, now)
}

// tick executes the due actions of a node, and sets its next timer.
func (l *Lab) tick(n int) {
	nd, now := l.node(n), l.reading(n)
	if nd.incarnation == 0 {
		return
	}
	if now.Mono >= nd.nextPull {
		nd.nextPull = now.Mono + 400*time.Millisecond
		l.send(n, l.Rand().IntN(l.nodeCount()), message{kind: messageRecordsRequest, records: nd.applied})
	}
	next := now.Mono + l.checkInterval(nd)
	if n < len(l.voters) {
		next = l.propose(l.voters[n], now)
	} else {
		a := l.agents[n-len(l.voters)]
		if to, r, send := a.holder.Tick(now); send {
			l.send(n, to, message{kind: messageLeaseRequest, request: r, answer: l.answer(a)})
		}
		l.notifyVoters(a, now)
		next = min(next, a.holder.Next())
	}
	l.SetTimer(n, max(min(next, l.runApplication(nd, now)), now.Mono+time.Millisecond))
}

// answer returns the agent's encoded answer, or an accepting one if withoutDocumentCheck is set.
func (l *Lab) answer(a *agent) []byte {
	if l.setup.Without == withoutDocumentCheck {
		return acceptingAnswer(a.replica.Agent.EncodedAnswer())
	}
	return a.replica.Agent.EncodedAnswer()
}

// acceptingAnswer returns an accepting answer to the same version.
func acceptingAnswer(answer []byte) []byte {
	a, _ := policy.DecodeAnswer(answer) // encoded by the same process
	return policy.Answer{Version: a.Version}.Encode()
}

// notifyVoters sends the agent's answer to the voters that have not acknowledged it.
func (l *Lab) notifyVoters(a *agent, now lease.ClockReading) {
	for _, v := range a.replica.Agent.VotersToNotify(now, l.voterNumbers()) {
		l.send(a.number, v, message{kind: messageAnswer, answer: l.answer(a)})
	}
}

// propose submits the records that are due at a voter, and returns when it is next due, by its monotonic
// clock.
func (l *Lab) propose(v *voter, now lease.ClockReading) (next time.Duration) {
	due := v.replica.Due
	if v.number == l.leader {
		due = v.replica.DueAsLeader
	}
	records, next := due(now)
	for _, data := range records {
		l.submit(v.number, data)
	}
	return max(min(next, now.Mono+l.checkInterval(&v.node)), now.Mono+10*time.Millisecond)
}
