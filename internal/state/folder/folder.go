// Package folder stores an agent's state in a folder, so that an interrupted write loses at most that write.
//
// It owns the folder's two state files and its lock, by which one process at a time uses it. A Folder reads
// and replaces the files; it is not safe for concurrent use. A Writer is the goroutine that decides when to
// write; its methods are safe for concurrent use.
package folder

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"dunestep/internal/state"
)

// slots are the names of the two generations that are stored. A write replaces the older one: the newer one
// is not touched until the next write is durable.
var slots = [2]string{"state-a", "state-b"} // never changed

// Folder is the folder of one agent's state. It is not safe for concurrent use.
type Folder struct {
	dir        directory
	owner      state.Owner
	readOnly   error  // why nothing can be written; nil: it can
	generation uint64 // of the newest file that was read or written
	nextSlot   int    // index of the slot that is written next
}

// Open opens a folder, which must exist, for one agent. ErrInUse: another process holds it. Where the folder
// can be read and not written, Save says why.
func Open(path string, owner state.Owner) (*Folder, error) {
	dir, readOnly, err := openDirectory(path)
	if err != nil {
		return nil, err
	}
	return newFolder(dir, owner, readOnly), nil
}

func newFolder(dir directory, owner state.Owner, readOnly error) *Folder {
	if readOnly == nil {
		readOnly = dir.removeLeftovers()
	}
	return &Folder{dir: dir, owner: owner, readOnly: readOnly}
}

// Close releases the folder.
func (f *Folder) Close() error { return f.dir.close() }

// Load returns the newest file that is complete and this agent's, or nil, and what was wrong with others. It
// comes before Save, which goes on from its generation. Another agent's file is never replaced: Save fails
// from then on.
func (f *Folder) Load() (newest *state.File, unusable []error) {
	for slot, name := range slots {
		file, err := f.read(name)
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			unusable = append(unusable, fmt.Errorf("%s: %w", name, err))
			if errors.Is(err, state.ErrOtherOwner) {
				f.readOnly = err
			}
		case newest == nil || file.IsNewerThan(newest):
			newest, f.generation, f.nextSlot = file, file.Generation, 1-slot
		}
	}
	return newest, unusable
}

// read reads one file and checks whose it is.
func (f *Folder) read(name string) (*state.File, error) {
	raw, err := f.dir.read(name)
	if err != nil {
		return nil, err
	}
	file, err := state.Decode(raw)
	if err != nil {
		return nil, err
	}
	if file.Owner != f.owner {
		return nil, fmt.Errorf("%w: %q of %q", state.ErrOtherOwner, file.Owner.Agent, file.Owner.Deployment)
	}
	return file, nil
}

// Save writes a new generation, and returns once it is durable. After an error the one before is still there.
func (f *Folder) Save(content state.Content, now time.Time) error {
	if f.readOnly != nil {
		return f.readOnly
	}
	f.generation++ // also where this write fails: the file may be there all the same
	raw, err := state.Encode(&state.File{
		Content: content,
		Header:  state.Header{Owner: f.owner, WrittenMS: now.UnixMilli(), Generation: f.generation},
	})
	if err != nil {
		return err
	}
	if err := f.replace(slots[f.nextSlot], raw); err != nil {
		return fmt.Errorf("state: cannot write generation %d to %s: %w", f.generation, slots[f.nextSlot], err)
	}
	f.nextSlot = 1 - f.nextSlot
	return nil
}

// replace replaces one file as a whole.
func (f *Folder) replace(name string, raw []byte) error {
	file, err := f.dir.create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.CloseAtomicallyReplace()
	}
	if err != nil {
		return errors.Join(err, file.Cleanup())
	}
	return f.dir.sync()
}
