package folder

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"

	"dunestep/internal/state"
)

// directory is what a Folder needs of a file system: a rootDirectory. Tests implement one that loses, tears
// and reorders what was not synced.
type directory interface {
	// read returns a file, or its first state.MaxFileBytes+1 bytes.
	read(name string) ([]byte, error)
	// create begins a file that will replace the one of that name, if any.
	create(name string) (pending, error)
	// sync makes the replacements durable.
	sync() error
	// removeLeftovers removes the files of interrupted writes.
	removeLeftovers() error
	close() error
}

// pending is a file that has no name yet: a renameio.PendingFile.
type pending interface {
	io.Writer
	// CloseAtomicallyReplace syncs the bytes, and then gives the file its name in one step.
	CloseAtomicallyReplace() error
	// Cleanup removes the file, if it was not given the name.
	Cleanup() error
}

// ErrInUse means that another agent holds the folder.
var ErrInUse = errors.New("state: the folder is in use by another agent")

const lockName = "lock"

// rootDirectory is a folder by its handle: a folder that later takes its path is not written to.
type rootDirectory struct {
	root *os.Root
	lock *os.File // nil: could not be created, since the folder is read-only
}

// openDirectory opens a folder and locks it until close, or the end of the process. Where it can be read and
// not written, the second error says why.
func openDirectory(path string) (d *rootDirectory, readOnly, err error) {
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, nil, fmt.Errorf("state: cannot open the folder: %w", err)
	}
	lock, err := root.OpenFile(lockName, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		lockErr := fmt.Errorf("state: cannot create the lock file in %q: %w", path, err)
		return &rootDirectory{root: root}, lockErr, nil
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_, _ = lock.Close(), root.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, nil, ErrInUse
		}
		return nil, nil, fmt.Errorf("state: cannot lock %q: %w", path, err)
	}
	return &rootDirectory{root: root, lock: lock}, nil, nil
}

func (d *rootDirectory) read(name string) ([]byte, error) {
	f, err := d.root.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(f, state.MaxFileBytes+1))
}

func (d *rootDirectory) create(name string) (pending, error) {
	f, err := renameio.NewPendingFile(name, renameio.WithRoot(d.root), renameio.WithStaticPermissions(0o600))
	if err != nil {
		return nil, err
	}
	return f, nil
}

// sync syncs the names, which renameio leaves to its caller.
func (d *rootDirectory) sync() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// removeLeftovers removes pending files of renameio, whose names are a dot, the file's name and a number.
func (d *rootDirectory) removeLeftovers() error {
	entries, err := fs.ReadDir(d.root.FS(), ".")
	for _, entry := range entries {
		for _, name := range slots {
			if strings.HasPrefix(entry.Name(), "."+name) {
				err = errors.Join(err, d.root.Remove(entry.Name()))
			}
		}
	}
	return err
}

func (d *rootDirectory) close() error {
	err := d.root.Close()
	if d.lock != nil {
		err = errors.Join(err, d.lock.Close())
	}
	return err
}
