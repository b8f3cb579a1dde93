package fleetstore

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dunestep/internal/fleet/raftlog"

	"go.etcd.io/raft/v3/raftpb"
)

// Write writes a Persist as one record, and returns once it is safe on disk. After an error nothing more is
// written: each further call fails with ErrClosed.
func (s *Store) Write(persist *raftlog.Persist) error {
	if s.failure != nil {
		return s.failure
	}
	body, err := encode(persist)
	if err != nil {
		return fmt.Errorf("cannot encode a write of the voter's store: %w", err)
	}
	next := s.stored
	applyWrite(&next, persist)
	if s.file == nil || persist.Reset || s.nextOffset > rewriteThresholdBytes && persist.Snapshot != nil {
		err = s.rewrite(next)
	} else {
		err = s.appendRecord(body)
	}
	if err != nil {
		err = fmt.Errorf("cannot write the voter's store: %w", err)
		s.failure = fmt.Errorf("%w: %w", ErrClosed, err)
		return err
	}
	s.stored = next
	return nil
}

// appendRecord writes one record behind the last, and the commit mark.
func (s *Store) appendRecord(body []byte) error {
	if err := s.extend(s.nextOffset + recordHeaderBytes + int64(len(body))); err != nil {
		return err
	}
	number := s.lastRecord + 1
	if _, err := s.file.WriteAt(s.encodeRecord(number, body), s.nextOffset); err != nil {
		return fmt.Errorf("cannot write record %d: %w", number, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("cannot sync record %d: %w", number, err)
	}
	s.lastRecord = number
	s.nextOffset += recordHeaderBytes + int64(len(body))
	return s.writeCommitMark()
}

// writeCommitMark notes in the file that all its records are acknowledged. It does not sync.
func (s *Store) writeCommitMark() error {
	if _, err := s.file.WriteAt(s.encodeCommitMark(), headerBytes); err != nil {
		return fmt.Errorf("cannot write the commit mark of record %d: %w", s.lastRecord, err)
	}
	return nil
}

// extend grows the file, by zeros that are synced, until it has a length.
func (s *Store) extend(length int64) error {
	for s.fileBytes < length {
		if s.fileBytes+growBytes > maxFileBytes {
			return fmt.Errorf("%w: more than %d bytes", ErrFileTooLong, maxFileBytes)
		}
		if _, err := s.file.WriteAt(make([]byte, growBytes), s.fileBytes); err != nil {
			return fmt.Errorf("cannot extend the file beyond %d bytes: %w", s.fileBytes, err)
		}
		s.fileBytes += growBytes
		if err := s.file.Sync(); err != nil {
			return fmt.Errorf("cannot sync the file at %d bytes: %w", s.fileBytes, err)
		}
	}
	return nil
}

// rewrite writes a new file with one record of all that is stored, and puts it in the place of the old one.
func (s *Store) rewrite(stored raftlog.Stored) error {
	body, err := encode(&raftlog.Persist{
		Reset: true, Identity: &stored.Identity, HardState: stored.HardState, Snapshot: stored.Snapshot,
		Entries: stored.Entries,
	})
	if err != nil {
		return fmt.Errorf("cannot encode the whole store: %w", err)
	}
	fresh := &Store{dir: s.dir, fileID: rand.Uint64() | 1} // never zero, which unwritten space has
	if fresh.file, err = s.dir.create(newName); err != nil {
		return fmt.Errorf("cannot create %s: %w", newName, err)
	}
	if err = fresh.writeNewFile(body); err != nil {
		// The write has failed, which is what the caller is told; the file that is left over is replaced by the
		// next rewrite.
		_ = fresh.file.Close()
		_ = s.dir.remove(newName)
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // all that it held is in the new file
	}
	s.file, s.fileID, s.lastRecord = fresh.file, fresh.fileID, fresh.lastRecord
	s.nextOffset, s.fileBytes = fresh.nextOffset, fresh.fileBytes
	return nil
}

// writeNewFile writes header and first record of a new file, and gives it its name.
func (s *Store) writeNewFile(body []byte) error {
	s.nextOffset = firstRecordOffset
	if err := s.extend(s.nextOffset + recordHeaderBytes + int64(len(body))); err != nil {
		return err
	}
	if _, err := s.file.WriteAt(s.encodeHeader(), 0); err != nil {
		return fmt.Errorf("cannot write the header of %s: %w", newName, err)
	}
	if err := s.appendRecord(body); err != nil {
		return err
	}
	if err := s.dir.rename(newName, logName); err != nil {
		return fmt.Errorf("cannot rename %s to %s: %w", newName, logName, err)
	}
	if err := s.dir.touch(markerName); err != nil {
		return fmt.Errorf("cannot create %s: %w", markerName, err)
	}
	if err := s.dir.syncNames(); err != nil {
		return fmt.Errorf("cannot sync the names of %s and %s: %w", logName, markerName, err)
	}
	return nil
}

// applyWrite changes what is stored as a Persist says. Slices and messages that stored shares with others are
// not changed.
func applyWrite(stored *raftlog.Stored, persist *raftlog.Persist) {
	if persist.Reset {
		*stored = raftlog.Stored{Identity: stored.Identity}
	}
	if persist.Identity != nil {
		stored.Identity = *persist.Identity
	}
	if persist.HardState != nil {
		stored.HardState = persist.HardState
	}
	if persist.Snapshot != nil {
		stored.Snapshot = persist.Snapshot
	}
	if persist.ReplaceEntries {
		stored.Entries = nil
	}
	if onlyAppends(stored, persist) {
		stored.Entries = append(stored.Entries, persist.Entries...)
		return
	}
	kept := slices.DeleteFunc(slices.Clone(stored.Entries), func(e *raftpb.Entry) bool {
		return e.GetIndex() <= persist.DropThrough ||
			len(persist.Entries) > 0 && e.GetIndex() >= persist.Entries[0].GetIndex()
	})
	stored.Entries = slices.Concat(kept, persist.Entries)
}

// onlyAppends tells whether no stored entry is dropped or replaced.
func onlyAppends(stored *raftlog.Stored, persist *raftlog.Persist) bool {
	if persist.DropThrough != 0 {
		return false
	}
	last := len(stored.Entries)
	return len(persist.Entries) == 0 || last == 0 ||
		stored.Entries[last-1].GetIndex() < persist.Entries[0].GetIndex()
}
