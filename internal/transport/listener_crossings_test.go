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

// The tests here force two events of a client's connection to cross: the closing of it, on every path that closes, is
// held at its first step while the other event happens.

const (
	raceTestTimeout                  = 15 * time.Second
	fewDescriptors                   = 56 // five clients crowd the front socket, a fifteenth makes one of them give way
	crowdingClients, evictingClients = 5, 16
	testRequest                      = "GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 60000\r\n\r\n"
)

// hookedConn is the system's end of a client's connection. What is to happen at the first step of its closing is set in
// crosses.
type hookedConn struct {
	*net.TCPConn
	readBlocked   chan struct{} // is told that a read is held
	onClose       atomic.Pointer[func()]
	downstream    *downstreamConn
	readGate      atomic.Pointer[chan struct{}] // nothing is read of it, standing idle, until this is closed
	isWriteClosed atomic.Bool
	closed        chan struct{}
	once          sync.Once
}

func (c *hookedConn) runOnClose() {
	if f := c.onClose.Swap(nil); f != nil {
		(*f)()
	}
}

// blockIdleReads has what comes stay where it is from when the connection stands idle until its closing has begun.
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

// hookedListener hands on the connections that it accepts, held.
type hookedListener struct {
	*downstreamListener
	accepted chan *downstreamConn
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.downstreamListener.Accept()
	if err != nil {
		return nil, err
	}
	front := c.(*downstreamConn)
	front.Conn = &hookedConn{
		TCPConn: front.Conn.(*net.TCPConn), downstream: front, readBlocked: make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	l.accepted <- front
	return front, nil
}

// asked is an operator that notes what it is asked, and answers when it may.
type recordingHandler struct {
	count     atomic.Int32
	arrivedAt atomic.Pointer[time.Time] // since when the latest one's client counts its time
	response  protocol.Response
	received  chan struct{} // nil: nobody waits for one
	proceed   chan struct{} // nil: at once
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

// crossing is a front socket whose connections' closing is held.
type closeRace struct {
	t        *testing.T
	listener *Listener
	handler  *recordingHandler
	hooked   *hookedListener
}

func newCloseRace(t *testing.T, descriptors int, operator *recordingHandler, edits ...func(*Listener)) *closeRace {
	t.Parallel()
	if operator.response.Kind == 0 {
		operator.response = busyResponse()
	}
	f := NewListener(NewDescriptors(descriptors, func() {}),
		NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStall: time.Minute}), metrics.New(nil), operator)
	for _, edit := range edits {
		edit(f)
	}
	require.NoError(t, f.Listen(netip.MustParseAddrPort("127.0.0.1:0"), protocol.HTTP))
	x := &closeRace{
		t: t, listener: f, handler: operator,
		hooked: &hookedListener{f.listeners[0], make(chan *downstreamConn, 64)},
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = f.server.Serve(x.hooked) }()
	t.Cleanup(func() {
		f.Close()
		<-served
	})
	return x
}

// client is both ends of a client's connection.
type client struct {
	*net.TCPConn
	reader     *bufio.Reader
	downstream *downstreamConn
	hooked     *hookedConn
}

// connect connects a client, whose machine takes little before it reads.
func (x *closeRace) connect() *client {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", x.hooked.Addr().String())
	require.NoError(x.t, err)
	x.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(x.t, conn.SetDeadline(time.Now().Add(raceTestTimeout)))
	front := receive(x.t, x.hooked.accepted)
	return &client{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), downstream: front, hooked: front.Conn.(*hookedConn)}
}

// dial connects further clients, which say nothing.
func (x *closeRace) connectSilent(n int) {
	for range n {
		conn, err := net.Dial("tcp", x.hooked.Addr().String())
		require.NoError(x.t, err)
		x.t.Cleanup(func() { _ = conn.Close() })
	}
}

// send sends a text, and returns when the agent's machine has all of it, or the agent has read of it.
func (x *closeRace) send(c *client, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(x.t, err)
	x.waitUntil("it arrives", c.isDelivered)
}

// sendAndBlockReads asks, and returns once the connection stands idle; from then on nothing of it is read.
func (x *closeRace) sendAndBlockReads(c *client) {
	c.hooked.blockIdleReads()
	x.send(c, testRequest)
	receive(x.t, c.hooked.readBlocked)
}

// answer reads a whole answer.
func (x *closeRace) readResponse(c *client) *http.Response {
	x.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(x.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(x.t, err)
	require.Equal(x.t, string(x.handler.response.Body), string(body))
	return r
}

// ends reads the connection's end, which has to be one in good order.
func (x *closeRace) expectEOF(c *client) {
	x.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(x.t, err, io.EOF)
}

// idle returns once the agent has the connection for one that stands idle.
func (x *closeRace) waitIdle(c *client) {
	x.waitUntil("idle", func() bool { return c.downstream.hasState(connIdle) })
}

func (c *downstreamConn) hasState(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == s
}

// crosses has a text of the client's arrive at the first step of the connection's closing.
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
	c.hooked.onClose.Store(&cross)
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
		require.Fail(t, "it does not come")
	}
	return v
}

// arrived tells whether the agent's machine has all that was written.
func (c *client) isDelivered() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	inner := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return errors.Join(inner, err) == nil && n == 0
}

// Our close of a client's connection crosses its next request, on every path that closes: the client sees a clean end,
// never a reset, has the answer before whole however late it takes it, and the request, which it sends again elsewhere,
// is not carried out here.
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
		"sweep": {1024, nil, func(x *closeRace, c *client) {
			x.send(c, testRequest)
			x.waitIdle(c)
			x.listener.StartFinalDrain(0)
		}},
		"idle for long": {1024, func(f *Listener) { f.server.IdleTimeout = time.Millisecond }, func(x *closeRace, c *client) {
			x.send(c, testRequest)
		}},
		"stood": {fewDescriptors, nil, func(x *closeRace, c *client) {
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
			c.downstream.stateSince = c.downstream.stateSince.Add(-time.Hour) // it is missed least
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
			receive(t, client.hooked.closed) // nothing of the answer was taken by then but what the machine took
			x.readResponse(client)
			x.expectEOF(client)
			require.EqualValues(t, 1, x.handler.count.Load(), "carried out, though it crossed the end")
			require.True(t, client.hooked.isWriteClosed.Load(), "the client was told before the close")
		})
	}
}

// A request has come, and is not read yet, as its connection is to be closed for standing idle: it is served.
func TestUnreadRequestIsServedDespiteIdleClose(t *testing.T) {
	for name, end := range map[string]func(*closeRace, *client){
		"sweep": func(x *closeRace, c *client) {
			x.listener.StartFinalDrain(0)
			x.waitUntil("to be ended", c.downstream.isMarkedToClose)
		},
		"evicted": func(_ *closeRace, c *client) {
			_, state, since := c.downstream.evictionCandidacy(time.Now())
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
			c.hooked.unblockReads()
			x.readResponse(c)
			require.EqualValues(t, 2, x.handler.count.Load())
		})
	}
}

// The second of two requests comes while the first is out, and clients are sent away: the close is announced with the
// last answer, and with no answer before one that is owed.
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

// The same where nothing of the second one is read yet: what the agent's machine has of it counts.
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
	front := &downstreamConn{Conn: inner, rawConn: raw, state: connBusy}
	require.False(t, front.hasNextRequest())
	_, err = io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).isDelivered, raceTestTimeout, time.Millisecond)
	require.True(t, front.hasNextRequest())
}

// A part of the next request comes while the present one is out: the connection does not stand idle after the answer,
// and is not closed as if it did.
func TestPartialNextRequestIsNotIdle(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{received: make(chan struct{}, 2), proceed: make(chan struct{})})
	c := x.connect()
	x.send(c, testRequest)
	receive(t, x.handler.received)
	const some = 1 // which the library reads by itself while a request is out
	x.send(c, testRequest[:some])
	x.waitUntil("begun", c.hasStartedNextRequest)
	close(x.handler.proceed)
	x.readResponse(c)
	x.waitUntil("answered", func() bool { return !c.downstream.hasState(connBusy) })
	require.True(t, c.downstream.hasState(connReading))
	x.listener.conns.closeIdle(idleAll)
	x.send(c, testRequest[some:])
	x.readResponse(c)
	require.EqualValues(t, 2, x.handler.count.Load())
}

// The same where it is the first one on its connection, or one on a connection that stood idle: what is begun is not
// closed as clients are sent away.
func TestPartialRequestIsServedWhileDraining(t *testing.T) {
	for name, used := range map[string]bool{"first": false, "next": true} {
		t.Run(name, func(t *testing.T) {
			x := newCloseRace(t, 1024, &recordingHandler{})
			c := x.connect()
			if used {
				x.send(c, testRequest)
				x.readResponse(c)
				x.waitIdle(c)
			}
			half := len(testRequest) / 2
			x.send(c, testRequest[:half])
			x.waitUntil("reading", func() bool { return c.downstream.hasState(connReading) })
			x.listener.StartFinalDrain(0)
			x.listener.conns.closeIdle(idleAll)
			require.False(t, c.downstream.isMarkedToClose())
			x.send(c, testRequest[half:])
			require.True(t, x.readResponse(c).Close)
			x.expectEOF(c)
		})
	}
}

// The same where it waits for memory on this side: nothing is read of it for a while, and it is not closed.
func TestRequestWaitingForMemoryIsServedWhileDraining(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{})
	all, err := x.listener.bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 1<<20) // all of it
	require.NoError(t, err)
	c := x.connect()
	x.send(c, strings.Replace(testRequest, "GET", "POST", 1)[:len(testRequest)-1]+
		"Content-Length: 15\r\n\r\nchair 4, Monday")
	x.waitUntil("waits", func() bool {
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

// ends tells whether the connection is to be ended.
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

// A request comes while the one before is out: its client's time runs from then, not from when it is turned to. So does
// that of a third one, which is read together with the second.
func TestPipelinedRequestTimeCountsFromArrival(t *testing.T) {
	x := newCloseRace(t, 1024, &recordingHandler{received: make(chan struct{}), proceed: make(chan struct{})})
	c := x.connect()
	x.send(c, testRequest)
	receive(t, x.handler.received)
	x.send(c, testRequest+testRequest)
	x.waitUntil("begun", c.hasStartedNextRequest)
	there := time.Now()
	next := func() time.Time {
		x.handler.proceed <- struct{}{}
		x.readResponse(c)
		receive(t, x.handler.received)
		return *x.handler.arrivedAt.Load()
	}
	require.True(t, next().Before(there), "the second one's time runs from when it was turned to")
	x.send(c, testRequest)
	x.waitUntil("the fourth begun", func() bool {
		c.downstream.mu.Lock()
		defer c.downstream.mu.Unlock()
		return c.downstream.framing.headersStarted == 4
	})
	require.True(t, next().Before(there), "the third one's time runs from when another came")
	fourth := next()
	require.True(t, fourth.After(there), "the fourth one's time runs from when others came")
	require.True(t, fourth.Before(time.Now()))
	x.handler.proceed <- struct{}{}
	x.readResponse(c)
	x.waitIdle(c)
	before := time.Now()
	x.send(c, testRequest) // by itself
	receive(t, x.handler.received)
	require.True(t, x.handler.arrivedAt.Load().After(before))
	x.handler.proceed <- struct{}{}
	x.readResponse(c)
}

// A client does not end its connection after it was told that no more comes: a process that ends does not wait for it
// until the connection's time is up.
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
	receive(t, c.hooked.closed)
}

// A client that gives way was told to end its connection, and what it sent just before lies unread: the connection is
// not closed over it, which would reset it, but once it is thrown away.
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
	front := &downstreamConn{Conn: inner, rawConn: raw, state: connClosing, stateSince: since, wasEvictedIdle: true}
	rank, _, _ := front.evictionCandidacy(time.Now())
	require.Zero(t, rank)
	_, err = io.WriteString(conn, testRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).isDelivered, raceTestTimeout, time.Millisecond)
	require.False(t, front.evict(connClosing, since))
	_, err = io.ReadFull(inner, make([]byte, len(testRequest)))
	require.NoError(t, err)
	require.True(t, front.evict(connClosing, since))
}
