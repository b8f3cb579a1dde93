package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// machines are those that this build knows, and what is kept for agents that know more. A snapshot of this
// agent's, a voter's above all, may be what they go on from: what it left out would be gone for them.
type stateMachines struct {
	known []StateMachine
	// beyond are the states of the machines after those, as of the snapshot that this process went on from, and
	// kept are their records since, bytes long in a snapshot.
	unknownStates  [][]byte
	unknownRecords []replica.Record
	unknownBytes   int
	isFull         bool // there is no room for more: no snapshot is made any more, and the log stays as it is
	reported       map[uint8]bool
}

const (
	// maxStateBytes is what a snapshot may have above a voter's log.
	maxStateBytes = raftlog.MaxSnapshotBytes - snapshotHeaderBytes
	// unknownRecordsMark stands in place of a state's length: what follows are kept records. Builds that do not know of
	// them stop reading after their own machines' states, which come before.
	unknownRecordsMark       = ^uint32(0)
	unknownRecordHeaderBytes = 8 + 4
)

var (
	errStateFormat        = errors.New("fleet: a state that can't be read")
	errUnknownRecordsFull = errors.New("fleet: the log has more of what this build does not know than there is room for")
	errUnknownMachine     = errors.New("fleet: records of a part that this build does not know")
	errStateTooLarge      = errors.New("fleet: the state is larger than a snapshot may be")
)

// apply gives a record to its machine, and keeps it where that is not known; unknown tells, once for each
// machine, that it is not.
func (m *stateMachines) apply(seq uint64, data []byte) (unknown error) {
	machine, _, said, ok := decodeRecord(data)
	switch {
	case !ok:
		return nil
	case int(machine) < len(m.known):
		m.known[machine].Apply(seq, said)
		return nil
	}
	if m.unknownBytes += unknownRecordHeaderBytes + len(data); m.unknownBytes > maxStateBytes {
		m.unknownRecords, m.isFull = nil, true
	}
	if !m.isFull {
		m.unknownRecords = append(m.unknownRecords, replica.Record{Seq: seq, Data: data})
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

// snapshot is the state of all, each with its length, and what is kept. It gives an error where not all of it
// has room: then there is to be none.
func (m *stateMachines) snapshot() (b []byte, err error) {
	if m.isFull {
		return nil, errUnknownRecordsFull
	}
	put := func(state []byte) {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(state))), state...)
	}
	for _, k := range m.known {
		put(k.Snapshot())
	}
	for _, state := range m.unknownStates {
		put(state)
	}
	if len(m.unknownRecords) > 0 {
		b = binary.BigEndian.AppendUint32(b, unknownRecordsMark)
	}
	for _, r := range m.unknownRecords {
		b = binary.BigEndian.AppendUint64(b, r.Seq)
		put(r.Data)
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

// restore gives each machine its state, and what was kept for it by agents that did not know it. A snapshot
// of an agent that knows fewer machines leaves the others at the beginning; nil has all begin.
func (m *stateMachines) restore(b []byte) error {
	m.unknownStates, m.unknownRecords, m.unknownBytes, m.isFull = nil, nil, 0, false
	for i := 0; i < len(m.known) || len(b) > 0; i++ {
		var state []byte
		if len(b) >= 4 && binary.BigEndian.Uint32(b) == unknownRecordsMark {
			if i >= len(m.known) {
				break
			}
		} else if len(b) > 0 {
			var ok bool
			if state, b, ok = cutState(b); !ok {
				return errStateFormat
			}
		}
		if i >= len(m.known) {
			m.unknownStates = append(m.unknownStates, state)
		} else if err := m.known[i].Restore(state); err != nil {
			return fmt.Errorf("%w: %w", errStateFormat, err)
		}
	}
	return m.restoreUnknownRecords(b)
}

// restoreUnknownRecords goes on with records that were kept, from their mark on.
func (m *stateMachines) restoreUnknownRecords(b []byte) error {
	if len(b) > 0 {
		b = b[4:]
	}
	for len(b) > 0 {
		if len(b) < unknownRecordHeaderBytes {
			return errStateFormat
		}
		seq := binary.BigEndian.Uint64(b)
		data, rest, ok := cutState(b[8:])
		if !ok {
			return errStateFormat
		}
		_ = m.apply(seq, data)
		b = rest
	}
	return nil
}

// cutState takes one with its length off the front; nil: it is empty.
func cutState(b []byte) (state, rest []byte, ok bool) {
	if len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
		return nil, nil, false
	}
	n := binary.BigEndian.Uint32(b)
	if n == 0 {
		return nil, b[4:], true
	}
	return b[4 : 4+n : 4+n], b[4+n:], true
}
