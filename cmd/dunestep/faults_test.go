package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/standin"
)

// faulty is an endpoint whose first answer has a fault of the wire; it forgets a connection where it is told.
type faultyServer struct {
	*standin.Server
	fault       scenario.Fault
	requests    atomic.Int32
	connections atomic.Int32
}

func newFaultyServer(t *testing.T, fault scenario.Fault) *faultyServer {
	f := &faultyServer{fault: fault}
	var err error
	f.Server, err = standin.Listen("127.0.0.1:0", standin.Events{
		Opened: func(*standin.Conn) { f.connections.Add(1) },
		Came: func(c *standin.Conn, r *http.Request, body []byte) {
			n := f.requests.Add(1)
			if c.Handle != nil { // the connection is forgotten
				return
			}
			if n > 1 {
				fault = ""
			} else if fault == scenario.Forgets {
				c.Handle = fault
			}
			c.Reply(standin.Reply{Status: 200, Body: fmt.Sprintf("%s %d", r.Header.Get("X-Correlation-Id"), len(body))}, fault)
		},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// What the program makes of each fault of the wire at the only endpoint there is: what is passed on, what is
// refused because nothing can have run, what fails because something may have, and whether the connection is used
// again. A request after it is served by its own answer.
func TestWireFaults(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault  scenario.Fault
		unsafe int  // what the client of an unsafe request sees
		again  bool // the connection is used again
	}{
		{"", 200, true},
		{scenario.NoAccept, 503, false},
		{scenario.SilentHead, 502, false},
		{scenario.SilentBody, 502, false},
		{scenario.ResetBefore, 502, false},
		{scenario.ResetAfter, 200, false},
		{scenario.Hints, 200, true},
		{scenario.TwoAnswers, 200, false},
		{scenario.Noise, 502, false},
		{scenario.EndlessHead, 502, false},
		{scenario.CutBody, 502, false},
		{scenario.HalfClose, 200, false},
		{scenario.SlowReader, 200, true},
		{scenario.Forgets, 200, true},
	} {
		t.Run("fault "+string(c.fault), func(t *testing.T) {
			f := newFaultyServer(t, c.fault)
			w := newTestbed(t, 0)
			w.config["known"].(object)["servers"] = []object{{
				"id": "s-0", "addr": f.Addr(), "zone": "a", "kind": "rapid",
				"cell": 1, "state": "active", "weight": 1.0,
			}}
			w.start()
			switch c.fault {
			case scenario.NoAccept:
				require.NoError(t, f.Mute())
				w.until("there is no room for a connection", f.Full)
			case scenario.SlowReader:
				f.ReadSlowly(10 * time.Millisecond)
			}
			ask := func() (answer, string) {
				body := strings.Repeat("b", 60<<10) // more than fits into a read
				r := w.request("rezervare", 900)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
				return w.do(r), r.Header.Get("X-Correlation-Id") + fmt.Sprint(" ", len(body))
			}
			got, own := ask()
			require.Equal(t, c.unsafe, got.status, got.body)
			if c.unsafe == 200 {
				require.Equal(t, own, got.body)
			}
			if c.fault != scenario.NoAccept {
				require.EqualValues(t, 1, f.requests.Load(), "what may have run is not sent again")
			}
			require.NoError(t, f.Accept())
			if c.fault == scenario.Forgets { // nothing tells of it but the time that the next one takes
				got, _ = ask()
				require.Equal(t, 502, got.status)
			}
			w.until("served again, by its own answer", func() bool {
				if got, own = ask(); got.status == 200 {
					require.Equal(t, own, got.body, "not that of another")
				}
				return got.status == 200
			})
			if c.again && c.fault != scenario.Forgets {
				require.EqualValues(t, 1, f.connections.Load())
			} else if c.fault != scenario.NoAccept {
				require.Greater(t, f.connections.Load(), int32(1))
			}
		})
	}
}

// A client that leaves while its request's connection is still to come up has nobody ask the endpoint any more:
// the wish to connect is given up, and what comes up later carries the next request only.
func TestNothingIsForwardedForDisconnectedClients(t *testing.T) {
	f := newFaultyServer(t, "")
	w := newTestbed(t, 0)
	w.useLongTimeouts()
	rules := w.config["settings"].(object)["rules"].(object)
	rules["stopSendingWithin"] = 60000000 // a connection is waited for half of that at the most
	w.config["known"].(object)["servers"] = []object{{
		"id": "s-0", "addr": f.Addr(), "zone": "a", "kind": "rapid", "cell": 1,
		"state": "active", "weight": 1.0,
	}}
	w.start()
	require.NoError(t, f.Mute())
	w.until("there is no room for a connection", f.Full)
	var clients []net.Conn
	for _, head := range []string{"GET /consult", "POST /rezervare"} {
		clients = append(clients, w.sendRaw(fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 20000\r\nContent-Length: 0\r\n\r\n", head, w.nextID())))
	}
	w.until("both wait for a connection", func() bool { return countConnecting(t, w.process.Process.Pid) == 2 })
	for _, c := range clients {
		require.NoError(t, c.Close())
	}
	require.NoError(t, f.Accept()) // what is still waited for comes up when the system tries again
	w.until("nothing is waited for", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	r := w.request("consult", 20000)
	require.Equal(t, r.Header.Get("X-Correlation-Id")+" 0", w.do(r).body)
	require.EqualValues(t, 1, f.requests.Load(), "and nothing of those that left")
}
