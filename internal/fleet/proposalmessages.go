package fleet

import (
	"encoding/binary"

	"dunestep/internal/fleet/raftlog"
)

// proposalName identifies a proposal, whoever repeats it: no two processes have the same origin.
type proposalName struct{ origin, number uint64 }

// requestKind is what a proposalRequest asks for.
type requestKind byte

const (
	requestPropose  requestKind = 0
	requestWithdraw requestKind = 1
)

// proposalRequest asks a voter to propose a record or to withdraw it, and what became of it.
type proposalRequest struct {
	name      proposalName
	baseIndex uint64 // 0: the voter is to assign one
	kind      requestKind
	record    []byte // empty unless it is to be proposed
}

const proposalHeaderBytes = 3*8 + 1

func (r proposalRequest) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalHeaderBytes+len(r.record)), r.name.origin)
	b = binary.BigEndian.AppendUint64(b, r.name.number)
	b = binary.BigEndian.AppendUint64(b, r.baseIndex)
	return append(append(b, byte(r.kind)), r.record...)
}

func decodeProposalRequest(b []byte) (r proposalRequest, isValid bool) {
	if len(b) < proposalHeaderBytes {
		return r, false
	}
	return proposalRequest{
		name:      proposalName{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])},
		baseIndex: binary.BigEndian.Uint64(b[16:]), kind: requestKind(b[24]), record: b[proposalHeaderBytes:],
	}, true
}

// proposalOutcome is what a voter replies.
type proposalOutcome byte

const (
	replyBase         proposalOutcome = iota // propose it with this base index
	replyUnknown                             // it may still be committed
	replyCommitted                           // it is committed
	replyNotCommitted                        // it never will be committed
	replyForgotten                           // it is too old to tell
	replyNoLeader                            // ask another voter
)

// proposalReply is a voter's reply to a proposalRequest.
type proposalReply struct {
	name      proposalName
	baseIndex uint64
	outcome   proposalOutcome
}

const proposalReplyBytes = 2*8 + 8 + 1

func (r proposalReply) encode() []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, proposalReplyBytes), r.name.origin)
	b = binary.BigEndian.AppendUint64(b, r.name.number)
	b = binary.BigEndian.AppendUint64(b, r.baseIndex)
	return append(b, byte(r.outcome))
}

func decodeProposalReply(b []byte) (r proposalReply, isValid bool) {
	if len(b) != proposalReplyBytes {
		return r, false
	}
	return proposalReply{
		name:      proposalName{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])},
		baseIndex: binary.BigEndian.Uint64(b[16:]), outcome: proposalOutcome(b[24]),
	}, true
}

// replyFor returns the reply for an outcome in the log.
func replyFor(o raftlog.Outcome) proposalOutcome {
	return [...]proposalOutcome{
		raftlog.Unknown: replyUnknown, raftlog.Committed: replyCommitted,
		raftlog.NotCommitted: replyNotCommitted, raftlog.Forgotten: replyForgotten,
	}[o]
}
