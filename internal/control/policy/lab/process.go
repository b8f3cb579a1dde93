package lab

import (
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/replica"
)

// Storage is what a process that starts finds of the records that the one before had.
type Storage uint8

const (
	// StorageLost means that it finds none.
	StorageLost Storage = iota
	// StorageKept means that it finds all.
	StorageKept
)

// Stop ends a node's process.
func (l *Lab) Stop(n int) { l.node(n).incarnation = 0 }

// Start starts a node's process anew.
func (l *Lab) Start(n int, storage Storage) {
	nd, now := l.node(n), l.reading(n)
	nd.incarnations++
	nd.incarnation = nd.incarnations
	before := nd.replica
	if storage == StorageLost || before == nil {
		nd.known = 0
	}
	if n < len(l.voters) {
		l.startVoter(l.voters[n], now)
	} else {
		l.startAgent(l.agents[n-len(l.voters)], now)
	}
	if nd.known > 0 {
		if err := nd.replica.StateMachine.Restore(before.StateMachine.Snapshot()); err != nil {
			panic(err) // it is the same build's
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
	if l.setup.Without == withoutRunOut {
		times.FloorValidity = time.Hour
	}
	a.replica = policy.NewReplica(a.local, times, now)
}

func (l *Lab) startVoter(v *voter, now lease.ClockReading) {
	voterTimes, proposerTimes, begin := l.setup.Times, l.setup.Times, now
	switch l.setup.Without {
	case withoutPrepare:
		proposerTimes.Terms.Duration, proposerTimes.Terms.MaxKnowledgeAge = 1, 1
	case withoutFence:
		proposerTimes.Terms.Duration /= 10
		proposerTimes.Terms.MaxKnowledgeAge /= 10
	case withoutSettle:
		proposerTimes.Terms.Duration, proposerTimes.Terms.MaxKnowledgeAge = 1, 1
		proposerTimes.FloorValidity = 1
	case withoutOutstanding:
		voterTimes.Terms.Duration = 1
	case withoutBegin:
		begin = lease.ClockReading{}
	}
	v.granter = lease.NewGranter(lease.GranterSettings{Terms: l.setup.Times.Terms, Agents: l.setup.Agents})
	v.replica = policy.NewVoterReplica(v.number, LocalSettings(), l.setup.Times, now)
	v.replica.Voter = policy.NewVoter(v.number, voterTimes, begin)
	v.replica.Proposer = policy.NewProposer(v.number, proposerTimes)
	v.replica.Proposer.SetVoters(now, l.voterNumbers(), 1)
	v.reads, v.requests = nil, map[uint64]message{}
}

func position(n int) replica.Position { return replica.Position{Epoch: 1, Seq: uint64(n)} }

// learn has a node apply records up to a number.
func (l *Lab) learn(n, upTo int) {
	nd := l.node(n)
	if nd.known >= upTo {
		return
	}
	for ; nd.known < upTo; nd.known++ {
		if data := l.log[nd.known]; isApplicationRecord(data) {
			nd.application.Apply(uint64(nd.known+1), data[1:])
		} else {
			nd.replica.StateMachine.Apply(uint64(nd.known+1), data)
		}
	}
	l.recordsApplied(n)
	for range 3 {
		l.send(n, l.Rand().IntN(l.nodeCount()), message{kind: messageRecords, records: nd.known})
	}
}

// recordsApplied has a node's parts learn what was applied, in the order that a fleet.Node has.
func (l *Lab) recordsApplied(n int) {
	now := l.reading(n)
	l.node(n).replica.Learn(now)
	if application := l.node(n).application; application != nil {
		application.RecordsApplied(now, false)
	}
	if n < len(l.voters) {
		v := l.voters[n]
		if l.setup.Without == withoutOwn || l.setup.Without == withoutCheck {
			v.replica.Proposer.Learn(now, v.replica.StateMachine, accepting(v.replica.Agent.EncodedAnswer()))
		}
		l.confirm(v)
		return
	}
	a := l.agents[n-len(l.voters)]
	a.holder.SetApplied(position(a.known))
	l.notifyVoters(a, now)
}

// tick does what is due at a node.
func (l *Lab) tick(n int) {
	nd, now := l.node(n), l.reading(n)
	if nd.incarnation == 0 {
		return
	}
	if now.Mono >= nd.nextPull {
		nd.nextPull = now.Mono + 400*time.Millisecond
		l.send(n, l.Rand().IntN(l.nodeCount()), message{kind: messageRecordsWanted, records: nd.known})
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

// answer is the agent's, or an accepting one where agents do not check documents.
func (l *Lab) answer(a *agent) []byte {
	if l.setup.Without == withoutCheck {
		return accepting(a.replica.Agent.EncodedAnswer())
	}
	return a.replica.Agent.EncodedAnswer()
}

// accepting is the same answer, but one that accepts.
func accepting(answer []byte) []byte {
	a, _ := policy.DecodeAnswer(answer) // it is of the same process
	return policy.Answer{Version: a.Version}.Encode()
}

func (l *Lab) notifyVoters(a *agent, now lease.ClockReading) {
	for _, v := range a.replica.Agent.VotersToNotify(now, l.voterNumbers()) {
		l.send(a.number, v, message{kind: messageAnswer, answer: l.answer(a)})
	}
}

// propose does what is due at a voter, and returns when it is again.
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
