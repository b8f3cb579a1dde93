package main

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oneServer has the program know one endpoint, with a fault of the wire.
func oneServer(t *testing.T, w *testbed) *faulty {
	f := newFaulty(t, "")
	w.config["known"].(object)["servers"] = []object{f.entry("active")}
	return f
}

func (f *faulty) entry(state string) object {
	return object{"id": "s-0", "addr": f.Addr(), "zone": "a", "kind": "rapid", "cell": 1, "state": state, "weight": 1.0}
}

// An endpoint begins to drain while a step waits for its connection: it is not forwarded after the grace, however
// long the settings would have the connection waited for.
func TestServerDrainsWhileAConnectionIsAwaited(t *testing.T) {
	w := newTestbed(t, 0)
	w.useLongTimeouts() // connections are waited for 10 s
	w.config["settings"].(object)["rules"].(object)["stopSendingWithin"] = 1_000_000
	f := oneServer(t, w)
	w.start()
	w.until("watch", func() bool { return w.discovery.watched() == 1 })
	require.NoError(t, f.Mute())
	w.until("there is no room for a connection", f.Full)
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
	w.until("it waits for a connection", func() bool { return countConnecting(t, w.process.Process.Pid) > 0 })
	w.discovery.say(list(42, false, f.entry("leaving")))
	told := time.Now()
	w.until("it is given up", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	require.Less(t, time.Since(told), 5*time.Second, "half of the grace, and what a busy machine adds")
	require.NoError(t, f.Accept())
	require.Equal(t, http.StatusServiceUnavailable, await(t, answered))
	require.Zero(t, f.got.Load(), "nothing was sent on")
}

// Clients that give less time than the connection, the spacing of further attempts or the answer's margin takes get
// one answer each, and nothing is forwarded for them later.
func TestLessTimeThanAnythingTakes(t *testing.T) {
	w := newTestbed(t, 0)
	w.useLongTimeouts()
	f := oneServer(t, w)
	w.start()
	require.NoError(t, f.Mute())
	w.until("there is no room for a connection", f.Full)
	for _, class := range []string{"consult", "rezervare"} {
		for _, leftMS := range []int{0, 1, 4, 5, 6, 20, 60} {
			began := time.Now()
			status := w.do(w.request(class, leftMS)).status
			require.Less(t, time.Since(began), 5*time.Second, "%s, %d ms", class, leftMS)
			require.Contains(t, []int{429, 502, 503}, status, "%s, %d ms", class, leftMS)
		}
	}
	require.NoError(t, f.Accept()) // what is still waited for comes up when the system tries again
	w.until("nothing is waited for", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	w.until("served again", func() bool { return w.do(w.request("consult", 20000)).status == http.StatusOK })
	require.EqualValues(t, 1, f.got.Load(), "nothing was sent on for clients whose time was up")
}

// What a further attempt tells its endpoint is what is left to the client then, on a reused connection and on a
// new one: the attempt before it is rejected when so much of the time has passed.
func TestRetriesTellTheTimeLeft(t *testing.T) {
	t.Parallel()
	const leftMS, held = 20000, 300 * time.Millisecond
	for name, warm := range map[string]bool{"reused": true, "new": false} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 2, (*testbed).useLongTimeouts)
			if warm {
				w.until("both have a connection", func() bool {
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
			var first atomic.Value // the endpoint that turns away
			w.answerFirst(func(s upstreamAttempt) string {
				first.Store(s.server)
				time.Sleep(time.Until(sent.Add(held)))
				return reply("503 No", "", "X-Unprocessed: 1")
			}, ok)
			r := w.request("rezervare", leftMS)
			sent = time.Now()
			require.Equal(t, http.StatusOK, w.do(r).status)
			require.Equal(t, 2, w.attemptCount()-before)
			for _, s := range w.servers {
				for _, st := range s.attempts() {
					if idOf(st) != idOf(upstreamAttempt{Request: r}) {
						continue
					}
					told, err := strconv.Atoi(st.Header.Get("X-Time-Left-Ms"))
					require.NoError(t, err)
					require.LessOrEqual(t, told, leftMS)
					if st.server != first.Load() {
						require.LessOrEqual(t, told, leftMS-int(held.Milliseconds()))
					}
				}
			}
		})
	}
}
