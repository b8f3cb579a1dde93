package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a booking server.
type server struct {
	w       *world
	id      string
	addr    string
	zone    string
	cell    int
	state   string
	started int64
	// handle answers a request that has come whole; it writes the answer. It returns false to end the
	// connection.
	handle func(c *serverConn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	work     time.Duration
}

// serverConn is a connection to a booking server.
type serverConn struct {
	net.Conn
	s *server
}

func (w *world) addServer(id string) *server {
	s := &server{
		w: w, id: id, zone: "a", cell: 1, state: "active", conns: map[net.Conn]bool{}, work: 20 * time.Millisecond,
	}
	s.handle = serve
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.check(err, "booking server")
	s.addr, s.listener = l.Addr().String(), l
	w.servers = append(w.servers, s)
	go s.accept(l)
	return s
}

// serve runs a request and answers 200.
func serve(c *serverConn, r *http.Request, body []byte) bool {
	c.s.ran(r, len(body))
	time.Sleep(c.s.work)
	return c.answer(200, "", "served "+r.Header.Get("X-Correlation-Id")+" by "+c.s.id) == nil
}

func (s *server) ran(r *http.Request, n int) {
	s.w.log("server %s runs %s %s %s, body of %d bytes", s.id, r.Header.Get("X-Correlation-Id"), r.Method,
		r.URL.Path, n)
}

func (c *serverConn) answer(status int, fields, body string) error {
	_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), fields, len(body), body))
	return err
}

// reset resets the connection.
func (c *serverConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(&serverConn{c, s})
	}
}

func (s *server) serveConn(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		handle := s.handle
		s.mu.Unlock()
		if !handle(c, r, body) {
			return
		}
	}
}

// setHandle changes how requests are answered.
func (s *server) setHandle(h func(c *serverConn, r *http.Request, body []byte) bool) {
	s.mu.Lock()
	s.handle = h
	s.mu.Unlock()
}

// close ends the server as the end of its process would.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) entry() object {
	return object{
		"id": s.id, "addr": s.addr, "zone": s.zone, "kind": "fast", "cell": s.cell, "state": s.state,
		"weight": 1.0, "started_ms": s.started,
	}
}
