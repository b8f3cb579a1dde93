package raftlog

import (
	"slices"
	"time"
)

// Phase is the state of a voter.
type Phase uint8

// The phases.
const (
	// Seeking voters belong to no log, and send hellos to the others to join or found one.
	Seeking Phase = iota
	// Learning voters are learners: they were added to a log and are catching up.
	Learning
	// Voting voters follow a leader.
	Voting
	// Leading voters are the leader.
	Leading
	// Leaderless voters know no leader.
	Leaderless
	// Stuck voters belong to a log that has permanently lost a majority of its voters: nothing can be committed
	// any more.
	Stuck
	// Broken voters have stopped because their state or a message was inconsistent.
	Broken
)

// phaseNames are the names that operators' commands show.
var phaseNames = [...]string{"seeking", "learning", "voting", "leading", "leaderless", "stuck", "broken"}

func (p Phase) String() string { return phaseNames[p] }

// Member is a voter or a learner of the log.
type Member struct {
	ID    uint64 // raft ID
	Agent uint32
	Nonce uint64 // nonce of its store
	Votes bool   // false: a learner
}

// Status is a voter's view of itself and its log.
type Status struct {
	Phase                     Phase
	Identity                  Identity
	Term                      uint64
	Leader                    uint32 // the leader's agent, if HasLeader
	HasLeader                 bool
	AppliedIndex, CommitIndex uint64
	Members                   []Member
	IsJointConfig             bool // a configuration change is in progress: two majorities are needed
	// FreshAsOf is a time, by the clock of Step: everything that any voter reported as committed before it is
	// applied here.
	FreshAsOf time.Time
	// Dropped counts messages that could not be decoded or were not for this voter.
	Dropped uint64
	Err     error // failure that stopped the voter; nil: none
}

// Status returns the voter's current view.
func (v *Voter) Status() Status {
	s := Status{
		Phase: v.phase(), Identity: v.identity, AppliedIndex: v.appliedIndex, FreshAsOf: v.fresh.freshAsOf,
		Dropped: v.droppedMessages, Err: v.failure,
	}
	if v.raftNode == nil {
		return s
	}
	b := v.raftNode.BasicStatus()
	s.Term, s.CommitIndex, s.IsJointConfig = b.GetTerm(), b.GetCommit(), len(v.confState.GetVotersOutgoing()) > 0
	if m := v.state.member(b.Lead); m != nil {
		s.Leader, s.HasLeader = m.agent, true
	}
	for _, m := range v.state.members {
		isVoting := slices.Contains(v.confState.GetVoters(), m.id)
		s.Members = append(s.Members, Member{m.id, m.agent, m.nonce, isVoting})
	}
	return s
}

func (v *Voter) phase() Phase {
	switch {
	case v.failure != nil:
		return Broken
	case v.raftNode == nil:
		return Seeking
	case v.isStuck():
		return Stuck
	case v.isLeader():
		return Leading
	case !v.isVoter():
		return Learning
	case v.leaderID() == 0:
		return Leaderless
	}
	return Voting
}
