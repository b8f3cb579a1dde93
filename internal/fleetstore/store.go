// Package fleetstore keeps the durable part of one voter of the fleet's Raft log: its identity, its votes,
// its log entries and its last snapshot, as raftlog.Persist tells them.
//
// The package owns the files fleet.log, fleet.log.new, fleet.log.damaged, fleet.begun and fleet.lock of a
// folder; the lock keeps other processes out. fleet.log is a list of records, each a whole Persist with a
// checksum (format.go). It grows in place, and is rewritten beside the old file when it is long (write.go).
//
// Write returns once the record is safe on disk. Opening a folder ends in one of three ways (load.go): an
// empty store where there never was one; a store that lacks at most the one write that was not acknowledged;
// or an error. A damaged store is never taken for an empty one, since a voter that forgot a vote could break
// the log. SetAside removes a damaged store from use; the voter then joins the log as a new one.
//
// After an error of Write the content on disk is unknown, and the Store accepts no further write: the voter
// has to stop.
//
// A Store is not safe for concurrent use. What it writes is determined by its input, but for the file's
// identifier, which is random.
package fleetstore

import (
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"
)

// The names of the files in the folder.
const (
	logName     = "fleet.log"
	newName     = "fleet.log.new"
	damagedName = "fleet.log.damaged"
	// markerName exists from the first write on: without it, a missing log is a folder that was never used.
	markerName = "fleet.begun"
	lockName   = "fleet.lock"
)

// The ways in which a folder or its store can't be used.
var (
	// ErrLocked means that another process holds the folder.
	ErrLocked = errors.New("another process uses the folder")
	// ErrNotAStore means that the log file was not written by this package, or is longer than any store.
	ErrNotAStore = errors.New("the file is not a store")
	// ErrVersion means that the log file has another format.
	ErrVersion = errors.New("the file has an unsupported format version")
	// ErrDamaged means that the log file does not hold what was acknowledged.
	ErrDamaged = errors.New("the file is damaged")
	// ErrMissing means that the folder held a store whose log file is gone.
	ErrMissing = errors.New("the store's file is missing")
	// ErrClosed means that the store was closed, or that an earlier write failed.
	ErrClosed = errors.New("the store is closed, or an earlier write failed")
	// ErrFileTooLong means that a write would make the file longer than a store may be.
	ErrFileTooLong = errors.New("the file would be too long")
)

// Store is the durable state of one voter. It is not safe for concurrent use.
type Store struct {
	dir        directory
	file       file // nil: nothing was written yet
	stored     raftlog.Stored
	fileID     uint64 // stands in each record, so that records of an older file are not taken for this one's
	lastRecord uint64 // number of the last record, from one
	nextOffset int64  // in the file, in bytes: where the next record begins
	fileBytes  int64  // length of the file
	failure    error  // why nothing more is written; nil: writes are accepted
}

// Open locks a folder, which must exist, and reads its store. Where there never was one, Stored is the zero
// value. Errors wrap one of the sentinels above, or the system's.
func Open(folder string) (*Store, error) {
	dir, err := lockDirectory(folder)
	if err != nil {
		return nil, fmt.Errorf("cannot open the voter's store in %q: %w", folder, err)
	}
	s, err := openStore(dir)
	if err != nil {
		dir.close()
		return nil, fmt.Errorf("cannot open the voter's store in %q: %w", folder, err)
	}
	return s, nil
}

// SetAside renames the log file of a store that can't be used, if there is one, so that the next Open finds
// an empty folder. A file that was set aside before is replaced.
func SetAside(folder string) error {
	dir, err := lockDirectory(folder)
	if err != nil {
		return fmt.Errorf("cannot set aside the voter's store in %q: %w", folder, err)
	}
	defer dir.close()
	if err := dir.rename(logName, damagedName); err != nil && !isMissing(err) {
		return fmt.Errorf("cannot set aside the voter's store in %q: %w", folder, err)
	}
	if err := dir.remove(markerName); err != nil && !isMissing(err) {
		return fmt.Errorf("cannot remove %s of the voter's store in %q: %w", markerName, folder, err)
	}
	return dir.syncNames()
}

// Stored returns what was written so far. It is not to be changed.
func (s *Store) Stored() raftlog.Stored { return s.stored }

// Close releases the folder. Later writes fail with ErrClosed.
func (s *Store) Close() error {
	if s.failure == nil {
		s.failure = ErrClosed
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	s.dir.close()
	return err
}
