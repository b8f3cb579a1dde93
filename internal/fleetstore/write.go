package fleetstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"dunestep/internal/fleet/raftlog"

	"go.etcd.io/raft/v3/raftpb"
)

// Write writes a Persist as one record, and returns once it is durable. After an error of the disk, as of a
// full one, the call may be repeated. An error that wraps ErrClosed is final.
func (s *Store) Write(persist *raftlog.Persist) error {
	if s.failure != nil {
		return s.failure
	}
	body, err := encode(persist)
	if err != nil {
		s.failure = fmt.Errorf("%w: cannot encode a write of the voter's store: %w", ErrClosed, err)
		return s.failure
	}
	next := s.stored
	applyWrite(&next, persist)
	isLong := s.nextOffset > rewriteThresholdBytes && persist.Snapshot != nil
	if s.file == nil || s.isInDoubt || persist.Reset || isLong {
		err = s.rewrite(next)
	} else {
		err = s.appendRecord(body)
	}
	if errors.Is(err, ErrFileTooLong) {
		s.failure = fmt.Errorf("%w: cannot write the voter's store: %w", ErrClosed, err)
		return s.failure
	}
	if err != nil {
		s.isInDoubt = true
		return fmt.Errorf("cannot write the voter's store: %w", err)
	}
	s.stored, s.isInDoubt = next, false
	return nil
}

// appendRecord writes and syncs one record after the last one, and updates the commit mark.
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

// writeCommitMark writes the commit mark for all records so far. It does not sync.
func (s *Store) writeCommitMark() error {
	if _, err := s.file.WriteAt(s.encodeCommitMark(), headerBytes); err != nil {
		return fmt.Errorf("cannot write the commit mark of record %d: %w", s.lastRecord, err)
	}
	return nil
}

// extend appends synced zeros in steps of growBytes until the file has at least this length.
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

// rewrite replaces the log file by a new one with a single record of everything stored.
func (s *Store) rewrite(stored raftlog.Stored) error {
	body, err := encode(&raftlog.Persist{
		Reset: true, Identity: &stored.Identity, HardState: stored.HardState, Snapshot: stored.Snapshot,
		Entries: stored.Entries,
	})
	if err != nil {
		return fmt.Errorf("cannot encode the whole store: %w", err)
	}
	fresh := &Store{dir: s.dir, fileID: rand.Uint64() | 1} // never zero, since unwritten space is zero
	if fresh.file, err = s.dir.create(newLogName); err != nil {
		return fmt.Errorf("cannot create %s: %w", newLogName, err)
	}
	if err = fresh.writeNewFile(body); err != nil {
		// Errors here are ignored: the caller gets the write's error, and the next rewrite replaces a file that
		// could not be removed.
		_ = fresh.file.Close()
		_ = s.dir.remove(newLogName)
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // its content is in the new file
	}
	s.file, s.fileID, s.lastRecord = fresh.file, fresh.fileID, fresh.lastRecord
	s.nextOffset, s.fileBytes = fresh.nextOffset, fresh.fileBytes
	return nil
}

// writeNewFile writes the header and the first record of a new file and renames it to logName.
func (s *Store) writeNewFile(body []byte) error {
	s.nextOffset = firstRecordOffset
	if err := s.extend(s.nextOffset + recordHeaderBytes + int64(len(body))); err != nil {
		return err
	}
	if _, err := s.file.WriteAt(s.encodeHeader(), 0); err != nil {
		return fmt.Errorf("cannot write the header of %s: %w", newLogName, err)
	}
	if err := s.appendRecord(body); err != nil {
		return err
	}
	if err := s.dir.rename(newLogName, logName); err != nil {
		return fmt.Errorf("cannot rename %s to %s: %w", newLogName, logName, err)
	}
	if err := s.dir.touch(markerName); err != nil {
		return fmt.Errorf("cannot create %s: %w", markerName, err)
	}
	if err := s.dir.syncEntries(); err != nil {
		return fmt.Errorf("cannot sync the directory entries of %s and %s: %w", logName, markerName, err)
	}
	return nil
}

// applyWrite applies a Persist to stored. It does not modify slices and messages that stored may share.
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

// onlyAppends reports whether a Persist neither drops nor replaces stored entries.
func onlyAppends(stored *raftlog.Stored, persist *raftlog.Persist) bool {
	if persist.DropThrough != 0 {
		return false
	}
	last := len(stored.Entries)
	return len(persist.Entries) == 0 || last == 0 ||
		stored.Entries[last-1].GetIndex() < persist.Entries[0].GetIndex()
}
