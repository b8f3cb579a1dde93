package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The trouble: one streamed answer in brokenOneIn is reset after its first piece.
const (
	brokenOneIn   = 10
	begunClients  = 40
	begunPieces   = 4
	begunPiece    = 2000 // bytes
	begunFor      = 20 * time.Second
	begunInterval = 100 * time.Millisecond
)

// begunPlay counts how streamed answers ended at clients.
type begunPlay struct {
	w                                            *world
	whole, cut, nothing, other, broken, ranTwice atomic.Int64

	mu  sync.Mutex
	ran map[string]int
}

// playBegun: booking servers reset connections right after the first piece of streamed answers.
func playBegun(w *world) {
	w.prepare(12, siteClasses)
	for _, category := range w.config["settings"].(object)["categories"].([]object) {
		category["stream"] = true
	}
	p := &begunPlay{w: w, ran: map[string]int{}}
	for _, s := range w.servers {
		s.setHandle(p.give)
	}
	a := w.startAgent("first")
	a.waitReady()
	var clients sync.WaitGroup
	end := time.Now().Add(begunFor)
	for range begunClients {
		clients.Go(func() { p.client(end) })
	}
	clients.Wait()
	w.log("reset after the first piece: %d; ids of bookings that ran twice: %d", p.broken.Load(),
		p.ranTwice.Load())
	w.log("at clients: %d whole, %d cut off, %d closed with no byte, %d other", p.whole.Load(), p.cut.Load(),
		p.nothing.Load(), p.other.Load())
	if p.whole.Load() == 0 {
		w.fail("no answer came whole")
	}
}

// give runs a request, and gives its answer in pieces.
func (p *begunPlay) give(c *serverConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Correlation-Id")
	c.s.ran(r, len(body))
	p.mu.Lock()
	p.ran[id]++
	if p.ran[id] == 2 && r.Method == http.MethodPost {
		p.ranTwice.Add(1)
		p.w.log("booking %s has run twice", id)
	}
	p.mu.Unlock()
	time.Sleep(c.s.work)
	piece := fmt.Sprintf("%x\r\n%s\r\n", begunPiece, strings.Repeat("a", begunPiece))
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+piece); err != nil {
		return false
	}
	if p.w.trouble && rand.IntN(brokenOneIn) == 0 {
		p.broken.Add(1)
		p.w.log("server %s resets %s after the first piece", c.s.id, id)
		c.reset()
		return false
	}
	for range begunPieces - 1 {
		time.Sleep(c.s.work)
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// client sends requests, one at a time, on a connection that it keeps. A request whose connection was closed
// before any byte came, after an earlier answer on it, is sent once more on a new connection.
func (p *begunPlay) client(end time.Time) {
	var c net.Conn
	var in *bufio.Reader
	for time.Now().Before(end) {
		time.Sleep(begunInterval)
		id, class, body, left, length := p.w.nextID(), "lookup", "", 2500*time.Millisecond, -1
		if rand.IntN(2) == 0 {
			class, body, left = "booking", "a chair and a day", time.Second
			length = len(body)
		}
		for again := true; again; {
			again = c != nil
			if c == nil {
				var err error
				if c, err = p.w.connect(); err != nil {
					p.other.Add(1)
					c = nil
					break
				}
				in = bufio.NewReader(c)
			}
			_, _ = io.WriteString(c, p.w.head(id, class, "/x", left, length, "")+body)
			if p.answered(c, in, id, class) {
				break
			}
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// answered reads an answer, and reports whether it was whole.
func (p *begunPlay) answered(c net.Conn, in *bufio.Reader, id, class string) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := in.Peek(1)
	if err != nil {
		p.mu.Lock()
		runs := p.ran[id]
		p.mu.Unlock()
		p.nothing.Add(1)
		if runs > 0 {
			p.w.breaks("%s %s: the connection was closed with no answer, after it had run: %v", class, id, err)
		}
		return false
	}
	status, text, err := readAnswerFrom(in)
	switch {
	case err != nil:
		p.cut.Add(1)
		p.w.log("client: %s cut off after %d bytes", id, len(text))
	case status == http.StatusOK:
		p.whole.Add(1)
	default:
		p.other.Add(1)
		p.w.log("client: %s: %d %s", id, status, short(text))
	}
	return err == nil
}
