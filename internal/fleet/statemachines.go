package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// StateMachine is what records of one kind mean: its state follows from them alone, and is the same at every
// agent that has applied as many. It must not retain the data that it is given.
//
// Agents of an earlier build do not know all state machines. They keep the records of the others, which are
// applied only where a snapshot of theirs is read: a state machine that is added must not depend on the state
// of another one, except as the maintenance windows' do on the policy's, which every build knows that has
// either.
type StateMachine interface {
	// Apply applies the next record of this state machine. What it cannot decode it ignores: every agent does.
	Apply(seq uint64, data []byte)
	// Snapshot returns the state, such that Restore makes the same of it.
	Snapshot() []byte
	// Restore replaces the state; nil is that of a log that begins.
	Restore(data []byte) error
}

const (
	// maxStateBytes is the maximum size of all states in a snapshot of the voters' log.
	maxStateBytes = raftlog.MaxSnapshotBytes - snapshotHeaderBytes
	// unknownRecordsMark stands in place of a state's length: what follows are records that an earlier build
	// kept. Builds that do not know of them stop reading after the states of their own state machines, which
	// come before.
	unknownRecordsMark       = ^uint32(0)
	lengthBytes              = 4
	unknownRecordHeaderBytes = 8 + lengthBytes
)

var (
	errStateFormat        = errors.New("fleet: the state cannot be decoded")
	errUnknownRecordsFull = errors.New("fleet: the log has more unknown records than this build can keep")
	errUnknownMachine     = errors.New("fleet: the record is for a state machine that this build does not know")
	errStateTooLarge      = errors.New("fleet: the state exceeds the maximum size of a snapshot")
)

// stateMachines are the state machines that this build knows, and what is kept for agents of later builds:
// these may continue from a snapshot of this agent, above all of a voter, and would lose what it left out.
type stateMachines struct {
	known []StateMachine
	// unknownStates are the states of the state machines after the known ones, as of the snapshot from which
	// this process continued, and unknownRecords are their records since.
	unknownStates  [][]byte
	unknownRecords []replica.Record
	unknownBytes   int  // of the records in a snapshot
	isFull         bool // no capacity for more: no snapshot is made any more, and the log stays as it is
	reported       map[uint8]bool
}

// apply applies a record, or keeps it if its state machine is unknown. It returns errUnknownMachine once for
// each unknown state machine.
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

// snapshot returns all states, each with its length, and what is kept. It returns errUnknownRecordsFull or
// errStateTooLarge if that exceeds the maximum size: no snapshot is made then.
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
		b = binary.BigEndian.AppendUint32(b, unknownRecordsMark)
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

// restore replaces the states by those of a snapshot, and applies the records that were kept in it by agents
// that did not know their state machines. A snapshot of an agent that knows fewer state machines resets the
// others; nil resets all. It returns an error wrapping errStateFormat.
func (m *stateMachines) restore(b []byte) error {
	m.unknownStates, m.unknownRecords, m.unknownBytes, m.isFull = nil, nil, 0, false
	for i := 0; i < len(m.known) || len(b) > 0; i++ {
		var state []byte
		if len(b) >= lengthBytes && binary.BigEndian.Uint32(b) == unknownRecordsMark {
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

// restoreUnknownRecords applies the kept records, from their mark on.
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
		// An unknown state machine is reported by its next record.
		_ = m.apply(seq, data)
		b = rest
	}
	return nil
}

// cutState cuts a state with its length off the front; the state is nil if it is empty.
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
