package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Connecting fails for a moment for want of something on this machine. That is no server's fault: none is ejected, and
// requests with enough time are served once it is over.
func TestConnectFailsForWantOfResources(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		call  uint32
	}{
		{unix.EMFILE, unix.SYS_SOCKET},
		{unix.ENFILE, unix.SYS_SOCKET},
		{unix.ENOBUFS, unix.SYS_SOCKET},
		{unix.ENOMEM, unix.SYS_SOCKET},
		{unix.EADDRNOTAVAIL, unix.SYS_CONNECT},
		{unix.ENETUNREACH, unix.SYS_CONNECT},
		{unix.ENETDOWN, unix.SYS_CONNECT},
		{unix.EAGAIN, unix.SYS_CONNECT},
		{unix.ENOBUFS, unix.SYS_CONNECT},
	} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			w := newTestbed(t, 4)
			useSyscallFaults(w, unix.SYS_SOCKET, unix.SYS_CONNECT)
			w.operatorFile = "[log]\nlevel = \"debug\"\n"
			w.start()
			w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
			w.failFor(150*time.Millisecond, c.errno, c.call)
			statuses := make(chan int, 20)
			for range cap(statuses) {
				go func() {
					r := w.request("rezervare", 900)
					r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
					response, err := http.DefaultClient.Do(r)
					if err != nil {
						statuses <- 0
						return
					}
					_ = response.Body.Close()
					statuses <- response.StatusCode
				}()
			}
			for range cap(statuses) {
				require.Equal(t, http.StatusOK, <-statuses)
			}
			require.Positive(t, w.syscallFaults.Failed())
			require.NotContains(t, w.log.String(), "ejected")
		})
	}
}
