package fleet

import (
	"encoding/binary"

	"dunestep/internal/fleet/raftlog"
)

// proposalID identifies a proposal; repetitions have the same ID. The origin is unique to the process that
// proposes.
type proposalID struct{ origin, number uint64 }

// requestKind is the operation that a proposalRequest requests.
type requestKind byte

const (
	requestPropose  requestKind = 0
	requestWithdraw requestKind = 1
)

// proposalRequest requests a voter to propose or withdraw a record, and to reply with the outcome.
type proposalRequest struct {
	id        proposalID
	baseIndex uint64 // raft index assigned by the first voter; 0: the voter has to assign one
	kind      requestKind
	record    []byte // empty unless the record is to be proposed
}

const proposalHeaderBytes = 3*8 + 1

func (r proposalRequest) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalHeaderBytes+len(r.record)), r.id.origin)
	b = binary.BigEndian.AppendUint64(b, r.id.number)
	b = binary.BigEndian.AppendUint64(b, r.baseIndex)
	return append(append(b, byte(r.kind)), r.record...)
}

func decodeProposalRequest(b []byte) (r proposalRequest, isValid bool) {
	if len(b) < proposalHeaderBytes {
		return r, false
	}
	return proposalRequest{
		id:        proposalID{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])},
		baseIndex: binary.BigEndian.Uint64(b[16:]), kind: requestKind(b[24]), record: b[proposalHeaderBytes:],
	}, true
}

// proposalOutcome is a voter's reply to a proposalRequest.
type proposalOutcome byte

const (
	replyBase         proposalOutcome = iota // the request has to be repeated with the base index in the reply
	replyUnknown                             // the proposal may still be committed
	replyCommitted                           // the proposal is committed
	replyNotCommitted                        // the proposal is not committed and never will be
	replyForgotten                           // the proposal is too old for its outcome to be known
	replyNoLeader                            // the voter knows no leader: another voter has to be tried
)

// proposalReply is the message with which a voter replies to a proposalRequest.
type proposalReply struct {
	id        proposalID
	baseIndex uint64
	outcome   proposalOutcome
}

const proposalReplyBytes = 2*8 + 8 + 1

func (r proposalReply) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalReplyBytes), r.id.origin)
	b = binary.BigEndian.AppendUint64(b, r.id.number)
	b = binary.BigEndian.AppendUint64(b, r.baseIndex)
	return append(b, byte(r.outcome))
}

func decodeProposalReply(b []byte) (r proposalReply, isValid bool) {
	if len(b) != proposalReplyBytes {
		return r, false
	}
	return proposalReply{
		id:        proposalID{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])},
		baseIndex: binary.BigEndian.Uint64(b[16:]), outcome: proposalOutcome(b[24]),
	}, true
}

// replyFor returns the reply for an outcome that the voters' log reports.
func replyFor(o raftlog.Outcome) proposalOutcome {
	return [...]proposalOutcome{
		raftlog.Unknown: replyUnknown, raftlog.Committed: replyCommitted,
		raftlog.NotCommitted: replyNotCommitted, raftlog.Forgotten: replyForgotten,
	}[o]
}
