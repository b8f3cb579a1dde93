package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against servers that are blamed, as ejected or as an outage, for the time in which this process did not run. Each
// attempt opens a connection, since the servers close them.
func TestServersAreNotBlamedForStoppedProcess(t *testing.T) {
	w := newSerialTestbed(t, 6)
	w.start(usePlainBinary)
	w.answerAll(func(a upstreamAttempt) string {
		return strings.Replace(ok(a), "\r\n", "\r\nConnection: close\r\n", 1)
	})
	var clients sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for range 60 {
		clients.Go(func() {
			for time.Now().Before(end) {
				if response, err := http.DefaultClient.Do(w.request("consult", 2500)); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
		})
	}
	for time.Until(end) > time.Second {
		time.Sleep(100 * time.Millisecond)
		w.signal(syscall.SIGSTOP)
		time.Sleep(400 * time.Millisecond)
		w.signal(syscall.SIGCONT)
	}
	clients.Wait()
	require.NotContains(t, w.log.String(), "ejected:")
	require.NotContains(t, w.log.String(), "outage")
}
