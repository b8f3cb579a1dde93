package lab

import (
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// Beside is what stands beside the policy in one process, with records of its own in the same log: a
// fleet.StateMachine, and the parts of a fleet.Application that the lab plays.
type Beside interface {
	fleet.StateMachine
	RecordsApplied(now lease.ClockReading, anew bool)
	MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool
	HandleMessage(now lease.ClockReading, from int, data []byte) []byte
	NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions
}

// besides is the first byte of its records; the policy's never begin with it.
const besides = 0

// ofBeside is a record of it, for the log.
func ofBeside(data []byte) []byte { return append([]byte{besides}, data...) }

func (l *Lab) startBeside(nd *node, now lease.ClockReading) {
	if l.set.Beside == nil {
		return
	}
	was := nd.beside
	nd.beside = l.set.Beside(nd.number, now)
	if nd.known > 0 {
		if err := nd.beside.Restore(was.Snapshot()); err != nil {
			panic(err) // of its own
		}
	}
}

// dueBeside does what is due at a node, and tells when it is again.
func (l *Lab) dueBeside(nd *node, now lease.ClockReading) time.Duration {
	if nd.beside == nil {
		return now.Mono + time.Hour
	}
	votes := nd.number < len(l.voters)
	due := nd.beside.NextActions(now, fleet.VoterState{
		IsVoter: votes, IsLeader: votes && nd.number == l.leader,
		Voters: l.voterNumbers(),
	})
	for _, r := range due.Proposals {
		l.submit(nd.number, ofBeside(r.Data))
	}
	for _, s := range due.Messages {
		l.send(nd.number, s.To, message{kind: aside, data: s.Data})
	}
	return due.Next
}

// look is how often a node looks at what is open; seldom while nothing is, in courses of days.
func (l *Lab) look(nd *node) time.Duration {
	if l.set.Beside != nil && nd.member.StateMachine.State().OpenChange == nil {
		return 500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// Submit has a node ask the leader for a record of what stands beside, once.
func (l *Lab) Submit(n int, data []byte) {
	if l.node(n).life > 0 && !l.IsPaused(n) {
		l.submit(n, ofBeside(data))
	}
}

// Beside is a node's part of what stands beside; nil: its process does not run.
func (l *Lab) Beside(n int) Beside {
	if l.node(n).life == 0 {
		return nil
	}
	return l.node(n).beside
}

// Agreed is that of all that is agreed.
func (l *Lab) Agreed() Beside { return l.beside }

// Acting is how a node's process acts now; a voter counts as one with a lease while it reaches the leader.
func (l *Lab) Acting(n int) (lease.Standing, policy.Active) {
	nd, now, standing := l.node(n), l.reading(n), lease.Floor
	if n >= len(l.voters) {
		standing = l.agents[n-len(l.voters)].holder.Standing(now)
	} else if n == l.leader && l.majority() {
		standing = lease.Full
	}
	return standing, nd.member.Agent.Active(now, standing)
}

// Reading is a node's clocks.
func (l *Lab) Reading(n int) lease.ClockReading { return l.reading(n) }

// Machine is a node's, of the policy.
func (l *Lab) Machine(n int) *policy.StateMachine { return l.node(n).member.StateMachine }

// Leader is the voter that leads; below zero: none does.
func (l *Lab) Leader() int { return l.leader }

// Incarnation tells processes of a node apart; zero: none runs.
func (l *Lab) Incarnation(n int) int { return l.node(n).life }

// CutOff closes all ways from and to a node, until a true time.
func (l *Lab) CutOff(n int, until time.Duration) { l.cutOff(n, until) }

// Sleep has time go on to a true one in which nothing happens: all nodes stand still. What is on its way by
// then is lost.
func (l *Lab) Sleep(until time.Duration) {
	if until <= l.Now() {
		return
	}
	l.asleep = until
	for n := range len(l.voters) + len(l.agents) {
		l.Pause(n, until)
	}
	l.pruned, l.messages = l.pruned+len(l.messages), l.messages[:0]
	l.Run(until)
}
