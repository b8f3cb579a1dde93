package transport

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
)

// goneHandler passes on when the client of a request has gone, as the context of the request tells.
type goneHandler struct {
	received chan struct{}
	gone     chan time.Time
}

func (h *goneHandler) HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool) {
	defer op.Release()
	h.received <- struct{}{}
	<-ctx.Done()
	h.gone <- time.Now()
	return protocol.Response{}, false
}

func (*goneHandler) Ready() bool { return true }

// Guards against requests in flight that hold their place, memory and attempt although their client has gone: bytes that
// net/http or the reader of a body has not read hide the close. The requests behind it on the connection are not begun.
func TestCloseBehindUnreadBytesEndsRequest(t *testing.T) {
	const maxDelay = 100 * time.Millisecond // after which no attempt may begin
	for name, text := range map[string]string{
		"a request":            testRequest,
		"many requests":        strings.Repeat(testRequest, 60),
		"a little more":        testRequest + "\r\nGET",
		"long body":            longRequestText(time.Minute, "Content-Length: 340000", strings.Repeat("x", 340_000)),
		"part of a long body":  longRequestText(time.Minute, "Content-Length: 1000000", strings.Repeat("x", 340_000)),
		"chunked body":         longRequestText(time.Minute, "Transfer-Encoding: chunked", "53020\r\n"+strings.Repeat("x", 340_000)+"\r\n0\r\n\r\n"),
		"requests behind body": longRequestText(time.Minute, "Content-Length: 5", "chair"+strings.Repeat(testRequest, 60)),
	} {
		for ending, end := range map[string]func(*net.TCPConn) error{
			"close": (*net.TCPConn).Close,
			"reset": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				handler := &goneHandler{received: make(chan struct{}, 100), gone: make(chan time.Time, 100)}
				x := newCloseRace(t, 64, &recordingHandler{})
				x.listener.handler = handler
				x.listener.bodies.Memory.SetLimit(8 << 20)
				c := x.connect()
				x.send(c, text)
				receive(t, handler.received)
				select {
				case <-handler.gone:
					require.Fail(t, "an open client counts as gone")
				case <-time.After(3 * closeCheckInterval):
				}
				closedAt := time.Now()
				require.NoError(t, end(c.TCPConn))
				require.Less(t, receive(t, handler.gone).Sub(closedAt), maxDelay+maxTestDelay)
				x.waitUntil("the connection is closed", func() bool { return c.downstream.hasState(connClosed) })
				require.Empty(t, handler.received, "a further request was begun")
			})
		}
	}
}
