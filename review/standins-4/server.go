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

// run is one request that a booking server has received whole, and so has run.
type run struct {
	server, method, target, id, body string
	at                               time.Time
}

// server is a booking server. It runs each request that it receives whole, and answers 200 with a text that
// names the request.
type server struct {
	world *world
	id    string
	l     net.Listener
	work  time.Duration

	mu   sync.Mutex
	runs []run
}

func startServer(w *world, id string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{world: w, id: id, l: l, work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) entry() entry {
	return entry{
		ID: s.id, Addr: s.l.Addr().String(), Zone: "d", Kind: "fast", State: "active", Weight: 1,
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		if id == "" {
			fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, run{s.id, r.Method, r.RequestURI, id, string(body), time.Now()})
		s.mu.Unlock()
		s.world.note("server %s: ran %s %s id %s, body of %d bytes %.60q", s.id, r.Method, r.RequestURI, id,
			len(body), body)
		time.Sleep(s.work)
		text := fmt.Sprintf("%s did %s %s for %s\n", s.id, r.Method, r.RequestURI, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// all returns what the server has run.
func (s *server) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}
