package raftlog

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// longMessageBytes is the size from which a message counts as long: it is fragmented, and its fragments are
	// resent by the transport, so that raft must not resend the message at once.
	longMessageBytes = 200
	// maxResends bounds the messages that wait to be sent a second time.
	maxResends = 8 * MaxVoters
	// maxLongAppends bounds the receivers for which the last long append is remembered.
	maxLongAppends = 4 * MaxVoters
	// lossMemoryElections is the number of election timeouts for which a lost heartbeat is remembered.
	lossMemoryElections = 5
)

// sendRaft queues a message of raft's for the agent of its receiver.
func (v *Voter) sendRaft(m *raftpb.Message) {
	to, isKnown := v.agentOf(m.GetTo())
	if !isKnown {
		return
	}
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(v.envelopeOf(m).encode(), m)
	if err != nil {
		v.droppedMessages++
		return
	}
	if m.GetType() != raftpb.MsgApp || !v.isLongAppendInFlight(m, len(b)) {
		v.deferMessage(to, b)
	}
	if v.shouldResend(m, len(b)) && len(v.resends) < maxResends {
		v.resends = append(v.resends, resend{v.now.Add(v.config.Tick / 4), v.identity.ID, Message{to, b}})
	}
}

// envelopeOf returns the envelope of a message, with the freshness data that goes with its type.
func (v *Voter) envelopeOf(m *raftpb.Message) envelope {
	e := envelope{epoch: v.identity.Epoch}
	switch m.GetType() {
	case raftpb.MsgHeartbeat, raftpb.MsgApp:
		b := v.raftNode.BasicStatus()
		if !v.isLeader() || b.GetTerm() != m.GetTerm() {
			break
		}
		v.fresh.beginTerm(b.GetTerm())
		covered := v.fresh.coveredReadings[m.GetTo()]
		e.incarnation, e.reading, e.index = covered.incarnation, covered.reading, v.fresh.confirmed.index
		if m.GetType() == raftpb.MsgHeartbeat {
			e.round = timeStamp(v.now)
			v.fresh.beginRound(e.round, v.safeCommitIndex())
		}
	case raftpb.MsgHeartbeatResp:
		if r := v.fresh.leaderRound[m.GetTo()]; r.index == m.GetTerm() {
			e.round, e.incarnation, e.reading = r.startedAt, v.fresh.incarnation, timeStamp(v.now)
		}
	}
	return e
}

// deferMessage queues a message until everything that it rests on is written.
func (v *Voter) deferMessage(to uint32, b []byte) {
	v.deferredMessages = append(v.deferredMessages, Message{to, b})
}

// resend is a message that is sent a second time shortly after the first, unless the sender got another ID
// meanwhile.
type resend struct {
	at time.Time
	id uint64 // of the sender
	Message
}

// shouldResend reports whether a message is sent twice. Messages are idempotent. An election needs four
// messages in a row, therefore votes are always sent twice; other messages are while heartbeats were lost
// lately, as a lost append waits for the next heartbeat.
func (v *Voter) shouldResend(m *raftpb.Message, size int) bool {
	memory := lossMemoryElections * v.config.electionTimeout()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp:
		return true
	case raftpb.MsgHeartbeat:
		return v.isLeader() && v.fresh.hasRecentLoss(m.GetTo(), v.now, memory)
	case raftpb.MsgApp:
		return v.isLeader() && size < longMessageBytes && len(m.GetEntries()) > 0 &&
			v.fresh.hasRecentLoss(m.GetTo(), v.now, memory)
	case raftpb.MsgHeartbeatResp, raftpb.MsgAppResp:
		return !v.fresh.lateHeartbeatAt.IsZero() && v.now.Sub(v.fresh.lateHeartbeatAt) < memory
	}
	return false
}

func (v *Voter) sendDueResends() {
	for len(v.resends) > 0 && !v.now.Before(v.resends[0].at) {
		if v.resends[0].id == v.identity.ID {
			v.deferredMessages = append(v.deferredMessages, v.resends[0].Message)
		}
		v.resends = v.resends[1:]
	}
}

// longAppend is a long append message that begins at an index.
type longAppend struct {
	index  uint64
	sentAt time.Time
}

// isLongAppendInFlight reports whether a long append of the same entries was sent a moment ago, and notes
// this one otherwise. Raft repeats an append with each heartbeat that is answered, however long its fragments
// take.
func (v *Voter) isLongAppendInFlight(m *raftpb.Message, size int) bool {
	if size < longMessageBytes {
		return false
	}
	last := v.longAppends[m.GetTo()]
	if last.index == m.GetIndex()+1 && v.now.Sub(last.sentAt) < v.config.electionTimeout()/2 {
		return true
	}
	if v.longAppends == nil || len(v.longAppends) > maxLongAppends {
		v.longAppends = map[uint64]longAppend{}
	}
	v.longAppends[m.GetTo()] = longAppend{m.GetIndex() + 1, v.now}
	return false
}

// agentOf returns the agent of a raft ID: as the log has it, or as messages came from it.
func (v *Voter) agentOf(id uint64) (agent uint32, isKnown bool) {
	if m := v.state.member(id); m != nil {
		return m.agent, true
	}
	return v.routes.get(id)
}

// routes remembers the agents of the latest senders, for members that this voter's state does not contain
// yet.
type routes [16]struct {
	id    uint64
	agent uint32
}

func (r *routes) put(id uint64, agent uint32) {
	i := id % uint64(len(r))
	r[i].id, r[i].agent = id, agent
}

func (r *routes) get(id uint64) (agent uint32, isKnown bool) {
	entry := r[id%uint64(len(r))]
	return entry.agent, entry.id == id && id != 0
}
