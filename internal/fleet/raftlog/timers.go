package raftlog

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotRetryElections is the number of election timeouts after which a snapshot in flight counts as lost.
const snapshotRetryElections = 5

// resetElectionTimer draws the time at which the voter stands for election: between one and two election
// timeouts from now. Raft's own timer draws from a source that cannot be seeded; therefore raft's ticks are
// driven only while the voter leads, and forgetting a leader and campaigning are decided here.
func (v *Voter) resetElectionTimer() {
	timeout := v.config.electionTimeout()
	v.campaignAt = v.now.Add(timeout + time.Duration(v.rng.Int64N(int64(timeout))))
}

// forgetLeaderAt returns when a silent leader is forgotten.
func (v *Voter) forgetLeaderAt() time.Time { return v.lastContact.Add(v.config.electionTimeout()) }

// nextRaftTimer returns when the next tick, campaign or forgetting of the leader is due.
func (v *Voter) nextRaftTimer() time.Time {
	at := v.campaignAt
	if v.isLeader() {
		at = v.lastTick.Add(v.config.Tick)
	} else if forget := v.forgetLeaderAt(); v.leaderID() != 0 && forget.Before(at) {
		at = forget
	}
	return at
}

// runDue does what is due by time.
func (v *Voter) runDue() {
	v.runJoining()
	v.sendDueResends()
	if v.raftNode == nil {
		return
	}
	switch {
	case v.isLeader():
		v.runLeader()
	case !v.now.Before(v.campaignAt):
		v.resetElectionTimer()
		// An error reports that the voter cannot campaign now, for example as a learner.
		_ = v.raftNode.Campaign()
	case v.leaderID() != 0 && !v.now.Before(v.forgetLeaderAt()):
		// An error reports that there is no leader to forget.
		_ = v.raftNode.ForgetLeader()
	}
}

// runLeader drives the ticks of a leader. After a pause raft receives as many ticks as make it step down if
// no follower answers.
func (v *Voter) runLeader() {
	v.leaderSeenAt = v.now
	if term := v.raftNode.BasicStatus().GetTerm(); term != v.lastLedTerm {
		v.lastLedTerm, v.lastTick = term, v.now
	}
	if earliest := v.now.Add(-v.config.electionTimeout()); v.lastTick.Before(earliest) {
		v.lastTick = earliest
	}
	for v.isLeader() && !v.now.Before(v.lastTick.Add(v.config.Tick)) {
		v.lastTick = v.lastTick.Add(v.config.Tick)
		v.raftNode.Tick()
		if len(v.confState.GetVoters())+len(v.confState.GetVotersOutgoing()) == 1 {
			v.fresh.noteCovered(v.now, v.safeCommitIndex())
		}
	}
	if !v.isLeader() {
		v.resetElectionTimer() // stepped down: no quorum answers
		return
	}
	v.retrySnapshots()
	v.reconfigure()
}

// safeCommitIndex returns the index up to which everything that was ever committed is known to be committed.
// It is 0 while that is unknown, as no record of the leader's own term is committed yet.
func (v *Voter) safeCommitIndex() uint64 {
	b := v.raftNode.BasicStatus()
	if term, err := v.storage.Term(b.GetCommit()); err != nil || term != b.GetTerm() {
		return 0
	}
	return b.GetCommit()
}

// retrySnapshots reports snapshots that may have been lost, so that raft sends them again.
func (v *Voter) retrySnapshots() {
	if v.snapshotsSentAt == nil {
		v.snapshotsSentAt = map[uint64]time.Time{}
	}
	v.raftNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		sentAt, isInFlight := v.snapshotsSentAt[id]
		switch {
		case pr.State != tracker.StateSnapshot:
			delete(v.snapshotsSentAt, id)
		case !isInFlight:
			v.snapshotsSentAt[id] = v.now
		case v.now.Sub(sentAt) > snapshotRetryElections*v.config.electionTimeout():
			delete(v.snapshotsSentAt, id)
			v.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	})
}
