package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int // 0: none
	body   string
	err    error
	took   time.Duration
	close  bool // the agent ends the connection
}

// client is one connection of a client.
type client struct {
	w    *world
	name string
	conn net.Conn
	in   *bufio.Reader
}

func (w *world) connect(name string) (*client, error) {
	c, err := net.DialTimeout("tcp", w.listen, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, name: name, conn: c, in: bufio.NewReader(c)}, nil
}

// requestText returns a request as it is sent; only bookings have a body.
func requestText(class, id string, left time.Duration, key, body string) string {
	method := "GET"
	if class != "lookup" {
		method = "POST"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
		"X-Account: group-a\r\nCookie: sid=%s\r\nX-Time-Left-Ms: %d\r\n",
		method, class, id, key, left.Milliseconds())
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// send writes a request.
func (c *client) send(class, id string, left time.Duration, key string) error {
	body := ""
	if class != "lookup" {
		body = "book a chair for " + key + "\n"
	}
	c.w.record.logf("%s: sends %s %s, %v left", c.name, class, id, left)
	_, err := io.WriteString(c.conn, requestText(class, id, left, key, body))
	return err
}

// receive reads one answer.
func (c *client) receive(id string, limit time.Duration) (a answer) {
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(limit))
	defer func() {
		a.took = time.Since(began)
		c.w.record.logf("%s: gets %d for %s, %q, error %v", c.name, a.status, id, a.body, a.err)
	}()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.Close {
		_ = c.conn.Close()
	}
	return answer{status: resp.StatusCode, body: string(raw), err: err, close: resp.Close}
}

// ask sends a request on a new connection and returns its answer.
func (w *world) ask(name, class, id string, left time.Duration, key string) answer {
	c, err := w.connect(name)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	if err := c.send(class, id, left, key); err != nil {
		return answer{err: err}
	}
	return c.receive(id, left+3*time.Second)
}
