package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	w := start(t, 1)
	body := strings.Repeat("\x00free chair\r\n", 4000)
	w.answerAll(func(upstreamAttempt) string { return reply("200 OK", body) })
	for _, class := range []string{"consult", "rezervare"} {
		r := w.request(class, 900)
		got := w.do(r)
		require.Equal(t, answer{200, body, got.header}, got)
		attempts := w.servers[0].attempts()
		attempt := attempts[len(attempts)-1]
		require.Equal(t, r.Method, attempt.Method)
		require.Equal(t, "/"+class+"/x%2Fy?q=1&r=%20", attempt.RequestURI)
		require.Equal(t, "backend.local", attempt.Host)
		require.Equal(t, r.Header.Get("X-Correlation-Id"), attempt.Header.Get("X-Correlation-Id"))
		left, err := strconv.Atoi(attempt.Header.Get("X-Time-Left-Ms"))
		require.NoError(t, err)
		require.True(t, left > 0 && left < 900, "%d", left)
		if class == "rezervare" {
			require.Equal(t, "chair 4, Monday", attempt.body)
		}
		require.Equal(t, 1, attempt.connNumber, "connections are reused")
	}
}

// Each outcome of an attempt in PROTOCOL's table: the first attempt of a request has it, and a further one is served. A
// non-idempotent request is retried only if the endpoint cannot have processed it.
func TestUpstreamOutcomes(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 64<<10)
	longest := strings.Repeat("x", 4<<20)
	for _, c := range []struct {
		name, answer string
		neverRan     bool
		served       bool
	}{
		{name: "error", answer: reply("500 Internal Server Error", "")},
		{name: "503 marked unprocessed", answer: reply("503 Service Unavailable", "", "X-Unprocessed: 1"), neverRan: true},
		{name: "504 marked unprocessed", answer: reply("504 Gateway Timeout", "", "X-Unprocessed: 1"), neverRan: true},
		{name: "503 without a mark", answer: reply("503 Service Unavailable", "")},
		{name: "500 marked unprocessed", answer: reply("500 Internal Server Error", "", "X-Unprocessed: 1")},
		{name: "another status", answer: reply("404 Not Found", "")},
		{name: "close without a response", answer: hangUp},
		{name: "close within the head", answer: "HTTP/1.1 200 OK\r\nContent-Le" + hangUp},
		{name: "close within the body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + hangUp},
		{name: "close within a chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf" + hangUp},
		{name: "not HTTP", answer: "+OK\r\n\r\n" + hangUp},
		{name: "too long a body", answer: reply("200 OK", longest+"x")},
		{name: "unlimited head", answer: "HTTP/1.1 200 OK\r\nA: " + long + long},
		{name: "unlimited interim responses", answer: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 8000)},
		{name: "a length of 3 GB", answer: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long},
		{name: "a negative length", answer: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc"},
		{name: "the longest body", answer: reply("200 OK", longest), served: true},
		{
			name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
			served: true,
		},
		{name: "body until the close", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc" + hangUp, served: true},
		{name: "close announced", answer: reply("200 OK", "abc", "Connection: close"), served: true},
		{name: "after a 100", answer: "HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "abc"), served: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, 3, func(w *testbed) { w.operatorFile = "[answers]\nlongest_kb = 4096\n" })
			for _, class := range []string{"consult", "rezervare"} {
				w.answerFirst(func(upstreamAttempt) string { return c.answer }, ok)
				before := w.attemptCount()
				got := w.send(class)
				want, attempts := 200, 2
				if c.served {
					attempts = 1
				} else if class == "rezervare" && !c.neverRan {
					want, attempts = 502, 1
				}
				require.Equal(t, want, got.status, class)
				require.Equal(t, attempts, w.attemptCount()-before, class)
				if want == 200 && !c.served {
					require.Contains(t, got.body, " s-", class)
				}
			}
		})
	}
}

// Bytes that follow a response, at once or later, are never taken for the response to the next request. The connection is
// not reused.
func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.config["limits"].(object)["cores"] = 8 }) // lets goroutines run in any order
	stale := reply("200 OK", "stale")
	for _, extra := range []string{stale, "noise", "HTTP/1.1 100 Continue\r\n\r\n", stale + stale} {
		w.answerAll(func(s upstreamAttempt) string { return ok(s) + extra })
		var clients sync.WaitGroup
		for range 8 {
			clients.Go(func() {
				for range 100 {
					r := w.request("rezervare", 900)
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						t.Error(err)
						return
					}
					body, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					want := r.Header.Get("X-Correlation-Id") + " s-0"
					if resp.StatusCode != http.StatusServiceUnavailable && string(body) != want {
						t.Errorf("response %q; the endpoint sent %q after it", body, extra)
					}
				}
			})
		}
		clients.Wait()
	}
	conns := map[int]int{}
	for _, s := range w.servers[0].attempts() {
		conns[s.connNumber]++
	}
	for _, n := range conns {
		require.Equal(t, 1, n, "attempts on one connection")
	}
}

// A non-idempotent request does not fail because an endpoint is unreachable or a connection is not established within the
// configured timeout. It is retried at another endpoint, as it cannot have been processed.
func TestUnreachableEndpointIsRetried(t *testing.T) {
	w := start(t, 2)
	w.servers[0].stop()
	for i := range 20 {
		r := w.request("rezervare", 900)
		r.Header.Set("Cookie", fmt.Sprint("sid=", i)) // some keys belong to the first server
		require.Equal(t, 200, w.do(r).status)
	}
}

// The agent gives up on an endpoint that does not answer, closes the connection and answers its client at once, before the
// client's time is over.
func TestSilentEndpointIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"consult": 503, "rezervare": 502} {
		t.Run(class, func(t *testing.T) {
			w := start(t, 1)
			w.answerAll(func(upstreamAttempt) string { return silence })
			began := time.Now()
			got := w.do(w.request(class, 30000))
			require.Equal(t, status, got.status)
			require.Less(t, time.Since(began), 10*time.Second, "answered soon after the latency objective")
			if status == 503 {
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, 0.0)
			}
			w.waitUntil("the connection to the endpoint is closed", func() bool { return w.servers[0].openCount() == 0 })
		})
	}
}

// A request's time left counts from its last byte: the time that a slow client needs to send it is not included.
func TestTimeLeftCountsFromLastRequestByte(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts)
	w.answerAll(func(upstreamAttempt) string { return silence })
	r := w.request("rezervare", 800)
	body, send := io.Pipe()
	r.Body, r.ContentLength = body, 4
	go func() {
		for _, part := range []string{"a", "b", "cd"} { // takes longer than the request's time
			_, _ = send.Write([]byte(part))
			<-time.NewTimer(500 * time.Millisecond).C
		}
	}()
	began := time.Now()
	require.Equal(t, 502, w.do(r).status)
	require.Greater(t, time.Since(began), 1500*time.Millisecond)
	require.Less(t, time.Since(began), 10*time.Second)
}

// The requests of clients that have disconnected are not retried. The disconnect is also noticed after a body, as in the
// POST.
func TestNoRetryAfterClientDisconnects(t *testing.T) {
	w := start(t, 3, (*testbed).useLongTimeouts) // the disconnect is noticed before any response
	for _, head := range []string{"GET /consult HTTP/1.1\r\n", "POST /consult HTTP/1.1\r\nContent-Length: 4\r\n"} {
		received, release := make(chan struct{}), make(chan struct{})
		w.answerFirst(func(upstreamAttempt) string { close(received); <-release; return reply("500 Oh", "") }, ok)
		before := w.attemptCount()
		body := "body"[:4*strings.Count(head, "POST")]
		r := w.request("consult", 60000)
		id := r.Header.Get("X-Correlation-Id")
		c := w.sendRaw(head + "Host: x\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: 60000\r\n\r\n" + body)
		await(t, received)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		_, err := c.Read(make([]byte, 1)) // the agent closes its side when it notices
		require.ErrorIs(t, err, io.EOF)
		close(release)
		// The id is in use until the attempt has ended without a retry.
		w.waitUntil("ended", func() bool { return w.do(r.Clone(t.Context())).status == 200 })
		require.Equal(t, before+2, w.attemptCount(), "one attempt per request")
	}
}

func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	w := start(t, 1)
	validHeaders := "Host: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 500\r\n"
	for text, status := range map[string]string{
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 500\r\n\r\n":                                       "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Time-Left-Ms: 500\r\n\r\n":                "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: g0000000000000aa\r\nX-Time-Left-Ms: 5\r\n\r\n":   "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\n\r\n":                        "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: -1\r\n\r\n":  "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 1.5\r\n\r\n": "400",
		"GET /other HTTP/1.1\r\n" + validHeaders + "\r\n":                                                       "400",
		"GET / HTTP/1.1\r\n" + validHeaders + "\r\n":                                                            "400",
		"GET //consult HTTP/1.1\r\n" + validHeaders + "\r\n":                                                    "400",
		"DELETE /consult HTTP/1.1\r\n" + validHeaders + "\r\n":                                                  "400",
		"OPTIONS * HTTP/1.1\r\n" + validHeaders + "\r\n":                                                        "400",
		"GET http://x/consult HTTP/1.1\r\n" + validHeaders + "\r\n":                                             "400",
		"GET /consult HTTP/1.1\r\n" + validHeaders + "Content-Length: 1\r\n\r\nx":                               "400",
		"POST /consult HTTP/1.1\r\n" + validHeaders + "Content-Length: x\r\n\r\n":                               "400",
		"POST /consult HTTP/1.1\r\n" + validHeaders + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                "400",
		"nonsense\r\n\r\n": "400",
		"POST /consult HTTP/1.1\r\n" + validHeaders + "Content-Length: 34603009\r\n\r\n": "413",
	} {
		c := w.sendRaw(text)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		got := make([]byte, 12)
		_, err := io.ReadFull(c, got)
		require.NoError(t, err, "%.200s", text)
		require.Equal(t, "HTTP/1.1 "+status, string(got), "%.200s", text)
	}
	require.Zero(t, w.attemptCount())
	require.Equal(t, 200, w.send("consult").status)
}

// The close of an idle connection is noticed while it is idle. A write to it would be answered by a reset.
func TestIdleConnectionCloseIsDetected(t *testing.T) {
	w := start(t, 1)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	before := w.descriptorCount()
	for range 10 {
		require.Equal(t, 200, w.send("rezervare").status)
		w.servers[0].closeConnections()
		w.waitUntil("noticed", func() bool { return w.descriptorCount() <= before })
	}
}

// A connection that the endpoint is about to close as idle is closed before, and not used.
func TestIdleConnectionIsClosedBeforeEndpointDoes(t *testing.T) {
	w := start(t, 1, func(w *testbed) {
		w.config["settings"].(object)["bounds"].(object)["connIdle"] = 1000000
	})
	require.Equal(t, 200, w.send("rezervare").status)
	w.waitUntil("dropped", func() bool { return w.servers[0].openCount() == 0 })
	require.Equal(t, 200, w.send("rezervare").status)
}

// Idle connections may be dropped by the network long before the configured idle time, which shows only when the next
// attempt is lost. After a few such losses, connections that have been idle for as long are not used again.
func TestSilentlyDroppedIdleConnections(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.servers[0].idleTimeout = 20 * time.Millisecond })
	lost := 0
	for i := range 60 {
		time.Sleep(2 * w.servers[0].idleTimeout)
		if status := w.send("rezervare").status; status != 200 {
			require.Equal(t, 502, status)
			require.Less(t, i, 40, "the agent has learned the idle time by now")
			lost++
		}
	}
	require.Greater(t, lost, 2, "the agent can only learn from losses")
}

// An endpoint that was unreachable for a while leaves its connections open and silent. If one of them gives no response,
// those that have not been used since are closed too.
func TestSilentConnectionsAreClosedTogether(t *testing.T) {
	w := start(t, 1)
	endpoint := w.servers[0]
	release := make(chan bool)
	endpoint.setAnswer(func(attempt upstreamAttempt) string { <-release; return ok(attempt) })
	answers := make(chan int, 3)
	for range 3 {
		go func() { answers <- w.send("consult").status }()
	}
	w.waitUntil("three connections", func() bool { return len(endpoint.attempts()) == 3 })
	close(release)
	for range 3 {
		require.Equal(t, 200, await(t, answers))
	}
	endpoint.setAnswer(func(attempt upstreamAttempt) string {
		if attempt.connNumber <= 3 {
			return silence
		}
		return ok(attempt)
	})
	require.Equal(t, 503, w.send("consult").status)
	require.Equal(t, 200, w.send("consult").status, "no other silent connection is used")
	w.waitUntil("the other silent connections are closed", func() bool { return endpoint.openCount() == 1 })
}

// The process does not run out of descriptors: client and upstream connections share those available, and every request is
// still answered.
func TestDescriptorsAreBounded(t *testing.T) {
	const limit = 64
	w := start(t, 1, func(w *testbed) {
		w.config["limits"].(object)["sockets"] = limit
		w.useLongTimeouts()
	})
	w.answerAll(func(upstreamAttempt) string { return silence })
	var wait sync.WaitGroup
	var peak, answered atomic.Int32
	for range 2 * limit {
		wait.Go(func() {
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(w.request("rezervare", 1500))
			if err == nil {
				_ = resp.Body.Close()
				answered.Add(1)
			}
			peak.Store(max(peak.Load(), int32(w.descriptorCount())))
		})
	}
	wait.Wait()
	require.EqualValues(t, 2*limit, answered.Load())
	require.LessOrEqual(t, int(peak.Load()), limit)
	require.Contains(t, w.log.String(), `for="an upstream server"`)
	w.answerAll(ok)
	w.waitUntil("serves again", func() bool { return w.send("consult").status == 200 })
}

// Connections of idle clients are closed to serve new ones. Idle are those that stay connected after one request and those
// that send nothing, also on the GraphQL socket.
func TestIdleClientsAreClosedForNewOnes(t *testing.T) {
	w := start(t, 1, withGraphQL(), func(w *testbed) { w.config["limits"].(object)["sockets"] = 64 })
	const live = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct{ text, addr string }{{live, w.addr}, {"", w.addr}, {live, w.graphQLAddr}, {"", w.graphQLAddr}} {
		text := c.text
		for range 40 {
			c := w.sendRawTo(c.addr, text)
			if text != "" { // otherwise the agent's close would reset the connection, with its answer unread
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
		}
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
		resp, err := client.Do(w.request("consult", 900))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 200, resp.StatusCode)
	}
}

// Clients may open connections for one request each faster than idle ones time out. Once these use up the descriptors, the
// agent closes connections with the response. Until then it keeps them open.
func TestConnectionsCloseWithTheResponseWhenDescriptorsAreShort(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.config["limits"].(object)["sockets"] = 64 })
	http.DefaultClient.CloseIdleConnections()
	for i := range 20 {
		r := w.request("consult", 900)
		if i%2 == 1 {
			r.URL.Path = "/health/live"
		}
		client := http.Client{Transport: &http.Transport{}}
		resp, err := client.Do(r)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 200, resp.StatusCode)
		if i < 2 {
			require.False(t, resp.Close)
		} else if i >= 18 {
			require.True(t, resp.Close)
		}
		defer client.CloseIdleConnections()
	}
}

// A client whose request is incomplete gets an error or a close within 3 s of connecting. On a busy machine that may take
// longer, but not each time.
func TestSlowClientsAreCutOff(t *testing.T) {
	w := start(t, 1)
	head := "POST /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 500\r\n"
	w.waitUntil("closed in time", func() bool {
		began := time.Now()
		var conns []net.Conn
		for _, text := range []string{"", "GET /con", head, head + "Content-Length: 9\r\n\r\nhalf"} {
			conns = append(conns, w.sendRaw(text))
		}
		for _, c := range conns {
			require.NoError(t, c.SetReadDeadline(began.Add(waitTimeout)))
			_, err := io.Copy(io.Discard, c)
			require.NoError(t, err)
		}
		return time.Since(began) < 3*time.Second
	})
	require.Zero(t, w.attemptCount())
}

// A request with both Content-Length and chunked coding is rejected and its connection closed. Otherwise a request could be
// smuggled in the body to a server that reads the other length. A request before it on the connection is answered first.
func TestConflictingBodyLengthsAreRejected(t *testing.T) {
	w := start(t, 1)
	const hidden = "GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000ab\r\nX-Time-Left-Ms: 900\r\n\r\n"
	head := "POST /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 900\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+hidden))
	coding := "transfer-encoding: chunked\r\n"
	for _, text := range []string{
		head + length + coding, head + coding + length,
		strings.Replace(head, "/consult", "/health/live", 1) + length + coding,
	} {
		c := w.sendRaw(text + "\r\n0\r\n\r\n" + hidden)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 400")
		require.Equal(t, 1, strings.Count(string(got), "HTTP/1.1"), "the connection is closed after the error")
	}
	require.Zero(t, w.attemptCount())
	c := w.newRawClient() // after another request, in one write
	c.send(head + "Content-Length: 2\r\n\r\n{}" + head + length + coding + "\r\n0\r\n\r\n" + hidden)
	require.Equal(t, http.StatusOK, c.readAnswer().status)
	require.Equal(t, http.StatusBadRequest, c.readAnswer().status)
	c.requireEOF()
	require.Equal(t, 1, w.attemptCount(), "only the first request is forwarded")
}

// An error response reaches a client that is still sending: a close with unread input would reset the connection.
func TestErrorReachesAClientThatIsStillSending(t *testing.T) {
	w := start(t, 1)
	validHead := " /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 900\r\n"
	for head, status := range map[string]string{
		"POST" + validHead + "Content-Length: 40000000\r\n\r\n": "413",
		"no HTTP at all" + validHead + "\r\n":                   "400",
	} {
		c := w.sendRaw(head)
		_, err := io.WriteString(c, strings.Repeat("x", 40000000))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 "+status)
	}
}

// descriptorCount returns how many descriptors the program has open.
func (w *testbed) descriptorCount() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.process.Process.Pid))
	return len(entries)
}
