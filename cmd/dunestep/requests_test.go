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
		steps := w.servers[0].attempts()
		s := steps[len(steps)-1]
		require.Equal(t, r.Method, s.Method)
		require.Equal(t, "/"+class+"/x%2Fy?q=1&r=%20", s.RequestURI)
		require.Equal(t, "backend.local", s.Host)
		require.Equal(t, r.Header.Get("X-Correlation-Id"), s.Header.Get("X-Correlation-Id"))
		left, err := strconv.Atoi(s.Header.Get("X-Time-Left-Ms"))
		require.NoError(t, err)
		require.True(t, left > 0 && left < 900, "%d", left)
		if class == "rezervare" {
			require.Equal(t, "chair 4, Monday", s.body)
		}
		require.Equal(t, 1, s.connNumber, "connections are reused")
	}
}

// What an endpoint does, and what it means: PROTOCOL's table of outcomes. The first step of a request
// meets it, a further one is served. An unsafe request goes out again only where it cannot have run.
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
		{name: "503 with the mark", answer: reply("503 Service Unavailable", "", "X-Unprocessed: 1"), neverRan: true},
		{name: "504 with the mark", answer: reply("504 Gateway Timeout", "", "X-Unprocessed: 1"), neverRan: true},
		{name: "503 without the mark", answer: reply("503 Service Unavailable", "")},
		{name: "500 with the mark", answer: reply("500 Internal Server Error", "", "X-Unprocessed: 1")},
		{name: "another status", answer: reply("404 Not Found", "")},
		{name: "end without an answer", answer: hangUp},
		{name: "cut in the head", answer: "HTTP/1.1 200 OK\r\nContent-Le" + hangUp},
		{name: "cut in the body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" + hangUp},
		{name: "cut in a chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf" + hangUp},
		{name: "no HTTP", answer: "+OK\r\n\r\n" + hangUp},
		{name: "a body that is too long", answer: reply("200 OK", longest+"x")},
		{name: "a head without end", answer: "HTTP/1.1 200 OK\r\nA: " + long + long},
		{name: "announcements without end", answer: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 8000)},
		{name: "a length of 3 GB", answer: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long},
		{name: "a negative length", answer: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc"},
		{name: "the longest body", answer: reply("200 OK", longest), served: true},
		{
			name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
			served: true,
		},
		{name: "until the end", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc" + hangUp, served: true},
		{name: "close announced", answer: reply("200 OK", "abc", "Connection: close"), served: true},
		{name: "after a 100", answer: "HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "abc"), served: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, 3, func(w *testbed) { w.operatorFile = "[answers]\nlongest_kb = 4096\n" })
			for _, class := range []string{"consult", "rezervare"} {
				w.answerFirst(func(upstreamAttempt) string { return c.answer }, ok)
				before := w.attemptCount()
				got := w.send(class)
				want, steps := 200, 2
				if c.served {
					steps = 1
				} else if class == "rezervare" && !c.neverRan {
					want, steps = 502, 1
				}
				require.Equal(t, want, got.status, class)
				require.Equal(t, steps, w.attemptCount()-before, class)
				if want == 200 && !c.served {
					require.Contains(t, got.body, " s-", class)
				}
			}
		})
	}
}

// No answer is another request's: what comes beyond an answer, at once or later, is never
// taken for the next one, and the connection is not used again.
func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.config["limits"].(object)["cores"] = 8 }) // so that all orders occur
	stale := reply("200 OK", "stale")
	for _, extra := range []string{stale, "noise", "HTTP/1.1 100 Continue\r\n\r\n", stale + stale} {
		w.answerAll(func(s upstreamAttempt) string { return ok(s) + extra })
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
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
						t.Errorf("%q after an answer with %q more", body, extra)
					}
				}
			})
		}
		wait.Wait()
	}
	conns := map[int]int{}
	for _, s := range w.servers[0].attempts() {
		conns[s.connNumber]++
	}
	for _, n := range conns {
		require.Equal(t, 1, n, "route steps on one connection")
	}
}

// An unsafe request does not fail because an endpoint cannot be reached, nor because of a new
// connection that never comes up being waited for longer than the settings say.
func TestUnreachableEndpointIsRetried(t *testing.T) {
	w := start(t, 2)
	w.servers[0].stop()
	for i := range 20 {
		r := w.request("rezervare", 900)
		r.Header.Set("Cookie", fmt.Sprint("sid=", i)) // so that some are the first server's
		require.Equal(t, 200, w.do(r).status)
	}
}

// Silence of an endpoint ends before the client gives up, and no answer is held back.
func TestSilentEndpointIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"consult": 503, "rezervare": 502} {
		t.Run(class, func(t *testing.T) {
			w := start(t, 1)
			w.answerAll(func(upstreamAttempt) string { return silence })
			began := time.Now()
			got := w.do(w.request(class, 30000))
			require.Equal(t, status, got.status)
			require.Less(t, time.Since(began), 10*time.Second, "given up at the aim, and answered at once")
			if status == 503 {
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, after, 0.0)
			}
			w.until("given up by closing", func() bool { return w.servers[0].openCount() == 0 })
		})
	}
}

// The time that a slow client needs to send does not count as its request's time, which counts from the last byte.
func TestTimeLeftCountsFromLastRequestByte(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts)
	w.answerAll(func(upstreamAttempt) string { return silence })
	r := w.request("rezervare", 800)
	body, send := io.Pipe()
	r.Body, r.ContentLength = body, 4
	go func() {
		for _, part := range []string{"a", "b", "cd"} { // which takes longer than there is time
			_, _ = send.Write([]byte(part))
			<-time.NewTimer(500 * time.Millisecond).C
		}
	}()
	began := time.Now()
	require.Equal(t, 502, w.do(r).status)
	require.Greater(t, time.Since(began), 1500*time.Millisecond)
	require.Less(t, time.Since(began), 10*time.Second)
}

// There is no work for clients that have gone: their requests are not tried again. The POST shows that
// the leaving is noticed after a body too.
func TestNoRetryAfterClientDisconnects(t *testing.T) {
	w := start(t, 3, (*testbed).useLongTimeouts) // no answer comes before the leaving is noticed
	for _, head := range []string{"GET /consult HTTP/1.1\r\n", "POST /consult HTTP/1.1\r\nContent-Length: 4\r\n"} {
		in, out := make(chan struct{}), make(chan struct{})
		w.answerFirst(func(upstreamAttempt) string { close(in); <-out; return reply("500 Oh", "") }, ok)
		before := w.attemptCount()
		body := "body"[:4*strings.Count(head, "POST")]
		r := w.request("consult", 60000)
		id := r.Header.Get("X-Correlation-Id")
		c := w.sendRaw(head + "Host: x\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: 60000\r\n\r\n" + body)
		await(t, in)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		_, err := c.Read(make([]byte, 1)) // the agent closes its side when it has noticed
		require.ErrorIs(t, err, io.EOF)
		close(out)
		// The id is in use until the step has ended and nothing follows.
		w.until("ended", func() bool { return w.do(r.Clone(t.Context())).status == 200 })
		require.Equal(t, before+2, w.attemptCount(), "one step for each operation")
	}
}

func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	w := start(t, 1)
	good := "Host: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 500\r\n"
	for text, status := range map[string]string{
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 500\r\n\r\n":                                       "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Time-Left-Ms: 500\r\n\r\n":                "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: g0000000000000aa\r\nX-Time-Left-Ms: 5\r\n\r\n":   "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\n\r\n":                        "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: -1\r\n\r\n":  "400",
		"GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 1.5\r\n\r\n": "400",
		"GET /other HTTP/1.1\r\n" + good + "\r\n":                                                               "400",
		"GET / HTTP/1.1\r\n" + good + "\r\n":                                                                    "400",
		"GET //consult HTTP/1.1\r\n" + good + "\r\n":                                                            "400",
		"DELETE /consult HTTP/1.1\r\n" + good + "\r\n":                                                          "400",
		"OPTIONS * HTTP/1.1\r\n" + good + "\r\n":                                                                "400",
		"GET http://x/consult HTTP/1.1\r\n" + good + "\r\n":                                                     "400",
		"GET /consult HTTP/1.1\r\n" + good + "Content-Length: 1\r\n\r\nx":                                       "400",
		"POST /consult HTTP/1.1\r\n" + good + "Content-Length: x\r\n\r\n":                                       "400",
		"POST /consult HTTP/1.1\r\n" + good + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                        "400",
		"nonsense\r\n\r\n": "400",
		"POST /consult HTTP/1.1\r\n" + good + "Content-Length: 34603009\r\n\r\n": "413",
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

// The end of an idle connection is noticed while it is idle: a write to it would be a reset.
func TestIdleConnectionCloseIsDetected(t *testing.T) {
	w := start(t, 1)
	w.until("watch", func() bool { return w.discovery.watched() == 1 })
	before := w.descriptors()
	for range 10 {
		require.Equal(t, 200, w.send("rezervare").status)
		w.servers[0].closeConnections()
		w.until("noticed", func() bool { return w.descriptors() <= before })
	}
}

// A connection that the other machine is about to close for its idleness is not used.
func TestIdleConnectionIsClosedBeforeEndpointDoes(t *testing.T) {
	w := start(t, 1, func(w *testbed) {
		w.config["settings"].(object)["bounds"].(object)["connIdle"] = 1000000
	})
	require.Equal(t, 200, w.send("rezervare").status)
	w.until("dropped", func() bool { return w.servers[0].openCount() == 0 })
	require.Equal(t, 200, w.send("rezervare").status)
}

// Idle connections may be forgotten on the way long before the settings say, of which only the
// loss of the next attempt tells: after a few losses they are not used again.
func TestSilentlyDroppedIdleConnections(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.servers[0].idleTimeout = 20 * time.Millisecond })
	lost := 0
	for i := range 60 {
		time.Sleep(2 * w.servers[0].idleTimeout)
		if status := w.send("rezervare").status; status != 200 {
			require.Equal(t, 502, status)
			require.Less(t, i, 40, "learnt by then")
			lost++
		}
	}
	require.Greater(t, lost, 2, "what was seen is all that there is to go by")
}

// The process does not run out of descriptors: listening socket and upstream connections share what there is, and
// A machine that was cut off for a while leaves its connections open and silent: one that gives no answer speaks
// for those that have not been used since.
func TestSilentConnectionsAreClosedTogether(t *testing.T) {
	w := start(t, 1)
	s := w.servers[0]
	together := make(chan bool)
	s.setAnswer(func(st upstreamAttempt) string { <-together; return ok(st) })
	answers := make(chan int, 3)
	for range 3 {
		go func() { answers <- w.send("consult").status }()
	}
	w.until("three connections", func() bool { return len(s.attempts()) == 3 })
	close(together)
	for range 3 {
		require.Equal(t, 200, await(t, answers))
	}
	s.setAnswer(func(st upstreamAttempt) string {
		if st.connNumber <= 3 {
			return silence
		}
		return ok(st)
	})
	require.Equal(t, 503, w.send("consult").status)
	require.Equal(t, 200, w.send("consult").status, "another silent connection was used")
	w.until("the others are given up", func() bool { return s.openCount() == 1 })
}

// every request is still answered.
func TestDescriptorsAreBounded(t *testing.T) {
	const limit = 64
	w := start(t, 1, func(w *testbed) {
		w.config["limits"].(object)["sockets"] = limit
		w.useLongTimeouts()
	})
	w.answerAll(func(upstreamAttempt) string { return silence })
	var wait sync.WaitGroup
	var most, answered atomic.Int32
	for range 2 * limit {
		wait.Go(func() {
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(w.request("rezervare", 1500))
			if err == nil {
				_ = resp.Body.Close()
				answered.Add(1)
			}
			most.Store(max(most.Load(), int32(w.descriptors())))
		})
	}
	wait.Wait()
	require.EqualValues(t, 2*limit, answered.Load())
	require.LessOrEqual(t, int(most.Load()), limit)
	require.Contains(t, w.log.String(), `for="an upstream server"`)
	w.answerAll(ok)
	w.until("serves again", func() bool { return w.send("consult").status == 200 })
}

// Idle clients give way to others: those that ask once and stay, and those that connect and send nothing, also on the
// other socket.
func TestIdleClientsAreClosedForNewOnes(t *testing.T) {
	w := start(t, 1, withGraphQL(), func(w *testbed) { w.config["limits"].(object)["sockets"] = 64 })
	const live = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []struct{ text, addr string }{{live, w.addr}, {"", w.addr}, {live, w.graphQLAddr}, {"", w.graphQLAddr}} {
		text := c.text
		for range 40 {
			c := w.sendRawTo(c.addr, text)
			if text != "" { // else the eager close would find it unread
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

// Clients may ask once and keep their connections, faster than these may stand idle: where they
// take up the descriptors, a close comes with the answer. All others keep theirs.
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

// A client that does not get on is owed an error or a close within 3 s of connecting. On a busy machine that may
// take longer now and then, but not each time.
func TestSlowClientsAreCutOff(t *testing.T) {
	w := start(t, 1)
	head := "POST /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 500\r\n"
	w.until("in time", func() bool {
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

// No request can hide in the body of another, which whoever reads the other length would pass on.
func TestConflictingBodyLengthsAreRejected(t *testing.T) {
	w := start(t, 1)
	const hidden = "GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000ab\r\nX-Time-Left-Ms: 900\r\n\r\n"
	head := "POST /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 900\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+hidden))
	coding := "transfer-encoding: chunked\r\n"
	for _, text := range []string{
		head + length + coding, head + coding + length,
		strings.Replace(head, "/consult", "/health/live", 1) + length + coding,
		head + "Content-Length: 2\r\n\r\n{}" + head + length + coding, // after another, in one go
	} {
		c := w.sendRaw(text + "\r\n0\r\n\r\n" + hidden)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 400")
		require.Equal(t, 1, strings.Count(string(got), "HTTP/1.1"), "and a close")
	}
	require.Zero(t, w.attemptCount())
}

// An error reaches a client whose machine is still sending: a close with unread
// input resets the connection.
func TestErrorReachesAClientThatIsStillSending(t *testing.T) {
	w := start(t, 1)
	good := " /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 00000000000000aa\r\nX-Time-Left-Ms: 900\r\n"
	for head, status := range map[string]string{
		"POST" + good + "Content-Length: 40000000\r\n\r\n": "413",
		"no HTTP at all" + good + "\r\n":                   "400",
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

func (w *testbed) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.process.Process.Pid))
	return len(entries)
}
