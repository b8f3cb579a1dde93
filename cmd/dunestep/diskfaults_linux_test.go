package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dunestep/internal/standin"
)

// writeCalls are the system calls that write files for some descriptors or flags only.
var writeCalls = []uint32{unix.SYS_OPENAT, unix.SYS_WRITE}

// writesFile reports whether a system call of the program writes files, or creates one.
func (w *testbed) writesFile(call uint32, args [6]uint64) bool {
	switch call {
	case unix.SYS_OPENAT:
		return args[2]&unix.O_CREAT != 0
	case unix.SYS_WRITE:
		return w.isFile(args[0])
	}
	return true
}

// isFile reports whether a descriptor of the program is a file's.
func (w *testbed) isFile(descriptor uint64) bool {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", w.process.Process.Pid, descriptor))
	return err == nil && strings.HasPrefix(target, "/")
}

// The disk fails for a while. The agent serves, and what an operator has set and what it has learned are written once the
// disk is in order, without another call.
func TestDiskFailsForAWhile(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ENOSPC, unix.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			w := newTestbed(t, 2)
			folder := t.TempDir()
			w.opsAddr = uniqueAddr(t)
			w.operatorFile = "[state]\nfolder = \"" + folder + "\"\nwrites_a_minute = 60\nperiod_s = 1\n"
			w.tempDir = shortTempDir(t)
			useSyscallFaults(w, slices.Concat(standin.FileCalls(), writeCalls)...)
			var isBroken atomic.Bool
			isBroken.Store(true)
			w.syscallFaults.Set(func(call uint32, args [6]uint64) syscall.Errno {
				if isBroken.Load() && w.writesFile(call, args) {
					return errno
				}
				return 0
			})
			w.start()
			status, _ := w.callOps("POST", "/ops/booking-servers/down", "s-1")
			require.Equal(t, http.StatusServiceUnavailable, status, "not saved, and said so")
			before := len(w.servers[1].attempts())
			for range 20 {
				require.Equal(t, http.StatusOK, w.send("consult").status)
			}
			require.Len(t, w.servers[1].attempts(), before, "the endpoint is disabled all the same")
			w.waitUntil("a write failed", func() bool { return strings.Contains(w.log.String(), "state cannot be written") })
			isBroken.Store(false)
			w.waitUntil("the settings are saved", func() bool {
				return strings.Contains(w.log.String(), "manual settings saved for the next process")
			})
			w.waitUntil("the state is written", func() bool {
				return strings.Contains(w.log.String(), "state can be written again")
			})
			entries, err := os.ReadDir(folder)
			require.NoError(t, err)
			require.NotEmpty(t, entries)
		})
	}
}

// shortTempDir returns a folder whose path leaves room for the name of a Unix socket.
func shortTempDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "ds")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// The system fails for a moment to open or to read the configuration after SIGHUP. It is applied once the system is in
// order, without another signal: changes at the new address of discovery count as known 4 s after the first.
func TestConfigurationNotReadableForAMoment(t *testing.T) {
	const broken, knownAfter = time.Second, 4 * time.Second
	for _, c := range []struct {
		call  uint32
		errno syscall.Errno
	}{
		{unix.SYS_OPENAT, unix.EMFILE},
		{unix.SYS_OPENAT, unix.ENFILE},
		{unix.SYS_OPENAT, unix.ENOMEM},
		{unix.SYS_OPENAT, unix.EIO},
		{unix.SYS_READ, unix.EIO},
	} {
		name, err := standin.SystemCallName(c.call)
		require.NoError(t, err)
		t.Run(fmt.Sprint(name, c.errno), func(t *testing.T) {
			w := newTestbed(t, 1)
			useSyscallFaults(w, unix.SYS_OPENAT, unix.SYS_READ)
			w.start()
			w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
			next := newDiscovery(t)
			until := time.Now().Add(broken)
			w.syscallFaults.Set(func(call uint32, args [6]uint64) syscall.Errno {
				if call != c.call || time.Now().After(until) || call == unix.SYS_READ && !w.isFile(args[0]) {
					return 0
				}
				return c.errno
			})
			signaledAt := time.Now()
			w.moveDiscovery(next)
			w.waitUntil("a read failed", func() bool { return w.syscallFaults.Failed() > 0 })
			w.waitUntil("a watch at the new address", func() bool { return next.watchCount() == 1 })
			require.Less(t, time.Since(signaledAt), knownAfter)
		})
	}
}

// The folder of the hand-over socket is missing at the start, and comes later: then a process can take over.
func TestHandoverFolderThatIsMissingAtTheStart(t *testing.T) {
	w := newTestbed(t, 1)
	w.tempDir = filepath.Join(shortTempDir(t), "f")
	w.start()
	require.Contains(t, w.log.String(), "handover socket cannot be opened")
	time.Sleep(listenRetryInterval + 300*time.Millisecond) // it is still missing when it is tried again
	require.NoError(t, os.Mkdir(w.tempDir, 0o700))
	w.waitUntil("socket", func() bool {
		sockets, err := filepath.Glob(filepath.Join(w.tempDir, "*.sock"))
		return err == nil && len(sockets) == 1
	})
}
