package fleet

import (
	"encoding/binary"

	"dunestep/internal/fleet/replica"
)

// recordHeaderBytes is the size of a record's header: the number of its state machine and the ID of the
// proposal.
const recordHeaderBytes = 1 + 8 + 8

func encodeRecord(machine uint8, id proposalID, data []byte) []byte {
	b := append(make([]byte, 0, recordHeaderBytes+len(data)), machine)
	b = binary.BigEndian.AppendUint64(b, id.origin)
	b = binary.BigEndian.AppendUint64(b, id.number)
	return append(b, data...)
}

// decodeRecord decodes a record. isValid is false for a record that is too short, which no agent proposes.
func decodeRecord(b []byte) (machine uint8, id proposalID, data []byte, isValid bool) {
	if len(b) < recordHeaderBytes {
		return 0, id, nil, false
	}
	id.origin, id.number = binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:])
	return b[0], id, b[recordHeaderBytes:], true
}

// snapshotHeaderBytes is the size of the header of a snapshot in the voters' log: the epoch, sequence number
// and checksum of the replica. The sequence number counts records only, whereas a raft index also counts
// configuration changes and empty entries.
const snapshotHeaderBytes = 3 * 8

func encodeSnapshot(s replica.Snapshot) []byte {
	b := make([]byte, 0, snapshotHeaderBytes+len(s.Data))
	for _, n := range [...]uint64{s.Epoch, s.Seq, s.Sum} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, s.Data...)
}

// decodeSnapshot decodes a snapshot in the voters' log. It returns errStateFormat if the data is too short.
func decodeSnapshot(b []byte) (s replica.Snapshot, err error) {
	if len(b) < snapshotHeaderBytes {
		return s, errStateFormat
	}
	return replica.Snapshot{
		Epoch: binary.BigEndian.Uint64(b), Seq: binary.BigEndian.Uint64(b[8:]),
		Sum: binary.BigEndian.Uint64(b[16:]), Data: b[snapshotHeaderBytes:],
	}, nil
}
