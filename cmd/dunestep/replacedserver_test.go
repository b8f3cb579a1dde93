package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a new process at an endpoint's address that is taken for the one before: the machine of that one has vanished
// without a word, and resets its connections, once something comes on them, now that it is back.
func TestNewProcessAtSameAddressIsNotTakenForFormer(t *testing.T) {
	w := start(t, 1, withOpsSocket, (*testbed).useLongTimeouts)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	require.Equal(t, http.StatusOK, w.send("rezervare").status)
	var isReplaced atomic.Bool
	former := w.servers[0].openedCount()
	w.servers[0].setScript(func(a upstreamAttempt, c net.Conn) bool {
		if isReplaced.Load() && a.connNumber <= former {
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, err := c.Write([]byte(ok(a)))
		return err == nil
	})
	require.Equal(t, http.StatusOK, w.send("rezervare").status)
	require.Equal(t, former, w.servers[0].openedCount(), "the connection is used again")
	isReplaced.Store(true)
	entry := w.servers[0].listEntry("active")
	entry["started_ms"] = 1
	w.discovery.sendLine(listJSON(42, false, entry, newServer(t, "s-other").listEntry("leaving")))
	w.waitUntil("the list has come", func() bool { return w.stats().Size == 2 })
	require.Equal(t, http.StatusOK, w.send("rezervare").status)
}
