package raftlog

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// longMessageBytes is the minimum size of a long message: it is fragmented, and the transport resends its
	// fragments, so that raft must not resend the message at once.
	longMessageBytes = 200
	// maxResends is the maximum number of messages that wait to be sent a second time.
	maxResends = 8 * MaxVoters
	// maxLongAppends is the number of receivers above which the remembered long appends are cleared.
	maxLongAppends = 4 * MaxVoters
	// lossMemoryElections is the number of election timeouts for which a lost heartbeat is remembered.
	lossMemoryElections = 5
)

// sendRaft queues a raft message for the agent of its receiver. A message to an unknown receiver is dropped.
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
			e.round = toStamp(v.now)
			v.fresh.beginRound(e.round, v.safeCommitIndex())
		}
	case raftpb.MsgHeartbeatResp:
		if r := v.fresh.leaderRound[m.GetTo()]; r.index == m.GetTerm() {
			e.round, e.incarnation, e.reading = r.startedAt, v.fresh.incarnation, toStamp(v.now)
		}
	}
	return e
}

// deferMessage queues a message until the state that it depends on is written.
func (v *Voter) deferMessage(to uint32, b []byte) {
	v.deferredMessages = append(v.deferredMessages, Message{to, b})
}

// resend is a message that is sent a second time shortly after the first, unless the sender got another ID
// meanwhile.
type resend struct {
	at time.Time
	id uint64 // the sender's raft ID
	Message
}

// shouldResend reports whether a message is sent twice; messages are idempotent. Votes are always sent twice,
// as an election needs four messages in a row to arrive. Other messages are sent twice only if heartbeats
// were lost recently, as raft repeats a lost append only after the next heartbeat.
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

// sendDueResends queues the messages that are due to be sent a second time.
func (v *Voter) sendDueResends() {
	for len(v.resends) > 0 && !v.now.Before(v.resends[0].at) {
		if v.resends[0].id == v.identity.ID {
			v.deferredMessages = append(v.deferredMessages, v.resends[0].Message)
		}
		v.resends = v.resends[1:]
	}
}

// longAppend is a long append message; index is that of its first entry.
type longAppend struct {
	index  uint64
	sentAt time.Time
}

// isLongAppendInFlight reports whether a long append from the same index on was sent less than half an
// election timeout ago, and otherwise remembers this one. Raft repeats an append with each heartbeat that is
// answered, however long its fragments take to arrive.
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

// agentOf returns the agent of a raft ID: the one in the log, or else the sender of the latest message with
// that ID.
func (v *Voter) agentOf(id uint64) (agent uint32, isKnown bool) {
	if m := v.state.member(id); m != nil {
		return m.agent, true
	}
	return v.routes.get(id)
}

// routes remembers the agents of the latest senders by raft ID, for members that this voter's state does not
// contain yet.
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
