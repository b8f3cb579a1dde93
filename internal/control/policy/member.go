package policy

import (
	"time"

	"dunestep/internal/fleet/lease"
)

// Replica is one agent's part in all of it: the state, the agent's side, and at a voter the voter's and the
// leader's. It calls the parts in the order in which they have to be told.
type Replica struct {
	StateMachine *StateMachine // records are applied to it
	Agent        *Agent
	Voter        *Voter    // nil: not a voter
	Proposer     *Proposer // nil: not a voter
}

// NewReplica returns the part of a process that starts now. A log that began anew needs a new one.
func NewReplica(self int, votes bool, own LocalSettings, times Times, now lease.ClockReading) *Replica {
	m := &Replica{StateMachine: NewStateMachine(), Agent: NewAgent(own, times)}
	if votes {
		m.Voter, m.Proposer = NewVoter(self, times, now), NewProposer(self, times)
	}
	m.Learn(now)
	return m
}

// Learn takes that records were applied to the StateMachine, or a snapshot. It has to come before the lease's
// holder is told how far they go, and before a lease is granted that names them: else a lease holds before
// the promise.
func (m *Replica) Learn(now lease.ClockReading) {
	m.Agent.Learn(m.StateMachine)
	if m.Voter != nil {
		m.Voter.Learn(m.StateMachine)
		m.Proposer.Learn(now, m.StateMachine, m.Agent.EncodedAnswer())
	}
}

// Due returns what is to be proposed to the log, in this order, and when to ask again at the latest, by the
// steady clock. Leads tells whether this voter leads; where it wrongly believes so nothing is broken.
func (m *Replica) Due(now lease.ClockReading, leads bool) (records [][]byte, next time.Duration) {
	if m.Voter == nil {
		return nil, now.Mono + time.Hour
	}
	records, next = m.Voter.Due(now)
	if leads {
		more, at := m.Proposer.Due(now)
		records, next = append(records, more...), min(next, at)
	}
	return records, next
}

// AllowLease tells whether a voter may grant a lease at this moment: see Voter. One that is no voter may not.
func (m *Replica) AllowLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool {
	return m.Voter != nil && m.Voter.AllowLease(now, agent, incarnation, note)
}
