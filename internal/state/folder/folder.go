// Package folder stores an agent's state in a folder, so that an interrupted write loses at most that write.
//
// The folder contains two state files and a lock file that keeps other processes out. A Folder reads and
// replaces the state files; it is not safe for concurrent use. A Writer runs the goroutine that decides
// when to write; its methods are safe for concurrent use.
package folder

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"dunestep/internal/state"
)

// slots are the names of the two state files, one for each of the last two generations. A write replaces the
// older one, so that the newer one is untouched until the write is durable.
var slots = [2]string{"state-a", "state-b"} // never changed

// Folder is the folder of one agent's state. It is not safe for concurrent use.
type Folder struct {
	dir        directory
	owner      state.Owner
	readOnly   error  // reason why nothing can be written; nil if writable
	generation uint64 // generation of the newest file read or written
	nextSlot   int    // index in slots of the next file to write
}

// Open opens and locks an existing folder for one agent. It returns ErrInUse if another process has locked
// it. If the folder can be read but not written, Open succeeds and Save returns the reason.
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

// Load returns the newest complete file of this agent, or nil if there is none, and an error for each
// unusable file. It must be called before Save, which continues from the generation found. Files of another
// agent are never replaced: if there is one, Save fails from then on.
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

// read reads and decodes one file. It returns state.ErrOtherOwner if the file belongs to another agent.
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

// Save writes a new generation and returns once it is durable. After an error the previous one still exists.
func (f *Folder) Save(content state.Content, now time.Time) error {
	if f.readOnly != nil {
		return f.readOnly
	}
	f.generation++ // even if this write fails, since the file may still have been replaced
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

// replace atomically replaces one file and returns once the replacement is durable.
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
