package fleetstore

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// directory is the part of a file system that a Store uses. Tests implement it with injected faults.
type directory interface {
	// read returns a file's content, or an error if it is longer than maxBytes.
	read(name string, maxBytes int64) ([]byte, error)
	// open opens an existing file for writing.
	open(name string) (file, error)
	// create creates a file, or truncates an existing one.
	create(name string) (file, error)
	rename(from, to string) error
	remove(name string) error
	// touch creates the file if it does not exist. It syncs the file but not its directory entry.
	touch(name string) error
	// syncEntries makes created, renamed and removed directory entries durable.
	syncEntries() error
	// close unlocks the folder.
	close()
}

// file is an open file of a directory.
type file interface {
	io.WriterAt
	Sync() error
	Close() error
}

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// lockedDirectory is a folder that is locked against use by other processes.
type lockedDirectory struct {
	path string
	lock *os.File
}

// lockDirectory locks a folder until close is called or the process ends. It returns ErrLocked if another
// process has locked it.
func lockDirectory(path string) (*lockedDirectory, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("cannot lock %s: %w", lockName, err)
	}
	return &lockedDirectory{path, lock}, nil
}

func (d *lockedDirectory) join(name string) string { return filepath.Join(d.path, name) }

func (d *lockedDirectory) read(name string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(d.join(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	content, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrNotAStore, maxBytes)
	}
	return content, err
}

func (d *lockedDirectory) open(name string) (file, error) {
	return os.OpenFile(d.join(name), os.O_RDWR, 0o600)
}

func (d *lockedDirectory) create(name string) (file, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
}

func (d *lockedDirectory) rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }
func (d *lockedDirectory) remove(name string) error     { return os.Remove(d.join(name)) }

func (d *lockedDirectory) touch(name string) error {
	f, err := os.OpenFile(d.join(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *lockedDirectory) syncEntries() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *lockedDirectory) close() { _ = d.lock.Close() } // also unlocks it; nothing was written to it
