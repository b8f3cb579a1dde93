package standin

import (
	"bytes"
	"net"
	"sync"
)

// InstantServer is an upstream server that answers every request at once, for measuring the cost of what
// forwards to it. It supports only requests without a body.
type InstantServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	wait     sync.WaitGroup
}

var (
	instantResponse = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nbooked\n")
	headerEnd       = []byte("\r\n\r\n")
)

// ListenInstantServer opens an InstantServer at an address.
func ListenInstantServer(addr string) (*InstantServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	q := &InstantServer{listener: l, conns: map[net.Conn]struct{}{}}
	q.wait.Go(q.accept)
	return q, nil
}

// Addr returns the address at which it listens.
func (q *InstantServer) Addr() string { return q.listener.Addr().String() }

// Close closes the server and its connections, and waits for its goroutines.
func (q *InstantServer) Close() {
	_ = q.listener.Close()
	q.mu.Lock()
	for c := range q.conns {
		_ = c.Close()
	}
	q.mu.Unlock()
	q.wait.Wait()
}

func (q *InstantServer) accept() {
	for {
		c, err := q.listener.Accept()
		if err != nil {
			return
		}
		q.mu.Lock()
		q.conns[c] = struct{}{}
		q.mu.Unlock()
		q.wait.Go(func() {
			serveInstantly(c)
			_ = c.Close()
			q.mu.Lock()
			delete(q.conns, c)
			q.mu.Unlock()
		})
	}
}

func serveInstantly(c net.Conn) {
	buf := make([]byte, 0, 8<<10)
	for {
		n, err := c.Read(buf[len(buf):cap(buf)])
		if err != nil || n == 0 { // n is 0 if a header does not fit into the buffer
			return
		}
		buf = buf[:len(buf)+n]
		for end := bytes.Index(buf, headerEnd); end >= 0; end = bytes.Index(buf, headerEnd) {
			if _, err := c.Write(instantResponse); err != nil {
				return
			}
			buf = buf[:copy(buf, buf[end+len(headerEnd):])]
		}
	}
}
