package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dunestep/internal/standin"
)

func init() {
	if os.Getenv(standin.SyscallFaultsProgramEnv) != "" {
		fmt.Fprintln(os.Stderr, standin.ExecWithSyscallFaults(os.Args, os.Environ()))
		os.Exit(3)
	}
}

// useSyscallFaults makes w run the program so that these system calls can fail. It skips the test where the machine
// does not allow that.
func useSyscallFaults(w *testbed, calls ...uint32) {
	if refusal := standin.ListenerRefusal(); refusal != nil {
		w.t.Skip("system calls cannot be made to fail on this machine:", refusal)
	}
	program, err := plainBinary()
	require.NoError(w.t, err)
	faults, env, err := standin.NewSyscallFaults(program, calls...)
	require.NoError(w.t, err)
	w.syscallFaults, w.program, w.env = faults, os.Args[0], append(w.env, env...)
}

// failFor makes calls fail with an error for a time.
func (w *testbed) failFor(d time.Duration, errno syscall.Errno, calls ...uint32) {
	until := time.Now().Add(d)
	w.syscallFaults.Set(func(call uint32, _ [6]uint64) syscall.Errno {
		for _, c := range calls {
			if c == call && time.Now().Before(until) {
				return errno
			}
		}
		return 0
	})
}

// Accepting clients fails for a moment in each way that Linux documents. The agent goes on, and serves clients that
// connect meanwhile.
func TestAcceptFailsForAMoment(t *testing.T) {
	w := newTestbed(t, 1)
	useSyscallFaults(w, unix.SYS_ACCEPT4)
	w.start()
	for _, errno := range []syscall.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO,
		unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
		unix.ETIMEDOUT,
	} {
		before := w.syscallFaults.Failed()
		w.failFor(100*time.Millisecond, errno, unix.SYS_ACCEPT4)
		for range 3 {
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
			response, err := client.Do(w.request("consult", 2000))
			require.NoError(t, err, errno)
			_ = response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode, errno)
		}
		require.Greater(t, w.syscallFaults.Failed(), before, errno)
	}
}

// Many system calls are interrupted. Nothing is lost by it. Not connect: one that is interrupted goes on, which a call that
// was never made does not.
func TestInterruptedSystemCalls(t *testing.T) {
	w := newTestbed(t, 3)
	calls := []uint32{
		unix.SYS_ACCEPT4, unix.SYS_READ, unix.SYS_WRITE, unix.SYS_WRITEV, unix.SYS_RECVFROM,
		unix.SYS_EPOLL_PWAIT, unix.SYS_SENDTO,
	}
	useSyscallFaults(w, calls...)
	w.start()
	w.syscallFaults.Set(func(uint32, [6]uint64) syscall.Errno {
		if rand.IntN(3) == 0 {
			return unix.EINTR
		}
		return 0
	})
	for i := range 300 {
		if i%10 == 0 {
			http.DefaultClient.CloseIdleConnections()
		}
		class := []string{"consult", "rezervare"}[i%2]
		require.Equal(t, http.StatusOK, w.do(w.request(class, 900)).status)
	}
	w.syscallFaults.Set(nil)
	require.NotContains(t, w.log.String(), "ejected")
}

// A broken connection is reported as ETIMEDOUT or EHOSTUNREACH. A request on a broken upstream connection is answered; a
// broken client's costs nothing but its own connection.
func TestBrokenConnectionsReportedByTheSystem(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			w := newTestbed(t, 2)
			useSyscallFaults(w, unix.SYS_READ, unix.SYS_RECVFROM)
			w.start()
			require.Equal(t, http.StatusOK, w.send("consult").status)
			idle := w.sendRaw("GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
			w.failFor(100*time.Millisecond, errno, unix.SYS_RECVFROM)
			statuses := map[int]int{}
			for range 10 {
				response, err := http.DefaultClient.Do(w.request("consult", 900))
				var broken net.Error
				if err != nil {
					require.ErrorAs(t, err, &broken) // the client's own connection may be the broken one
					continue
				}
				_ = response.Body.Close()
				statuses[response.StatusCode]++
			}
			w.syscallFaults.Set(nil)
			_ = idle.Close()
			w.waitUntil("served again", func() bool { return w.do(w.request("consult", 900)).status == http.StatusOK })
			require.NotContains(t, w.log.String(), "panic")
		})
	}
}

// Reading and writing sockets fails for a moment for want of memory, in each way that Linux documents. That says nothing of
// the peer: each request is served, on the connection that its client has.
func TestReadsAndWritesFailForWantOfMemory(t *testing.T) {
	calls := []uint32{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_WRITEV, unix.SYS_RECVFROM}
	for _, errno := range []syscall.Errno{unix.ENOMEM, unix.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			w := newTestbed(t, 3)
			useSyscallFaults(w, calls...)
			w.start()
			failed := w.syscallFaults.Failed()
			w.syscallFaults.Set(func(_ uint32, args [6]uint64) syscall.Errno {
				if rand.IntN(5) == 0 && w.isSocket(int(args[0])) {
					return errno
				}
				return 0
			})
			for i := range 200 {
				class := []string{"consult", "rezervare"}[i%2]
				require.Equal(t, http.StatusOK, w.do(w.request(class, 900)).status)
			}
			w.syscallFaults.Set(nil)
			require.Greater(t, w.syscallFaults.Failed(), failed+100)
			require.NotContains(t, w.log.String(), "ejected")
		})
	}
}

// The system takes and gives a few bytes at a time. Requests with bodies and their answers are complete all the same.
func TestShortReadsAndWrites(t *testing.T) {
	w := newTestbed(t, 3)
	useSyscallFaults(w, unix.SYS_READ, unix.SYS_WRITE, unix.SYS_WRITEV)
	w.start()
	body := strings.Repeat("0123456789", 30)
	w.answerAll(func(a upstreamAttempt) string {
		return reply("200 OK", a.Header.Get("X-Correlation-Id")+strings.Repeat("abcdefghij", 30))
	})
	shortened := w.syscallFaults.Failed()
	w.syscallFaults.SetShort(func(_ uint32, args [6]uint64) int {
		if !w.isSocket(int(args[0])) || rand.IntN(4) == 0 {
			return 0
		}
		return 1 + rand.IntN(40)
	})
	for i := range 60 {
		r := w.request([]string{"consult", "rezervare"}[i%2], 2500)
		if r.Method == http.MethodPost {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		}
		answer := w.do(r)
		require.Equal(t, http.StatusOK, answer.status)
		require.Equal(t, r.Header.Get("X-Correlation-Id")+strings.Repeat("abcdefghij", 30), answer.body)
	}
	w.syscallFaults.SetShort(nil)
	require.Greater(t, w.syscallFaults.Failed(), shortened+500)
	for _, s := range w.servers {
		for _, attempt := range s.attempts() {
			if attempt.Method == http.MethodPost {
				require.Equal(t, body, attempt.body)
			}
		}
	}
	require.NotContains(t, w.log.String(), "ejected")
}

// isSocket reports whether a descriptor of the program is a socket.
func (w *testbed) isSocket(descriptor int) bool {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", w.process.Process.Pid, descriptor))
	return err == nil && strings.HasPrefix(target, "socket:")
}
