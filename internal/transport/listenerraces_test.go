package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
)

// The tests in this file force a race between the closing of a client's connection and another event on it: on every
// path that closes the connection, the first step of closing waits until the other event has happened.

const (
	raceTestTimeout                  = 15 * time.Second
	fewDescriptors                   = 56 // with 5 clients the listener is crowded, a 15th causes an eviction
	crowdingClients, evictingClients = 5, 16
	testRequest                      = "GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 60000\r\n\r\n"
)

// hookedConn is the server side of a client's connection. It calls onClose at the first step of closing.
type hookedConn struct {
	*net.TCPConn
	readBlocked   chan struct{} // receives a value when a read is blocked
	onClose       atomic.Pointer[func()]
	downstream    *downstreamConn
	readGate      atomic.Pointer[chan struct{}] // blocks reads of the idle connection until it is closed
	isWriteClosed atomic.Bool
	closed        chan struct{}
	once          sync.Once
}

func (c *hookedConn) runOnClose() {
	if f := c.onClose.Swap(nil); f != nil {
		(*f)()
	}
}

// blockIdleReads blocks reads from when the connection is idle until its closing has begun.
func (c *hookedConn) blockIdleReads() {
	gate := make(chan struct{})
	c.readGate.Store(&gate)
}

func (c *hookedConn) unblockReads() {
	if gate := c.readGate.Swap(nil); gate != nil {
		close(*gate)
	}
}

func (c *hookedConn) Read(b []byte) (int, error) {
	if gate := c.readGate.Load(); gate != nil && c.downstream.hasState(connIdle) {
		c.readBlocked <- struct{}{}
		<-*gate
	}
	return c.TCPConn.Read(b)
}

func (c *hookedConn) CloseWrite() error {
	defer c.unblockReads()
	c.runOnClose()
	c.isWriteClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	defer c.unblockReads()
	c.runOnClose()
	defer c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// hookedListener wraps the connections that it accepts in a hookedConn, and sends them to accepted.
type hookedListener struct {
	*downstreamListener
	accepted chan *downstreamConn
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.downstreamListener.Accept()
	if err != nil {
		return nil, err
	}
	downstream := c.(*downstreamConn)
	downstream.Conn = &hookedConn{
		TCPConn: downstream.Conn.(*net.TCPConn), downstream: downstream, readBlocked: make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	l.accepted <- downstream
	return downstream, nil
}

// recordingHandler records requests, and responds when proceed permits it.
type recordingHandler struct {
	count     atomic.Int32
	arrivedAt atomic.Pointer[time.Time] // ArrivedAt of the latest request
	response  protocol.Response
	received  chan struct{} // receives a value for each request; nil: not used
	proceed   chan struct{} // permits one response for each value; nil: responds at once
}

func (a *recordingHandler) HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool) {
	a.count.Add(1)
	a.arrivedAt.Store(&op.ArrivedAt)
	if a.received != nil {
		a.received <- struct{}{}
	}
	if a.proceed != nil {
		select {
		case <-a.proceed:
		case <-ctx.Done():
			return protocol.Response{}, false
		}
	}
	return a.response, true
}

func (*recordingHandler) Ready() bool { return true }

// closeRace is a Listener whose connections have hooks in their closing.
type closeRace struct {
	t              *testing.T
	listener       *Listener
	handler        *recordingHandler
	hookedListener *hookedListener
}

func newCloseRace(t *testing.T, descriptors int, handler *recordingHandler, options ...func(*Listener)) *closeRace {
	t.Parallel()
	if handler.response.Kind == 0 {
		handler.response = busyResponse()
	}
	listener := NewListener(NewDescriptors(descriptors, func() {}),
		NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute}), metrics.New(nil), handler)
	for _, option := range options {
		option(listener)
	}
	require.NoError(t, listener.Listen(netip.MustParseAddrPort("127.0.0.1:0"), protocol.HTTP))
	x := &closeRace{
		t: t, listener: listener, handler: handler,
		hookedListener: &hookedListener{listener.listeners[0], make(chan *downstreamConn, 64)},
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = listener.server.Serve(x.hookedListener) }()
	t.Cleanup(func() {
		listener.Close()
		<-served
	})
	return x
}

// client has both ends of a client's connection.
type client struct {
	*net.TCPConn
	reader     *bufio.Reader
	downstream *downstreamConn
	hookedConn *hookedConn
}

// connect connects a client with a small kernel buffer for unread responses.
func (x *closeRace) connect() *client {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", x.hookedListener.Addr().String())
	require.NoError(x.t, err)
	x.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(x.t, conn.SetDeadline(time.Now().Add(raceTestTimeout)))
	downstream := receive(x.t, x.hookedListener.accepted)
	return &client{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), downstream: downstream, hookedConn: downstream.Conn.(*hookedConn)}
}

// connectSilent connects n more clients, which send nothing.
func (x *closeRace) connectSilent(n int) {
	for range n {
		conn, err := net.Dial("tcp", x.hookedListener.Addr().String())
		require.NoError(x.t, err)
		x.t.Cleanup(func() { _ = conn.Close() })
	}
}

// send sends a text, and returns when the kernel of the agent has received all of it.
func (x *closeRace) send(c *client, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(x.t, err)
	x.waitUntil("the text is delivered", c.isDelivered)
}

// sendAndBlockReads sends a request, and returns once the connection is idle; from then on reads are blocked.
func (x *closeRace) sendAndBlockReads(c *client) {
	c.hookedConn.blockIdleReads()
	x.send(c, testRequest)
	receive(x.t, c.hookedConn.readBlocked)
}

// readResponse reads a complete response.
func (x *closeRace) readResponse(c *client) *http.Response {
	x.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(x.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(x.t, err)
	require.Equal(x.t, string(x.handler.response.Body), string(body))
	return r
}

// expectEOF checks that the server closed the connection without a reset.
func (x *closeRace) expectEOF(c *client) {
	x.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(x.t, err, io.EOF)
}

// waitIdle returns once the connection's state is connIdle.
func (x *closeRace) waitIdle(c *client) {
	x.waitUntil("the connection is idle", func() bool { return c.downstream.hasState(connIdle) })
}

func (c *downstreamConn) hasState(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == s
}

// sendOnClose makes the client's text arrive at the first step of the connection's closing.
func (x *closeRace) sendOnClose(c *client, text string) (done chan struct{}) {
	done = make(chan struct{})
	cross := func() {
		defer close(done)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		for since := time.Now(); !c.isDelivered() && time.Since(since) < raceTestTimeout; {
			time.Sleep(time.Millisecond)
		}
	}
	c.hookedConn.onClose.Store(&cross)
	return done
}

func (x *closeRace) waitUntil(what string, is func() bool) {
	x.t.Helper()
	require.Eventually(x.t, is, raceTestTimeout, time.Millisecond, what)
}

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(raceTestTimeout):
		require.Fail(t, "nothing was received from the channel")
	}
	return v
}

// isDelivered reports whether the other kernel has acknowledged everything that was written.
func (c *client) isDelivered() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	inner := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return errors.Join(inner, err) == nil && n == 0
}

// The agent's close of a client's connection crosses the client's next request, on every path that closes. The client
// must see a clean end and never a reset, and must get the previous response completely however late it reads it. The
// request, which the client sends again elsewhere, must not be executed.
func TestRequestCrossingTheCloseIsNotExecuted(t *testing.T) {
	long := protocol.Response{Kind: protocol.Rejected, Body: []byte(strings.Repeat("chair 4, Monday\n", 10_000))}
	for name, c := range map[string]struct {
		descriptors int
		edit        func(*Listener)
		close       func(*closeRace, *client)
	}{
		"Connection: close": {1024, func(f *Listener) { f.StartFinalDrain(time.Hour) }, func(x *closeRace, c *client) {
			x.send(c, testRequest)
		}},
		"drain": {1024, nil, func(x *closeRace, c *client) {
			x.send(c, testRequest)
			x.waitIdle(c)
			x.listener.StartFinalDrain(0)
		}},
		"keep-alive timeout": {1024, func(f *Listener) { f.server.IdleTimeout = time.Millisecond }, func(x *closeRace, c *client) {
			x.send(c, testRequest)
		}},
		"idle and crowded": {fewDescriptors, nil, func(x *closeRace, c *client) {
			x.sendAndBlockReads(c)
			x.connectSilent(crowdingClients)
			c.downstream.mu.Lock()
			c.downstream.stateSince = c.downstream.stateSince.Add(-minIdleTime)
			c.downstream.mu.Unlock()
			c.downstream.closeIfIdle()
		}},
		"evicted": {fewDescriptors, nil, func(x *closeRace, c *client) {
			x.sendAndBlockReads(c)
			c.downstream.mu.Lock()
			c.downstream.stateSince = c.downstream.stateSince.Add(-time.Hour) // makes it the best candidate
			c.downstream.mu.Unlock()
			x.connectSilent(evictingClients)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCloseRace(t, c.descriptors, &recordingHandler{response: long}, func(f *Listener) {
				if c.edit != nil {
					c.edit(f)
				}
			})
			client := x.connect()
			crossed := x.sendOnClose(client, testRequest)
			c.close(x, client)
			receive(t, crossed)
			receive(t, client.hookedConn.closed) // by then, the client has read nothing of the response
			x.readResponse(client)
			x.expectEOF(client)
			require.EqualValues(t, 1, x.handler.count.Load(), "a request that crossed the close must not be executed")
			require.True(t, client.hookedConn.isWriteClosed.Load(), "the write side must be closed before the connection")
		})
	}
}

// A request that was received but not read when its connection is to be closed as idle must be served.
func TestUnreadRequestIsServedDespiteIdleClose(t *testing.T) {
	for name, end := range map[string]func(*closeRace, *client){
		"drain": func(x *closeRace, c *client) {
			x.listener.StartFinalDrain(0)
			x.waitUntil("the connection is marked to be closed", c.downstream.isMarkedToClose)
		},
		"evicted": func(_ *closeRace, c *client) {
			_, state, since := c.downstream.evictionCandidacy(time.Now(), false)
			c.downstream.evict(state, since)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCloseRace(t, 1024, &recordingHandler{})
			c := x.connect()
			x.sendAndBlockReads(c)
			x.readResponse(c)
			x.send(c, testRequest)
			end(x, c)
			c.hookedConn.unblockReads()
			x.readResponse(c)
			require.EqualValues(t, 2, x.handler.count.Load())
		})
	}
}

// The second of two requests arrives while the first is in flight, and the listener drains. Only the last response
// must announce the close.
func TestPipelinedRequestsAreServedBeforeTheClose(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{received: make(chan struct{}, 2), proceed: make(chan struct{})})
	c := x.connect()
	x.listener.StartFinalDrain(time.Hour)
	x.send(c, testRequest)
	receive(t, x.handler.received)
	x.send(c, testRequest)
	close(x.handler.proceed)
	require.False(t, x.readResponse(c).Close)
	require.True(t, x.readResponse(c).Close)
	x.expectEOF(c)
	require.EqualValues(t, 2, x.handler.count.Load())
}

// A next request of which nothing was read yet, but which the kernel has received, counts as a next request.
func TestHasNextRequestSeesUnreadInput(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	inner, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	raw, err := inner.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	downstream := &downstreamConn{Conn: inner, rawConn: raw, state: connBusy}
	require.False(t, downstream.hasNextRequest())
	_, err = io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).isDelivered, raceTestTimeout, time.Millisecond)
	require.True(t, downstream.hasNextRequest())
}

// A part of the next request arrives while the current one is in flight. The connection must not become idle after the
// response, nor be closed as idle.
func TestPartialNextRequestIsNotIdle(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{received: make(chan struct{}, 2), proceed: make(chan struct{})})
	c := x.connect()
	x.send(c, testRequest)
	receive(t, x.handler.received)
	const firstBytes = 1 // byte, which net/http reads by itself while a request is in flight
	x.send(c, testRequest[:firstBytes])
	x.waitUntil("the next request is started", c.hasStartedNextRequest)
	close(x.handler.proceed)
	x.readResponse(c)
	x.waitUntil("the response is written", func() bool { return !c.downstream.hasState(connBusy) })
	require.True(t, c.downstream.hasState(connReading))
	x.listener.conns.closeIdle(idleAll)
	x.send(c, testRequest[firstBytes:])
	x.readResponse(c)
	require.EqualValues(t, 2, x.handler.count.Load())
}

// A partly received request, the first one on its connection or one on an idle connection, must not be cut off by a
// drain.
func TestPartialRequestIsServedWhileDraining(t *testing.T) {
	for name, isUsed := range map[string]bool{"first": false, "next": true} {
		t.Run(name, func(t *testing.T) {
			x := newCloseRace(t, 1024, &recordingHandler{})
			c := x.connect()
			if isUsed {
				x.send(c, testRequest)
				x.readResponse(c)
				x.waitIdle(c)
			}
			half := len(testRequest) / 2
			x.send(c, testRequest[:half])
			x.waitUntil("the request is being read", func() bool { return c.downstream.hasState(connReading) })
			x.listener.StartFinalDrain(0)
			x.listener.conns.closeIdle(idleAll)
			require.False(t, c.downstream.isMarkedToClose())
			x.send(c, testRequest[half:])
			require.True(t, x.readResponse(c).Close)
			x.expectEOF(c)
		})
	}
}

// A request that waits for memory in this agent, so that it is not read for a while, must not be cut off by a drain.
func TestRequestWaitingForMemoryIsServedWhileDraining(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{})
	all, err := x.listener.bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 1<<20) // all of it
	require.NoError(t, err)
	c := x.connect()
	x.send(c, strings.Replace(testRequest, "GET", "POST", 1)[:len(testRequest)-1]+
		"Content-Length: 15\r\n\r\nchair 4, Monday")
	x.waitUntil("the request waits for memory", func() bool {
		c.downstream.mu.Lock()
		defer c.downstream.mu.Unlock()
		return c.downstream.isPaused
	})
	x.listener.StartFinalDrain(0)
	x.listener.conns.closeIdle(idleAll)
	require.False(t, c.downstream.isMarkedToClose())
	require.Zero(t, x.handler.count.Load())
	all.Release()
	require.True(t, x.readResponse(c).Close)
	require.EqualValues(t, 1, x.handler.count.Load())
	x.expectEOF(c)
}

// isMarkedToClose reports whether the connection is to be closed unless there is input.
func (c *downstreamConn) isMarkedToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesUnlessInput
}

func (c *client) hasStartedNextRequest() bool {
	c.downstream.mu.Lock()
	defer c.downstream.mu.Unlock()
	return c.downstream.hasReadNextRequest()
}

// The time of a request that arrives while the previous one is in flight must count from its arrival, not from when it
// is handled. The same is true of a third request that is read together with the second.
func TestPipelinedRequestTimeCountsFromArrival(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{received: make(chan struct{}), proceed: make(chan struct{})})
	c := x.connect()
	x.send(c, testRequest)
	receive(t, x.handler.received)
	x.send(c, testRequest+testRequest)
	x.waitUntil("the next request is started", c.hasStartedNextRequest)
	deliveredAt := time.Now()
	next := func() time.Time {
		x.handler.proceed <- struct{}{}
		x.readResponse(c)
		receive(t, x.handler.received)
		return *x.handler.arrivedAt.Load()
	}
	require.True(t, next().Before(deliveredAt), "the time of the second request must count from its own arrival")
	x.send(c, testRequest)
	x.waitUntil("the fourth request is started", func() bool {
		c.downstream.mu.Lock()
		defer c.downstream.mu.Unlock()
		return c.downstream.framing.headersStarted == 4
	})
	require.True(t, next().Before(deliveredAt), "the time of the third request must count from its own arrival")
	fourth := next()
	require.True(t, fourth.After(deliveredAt), "the time of the fourth request must count from its own arrival")
	require.True(t, fourth.Before(time.Now()))
	x.handler.proceed <- struct{}{}
	x.readResponse(c)
	x.waitIdle(c)
	before := time.Now()
	x.send(c, testRequest) // not pipelined
	receive(t, x.handler.received)
	require.True(t, x.handler.arrivedAt.Load().After(before))
	x.handler.proceed <- struct{}{}
	x.readResponse(c)
}

// A client does not close its side after the agent has closed the write side. A process that ends must not wait for it
// until the linger timeout.
func TestFinalDrainDoesNotWaitForClientsToClose(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{})
	c := x.connect()
	x.send(c, testRequest)
	x.readResponse(c)
	x.listener.StartFinalDrain(time.Hour)
	c.downstream.mu.Lock()
	require.True(t, c.downstream.startClosing())
	require.NoError(t, c.downstream.SetReadDeadline(time.Now().Add(time.Hour)))
	c.downstream.mu.Unlock()
	x.expectEOF(c)
	x.listener.StartFinalDrain(0)
	receive(t, c.hookedConn.closed)
}

// An evicted client has sent bytes just before the write side was closed, which are unread. The connection must not be
// closed before they are discarded, since that would reset it.
func TestEvictedConnectionIsNotClosedWithUnreadInput(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	inner, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	raw, err := inner.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	since := time.Now().Add(-time.Hour)
	downstream := &downstreamConn{Conn: inner, rawConn: raw, state: connClosing, stateSince: since, wasEvictedIdle: true}
	rank, _, _ := downstream.evictionCandidacy(time.Now(), false)
	require.Zero(t, rank)
	_, err = io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).isDelivered, raceTestTimeout, time.Millisecond)
	require.False(t, downstream.evict(connClosing, since))
	_, err = io.ReadFull(inner, make([]byte, len(testRequest)))
	require.NoError(t, err)
	require.True(t, downstream.evict(connClosing, since))
}
