package raftlog

import (
	"encoding/binary"
	"errors"

	"go.etcd.io/raft/v3/raftpb"
)

// ProposalID tells proposals from each other. Origin and Number are the proposer's: no two proposals have the same.
// Base is the index of the last record that the proposer knew of when it first asked: the proposal is taken
// up to ProposalWindow records after it, or never. So a bounded table is enough to do each proposal once.
type ProposalID struct{ Origin, Number, Base uint64 }

// Outcome is what became of a proposal.
type Outcome uint8

const (
	// Unknown: it may yet be taken. Ask again, or withdraw it.
	Unknown Outcome = iota
	// Committed: it is in the log, once.
	Committed
	// NotCommitted: it is not, and never will be.
	NotCommitted
	// Forgotten: it is too long ago to tell.
	Forgotten
)

const (
	kindProposal   = 1
	kindWithdrawal = 2

	idBytes           = 24
	recordHeaderBytes = 1 + idBytes
	// remembered is for how many records what was taken is known: all that may still be asked for, and as
	// many again for whoever asks what became of one.
	rememberedRecords = 2 * ProposalWindow
)

var errSnapshotFormat = errors.New("consensus: a snapshot that can't be read")

// table is what all voters know alike, by applying the log.
type logState struct {
	founders     []member // of the log's first record
	members      []member // by id
	nextID       uint64   // the next id to be given
	settled      map[ProposalID]settledProposal
	settledOrder []ProposalID // of settled, oldest first
}

// member is a voter, or a learner that is to become one.
type member struct {
	id    uint64
	agent uint32
	nonce uint64
}

type settledProposal struct {
	index       uint64
	isCommitted bool
}

func (t *logState) member(id uint64) *member {
	for i := range t.members {
		if t.members[i].id == id {
			return &t.members[i]
		}
	}
	return nil
}

// settle takes a record's proposal, and says whether it is to be done: the first time, and in time.
func (t *logState) settle(id ProposalID, index uint64, taken bool) bool {
	for len(t.settledOrder) > 0 && t.settled[t.settledOrder[0]].index+rememberedRecords <= index {
		delete(t.settled, t.settledOrder[0])
		t.settledOrder = t.settledOrder[1:]
	}
	if _, is := t.settled[id]; is || id.Base >= index || index-id.Base > ProposalWindow {
		return false
	}
	if t.settled == nil {
		t.settled = map[ProposalID]settledProposal{}
	}
	t.settled[id] = settledProposal{index, taken}
	t.settledOrder = append(t.settledOrder, id)
	return taken
}

func (t *logState) outcome(id ProposalID, applied uint64) (Outcome, uint64) {
	s, is := t.settled[id]
	switch {
	case is && s.isCommitted:
		return Committed, s.index
	case is:
		return NotCommitted, 0
	case applied < id.Base || applied-id.Base < ProposalWindow:
		return Unknown, 0
	case applied-id.Base < rememberedRecords:
		return NotCommitted, 0
	}
	return Forgotten, 0
}

func appendID(b []byte, id ProposalID) []byte {
	b = binary.BigEndian.AppendUint64(b, id.Origin)
	b = binary.BigEndian.AppendUint64(b, id.Number)
	return binary.BigEndian.AppendUint64(b, id.Base)
}

func readID(b []byte) ProposalID {
	return ProposalID{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])}
}

func encodeRecord(kind byte, id ProposalID, data []byte) []byte {
	b := append(make([]byte, 0, recordHeaderBytes+len(data)), kind)
	return append(appendID(b, id), data...)
}

// encode writes the table and the state above.
func (t *logState) encode(above []byte) []byte {
	b := binary.BigEndian.AppendUint64(nil, t.nextID)
	b = appendMembers(appendMembers(b, t.founders), t.members)
	b = binary.BigEndian.AppendUint16(b, uint16(len(t.settledOrder)))
	for _, id := range t.settledOrder {
		s := t.settled[id]
		b = binary.BigEndian.AppendUint64(appendID(b, id), s.index)
		if s.isCommitted {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return append(b, above...)
}

func appendMembers(b []byte, ms []member) []byte {
	b = append(b, byte(len(ms)))
	for _, m := range ms {
		b = binary.BigEndian.AppendUint64(b, m.id)
		b = binary.BigEndian.AppendUint32(b, m.agent)
		b = binary.BigEndian.AppendUint64(b, m.nonce)
	}
	return b
}

func readMembers(r *reader) (ms []member) {
	for n := r.u8(); n > 0 && !r.tooShort; n-- {
		ms = append(ms, member{r.u64(), r.u32(), r.u64()})
	}
	return ms
}

func decodeLogState(b []byte) (t logState, above []byte, err error) {
	r := &reader{b: b}
	t.nextID = r.u64()
	t.founders, t.members = readMembers(r), readMembers(r)
	t.settled = map[ProposalID]settledProposal{}
	for n := r.u16(); n > 0 && !r.tooShort; n-- {
		id := ProposalID{r.u64(), r.u64(), r.u64()}
		t.settled[id] = settledProposal{r.u64(), r.u8() == 1}
		t.settledOrder = append(t.settledOrder, id)
	}
	if r.tooShort {
		return t, nil, errSnapshotFormat
	}
	return t, r.b, nil
}

// change is what a record that changes the voters does. One that does not fit is left out, by all alike.
func (t *logState) isValidChange(c *raftpb.ConfChangeV2, conf *raftpb.ConfState) bool {
	joint := len(conf.GetVotersOutgoing()) > 0
	if c.LeaveJoint() {
		return joint
	}
	if joint {
		return false
	}
	votes := len(conf.GetVoters())
	for _, ch := range c.GetChanges() {
		m := t.member(ch.GetNodeId())
		switch ch.GetType() {
		case raftpb.ConfChangeAddLearnerNode:
			// Numbers are never used twice.
			if ch.GetNodeId() != t.nextID || len(c.GetChanges()) != 1 || len(c.GetContext()) != changeContextBytes {
				return false
			}
		case raftpb.ConfChangeAddNode:
			if m == nil || !contains(conf.GetLearners(), m.id) {
				return false
			}
			votes++
		case raftpb.ConfChangeRemoveNode:
			if m == nil {
				return false
			}
			if contains(conf.GetVoters(), m.id) {
				votes--
			}
		default:
			return false
		}
	}
	return votes > 0
}

const changeContextBytes = 4 + 8

// changed takes over what a change of voters did.
func (t *logState) applyChange(c *raftpb.ConfChangeV2, conf *raftpb.ConfState) {
	for _, ch := range c.GetChanges() {
		if ch.GetType() == raftpb.ConfChangeAddLearnerNode {
			r := &reader{b: c.GetContext()}
			t.members = append(t.members, member{ch.GetNodeId(), r.u32(), r.u64()})
			t.nextID = ch.GetNodeId() + 1
		}
	}
	stay := t.members[:0:0]
	for _, m := range t.members {
		if inConf(conf, m.id) {
			stay = append(stay, m)
		}
	}
	t.members = stay
}

func inConf(c *raftpb.ConfState, id uint64) bool {
	return contains(c.GetVoters(), id) || contains(c.GetVotersOutgoing(), id) ||
		contains(c.GetLearners(), id) || contains(c.GetLearnersNext(), id)
}

func contains(ids []uint64, id uint64) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}
