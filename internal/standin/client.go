package standin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Client is a client's connection to an agent, which carries one request at a time. Use Dial.
type Client struct {
	answered func(*http.Response, []byte) // a whole answer
	ended    func(unread bool)

	up chan struct{} // closed once it is, or is given up

	mu     sync.Mutex
	conn   *net.TCPConn // nil: not up yet
	asked  bool         // a request is out
	used   bool         // it has carried an answer
	closed bool
}

// dialWait is how long an agent's machine may take to answer a wish to connect.
const dialWait = 2 * time.Second

// Dial connects to an agent and writes a request, without waiting for either. Answered is told each whole
// answer; ended, once, that the connection has ended otherwise than by Close. Unread: it can be told that
// the agent has not read the request that was out, if one was, or the connection has ended between requests
// in good order, and the request may have crossed that. Then nothing of it may have been sent on, which is
// for the caller to look at. Both are called from a goroutine of the connection's.
func Dial(addr string, request []byte, answered func(*http.Response, []byte),
	ended func(unread bool),
) *Client {
	c := &Client{answered: answered, ended: ended, asked: true, up: make(chan struct{})}
	go c.run(addr, request)
	return c
}

func (c *Client) run(addr string, request []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), dialWait)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	cancel()
	if err != nil {
		close(c.up)
		c.ended(true)
		return
	}
	c.mu.Lock()
	c.conn = conn.(*net.TCPConn)
	if c.closed {
		_ = conn.Close()
	}
	c.mu.Unlock()
	_, err = conn.Write(request)
	close(c.up)
	if err != nil {
		c.over(err, true)
		return
	}
	c.read()
}

// Ask writes a further request, once the one before is answered, or the next part of one.
func (c *Client) Ask(request []byte) {
	<-c.up
	c.mu.Lock()
	c.asked = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		_, _ = conn.Write(request) // an error is the reader's too
	}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

const maxAnswer = 8 << 20

func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		_, err := in.Peek(1)
		if err != nil {
			c.over(err, true)
			return
		}
		r, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(r.Body, maxAnswer))
		}
		if err != nil {
			c.over(err, false)
			return
		}
		c.mu.Lock()
		c.asked, c.used = false, true
		c.mu.Unlock()
		c.answered(r, body)
	}
}

// resetsWithin is how soon after the end of a connection a reset comes if what was on it had not been read.
const resetsWithin = 2 * time.Millisecond

// over tells of the connection's end. Nothing: no byte of an answer has come.
func (c *Client) over(err error, nothing bool) {
	c.mu.Lock()
	asked, used, closed := c.asked, c.used, c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	unread := !asked || nothing && (used || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	if asked && nothing && !unread {
		time.Sleep(resetsWithin)
		unread = c.broken()
	}
	_ = c.conn.Close()
	c.ended(unread)
}

// broken tells whether the agent's machine has answered what was on the connection with a reset.
func (c *Client) broken() (is bool) {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		is = err == nil && code != 0
	})
	return is
}
