package fleet

import (
	"encoding/binary"

	"dunestep/internal/fleet/replica"
)

// StateMachine is what records of one kind mean: its state follows from them alone, and is the same at every
// agent that has applied as many. It must not keep the data.
//
// Agents of an earlier build do not know all machines. They keep the records of the others, which are applied
// only where a snapshot of theirs is read: a machine that is added must not go by the state of another one,
// as the windows' do by the policy's, which every build knows that has either.
type StateMachine interface {
	// Apply takes the next record of this machine. What it can't read it passes over: every agent does.
	Apply(seq uint64, data []byte)
	// Snapshot is the state, such that Restore makes the same of it.
	Snapshot() []byte
	// Restore replaces the state; nil is that of a log that begins.
	Restore(data []byte) error
}

// A record's data: which machine it is for, whose proposal it is, and what it says.
const recordHeaderBytes = 1 + 8 + 8

// proposalName tells proposals apart, whoever asks: no two processes have the same origin.
type proposalName struct{ origin, number uint64 }

func encodeRecord(machine uint8, t proposalName, data []byte) []byte {
	b := append(make([]byte, 0, recordHeaderBytes+len(data)), machine)
	b = binary.BigEndian.AppendUint64(b, t.origin)
	b = binary.BigEndian.AppendUint64(b, t.number)
	return append(b, data...)
}

// decodeRecord gives ok false for what no agent proposes.
func decodeRecord(b []byte) (machine uint8, t proposalName, data []byte, ok bool) {
	if len(b) < recordHeaderBytes {
		return 0, t, nil, false
	}
	t.origin, t.number = binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:])
	return b[0], t, b[recordHeaderBytes:], true
}

// The state above the voters' log is a chronicle's snapshot: records are numbered by it, not by raft,
// which counts changes of voters and empty ones too.
const snapshotHeaderBytes = 3 * 8

func encodeSnapshot(s replica.Snapshot) []byte {
	b := make([]byte, 0, snapshotHeaderBytes+len(s.Data))
	for _, n := range [...]uint64{s.Epoch, s.Seq, s.Sum} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, s.Data...)
}

func decodeSnapshot(b []byte) (s replica.Snapshot, err error) {
	if len(b) < snapshotHeaderBytes {
		return s, errStateFormat
	}
	return replica.Snapshot{
		Epoch: binary.BigEndian.Uint64(b), Seq: binary.BigEndian.Uint64(b[8:]),
		Sum: binary.BigEndian.Uint64(b[16:]), Data: b[snapshotHeaderBytes:],
	}, nil
}
