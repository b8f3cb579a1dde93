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

// Client is a client's connection to an agent, which carries one request at a time. Dial creates one.
type Client struct {
	onResponse func(*http.Response, []byte) // called with each complete response
	onEnd      func(unread bool)

	dialDone chan struct{} // closed when the first request is written or the dial has failed

	mu             sync.Mutex
	conn           *net.TCPConn // nil: not established yet
	awaitsResponse bool         // a request was sent and its response is not complete
	hadResponse    bool         // a response was received on this connection
	closed         bool
}

// dialTimeout limits the time until the connection is established.
const dialTimeout = 2 * time.Second

// Dial connects to an agent and writes a request, without waiting for either. It calls onResponse with each
// complete response, and onEnd once if the connection ends other than by Close, both from a goroutine of the
// connection. unread is true if the agent is known not to have read the outstanding request, if no request is
// outstanding, or if a reused connection ended before a response began, as the request may have crossed the
// close. The agent should then have forwarded nothing of the request; the caller checks that.
func Dial(addr string, request []byte, onResponse func(*http.Response, []byte),
	onEnd func(unread bool),
) *Client {
	c := &Client{onResponse: onResponse, onEnd: onEnd, awaitsResponse: true, dialDone: make(chan struct{})}
	go c.run(addr, request)
	return c
}

func (c *Client) run(addr string, request []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	cancel()
	if err != nil {
		close(c.dialDone)
		c.onEnd(true)
		return
	}
	c.mu.Lock()
	c.conn = conn.(*net.TCPConn)
	if c.closed {
		_ = conn.Close()
	}
	c.mu.Unlock()
	_, err = conn.Write(request)
	close(c.dialDone)
	if err != nil {
		c.handleEnd(err, true)
		return
	}
	c.read()
}

// Send writes the next request, once the former one is answered, or the next part of a request.
func (c *Client) Send(request []byte) {
	<-c.dialDone
	c.mu.Lock()
	c.awaitsResponse = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		_, _ = conn.Write(request) // the reader sees the error too
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

const maxResponseBytes = 8 << 20

func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		_, err := in.Peek(1)
		if err != nil {
			c.handleEnd(err, true)
			return
		}
		r, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
		}
		if err != nil {
			c.handleEnd(err, false)
			return
		}
		c.mu.Lock()
		c.awaitsResponse, c.hadResponse = false, true
		c.mu.Unlock()
		c.onResponse(r, body)
	}
}

// resetWait is how long a reset may take to follow the end of a connection whose data was not read.
const resetWait = 2 * time.Millisecond

// handleEnd calls onEnd unless Close was called. noResponse is true if no byte of a response was received.
func (c *Client) handleEnd(err error, noResponse bool) {
	c.mu.Lock()
	awaiting, reused, closed := c.awaitsResponse, c.hadResponse, c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	unread := !awaiting || noResponse && (reused ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	if awaiting && noResponse && !unread {
		time.Sleep(resetWait)
		unread = c.wasReset()
	}
	_ = c.conn.Close()
	c.onEnd(unread)
}

// wasReset reports whether the agent's machine has reset the connection.
func (c *Client) wasReset() (is bool) {
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
