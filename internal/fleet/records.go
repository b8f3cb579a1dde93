package fleet

import (
	"encoding/binary"

	"dunestep/internal/fleet/replica"
)

// recordHeaderBytes is the size of a record before its data: the number of its state machine, and the name of
// the proposal.
const recordHeaderBytes = 1 + 8 + 8

func encodeRecord(machine uint8, name proposalName, data []byte) []byte {
	b := append(make([]byte, 0, recordHeaderBytes+len(data)), machine)
	b = binary.BigEndian.AppendUint64(b, name.origin)
	b = binary.BigEndian.AppendUint64(b, name.number)
	return append(b, data...)
}

// decodeRecord decodes a record; false: no agent proposes such a one.
func decodeRecord(b []byte) (machine uint8, name proposalName, data []byte, isValid bool) {
	if len(b) < recordHeaderBytes {
		return 0, name, nil, false
	}
	name.origin, name.number = binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:])
	return b[0], name, b[recordHeaderBytes:], true
}

// snapshotHeaderBytes is the size of a snapshot in the voters' log before its data. That snapshot is one of
// the replica: records are numbered as there, not by raft, which also counts configuration changes and empty
// entries.
const snapshotHeaderBytes = 3 * 8

func encodeSnapshot(s replica.Snapshot) []byte {
	b := make([]byte, 0, snapshotHeaderBytes+len(s.Data))
	for _, n := range [...]uint64{s.Epoch, s.Seq, s.Sum} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, s.Data...)
}

// decodeSnapshot decodes a snapshot in the voters' log. It returns errStateFormat for other data.
func decodeSnapshot(b []byte) (s replica.Snapshot, err error) {
	if len(b) < snapshotHeaderBytes {
		return s, errStateFormat
	}
	return replica.Snapshot{
		Epoch: binary.BigEndian.Uint64(b), Seq: binary.BigEndian.Uint64(b[8:]),
		Sum: binary.BigEndian.Uint64(b[16:]), Data: b[snapshotHeaderBytes:],
	}, nil
}
