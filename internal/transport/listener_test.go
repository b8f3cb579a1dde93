package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/graphql"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
)

// responseFunc is a handler that gives its result as the response to every request.
type responseFunc func() protocol.Response

func (a responseFunc) HandleRequest(context.Context, *protocol.Request) (protocol.Response, bool) {
	return a(), true
}

func (responseFunc) Ready() bool { return true }

func busyResponse() protocol.Response {
	return protocol.Response{Kind: protocol.Rejected, Body: []byte("busy\n")}
}

// serveListener serves a Listener and returns a function that connects to it.
func serveListener(t *testing.T, handler responseFunc, bodies *BodyLimits, formats ...protocol.Format) (dial func() net.Conn) {
	return serveWithDescriptors(t, 1024, handler, bodies, formats...)
}

// serveWithDescriptors is like serveListener, with a given number of descriptors.
func serveWithDescriptors(t *testing.T, descriptors int, handler responseFunc, bodies *BodyLimits, formats ...protocol.Format) (dial func() net.Conn) {
	return serveHandler(t, descriptors, handler, bodies, formats...)
}

// serveHandler is like serveWithDescriptors, for any handler.
func serveHandler(t *testing.T, descriptors int, handler RequestHandler, bodies *BodyLimits, formats ...protocol.Format) (dial func() net.Conn) {
	listener := NewListener(NewDescriptors(descriptors, func() {}), bodies, metrics.New(nil), handler)
	require.NoError(t, listener.Listen(netip.MustParseAddrPort("127.0.0.1:0"), formats...))
	served := make(chan struct{})
	go func() { defer close(served); _ = listener.Serve() }()
	t.Cleanup(func() {
		listener.Close()
		<-served
	})
	return func() net.Conn {
		c, err := net.Dial("tcp", listener.listeners[0].Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(15*time.Second)))
		return c
	}
}

// Guards against clients that never complete a request: they must get a response and their connection must be closed.
func TestUnfinishedRequestIsAnsweredAndClosed(t *testing.T) {
	dial := serveListener(t, busyResponse, NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute}), protocol.HTTP)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"health": {"POST /health/live HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", http.StatusOK},
		"two lengths": {
			"POST /consult/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n",
			http.StatusBadRequest,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial()
			_, err := io.WriteString(conn, c.request)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			_, err = io.Copy(io.Discard, conn)
			require.NoError(t, err, "the connection must be closed")
		})
	}
}

// Guards against a final answer that is delayed by a wait for memory until the client has timed out: a client with a
// short timeout must be rejected within it.
func TestLackOfMemoryIsReportedWithinClientTimeout(t *testing.T) {
	const deadline = 300 * time.Millisecond
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute})
	_, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 1<<20) // all of it
	require.NoError(t, err)
	classes := []balancer.Class{
		{Name: "consult", Deadline: time.Second, Idempotency: balancer.Idempotent},
		{Name: "rezervare", Deadline: deadline, Idempotency: balancer.NotIdempotent},
	}
	classifier, err := graphql.NewClassifier(graphql.Rules{Classes: classes})
	require.NoError(t, err)
	graphQL := &protocol.GraphQL{Path: "/graphql", Classifier: classifier, Classes: classes}
	graphQL.Deadline, err = protocol.ParseSource("header:X-Time-Left-Ms")
	require.NoError(t, err)
	dial := serveListener(t, busyResponse, bodies, graphQL.AtPath, protocol.HTTP)
	const head = " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 9\r\n"
	left := fmt.Sprintf("X-Time-Left-Ms: %d\r\n", deadline.Milliseconds())
	for name, request := range map[string]string{
		"plain":                      "POST /consult/x" + head + "X-Correlation-Id: 0123456789abcdef\r\n" + left,
		"GraphQL, timeout in header": "POST /graphql" + head + left,
		"GraphQL, timeout of class":  "POST /graphql" + head,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// On a busy machine a try may take longer, but not every one.
			require.Eventually(t, func() bool {
				conn, startedAt := dial(), time.Now()
				_, _ = io.WriteString(conn, request+"\r\n123456789")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				return err == nil && resp.StatusCode == http.StatusServiceUnavailable && time.Since(startedAt) < requestTimeout/2
			}, 15*time.Second, time.Millisecond)
		})
	}
}

// Guards against a client's time that starts anew after the agent has waited for memory: it must count from the last byte
// received.
func TestMemoryWaitCountsAgainstClientTimeout(t *testing.T) {
	receivedAt := time.Now().Add(-time.Second)
	c := &downstreamConn{state: connReading, stateSince: receivedAt, receivedAt: receivedAt, isHeaderRead: true}
	c.pauseReading()
	require.False(t, c.isStalled(time.Now().Add(time.Minute)), "a request that waits for memory is not stalled by its client")
	c.resumeReading()
	require.False(t, c.isStalled(time.Now()))
	require.True(t, c.isStalled(time.Now().Add(stallTimeout)))
	require.Equal(t, receivedAt, c.requestComplete())
}

// Guards against the eviction of a request that waits for memory in this agent as if its client had stalled, while
// descriptors are short: the client sends everything that is read.
func TestBodyWaitingForMemoryIsNotEvicted(t *testing.T) {
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute})
	_, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 1<<20) // all of it
	require.NoError(t, err)
	dial := serveWithDescriptors(t, 64, busyResponse, bodies, protocol.HTTP)
	conn, startedAt := dial(), time.Now()
	const size = 100_000
	_, err = fmt.Fprintf(conn, "POST /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\n"+
		"X-Time-Left-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	require.NoError(t, err)
	// Other clients need descriptors all the time; these are to be evicted instead.
	stop := make(chan struct{})
	defer close(stop)
	for range 80 {
		go func() {
			for {
				c, dialErr := net.Dial("tcp", conn.RemoteAddr().String())
				if dialErr != nil {
					return
				}
				_, _ = io.WriteString(c, "GET /consult/x HTTP/1.1\r\n") // makes no progress either
				select {
				case <-time.After(1500 * time.Millisecond):
				case <-stop:
				}
				_ = c.Close()
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Greater(t, time.Since(startedAt), stallTimeout+stallTimeout/2, "it must have waited longer than a request may be stalled")
}

// Guards against a truncated response that looks complete: without a length, it must be an error in any HTTP version.
func TestTruncatedResponseWithoutLengthIsAnError(t *testing.T) {
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute})
	dial := serveListener(t, func() protocol.Response {
		grant, err := bodies.Memory.Reserve(context.Background(), bytebudget.Holder{Name: "s-0"}, bodystream.ChunkBytes)
		require.NoError(t, err)
		stream := bodystream.New(-1, grant, bodystream.ChunkBytes)
		_, err = stream.WriteBuffer()
		require.NoError(t, err)
		stream.CommitWrite(20_000) // more than net/http buffers
		stream.CloseWrite(io.ErrUnexpectedEOF)
		return protocol.Response{BodyStream: stream, Streaming: true}
	}, bodies, protocol.HTTP)
	for _, version := range []string{"1.0", "1.1"} {
		conn := dial()
		_, err := io.WriteString(conn, "GET /consult/x HTTP/"+version+
			"\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 60000\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		require.Error(t, err, version)
	}
	require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 15*time.Second, time.Millisecond)
}

// Guards against a streamed response that breaks right after its first bytes and ends as a connection closed with none: the
// client would send its request again. The response has broken before its first byte is written.
func TestBrokenStreamedResponseBeginsBeforeItEnds(t *testing.T) {
	const received = 2000 // less than net/http buffers
	for name, c := range map[string]struct {
		version string
		length  int64
		isAbort bool
	}{
		"no length":                   {"1.1", -1, false},
		"length":                      {"1.1", 3 * received, false},
		"HTTP/1.0, no length":         {"1.0", -1, false},
		"given up with bytes unread":  {"1.1", -1, true},
		"given up, length and unread": {"1.1", 3 * received, true},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute})
			dial := serveListener(t, func() protocol.Response {
				grant, err := bodies.Memory.Reserve(context.Background(), bytebudget.Holder{Name: "s-0"}, bodystream.ChunkBytes)
				require.NoError(t, err)
				stream := bodystream.New(c.length, grant, bodystream.ChunkBytes)
				_, err = stream.WriteBuffer()
				require.NoError(t, err)
				stream.CommitWrite(received)
				if c.isAbort {
					stream.Abort(io.ErrUnexpectedEOF)
				}
				stream.CloseWrite(io.ErrUnexpectedEOF)
				return protocol.Response{BodyStream: stream, Streaming: true}
			}, bodies, protocol.HTTP)
			conn := dial()
			_, err := io.WriteString(conn, "GET /consult/x HTTP/"+c.version+
				"\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 60000\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "the client must get the beginning of a response")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			n, err := io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the response must not look complete")
			if !c.isAbort {
				require.EqualValues(t, received, n)
			}
		})
	}
}

// A body may become complete when abandonBody is called. A complete body must not be cut off: its connection is read on,
// so that net/http notices a client that disconnects. Reading an incomplete body must end at once.
func TestAbandonBodyKeepsReadingAfterCompleteBody(t *testing.T) {
	for _, sent := range []string{"hello", "hell"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		inner, err := l.Accept()
		require.NoError(t, err)
		raw, err := inner.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		c := &downstreamConn{Conn: inner, rawConn: raw}
		defer func() { _ = inner.Close() }()
		text := "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n" + sent
		_, err = io.WriteString(client, text)
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, len(text)))
		require.NoError(t, err)
		c.abandonBody()
		if sent != "hello" {
			_, err = c.Read(make([]byte, 9))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			continue
		}
		next := make(chan error, 1)
		go func() {
			_, readErr := io.ReadFull(c, make([]byte, 3))
			next <- readErr
		}()
		_, err = io.WriteString(client, "GET")
		require.NoError(t, err)
		require.NoError(t, <-next)
		c.responseDone() // from then on a read deadline ends reads again
		require.NoError(t, inner.SetReadDeadline(time.Now()))
		_, err = c.Read(make([]byte, 9))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// A drain closes an idle connection, but not if its next request has already been received: the close would cross it.
func TestIdleCloseKeepsConnectionWithInput(t *testing.T) {
	for _, sent := range []string{"", "GET / HTTP/1.1\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		inner, err := l.Accept()
		require.NoError(t, err)
		defer func() { _ = inner.Close() }()
		raw, err := inner.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		c := &downstreamConn{Conn: inner, rawConn: raw, state: connIdle}
		_, err = io.WriteString(client, sent)
		require.NoError(t, err)
		require.Eventually(t, func() (is bool) {
			require.NoError(t, raw.Control(func(fd uintptr) { is = hasInput(fd) }))
			return is == (sent != "")
		}, 15*time.Second, time.Millisecond)
		c.closeIdle(idleAll)
		n, err := c.Read(make([]byte, 99))
		if sent == "" {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, len(sent), n)
	}
}
