package raftlog

import "encoding/binary"

// ProposalID identifies a proposal. Origin and Number are chosen by the proposer, and no two proposals have
// the same pair. Base is the index of the last record that the proposer knew when it first proposed; the
// proposal is committed at most ProposalWindow records after it, or never. This bounds the memory that is
// needed to apply each proposal only once.
type ProposalID struct{ Origin, Number, Base uint64 }

// Outcome is the known result of a proposal.
type Outcome uint8

// The outcomes.
const (
	// Unknown proposals may still be committed. They may be repeated or withdrawn.
	Unknown Outcome = iota
	// Committed proposals are in the log, exactly once.
	Committed
	// NotCommitted proposals are not in the log and never will be.
	NotCommitted
	// Forgotten proposals are so old that their outcome is not remembered.
	Forgotten
)

// recordKind is the first byte of a record.
type recordKind byte

const (
	kindProposal   recordKind = 1
	kindWithdrawal recordKind = 2
)

const (
	proposalIDBytes   = 3 * 8
	recordHeaderBytes = 1 + proposalIDBytes
	// rememberedRecords is the number of records for which outcomes are remembered: the window in which a
	// proposal may be committed, and a second window in which its outcome can be queried.
	rememberedRecords = 2 * ProposalWindow
)

// propose proposes a record or a withdrawal, unless the proposal's outcome is known already.
func (v *Voter) propose(kind recordKind, id ProposalID, data []byte) error {
	switch {
	case len(data) > MaxProposalBytes:
		return ErrTooLong
	case v.raftNode == nil || v.leaderID() == 0:
		return ErrNoLeader
	}
	if o, _ := v.state.outcome(id, v.appliedIndex); o == Committed {
		return nil
	} else if o != Unknown {
		return ErrTooOld
	}
	if err := v.raftNode.Propose(encodeRecord(kind, id, data)); err != nil {
		return ErrBusy
	}
	return nil
}

func encodeRecord(kind recordKind, id ProposalID, data []byte) []byte {
	b := append(make([]byte, 0, recordHeaderBytes+len(data)), byte(kind))
	return append(appendID(b, id), data...)
}

// decodeRecord decodes a record of at least recordHeaderBytes.
func decodeRecord(b []byte) (kind recordKind, id ProposalID, data []byte) {
	r := &reader{b: b}
	kind, id = recordKind(r.u8()), readID(r)
	return kind, id, r.b
}

func appendID(b []byte, id ProposalID) []byte {
	b = binary.BigEndian.AppendUint64(b, id.Origin)
	b = binary.BigEndian.AppendUint64(b, id.Number)
	return binary.BigEndian.AppendUint64(b, id.Base)
}

func readID(r *reader) ProposalID {
	return ProposalID{Origin: r.u64(), Number: r.u64(), Base: r.u64()}
}

// settledProposal is a proposal whose outcome is known.
type settledProposal struct {
	index       uint64 // index of the record that settled it
	isCommitted bool   // false: withdrawn
}

// settle processes the record of a proposal at an index, and reports whether the proposal is applied. It is
// applied if the record is the first one of this proposal, within the window, and not a withdrawal.
func (s *logState) settle(id ProposalID, index uint64, kind recordKind) (isApplied bool) {
	for len(s.settledOrder) > 0 && s.settled[s.settledOrder[0]].index+rememberedRecords <= index {
		delete(s.settled, s.settledOrder[0])
		s.settledOrder = s.settledOrder[1:]
	}
	if _, isSettled := s.settled[id]; isSettled || id.Base >= index || index-id.Base > ProposalWindow {
		return false
	}
	if s.settled == nil {
		s.settled = map[ProposalID]settledProposal{}
	}
	isApplied = kind == kindProposal
	s.settled[id] = settledProposal{index, isApplied}
	s.settledOrder = append(s.settledOrder, id)
	return isApplied
}

// outcome returns the outcome of a proposal as of the applied index, and its index if it was committed.
func (s *logState) outcome(id ProposalID, applied uint64) (Outcome, uint64) {
	p, isSettled := s.settled[id]
	switch {
	case isSettled && p.isCommitted:
		return Committed, p.index
	case isSettled:
		return NotCommitted, 0
	case applied < id.Base || applied-id.Base < ProposalWindow:
		return Unknown, 0
	case applied-id.Base < rememberedRecords:
		return NotCommitted, 0
	}
	return Forgotten, 0
}
