package raftlog

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotRetryElections is the number of election timeouts after which a snapshot in flight is considered
// lost.
const snapshotRetryElections = 5

// resetElectionTimer draws the time at which the voter campaigns: between one and two election timeouts from
// now. Raft's own timer uses a random source that cannot be seeded. Therefore raft receives ticks only while
// the voter leads, and this package decides when to forget a leader and when to campaign.
func (v *Voter) resetElectionTimer() {
	timeout := v.config.electionTimeout()
	v.campaignAt = v.now.Add(timeout + time.Duration(v.rng.Int64N(int64(timeout))))
}

// forgetLeaderAt returns the time at which a silent leader is forgotten.
func (v *Voter) forgetLeaderAt() time.Time { return v.lastContact.Add(v.config.electionTimeout()) }

// nextRaftTimer returns the time at which the next tick, campaign or forgetting of the leader is due.
func (v *Voter) nextRaftTimer() time.Time {
	at := v.campaignAt
	if v.isLeader() {
		at = v.lastTick.Add(v.config.Tick)
	} else if forget := v.forgetLeaderAt(); v.leaderID() != 0 && forget.Before(at) {
		at = forget
	}
	return at
}

// runTimers runs all timers that are due.
func (v *Voter) runTimers() {
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

// runLeader drives the ticks of a leader. After a pause raft receives the ticks of at most one election
// timeout, enough to make it step down if no follower answers.
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
		v.resetElectionTimer() // stepped down, as no quorum answers
		return
	}
	v.retrySnapshots()
	v.reconfigure()
}

// safeCommitIndex returns the commit index if it is known to cover every record that was ever committed. It
// returns 0 as long as no record of the leader's own term is committed, because that is unknown then.
func (v *Voter) safeCommitIndex() uint64 {
	b := v.raftNode.BasicStatus()
	if term, err := v.storage.Term(b.GetCommit()); err != nil || term != b.GetTerm() {
		return 0
	}
	return b.GetCommit()
}

// retrySnapshots notifies raft of snapshots that may have been lost, so that raft sends them again.
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
