package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// oneWay is the time through the network, in one direction.
	oneWay = time.Millisecond
	// secondEvery is of how many answers one comes a second time.
	secondEvery = 10
	// fullEvery is of how many requests a server turns one away; it comes a second time like any other answer.
	fullEvery = 20
)

// secondServer is a server behind a network. A share of its answers comes a second time, some milliseconds
// late, if nothing else waits on the connection then.
type secondServer struct {
	id      string
	rec     *record
	lateMS  int // zero: 4, 6, 8, 10 and 12 in turn
	trouble bool
	full    bool // it turns away one request in twenty, as a server whose queue is full
	runs    *runs
	mu      sync.Mutex
	count   int
}

// runs counts how often requests have run.
type runs struct {
	mu    sync.Mutex
	count map[string]int // of requests that must never run twice, by id
}

func (r *runs) add(id, method string) {
	if method != http.MethodPost {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

// twice returns how many requests have run more than once.
func (r *runs) twice(rec *record) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, count := range r.count {
		if count > 1 {
			rec.line("TWICE    %s has run %d times", id, count)
			n++
		}
	}
	return n
}

// piece is a part of what a connection carries, and when it is through the network.
type piece struct {
	data []byte
	at   time.Time
}

func (s *secondServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in, out := make(chan piece, 64), make(chan piece, 64)
	go func() {
		defer close(in)
		for {
			buffer := make([]byte, 32<<10)
			n, err := conn.Read(buffer)
			if n > 0 {
				in <- piece{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(out)
	go func() {
		for p := range out {
			time.Sleep(time.Until(p.at))
			_, _ = conn.Write(p.data)
		}
	}()
	var waiting []byte
	for {
		request, rest := splitRequest(waiting)
		if request == nil {
			p, open := <-in
			if !open {
				return
			}
			time.Sleep(time.Until(p.at))
			waiting = append(waiting, p.data...)
			continue
		}
		waiting = rest
		answer, late := s.answer(request)
		out <- piece{answer, time.Now().Add(oneWay)}
		if late == 0 || len(waiting) > 0 {
			continue
		}
		answered := time.Now()
		due := answered.Add(late)
		timer := time.NewTimer(late)
		select {
		case p, open := <-in:
			if !open {
				return
			}
			if p.at.After(due) { // it is not here yet when the second answer is written
				time.Sleep(time.Until(due))
				s.recordSecond(answer, answered)
				out <- piece{answer, time.Now().Add(oneWay)}
			}
			time.Sleep(time.Until(p.at))
			waiting = append(waiting, p.data...)
		case <-timer.C:
			s.recordSecond(answer, answered)
			out <- piece{answer, time.Now().Add(oneWay)}
		}
		timer.Stop()
	}
}

// splitRequest returns the first whole request, or nil.
func splitRequest(b []byte) (request *http.Request, rest []byte) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, b
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil || len(b) < end+4+int(max(request.ContentLength, 0)) {
		return nil, b
	}
	return request, b[end+4+int(max(request.ContentLength, 0)):]
}

// answer runs a request. late is how late the same answer comes again; zero: it does not.
func (s *secondServer) answer(r *http.Request) (answer []byte, late time.Duration) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.count++
	if s.trouble && s.count%secondEvery == 0 {
		ms := s.lateMS
		if ms == 0 {
			ms = 4 + 2*(s.count/secondEvery%5)
		}
		late = time.Duration(ms) * time.Millisecond
	}
	turn := s.count
	s.mu.Unlock()
	if s.full && turn%fullEvery == secondEvery {
		s.rec.line("full     %s at %s", id, s.id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), late
	}
	s.runs.add(id, r.Method)
	s.rec.line("run      %s at %s", id, s.id)
	time.Sleep(20 * time.Millisecond)
	text := id + " by " + s.id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text), late
}

// recordSecond records that an answer is written once more.
func (s *secondServer) recordSecond(answer []byte, answered time.Time) {
	_, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	s.rec.line("second   the same answer again, %v late: %s", time.Since(answered), body)
}

// playSecond lets servers answer a second time, some milliseconds late.
func playSecond(w *world) int {
	usual := startClients(w, 24)
	time.Sleep(30 * time.Second)
	count := usual.end()
	for o, n := range count {
		w.rec.line("requests of usual clients %s: %d", outcomeNames[o], n)
	}
	twice := w.runs.twice(w.rec)
	w.rec.line("requests that must never run twice, and have: %d", twice)
	switch {
	case w.hasExited() || count[answered] < 100:
		return notRun
	case count[foreign] > 0, twice > 0:
		return ruleBroken
	}
	return ruleHeld
}
