package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that reached a booking server whole.
type arrival struct {
	server    string
	id        string
	method    string
	path      string
	firstByte time.Time
	lastByte  time.Time
}

// server is a booking server. By default it answers each request after workTime with a body of its own.
type server struct {
	w       *world
	id      string
	addr    string
	zone    string
	cell    int
	started int64 // Unix ms; 0: long ago
	l       net.Listener

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]struct{}
	work     func(r *http.Request) time.Duration
	answer   func(c net.Conn, r *http.Request, body []byte) (keep bool) // nil: as usual
	stopped  bool
}

func startServer(w *world, id string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("server: %v", err)
	}
	s := &server{w: w, id: id, l: l, addr: l.Addr().String(), zone: "a", conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s
}

func (s *server) entry(state string) object {
	return object{
		"id": s.id, "addr": s.addr, "zone": s.zone, "kind": "fast", "cell": s.cell, "state": state, "weight": 1.0,
		"started_ms": s.started,
	}
}

func (s *server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// firstByteReader notes when the first byte of a request came.
type firstByteReader struct {
	net.Conn
	at time.Time
}

func (r *firstByteReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 && r.at.IsZero() {
		r.at = time.Now()
	}
	return n, err
}

// bodyOf is what the booking server answers to a request: nobody else makes it.
func bodyOf(server, id string) string { return fmt.Sprintf("%s answers %s\n", server, id) }

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	f := &firstByteReader{Conn: c}
	in := bufio.NewReader(f)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				s.w.record.logf("%s: request not whole: %v", s.id, err)
			}
			return
		}
		now := time.Now()
		id := r.Header.Get("X-Correlation-Id")
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{s.id, id, r.Method, r.URL.Path, f.at, now})
		work, answer := s.work, s.answer
		s.mu.Unlock()
		f.at = time.Time{}
		s.w.record.logf("%s: runs %s %s %s, %d bytes", s.id, r.Method, r.URL.Path, id, len(body))
		if answer != nil {
			if !answer(c, r, body) {
				return
			}
			continue
		}
		d := 20 * time.Millisecond
		if work != nil {
			d = work(r)
		}
		time.Sleep(d)
		text := bodyOf(s.id, id)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if err != nil {
			return
		}
	}
}

// all returns the requests that have arrived.
func (s *server) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// kill ends the booking server's process: its connections are reset, new ones are refused.
func (s *server) kill() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// arrivalsByID returns the arrivals at all servers by correlation id.
func (w *world) arrivalsByID() map[string][]arrival {
	all := map[string][]arrival{}
	for _, s := range w.servers {
		for _, a := range s.all() {
			all[a.id] = append(all[a.id], a)
		}
	}
	return all
}
