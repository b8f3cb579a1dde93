package raftlog

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// freshness is the instant, by the voter's own clock, up to which it has applied all that was agreed.
//
// A leader stamps each round of heartbeats with the time at which it began it, and remembers what was
// committed then. Voters that take a heartbeat in the leader's term send the stamp back. Once a quorum has,
// no later term can have had a leader before the stamp: it would have needed a vote of one that was in this
// term after it. So all that was told as taken before the stamp, by anyone, is within what was committed
// then, provided that this leader had committed a record of its own term.
//
// With the stamp a voter sends a reading of its own clock. A round that begins after the leader has that
// covers all that was agreed before the reading, so when a quorum has answered the round the leader tells
// the reading again, with what was committed, and a voter that has applied so far is fresh as of it. So
// no two machines' clocks are compared: one may be off by any amount. A message that is late is no worse
// than one that is lost.
type freshness struct {
	incarnation uint64    // tells this process from others of the same voter, whose clock may have begun anew
	freshAsOf   time.Time // applied here

	// told, not applied here yet
	pendingAsOf  time.Time
	pendingIndex uint64

	// a leader's
	term            uint64
	unconfirmed     []heartbeatRound          // not confirmed yet, oldest first
	acked           map[uint64]uint64         // the last stamp that came back, by id
	missedRoundAt   map[uint64]time.Time      // when a round was not answered, by id
	lastRounds      [2]uint64                 // the stamps of the last round that was begun, and of the one before
	confirmed       heartbeatRound            // the last round that a quorum answered
	pendingReadings map[uint64][]clockReading // readings of others that no such round has covered yet, oldest first
	coveredReadings map[uint64]clockReading   // the latest that one has

	leaderRound     map[uint64]heartbeatRound // the last stamp of a leader, with its term as index, by its id
	lateHeartbeatAt time.Time                 // when the last stamp came too long after the one before
}

type heartbeatRound struct{ startedAt, index uint64 }

// ask is a reading of another voter's clock, and when it came, by the leader's.
type clockReading struct{ incarnation, reading, receivedAt uint64 }

const maxUnconfirmedRounds, maxPendingReadings = 64, 16

// lead makes a leader's book new in each term.
func (f *freshness) beginTerm(term uint64) {
	if f.term != term {
		f.term, f.unconfirmed, f.acked, f.confirmed, f.lastRounds = term, nil, map[uint64]uint64{}, heartbeatRound{}, [2]uint64{}
		f.missedRoundAt = map[uint64]time.Time{}
		f.pendingReadings, f.coveredReadings = map[uint64][]clockReading{}, map[uint64]clockReading{}
	}
}

// asks notes another voter's reading. Where too many wait the latest is passed over: one comes with each
// answer.
func (f *freshness) noteReading(id uint64, a clockReading) {
	if a.reading > 0 && len(f.pendingReadings[id]) < maxPendingReadings {
		f.pendingReadings[id] = append(f.pendingReadings[id], a)
	}
}

// cover takes the readings that came before a round began which a quorum has answered.
func (f *freshness) coverReadings() {
	for id, asks := range f.pendingReadings {
		n := 0
		for n < len(asks) && asks[n].receivedAt < f.confirmed.startedAt {
			f.coveredReadings[id] = asks[n]
			n++
		}
		f.pendingReadings[id] = asks[n:]
	}
}

// begin notes a round; index is what is committed, 0 if nothing of the leader's own term is.
func (f *freshness) beginRound(at, index uint64) {
	if n := len(f.unconfirmed); n > 0 && f.unconfirmed[n-1].startedAt == at {
		return
	}
	f.lastRounds = [2]uint64{at, f.lastRounds[0]}
	if f.unconfirmed = append(f.unconfirmed, heartbeatRound{at, index}); len(f.unconfirmed) > maxUnconfirmedRounds {
		f.unconfirmed = f.unconfirmed[1:]
	}
}

// answered notes an answer, and returns whether a quorum has answered one more round.
func (f *freshness) noteAck(self, id, at uint64, conf *raftpb.ConfState) bool {
	if f.acked == nil || at <= f.acked[id] {
		return false
	}
	f.acked[id] = at
	by := min(f.quorumStamp(self, conf.GetVoters()), f.quorumStamp(self, conf.GetVotersOutgoing()))
	for len(f.unconfirmed) > 0 && f.unconfirmed[0].startedAt <= by {
		f.confirmed = f.unconfirmed[0]
		f.unconfirmed = f.unconfirmed[1:]
	}
	f.coverReadings()
	return true
}

// lossy says whether a voter left a round unanswered not long ago. The round that is begun now has no answer
// yet.
func (f *freshness) hasRecentLoss(id uint64, now time.Time, long time.Duration) bool {
	if f.acked[id] < f.lastRounds[1] {
		f.missedRoundAt[id] = now
	}
	at, is := f.missedRoundAt[id]
	return is && now.Sub(at) < long
}

// quorumStamp returns the latest stamp that a majority has answered. The leader itself has answered all.
func (f *freshness) quorumStamp(self uint64, ids []uint64) uint64 {
	if len(ids) == 0 {
		return ^uint64(0)
	}
	at := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if id == self {
			at = append(at, ^uint64(0))
		} else {
			at = append(at, f.acked[id])
		}
	}
	slices.Sort(at)
	return at[(len(at)-1)/2]
}

// tell takes what a leader says.
func (f *freshness) noteCovered(at time.Time, index uint64) {
	if index > 0 && at.After(f.pendingAsOf) {
		f.pendingAsOf, f.pendingIndex = at, index
	}
}

func (f *freshness) advance(applied uint64) {
	if applied >= f.pendingIndex && f.pendingAsOf.After(f.freshAsOf) {
		f.freshAsOf = f.pendingAsOf
	}
}
