package folder

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

// The file system of these tests keeps what was synced. Of the rest a power cut leaves any part of the bytes, and any
// of the names, in any order.

var (
	errPowerCut = errors.New("the power is cut")
	errFault    = errors.New("no space left")
)

// inode is a file's bytes, whatever its name.
type inode struct {
	data   []byte
	synced bool
}

// rename is a change of a name that was not synced.
type rename struct {
	name string
	to   *inode
}

// crashDirectory does one thing at each step. From the step cut on it does nothing; the step fault returns an error, and
// is not done, or half.
type crashDirectory struct {
	durable, now map[string]*inode
	unsynced     []rename
	lost         []rename // by a sync that failed: a later one does not bring them back
	step         int
	cut, fault   int
	each         func() // called before each step
	// Faults of a writer that the search has to find.
	noFileSync, noNameSync bool
}

func (d *crashDirectory) next() error {
	d.each()
	d.step++
	switch {
	case d.step >= d.cut:
		return errPowerCut
	case d.step == d.fault:
		return errFault
	}
	return nil
}

func (d *crashDirectory) read(name string) ([]byte, error) {
	if i := d.now[name]; i != nil {
		return i.data, nil
	}
	return nil, fs.ErrNotExist
}

func (d *crashDirectory) create(name string) (pending, error) {
	if err := d.next(); err != nil {
		return nil, err
	}
	return &crashFile{d, name, &inode{}}, nil
}

func (d *crashDirectory) sync() error {
	err := d.next()
	if err != nil {
		d.lost = append(d.lost, d.unsynced...)
		d.unsynced = nil
		return err
	}
	if d.noNameSync {
		return nil
	}
	for _, r := range d.unsynced {
		d.durable[r.name] = r.to
		d.lost = slices.DeleteFunc(d.lost, func(old rename) bool { return old.name == r.name })
	}
	d.unsynced = nil
	return nil
}

func (d *crashDirectory) removeLeftovers() error { return nil }
func (d *crashDirectory) close() error           { return nil }

// crashFile is a file that is being written, with the steps of a renameio.PendingFile.
type crashFile struct {
	dir  *crashDirectory
	name string
	file *inode
}

// Write writes in two steps.
func (f *crashFile) Write(raw []byte) (int, error) {
	for i, part := range [][]byte{raw[:len(raw)/3], raw[len(raw)/3:]} {
		if err := f.dir.next(); err != nil {
			return i * len(raw) / 3, err
		}
		f.file.data = append(f.file.data, part...)
	}
	return len(raw), nil
}

func (f *crashFile) CloseAtomicallyReplace() error {
	if err := f.dir.next(); err != nil {
		return err
	}
	f.file.synced = !f.dir.noFileSync
	if err := f.dir.next(); err != nil {
		return err
	}
	f.dir.now[f.name] = f.file
	f.dir.unsynced = append(f.dir.unsynced, rename{f.name, f.file})
	return nil
}

func (f *crashFile) Cleanup() error { return f.dir.next() }

// torn returns what a power cut may leave of bytes that were not synced.
func torn(data []byte) [][]byte {
	half := append([]byte(nil), data...)
	clear(half[len(half)/2:])
	back := append([]byte(nil), data...)
	clear(back[:len(back)/2])
	return [][]byte{data, {}, data[:len(data)/2], half, back, data[:max(len(data)-1, 0)]}
}

// afterCut calls each with every state that the power cut can leave.
func (d *crashDirectory) afterCut(each func(*crashDirectory)) {
	loose := append(append([]rename(nil), d.lost...), d.unsynced...)
	for some := range 1 << len(loose) {
		left := maps.Clone(d.durable)
		for i, r := range loose {
			if some>>i&1 == 1 {
				left[r.name] = r.to
			}
		}
		d.tear(left, slots[:], each)
	}
}

// tear calls each with everything that may be left of the files' bytes.
func (d *crashDirectory) tear(left map[string]*inode, names []string, each func(*crashDirectory)) {
	if len(names) == 0 {
		each(&crashDirectory{durable: left, now: maps.Clone(left), noFileSync: d.noFileSync, noNameSync: d.noNameSync})
		return
	}
	i := left[names[0]]
	if i == nil || i.synced {
		d.tear(left, names[1:], each)
		return
	}
	for _, data := range torn(i.data) {
		other := maps.Clone(left)
		other[names[0]] = &inode{data: data, synced: true}
		d.tear(other, names[1:], each)
	}
}

var owner = state.Owner{Deployment: "d", Agent: "n0"}

func numbered(n int) state.Content {
	return state.Content{List: &state.StoredList{Version: int64(n)}}
}

// history is what a writer did to a file that one reader may read at any time: the last write that was acknowledged,
// and the last that was begun. Any reading must be of one between the two: the file is a linearizable register, in
// which an interrupted write is done or not done.
type history struct{ acked, begun int }

func (s history) check(f *Folder) (read int, err error) {
	file, _ := f.Load()
	if file != nil {
		read = int(file.List.Version)
	}
	if read < s.acked || read > s.begun {
		return read, fmt.Errorf("read %d, where %d was acknowledged and %d was the last begun", read, s.acked, s.begun)
	}
	return read, nil
}

// write writes a few times, with the power cut at a step and a fault at another, and checks a reading at each step. It
// tells whether there were enough steps for the power cut.
func (s *history) write(d *crashDirectory, times, cut, fault int) (reached bool, err error) {
	d.cut, d.fault, d.each = cut, fault, func() {}
	folder := newFolder(d, owner, nil)
	folder.Load()
	reader := newFolder(d, owner, nil)
	d.each = func() {
		if _, wrong := s.check(reader); wrong != nil && err == nil {
			err = wrong
		}
	}
	for range times {
		s.begun++
		if saved := folder.Save(numbered(s.begun), time.UnixMilli(int64(s.begun))); saved == nil {
			s.acked = s.begun
		}
	}
	return d.step >= cut, err
}

// crash searches every step at which the power can be cut, with every step at which something fails before that, and
// everything that can be left; and again from each of these, depth times.
func crash(first *crashDirectory, s history, times, depth int) (states int, err error) {
	for fault := 0; ; fault++ {
		for cut := fault + 1; ; cut++ {
			d := &crashDirectory{
				durable: maps.Clone(first.durable), now: maps.Clone(first.now),
				noFileSync: first.noFileSync, noNameSync: first.noNameSync,
			}
			after := s
			reached, wrong := after.write(d, times, cut, fault)
			if err = errors.Join(err, wrong); err != nil {
				return states, fmt.Errorf("fault at %d: %w", fault, err)
			}
			if !reached {
				if cut == fault+1 {
					return states, nil
				}
				break
			}
			d.afterCut(func(left *crashDirectory) {
				states++
				left.cut, left.each = 1<<30, func() {}
				found, wrong := after.check(newFolder(left, owner, nil))
				if wrong != nil {
					err = errors.Join(err, fmt.Errorf("fault at %d, cut at %d: %w", fault, cut, wrong))
				} else if depth > 0 {
					more, wrong := crash(left, history{found, max(after.begun, found)}, 2, depth-1)
					states += more
					err = errors.Join(err, wrong)
				}
			})
			if err != nil {
				return states, err
			}
		}
	}
}

func empty() *crashDirectory {
	return &crashDirectory{durable: map[string]*inode{}, now: map[string]*inode{}}
}

// A power cut at any step of three writes, with a fault at any step before it, and again in two writes after that: what
// is read is always complete, and never older than what was acknowledged.
func TestPowerCutsKeepAcknowledgedWrites(t *testing.T) {
	states, err := crash(empty(), history{}, 3, 1)
	require.NoError(t, err)
	require.Greater(t, states, 10000)
	t.Log(states, "states")
}

// The search finds a writer that does not sync the bytes, or the names.
func TestPowerCutSearchFindsMissingSyncs(t *testing.T) {
	for name, d := range map[string]*crashDirectory{"bytes": {noFileSync: true}, "names": {noNameSync: true}} {
		d.durable, d.now = map[string]*inode{}, map[string]*inode{}
		_, err := crash(d, history{}, 3, 0)
		require.Error(t, err, name)
	}
}
