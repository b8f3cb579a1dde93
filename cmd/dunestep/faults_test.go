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

// faultyServer is an endpoint whose first answer has a wire fault. After scenario.DropsConnection it answers no further request on
// that connection.
type faultyServer struct {
	*standin.Server
	fault       scenario.ConnFault
	requests    atomic.Int32
	connections atomic.Int32
}

func newFaultyServer(t *testing.T, fault scenario.ConnFault) *faultyServer {
	f := &faultyServer{fault: fault}
	var err error
	f.Server, err = standin.Listen("127.0.0.1:0", standin.Events{
		ConnectionOpened: func(*standin.Conn) { f.connections.Add(1) },
		RequestReceived: func(c *standin.Conn, r *http.Request, body []byte) {
			n := f.requests.Add(1)
			if c.Handle != nil { // after scenario.DropsConnection
				return
			}
			if n > 1 {
				fault = ""
			} else if fault == scenario.DropsConnection {
				c.Handle = fault
			}
			c.Reply(standin.Reply{Status: 200, Body: fmt.Sprintf("%s %d", r.Header.Get("X-Correlation-Id"), len(body))}, fault)
		},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// Each wire fault occurs once, at the only endpoint. The client gets the endpoint's answer, a 503 where the request cannot
// have been executed, or a 502 where it may have been. Only a connection in a known state is reused. A later request is
// served with its own answer.
func TestWireFaults(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault  scenario.ConnFault
		unsafe int  // status that the client of an unsafe request gets
		reused bool // the connection is reused
	}{
		{"", 200, true},
		{scenario.NoAccept, 503, false},
		{scenario.SilentHead, 502, false},
		{scenario.SilentBody, 502, false},
		{scenario.ResetBefore, 502, false},
		{scenario.ResetAfter, 200, false},
		{scenario.InformationalAnswer, 200, true},
		{scenario.TwoAnswers, 200, false},
		{scenario.Noise, 502, false},
		{scenario.EndlessHead, 502, false},
		{scenario.CutBody, 502, false},
		{scenario.HalfClose, 200, false},
		{scenario.SlowReader, 200, true},
		{scenario.DropsConnection, 200, true},
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
				require.NoError(t, f.IgnoreConnections())
				w.waitUntil("the accept queue is full", f.IsBacklogFull)
			case scenario.SlowReader:
				f.SetReadPause(10 * time.Millisecond)
			}
			send := func() (answer, string) {
				body := strings.Repeat("b", 60<<10) // more than one read returns
				r := w.request("rezervare", 900)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
				return w.do(r), r.Header.Get("X-Correlation-Id") + fmt.Sprint(" ", len(body))
			}
			got, want := send()
			require.Equal(t, c.unsafe, got.status, got.body)
			if c.unsafe == 200 {
				require.Equal(t, want, got.body)
			}
			if c.fault != scenario.NoAccept {
				require.EqualValues(t, 1, f.requests.Load(), "a request that may have been executed is not retried")
			}
			require.NoError(t, f.AcceptConnections())
			if c.fault == scenario.DropsConnection { // the agent detects it only when the next request times out
				got, _ = send()
				require.Equal(t, 502, got.status)
			}
			w.waitUntil("served again", func() bool {
				if got, want = send(); got.status == 200 {
					require.Equal(t, want, got.body, "the answer belongs to this request")
				}
				return got.status == 200
			})
			if c.reused && c.fault != scenario.DropsConnection {
				require.EqualValues(t, 1, f.connections.Load())
			} else if c.fault != scenario.NoAccept {
				require.Greater(t, f.connections.Load(), int32(1))
			}
		})
	}
}

// Clients disconnect while the agent connects to the endpoint for their requests. Nothing is forwarded for them: the
// connection attempts are abandoned, and a connection that is established later carries the next request only.
func TestNothingIsForwardedForDisconnectedClients(t *testing.T) {
	f := newFaultyServer(t, "")
	w := newTestbed(t, 0)
	w.useLongTimeouts()
	rules := w.config["settings"].(object)["rules"].(object)
	rules["stopSendingWithin"] = 60000000 // the agent waits for a connection at most half as long
	w.config["known"].(object)["servers"] = []object{{
		"id": "s-0", "addr": f.Addr(), "zone": "a", "kind": "rapid", "cell": 1,
		"state": "active", "weight": 1.0,
	}}
	w.start()
	require.NoError(t, f.IgnoreConnections())
	w.waitUntil("the accept queue is full", f.IsBacklogFull)
	var clients []net.Conn
	for _, head := range []string{"GET /consult", "POST /rezervare"} {
		clients = append(clients, w.sendRaw(fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 20000\r\nContent-Length: 0\r\n\r\n", head, w.nextID())))
	}
	w.waitUntil("both requests wait for a connection", func() bool { return countConnecting(t, w.process.Process.Pid) == 2 })
	for _, c := range clients {
		require.NoError(t, c.Close())
	}
	require.NoError(t, f.AcceptConnections()) // pending connections are established when the kernel retransmits
	w.waitUntil("no connection is pending", func() bool { return countConnecting(t, w.process.Process.Pid) == 0 })
	r := w.request("consult", 20000)
	require.Equal(t, r.Header.Get("X-Correlation-Id")+" 0", w.do(r).body)
	require.EqualValues(t, 1, f.requests.Load(), "nothing was forwarded for the disconnected clients")
}
