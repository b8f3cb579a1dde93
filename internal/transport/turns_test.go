package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that keeps its turn while it waits for its client: to send, to read an answer that net/http
// writes itself, or to close.
func TestTurnEndsBeforeWaitingForClient(t *testing.T) {
	for name, wait := range map[string]func(*downstreamConn){
		"write": func(c *downstreamConn) { _, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) },
		"close": func(c *downstreamConn) { _ = c.Close() },
		"read":  func(c *downstreamConn) { _, _ = c.Read(make([]byte, 10)) },
	} {
		t.Run(name, func(t *testing.T) {
			_, accepted, raw := connectedPair(t)
			blocked := &blockedConn{accepted, make(chan struct{})}
			c := &downstreamConn{Conn: blocked, rawConn: raw, conns: &downstreamConns{
				descriptors: NewDescriptors(100, func() {}), conns: map[*downstreamConn]struct{}{}, turns: newTurnQueue(),
			}}
			c.turn.acquire(c.conns.turns)
			go wait(c)
			select {
			case c.conns.turns <- struct{}{}: // another connection gets the turn
			case <-time.After(5 * time.Second):
				require.Fail(t, "the turn is held")
			}
			close(blocked.unblocked)
		})
	}
}

// blockedConn is a connection whose client neither sends nor reads until unblocked is closed.
type blockedConn struct {
	net.Conn
	unblocked chan struct{}
}

func (c *blockedConn) Read([]byte) (int, error)  { <-c.unblocked; return 0, net.ErrClosed }
func (c *blockedConn) Write([]byte) (int, error) { <-c.unblocked; return 0, net.ErrClosed }
