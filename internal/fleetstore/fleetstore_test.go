package fleetstore

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"dunestep/internal/fleet/raftlog"
)

// write is the n-th of a voter's: a record at index n, now and then a snapshot, sometimes another vote.
func voterWrite(n uint64) *raftlog.Persist {
	p := &raftlog.Persist{
		HardState: &raftpb.HardState{Term: new(n/10 + 1), Vote: new(n % 3), Commit: new(n - 1)},
		Entries:   []*raftpb.Entry{{Index: new(n), Term: new(n/10 + 1), Data: bytes.Repeat([]byte{byte(n)}, int(n*37%3000))}},
	}
	if n == 1 {
		p.Identity, p.Reset = &raftlog.Identity{Nonce: 7, Epoch: 8, ID: 9, PromisedNonce: 10, HighestEpochSeen: 11}, true
	}
	if n%100 == 0 {
		p.Snapshot = &raftpb.Snapshot{Data: make([]byte, 900), Metadata: &raftpb.SnapshotMetadata{Index: new(n - 1)}}
		p.DropThrough = n - 20
	}
	return p
}

// want is what is stored after n writes.
func storedAfter(n uint64) (s raftlog.Stored) {
	for i := uint64(1); i <= n; i++ {
		applyWrite(&s, voterWrite(i))
	}
	return s
}

func lastIndex(s raftlog.Stored) uint64 {
	if len(s.Entries) == 0 {
		return 0
	}
	return s.Entries[len(s.Entries)-1].GetIndex()
}

func requireSame(t *testing.T, want, got raftlog.Stored, msg ...any) {
	body := func(s raftlog.Stored) []byte {
		b, err := encode(&raftlog.Persist{Identity: &s.Identity, HardState: s.HardState, Snapshot: s.Snapshot, Entries: s.Entries})
		require.NoError(t, err)
		return b
	}
	require.True(t, bytes.Equal(body(want), body(got)), msg...)
}

func filledFolder(t *testing.T, n uint64) string {
	dir := t.TempDir()
	s, err := Open(dir)
	require.NoError(t, err)
	require.Zero(t, s.Stored().Identity)
	for i := uint64(1); i <= n; i++ {
		require.NoError(t, s.Write(voterWrite(i)))
	}
	requireSame(t, storedAfter(n), s.Stored())
	require.NoError(t, s.Close())
	return dir
}

func TestWhatIsWrittenIsThere(t *testing.T) {
	for _, n := range []uint64{0, 1, 2, 150, 1500} {
		dir := filledFolder(t, n)
		s, err := Open(dir)
		require.NoError(t, err)
		requireSame(t, storedAfter(n), s.Stored())
		require.NoError(t, s.Write(voterWrite(n+1)))
		info, err := os.Stat(filepath.Join(dir, logName))
		require.NoError(t, err)
		require.LessOrEqual(t, info.Size(), int64(2*rewriteThresholdBytes))
		require.NoError(t, s.Close())
	}
}

// Each kind of damage is told from a first start.
func TestDamage(t *testing.T) {
	at := func(b []byte, i int, v byte) []byte { b[i] ^= v; return b }
	for name, c := range map[string]struct {
		do   func(b []byte) []byte
		want error
	}{
		"foreign":          {func(b []byte) []byte { return []byte("[settings]\n") }, ErrNotAStore},
		"empty":            {func(b []byte) []byte { return nil }, ErrNotAStore},
		"head":             {func(b []byte) []byte { return at(b, 15, 1) }, ErrDamaged},
		"cut short":        {func(b []byte) []byte { return b[:len(b)-1] }, ErrDamaged},
		"cut to the head":  {func(b []byte) []byte { return b[:headerBytes] }, ErrDamaged},
		"a record's body":  {func(b []byte) []byte { return at(b, firstRecordOffset+recordHeaderBytes+20, 1) }, ErrDamaged},
		"a record's size":  {func(b []byte) []byte { return at(b, firstRecordOffset+17, 200) }, ErrDamaged},
		"the last record":  {func(b []byte) []byte { return at(b, lastByte(b), 1) }, ErrDamaged},
		"the rest is gone": {func(b []byte) []byte { clear(b[firstRecordOffset+300:]); return b }, ErrDamaged},
		"a record, and the mark was lost": {func(b []byte) []byte {
			clear(b[headerBytes : headerBytes+commitMarkBytes])
			second := firstRecordOffset + recordHeaderBytes + int(binary.BigEndian.Uint32(b[firstRecordOffset+16:]))
			return at(b, second+recordHeaderBytes+5, 1)
		}, ErrDamaged},
		"newer": {func(b []byte) []byte { return otherVersion(b, formatVersion+1) }, ErrVersion},
		"older": {func(b []byte) []byte { return otherVersion(b, formatVersion-1) }, ErrVersion},
	} {
		dir := filledFolder(t, 50)
		path := filepath.Join(dir, logName)
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, c.do(b), 0o600))
		_, err = Open(dir)
		require.ErrorIs(t, err, c.want, name)
		require.NoError(t, SetAside(dir))
		s, err := Open(dir)
		require.NoError(t, err, name)
		require.Zero(t, s.Stored().Identity)
		require.NoError(t, s.Close())
	}
	dir := filledFolder(t, 5)
	require.NoError(t, os.Remove(filepath.Join(dir, logName)))
	_, err := Open(dir)
	require.ErrorIs(t, err, ErrMissing)
}

func lastByte(b []byte) int { return len(bytes.TrimRight(b, "\x00")) - 1 }

func otherVersion(b []byte, v byte) []byte {
	b[11] = v
	h := crcOf(b[:headerBytes-4])
	copy(b[headerBytes-4:], h)
	return b
}

func crcOf(b []byte) []byte {
	s := checksum(nil, b)
	return []byte{byte(s >> 24), byte(s >> 16), byte(s >> 8), byte(s)}
}

func TestLocked(t *testing.T) {
	dir := filledFolder(t, 1)
	s, err := Open(dir)
	require.NoError(t, err)
	_, err = Open(dir)
	require.ErrorIs(t, err, ErrLocked)
	require.ErrorIs(t, SetAside(dir), ErrLocked)
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Write(voterWrite(2)), ErrClosed)
}

var (
	errCut  = errors.New("the power is cut")
	errNone = errors.New("no space left")
)

// fragile is a disk whose power is cut at a step, or that is full from some size on. Of what was not synced any
// sectors are kept, and any of the names.
type faultyDirectory struct {
	r     *rand.Rand
	names map[string]*faultyFile
	old   map[string]*faultyFile // as they are safe
	steps int
	room  int
}

type faultyFile struct {
	d         *faultyDirectory
	now, safe []byte
	own       bool // now is not safe's own bytes
}

func (d *faultyDirectory) step() error {
	if d.steps--; d.steps == 0 {
		for name, f := range d.names {
			if d.old[name] != f && d.r.IntN(2) == 0 {
				d.old[name] = f
			}
		}
		for _, f := range d.old {
			f.tear()
		}
		d.names = d.old
	}
	if d.steps <= 0 {
		return errCut
	}
	return nil
}

func (f *faultyFile) tear() {
	b := append([]byte(nil), f.safe...)
	if len(f.now) > len(b) && f.d.r.IntN(2) == 0 {
		b = append(b, make([]byte, f.d.r.IntN(len(f.now)-len(b)))...)
	}
	for i := 0; i < len(b); i += 512 {
		if end := min(i+512, len(b), len(f.now)); i < end && f.d.r.IntN(2) == 0 {
			copy(b[i:end], f.now[i:end])
		}
	}
	f.now, f.safe, f.own = b, b, false
}

func (d *faultyDirectory) read(name string, _ int64) ([]byte, error) {
	if f, is := d.names[name]; is {
		return append([]byte(nil), f.now...), nil
	}
	return nil, fs.ErrNotExist
}

func (d *faultyDirectory) open(name string) (file, error) { return d.names[name], nil }
func (d *faultyDirectory) create(name string) (file, error) {
	f := &faultyFile{d: d}
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
		d.names[name] = &faultyFile{d: d}
	}
	return d.step()
}

func (d *faultyDirectory) syncNames() error {
	if err := d.step(); err != nil {
		return err
	}
	d.old = map[string]*faultyFile{}
	for n, f := range d.names {
		d.old[n] = f
	}
	return nil
}
func (d *faultyDirectory) close() {}

func (f *faultyFile) WriteAt(b []byte, at int64) (int, error) {
	if end := int(at) + len(b); f.d.room > 0 && end > f.d.room {
		return 0, errNone
	}
	if grow := int(at) + len(b) - len(f.now); grow > 0 {
		f.now = append(append([]byte(nil), f.now...), make([]byte, grow)...)
	} else if !f.own {
		f.now = append([]byte(nil), f.now...)
	}
	f.own = true
	copy(f.now[at:], b)
	return len(b), f.d.step()
}

func (f *faultyFile) Sync() error {
	if err := f.d.step(); err != nil {
		return err
	}
	f.safe, f.own = f.now, false
	return nil
}
func (f *faultyFile) Close() error { return nil }

// Whenever the power is cut, what was told as safe is there, and at most one write more; and it goes on.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		d := &faultyDirectory{r: r, names: map[string]*faultyFile{}, old: map[string]*faultyFile{}}
		told := uint64(0)
		for range 4 {
			d.steps = 1 + r.IntN(300)
			s, err := openStore(d)
			require.NoError(t, err, "seed %d after %d", seed, told)
			n := lastIndex(s.Stored())
			require.GreaterOrEqual(t, n, told, "seed %d", seed)
			require.LessOrEqual(t, n, told+1, "seed %d", seed)
			requireSame(t, storedAfter(n), s.Stored(), "seed %d", seed)
			for told = n; s.Write(voterWrite(told+1)) == nil; told++ {
				require.Positive(t, d.steps)
			}
			require.ErrorIs(t, s.Write(voterWrite(told+1)), ErrClosed)
		}
	}
}

// A full disk is an error, after which nothing is written, and what was told is there.
func TestFull(t *testing.T) {
	for _, room := range []int{1000, growBytes, growBytes + 1, 2 * growBytes} {
		d := &faultyDirectory{names: map[string]*faultyFile{}, steps: 1 << 30, room: room}
		s, err := openStore(d)
		require.NoError(t, err)
		n := uint64(0)
		for err == nil {
			if err = s.Write(voterWrite(n + 1)); err == nil {
				n++
			}
		}
		require.ErrorIs(t, err, errNone)
		require.ErrorIs(t, s.Write(voterWrite(n+1)), ErrClosed)
		s, err = openStore(d)
		require.NoError(t, err)
		require.Equal(t, n, lastIndex(s.Stored()))
	}
}

// A process that is killed in the middle of writes has all that it told.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("FLEETSTORE_TEST_DIR"); dir != "" {
		s, err := Open(dir)
		require.NoError(t, err)
		for n := lastIndex(s.Stored()) + 1; ; n++ {
			require.NoError(t, s.Write(voterWrite(n)))
			_, _ = os.Stdout.WriteString("told " + strconv.FormatUint(n, 10) + "\n")
		}
	}
	dir := t.TempDir()
	for round := range 3 {
		c := exec.Command(os.Args[0], "-test.run=^TestKilled$")
		c.Env = append(os.Environ(), "FLEETSTORE_TEST_DIR="+dir)
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		told := uint64(0)
		lines := bufio.NewScanner(out)
		for i := 0; i < 40+30*round && lines.Scan(); i++ {
			if n, is := strings.CutPrefix(lines.Text(), "told "); is {
				told, _ = strconv.ParseUint(n, 10, 64)
			}
		}
		require.NoError(t, c.Process.Kill())
		_ = c.Wait()
		s, err := Open(dir)
		require.NoError(t, err)
		require.GreaterOrEqual(t, lastIndex(s.Stored()), told)
		require.Positive(t, told)
		requireSame(t, storedAfter(lastIndex(s.Stored())), s.Stored())
		require.NoError(t, s.Close())
	}
}
