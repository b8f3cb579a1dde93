// Package folder keeps an agent's memory in a folder that lasts, whatever cuts a write short: Folder knows
// where its generations lie, Writer when they are written.
package folder

import (
	"errors"
	"fmt"
	"io/fs"
	"time"

	"dunestep/internal/state"
)

// slots are the names of the two generations that are kept. A write replaces the older one, so that the newer
// one is not touched until the next write has lasted, whatever becomes of this one.
var slots = [2]string{"state-a", "state-b"}

// Folder is where an agent's memory lies. It is not safe for concurrent use.
type Folder struct {
	dir        directory
	owner      state.Owner
	readOnly   error  // why nothing can be written; nil: it can
	generation uint64 // of the newest file that was read or written
	nextSlot   int    // the slot to be written
}

// Open opens a folder for one agent. ErrInUse: another one holds it, so that this one must go on without.
// Where the folder can be read but not written, Save tells why.
func Open(path string, owner state.Owner) (*Folder, error) {
	d, unwritable, err := openDirectory(path)
	if err != nil {
		return nil, err
	}
	return newFolder(d, owner, unwritable), nil
}

func newFolder(d directory, owner state.Owner, unwritable error) *Folder {
	if unwritable == nil {
		unwritable = d.removeLeftovers()
	}
	return &Folder{dir: d, owner: owner, readOnly: unwritable}
}

// Close gives the folder back.
func (f *Folder) Close() error { return f.dir.close() }

// Load returns the newest file that is whole and this agent's, or nil, and what was wrong with others. It
// comes before Save.
func (f *Folder) Load() (newest *state.File, wrong []error) {
	for i, name := range slots {
		file, err := f.read(name)
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			wrong = append(wrong, fmt.Errorf("%s: %w", name, err))
			if errors.Is(err, state.ErrOtherOwner) { // which that agent may come back for
				f.readOnly = err
			}
		case newest == nil || file.IsNewerThan(newest):
			newest, f.generation, f.nextSlot = file, file.Generation, 1-i
		}
	}
	return newest, wrong
}

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

// Save writes a new generation, and returns once that lasts. After an error the one before is still there.
func (f *Folder) Save(c state.Content, now time.Time) error {
	if f.readOnly != nil {
		return f.readOnly
	}
	f.generation++ // also where this one fails: it may be there all the same
	raw, err := state.Encode(&state.File{
		Content: c,
		Header:  state.Header{Owner: f.owner, WrittenMS: now.UnixMilli(), Generation: f.generation},
	})
	if err != nil {
		return err
	}
	if err := f.write(slots[f.nextSlot], raw); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	f.nextSlot = 1 - f.nextSlot
	return nil
}

func (f *Folder) write(name string, raw []byte) error {
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
