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

// disk is a folder, and what can go wrong with it. Tests put others in its place.
type directory interface {
	read(name string, most int64) ([]byte, error)
	open(name string) (file, error)
	create(name string) (file, error)
	rename(from, to string) error
	remove(name string) error
	touch(name string) error
	syncNames() error // names
	close()
}

type file interface {
	io.WriterAt
	Sync() error
	Close() error
}

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// folder is a real one, with a lock.
type lockedDirectory struct {
	path string
	lock *os.File
}

func lockDirectory(path string) (*lockedDirectory, error) {
	lock, err := os.OpenFile(filepath.Join(path, "fleet.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return &lockedDirectory{path, lock}, nil
}

func (f *lockedDirectory) join(name string) string { return filepath.Join(f.path, name) }

func (f *lockedDirectory) read(name string, most int64) ([]byte, error) {
	r, err := os.Open(f.join(name))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(b)) > most {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrNotAStore, most)
	}
	return b, err
}

func (f *lockedDirectory) open(name string) (file, error) {
	return os.OpenFile(f.join(name), os.O_RDWR, 0o600)
}

func (f *lockedDirectory) create(name string) (file, error) {
	return os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
}

func (f *lockedDirectory) rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }
func (f *lockedDirectory) remove(name string) error     { return os.Remove(f.join(name)) }

func (f *lockedDirectory) touch(name string) error {
	t, err := os.OpenFile(f.join(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(t.Sync(), t.Close())
}

func (f *lockedDirectory) syncNames() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (f *lockedDirectory) close() { _ = f.lock.Close() }
