package policy

import (
	"time"

	"dunestep/internal/fleet/lease"
)

// Replica is the whole protocol in one process: the agreed state, the agent's part, and at a voter the
// voter's and the proposer's parts. After records were applied it updates the parts in the order that the
// protocol needs.
type Replica struct {
	StateMachine *StateMachine // records are applied to it
	Agent        *Agent
	Voter        *Voter    // nil if the agent is not a voter
	Proposer     *Proposer // nil if the agent is not a voter
}

// NewReplica returns the Replica of an agent that is not a voter, in a process that starts now. A new log
// needs a new Replica.
func NewReplica(local LocalSettings, times Times, now lease.ClockReading) *Replica {
	r := &Replica{StateMachine: NewStateMachine(), Agent: NewAgent(local, times)}
	r.Learn(now)
	return r
}

// NewVoterReplica returns the Replica of an agent that is a voter, in a process that starts now.
func NewVoterReplica(self int, local LocalSettings, times Times, now lease.ClockReading) *Replica {
	r := &Replica{
		StateMachine: NewStateMachine(), Agent: NewAgent(local, times),
		Voter: NewVoter(self, times, now), Proposer: NewProposer(self, times),
	}
	r.Learn(now)
	return r
}

// Learn updates the parts after records or a snapshot were applied to the StateMachine. The caller must call
// it before it passes the new log position to the lease holder, and before it grants a lease that covers
// these records. Otherwise a lease could be valid before the agent has promised.
func (r *Replica) Learn(now lease.ClockReading) {
	r.Agent.Learn(r.StateMachine)
	if r.Voter != nil {
		r.Voter.Learn(r.StateMachine)
		r.Proposer.Learn(now, r.StateMachine, r.Agent.EncodedAnswer())
	}
}

// Due returns the records that this process has to propose to the log while it is not the leader, and the
// latest time of the next call, by the monotonic clock.
func (r *Replica) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	if r.Voter == nil {
		return nil, now.Mono + time.Hour
	}
	return r.Voter.Due(now)
}

// DueAsLeader does what Due does, for the leader: it adds the proposer's records after the voter's own.
// Safety does not depend on the caller being the leader.
func (r *Replica) DueAsLeader(now lease.ClockReading) (records [][]byte, next time.Duration) {
	records, next = r.Due(now)
	if r.Proposer == nil {
		return records, next
	}
	more, at := r.Proposer.Due(now)
	return append(records, more...), min(next, at)
}

// AllowLease reports whether this process may grant a lease now; see Voter.AllowLease. It returns false if
// the process is not a voter.
func (r *Replica) AllowLease(now lease.ClockReading, agent int, incarnation uint64,
	encodedAnswer []byte,
) bool {
	return r.Voter != nil && r.Voter.AllowLease(now, agent, incarnation, encodedAnswer)
}
