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
	crossingPatience = 15 * time.Second
	fewDescriptors   = 56 // five clients crowd the front socket, a fifteenth makes one of them give way
	crowd, tooMany   = 5, 16
	crossingRequest  = "GET /consult/x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 0123456789abcdef\r\nX-Time-Left-Ms: 60000\r\n\r\n"
)

// heldConn is the system's end of a client's connection. What is to happen at the first step of its closing is set in
// crosses.
type heldConn struct {
	*net.TCPConn
	reads   chan struct{} // is told that a read is held
	crosses atomic.Pointer[func()]
	front   *downstreamConn
	unread  atomic.Pointer[chan struct{}] // nothing is read of it, standing idle, until this is closed
	shut    atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *heldConn) cross() {
	if f := c.crosses.Swap(nil); f != nil {
		(*f)()
	}
}

// holdReads has what comes stay where it is from when the connection stands idle until its closing has begun.
func (c *heldConn) holdReads() {
	gate := make(chan struct{})
	c.unread.Store(&gate)
}

func (c *heldConn) letRead() {
	if gate := c.unread.Swap(nil); gate != nil {
		close(*gate)
	}
}

func (c *heldConn) Read(b []byte) (int, error) {
	if gate := c.unread.Load(); gate != nil && c.front.is(connIdle) {
		c.reads <- struct{}{}
		<-*gate
	}
	return c.TCPConn.Read(b)
}

func (c *heldConn) CloseWrite() error {
	defer c.letRead()
	c.cross()
	c.shut.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *heldConn) Close() error {
	defer c.letRead()
	c.cross()
	defer c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// heldListener hands on the connections that it accepts, held.
type heldListener struct {
	*downstreamListener
	accepted chan *downstreamConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.downstreamListener.Accept()
	if err != nil {
		return nil, err
	}
	front := c.(*downstreamConn)
	front.Conn = &heldConn{
		TCPConn: front.Conn.(*net.TCPConn), front: front, reads: make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	l.accepted <- front
	return front, nil
}

// asked is an operator that notes what it is asked, and answers when it may.
type asked struct {
	count  atomic.Int32
	sent   atomic.Pointer[time.Time] // since when the latest one's client counts its time
	answer protocol.Response
	came   chan struct{} // nil: nobody waits for one
	may    chan struct{} // nil: at once
}

func (a *asked) HandleRequest(ctx context.Context, op *protocol.Request) (protocol.Response, bool) {
	a.count.Add(1)
	a.sent.Store(&op.ArrivedAt)
	if a.came != nil {
		a.came <- struct{}{}
	}
	if a.may != nil {
		select {
		case <-a.may:
		case <-ctx.Done():
			return protocol.Response{}, false
		}
	}
	return a.answer, true
}

func (*asked) Ready() bool { return true }

// crossing is a front socket whose connections' closing is held.
type crossing struct {
	t        *testing.T
	front    *Listener
	operator *asked
	listener *heldListener
}

func newCrossing(t *testing.T, descriptors int, operator *asked, edits ...func(*Listener)) *crossing {
	t.Parallel()
	if operator.answer.Kind == 0 {
		operator.answer = busy()
	}
	f := NewListener(NewDescriptors(descriptors, func() {}),
		NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStall: time.Minute}), metrics.New(nil), operator)
	for _, edit := range edits {
		edit(f)
	}
	require.NoError(t, f.Listen(netip.MustParseAddrPort("127.0.0.1:0"), protocol.HTTP))
	x := &crossing{
		t: t, front: f, operator: operator,
		listener: &heldListener{f.listeners[0], make(chan *downstreamConn, 64)},
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = f.server.Serve(x.listener) }()
	t.Cleanup(func() {
		f.Close()
		<-served
	})
	return x
}

// client is both ends of a client's connection.
type client struct {
	*net.TCPConn
	in    *bufio.Reader
	front *downstreamConn
	held  *heldConn
}

// connect connects a client, whose machine takes little before it reads.
func (x *crossing) connect() *client {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", x.listener.Addr().String())
	require.NoError(x.t, err)
	x.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(x.t, conn.SetDeadline(time.Now().Add(crossingPatience)))
	front := waitFor(x.t, x.listener.accepted)
	return &client{TCPConn: conn.(*net.TCPConn), in: bufio.NewReader(conn), front: front, held: front.Conn.(*heldConn)}
}

// dial connects further clients, which say nothing.
func (x *crossing) dial(n int) {
	for range n {
		conn, err := net.Dial("tcp", x.listener.Addr().String())
		require.NoError(x.t, err)
		x.t.Cleanup(func() { _ = conn.Close() })
	}
}

// send sends a text, and returns when the agent's machine has all of it, or the agent has read of it.
func (x *crossing) send(c *client, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(x.t, err)
	x.until("it arrives", c.arrived)
}

// askedAndHeld asks, and returns once the connection stands idle; from then on nothing of it is read.
func (x *crossing) askedAndHeld(c *client) {
	c.held.holdReads()
	x.send(c, crossingRequest)
	waitFor(x.t, c.held.reads)
}

// answer reads a whole answer.
func (x *crossing) answer(c *client) *http.Response {
	x.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	require.NoError(x.t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(x.t, err)
	require.Equal(x.t, string(x.operator.answer.Body), string(body))
	return r
}

// ends reads the connection's end, which has to be one in good order.
func (x *crossing) ends(c *client) {
	x.t.Helper()
	_, err := c.in.ReadByte()
	require.ErrorIs(x.t, err, io.EOF)
}

// idle returns once the agent has the connection for one that stands idle.
func (x *crossing) idle(c *client) {
	x.until("idle", func() bool { return c.front.is(connIdle) })
}

func (c *downstreamConn) is(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == s
}

// crosses has a text of the client's arrive at the first step of the connection's closing.
func (x *crossing) crosses(c *client, text string) (done chan struct{}) {
	done = make(chan struct{})
	cross := func() {
		defer close(done)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		for since := time.Now(); !c.arrived() && time.Since(since) < crossingPatience; {
			time.Sleep(time.Millisecond)
		}
	}
	c.held.crosses.Store(&cross)
	return done
}

func (x *crossing) until(what string, is func() bool) {
	x.t.Helper()
	require.Eventually(x.t, is, crossingPatience, time.Millisecond, what)
}

func waitFor[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(crossingPatience):
		require.Fail(t, "it does not come")
	}
	return v
}

// arrived tells whether the agent's machine has all that was written.
func (c *client) arrived() bool {
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
func TestCloseCrossesTheNextRequest(t *testing.T) {
	long := protocol.Response{Kind: protocol.Rejected, Body: []byte(strings.Repeat("chair 4, Monday\n", 10_000))}
	for name, c := range map[string]struct {
		descriptors int
		edit        func(*Listener)
		close       func(*crossing, *client)
	}{
		"Connection: close": {1024, func(f *Listener) { f.StartFinalDrain(time.Hour) }, func(x *crossing, c *client) {
			x.send(c, crossingRequest)
		}},
		"sweep": {1024, nil, func(x *crossing, c *client) {
			x.send(c, crossingRequest)
			x.idle(c)
			x.front.StartFinalDrain(0)
		}},
		"idle for long": {1024, func(f *Listener) { f.server.IdleTimeout = time.Millisecond }, func(x *crossing, c *client) {
			x.send(c, crossingRequest)
		}},
		"stood": {fewDescriptors, nil, func(x *crossing, c *client) {
			x.askedAndHeld(c)
			x.dial(crowd)
			c.front.mu.Lock()
			c.front.stateSince = c.front.stateSince.Add(-minIdleTime)
			c.front.mu.Unlock()
			c.front.closeIfIdle()
		}},
		"evicted": {fewDescriptors, nil, func(x *crossing, c *client) {
			x.askedAndHeld(c)
			c.front.mu.Lock()
			c.front.stateSince = c.front.stateSince.Add(-time.Hour) // it is missed least
			c.front.mu.Unlock()
			x.dial(tooMany)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCrossing(t, c.descriptors, &asked{answer: long}, func(f *Listener) {
				if c.edit != nil {
					c.edit(f)
				}
			})
			client := x.connect()
			crossed := x.crosses(client, crossingRequest)
			c.close(x, client)
			waitFor(t, crossed)
			waitFor(t, client.held.closed) // nothing of the answer was taken by then but what the machine took
			x.answer(client)
			x.ends(client)
			require.EqualValues(t, 1, x.operator.count.Load(), "carried out, though it crossed the end")
			require.True(t, client.held.shut.Load(), "the client was told before the close")
		})
	}
}

// A request has come, and is not read yet, as its connection is to be closed for standing idle: it is served.
func TestCloseMeetsARequestThatHasCome(t *testing.T) {
	for name, end := range map[string]func(*crossing, *client){
		"sweep": func(x *crossing, c *client) {
			x.front.StartFinalDrain(0)
			x.until("to be ended", c.front.ends)
		},
		"evicted": func(_ *crossing, c *client) {
			_, state, since := c.front.evictionCandidacy(time.Now())
			c.front.evict(state, since)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCrossing(t, 1024, &asked{})
			c := x.connect()
			x.askedAndHeld(c)
			x.answer(c)
			x.send(c, crossingRequest)
			end(x, c)
			c.held.letRead()
			x.answer(c)
			require.EqualValues(t, 2, x.operator.count.Load())
		})
	}
}

// The second of two requests comes while the first is out, and clients are sent away: the close is announced with the
// last answer, and with no answer before one that is owed.
func TestPipelinedRequestsAreServedBeforeTheClose(t *testing.T) {
	x := newCrossing(t, 1024, &asked{came: make(chan struct{}, 2), may: make(chan struct{})})
	c := x.connect()
	x.front.StartFinalDrain(time.Hour)
	x.send(c, crossingRequest)
	waitFor(t, x.operator.came)
	x.send(c, crossingRequest)
	close(x.operator.may)
	require.False(t, x.answer(c).Close)
	require.True(t, x.answer(c).Close)
	x.ends(c)
	require.EqualValues(t, 2, x.operator.count.Load())
}

// The same where nothing of the second one is read yet: what the agent's machine has of it counts.
func TestNextRequestIsSeenUnread(t *testing.T) {
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
	_, err = io.WriteString(conn, crossingRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).arrived, crossingPatience, time.Millisecond)
	require.True(t, front.hasNextRequest())
}

// A part of the next request comes while the present one is out: the connection does not stand idle after the answer,
// and is not closed as if it did.
func TestHalfARequestIsNotTakenForIdle(t *testing.T) {
	x := newCrossing(t, 1024, &asked{came: make(chan struct{}, 2), may: make(chan struct{})})
	c := x.connect()
	x.send(c, crossingRequest)
	waitFor(t, x.operator.came)
	const some = 1 // which the library reads by itself while a request is out
	x.send(c, crossingRequest[:some])
	x.until("begun", c.nextBegun)
	close(x.operator.may)
	x.answer(c)
	x.until("answered", func() bool { return !c.front.is(connBusy) })
	require.True(t, c.front.is(connReading))
	x.front.conns.closeIdle(idleAll)
	x.send(c, crossingRequest[some:])
	x.answer(c)
	require.EqualValues(t, 2, x.operator.count.Load())
}

// The same where it is the first one on its connection, or one on a connection that stood idle: what is begun is not
// closed as clients are sent away.
func TestBegunRequestsAreNotSentAway(t *testing.T) {
	for name, used := range map[string]bool{"first": false, "next": true} {
		t.Run(name, func(t *testing.T) {
			x := newCrossing(t, 1024, &asked{})
			c := x.connect()
			if used {
				x.send(c, crossingRequest)
				x.answer(c)
				x.idle(c)
			}
			half := len(crossingRequest) / 2
			x.send(c, crossingRequest[:half])
			x.until("reading", func() bool { return c.front.is(connReading) })
			x.front.StartFinalDrain(0)
			x.front.conns.closeIdle(idleAll)
			require.False(t, c.front.ends())
			x.send(c, crossingRequest[half:])
			require.True(t, x.answer(c).Close)
			x.ends(c)
		})
	}
}

// The same where it waits for memory on this side: nothing is read of it for a while, and it is not closed.
func TestRequestThatWaitsForMemoryIsNotSentAway(t *testing.T) {
	x := newCrossing(t, 1024, &asked{})
	all, err := x.front.bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 1<<20) // all of it
	require.NoError(t, err)
	c := x.connect()
	x.send(c, strings.Replace(crossingRequest, "GET", "POST", 1)[:len(crossingRequest)-1]+
		"Content-Length: 15\r\n\r\nchair 4, Monday")
	x.until("waits", func() bool {
		c.front.mu.Lock()
		defer c.front.mu.Unlock()
		return c.front.isPaused
	})
	x.front.StartFinalDrain(0)
	x.front.conns.closeIdle(idleAll)
	require.False(t, c.front.ends())
	require.Zero(t, x.operator.count.Load())
	all.Release()
	require.True(t, x.answer(c).Close)
	require.EqualValues(t, 1, x.operator.count.Load())
	x.ends(c)
}

// ends tells whether the connection is to be ended.
func (c *downstreamConn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesUnlessInput
}

func (c *client) nextBegun() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.front.hasReadNextRequest()
}

// A request comes while the one before is out: its client's time runs from then, not from when it is turned to. So does
// that of a third one, which is read together with the second.
func TestPipelinedRequestsTimeRunsFromWhenTheyCame(t *testing.T) {
	x := newCrossing(t, 1024, &asked{came: make(chan struct{}), may: make(chan struct{})})
	c := x.connect()
	x.send(c, crossingRequest)
	waitFor(t, x.operator.came)
	x.send(c, crossingRequest+crossingRequest)
	x.until("begun", c.nextBegun)
	there := time.Now()
	next := func() time.Time {
		x.operator.may <- struct{}{}
		x.answer(c)
		waitFor(t, x.operator.came)
		return *x.operator.sent.Load()
	}
	require.True(t, next().Before(there), "the second one's time runs from when it was turned to")
	x.send(c, crossingRequest)
	x.until("the fourth begun", func() bool {
		c.front.mu.Lock()
		defer c.front.mu.Unlock()
		return c.front.framing.headersStarted == 4
	})
	require.True(t, next().Before(there), "the third one's time runs from when another came")
	fourth := next()
	require.True(t, fourth.After(there), "the fourth one's time runs from when others came")
	require.True(t, fourth.Before(time.Now()))
	x.operator.may <- struct{}{}
	x.answer(c)
	x.idle(c)
	before := time.Now()
	x.send(c, crossingRequest) // by itself
	waitFor(t, x.operator.came)
	require.True(t, x.operator.sent.Load().After(before))
	x.operator.may <- struct{}{}
	x.answer(c)
}

// A client does not end its connection after it was told that no more comes: a process that ends does not wait for it
// until the connection's time is up.
func TestTheEndDoesNotWaitForClientsThatWereTold(t *testing.T) {
	x := newCrossing(t, 1024, &asked{})
	c := x.connect()
	x.send(c, crossingRequest)
	x.answer(c)
	x.front.StartFinalDrain(time.Hour)
	c.front.mu.Lock()
	require.True(t, c.front.startClosing())
	require.NoError(t, c.front.SetReadDeadline(time.Now().Add(time.Hour)))
	c.front.mu.Unlock()
	x.ends(c)
	x.front.StartFinalDrain(0)
	waitFor(t, c.held.closed)
}

// A client that gives way was told to end its connection, and what it sent just before lies unread: the connection is
// not closed over it, which would reset it, but once it is thrown away.
func TestToldConnectionIsNotClosedOverUnreadBytes(t *testing.T) {
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
	_, err = io.WriteString(conn, crossingRequest)
	require.NoError(t, err)
	require.Eventually(t, (&client{TCPConn: conn.(*net.TCPConn)}).arrived, crossingPatience, time.Millisecond)
	require.False(t, front.evict(connClosing, since))
	_, err = io.ReadFull(inner, make([]byte, len(crossingRequest)))
	require.NoError(t, err)
	require.True(t, front.evict(connClosing, since))
}
