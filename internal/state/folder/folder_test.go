package folder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

func TestMain(m *testing.M) {
	if path := os.Getenv("STATE_WRITE_TO"); path != "" {
		writeForever(path)
	}
	os.Exit(m.Run())
}

// writeForever is a process that does nothing but write, and says each time that it has.
func writeForever(path string) {
	folder, err := Open(path, owner)
	if err != nil {
		panic(err)
	}
	last := 0
	if file, _ := folder.Load(); file != nil {
		last = int(file.List.Version)
	}
	content := state.Content{List: &state.StoredList{Endpoints: make([]state.StoredEndpoint, 3000)}}
	for {
		last++
		content.List.Version = int64(last)
		if err := folder.Save(content, time.Now()); err != nil {
			panic(err)
		}
		fmt.Println(last)
	}
}

// A process is killed while it writes, again and again: every time a whole file is found, the last one that
// it said it had written or the next. STATE_KILLS says how often.
func TestKilledWhileWriting(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("STATE_KILLS"))
	kills = max(kills, 40)
	path := t.TempDir()
	begun, between := 0, 0
	for range kills {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), "STATE_WRITE_TO="+path)
		out, err := writer.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, writer.Start())
		lines := bufio.NewReader(out)
		_, err = lines.ReadString('\n')
		require.NoError(t, err)
		time.Sleep(rand.N(20 * time.Millisecond))
		require.NoError(t, writer.Process.Kill())
		said, _ := io.ReadAll(lines)
		_ = writer.Wait()
		last := 0
		if all := strings.Fields(string(said)); len(all) > 0 && strings.HasSuffix(string(said), "\n") {
			last, err = strconv.Atoi(all[len(all)-1])
			require.NoError(t, err)
		}
		left, err := filepath.Glob(filepath.Join(path, ".state-*"))
		require.NoError(t, err)
		if len(left) > 0 {
			between++
		}
		folder, err := Open(path, owner)
		require.NoError(t, err)
		file, wrong := folder.Load()
		require.Empty(t, wrong)
		require.NotNil(t, file)
		require.Len(t, file.List.Endpoints, 3000)
		n := int(file.List.Version)
		require.GreaterOrEqual(t, n, max(last, begun))
		if last > 0 {
			require.LessOrEqual(t, n, last+1)
		}
		begun = n
		left, err = filepath.Glob(filepath.Join(path, ".state-*"))
		require.NoError(t, err)
		require.Empty(t, left, "what was begun is tidied up")
		require.NoError(t, folder.Close())
	}
	require.NotZero(t, between, "some are killed within a write")
	t.Logf("%d kills, %d of them within a write, %d writes", kills, between, begun)
}

func TestFolderIsOnesOwn(t *testing.T) {
	path := t.TempDir()
	first, err := Open(path, owner)
	require.NoError(t, err)
	file, wrong := first.Load()
	require.True(t, file == nil && wrong == nil)
	require.NoError(t, first.Save(numbered(1), time.Now()))
	_, err = Open(path, state.Owner{Deployment: "d", Agent: "n1"})
	require.ErrorIs(t, err, ErrInUse)
	require.NoError(t, first.Save(numbered(2), time.Now()))
	require.NoError(t, first.Close())

	// Another agent's, or another deployment's: nothing is taken and nothing is written over.
	for _, o := range []state.Owner{{Deployment: "d", Agent: "n1"}, {Deployment: "e", Agent: "n0"}} {
		second, err := Open(path, o)
		require.NoError(t, err)
		file, wrong = second.Load()
		require.Nil(t, file)
		require.Len(t, wrong, 2)
		require.ErrorIs(t, wrong[0], state.ErrOtherOwner)
		require.ErrorIs(t, second.Save(numbered(3), time.Now()), state.ErrOtherOwner)
		require.NoError(t, second.Close())
	}

	// The clock was set back by a year: the later generation is still the later one. Then that one is damaged.
	again, err := Open(path, owner)
	require.NoError(t, err)
	again.Load()
	require.NoError(t, again.Save(numbered(3), time.Now().AddDate(-1, 0, 0)))
	file, _ = again.Load()
	require.Equal(t, int64(3), file.List.Version)
	require.NoError(t, os.WriteFile(filepath.Join(path, slots[1-again.nextSlot]), []byte("DUNESTEP but not whole"), 0o600))
	file, wrong = again.Load()
	require.Equal(t, int64(2), file.List.Version)
	require.Len(t, wrong, 1)
	require.ErrorIs(t, wrong[0], state.ErrDamaged)
	require.NoError(t, again.Save(numbered(4), time.Now()))
	file, wrong = again.Load()
	require.Equal(t, int64(4), file.List.Version)
	require.Empty(t, wrong)
	require.NoError(t, again.Close())

	// No writing, here because the lock can't be had: what is there is read, and the reason is told.
	require.NoError(t, os.Remove(filepath.Join(path, lockName)))
	require.NoError(t, os.Mkdir(filepath.Join(path, lockName), 0o700))
	still, err := Open(path, owner)
	require.NoError(t, err)
	file, _ = still.Load()
	require.Equal(t, int64(4), file.List.Version)
	require.ErrorIs(t, still.Save(numbered(5), time.Now()), syscall.EISDIR)
	require.NoError(t, still.Close())
	_, err = Open(filepath.Join(path, "nowhere"), owner)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// slowDisk takes its time to make something last, and fails while it is told to.
type slowDisk struct {
	crashDisk
	takes time.Duration
	fails atomic.Bool
	mu    sync.Mutex
	at    []time.Time // of the syncs
}

func newSlowDisk(takes time.Duration) *slowDisk {
	d := &slowDisk{crashDisk: *empty(), takes: takes}
	d.cut, d.each = 1<<30, func() {}
	return d
}

func (d *slowDisk) sync() error {
	time.Sleep(d.takes)
	d.mu.Lock()
	d.at = append(d.at, time.Now())
	d.mu.Unlock()
	if d.fails.Load() {
		return errors.New("i/o error")
	}
	return d.crashDisk.sync()
}

func (d *slowDisk) syncs() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.at)
}

// keep starts a keeper on a disk; what it takes is numbered.
func keep(d directory, age time.Duration) (*Writer, *atomic.Int64) {
	taken := &atomic.Int64{}
	return StartWriter(WriterSettings{
		Path: "nowhere", Owner: owner, Period: 10 * time.Second, MinInterval: 5 * time.Second,
		Collect: func(context.Context) (state.Content, bool) { return numbered(int(taken.Add(1))), true },
	},
		newFolder(d, owner, nil), age), taken
}

// Written once a period; a change of weight is written sooner, but never within the gap, also after a start.
func TestKeeperPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDisk(0)
		k, taken := keep(d, time.Second)
		began := time.Now()
		k.RequestWrite()
		time.Sleep(4*time.Second + 1)
		synctest.Wait()
		require.Len(t, d.syncs(), 1)
		require.Equal(t, 4*time.Second, d.syncs()[0].Sub(began), "the last file was a second old")
		for range 600 {
			k.RequestWrite()
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.Len(t, d.syncs(), 13, "every 5 s for a minute")
		time.Sleep(time.Minute)
		require.InDelta(t, 19, len(d.syncs()), 1, "every 10 s")
		before := taken.Load()
		k.Finish(t.Context())
		require.Equal(t, before+1, taken.Load())
		file, _ := newFolder(d, owner, nil).Load()
		require.Equal(t, before+1, file.List.Version)
	})
}

// A disk that takes 5 s each time holds up nobody: neither who pokes nor, for longer than there is, the end.
func TestKeeperOnASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDisk(5 * time.Second)
		k, _ := keep(d, time.Minute)
		for range 300 {
			began := time.Now()
			k.RequestWrite()
			require.Zero(t, time.Since(began))
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 3, len(d.syncs()), 1, "the gap counts from the end")
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		k.Finish(ctx)
		require.Zero(t, time.Since(began), "it would not be done in time")
		<-k.done
		file, _ := newFolder(d, owner, nil).Load()
		require.NotNil(t, file)
	})
}

// While nothing can be kept, that is told once, and it is tried again.
func TestKeeperFaults(t *testing.T) {
	var log strings.Builder
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDisk(0)
		d.fails.Store(true)
		k, taken := keep(d, time.Minute)
		time.Sleep(5*time.Minute - time.Second)
		require.Equal(t, int64(29), taken.Load())
		require.Equal(t, 1, strings.Count(log.String(), "state not kept"), log.String())
		k.stop()
		<-k.done
	})
	path := t.TempDir() // the folder is gone, and comes back
	folder, err := Open(path, owner)
	require.NoError(t, err)
	k := StartWriter(WriterSettings{
		Path: path, Owner: owner, Period: time.Millisecond, MinInterval: time.Millisecond,
		Collect: func(context.Context) (state.Content, bool) { return numbered(1), true },
	}, folder, time.Minute)
	kept := func() bool { return len(glob(path)) > 0 }
	require.Eventually(t, kept, 10*time.Second, time.Millisecond)
	require.NoError(t, os.Rename(path, path+"-away"))
	require.Eventually(t, func() bool { return os.RemoveAll(path+"-away") == nil }, 10*time.Second, time.Millisecond,
		"it is written to meanwhile")
	require.NoError(t, os.Mkdir(path, 0o700))
	require.Eventually(t, kept, 10*time.Second, time.Millisecond)
	k.Finish(t.Context())
}

func glob(path string) []string {
	found, err := filepath.Glob(filepath.Join(path, "state-*"))
	if err != nil {
		panic(err)
	}
	return found
}

// A write of what comes to the length of a thousand servers, with the processor's time that it takes, the kernel's
// included.
func BenchmarkSave(b *testing.B) {
	folder, err := Open(b.TempDir(), owner)
	require.NoError(b, err)
	content := state.Content{List: &state.StoredList{Endpoints: make([]state.StoredEndpoint, 1000)}}
	for i := range content.List.Endpoints {
		content.List.Endpoints[i].ID = strings.Repeat("s", 200)
	}
	used := func() time.Duration {
		var r syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
		return time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	before := used()
	for b.Loop() {
		require.NoError(b, folder.Save(content, time.Now()))
	}
	b.ReportMetric(float64((used()-before).Microseconds())/1000/float64(b.N), "cpu-ms/op")
}
