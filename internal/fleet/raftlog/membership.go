package raftlog

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

const (
	// maxLearnerLagEntries is the maximum number of entries that a learner may be behind when it becomes a
	// voter.
	maxLearnerLagEntries = 8
	// silentLearnerElections is the number of election timeouts after which a learner that sends no messages is
	// removed.
	silentLearnerElections = 10
)

// reconfigure proposes, as the leader, the next configuration change that is due. Changes are made one at a
// time.
func (v *Voter) reconfigure() {
	switch {
	case len(v.confState.GetVotersOutgoing()) > 0:
		return // a change is in progress
	case v.now.Sub(v.joining.lastConfChange) < v.config.electionTimeout():
		return
	case v.appliedIndex < v.raftNode.BasicStatus().GetCommit():
		return
	}
	if c := v.nextConfChange(); c != nil {
		v.joining.lastConfChange = v.now
		// Raft drops the change while an earlier one is not applied yet; it is proposed again later.
		_ = v.raftNode.ProposeConfChange(c)
	}
}

// nextConfChange returns the next change that is due, or nil if none is.
func (v *Voter) nextConfChange() *raftpb.ConfChangeV2 {
	if ids := v.confState.GetLearners(); len(ids) > 0 {
		return v.learnerConfChange(ids[0])
	}
	for _, a := range v.config.Voters {
		h, isKnown := v.joining.hellos[a]
		if isKnown && v.isRecent(h) && h.state == noLog && h.nonce > v.highestNonce(a) {
			return confChange(addContext(a, h.nonce), singleChange(raftpb.ConfChangeAddLearnerNode, v.state.nextID))
		}
	}
	if ids := v.confState.GetVoters(); len(ids) > len(v.config.Voters) {
		if id := v.unconfiguredVoter(); id != 0 {
			return confChange(nil, singleChange(raftpb.ConfChangeRemoveNode, id))
		}
	}
	return nil
}

// learnerConfChange returns the change that is due for a learner, or nil if none is. A learner that has
// caught up becomes a voter, and replaces its agent's earlier store or a voter that is not configured any
// more. A learner that is gone, silent or not configured any more is removed.
func (v *Voter) learnerConfChange(id uint64) *raftpb.ConfChangeV2 {
	remove := confChange(nil, singleChange(raftpb.ConfChangeRemoveNode, id))
	m := v.state.member(id)
	if m == nil || v.isReplaced(*m) || !slices.Contains(v.config.Voters, m.agent) {
		return remove
	}
	isCaughtUp, isSilent := v.learnerProgress(id)
	switch {
	case isSilent:
		return remove
	case !isCaughtUp:
		return nil
	}
	add := singleChange(raftpb.ConfChangeAddNode, id)
	for _, o := range v.state.members {
		if o.agent == m.agent && o.id != id {
			return confChange(nil, add, singleChange(raftpb.ConfChangeRemoveNode, o.id))
		}
	}
	if o := v.unconfiguredVoter(); o != 0 && len(v.confState.GetVoters()) >= len(v.config.Voters) {
		return confChange(nil, add, singleChange(raftpb.ConfChangeRemoveNode, o))
	}
	return confChange(nil, add)
}

func (v *Voter) learnerProgress(id uint64) (isCaughtUp, isSilent bool) {
	v.raftNode.WithProgress(func(i uint64, _ raft.ProgressType, pr tracker.Progress) {
		if i == id {
			isCaughtUp = pr.RecentActive && pr.State == tracker.StateReplicate &&
				pr.Match+maxLearnerLagEntries >= v.appliedIndex
			isSilent = !pr.RecentActive &&
				v.now.Sub(v.joining.lastConfChange) > silentLearnerElections*v.config.electionTimeout()
		}
	})
	return isCaughtUp, isSilent
}

// highestNonce returns the highest nonce of an agent's members, or 0 if it has no members.
func (v *Voter) highestNonce(agent uint32) (n uint64) {
	for _, m := range v.state.members {
		if m.agent == agent {
			n = max(n, m.nonce)
		}
	}
	return n
}

// unconfiguredVoter returns the raft ID of a voter whose agent is not configured any more, or 0 if there is
// none. It returns this voter's own ID only if there is no other such voter.
func (v *Voter) unconfiguredVoter() (id uint64) {
	for _, m := range v.state.members {
		if slices.Contains(v.config.Voters, m.agent) || !slices.Contains(v.confState.GetVoters(), m.id) {
			continue
		}
		if id = m.id; id != v.identity.ID {
			return id
		}
	}
	return id
}

func singleChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

func confChange(ctx []byte, changes ...*raftpb.ConfChangeSingle) *raftpb.ConfChangeV2 {
	return &raftpb.ConfChangeV2{Changes: changes, Context: ctx}
}

// changeContextBytes is the size of the context of a change that adds a learner: its agent's number and its
// nonce.
const changeContextBytes = 4 + 8

func addContext(agent uint32, nonce uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, agent), nonce)
}

// isValidChange reports whether a committed configuration change is valid, and so applied. All voters reach
// the same result.
func (s *logState) isValidChange(c *raftpb.ConfChangeV2, conf *raftpb.ConfState) bool {
	isJoint := len(conf.GetVotersOutgoing()) > 0
	if c.LeaveJoint() {
		return isJoint
	}
	if isJoint {
		return false
	}
	votes := len(conf.GetVoters())
	for _, ch := range c.GetChanges() {
		m := s.member(ch.GetNodeId())
		switch ch.GetType() {
		case raftpb.ConfChangeAddLearnerNode:
			isNextID := ch.GetNodeId() == s.nextID // IDs are never used twice
			if !isNextID || len(c.GetChanges()) != 1 || len(c.GetContext()) != changeContextBytes {
				return false
			}
		case raftpb.ConfChangeAddNode:
			if m == nil || !slices.Contains(conf.GetLearners(), m.id) {
				return false
			}
			votes++
		case raftpb.ConfChangeRemoveNode:
			if m == nil {
				return false
			}
			if slices.Contains(conf.GetVoters(), m.id) {
				votes--
			}
		default:
			return false
		}
	}
	return votes > 0
}

// applyChange updates the members after raft has applied a valid change; conf is the resulting configuration.
func (s *logState) applyChange(c *raftpb.ConfChangeV2, conf *raftpb.ConfState) {
	for _, ch := range c.GetChanges() {
		if ch.GetType() == raftpb.ConfChangeAddLearnerNode {
			r := &reader{b: c.GetContext()}
			s.members = append(s.members, member{ch.GetNodeId(), r.u32(), r.u64()})
			s.nextID = ch.GetNodeId() + 1
		}
	}
	// A new slice, as founders may share the array of members.
	remaining := s.members[:0:0]
	for _, m := range s.members {
		if isInConfig(conf, m.id) {
			remaining = append(remaining, m)
		}
	}
	s.members = remaining
}

func isInConfig(c *raftpb.ConfState, id uint64) bool {
	return slices.Contains(c.GetVoters(), id) || slices.Contains(c.GetVotersOutgoing(), id) ||
		slices.Contains(c.GetLearners(), id) || slices.Contains(c.GetLearnersNext(), id)
}
