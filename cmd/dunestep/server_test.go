package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/standin"
)

// upstreamAttempt is an attempt as an endpoint received it.
type upstreamAttempt struct {
	*http.Request
	body       string
	connNumber int
	server     string
	receivedAt time.Time
}

func ok(s upstreamAttempt) string {
	return reply("200 OK", s.Header.Get("X-Correlation-Id")+" "+s.server)
}

func reply(status, body string, headers ...string) string {
	head := strings.Join(append(headers, fmt.Sprintf("Content-Length: %d", len(body))), "\r\n")
	return "HTTP/1.1 " + status + "\r\n" + head + "\r\n\r\n" + body
}

const (
	hangUp  = "hang up" // suffix of an answer: close the connection after it
	silence = ""        // send no answer
)

// server is a simulated endpoint. Its answers are written to the connection unchanged.
type server struct {
	id, zone, kind string
	socket         *standin.Server

	mu          sync.Mutex
	answer      func(upstreamAttempt) string
	script      func(upstreamAttempt, net.Conn) bool // used instead of answer if not nil; false: the connection is closed
	received    []upstreamAttempt
	keepsNoBody bool          // the bodies of received attempts are dropped: many long ones would fill the memory
	openConns   int           // currently open
	openedConns int           // since the start
	idleTimeout time.Duration // a request on a connection idle for longer is dropped and the connection closed; zero: no limit
}

// serverConn is a connection to a server.
type serverConn struct {
	number   int
	lastUsed time.Time // when the last answer was sent, or the connection opened
}

func newServer(t testing.TB, id string) *server {
	s := &server{id: id, zone: defaultDeployment.zone, kind: defaultDeployment.kind, answer: ok}
	var err error
	s.socket, err = standin.Listen("127.0.0.1:0", standin.Events{ConnectionOpened: s.connectionOpened, RequestReceived: s.serve, ConnectionEnded: s.connectionEnded})
	require.NoError(t, err)
	t.Cleanup(s.stop)
	return s
}

func (s *server) listEntry(state string) object {
	return object{
		"id": s.id, "addr": s.socket.Addr(), "zone": s.zone, "kind": s.kind, "cell": 1,
		"state": state, "weight": 1.0, "started_ms": 0,
	}
}

func (s *server) setAnswer(answer func(upstreamAttempt) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// setScript makes the server answer by script instead of answer.
func (s *server) setScript(script func(upstreamAttempt, net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

func (s *server) attempts() []upstreamAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstreamAttempt(nil), s.received...)
}

func (s *server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openConns
}

func (s *server) openedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openedConns
}

// closeConnections closes all open connections. The server continues to listen.
func (s *server) closeConnections() { s.socket.CloseConnections() }

func (s *server) stop() {
	s.socket.RefuseConnections()
	s.socket.CloseConnections()
}

func (s *server) connectionOpened(c *standin.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openedConns++
	s.openConns++
	c.Handle = &serverConn{s.openedConns, time.Now()}
}

func (s *server) connectionEnded(*standin.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
}

func (s *server) serve(c *standin.Conn, r *http.Request, body []byte) {
	conn := c.Handle.(*serverConn)
	if s.idleTimeout > 0 && time.Since(conn.lastUsed) > s.idleTimeout {
		c.Close()
		return
	}
	attempt := upstreamAttempt{Request: r, connNumber: conn.number, server: s.id, receivedAt: time.Now()}
	if !s.keepsNoBody {
		attempt.body = string(body)
	}
	s.mu.Lock()
	s.received = append(s.received, attempt)
	answer, script := s.answer, s.script
	s.mu.Unlock()
	defer func() { conn.lastUsed = time.Now() }()
	if script != nil {
		if !script(attempt, c.TCPConn()) {
			c.Close()
		}
		return
	}
	text, cut := strings.CutSuffix(answer(attempt), hangUp)
	_, _ = io.WriteString(c, text)
	if cut {
		c.Close()
	}
}
