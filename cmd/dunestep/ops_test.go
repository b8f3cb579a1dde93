package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withOpsSocket configures an operators' socket.
func withOpsSocket(w *testbed) { w.opsAddr = uniqueAddr(w.t) }

// callOps sends a request to the operators' socket and returns the status and body of the answer. An answer is due within 1 s;
// the test tolerates 3 s.
func (w *testbed) callOps(method, path, body string) (int, string) {
	w.t.Helper()
	began := time.Now()
	r, err := http.NewRequest(method, "http://"+w.opsAddr+path, strings.NewReader(body))
	require.NoError(w.t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(w.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	require.True(w.t, resp.Close, "a connection serves one call")
	require.Less(w.t, time.Since(began), 3*time.Second)
	return resp.StatusCode, string(text)
}

// requireOpsOK sends a request to the operators' socket and requires that it succeeds.
func (w *testbed) requireOpsOK(method, path, body string) {
	w.t.Helper()
	status, text := w.callOps(method, path, body)
	require.Equal(w.t, 200, status, text)
}

type stats struct {
	Responses map[string]struct{ OK, Shed, Errors int }
	Tries     int
	Active    int
	Size      int `json:"pool_size"`
	Ejected   int `json:"pool_ejected"`
}

func (w *testbed) stats() (s stats) {
	w.t.Helper()
	status, text := w.callOps("GET", "/ops/stats", "")
	require.Equal(w.t, 200, status)
	require.NoError(w.t, json.Unmarshal([]byte(text), &s))
	return s
}

// Each call is answered with its status. Unknown paths, wrong methods and malformed bodies are rejected.
func TestOpsCalls(t *testing.T) {
	w := start(t, 2, withOpsSocket)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/ops/readiness", "", 200},
		{"GET", "/ops/stats", "", 200},
		{"POST", "/ops/drain/stop", "", 200},
		{"GET", "/", "", 404},
		{"GET", "/ops/stats/", "", 404},
		{"POST", "/ops/stats", "", 405},
		{"GET", "/ops/drain/start", "", 405},
		{"POST", "/ops/booking-servers/down", "", 400},
		{"POST", "/ops/booking-servers/down", "s-\x00", 400},
		{"POST", "/ops/booking-servers/down", "s- 0", 400},
		{"POST", "/ops/booking-servers/down", strings.Repeat("s", 257), 404},
		{"POST", "/ops/booking-servers/down", strings.Repeat("s", 1000), 413},
		{"POST", "/ops/booking-servers/down", "s-7", 404},
		{"POST", "/ops/booking-servers/up", "s-7", 404},
		{"POST", "/ops/booking-servers/up", "s-1\n", 200},
	} {
		status, text := w.callOps(c.method, c.path, c.body)
		require.Equal(t, c.status, status, "%s %s %q: %s", c.method, c.path, c.body, text)
	}
	require.Equal(t, 404, w.do(must(http.NewRequest("GET", "http://"+w.opsAddr+"/health/ready", nil))).status)
}

func must(r *http.Request, err error) *http.Request {
	if err != nil {
		panic(err)
	}
	return r
}

// With a malformed address of the operators' socket, the program prints an error and exits.
func TestMalformedOpsAddressEndsStart(t *testing.T) {
	w := newTestbed(t, 1)
	w.opsAddr = "nowhere"
	w.launch()
	await(t, w.exited)
	require.Equal(t, 1, w.process.ProcessState.ExitCode())
	require.Equal(t, "dunestep: LB_OPS: \"nowhere\" is not an address with a port\n", w.log.String())
}

// The operators' socket answers while clients use all their descriptors, and while many callers are connected that send
// nothing or an incomplete call. The oldest of such connections is closed first.
func TestOpsSocketUnderPressure(t *testing.T) {
	w := start(t, 1, withOpsSocket, (*testbed).useLongTimeouts, func(w *testbed) { w.config["limits"].(object)["sockets"] = 96 })
	w.servers[0].setAnswer(func(upstreamAttempt) string { return silence })
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	base := w.descriptorCount()
	for range 60 { // more than descriptors are available
		c, err := net.Dial("tcp", w.addr)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_ = w.request("consult", 30000).Write(c)
	}
	full := base
	w.waitUntil("clients use all their descriptors", func() bool {
		before := full
		time.Sleep(200 * time.Millisecond)
		full = w.descriptorCount()
		return full == before && full > base+30
	})
	require.LessOrEqual(t, full-base, 96-32-18, "18 descriptors are reserved for the operators' socket, and 32 for the program")
	first := w.sendRawTo(w.opsAddr, "")
	for i := range 100 {
		w.sendRawTo(w.opsAddr, []string{"", "GET /ops/stats HTTP/1.1\r\n", "POST /ops/booking-servers/down HTTP/1.1\r\n" +
			"Host: x\r\nContent-Length: 9\r\n\r\ns-0"}[i%3])
		if i%20 == 0 {
			w.requireOpsOK("GET", "/ops/readiness", "")
		}
	}
	_ = first.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the oldest connection is closed")
	require.LessOrEqual(t, w.descriptorCount(), 96)
}

// The statistics match what clients and endpoints observed, with failures, rejections, resets and clients that disconnect.
func TestStatsMatchObservedTraffic(t *testing.T) {
	w := start(t, 2, withOpsSocket, (*testbed).useLongTimeouts)
	initial := w.stats()
	require.Equal(t, []any{0, 0, 2, 0}, []any{initial.Tries, initial.Active, initial.Size, initial.Ejected})
	require.Len(t, initial.Responses, 2, "classes without a request are listed")
	w.send("consult")
	answers := map[int]int{}
	for i, answer := range []func(upstreamAttempt) string{
		ok, func(upstreamAttempt) string { return reply("500 No", "") },
		func(upstreamAttempt) string { return reply("503 No", "", "X-Unprocessed: 1") }, func(upstreamAttempt) string { return hangUp },
	} {
		w.answerAll(answer)
		for range 3 + i {
			answers[w.send("rezervare").status]++
		}
	}
	w.answerAll(func(upstreamAttempt) string { return silence })
	before := w.attemptCount()
	client := w.sendRaw("GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\n" +
		"X-Account: acme\r\nX-Time-Left-Ms: 9000\r\n\r\n")
	w.waitUntil("the request is forwarded", func() bool { return w.attemptCount() > before })
	require.Equal(t, 1, w.stats().Active)
	_ = client.Close()
	w.waitUntil("the client's disconnect is noticed", func() bool { return w.stats().Active == 0 })
	s := w.stats()
	got := s.Responses["rezervare"]
	require.Equal(t, []int{answers[200], answers[503] + answers[429], answers[502]}, []int{got.OK, got.Shed, got.Errors})
	require.Equal(t, w.attemptCount(), s.Tries)
	require.Equal(t, 1, s.Responses["consult"].OK)
}

// A disabled endpoint gets no requests, whatever discovery reports, until it is enabled again.
func TestDisableEndpoint(t *testing.T) {
	w := start(t, 2, withOpsSocket)
	sendSome := func(n int) {
		for range n {
			require.Equal(t, 200, w.send("consult").status)
		}
	}
	reaches := func(server int) func() bool {
		return func() bool {
			before := len(w.servers[server].attempts())
			r := w.request("consult", 900)
			r.Header.Set("Cookie", "sid="+w.nextID())
			w.do(r)
			return len(w.servers[server].attempts()) > before
		}
	}
	w.waitUntil("both are used", func() bool { return reaches(0)() })
	w.waitUntil("both are used", func() bool { return reaches(1)() })
	w.requireOpsOK("POST", "/ops/booking-servers/down", "s-0")
	w.requireOpsOK("POST", "/ops/booking-servers/down", "s-0")
	w.waitUntil("connections to s-0 are closed", func() bool { return w.servers[0].openCount() == 0 })
	before := len(w.servers[0].attempts())
	sendSome(20)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	w.discovery.sendLine(listJSON(50, true, w.servers[0].listEntry("active"), w.servers[1].listEntry("active")))
	w.discovery.sendLine(listJSON(51, false, w.servers[0].listEntry("active")))
	for version := 52; version < 54; version += 2 {
		w.discovery.sendLine(listJSON(version, false, w.servers[0].listEntry("left")))
		w.discovery.sendLine(listJSON(version+1, false, w.servers[0].listEntry("active")))
	}
	for range 20 {
		require.False(t, reaches(0)())
	}
	require.Len(t, w.servers[0].attempts(), before)
	s := w.stats()
	require.Equal(t, []int{2, 1}, []int{s.Size, s.Ejected})
	w.requireOpsOK("POST", "/ops/booking-servers/down", "s-1")
	require.Equal(t, 503, w.send("consult").status, "all endpoints are disabled")
	w.requireOpsOK("POST", "/ops/booking-servers/up", "s-1")
	w.requireOpsOK("POST", "/ops/booking-servers/up", "s-0")
	w.waitUntil("s-0 is used again", reaches(0))
}

// statusAndClose sends a request, and returns the response's status and whether the agent closes the connection.
func (w *testbed) statusAndClose() []any {
	resp, err := http.DefaultClient.Do(w.request("consult", 900))
	require.NoError(w.t, err)
	_ = resp.Body.Close()
	return []any{resp.StatusCode, resp.Close}
}

// A drain is started and stopped by operators, in any order of calls: the agent is not ready meanwhile and closes its
// clients' connections, but still answers requests.
func TestManualDrain(t *testing.T) {
	w := start(t, 1, withOpsSocket)
	w.requireOpsOK("POST", "/ops/drain/stop", "") // without a start
	idle := w.sendRaw("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := idle.Read(make([]byte, 1))
	require.NoError(t, err)
	silent := w.sendRaw("")
	for range 2 {
		w.requireOpsOK("POST", "/ops/drain/start", "")
		require.Equal(t, 503, w.readyStatus())
		require.Equal(t, []any{200, true}, w.statusAndClose(), "a request is served, and its connection closed")
	}
	for _, c := range []net.Conn{idle, silent} {
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err := io.Copy(io.Discard, c)
		require.NoError(t, err, "idle connections are closed")
	}
	w.requireOpsOK("POST", "/ops/drain/stop", "")
	require.Equal(t, 200, w.readyStatus())
	require.Equal(t, []any{200, false}, w.statusAndClose())
	w.requireOpsOK("POST", "/ops/drain/start", "") // SIGTERM follows while drained
}

// The state of the calls to discovery tells whether the list is watched, and for how long nothing came.
func TestOpsDiscoveryTellsWhetherTheListIsWatched(t *testing.T) {
	w := newTestbed(t, 1)
	w.opsAddr = uniqueAddr(t)
	w.start()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	var state struct {
		Address       string   `json:"address"`
		Watches       int      `json:"watches"`
		CallsUnderWay int      `json:"calls_under_way"`
		SilentMS      *float64 `json:"silent_ms"`
	}
	read := func() {
		status, text := w.callOps("GET", "/ops/discovery", "")
		require.Equal(t, http.StatusOK, status)
		require.NoError(t, json.Unmarshal([]byte(text), &state))
	}
	w.waitUntil("an empty line", func() bool { read(); return state.SilentMS != nil })
	require.Equal(t, w.discovery.addr, state.Address)
	require.Equal(t, []int{1, 1}, []int{state.Watches, state.CallsUnderWay})
	w.discovery.setResponse(http.StatusServiceUnavailable, false)
	w.discovery.endWatches()
	w.waitUntil("no watch", func() bool { read(); return state.Watches == 0 })
	w.waitUntil("a line in the log", func() bool { return strings.Contains(w.log.String(), "no watch of the endpoint list") })
}
