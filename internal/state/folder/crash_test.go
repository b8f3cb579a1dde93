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

// The simulated file system keeps synced data. A power cut may keep any part of the unsynced bytes and any subset of
// the unsynced renames.

var (
	errPowerCut = errors.New("the power is cut")
	errFault    = errors.New("no space left")
)

// inode is the content of a file, independent of its name.
type inode struct {
	data   []byte
	synced bool
}

// rename is an unsynced rename.
type rename struct {
	name string
	to   *inode
}

// crashDirectory is a directory that counts its steps. Every step from cutStep on fails, as after a power cut. The
// step faultStep fails too and leaves its operation undone or half done.
type crashDirectory struct {
	durable, current   map[string]*inode
	unsynced           []rename
	lost               []rename // renames of failed syncs: a later sync does not make them durable
	step               int
	cutStep, faultStep int
	beforeStep         func() // called before each step
	// Writer faults that the search must find: missing syncs of the files or of the directory.
	noFileSync, noNameSync bool
}

func (d *crashDirectory) nextStep() error {
	d.beforeStep()
	d.step++
	switch {
	case d.step >= d.cutStep:
		return errPowerCut
	case d.step == d.faultStep:
		return errFault
	}
	return nil
}

func (d *crashDirectory) read(name string) ([]byte, error) {
	if i := d.current[name]; i != nil {
		return i.data, nil
	}
	return nil, fs.ErrNotExist
}

func (d *crashDirectory) create(name string) (pendingFile, error) {
	if err := d.nextStep(); err != nil {
		return nil, err
	}
	return &crashFile{d, name, &inode{}}, nil
}

func (d *crashDirectory) sync() error {
	err := d.nextStep()
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

// crashFile is a pendingFile with the steps of a renameio.PendingFile.
type crashFile struct {
	dir  *crashDirectory
	name string
	file *inode
}

// Write writes in two steps.
func (f *crashFile) Write(raw []byte) (int, error) {
	for i, part := range [][]byte{raw[:len(raw)/3], raw[len(raw)/3:]} {
		if err := f.dir.nextStep(); err != nil {
			return i * len(raw) / 3, err
		}
		f.file.data = append(f.file.data, part...)
	}
	return len(raw), nil
}

func (f *crashFile) CloseAtomicallyReplace() error {
	if err := f.dir.nextStep(); err != nil {
		return err
	}
	f.file.synced = !f.dir.noFileSync
	if err := f.dir.nextStep(); err != nil {
		return err
	}
	f.dir.current[f.name] = f.file
	f.dir.unsynced = append(f.dir.unsynced, rename{f.name, f.file})
	return nil
}

func (f *crashFile) Cleanup() error { return f.dir.nextStep() }

// tornVariants returns examples of what a power cut may leave of unsynced bytes.
func tornVariants(data []byte) [][]byte {
	firstHalf := append([]byte(nil), data...)
	clear(firstHalf[len(firstHalf)/2:])
	secondHalf := append([]byte(nil), data...)
	clear(secondHalf[:len(secondHalf)/2])
	return [][]byte{data, {}, data[:len(data)/2], firstHalf, secondHalf, data[:max(len(data)-1, 0)]}
}

// forEachStateAfterCut calls each with every state that the power cut may leave.
func (d *crashDirectory) forEachStateAfterCut(each func(*crashDirectory)) {
	unsynced := append(append([]rename(nil), d.lost...), d.unsynced...)
	for subset := range 1 << len(unsynced) {
		names := maps.Clone(d.durable)
		for i, r := range unsynced {
			if subset>>i&1 == 1 {
				names[r.name] = r.to
			}
		}
		d.forEachTornState(names, slots[:], each)
	}
}

// forEachTornState calls each with every combination of tornVariants of the named unsynced files in left.
func (d *crashDirectory) forEachTornState(left map[string]*inode, names []string, each func(*crashDirectory)) {
	if len(names) == 0 {
		each(&crashDirectory{durable: left, current: maps.Clone(left), noFileSync: d.noFileSync, noNameSync: d.noNameSync})
		return
	}
	i := left[names[0]]
	if i == nil || i.synced {
		d.forEachTornState(left, names[1:], each)
		return
	}
	for _, data := range tornVariants(i.data) {
		torn := maps.Clone(left)
		torn[names[0]] = &inode{data: data, synced: true}
		d.forEachTornState(torn, names[1:], each)
	}
}

var owner = state.Owner{Deployment: "d", Agent: "n0"}

func numberedContent(n int) state.Content {
	return state.Content{List: &state.StoredList{Version: int64(n)}}
}

// history has the number of the last acknowledged write and of the last started write. A read at any time must
// return a write between the two: the folder is a linearizable register, in which an interrupted write took effect
// or did not.
type history struct{ acknowledged, started int }

func (h history) check(f *Folder) (read int, err error) {
	file, _ := f.Load()
	if file != nil {
		read = int(file.List.Version)
	}
	if read < h.acknowledged || read > h.started {
		return read, fmt.Errorf("read %d, but %d was acknowledged and %d was the last started", read, h.acknowledged, h.started)
	}
	return read, nil
}

// write saves the given number of times, with a power cut at the step cut and an error at the step fault, and checks
// a read before each step. It reports whether the step of the power cut was reached.
func (h *history) write(d *crashDirectory, times, cut, fault int) (reached bool, err error) {
	d.cutStep, d.faultStep, d.beforeStep = cut, fault, func() {}
	folder := newFolder(d, owner, nil)
	folder.Load()
	reader := newFolder(d, owner, nil)
	d.beforeStep = func() {
		if _, checkErr := h.check(reader); checkErr != nil && err == nil {
			err = checkErr
		}
	}
	for range times {
		h.started++
		if saveErr := folder.Save(numberedContent(h.started), time.UnixMilli(int64(h.started))); saveErr == nil {
			h.acknowledged = h.started
		}
	}
	return d.step >= cut, err
}

// searchPowerCuts tries a power cut at every step, an error at every step before it, and every state that the cut
// may leave. It repeats the search from each of these states, depth times. It returns the number of states that it
// checked.
func searchPowerCuts(first *crashDirectory, h history, times, depth int) (states int, err error) {
	for fault := 0; ; fault++ {
		for cut := fault + 1; ; cut++ {
			d := &crashDirectory{
				durable: maps.Clone(first.durable), current: maps.Clone(first.current),
				noFileSync: first.noFileSync, noNameSync: first.noNameSync,
			}
			after := h
			reached, writeErr := after.write(d, times, cut, fault)
			if err = errors.Join(err, writeErr); err != nil {
				return states, fmt.Errorf("fault at %d: %w", fault, err)
			}
			if !reached {
				if cut == fault+1 {
					return states, nil
				}
				break
			}
			d.forEachStateAfterCut(func(left *crashDirectory) {
				states++
				left.cutStep, left.beforeStep = 1<<30, func() {}
				found, checkErr := after.check(newFolder(left, owner, nil))
				if checkErr != nil {
					err = errors.Join(err, fmt.Errorf("fault at %d, cut at %d: %w", fault, cut, checkErr))
				} else if depth > 0 {
					more, searchErr := searchPowerCuts(left, history{found, max(after.started, found)}, 2, depth-1)
					states += more
					err = errors.Join(err, searchErr)
				}
			})
			if err != nil {
				return states, err
			}
		}
	}
}

func emptyDirectory() *crashDirectory {
	return &crashDirectory{durable: map[string]*inode{}, current: map[string]*inode{}}
}

// After a power cut at any step of three writes, with an error at any step before it, and after a second cut in the
// two writes that follow, a read returns a complete state that is not older than the last acknowledged one.
func TestPowerCutsKeepAcknowledgedWrites(t *testing.T) {
	states, err := searchPowerCuts(emptyDirectory(), history{}, 3, 1)
	require.NoError(t, err)
	require.Greater(t, states, 10000)
	t.Log(states, "states")
}

// The search finds a writer that does not sync the files, or not the directory.
func TestPowerCutSearchFindsMissingSyncs(t *testing.T) {
	for name, d := range map[string]*crashDirectory{"files not synced": {noFileSync: true}, "directory not synced": {noNameSync: true}} {
		d.durable, d.current = map[string]*inode{}, map[string]*inode{}
		_, err := searchPowerCuts(d, history{}, 3, 0)
		require.Error(t, err, name)
	}
}
