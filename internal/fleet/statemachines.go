package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// StateMachine interprets the records of one kind. Its state depends on these records alone, and is the same
// at every agent that has applied the same records. It must not retain the data that it is given.
//
// Agents of an earlier build do not know all state machines. They store the records of unknown state machines
// in their snapshots, and an agent of a later build applies them only when it restores such a snapshot, after
// the states of all state machines. Therefore a new state machine must not depend on the state of another
// one. The only exception is the state machine of the maintenance windows, which depends on that of the fleet
// policy: every build that knows the former also knows the latter.
type StateMachine interface {
	// Apply applies the next record of this state machine. It ignores a record that it cannot decode, as every
	// agent does.
	Apply(seq uint64, data []byte)
	// Snapshot returns the encoded state, from which Restore restores the same state.
	Snapshot() []byte
	// Restore replaces the state; nil selects the state of an empty log.
	Restore(data []byte) error
}

const (
	// maxStateBytes is the maximum size of all states in a snapshot of the voters' log.
	maxStateBytes = raftlog.MaxSnapshotBytes - snapshotHeaderBytes
	// unknownRecordsMarker is written in place of a state's length. It is followed by the records that an
	// earlier build kept. Builds without support for it stop reading after the states of their own state
	// machines, which precede it.
	unknownRecordsMarker     = ^uint32(0)
	lengthBytes              = 4
	unknownRecordHeaderBytes = 8 + lengthBytes
)

var (
	errStateFormat        = errors.New("fleet: the state cannot be decoded")
	errUnknownRecordsFull = errors.New("fleet: the log has more unknown records than this build can keep")
	errUnknownMachine     = errors.New("fleet: the record is for a state machine that this build does not know")
	errStateTooLarge      = errors.New("fleet: the state exceeds the maximum size of a snapshot")
)

// stateMachines are the state machines that this build knows, and the states and records that it keeps for
// agents of later builds. Such an agent may continue from a snapshot of this agent, in particular if this
// agent is a voter, and would lose any data that the snapshot lacks.
type stateMachines struct {
	known []StateMachine
	// unknownStates are the states of the state machines after the known ones, from the snapshot that this
	// process restored, and unknownRecords are their records since then.
	unknownStates  [][]byte
	unknownRecords []replica.Record
	unknownBytes   int  // encoded size of unknownRecords in a snapshot
	isFull         bool // unknownRecords exceeded the limit: there are no more snapshots or compactions
	reported       map[uint8]bool
}

// apply applies a record, or keeps it if its state machine is unknown. It returns an error wrapping
// errUnknownMachine for the first record of each unknown state machine.
func (m *stateMachines) apply(seq uint64, record []byte) error {
	machine, _, data, isValid := decodeRecord(record)
	switch {
	case !isValid:
		return nil
	case int(machine) < len(m.known):
		m.known[machine].Apply(seq, data)
		return nil
	}
	if m.unknownBytes += unknownRecordHeaderBytes + len(record); m.unknownBytes > maxStateBytes {
		m.unknownRecords, m.isFull = nil, true
	}
	if !m.isFull {
		m.unknownRecords = append(m.unknownRecords, replica.Record{Seq: seq, Data: record})
	}
	if m.reported[machine] {
		return nil
	}
	if m.reported == nil {
		m.reported = map[uint8]bool{}
	}
	m.reported[machine] = true
	return fmt.Errorf("%w: %d", errUnknownMachine, machine)
}

// snapshot returns all states, each preceded by its length, and the kept records. It returns
// errUnknownRecordsFull or errStateTooLarge if they exceed the maximum size of a snapshot.
func (m *stateMachines) snapshot() (b []byte, err error) {
	if m.isFull {
		return nil, errUnknownRecordsFull
	}
	add := func(state []byte) {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(state))), state...)
	}
	for _, k := range m.known {
		add(k.Snapshot())
	}
	for _, state := range m.unknownStates {
		add(state)
	}
	if len(m.unknownRecords) > 0 {
		b = binary.BigEndian.AppendUint32(b, unknownRecordsMarker)
	}
	for _, r := range m.unknownRecords {
		b = binary.BigEndian.AppendUint64(b, r.Seq)
		add(r.Data)
	}
	if len(b) <= maxStateBytes {
		return b, nil
	}
	if len(m.unknownRecords) == 0 {
		return nil, errStateTooLarge
	}
	m.unknownRecords, m.isFull = nil, true
	return nil, errUnknownRecordsFull
}

// restore replaces the states by those of a snapshot, and applies the records of unknown state machines that
// earlier builds kept in it. State machines that the snapshot lacks, as it is from an earlier build, are
// reset; nil resets all. It returns an error wrapping errStateFormat if the snapshot cannot be decoded.
func (m *stateMachines) restore(b []byte) error {
	m.unknownStates, m.unknownRecords, m.unknownBytes, m.isFull = nil, nil, 0, false
	for i := 0; i < len(m.known) || len(b) > 0; i++ {
		var state []byte
		if len(b) >= lengthBytes && binary.BigEndian.Uint32(b) == unknownRecordsMarker {
			if i >= len(m.known) {
				break
			}
		} else if len(b) > 0 {
			var isValid bool
			if state, b, isValid = cutState(b); !isValid {
				return errStateFormat
			}
		}
		if i >= len(m.known) {
			m.unknownStates = append(m.unknownStates, state)
		} else if err := m.known[i].Restore(state); err != nil {
			return fmt.Errorf("%w: state machine %d: %w", errStateFormat, i, err)
		}
	}
	return m.restoreUnknownRecords(b)
}

// restoreUnknownRecords applies the kept records, which are preceded by unknownRecordsMarker; b may be empty.
func (m *stateMachines) restoreUnknownRecords(b []byte) error {
	if len(b) > 0 {
		b = b[lengthBytes:]
	}
	for len(b) > 0 {
		if len(b) < unknownRecordHeaderBytes {
			return errStateFormat
		}
		seq := binary.BigEndian.Uint64(b)
		data, rest, isValid := cutState(b[8:])
		if !isValid {
			return errStateFormat
		}
		// An unknown state machine is reported when its next record is applied.
		_ = m.apply(seq, data)
		b = rest
	}
	return nil
}

// cutState splits b into a state, which is preceded by its length, and the rest. The state is nil if it is
// empty.
func cutState(b []byte) (state, rest []byte, isValid bool) {
	if len(b) < lengthBytes || uint64(len(b)-lengthBytes) < uint64(binary.BigEndian.Uint32(b)) {
		return nil, nil, false
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 {
		return nil, b[lengthBytes:], true
	}
	return b[lengthBytes : lengthBytes+n : lengthBytes+n], b[lengthBytes+n:], true
}
