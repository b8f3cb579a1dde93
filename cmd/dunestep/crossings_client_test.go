package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	system "golang.org/x/sys/unix"
)

// The tests here force what can cross on the clients' side of the program and at its end. What it is held at is a
// request that comes in parts, an answer that the endpoint holds, or what the program's machine has of either.

// rawClient is a client's connection whose bytes are written as they are.
type rawClient struct {
	*net.TCPConn
	w  *testbed
	in *bufio.Reader
}

func (w *testbed) rawClient() *rawClient {
	c := w.sendRaw("").(*net.TCPConn)
	require.NoError(w.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &rawClient{c, w, bufio.NewReader(c)}
}

// send writes a text, and returns once the program's machine has it.
func (c *rawClient) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.w.t, err)
	c.w.until("it arrives", func() bool {
		raw, err := c.SyscallConn()
		if err != nil {
			return false
		}
		left := 0
		inner := raw.Control(func(fd uintptr) { left, err = system.IoctlGetInt(int(fd), system.SIOCOUTQ) })
		return errors.Join(inner, err) == nil && left == 0
	})
}

// answer reads a whole answer.
func (c *rawClient) answer() answer {
	c.w.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.w.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.w.t, err)
	if r.Close {
		r.Header.Set("Connection", "close")
	}
	return answer{r.StatusCode, string(body), r.Header}
}

// ends reads the connection's end, which has to be one in good order.
func (c *rawClient) ends() {
	c.w.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.w.t, err, io.EOF)
}

// text is a request as it goes over the wire, with the time that its client has left.
func (w *testbed) text(class string, leftMS int) string {
	method, body := http.MethodGet, ""
	if class == "rezervare" {
		method, body = http.MethodPost, "chair 4, Monday"
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, class, w.nextID(), leftMS, len(body), body)
}

// terminate tells the program to end, and returns once it has begun to.
func (w *testbed) terminate() {
	w.signal(syscall.SIGTERM)
	w.until("no longer ready", func() bool { return w.readyStatus() == http.StatusServiceUnavailable })
}

// deaf returns once the program, which is ending, takes no further connection.
func (w *testbed) deaf() {
	w.until("takes no connection", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

func (w *testbed) signal(s os.Signal) { require.NoError(w.t, w.process.Process.Signal(s)) }

// ended waits for the program's end, which has to come by itself.
func (w *testbed) ended() {
	w.t.Helper()
	await(w.t, w.exited)
	require.Zero(w.t, w.process.ProcessState.ExitCode())
	require.NotContains(w.t, w.log.String(), "drain deadline reached")
}

// whole is a deployment in which what is out as the program is told to end may take its time. The program ends at
// once when it does: with the race detector it would go on serving for a second.
func whole(w *testbed) {
	w.useLongTimeouts()
	w.env = append(w.env, "GORACE=atexit_sleep_ms=0")
}

// SIGTERM meets a request of which a part has come, at any place: the rest is waited for, and it is answered.
func TestTerminatedDuringARequest(t *testing.T) {
	w := start(t, 1, whole)
	var clients []*rawClient
	var rests []string
	for _, class := range []string{"consult", "rezervare"} {
		text := w.text(class, 60000)
		head := strings.Index(text, "\r\n\r\n")
		for _, at := range []int{1, head / 2, head + 2, len(text) - 1} {
			c := w.rawClient()
			c.send(text[:at])
			clients, rests = append(clients, c), append(rests, text[at:])
		}
	}
	w.terminate()
	for i, c := range clients {
		c.send(rests[i])
		got := c.answer()
		require.Equal(t, 200, got.status)
		require.Equal(t, "close", got.header.Get("Connection"))
		c.ends()
	}
	w.ended()
}

// SIGTERM meets requests that were sent at once on one connection, as the first is out, and as nothing of them has come:
// each is answered, and no close comes before the last answer.
func TestTerminatedDuringPipelinedRequests(t *testing.T) {
	w := start(t, 1, whole)
	in, out := make(chan struct{}), make(chan struct{})
	w.answerFirst(func(s upstreamAttempt) string { close(in); <-out; return ok(s) }, ok)
	before, after := w.rawClient(), w.rawClient()
	before.send(w.text("rezervare", 60000))
	await(t, in)
	before.send(w.text("consult", 60000) + w.text("rezervare", 60000))
	w.terminate()
	after.send(w.text("rezervare", 60000) + w.text("consult", 60000) + w.text("consult", 60000))
	close(out)
	for _, c := range []*rawClient{before, after} {
		for n := range 3 {
			got := c.answer()
			require.Equal(t, 200, got.status)
			require.Equal(t, n == 2, got.header.Get("Connection") == "close")
		}
		c.ends()
	}
	w.ended()
}

// SIGTERM meets a request whose attempt is rejected after that, so that a further attempt begins in a program that is
// ending; and one whose connection to an endpoint comes up after that.
func TestTerminatedBeforeAnAttempt(t *testing.T) {
	t.Parallel()
	t.Run("further attempt", func(t *testing.T) {
		w := start(t, 2, whole)
		in, out := make(chan struct{}), make(chan struct{})
		w.answerFirst(func(upstreamAttempt) string {
			close(in)
			<-out
			return reply("503 Service Unavailable", "", "X-Unprocessed: 1")
		}, ok)
		c := w.rawClient()
		c.send(w.text("rezervare", 60000))
		await(t, in)
		w.terminate()
		w.deaf()
		require.Equal(t, 1, w.attemptCount())
		close(out)
		require.Equal(t, 200, c.answer().status)
		require.Equal(t, 2, w.attemptCount())
		w.ended()
	})
	t.Run("connecting", func(t *testing.T) {
		w := start(t, 1, whole)
		s := w.servers[0]
		require.NoError(t, s.socket.Mute())
		w.until("muted", s.socket.Full)
		c := w.rawClient()
		c.send(w.text("rezervare", 60000))
		w.until("connecting", func() bool { return countConnecting(t, w.process.Process.Pid) > 0 })
		w.terminate()
		require.Zero(t, w.attemptCount())
		require.NoError(t, s.socket.Accept())
		require.Equal(t, 200, c.answer().status)
		w.ended()
	})
}

// A second SIGTERM, SIGHUP and discovery's end meet the end of the program: what was taken is answered all the same.
func TestTerminatedTwice(t *testing.T) {
	w := start(t, 1, whole)
	w.until("watched", func() bool { return w.discovery.watched() == 1 })
	in, out := make(chan struct{}), make(chan struct{})
	w.answerFirst(func(s upstreamAttempt) string { close(in); <-out; return ok(s) }, ok)
	c := w.rawClient()
	c.send(w.text("rezervare", 60000))
	await(t, in)
	w.discovery.set(503, false)
	w.discovery.end()
	w.terminate()
	w.signal(syscall.SIGHUP)
	w.signal(syscall.SIGTERM)
	later := w.rawClient() // a new client, too
	later.send(w.text("consult", 60000))
	require.Equal(t, 200, later.answer().status)
	w.deaf()
	close(out)
	require.Equal(t, 200, c.answer().status)
	c.ends()
	w.ended()
}

// Clients that rest until the program ends their connections see an end in good order, also one that never ends it
// itself, and the program ends.
func TestTerminatedWithClientsAtRest(t *testing.T) {
	w := start(t, 1, whole)
	var clients []*rawClient
	for range 8 {
		c := w.rawClient()
		c.send(w.text("consult", 60000))
		require.Equal(t, 200, c.answer().status)
		clients = append(clients, c)
	}
	clients = append(clients, w.rawClient()) // it has never asked
	w.signal(syscall.SIGTERM)
	for _, c := range clients {
		c.ends()
	}
	w.ended() // none of them is closed on this side
}

// SIGTERM comes before the program has read its configuration: it starts, and ends at once in good order.
func TestTerminatedBeforeItIsReady(t *testing.T) {
	w := newTestbed(t, 1)
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.configure()
	text, err := os.ReadFile(w.configPath)
	require.NoError(t, err)
	pipe := filepath.Join(t.TempDir(), "config.pipe")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	w.env = append(w.env, "LB_CONFIG="+pipe)
	w.launch()
	f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program reads it
	require.NoError(t, err)
	w.signal(syscall.SIGTERM)
	_, err = f.Write(text)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	w.ended()
	require.Contains(t, w.log.String(), "draining")
}

// A program that is started while discovery is down, with a list and with none, is ready or is not, and leaves no
// request unanswered.
func TestStartedWithDiscoveryDown(t *testing.T) {
	t.Parallel()
	for name, known := range map[string]bool{"a list": true, "no list": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, 1)
			w.discovery.set(0, true) // it takes calls, and says nothing
			if !known {
				w.config["known"] = object{"version": 0, "full": true, "servers": []object{}}
			}
			w.launch()
			w.until("serves", func() bool { return w.readyStatus() != 0 })
			ready := w.readyStatus() == http.StatusOK
			require.Equal(t, known, ready)
			c := w.rawClient()
			began := time.Now()
			c.send(w.text("consult", 1000))
			got := c.answer()
			if known {
				require.Equal(t, 200, got.status)
			} else {
				require.Equal(t, 503, got.status)
				require.Less(t, time.Since(began), 1500*time.Millisecond)
			}
			require.Zero(t, w.stop())
		})
	}
}

// Idle clients take all descriptors that clients may have while discovery is down: the health door opens to new
// connections, requests reach their endpoints over new connections, and discovery is asked again.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 64
	w := start(t, 8, func(w *testbed) {
		w.config["limits"].(object)["sockets"] = limit
		w.useLongTimeouts()
	})
	w.until("watched", func() bool { return w.discovery.watched() == 1 })
	w.discovery.set(503, false)
	w.discovery.end()
	for range 2 * limit {
		c := w.sendRaw("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
		go func() { _, _ = io.Copy(io.Discard, c) }() // it stays open on this side
	}
	for n := range 16 {
		require.Equal(t, 200, w.alone(http.MethodGet, "/health/ready"))
		r := w.request([]string{"consult", "rezervare"}[n%2], 60000)
		r.Header.Set("Cookie", fmt.Sprintf("sid=k%d", n)) // to any of the endpoints
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
		resp, err := client.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 200, resp.StatusCode)
	}
	require.LessOrEqual(t, w.descriptors(), limit)
	before := len(w.discovery.called())
	w.until("it goes on asking", func() bool { return len(w.discovery.called()) > before })
	w.discovery.set(200, false)
	w.until("watched again", func() bool { return w.discovery.watched() == 1 })
	require.Equal(t, 200, w.alone(http.MethodGet, "/health/ready"))
}

// alone asks on a connection of its own.
func (w *testbed) alone(method, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	r, err := http.NewRequest(method, "http://"+w.addr+path, nil)
	require.NoError(w.t, err)
	resp, err := client.Do(r)
	require.NoError(w.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A request comes a few bytes at a time from a client whose time is shorter than what is taken off for the answer's way:
// it is answered, on a connection that stays, and nothing of it is forwarded.
func TestSlowRequestsWithLittleTime(t *testing.T) {
	w := start(t, 1)
	c := w.rawClient()
	for _, left := range []int{1, 4, 2} {
		text := w.text("rezervare", left)
		for len(text) > 0 {
			n := min(len(text), 40)
			c.send(text[:n])
			text = text[n:]
		}
		require.NotEqual(t, 200, c.answer().status)
	}
	require.Zero(t, w.attemptCount())
	c.send(w.text("rezervare", 5000))
	require.Equal(t, 200, c.answer().status)
}
