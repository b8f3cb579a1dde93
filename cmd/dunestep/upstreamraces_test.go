package main

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// useFaultyServer replaces the endpoint list by a single faultyServer, which has no fault.
func useFaultyServer(t *testing.T, w *testbed) *faultyServer {
	f := newFaultyServer(t, "")
	w.config["known"].(object)["servers"] = []object{f.listEntry("active")}
	return f
}

func (f *faultyServer) listEntry(state string) object {
	return object{"id": "s-0", "addr": f.Addr(), "zone": "a", "kind": "rapid", "cell": 1, "state": state, "weight": 1.0}
}

// An endpoint begins to drain while an attempt waits for a connection to it. The attempt is abandoned within the drain
// grace, although the connect timeout is longer.
func TestServerDrainsWhileConnecting(t *testing.T) {
	w := newTestbed(t, 0)
	w.useLongTimeouts() // the connect timeout is 10 s
	w.config["settings"].(object)["rules"].(object)["stopSendingWithin"] = 1_000_000
	f := useFaultyServer(t, w)
	w.start()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	require.NoError(t, f.IgnoreConnections())
	w.waitUntil("the accept queue is full", f.IsBacklogFull)
	answered := make(chan int, 1)
	r := w.request("rezervare", 60000)
	r.Close = true
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	w.waitUntil("connecting", func() bool { return countConnecting(t, w.process.Process.Pid) > 0 })
	w.discovery.sendLine(listJSON(42, false, f.listEntry("leaving")))
	updatedAt := time.Now()
	w.waitUntil("connection attempt abandoned", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	require.Less(t, time.Since(updatedAt), 5*time.Second, "half of the drain grace, and a margin for a busy machine")
	require.NoError(t, f.AcceptConnections())
	require.Equal(t, http.StatusServiceUnavailable, await(t, answered))
	require.Zero(t, f.requests.Load(), "nothing was forwarded")
}

// A client has less time left than a connection, the delay before a retry or the agent's margin for returning the answer
// takes. It gets one answer, and nothing is forwarded for it later.
func TestTimeLeftTooShortForAttempt(t *testing.T) {
	w := newTestbed(t, 0)
	w.useLongTimeouts()
	f := useFaultyServer(t, w)
	w.start()
	require.NoError(t, f.IgnoreConnections())
	w.waitUntil("the accept queue is full", f.IsBacklogFull)
	for _, class := range []string{"consult", "rezervare"} {
		for _, leftMS := range []int{0, 1, 4, 5, 6, 20, 60} {
			began := time.Now()
			status := w.do(w.request(class, leftMS)).status
			require.Less(t, time.Since(began), 5*time.Second, "%s, %d ms", class, leftMS)
			require.Contains(t, []int{429, 502, 503}, status, "%s, %d ms", class, leftMS)
		}
	}
	require.NoError(t, f.AcceptConnections()) // pending connections are established when the kernel retransmits
	w.waitUntil("no connection is pending", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	w.waitUntil("served again", func() bool { return w.do(w.request("consult", 20000)).status == http.StatusOK })
	require.EqualValues(t, 1, f.requests.Load(), "nothing was forwarded for clients whose time was up")
}

// A retry's X-Time-Left-Ms is the time that the client has left when the retry begins, on a reused connection and on a new
// one. The first attempt is rejected only after some time, so that the retry must have less left.
func TestRetriesCarryTimeLeft(t *testing.T) {
	t.Parallel()
	const leftMS, delay = 20000, 300 * time.Millisecond
	for name, connected := range map[string]bool{"reused": true, "new": false} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 2, (*testbed).useLongTimeouts)
			if connected {
				w.waitUntil("both servers have a connection", func() bool {
					for _, s := range w.servers {
						if len(s.attempts()) == 0 {
							r := w.request("consult", leftMS)
							r.Header.Set("Cookie", "sid="+w.nextID())
							w.do(r)
							return false
						}
					}
					return true
				})
			}
			before := w.attemptCount()
			var sent time.Time
			var rejectedBy atomic.Value // the endpoint that rejects
			w.answerFirst(func(s upstreamAttempt) string {
				rejectedBy.Store(s.server)
				time.Sleep(time.Until(sent.Add(delay)))
				return reply("503 No", "", "X-Unprocessed: 1")
			}, ok)
			r := w.request("rezervare", leftMS)
			sent = time.Now()
			require.Equal(t, http.StatusOK, w.do(r).status)
			require.Equal(t, 2, w.attemptCount()-before)
			for _, s := range w.servers {
				for _, attempt := range s.attempts() {
					if correlationID(attempt) != correlationID(upstreamAttempt{Request: r}) {
						continue
					}
					timeLeft, err := strconv.Atoi(attempt.Header.Get("X-Time-Left-Ms"))
					require.NoError(t, err)
					require.LessOrEqual(t, timeLeft, leftMS)
					if attempt.server != rejectedBy.Load() {
						require.LessOrEqual(t, timeLeft, leftMS-int(delay.Milliseconds()))
					}
				}
			}
		})
	}
}
