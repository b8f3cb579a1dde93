package fleetstore

import (
	"errors"
	"io/fs"
	"math/rand/v2"
)

var (
	errPowerCut = errors.New("the power is cut")
	errFullDisk = errors.New("no space left")
)

// faultyDirectory is a directory whose power is cut at a step, or that is full from a file length on. Of what was not
// synced it keeps sectors and names at random.
type faultyDirectory struct {
	random  *rand.Rand
	names   map[string]*faultyFile
	durable map[string]*faultyFile // the names that are synced
	steps   int                    // until the power is cut
	room    int                    // longest file in bytes; zero: any
}

// faultyFile is a file of a faultyDirectory.
type faultyFile struct {
	dir      *faultyDirectory
	content  []byte
	synced   []byte
	unshared bool // content does not share its bytes with synced
}

// step counts a step that may fail; at the last one the power is cut.
func (d *faultyDirectory) step() error {
	if d.steps--; d.steps == 0 {
		for name, f := range d.names {
			if d.durable[name] != f && d.random.IntN(2) == 0 {
				d.durable[name] = f
			}
		}
		for _, f := range d.durable {
			f.tear()
		}
		d.names = d.durable
	}
	if d.steps <= 0 {
		return errPowerCut
	}
	return nil
}

// tear is what a power cut leaves of a file.
func (f *faultyFile) tear() {
	b := append([]byte(nil), f.synced...)
	if len(f.content) > len(b) && f.dir.random.IntN(2) == 0 {
		b = append(b, make([]byte, f.dir.random.IntN(len(f.content)-len(b)))...)
	}
	for i := 0; i < len(b); i += 512 {
		if end := min(i+512, len(b), len(f.content)); i < end && f.dir.random.IntN(2) == 0 {
			copy(b[i:end], f.content[i:end])
		}
	}
	f.content, f.synced, f.unshared = b, b, false
}

func (d *faultyDirectory) read(name string, _ int64) ([]byte, error) {
	if f, is := d.names[name]; is {
		return append([]byte(nil), f.content...), nil
	}
	return nil, fs.ErrNotExist
}

func (d *faultyDirectory) open(name string) (file, error) { return d.names[name], nil }
func (d *faultyDirectory) create(name string) (file, error) {
	f := &faultyFile{dir: d}
	d.names[name] = f
	return f, d.step()
}

func (d *faultyDirectory) rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *faultyDirectory) remove(name string) error { delete(d.names, name); return nil }
func (d *faultyDirectory) touch(name string) error {
	if d.names[name] == nil {
		d.names[name] = &faultyFile{dir: d}
	}
	return d.step()
}

func (d *faultyDirectory) syncNames() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = map[string]*faultyFile{}
	for n, f := range d.names {
		d.durable[n] = f
	}
	return nil
}
func (d *faultyDirectory) close() {}

func (f *faultyFile) WriteAt(b []byte, at int64) (int, error) {
	if end := int(at) + len(b); f.dir.room > 0 && end > f.dir.room {
		return 0, errFullDisk
	}
	if grow := int(at) + len(b) - len(f.content); grow > 0 {
		f.content = append(append([]byte(nil), f.content...), make([]byte, grow)...)
	} else if !f.unshared {
		f.content = append([]byte(nil), f.content...)
	}
	f.unshared = true
	copy(f.content[at:], b)
	return len(b), f.dir.step()
}

func (f *faultyFile) Sync() error {
	if err := f.dir.step(); err != nil {
		return err
	}
	f.synced, f.unshared = f.content, false
	return nil
}
func (f *faultyFile) Close() error { return nil }
