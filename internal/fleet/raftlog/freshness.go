package raftlog

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	// maxUnconfirmedRounds and maxPendingReadings bound the heartbeat rounds, and the clock readings of each
	// voter, that a leader remembers.
	maxUnconfirmedRounds = 64
	maxPendingReadings   = 16
	// maxStamp is the highest stamp. A leader counts as having answered all of its own rounds, and so does
	// an empty configuration.
	maxStamp = ^uint64(0)
)

// freshness determines a time, by the voter's own clock, up to which it has applied everything that was
// committed.
//
// A leader stamps each round of heartbeats with the time at which the round began, and remembers the commit
// index at that time. Voters that accept a heartbeat in the leader's term return the stamp. Once a quorum has
// returned it, no later term can have had a leader before the time of the stamp: that leader would have
// needed the vote of a voter that was still in this term afterwards. Therefore everything that any voter
// reported as committed before the stamp is covered by the remembered commit index, provided that this leader
// had committed a record of its own term.
//
// With the stamp, a voter returns a reading of its own clock. A round that begins after the leader has
// received that reading covers everything that was committed before the reading. Once a quorum has answered
// the round, the leader returns the reading together with the commit index, and a voter that has applied that
// index is fresh as of the reading. So the clocks of two machines are never compared, and a delayed message
// does no more harm than a lost one.
type freshness struct {
	incarnation uint64 // identifies this process: the clock of an earlier process may have had another origin
	freshAsOf   time.Time

	// The latest reading covered by the leader, and the index that has to be applied before it counts.
	pendingAsOf  time.Time
	pendingIndex uint64

	// Data of a leader in its term.
	term            uint64
	unconfirmed     []heartbeatRound          // oldest first
	acked           map[uint64]uint64         // last stamp returned, by the voter's ID
	missedRoundAt   map[uint64]time.Time      // last time a round was found unanswered, by the voter's ID
	lastRounds      [2]uint64                 // stamps of the last round and of the one before
	confirmed       heartbeatRound            // last round that a quorum answered
	pendingReadings map[uint64][]clockReading // not covered yet, oldest first, by the voter's ID
	coveredReadings map[uint64]clockReading   // latest covered reading, by the voter's ID

	// Data of a follower.
	leaderRound     map[uint64]heartbeatRound // last stamp, with the term as its index, by the leader's ID
	lateHeartbeatAt time.Time                 // last time a stamp was too much later than the one before
}

// heartbeatRound is a round of heartbeats: its stamp, which is its start in Unix nanoseconds, and the commit
// index at that time.
type heartbeatRound struct{ startedAt, index uint64 }

// clockReading is a reading of another voter's clock, and the time of its receipt by the leader's clock.
type clockReading struct{ incarnation, reading, receivedAt uint64 }

// updateFreshnessAsFollower processes the freshness data of a leader's message.
func (v *Voter) updateFreshnessAsFollower(e envelope, m *raftpb.Message) {
	if v.isLeader() {
		return
	}
	if asOf := fromStamp(e.reading); e.incarnation == v.fresh.incarnation && !asOf.After(v.now) {
		v.fresh.noteCovered(asOf, e.index)
	}
	if m.GetType() != raftpb.MsgHeartbeat || e.round == 0 {
		return
	}
	interval := time.Duration(v.config.HeartbeatTicks) * v.config.Tick
	last := v.fresh.leaderRound[m.GetFrom()].startedAt
	if last > 0 && fromStamp(e.round).Sub(fromStamp(last)) > interval*5/4 {
		v.fresh.lateHeartbeatAt = v.now
	}
	v.fresh.leaderRound = map[uint64]heartbeatRound{m.GetFrom(): {e.round, v.raftNode.BasicStatus().GetTerm()}}
}

// updateFreshnessAsLeader processes the freshness data of a follower's answer to a heartbeat.
func (v *Voter) updateFreshnessAsLeader(e envelope, m *raftpb.Message) {
	term := v.raftNode.BasicStatus().GetTerm()
	if !v.isLeader() || m.GetType() != raftpb.MsgHeartbeatResp || m.GetTerm() != term || e.round == 0 {
		return
	}
	v.fresh.beginTerm(term)
	v.fresh.noteReading(m.GetFrom(), clockReading{e.incarnation, e.reading, toStamp(v.now)})
	if v.fresh.noteAck(v.identity.ID, m.GetFrom(), e.round, v.confState) {
		v.fresh.noteCovered(fromStamp(v.fresh.confirmed.startedAt), v.fresh.confirmed.index)
	}
}

// beginTerm clears the leader's data if the term is new.
func (f *freshness) beginTerm(term uint64) {
	if f.term == term {
		return
	}
	f.term, f.unconfirmed, f.confirmed, f.lastRounds = term, nil, heartbeatRound{}, [2]uint64{}
	f.acked, f.missedRoundAt = map[uint64]uint64{}, map[uint64]time.Time{}
	f.pendingReadings, f.coveredReadings = map[uint64][]clockReading{}, map[uint64]clockReading{}
}

// noteReading remembers another voter's clock reading. If too many are pending, the new one is dropped: the
// voter's next answer contains another.
func (f *freshness) noteReading(id uint64, r clockReading) {
	if r.reading > 0 && len(f.pendingReadings[id]) < maxPendingReadings {
		f.pendingReadings[id] = append(f.pendingReadings[id], r)
	}
}

// coverReadings moves the readings that were received before the confirmed round began from the pending to
// the covered ones.
func (f *freshness) coverReadings() {
	for id, readings := range f.pendingReadings {
		n := 0
		for n < len(readings) && readings[n].receivedAt < f.confirmed.startedAt {
			f.coveredReadings[id] = readings[n]
			n++
		}
		f.pendingReadings[id] = readings[n:]
	}
}

// beginRound remembers a round; index is the commit index, or 0 if no record of the leader's own term is
// committed.
func (f *freshness) beginRound(startedAt, index uint64) {
	if n := len(f.unconfirmed); n > 0 && f.unconfirmed[n-1].startedAt == startedAt {
		return
	}
	f.lastRounds = [2]uint64{startedAt, f.lastRounds[0]}
	f.unconfirmed = append(f.unconfirmed, heartbeatRound{startedAt, index})
	if len(f.unconfirmed) > maxUnconfirmedRounds {
		f.unconfirmed = f.unconfirmed[1:]
	}
}

// noteAck remembers that a voter answered a round. It returns false for an answer that is not newer than the
// last one.
func (f *freshness) noteAck(self, id, startedAt uint64, conf *raftpb.ConfState) (isNew bool) {
	if f.acked == nil || startedAt <= f.acked[id] {
		return false
	}
	f.acked[id] = startedAt
	quorum := min(f.quorumStamp(self, conf.GetVoters()), f.quorumStamp(self, conf.GetVotersOutgoing()))
	for len(f.unconfirmed) > 0 && f.unconfirmed[0].startedAt <= quorum {
		f.confirmed = f.unconfirmed[0]
		f.unconfirmed = f.unconfirmed[1:]
	}
	f.coverReadings()
	return true
}

// hasRecentLoss reports whether a voter was found to have left a round unanswered less than memory ago. The
// last round does not count, as its answers may still be in flight.
func (f *freshness) hasRecentLoss(id uint64, now time.Time, memory time.Duration) bool {
	if f.acked[id] < f.lastRounds[1] {
		f.missedRoundAt[id] = now
	}
	at, isKnown := f.missedRoundAt[id]
	return isKnown && now.Sub(at) < memory
}

// quorumStamp returns the latest stamp that a majority of the voters has answered. The leader itself counts
// as having answered every round.
func (f *freshness) quorumStamp(self uint64, ids []uint64) uint64 {
	if len(ids) == 0 {
		return maxStamp
	}
	stamps := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id == self {
			stamps = append(stamps, maxStamp)
		} else {
			stamps = append(stamps, f.acked[id])
		}
	}
	slices.Sort(stamps)
	return stamps[(len(stamps)-1)/2]
}

// noteCovered remembers that this voter is fresh as of a time once it has applied index. An index of 0 is
// ignored, as it means that the covered index is unknown.
func (f *freshness) noteCovered(asOf time.Time, index uint64) {
	if index > 0 && asOf.After(f.pendingAsOf) {
		f.pendingAsOf, f.pendingIndex = asOf, index
	}
}

// advance updates freshAsOf after the records up to the index applied were applied.
func (f *freshness) advance(applied uint64) {
	if applied >= f.pendingIndex && f.pendingAsOf.After(f.freshAsOf) {
		f.freshAsOf = f.pendingAsOf
	}
}
