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

// faultyDirectory is a directory with a power cut after a number of steps, or a limited file length. A power cut
// keeps a random subset of the unsynced sectors and directory entries.
type faultyDirectory struct {
	random        *rand.Rand
	names         map[string]*faultyFile
	durable       map[string]*faultyFile // the synced directory entries
	stepsLeft     int                    // steps until the power cut, inclusive
	capacityBytes int                    // maximum file length in bytes; zero: unlimited
}

// faultyFile is a file of a faultyDirectory.
type faultyFile struct {
	dir      *faultyDirectory
	content  []byte
	synced   []byte
	unshared bool // content and synced do not share memory
}

// step counts a step. The last step cuts the power; it and all later ones return errPowerCut.
func (d *faultyDirectory) step() error {
	if d.stepsLeft--; d.stepsLeft == 0 {
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
	if d.stepsLeft <= 0 {
		return errPowerCut
	}
	return nil
}

// tear replaces a file's content by what a power cut leaves of it.
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
	if f, exists := d.names[name]; exists {
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

func (d *faultyDirectory) syncEntries() error {
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
	if end := int(at) + len(b); f.dir.capacityBytes > 0 && end > f.dir.capacityBytes {
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
