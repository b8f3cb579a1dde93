package raftlog

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// handleMessage processes a message of another voter. A message that cannot be decoded, or is not for this
// voter, is dropped and counted.
func (v *Voter) handleMessage(in MessageReceived) {
	r := &reader{b: in.Bytes}
	if r.u8() != wireVersion {
		v.droppedMessages++
		return
	}
	isAccepted := false
	switch r.u8() {
	case wireRaft:
		isAccepted = v.handleRaft(in.From, r)
	case wireHello:
		h := readHello(r)
		isAccepted = !r.isTruncated && h.state <= stuckLog && v.handleHello(in.From, h)
	case wireRelay:
		from, h := r.u32(), readHello(r)
		isAccepted = !r.isTruncated && h.state == noLog && v.noteHello(from, h)
	case wireWelcome:
		w := readWelcome(r)
		isAccepted = !r.isTruncated && v.handleWelcome(w)
	case wireRemoved:
		m := readRemoved(r)
		isAccepted = !r.isTruncated && v.handleRemoved(m)
	}
	if !isAccepted {
		v.droppedMessages++
	}
}

// handleRaft passes a message to raft, and reports whether it is acceptable.
func (v *Voter) handleRaft(from uint32, r *reader) bool {
	e := readEnvelope(r)
	if r.isTruncated || v.raftNode == nil || e.epoch != v.identity.Epoch {
		return false
	}
	m := &raftpb.Message{}
	if proto.Unmarshal(r.b, m) != nil || !v.isAcceptable(m) {
		return false
	}
	v.routes.put(m.GetFrom(), from)
	before := v.raftNode.BasicStatus()
	// An error reports that raft cannot use the message now, or that its sender is not a member any more.
	_ = v.raftNode.Step(m)
	after := v.raftNode.BasicStatus()
	isFromLeader := after.GetTerm() == m.GetTerm() && after.Lead == m.GetFrom() && isSentByLeader(m.GetType())
	if after.GetTerm() != before.GetTerm() || after.GetVote() != before.GetVote() || isFromLeader {
		v.lastContact = v.now
		v.resetElectionTimer()
	}
	if isFromLeader {
		v.leaderSeenAt = v.now
		v.updateFreshnessAsFollower(e, m)
	}
	v.updateFreshnessAsLeader(e, m)
	return true
}

func isSentByLeader(t raftpb.MessageType) bool {
	return t == raftpb.MsgApp || t == raftpb.MsgHeartbeat || t == raftpb.MsgSnap
}

// isAcceptable reports whether raft can process a message: it is valid and does not contradict raft's state.
func (v *Voter) isAcceptable(m *raftpb.Message) bool {
	from := m.GetFrom()
	if m.GetTo() != v.identity.ID || from == 0 || from == v.identity.ID || raft.IsLocalMsgTarget(from) {
		return false
	}
	if m.GetType() == raftpb.MsgProp {
		return areProposals(m.GetEntries())
	}
	if m.GetTerm() == 0 {
		return false
	}
	switch m.GetType() {
	case raftpb.MsgApp:
		return areAppendable(m)
	case raftpb.MsgHeartbeat:
		last, err := v.storage.LastIndex()
		return v.isWritePending || err == nil && m.GetCommit() <= last
	case raftpb.MsgSnap:
		s, _, err := decodeLogState(m.GetSnapshot().GetData())
		return m.GetSnapshot().GetMetadata().GetIndex() > 0 && err == nil && s.nextID > v.identity.ID
	case raftpb.MsgAppResp, raftpb.MsgVote, raftpb.MsgVoteResp, raftpb.MsgPreVote, raftpb.MsgPreVoteResp,
		raftpb.MsgHeartbeatResp:
		return true
	}
	return false
}

// areProposals reports whether there are forwarded entries, all of them proposals of an acceptable size.
func areProposals(entries []*raftpb.Entry) bool {
	for _, e := range entries {
		if e.GetType() != raftpb.EntryNormal || len(e.GetData()) < recordHeaderBytes ||
			len(e.GetData()) > recordHeaderBytes+MaxProposalBytes {
			return false
		}
	}
	return len(entries) > 0
}

// areAppendable reports whether the entries of an append are contiguous, and none is of a term after the
// sender's.
func areAppendable(m *raftpb.Message) bool {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+1+uint64(i) || e.GetTerm() == 0 || e.GetTerm() > m.GetTerm() {
			return false
		}
	}
	return true
}
