// Package fleetstore stores the durable state of one voter of the fleet's Raft log: its identity, its votes,
// its log entries and its last snapshot, as described by raftlog.Persist.
//
// The package uses the files fleet.log, fleet.log.new, fleet.log.damaged, fleet.begun and fleet.lock of a
// folder; the lock keeps other processes out. fleet.log is a sequence of records, each a whole Persist with
// a checksum (format.go). It grows in place. When it is long, a new file is written that replaces it
// (write.go).
//
// Write returns once the record is durable. Open has one of three results (load.go): an empty store if there
// never was one; a store that lacks at most the one write that was not acknowledged; or an error. A damaged
// store is never treated as empty, since a voter that forgot a vote could violate the safety of the log.
// SetAside removes a damaged store from use; the voter then joins the log as a new one.
//
// After an error of the disk its content is unknown, and the write is not acknowledged. The next Write does
// not rely on that file, even on what it reads back, which may be in memory only: it writes everything into a
// new one. Only an error that no repetition can mend closes the Store.
//
// A Store is not safe for concurrent use. Its output is determined by its input, except for the file's
// identifier, which is random.
package fleetstore

import (
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"
)

// The names of the files in the folder.
const (
	logName        = "fleet.log"
	newLogName     = "fleet.log.new"
	damagedLogName = "fleet.log.damaged"
	// markerName is a file that exists from the first write on. If it and the log are missing, the folder was
	// never used.
	markerName = "fleet.begun"
	lockName   = "fleet.lock"
)

// Reasons why a folder or its store can't be used.
var (
	// ErrLocked means that another process has locked the folder.
	ErrLocked = errors.New("another process uses the folder")
	// ErrNotAStore means that the log file was not written by this package, or is longer than maxFileBytes.
	ErrNotAStore = errors.New("the file is not a store")
	// ErrVersion means that the log file has another format version.
	ErrVersion = errors.New("the file has an unsupported format version")
	// ErrDamaged means that the log file does not contain everything that was acknowledged.
	ErrDamaged = errors.New("the file is damaged")
	// ErrMissing means that the folder contained a store whose log file is missing.
	ErrMissing = errors.New("the store's file is missing")
	// ErrClosed means that the store was closed, or that an earlier write can never succeed.
	ErrClosed = errors.New("the store is closed, or an earlier write can never succeed")
	// ErrFileTooLong means that a write would make the file longer than maxFileBytes.
	ErrFileTooLong = errors.New("the file would be too long")
)

// Store is the durable state of one voter. It is not safe for concurrent use.
type Store struct {
	dir        directory
	file       file // nil until the first write
	stored     raftlog.Stored
	fileID     uint64 // random identifier in each record, which distinguishes it from an older file's records
	lastRecord uint64 // number of the last record; the first is 1
	nextOffset int64  // offset of the next record in the file, in bytes
	fileBytes  int64  // length of the file in bytes
	failure    error  // reason why writes are rejected; nil: writes are accepted
	isInDoubt  bool   // the file's content is unknown: the next write replaces it
}

// Open locks an existing folder and loads its store. If there never was one, Stored returns the zero value.
// Errors wrap ErrLocked, ErrNotAStore, ErrVersion, ErrDamaged, ErrMissing or an error of the operating
// system.
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

// SetAside renames the log file of an unusable store, if there is one, so that the next Open returns an empty
// store. It replaces a file that was set aside earlier.
func SetAside(folder string) error {
	dir, err := lockDirectory(folder)
	if err != nil {
		return fmt.Errorf("cannot set aside the voter's store in %q: %w", folder, err)
	}
	defer dir.close()
	if err := dir.rename(logName, damagedLogName); err != nil && !isMissing(err) {
		return fmt.Errorf("cannot set aside the voter's store in %q: %w", folder, err)
	}
	if err := dir.remove(markerName); err != nil && !isMissing(err) {
		return fmt.Errorf("cannot remove %s of the voter's store in %q: %w", markerName, folder, err)
	}
	return dir.syncEntries()
}

// Stored returns the state after all successful writes. The caller must not modify it.
func (s *Store) Stored() raftlog.Stored { return s.stored }

// Close closes the store and unlocks the folder. Later writes fail with ErrClosed.
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
