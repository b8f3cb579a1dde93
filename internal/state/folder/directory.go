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

// directory is the part of a file system that a Folder uses. rootDirectory implements it; a test
// implementation loses, tears and reorders unsynced data.
type directory interface {
	// read returns the content of a file, limited to its first state.MaxFileBytes+1 bytes.
	read(name string) ([]byte, error)
	// create returns an unnamed file that can later replace the file of that name, if any.
	create(name string) (pendingFile, error)
	// sync makes completed replacements durable.
	sync() error
	// removeLeftovers removes the temporary files of interrupted writes.
	removeLeftovers() error
	close() error
}

// pendingFile is a temporary file that has not replaced its target yet. renameio.PendingFile implements it.
type pendingFile interface {
	io.Writer
	// CloseAtomicallyReplace syncs the content and then atomically renames the file to its target.
	CloseAtomicallyReplace() error
	// Cleanup removes the file unless it has replaced its target.
	Cleanup() error
}

// ErrInUse means that another process has locked the folder.
var ErrInUse = errors.New("state: the folder is in use by another agent")

const lockName = "lock"

// rootDirectory accesses a folder by its handle: a folder that is later moved to the same path is not
// affected.
type rootDirectory struct {
	root *os.Root
	lock *os.File // nil if the lock file could not be created because the folder is read-only
}

// openDirectory opens a folder and locks it until close is called or the process ends. readOnly says why a
// folder that can be read can't be written. ErrInUse means that another process has locked it.
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
	defer func() { _ = f.Close() }() // opened for reading only
	return io.ReadAll(io.LimitReader(f, state.MaxFileBytes+1))
}

func (d *rootDirectory) create(name string) (pendingFile, error) {
	f, err := renameio.NewPendingFile(name, renameio.WithRoot(d.root), renameio.WithStaticPermissions(0o600))
	if err != nil {
		return nil, err
	}
	return f, nil
}

// sync syncs the directory entries, which renameio leaves to its caller.
func (d *rootDirectory) sync() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// removeLeftovers removes temporary files of renameio. Their names are a dot, the target's name and a number.
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
