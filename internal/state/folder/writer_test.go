package folder

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

// slowDirectory is a directory whose syncs take syncDuration, and return an error while fails is set.
type slowDirectory struct {
	crashDirectory
	syncDuration time.Duration
	fails        atomic.Bool
	mu           sync.Mutex
	syncTimes    []time.Time
}

func newSlowDirectory(syncDuration time.Duration) *slowDirectory {
	d := &slowDirectory{crashDirectory: *emptyDirectory(), syncDuration: syncDuration}
	d.cutStep, d.beforeStep = 1<<30, func() {}
	return d
}

func (d *slowDirectory) sync() error {
	time.Sleep(d.syncDuration)
	d.mu.Lock()
	d.syncTimes = append(d.syncTimes, time.Now())
	d.mu.Unlock()
	if d.fails.Load() {
		return errors.New("i/o error")
	}
	return d.crashDirectory.sync()
}

func (d *slowDirectory) syncs() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.syncTimes)
}

// startNumberedWriter starts a Writer on a directory, and returns it with the number of states it has collected. Each
// collected state has its number as the list's version.
func startNumberedWriter(d directory, age time.Duration) (*Writer, *atomic.Int64) {
	collected := &atomic.Int64{}
	return StartWriter(WriterSettings{
		Path: "nowhere", Owner: owner, Period: 10 * time.Second, MinInterval: 5 * time.Second,
		Collect: func(context.Context) (state.Content, bool) { return numberedContent(int(collected.Add(1))), true },
	},
		newFolder(d, owner, nil), age), collected
}

// A Writer writes once per period, and earlier on request, but never within MinInterval, also after a start.
func TestWriterIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(0)
		w, collected := startNumberedWriter(d, time.Second)
		startedAt := time.Now()
		w.RequestWrite()
		time.Sleep(4*time.Second + 1)
		synctest.Wait()
		require.Len(t, d.syncs(), 1)
		require.Equal(t, 4*time.Second, d.syncs()[0].Sub(startedAt), "the file was 1 s old, so MinInterval must end after 4 s")
		for range 600 {
			w.RequestWrite()
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.Len(t, d.syncs(), 13, "with requests, a write every 5 s for a minute")
		time.Sleep(time.Minute)
		require.InDelta(t, 19, len(d.syncs()), 1, "without requests, a write every 10 s")
		before := collected.Load()
		w.Finish(t.Context())
		require.Equal(t, before+1, collected.Load())
		file, _ := newFolder(d, owner, nil).Load()
		require.Equal(t, before+1, file.List.Version)
	})
}

// A disk that takes 5 s per write does not delay RequestWrite, and does not delay Finish beyond its context.
func TestSlowDiskDoesNotDelayCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(5 * time.Second)
		w, _ := startNumberedWriter(d, time.Minute)
		for range 300 {
			calledAt := time.Now()
			w.RequestWrite()
			require.Zero(t, time.Since(calledAt))
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 3, len(d.syncs()), 1, "MinInterval must count from the end of a write")
		calledAt := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		w.Finish(ctx)
		require.Zero(t, time.Since(calledAt), "Finish must skip a write that would not complete in time")
		<-w.done
		file, _ := newFolder(d, owner, nil).Load()
		require.NotNil(t, file)
	})
}

// A Writer that can't write logs one warning and retries, also in a folder that replaces the old one.
func TestWriterRetries(t *testing.T) {
	var log strings.Builder
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(0)
		d.fails.Store(true)
		w, collected := startNumberedWriter(d, time.Minute)
		time.Sleep(5*time.Minute - time.Second)
		require.Equal(t, int64(29), collected.Load())
		require.Equal(t, 1, strings.Count(log.String(), "state cannot be written"), log.String())
		w.stop()
		<-w.done
	})
	path := t.TempDir() // removed and created again below
	folder, err := Open(path, owner)
	require.NoError(t, err)
	w := StartWriter(WriterSettings{
		Path: path, Owner: owner, Period: time.Millisecond, MinInterval: time.Millisecond,
		Collect: func(context.Context) (state.Content, bool) { return numberedContent(1), true },
	}, folder, time.Minute)
	written := func() bool { return len(stateFiles(path)) > 0 }
	require.Eventually(t, written, 10*time.Second, time.Millisecond)
	require.NoError(t, os.Rename(path, path+"-away"))
	require.Eventually(t, func() bool { return os.RemoveAll(path+"-away") == nil }, 10*time.Second, time.Millisecond,
		"the removal must succeed although the Writer may be creating files")
	require.NoError(t, os.Mkdir(path, 0o700))
	require.Eventually(t, written, 10*time.Second, time.Millisecond)
	w.Finish(t.Context())
}
