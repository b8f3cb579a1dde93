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

// slowDirectory takes a time to sync, and fails while it is told to.
type slowDirectory struct {
	crashDirectory
	takes time.Duration
	fails atomic.Bool
	mu    sync.Mutex
	at    []time.Time // of the syncs
}

func newSlowDirectory(takes time.Duration) *slowDirectory {
	d := &slowDirectory{crashDirectory: *empty(), takes: takes}
	d.cut, d.each = 1<<30, func() {}
	return d
}

func (d *slowDirectory) sync() error {
	time.Sleep(d.takes)
	d.mu.Lock()
	d.at = append(d.at, time.Now())
	d.mu.Unlock()
	if d.fails.Load() {
		return errors.New("i/o error")
	}
	return d.crashDirectory.sync()
}

func (d *slowDirectory) syncs() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.at)
}

// startNumbered starts a Writer on a directory; what it collects is numbered.
func startNumbered(d directory, age time.Duration) (*Writer, *atomic.Int64) {
	collected := &atomic.Int64{}
	return StartWriter(WriterSettings{
		Path: "nowhere", Owner: owner, Period: 10 * time.Second, MinInterval: 5 * time.Second,
		Collect: func(context.Context) (state.Content, bool) { return numbered(int(collected.Add(1))), true },
	},
		newFolder(d, owner, nil), age), collected
}

// It writes once a period, and sooner when asked to, but never within MinInterval, also after a start.
func TestWriterIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(0)
		w, collected := startNumbered(d, time.Second)
		began := time.Now()
		w.RequestWrite()
		time.Sleep(4*time.Second + 1)
		synctest.Wait()
		require.Len(t, d.syncs(), 1)
		require.Equal(t, 4*time.Second, d.syncs()[0].Sub(began), "the last file was a second old")
		for range 600 {
			w.RequestWrite()
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		require.Len(t, d.syncs(), 13, "every 5 s for a minute")
		time.Sleep(time.Minute)
		require.InDelta(t, 19, len(d.syncs()), 1, "every 10 s")
		before := collected.Load()
		w.Finish(t.Context())
		require.Equal(t, before+1, collected.Load())
		file, _ := newFolder(d, owner, nil).Load()
		require.Equal(t, before+1, file.List.Version)
	})
}

// A disk that takes 5 s for each write delays neither RequestWrite nor, beyond its context, Finish.
func TestWriterOnASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(5 * time.Second)
		w, _ := startNumbered(d, time.Minute)
		for range 300 {
			began := time.Now()
			w.RequestWrite()
			require.Zero(t, time.Since(began))
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 3, len(d.syncs()), 1, "the interval counts from the end of a write")
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		w.Finish(ctx)
		require.Zero(t, time.Since(began), "it would not be written in time")
		<-w.done
		file, _ := newFolder(d, owner, nil).Load()
		require.NotNil(t, file)
	})
}

// While nothing can be written, that is logged once, and the Writer tries again, also in a new folder.
func TestWriterRetries(t *testing.T) {
	var log strings.Builder
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	synctest.Test(t, func(t *testing.T) {
		d := newSlowDirectory(0)
		d.fails.Store(true)
		w, collected := startNumbered(d, time.Minute)
		time.Sleep(5*time.Minute - time.Second)
		require.Equal(t, int64(29), collected.Load())
		require.Equal(t, 1, strings.Count(log.String(), "state cannot be written"), log.String())
		w.stop()
		<-w.done
	})
	path := t.TempDir() // which is removed, and made again
	folder, err := Open(path, owner)
	require.NoError(t, err)
	w := StartWriter(WriterSettings{
		Path: path, Owner: owner, Period: time.Millisecond, MinInterval: time.Millisecond,
		Collect: func(context.Context) (state.Content, bool) { return numbered(1), true },
	}, folder, time.Minute)
	written := func() bool { return len(glob(path)) > 0 }
	require.Eventually(t, written, 10*time.Second, time.Millisecond)
	require.NoError(t, os.Rename(path, path+"-away"))
	require.Eventually(t, func() bool { return os.RemoveAll(path+"-away") == nil }, 10*time.Second, time.Millisecond,
		"files may be created meanwhile")
	require.NoError(t, os.Mkdir(path, 0o700))
	require.Eventually(t, written, 10*time.Second, time.Millisecond)
	w.Finish(t.Context())
}
