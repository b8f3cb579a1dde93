package policy

import (
	"time"

	"dunestep/internal/fleet/lease"
)

// Replica is all of the protocol in one process: the agreed state, the agent's part, and at a voter the
// voter's and the leader's. It calls the parts in the order in which they have to learn of records.
type Replica struct {
	StateMachine *StateMachine // records are applied to it
	Agent        *Agent
	Voter        *Voter    // nil: not a voter
	Proposer     *Proposer // nil: not a voter
}

// NewReplica returns the Replica of an agent that is no voter, in a process that starts. A log that is
// started anew needs a new one.
func NewReplica(own LocalSettings, times Times, now lease.ClockReading) *Replica {
	r := &Replica{StateMachine: NewStateMachine(), Agent: NewAgent(own, times)}
	r.Learn(now)
	return r
}

// NewVoterReplica returns the Replica of an agent that is a voter, in a process that starts now.
func NewVoterReplica(self int, own LocalSettings, times Times, now lease.ClockReading) *Replica {
	r := &Replica{
		StateMachine: NewStateMachine(), Agent: NewAgent(own, times),
		Voter: NewVoter(self, times, now), Proposer: NewProposer(self, times),
	}
	r.Learn(now)
	return r
}

// Learn is called after records or a snapshot were applied to the StateMachine: before the lease's holder
// learns how far they reach, and before a lease is granted that covers them. Otherwise a lease would hold
// before the promise.
func (r *Replica) Learn(now lease.ClockReading) {
	r.Agent.Learn(r.StateMachine)
	if r.Voter != nil {
		r.Voter.Learn(r.StateMachine)
		r.Proposer.Learn(now, r.StateMachine, r.Agent.EncodedAnswer())
	}
}

// Due returns what this process is to propose to the log while it does not lead, and the latest time at which
// to call it again, by the monotonic clock.
func (r *Replica) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	if r.Voter == nil {
		return nil, now.Mono + time.Hour
	}
	return r.Voter.Due(now)
}

// DueAsLeader is Due for the voter that leads, with what the leader proposes after the voter's own records. A
// voter that wrongly believes that it leads does no harm.
func (r *Replica) DueAsLeader(now lease.ClockReading) (records [][]byte, next time.Duration) {
	records, next = r.Due(now)
	if r.Proposer == nil {
		return records, next
	}
	more, at := r.Proposer.Due(now)
	return append(records, more...), min(next, at)
}

// AllowLease tells whether this process may grant a lease at this moment; see Voter.AllowLease. One that is
// no voter may not.
func (r *Replica) AllowLease(now lease.ClockReading, agent int, incarnation uint64,
	encodedAnswer []byte,
) bool {
	return r.Voter != nil && r.Voter.AllowLease(now, agent, incarnation, encodedAnswer)
}
