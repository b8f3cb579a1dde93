package raftlog

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	// maxUnconfirmedRounds and maxPendingReadings bound a leader's memory of heartbeats and of each voter's
	// readings.
	maxUnconfirmedRounds = 64
	maxPendingReadings   = 16
	// everyoneStamp is the stamp that a leader and an empty configuration have answered: all of them.
	everyoneStamp = ^uint64(0)
)

// freshness determines a time, by the voter's own clock, up to which it has applied everything that was
// committed.
//
// A leader stamps each round of heartbeats with the time at which the round began, and remembers what was
// committed then. Voters that accept a heartbeat in the leader's term return the stamp. Once a quorum has, no
// later term can have had a leader before the stamp: it would have needed the vote of one that was in this
// term after it. So everything that was reported as committed before the stamp, by anyone, is within what was
// committed then, provided that this leader had committed a record of its own term.
//
// With the stamp a voter returns a reading of its own clock. A round that begins after the leader has
// received that reading covers everything that was committed before the reading. Once a quorum has answered
// the round, the leader returns the reading together with the commit index, and a voter that has applied that
// index is fresh as of the reading. Hence no clocks of two machines are compared, and a delayed message is no
// worse than a lost one.
type freshness struct {
	incarnation uint64 // identifies this process: the clock of another one of the same voter may have begun anew
	freshAsOf   time.Time

	// Covered by the leader, but not applied here yet.
	pendingAsOf  time.Time
	pendingIndex uint64

	// Of a leader, for its term.
	term            uint64
	unconfirmed     []heartbeatRound          // oldest first
	acked           map[uint64]uint64         // the last stamp that was returned, by the voter's ID
	missedRoundAt   map[uint64]time.Time      // when a round was last found unanswered, by the voter's ID
	lastRounds      [2]uint64                 // the stamps of the last round and of the one before
	confirmed       heartbeatRound            // the last round that a quorum answered
	pendingReadings map[uint64][]clockReading // not covered yet, oldest first, by the voter's ID
	coveredReadings map[uint64]clockReading   // the latest covered one by the voter's ID

	// Of a follower.
	leaderRound     map[uint64]heartbeatRound // the last stamp, with the term as the index, by the leader's ID
	lateHeartbeatAt time.Time                 // when a stamp last came too long after the one before
}

// heartbeatRound is a round of heartbeats: its stamp, and the commit index at that time.
type heartbeatRound struct{ startedAt, index uint64 }

// clockReading is a reading of another voter's clock, and when it was received by the leader's clock.
type clockReading struct{ incarnation, reading, receivedAt uint64 }

// updateFreshnessAsFollower processes the freshness data of a leader's message.
func (v *Voter) updateFreshnessAsFollower(e envelope, m *raftpb.Message) {
	if v.isLeader() {
		return
	}
	if asOf := stampTime(e.reading); e.incarnation == v.fresh.incarnation && !asOf.After(v.now) {
		v.fresh.noteCovered(asOf, e.index)
	}
	if m.GetType() != raftpb.MsgHeartbeat || e.round == 0 {
		return
	}
	interval := time.Duration(v.config.HeartbeatTicks) * v.config.Tick
	last := v.fresh.leaderRound[m.GetFrom()].startedAt
	if last > 0 && stampTime(e.round).Sub(stampTime(last)) > interval*5/4 {
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
	v.fresh.noteReading(m.GetFrom(), clockReading{e.incarnation, e.reading, timeStamp(v.now)})
	if v.fresh.noteAck(v.identity.ID, m.GetFrom(), e.round, v.confState) {
		v.fresh.noteCovered(stampTime(v.fresh.confirmed.startedAt), v.fresh.confirmed.index)
	}
}

// beginTerm clears a leader's data if its term is a new one.
func (f *freshness) beginTerm(term uint64) {
	if f.term == term {
		return
	}
	f.term, f.unconfirmed, f.confirmed, f.lastRounds = term, nil, heartbeatRound{}, [2]uint64{}
	f.acked, f.missedRoundAt = map[uint64]uint64{}, map[uint64]time.Time{}
	f.pendingReadings, f.coveredReadings = map[uint64][]clockReading{}, map[uint64]clockReading{}
}

// noteReading remembers another voter's reading. If too many are pending, the new one is dropped: the next
// comes with the next answer.
func (f *freshness) noteReading(id uint64, r clockReading) {
	if r.reading > 0 && len(f.pendingReadings[id]) < maxPendingReadings {
		f.pendingReadings[id] = append(f.pendingReadings[id], r)
	}
}

// coverReadings moves the readings that were received before the confirmed round began.
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

// beginRound remembers a round; index is the commit index, 0 if nothing of the leader's own term is
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

// hasRecentLoss reports whether a voter left a round unanswered within the duration memory. The round that
// begins now has no answer yet.
func (f *freshness) hasRecentLoss(id uint64, now time.Time, memory time.Duration) bool {
	if f.acked[id] < f.lastRounds[1] {
		f.missedRoundAt[id] = now
	}
	at, isKnown := f.missedRoundAt[id]
	return isKnown && now.Sub(at) < memory
}

// quorumStamp returns the latest stamp that a majority of the voters has answered. The leader itself has
// answered all.
func (f *freshness) quorumStamp(self uint64, ids []uint64) uint64 {
	if len(ids) == 0 {
		return everyoneStamp
	}
	stamps := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id == self {
			stamps = append(stamps, everyoneStamp)
		} else {
			stamps = append(stamps, f.acked[id])
		}
	}
	slices.Sort(stamps)
	return stamps[(len(stamps)-1)/2]
}

// noteCovered remembers that a voter which has applied index is fresh as of a time. Index 0 says nothing.
func (f *freshness) noteCovered(asOf time.Time, index uint64) {
	if index > 0 && asOf.After(f.pendingAsOf) {
		f.pendingAsOf, f.pendingIndex = asOf, index
	}
}

// advance updates freshAsOf after records were applied.
func (f *freshness) advance(applied uint64) {
	if applied >= f.pendingIndex && f.pendingAsOf.After(f.freshAsOf) {
		f.freshAsOf = f.pendingAsOf
	}
}
