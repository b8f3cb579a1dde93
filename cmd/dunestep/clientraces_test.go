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

// These tests produce races between requests, the program's exit and discovery outages deterministically. To hold the
// program in a state, they send a request in parts, delay the endpoint's answer, or wait until the kernel has received
// data.

// rawClient is a client connection to which the test writes bytes directly.
type rawClient struct {
	*net.TCPConn
	testbed *testbed
	in      *bufio.Reader
}

func (w *testbed) newRawClient() *rawClient {
	c := w.sendRaw("").(*net.TCPConn)
	require.NoError(w.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &rawClient{c, w, bufio.NewReader(c)}
}

// send writes a text, and returns once the kernel on the program's side has acknowledged all of it.
func (c *rawClient) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.testbed.t, err)
	c.testbed.waitUntil("data acknowledged", func() bool {
		raw, err := c.SyscallConn()
		if err != nil {
			return false
		}
		unacknowledged := 0
		controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = system.IoctlGetInt(int(fd), system.SIOCOUTQ) })
		return errors.Join(controlErr, err) == nil && unacknowledged == 0
	})
}

// readAnswer reads one complete answer.
func (c *rawClient) readAnswer() answer {
	c.testbed.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(c.testbed.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(c.testbed.t, err)
	if r.Close {
		r.Header.Set("Connection", "close")
	}
	return answer{r.StatusCode, string(body), r.Header}
}

// requireEOF checks that the program closes the connection without further data and without a reset.
func (c *rawClient) requireEOF() {
	c.testbed.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(c.testbed.t, err, io.EOF)
}

// requestText returns a request of a class in wire format, with the time that its client has left.
func (w *testbed) requestText(class string, leftMS int) string {
	method, body := http.MethodGet, ""
	if class == "rezervare" {
		method, body = http.MethodPost, "chair 4, Monday"
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Account: acme\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, class, w.nextID(), leftMS, len(body), body)
}

// terminate sends SIGTERM to the program, and returns once the program has begun to drain.
func (w *testbed) terminate() {
	w.signal(syscall.SIGTERM)
	w.waitUntil("no longer ready", func() bool { return w.readyStatus() == http.StatusServiceUnavailable })
}

// awaitListenerClosed returns once the draining program accepts no further connections.
func (w *testbed) awaitListenerClosed() {
	w.waitUntil("connections are refused", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

func (w *testbed) signal(s os.Signal) { require.NoError(w.t, w.process.Process.Signal(s)) }

// requireExit checks that the program exits with 0 before its drain deadline, without another signal.
func (w *testbed) requireExit() {
	w.t.Helper()
	await(w.t, w.exited)
	require.Zero(w.t, w.process.ProcessState.ExitCode())
	require.NotContains(w.t, w.log.String(), "drain deadline reached")
}

// withLongTimeoutsAndFastExit sets long timeouts, so that requests in progress at SIGTERM do not time out. It removes the race
// detector's delay at exit, in which the program would serve requests for another second.
func withLongTimeoutsAndFastExit(w *testbed) {
	w.useLongTimeouts()
	w.env = append(w.env, "GORACE=atexit_sleep_ms=0")
}

// At SIGTERM, the program has received part of a request, cut at any place. It waits for the rest and answers the request.
func TestSIGTERMDuringPartialRequest(t *testing.T) {
	w := start(t, 1, withLongTimeoutsAndFastExit)
	var clients []*rawClient
	var rests []string
	for _, class := range []string{"consult", "rezervare"} {
		length, head := len(w.requestText(class, 60000)), strings.Index(w.requestText(class, 60000), "\r\n\r\n")
		for _, at := range []int{1, head / 2, head + 2, length - 1} {
			text := w.requestText(class, 60000)
			c := w.newRawClient()
			c.send(text[:at])
			clients, rests = append(clients, c), append(rests, text[at:])
		}
	}
	w.terminate()
	for i, c := range clients {
		c.send(rests[i])
		got := c.readAnswer()
		require.Equal(t, 200, got.status)
		require.Equal(t, "close", got.header.Get("Connection"))
		c.requireEOF()
	}
	w.requireExit()
}

// Pipelined requests on one connection are all answered, and the connection is not closed before the last answer. On one
// connection the first request is at an endpoint at SIGTERM, on the other one the requests arrive after SIGTERM.
func TestSIGTERMDuringPipelinedRequests(t *testing.T) {
	w := start(t, 1, withLongTimeoutsAndFastExit)
	received, release := make(chan struct{}), make(chan struct{})
	w.answerFirst(func(s upstreamAttempt) string { close(received); <-release; return ok(s) }, ok)
	before, after := w.newRawClient(), w.newRawClient()
	before.send(w.requestText("rezervare", 60000))
	await(t, received)
	before.send(w.requestText("consult", 60000) + w.requestText("rezervare", 60000))
	w.terminate()
	after.send(w.requestText("rezervare", 60000) + w.requestText("consult", 60000) + w.requestText("consult", 60000))
	close(release)
	for _, c := range []*rawClient{before, after} {
		for n := range 3 {
			got := c.readAnswer()
			require.Equal(t, 200, got.status)
			require.Equal(t, n == 2, got.header.Get("Connection") == "close")
		}
		c.requireEOF()
	}
	w.requireExit()
}

// A draining program still begins attempts: a retry, if an endpoint rejects an attempt after SIGTERM, and the first
// attempt, if the connection to the endpoint is established after SIGTERM.
func TestSIGTERMBeforeAttempt(t *testing.T) {
	t.Parallel()
	t.Run("retry", func(t *testing.T) {
		w := start(t, 2, withLongTimeoutsAndFastExit)
		received, release := make(chan struct{}), make(chan struct{})
		w.answerFirst(func(upstreamAttempt) string {
			close(received)
			<-release
			return reply("503 Service Unavailable", "", "X-Unprocessed: 1")
		}, ok)
		c := w.newRawClient()
		c.send(w.requestText("rezervare", 60000))
		await(t, received)
		w.terminate()
		w.awaitListenerClosed()
		require.Equal(t, 1, w.attemptCount())
		close(release)
		require.Equal(t, 200, c.readAnswer().status)
		require.Equal(t, 2, w.attemptCount())
		w.requireExit()
	})
	t.Run("connecting", func(t *testing.T) {
		w := start(t, 1, withLongTimeoutsAndFastExit)
		s := w.servers[0]
		require.NoError(t, s.socket.IgnoreConnections())
		w.waitUntil("the accept queue is full", s.socket.IsBacklogFull)
		c := w.newRawClient()
		c.send(w.requestText("rezervare", 60000))
		w.waitUntil("connecting", func() bool { return countConnecting(t, w.process.Process.Pid) > 0 })
		w.terminate()
		require.Zero(t, w.attemptCount())
		require.NoError(t, s.socket.AcceptConnections())
		require.Equal(t, 200, c.readAnswer().status)
		w.requireExit()
	})
}

// During a drain, discovery fails and the program receives SIGHUP and a second SIGTERM. It still answers the requests that
// it has accepted.
func TestSecondSIGTERMDuringDrain(t *testing.T) {
	w := start(t, 1, withLongTimeoutsAndFastExit)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	received, release := make(chan struct{}), make(chan struct{})
	w.answerFirst(func(s upstreamAttempt) string { close(received); <-release; return ok(s) }, ok)
	c := w.newRawClient()
	c.send(w.requestText("rezervare", 60000))
	await(t, received)
	w.discovery.setResponse(503, false)
	w.discovery.endWatches()
	w.terminate()
	w.signal(syscall.SIGHUP)
	w.signal(syscall.SIGTERM)
	later := w.newRawClient() // a client that connects during the drain
	later.send(w.requestText("consult", 60000))
	require.Equal(t, 200, later.readAnswer().status)
	w.awaitListenerClosed()
	close(release)
	require.Equal(t, 200, c.readAnswer().status)
	c.requireEOF()
	w.requireExit()
}

// The program closes idle connections without a reset and exits, although no client closes its side.
func TestSIGTERMWithIdleClients(t *testing.T) {
	w := start(t, 1, withLongTimeoutsAndFastExit)
	var clients []*rawClient
	for range 8 {
		c := w.newRawClient()
		c.send(w.requestText("consult", 60000))
		require.Equal(t, 200, c.readAnswer().status)
		clients = append(clients, c)
	}
	clients = append(clients, w.newRawClient()) // it has sent no request
	w.signal(syscall.SIGTERM)
	for _, c := range clients {
		c.requireEOF()
	}
	w.requireExit() // no client has closed its side
}

// SIGTERM arrives before the program has read its configuration: it starts, drains and exits with 0.
func TestSIGTERMBeforeReady(t *testing.T) {
	w := newTestbed(t, 1)
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.writeConfig()
	text, err := os.ReadFile(w.configPath)
	require.NoError(t, err)
	pipe := filepath.Join(t.TempDir(), "config.pipe")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	w.env = append(w.env, "LB_CONFIG="+pipe)
	w.launch()
	f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the program opens the pipe
	require.NoError(t, err)
	w.signal(syscall.SIGTERM)
	_, err = f.Write(text)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	w.requireExit()
	require.Contains(t, w.log.String(), "draining")
}

// A program that starts while discovery does not respond is ready only if its configuration has an endpoint list. It
// answers every request in either case.
func TestStartWithDiscoveryDown(t *testing.T) {
	t.Parallel()
	for name, known := range map[string]bool{"endpoint list": true, "no endpoint list": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, 1)
			w.discovery.setResponse(0, true) // it accepts calls and sends nothing
			if !known {
				w.config["known"] = object{"version": 0, "full": true, "servers": []object{}}
			}
			w.launch()
			w.waitUntil("listening", func() bool { return w.readyStatus() != 0 })
			ready := w.readyStatus() == http.StatusOK
			require.Equal(t, known, ready)
			c := w.newRawClient()
			began := time.Now()
			c.send(w.requestText("consult", 1000))
			got := c.readAnswer()
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

// While discovery is down, idle clients occupy all descriptors that clients may use. New connections still get health
// checks and requests answered, and the agent still polls discovery.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 64
	w := start(t, 8, func(w *testbed) {
		w.config["limits"].(object)["sockets"] = limit
		w.useLongTimeouts()
	})
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	w.discovery.setResponse(503, false)
	w.discovery.endWatches()
	for range 2 * limit {
		c := w.sendRaw("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
		go func() { _, _ = io.Copy(io.Discard, c) }() // the client does not close it
	}
	for n := range 16 {
		require.Equal(t, 200, w.statusOnNewConn(http.MethodGet, "/health/ready"))
		r := w.request([]string{"consult", "rezervare"}[n%2], 60000)
		r.Header.Set("Cookie", fmt.Sprintf("sid=k%d", n)) // requests go to different endpoints
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
		resp, err := client.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 200, resp.StatusCode)
	}
	require.LessOrEqual(t, w.descriptorCount(), limit)
	before := len(w.discovery.callTargets())
	w.waitUntil("discovery polled again", func() bool { return len(w.discovery.callTargets()) > before })
	w.discovery.setResponse(200, false)
	w.waitUntil("watch again", func() bool { return w.discovery.watchCount() == 1 })
	require.Equal(t, 200, w.statusOnNewConn(http.MethodGet, "/health/ready"))
}

// statusOnNewConn sends a request on a new connection and returns the answer's status.
func (w *testbed) statusOnNewConn(method, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	r, err := http.NewRequest(method, "http://"+w.addr+path, nil)
	require.NoError(w.t, err)
	resp, err := client.Do(r)
	require.NoError(w.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A request arrives a few bytes at a time, and its client has less time left than the agent reserves for returning the
// answer. The agent rejects it without forwarding it and keeps the connection open.
func TestSlowRequestsWithLittleTime(t *testing.T) {
	w := start(t, 1)
	c := w.newRawClient()
	for _, left := range []int{1, 4, 2} {
		text := w.requestText("rezervare", left)
		for len(text) > 0 {
			n := min(len(text), 40)
			c.send(text[:n])
			text = text[n:]
		}
		require.NotEqual(t, 200, c.readAnswer().status)
	}
	require.Zero(t, w.attemptCount())
	c.send(w.requestText("rezervare", 5000))
	require.Equal(t, 200, c.readAnswer().status)
}
