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

// disk is what a Folder needs of a file system. The real one is a rootDirectory; the tests have one that loses,
// tears and reorders what was not made to last.
type directory interface {
	// read returns a file, or its first state.MaxFileBytes+1 bytes.
	read(name string) ([]byte, error)
	// begin begins with a file that will replace the one of that name, if any.
	create(name string) (pending, error)
	// sync makes the replacements last.
	sync() error
	// tidy removes what writes that were cut short have left.
	removeLeftovers() error
	close() error
}

// pending is a file that has no name yet, a renameio.PendingFile.
type pending interface {
	io.Writer
	// CloseAtomicallyReplace makes the bytes last, and then gives them the name in one step.
	CloseAtomicallyReplace() error
	// Cleanup removes the file, if it was not given the name.
	Cleanup() error
}

// ErrInUse is of a folder that another agent holds.
var ErrInUse = errors.New("state: the folder is in use by another agent")

const lockName = "lock"

// rootDirectory is a folder by its handle, not its path: what comes to lie there instead is not written to.
type rootDirectory struct {
	root *os.Root
	lock *os.File // nil: could not be had, since nothing can be written here
}

// openDirectory opens a folder and locks it, for as long as this process lives at the most. Where there is no
// writing, the folder can still be read, and the second error tells why.
func openDirectory(path string) (d *rootDirectory, unwritable, err error) {
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, nil, fmt.Errorf("state: %w", err)
	}
	lock, err := root.OpenFile(lockName, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return &rootDirectory{root: root}, fmt.Errorf("state: %w", err), nil
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		_ = root.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, nil, ErrInUse
		}
		return nil, nil, fmt.Errorf("state: lock: %w", err)
	}
	return &rootDirectory{root: root, lock: lock}, nil, nil
}

func (d *rootDirectory) read(name string) ([]byte, error) {
	f, err := d.root.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, state.MaxFileBytes+1))
}

func (d *rootDirectory) create(name string) (pending, error) {
	f, err := renameio.NewPendingFile(name, renameio.WithRoot(d.root), renameio.WithStaticPermissions(0o600))
	if err != nil {
		return nil, err
	}
	return f, nil
}

// sync makes the names last; renameio leaves that to its caller.
func (d *rootDirectory) sync() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// tidy removes what renameio has begun under a name of its own: a point, the name and a number.
func (d *rootDirectory) removeLeftovers() error {
	left, err := fs.ReadDir(d.root.FS(), ".")
	for _, entry := range left {
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
