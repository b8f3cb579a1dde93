package raftlog

import (
	"encoding/binary"
	"errors"
)

var errSnapshotFormat = errors.New("the snapshot cannot be decoded")

// logState is the part of the replicated state that belongs to the log itself, not to the application. All
// voters derive the same one from the log.
type logState struct {
	founders     []member
	members      []member // ordered by raft ID
	nextID       uint64   // next raft ID to be assigned
	settled      map[ProposalID]settledProposal
	settledOrder []ProposalID // the keys of settled, oldest first
}

// member is a voter or a learner of the log.
type member struct {
	id    uint64 // raft ID
	agent uint32
	nonce uint64 // nonce of its store
}

// member returns the member with a raft ID, or nil if there is none.
func (s *logState) member(id uint64) *member {
	for i := range s.members {
		if s.members[i].id == id {
			return &s.members[i]
		}
	}
	return nil
}

// encode returns the data of a snapshot: the log's state, then the application's.
func (s *logState) encode(application []byte) []byte {
	b := binary.BigEndian.AppendUint64(nil, s.nextID)
	b = appendMembers(appendMembers(b, s.founders), s.members)
	b = binary.BigEndian.AppendUint16(b, uint16(len(s.settledOrder)))
	for _, id := range s.settledOrder {
		p := s.settled[id]
		b = binary.BigEndian.AppendUint64(appendID(b, id), p.index)
		if p.isCommitted {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return append(b, application...)
}

// decodeLogState decodes the data of a snapshot into the log's state and the application's.
func decodeLogState(b []byte) (s logState, application []byte, err error) {
	r := &reader{b: b}
	s.nextID = r.u64()
	s.founders, s.members = readMembers(r), readMembers(r)
	s.settled = map[ProposalID]settledProposal{}
	for n := r.u16(); n > 0 && !r.isTruncated; n-- {
		id := readID(r)
		s.settled[id] = settledProposal{r.u64(), r.u8() == 1}
		s.settledOrder = append(s.settledOrder, id)
	}
	if r.isTruncated {
		return s, nil, errSnapshotFormat
	}
	return s, r.b, nil
}

func appendMembers(b []byte, members []member) []byte {
	b = append(b, byte(len(members)))
	for _, m := range members {
		b = binary.BigEndian.AppendUint64(b, m.id)
		b = binary.BigEndian.AppendUint32(b, m.agent)
		b = binary.BigEndian.AppendUint64(b, m.nonce)
	}
	return b
}

func readMembers(r *reader) (members []member) {
	for n := r.u8(); n > 0 && !r.isTruncated; n-- {
		members = append(members, member{r.u64(), r.u32(), r.u64()})
	}
	return members
}
