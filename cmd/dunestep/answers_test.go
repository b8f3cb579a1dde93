package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxBufferedBytes is the largest answer, in bytes, that the agent buffers whole in these tests before it forwards it.
const maxBufferedBytes = 64 << 10

// withLittleMemory configures a machine with 1 MiB of memory for bodies, which is enough for at most ten answers at once.
func withLittleMemory(w *testbed) {
	w.config["limits"].(object)["memory_mb"] = 8
	w.operatorFile = "[answers]\nwhole_kb = 64\nhold_ms = 10000\n"
}

// uniqueBody returns a body of n bytes. Bodies of different ids differ, and no part of a body repeats.
func uniqueBody(n int, id string) string {
	var b strings.Builder
	for sum := sha256.Sum256([]byte(id)); b.Len() < n; sum = sha256.Sum256(sum[:]) {
		fmt.Fprintf(&b, "%x\r\n", sum)
	}
	return b.String()[:n]
}

func correlationID(s upstreamAttempt) string { return s.Header.Get("X-Correlation-Id") }

// framings are the two ways to frame an answer's body: the answer's head, how a part of the body is written, and what
// ends the body.
var framings = map[string]struct {
	head func(length int) string
	part func(string) string
	last string
}{
	"content length": {
		func(n int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n) },
		func(s string) string { return s }, "",
	},
	"chunked": {
		func(int) string { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" },
		func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }, "0\r\n\r\n",
	},
}

// receivedAnswer is an answer as far as the client received it.
type receivedAnswer struct {
	status int
	body   string
	err    error // nil: the answer is complete
}

// requireEqual checks that g equals want. Its message does not print the bodies, which are too long.
func (g receivedAnswer) requireEqual(t testing.TB, want receivedAnswer) {
	t.Helper()
	if !errors.Is(g.err, want.err) || g.status != want.status || g.body != want.body {
		t.Fatalf("got status %d, %d bytes, %v; want status %d, %d bytes, %v, and the same bytes", g.status, len(g.body), g.err,
			want.status, len(want.body), want.err)
	}
}

// requireTruncated checks that an answer was truncated after at least minBytes, that the client can detect this, and that
// all bytes received belong to the answer.
func (g receivedAnswer) requireTruncated(t *testing.T, whole string, minBytes int) {
	t.Helper()
	if !errors.Is(g.err, io.ErrUnexpectedEOF) || g.status != 200 || len(g.body) < minBytes ||
		!strings.HasPrefix(whole, g.body) {
		t.Fatalf("got status %d, %d bytes, %v; want at least %d bytes of this answer, truncated", g.status,
			len(g.body), g.err, minBytes)
	}
}

// sendAndRead sends a request on a connection of its own and reads the answer as far as it arrives.
func (w *testbed) sendAndRead(class string, leftMS int) (id string, g receivedAnswer) {
	r := w.request(class, leftMS)
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return correlationID(upstreamAttempt{Request: r}), receivedAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return correlationID(upstreamAttempt{Request: r}), receivedAnswer{resp.StatusCode, string(body), err}
}

// requireServed checks that the agent serves requests with complete long answers.
func (w *testbed) requireServed(class string) {
	w.t.Helper()
	for _, s := range w.servers {
		s.setScript(nil)
	}
	w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", uniqueBody(400_000, correlationID(s))) })
	for n := 0; n < 3; {
		id, g := w.sendAndRead(class, 30000)
		if g.status == 503 && g.err == nil { // earlier faults have made the balancer reject requests for a while
			time.Sleep(10 * time.Millisecond)
			continue
		}
		g.requireEqual(w.t, receivedAnswer{200, uniqueBody(400_000, id), nil})
		n++
	}
}

// A long answer of a healthy server is not retried at another one because of its length. Sixty such answers
// at once are served although there is 1 MiB of memory for bodies.
func TestLongAnswersAreNotRetried(t *testing.T) {
	w := start(t, 2, (*testbed).useLongTimeouts, withLittleMemory)
	w.answerAll(func(s upstreamAttempt) string {
		f := framings["content length"]
		if s.Method == http.MethodPost {
			f = framings["chunked"]
		}
		return f.head(400_000) + f.part(uniqueBody(400_000, correlationID(s))) + f.last
	})
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id, g := w.sendAndRead([]string{"consult", "rezervare"}[i%2], 60000)
			if g != (receivedAnswer{200, uniqueBody(400_000, id), nil}) {
				t.Errorf("status %d, %d bytes, %v", g.status, len(g.body), g.err)
			}
		})
	}
	wait.Wait()
	require.Equal(t, 60, w.attemptCount())
}

// The server closes the connection within the answer. If the answer has not been forwarded, the class decides whether
// the request is retried. Otherwise the client receives a truncated answer and can detect it.
func TestServerTruncatesAnswer(t *testing.T) {
	t.Parallel()
	const size = 400_000
	for name, f := range framings {
		for _, at := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, size - 1} {
			t.Run(fmt.Sprint(name, " at ", at), func(t *testing.T) {
				w := start(t, 2, withLittleMemory)
				for _, class := range []string{"consult", "rezervare"} {
					before := w.attemptCount()
					w.answerFirst(func(s upstreamAttempt) string {
						return f.head(size) + f.part(uniqueBody(size, correlationID(s))[:at]) + hangUp
					}, ok)
					id, g := w.sendAndRead(class, 900)
					switch {
					case at > maxBufferedBytes:
						g.requireTruncated(t, uniqueBody(size, id)[:at], maxBufferedBytes)
						require.Equal(t, 1, w.attemptCount()-before)
					case class == "consult":
						require.Equal(t, 200, g.status)
						require.Contains(t, g.body, id+" s-")
						require.Equal(t, 2, w.attemptCount()-before)
					default:
						require.Equal(t, 502, g.status)
						require.Equal(t, 1, w.attemptCount()-before)
					}
				}
				w.requireServed("rezervare")
			})
		}
	}
}

// The client disconnects during the answer: the request is not retried and the connection to the server is closed. The
// disconnect does not count as the server's failure, which would eject it.
func TestClientDisconnectsDuringAnswer(t *testing.T) {
	t.Parallel()
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1, (*testbed).useLongTimeouts, withLittleMemory)
			const size = 400_000
			for _, at := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, size - 1} {
				for range 4 {
					before := w.attemptCount()
					written, disconnected := make(chan struct{}), make(chan struct{})
					w.servers[0].setScript(func(s upstreamAttempt, c net.Conn) bool {
						_, _ = io.WriteString(c, f.head(size)+f.part(uniqueBody(size, correlationID(s))[:at]))
						close(written)
						if at <= maxBufferedBytes { // the server completes the answer after the client has disconnected
							<-disconnected
							_, _ = io.WriteString(c, f.part(uniqueBody(size, correlationID(s))[at:])+f.last)
						}
						_, err := c.Read(make([]byte, 1))
						return err == nil
					})
					r := w.request("consult", 30000)
					c := w.sendRaw("GET /consult HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 30000\r\nX-Correlation-Id: " + correlationID(upstreamAttempt{Request: r}) +
						"\r\n\r\n")
					await(t, written)
					if at > maxBufferedBytes { // the answer is being forwarded
						_, err := io.ReadFull(c, make([]byte, maxBufferedBytes))
						require.NoError(t, err)
					}
					require.NoError(t, c.Close())
					close(disconnected)
					w.waitUntil("the server's connection is closed", func() bool { return w.servers[0].openCount() == 0 })
					require.Equal(t, 1, w.attemptCount()-before)
				}
			}
			w.requireServed("rezervare")
			require.NotContains(t, w.log.String(), "server s-0 ejected")
		})
	}
}

// Servers truncate answers and clients disconnect concurrently, on reused connections. A client receives its own answer or
// a prefix of it, and can detect a truncation. Afterwards the agent serves requests as before: it leaks no memory or
// connection.
func TestConcurrentTruncationsAndDisconnects(t *testing.T) {
	w := start(t, 3, withLittleMemory, func(w *testbed) { w.config["limits"].(object)["cores"] = 8 })
	names := []string{"content length", "chunked"}
	for _, s := range w.servers {
		s.setScript(func(s upstreamAttempt, c net.Conn) bool {
			size, f := 1+rand.IntN(300_000), framings[names[rand.IntN(2)]]
			body := uniqueBody(size, correlationID(s))
			text := f.head(size) + f.part(body) + f.last
			keep := true
			switch rand.IntN(6) {
			case 0: // truncated
				text, keep = text[:len(f.head(size))+rand.IntN(size)], false
			case 1: // surplus bytes after the answer
				text += reply("200 OK", "stale")
			case 2: // malformed chunk
				text = framings["chunked"].head(0) + framings["chunked"].part(body) + "zz\r\n"
			}
			_, err := io.WriteString(c, text)
			return keep && err == nil
		})
	}
	var wait sync.WaitGroup
	var complete, truncated, disconnected atomic.Int32
	for range 8 {
		wait.Go(func() {
			for range 60 {
				r := w.request([]string{"consult", "rezervare"}[rand.IntN(2)], 30000)
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					continue // the connection was closed before the answer's head
				}
				var body []byte
				if rand.IntN(4) == 0 {
					body, _ = io.ReadAll(io.LimitReader(resp.Body, int64(rand.IntN(300_000))))
					disconnected.Add(1)
				} else if body, err = io.ReadAll(resp.Body); err == nil && resp.StatusCode == 200 {
					complete.Add(1)
					size, _ := strconv.Atoi(resp.Header.Get("Content-Length"))
					if size > 0 && size != len(body) {
						t.Errorf("got %d of %d bytes and no error", len(body), size)
					}
				} else if err != nil {
					truncated.Add(1)
				}
				_ = resp.Body.Close()
				if resp.StatusCode == 200 && !strings.HasPrefix(uniqueBody(300_000, correlationID(upstreamAttempt{Request: r})), string(body)) {
					t.Error("got bytes of another answer")
				}
			}
		})
	}
	wait.Wait()
	require.Positive(t, complete.Load())
	require.Positive(t, truncated.Load())
	require.Positive(t, disconnected.Load())
	w.requireServed("consult")
}

// An answer begins at about the time at which its attempt is abandoned and another attempt is served. Whichever happens
// first, the client receives exactly one answer, complete or with a truncation that it can detect.
func TestAnswerBeginsAtAttemptTimeout(t *testing.T) {
	const size = 100_000
	w := start(t, 2, withLittleMemory)
	var n atomic.Int32
	inTime, second := 0, 0
	for _, s := range w.servers {
		s.setScript(func(s upstreamAttempt, c net.Conn) bool {
			if n.Add(1)%2 == 0 {
				_, err := io.WriteString(c, ok(s))
				return err == nil
			}
			text := reply("200 OK", uniqueBody(size, correlationID(s)))
			at := len(text) - size + maxBufferedBytes
			_, _ = io.WriteString(c, text[:at])
			time.Sleep(490*time.Millisecond + time.Duration(rand.IntN(20))*time.Millisecond) // the latency objective is 500 ms
			_, err := io.WriteString(c, text[at:])
			return err == nil
		})
	}
	for range 20 {
		switch id, g := w.sendAndRead("consult", 2000); {
		case g == (receivedAnswer{200, uniqueBody(size, id), nil}):
			inTime++
		case g.err == nil && strings.HasPrefix(g.body, id+" s-"):
			second++
		case g.status != 503: // 503: an attempt timed out, and the balancer expects no success from another one
			t.Fatalf("status %d, %d bytes, %v", g.status, len(g.body), g.err)
		}
	}
	t.Logf("%d answers began in time, %d requests were answered by the second attempt", inTime, second)
	w.requireServed("consult")
}

// An answer of a class that the settings mark as streamed is forwarded from its first byte.
func TestStreamedClassIsForwardedFromFirstByte(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts, func(w *testbed) {
		w.config["settings"].(object)["categories"].([]object)[0]["stream"] = true
	})
	for name, f := range framings {
		received := make(chan struct{})
		w.servers[0].setScript(func(s upstreamAttempt, c net.Conn) bool {
			_, _ = io.WriteString(c, f.head(5)+f.part("one"))
			<-received
			_, err := io.WriteString(c, f.part("23")+f.last)
			return err == nil
		})
		resp, err := http.DefaultTransport.RoundTrip(w.request("consult", 30000))
		require.NoError(t, err)
		first := make([]byte, 3)
		_, err = io.ReadFull(resp.Body, first)
		require.NoError(t, err, name)
		close(received)
		rest, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "one23", string(first)+string(rest))
	}
}

// pauseAnswersAt makes the server pause in its answers to rezervare after at bytes of the body. It closes paused at the first
// pause, and continues once the caller closes resume.
func (s *server) pauseAnswersAt(size, at int) (paused, resume chan struct{}) {
	paused, resume = make(chan struct{}), make(chan struct{})
	closePaused := sync.OnceFunc(func() { close(paused) })
	s.setScript(func(s upstreamAttempt, c net.Conn) bool {
		if s.Method == http.MethodGet {
			_, err := io.WriteString(c, ok(s))
			return err == nil
		}
		text := reply("200 OK", uniqueBody(size, correlationID(s)))
		_, _ = io.WriteString(c, text[:len(text)-size+at])
		closePaused()
		<-resume
		_, err := io.WriteString(c, text[len(text)-size+at:])
		return err == nil
	})
	return paused, resume
}

// The server begins to drain, or is removed from the endpoint list, during an answer: the answer is forwarded to its end.
func TestAnswerCompletesWhenEndpointDrainsOrIsRemoved(t *testing.T) {
	const size = 400_000
	w := start(t, 2, (*testbed).useLongTimeouts, withLittleMemory)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	received := make(chan receivedAnswer, 1)
	var id string
	begin := func() {
		go func() {
			var g receivedAnswer
			id, g = w.sendAndRead("rezervare", 30000)
			received <- g
		}()
	}
	for version, change := range []string{
		listJSON(42, false, w.servers[0].listEntry("leaving"), w.servers[1].listEntry("leaving")),
		listJSON(43, false, w.servers[0].listEntry("left"), w.servers[1].listEntry("left"), newServer(t, "s-2").listEntry("active")),
	} {
		paused, resume := w.servers[0].pauseAnswersAt(size, maxBufferedBytes+1)
		w.servers[1].setScript(w.servers[0].script)
		begin()
		await(t, paused)
		w.discovery.sendLine(change)
		w.waitUntil("update applied", func() bool {
			if version == 0 {
				return w.send("consult").status == 503 // no server accepts new requests
			}
			return w.send("consult").status == 200
		})
		close(resume)
		await(t, received).requireEqual(t, receivedAnswer{200, uniqueBody(size, id), nil})
		if version == 0 {
			w.discovery.sendLine(listJSON(42, false, w.servers[0].listEntry("active"), w.servers[1].listEntry("active")))
			w.waitUntil("servers in use again", func() bool {
				for _, s := range w.servers {
					s.setScript(nil)
				}
				return w.send("consult").status == 200
			})
		}
	}
}

// A drain waits for an answer that is being forwarded. An answer that has not ended at the drain deadline is truncated.
func TestDrainWaitsForAnswer(t *testing.T) {
	t.Parallel()
	const size = 400_000
	for name, ends := range map[string]bool{"answer ends": true, "answer does not end": false} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1, (*testbed).useLongTimeouts, withLittleMemory)
			paused, resume := w.servers[0].pauseAnswersAt(size, maxBufferedBytes+1)
			received := make(chan receivedAnswer, 1)
			var id string
			go func() {
				var g receivedAnswer
				id, g = w.sendAndRead("rezervare", 30000)
				received <- g
			}()
			await(t, paused)
			require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
			w.waitUntil("no longer ready", func() bool { return w.readyStatus() == 503 })
			if ends {
				close(resume)
				await(t, received).requireEqual(t, receivedAnswer{200, uniqueBody(size, id), nil})
			} else {
				defer close(resume)
				g := await(t, received)
				g.requireTruncated(t, uniqueBody(size, id)[:maxBufferedBytes+1], maxBufferedBytes)
			}
			require.Zero(t, w.stop())
			require.Equal(t, !ends, strings.Contains(w.log.String(), "drain deadline reached"))
		})
	}
}

// An answer that makes no progress is truncated after the client's deadline, but not before its server has been silent for
// longer than servers hang: one that goes on then is not cut off.
func TestStalledAnswerIsTruncatedAfterDeadline(t *testing.T) {
	const longestHang, longestSilence = 23 * time.Second, 30 * time.Second
	const size = 3_000_000
	t.Parallel()
	for _, received := range []int{0, maxBufferedBytes + 1} { // with nothing but the head, too
		t.Run(fmt.Sprint(received), func(t *testing.T) {
			w := start(t, 1, withLittleMemory, (*testbed).useLongTimeouts)
			_, resume := w.servers[0].pauseAnswersAt(size, received)
			began := time.Now()
			id, g := w.sendAndRead("rezervare", 1000)
			g.requireTruncated(t, uniqueBody(size, id)[:received], max(received-1, 0))
			require.Greater(t, time.Since(began), longestHang)
			require.Less(t, time.Since(began), longestSilence+5*time.Second)
			close(resume)
			w.waitUntil("server connection is closed", func() bool { return w.servers[0].openCount() == 0 })
		})
	}
}

// A short answer that the agent has begun to forward, because the operator file sets whole_kb to less than its length,
// and that then makes no progress is truncated at the client's deadline. Half a second after the
// deadline, the client would no longer receive it.
func TestStalledShortAnswerIsTruncatedAtDeadline(t *testing.T) {
	const size, received = 5000, 3000
	w := start(t, 1, (*testbed).useLongTimeouts, func(w *testbed) { w.operatorFile = "[answers]\nwhole_kb = 1\n" })
	_, resume := w.servers[0].pauseAnswersAt(size, received)
	began := time.Now()
	id, g := w.sendAndRead("rezervare", 500)
	elapsed := time.Since(began)
	close(resume)
	g.requireTruncated(t, uniqueBody(size, id)[:received], received)
	require.Greater(t, elapsed, 400*time.Millisecond)
	require.Less(t, elapsed, 2*time.Second, "an answer whose last byte has a deadline is not waited for after that deadline")
}

// The deadline applies only to the first bytes of a long answer. An answer that makes progress continues after it, and
// one whose beginning arrives in small pieces is forwarded.
func TestSteadyAnswerContinuesPastDeadline(t *testing.T) {
	t.Parallel()
	const size, piece = 300_000, 10_000
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			w := start(t, 1, (*testbed).useLongTimeouts)
			w.servers[0].setScript(func(s upstreamAttempt, c net.Conn) bool {
				text := uniqueBody(size, correlationID(s))
				if _, err := io.WriteString(c, f.head(size)); err != nil {
					return false
				}
				for ; len(text) > 0; text = text[piece:] {
					if _, err := io.WriteString(c, f.part(text[:piece])); err != nil {
						return false
					}
					time.Sleep(100 * time.Millisecond)
				}
				_, err := io.WriteString(c, f.last)
				return err == nil && f.last != hangUp
			})
			id, g := w.sendAndRead("rezervare", 1000) // the answer takes 3 s
			g.requireEqual(t, receivedAnswer{200, uniqueBody(size, id), nil})
		})
	}
}

// chunkedAnswer returns a function that answers with a body of size bytes in chunks of at most 50,000 bytes.
func chunkedAnswer(size int) func(upstreamAttempt) string {
	return func(s upstreamAttempt) string {
		f, text := framings["chunked"], uniqueBody(size, correlationID(s))
		var b strings.Builder
		b.WriteString(f.head(0))
		for len(text) > 0 {
			n := min(len(text), 50_000)
			b.WriteString(f.part(text[:n]))
			text = text[n:]
		}
		return b.String() + f.last
	}
}

// A chunked answer is truncated once it exceeds the maximum length.
func TestChunkedAnswerExceedsMaxLength(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts, withLittleMemory, func(w *testbed) { w.operatorFile += "longest_kb = 4096\n" })
	w.answerAll(chunkedAnswer(4<<20 + 1))
	id, g := w.sendAndRead("rezervare", 30000)
	g.requireTruncated(t, uniqueBody(4<<20, id), maxBufferedBytes)
	w.waitUntil("server connection is closed", func() bool { return w.servers[0].openCount() == 0 })
	require.Equal(t, 1, w.attemptCount())
}

// The operator file sets the maximum length of an answer, also by a reload. A file that cannot be used changes nothing.
func TestMaxAnswerLengthReload(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts, withLittleMemory)
	w.answerAll(chunkedAnswer(4 << 20))
	id, g := w.sendAndRead("rezervare", 30000)
	g.requireEqual(t, receivedAnswer{200, uniqueBody(4<<20, id), nil})
	reload := func(operator, log string) {
		w.operatorFile = operator
		w.writeConfig()
		before := strings.Count(w.log.String(), log)
		require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
		w.waitUntil(log, func() bool { return strings.Count(w.log.String(), log) > before })
	}
	w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", uniqueBody(64<<10+1, correlationID(s))) })
	reload("[answers]\nlongest_kb = 64\nstall = 1\nlag_ms = -1\n", "toml:4:1: answers.lag_ms: must be")
	require.Contains(t, w.log.String(), "toml:3:1: answers.stall: unknown key")
	_, g = w.sendAndRead("rezervare", 30000)
	require.Equal(t, 200, g.status)
	reload("[answers]\nlongest_kb = 64\n", "configuration applied")
	_, g = w.sendAndRead("rezervare", 30000)
	require.Equal(t, 502, g.status, "an answer whose Content-Length exceeds the maximum is rejected")
}

// readSlowly sends a request and reads one byte of the answer each second until stop is closed.
func (w *testbed) readSlowly(r *http.Request, stop <-chan struct{}) {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = r.Write(c)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			_, _ = c.Read(make([]byte, 1))
		}
	}
}

// A hundred clients that read one byte a second occupy neither the server's connections nor the memory indefinitely: all
// of them are disconnected, and another client is served meanwhile.
func TestSlowReadersAreDisconnected(t *testing.T) {
	const size = 1_000_000
	w := start(t, 1, (*testbed).useLongTimeouts, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = 32
		w.operatorFile = "[answers]\nstall_ms = 1000\nlag_ms = 200\n"
	})
	var openAnswers atomic.Int32
	w.servers[0].setScript(func(s upstreamAttempt, c net.Conn) bool {
		if s.Method == http.MethodPost {
			_, err := io.WriteString(c, reply("200 OK", uniqueBody(400_000, correlationID(s))))
			return err == nil
		}
		openAnswers.Add(1)
		defer openAnswers.Add(-1)
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		_, err := io.WriteString(c, reply("200 OK", uniqueBody(size, correlationID(s))))
		return err == nil
	})
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	before := w.descriptorCount()
	stop := make(chan struct{})
	defer close(stop)
	for range 100 {
		go w.readSlowly(w.request("consult", 60000), stop)
	}
	w.waitUntil("slow clients are being answered", func() bool { return openAnswers.Load() > 10 })
	for range 5 {
		id, g := w.sendAndRead("rezervare", 60000)
		g.requireEqual(t, receivedAnswer{200, uniqueBody(400_000, id), nil})
	}
	w.waitUntil("the server has no such answer open", func() bool { return openAnswers.Load() == 0 })
	w.waitUntil("slow clients are disconnected", func() bool { return w.descriptorCount() < before+20 })
	require.NotContains(t, w.log.String(), "server s-0 ejected")
}

// The agent reads an answer from the server no faster than the client reads it and memory allows. It continues when the
// client reads on.
func TestBackpressureOnServer(t *testing.T) {
	const size = 4_000_000
	w := start(t, 1, (*testbed).useLongTimeouts, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = 8
		w.operatorFile = "[answers]\nstall_ms = 60000\nlag_ms = 60000\n"
	})
	var written atomic.Int64
	w.servers[0].setScript(func(s upstreamAttempt, c net.Conn) bool {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for text := reply("200 OK", uniqueBody(size, correlationID(s))); len(text) > 0; {
			n, err := io.WriteString(c, text[:min(len(text), 10_000)])
			if err != nil {
				return false
			}
			written.Add(int64(n))
			text = text[n:]
		}
		return true
	})
	r := w.request("consult", 60000)
	c, err := net.Dial("tcp", w.addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(16<<10))
	require.NoError(t, r.Write(c))
	w.waitUntil("server cannot send more", func() bool {
		before := written.Load()
		time.Sleep(200 * time.Millisecond)
		return before > 0 && written.Load() == before
	})
	require.Less(t, written.Load(), int64(size/2))
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(1<<20))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, uniqueBody(size, correlationID(upstreamAttempt{Request: r})), string(body))
}

// memoryKiB returns the program's peak and current resident memory in KiB.
func (w *testbed) memoryKiB() (peak, now int) {
	return w.processStatusKB("VmHWM"), w.processStatusKB("VmRSS")
}

// processStatusKB returns the value of a line of /proc/PID/status, in kB. It returns 0 once the process has ended.
func (w *testbed) processStatusKB(name string) (kB int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.process.Process.Pid))
	if m := regexp.MustCompile(name + `:\s+(\d+) kB`).FindSubmatch(raw); m != nil {
		kB, _ = strconv.Atoi(string(m[1]))
	}
	return kB
}

// Many long answers at once stay within the memory limit, and memory does not grow over time. The program is built
// without the race detector, which takes several times as much memory.
func TestMemoryOfLongAnswers(t *testing.T) {
	w := newSerialTestbed(t, 3).start(usePlainBinary, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = 32
		w.config["limits"].(object)["sockets"] = 256
		w.operatorFile = "[answers]\nstall_ms = 60000\nlag_ms = 60000\n" // no client is disconnected for reading late
	})
	texts := make([]string, 16) // prepared in advance, so that the program has the processors
	for i := range texts {
		texts[i] = uniqueBody(400_000, strconv.Itoa(i))
	}
	w.answerAll(func(s upstreamAttempt) string {
		id, _ := strconv.ParseUint(correlationID(s), 16, 64)
		return reply("200 OK", texts[id%16])
	})
	began := time.Now()
	var sent, served, rejected atomic.Int64
	round := func(answers int64) {
		var wait sync.WaitGroup
		goal := served.Load() + answers
		for range 200 {
			wait.Go(func() {
				client := http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for served.Load() < goal {
					r := w.request("consult", 60000)
					sent.Add(1)
					resp, err := client.Do(r)
					if err != nil { // the program closed the idle connection as the request was sent
						continue
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					id, _ := strconv.ParseUint(correlationID(upstreamAttempt{Request: r}), 16, 64)
					switch {
					case err != nil:
						t.Error(err)
						return
					case resp.StatusCode == 503 || resp.StatusCode == 429: // no descriptor was free for a connection to a server
						rejected.Add(1)
						after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
						time.Sleep(time.Duration(after * float64(time.Second)))
					case string(body) != texts[id%16]:
						t.Errorf("status %d, %d bytes", resp.StatusCode, len(body))
						return
					default:
						served.Add(1)
					}
				}
			})
		}
		wait.Wait()
	}
	answers := int64(1500)
	if os.Getenv("LONG_TESTS") != "" {
		answers = 10_000
	}
	round(1000)
	_, before := w.memoryKiB()
	round(answers - 1000)
	peak, after := w.memoryKiB()
	t.Logf("sent %d, served %d, rejected %d; peak %d KiB, %d KiB after 1000, %d KiB at the end, after %s", sent.Load(),
		served.Load(), rejected.Load(), peak, before, after, time.Since(began))
	require.Less(t, peak, 29<<10) // 26.5 to 27.2 MB with the fleet's packages linked, 24.3 to 24.9 MB without; 32 MB is the smallest limit
	require.Less(t, after, before+2<<10)
}

// Clients that read long answers slowly leave memory to new requests. Otherwise a few of them could hold all of it, and
// other requests would time out.
func TestSlowReadersLeaveMemoryToOthers(t *testing.T) {
	w := start(t, 2, (*testbed).useLongTimeouts, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = 32
		w.operatorFile = "[answers]\nstall_ms = 60000\nlag_ms = 60000\n"
	})
	for _, s := range w.servers {
		s.setAnswer(func(s upstreamAttempt) string { return reply("200 OK", uniqueBody(3_000_000, correlationID(s))) })
	}
	stop := make(chan struct{})
	defer close(stop)
	for range 24 {
		go w.readSlowly(w.request("consult", 60000), stop)
	}
	w.waitUntil("slow clients' requests have reached the servers", func() bool { return w.attemptCount() == 24 })
	for _, s := range w.servers {
		s.setAnswer(func(s upstreamAttempt) string { return reply("200 OK", uniqueBody(200_000, correlationID(s))) })
	}
	for range 5 {
		id, g := w.sendAndRead("rezervare", 5000)
		g.requireEqual(t, receivedAnswer{200, uniqueBody(200_000, id), nil})
	}
}
