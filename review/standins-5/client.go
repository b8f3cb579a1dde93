package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// lateBy is how long after its time a final answer only earns nothing: half a second, and 50 ms as each
	// time limit is longer on sockets.
	lateBy = 550 * time.Millisecond
	// watchFor is how long a client that waits in vain stays, to record what comes.
	watchFor = 10 * time.Second
)

// outcome is how a request ended for its client.
type outcome uint8

const (
	answered   outcome = iota // a whole answer in time
	late                      // a whole answer after the client's time, at most lateBy later
	lost                      // no whole answer until then
	shutUnread                // a new connection was refused, or closed with no byte
	cutOff                    // the connection broke after a part of the answer, or by the end of the agent
	foreign                   // served with another request's answer
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "late", "LOST", "shut unread", "cut off", "FOREIGN"}

// clients are the usual clients: each sends one request at a time, half of them on a connection that they
// keep.
type clients struct {
	w     *world
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	count [outcomes]int
}

// startClients starts a number of usual clients.
func startClients(w *world, n int) *clients {
	c := &clients{w: w, stop: make(chan struct{})}
	for i := range n {
		c.group.Go(func() { c.run(i) })
	}
	return c
}

// end lets each client finish its request.
func (c *clients) end() (count [outcomes]int) {
	close(c.stop)
	c.group.Wait()
	return c.count
}

func (c *clients) run(number int) {
	var conn *clientConn
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			conn.close()
			return
		case <-time.After(time.Duration(c.w.pauseMS+rand.IntN(3*c.w.pauseMS+1)) * time.Millisecond):
		}
		if c.w.hasExited() {
			conn.close()
			return
		}
		conn = c.request(number, n, conn)
		if number%2 == 1 { // half of the clients open a new connection for each request
			conn.close()
			conn = nil
		}
	}
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *clientConn) close() {
	if c != nil {
		_ = c.Close()
	}
}

// request sends one request and waits for its answer. It returns the connection for the next one, if that
// stays open.
func (c *clients) request(number, n int, conn *clientConn) (next *clientConn) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	head, timeLeft := "GET /"+c.w.safe, safeDeadline
	if (number+n)%4 == 0 { // about the share of the unsafe class
		head, timeLeft = "POST /"+c.w.unsafe, unsafeDeadline
	}
	head += fmt.Sprintf("/x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Account: t1\r\n"+
		"Cookie: sid=k%d\r\nX-Time-Left-Ms: %d\r\n", id, rand.IntN(400), timeLeft.Milliseconds())
	if timeLeft == unsafeDeadline {
		head += "Content-Length: 2\r\n\r\nok"
	} else {
		head += "\r\n"
	}
	var sent time.Time
	for first := true; ; first = false {
		isNew := conn == nil
		if isNew {
			opened, err := net.DialTimeout("tcp", c.w.listen, timeLeft)
			if err != nil {
				c.record(id, shutUnread, 0, err.Error())
				return nil
			}
			conn = &clientConn{opened, bufio.NewReader(opened)}
		}
		_ = conn.SetDeadline(time.Now().Add(watchFor))
		if _, err := conn.Write([]byte(head)); err == nil && sent.IsZero() {
			sent = time.Now()
		}
		status, body, keep, err := readAnswer(conn.reader)
		waited := time.Since(sent)
		if err == nil && status == http.StatusOK && !strings.HasPrefix(body, id) {
			c.record(id, foreign, waited, "served with "+body)
			conn.close()
			return nil
		}
		if err == nil {
			c.record(id, byTime(waited, timeLeft), waited, fmt.Sprintf("%d on a %s connection", status, age(isNew)))
			if keep {
				return conn
			}
			conn.close()
			return nil
		}
		conn.close()
		conn = nil
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.record(id, lost, waited, "no answer")
			return nil
		case errors.Is(err, errUnheard) && !isNew && first: // the close crossed the request: once more
			c.w.rec.line("sent     %s once more, on a new connection", id)
			continue
		case errors.Is(err, errUnheard):
			c.record(id, shutUnread, waited, "closed with no byte")
		default:
			c.record(id, cutOff, waited, err.Error())
		}
		return nil
	}
}

func age(isNew bool) string {
	if isNew {
		return "new"
	}
	return "kept"
}

// byTime returns the outcome of a whole answer.
func byTime(waited, timeLeft time.Duration) outcome {
	switch {
	case waited > timeLeft+lateBy:
		return lost
	case waited > timeLeft:
		return late
	}
	return answered
}

// errUnheard means that a connection ended before any byte of an answer.
var errUnheard = errors.New("closed with no byte")

// readAnswer reads one answer to its end, and reports whether the connection stays open.
func readAnswer(r *bufio.Reader) (status int, body string, keep bool, err error) {
	if _, err = r.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, "", false, err
		}
		return 0, "", false, errUnheard
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", false, err
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), !response.Close, err
}

func (c *clients) record(id string, o outcome, waited time.Duration, what string) {
	if o == shutUnread && c.w.hasExited() {
		o = cutOff
	}
	c.w.rec.line("%-8s %s after %.3f s: %s", outcomeNames[o], id, waited.Seconds(), what)
	c.mu.Lock()
	c.count[o]++
	c.mu.Unlock()
}

// startBadClients lets n bad clients connect at once. Each sends the text, which is no whole request, and
// stays until the agent closes the connection.
func startBadClients(w *world, n int, text []byte) (end func()) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for range n {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", w.listen, 10*time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			began := time.Now()
			if _, err = conn.Write(text); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			w.rec.line("bad client: closed after %.3f s", time.Since(began).Seconds())
		})
	}
	w.rec.line("%d bad clients connect, and send %d bytes each of a request that never ends", n, len(text))
	return func() {
		mu.Lock()
		for _, conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		group.Wait()
	}
}
