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

// step is an attempt as an endpoint got it.
type step struct {
	*http.Request
	body   string
	conn   int
	server string
	came   time.Time
}

func ok(s step) string { return reply("200 OK", s.Header.Get("X-Correlation-Id")+" "+s.server) }

func reply(status, body string, headers ...string) string {
	head := strings.Join(append(headers, fmt.Sprintf("Content-Length: %d", len(body))), "\r\n")
	return "HTTP/1.1 " + status + "\r\n" + head + "\r\n\r\n" + body
}

const (
	hangUp  = "hang up" // close the connection
	silence = ""        // answer nothing
)

// server is an endpoint on a stand-in's socket. What it answers is written as it is.
type server struct {
	id, zone, kind string
	socket         *standin.Server

	mu      sync.Mutex
	answer  func(step) string
	script  func(step, net.Conn) bool // in place of answer; false: the connection is closed
	got     []step
	conns   int           // open
	opened  int           // so far
	forgets time.Duration // idle connections after so long, and tells nobody; zero: never
}

// serverConn is a connection to a server.
type serverConn struct {
	n        int
	answered time.Time // or opened
}

func newServer(t testing.TB, id string) *server {
	s := &server{id: id, zone: usual.zone, kind: usual.kind, answer: ok}
	var err error
	s.socket, err = standin.Listen("127.0.0.1:0", standin.Events{Opened: s.accept, Came: s.serve, Ended: s.lose})
	require.NoError(t, err)
	t.Cleanup(s.stop)
	return s
}

func (s *server) entry(state string) object {
	return object{
		"id": s.id, "addr": s.socket.Addr(), "zone": s.zone, "kind": s.kind, "cell": 1,
		"state": state, "weight": 1.0, "started_ms": 0,
	}
}

func (s *server) set(answer func(step) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// perform has the server answer by a script.
func (s *server) perform(script func(step, net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

func (s *server) steps() []step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]step(nil), s.got...)
}

func (s *server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// hangUpAll closes what is open and goes on listening.
func (s *server) hangUpAll() { s.socket.HangUp() }

func (s *server) stop() {
	s.socket.Refuse()
	s.socket.HangUp()
}

func (s *server) accept(c *standin.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	s.conns++
	c.Handle = &serverConn{s.opened, time.Now()}
}

func (s *server) lose(*standin.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

func (s *server) serve(c *standin.Conn, r *http.Request, body []byte) {
	conn := c.Handle.(*serverConn)
	if s.forgets > 0 && time.Since(conn.answered) > s.forgets {
		c.Close()
		return
	}
	st := step{r, string(body), conn.n, s.id, time.Now()}
	s.mu.Lock()
	s.got = append(s.got, st)
	answer, script := s.answer, s.script
	s.mu.Unlock()
	defer func() { conn.answered = time.Now() }()
	if script != nil {
		if !script(st, c.Socket()) {
			c.Close()
		}
		return
	}
	text, cut := strings.CutSuffix(answer(st), hangUp)
	_, _ = io.WriteString(c, text)
	if cut {
		c.Close()
	}
}
