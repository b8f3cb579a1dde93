package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunestep/internal/bodystream"
	"dunestep/internal/protocol"
)

var (
	// ErrStaleConnection means that a connection had ended before anything was written to it.
	ErrStaleConnection = errors.New("upstream connection had ended before it was used")
	// ErrNotWritten means that a request was not written completely, so that it was not executed.
	ErrNotWritten = errors.New("upstream connection ended before the request was written")
	// ErrNoDescriptor means that this agent may not open another connection, which is not the upstream server's
	// fault.
	ErrNoDescriptor = errors.New("no file descriptor is available for an upstream connection")
	// ErrClientStopped means that the client did not send the rest of a streamed request.
	ErrClientStopped = errors.New("client did not send the rest of the request")
	// ErrInvalidResponse means that the bytes received are not a response to the request, which may have been
	// executed.
	ErrInvalidResponse = errors.New("upstream server sent an invalid response")
)

// UpstreamConn is a connection to an upstream server. It carries one request at a time. A goroutine reads
// from it until it ends, so that the end of an idle connection is noticed at once. Only one goroutine at a
// time may call RoundTrip; all other methods may be called from any goroutine.
type UpstreamConn struct {
	conn      net.Conn
	rawConn   syscall.RawConn
	server    string // server to which the memory of responses is accounted
	bodies    *BodyLimits
	source    stickyErrorReader
	limited   io.LimitedReader // limits source
	reader    *bufio.Reader
	responses chan responseEvent
	onIdleEnd func(*UpstreamConn)
	done      chan struct{} // closed when the connection is not read any more
	release   func()
	copies    secondCopies
	held      *heldResponse // accessed only by the goroutine that reads; nil: none

	isWriting         atomic.Bool // a part of a streamed request is being written
	isReadingResponse atomic.Bool // a part of a response has been read, and not all of it

	mu       sync.Mutex
	current  *UpstreamRequest // request in flight; nil if there is none
	hasEnded bool             // the connection has ended while no request was in flight
}

// stickyErrorReader reads a connection, and keeps returning its first error. bufio reads again after an
// error in the middle of a line, and the kernel reports a reset only once, then the end of the stream.
type stickyErrorReader struct {
	conn net.Conn
	err  error
}

func (r *stickyErrorReader) Read(b []byte) (n int, err error) {
	if r.err == nil {
		n, r.err = readConn(r.conn, b)
	}
	return n, r.err
}

// UpstreamRequest is a request to be written to an upstream server.
type UpstreamRequest struct {
	Head, Body []byte
	// Rest streams what follows Body; nil if Body is complete. Chunked is set if the length is unknown.
	Rest    *bodystream.Stream
	Chunked bool
	// Streamed causes the response to be forwarded from its first byte on.
	Streamed bool
	// IsGraphQL reports whether it is a GraphQL request.
	IsGraphQL bool
	// MayWrite is asked right before the first byte is written. If it returns false, nothing is written, and
	// RoundTrip returns ErrStaleConnection. nil: the request may be written.
	MayWrite func() bool
	// OnWritten is called when the last byte has been written.
	OnWritten func()
	// OnResponseHead is called from the goroutine that reads the connection when the head of a response was
	// read whose body belongs to the client. nil: not called.
	OnResponseHead func(ResponseHead)
	// OnBodyAwaited is called from the same goroutine, at most once a response, when more of that body has to be
	// waited for. nil: not called.
	OnBodyAwaited func()
	// OnSetAside is called from the same goroutine when a response that was read is, or may be, a second copy of
	// the one before: none has begun. nil: not called.
	OnSetAside func()
	// OnBodyBegun is called from the same goroutine when the first bytes of that body were read. nil: not
	// called.
	OnBodyBegun func()
	// OnResponseStart is called from the goroutine of RoundTrip when the response is not buffered to its end,
	// but streamed. It must have the response's BodyStream closed, also if RoundTrip returns an error.
	OnResponseStart func(protocol.UpstreamResponse)

	ctx     context.Context // context of RoundTrip
	begunAt time.Time       // when the connection was taken for it, right before its first byte is written
}

// ResponseHead is what the head of a response tells of its body.
type ResponseHead struct {
	Length  int64              // bytes; negative if not announced
	IsShort bool               // the body is known to be short, and is buffered to its end
	Body    *bodystream.Stream // for its progress; it belongs to the response
	// Start begins to stream the response now. It has no effect once the response was started or has ended, and
	// must not be called for a short one.
	Start func()
}

// responseEvent is the start of a streamed response, or the end of a response.
type responseEvent struct {
	protocol.UpstreamResponse
	err     error
	isStart bool
}

// dialLog logs faults of this machine.
var dialLog rateLimitedLog

// DialUpstream connects to an upstream server. times are shared by all connections to it. onIdleEnd is called
// from another goroutine if the connection ends, or receives something, while no request is in flight.
func DialUpstream(
	ctx context.Context,
	server string,
	addr netip.AddrPort,
	timeout time.Duration,
	d *Descriptors,
	bodies *BodyLimits,
	times *ResponseTimes,
	onIdleEnd func(*UpstreamConn),
) (*UpstreamConn, error) {
	if !d.AcquireUpstream() {
		return nil, ErrNoDescriptor
	}
	// keep-alives would detect nothing that the idle timeout does not
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		d.ReleaseUpstream()
		if IsLocalFault(err) {
			dialLog.warn("connecting failed for want of something on this machine", "server", server, "error", err)
		}
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(kernelBufferBytes) // if the kernel refuses it, its default applies
	return newUpstream(conn, server, bodies, times, d.ReleaseUpstream, onIdleEnd)
}

// newUpstream starts the goroutine that reads a connection; release is called once, when it is closed.
func newUpstream(conn net.Conn, server string, bodies *BodyLimits, times *ResponseTimes, release func(),
	onIdleEnd func(*UpstreamConn),
) (*UpstreamConn, error) {
	u := &UpstreamConn{
		conn: conn, server: server, bodies: bodies, onIdleEnd: onIdleEnd, responses: make(chan responseEvent, 1),
		done: make(chan struct{}), release: sync.OnceFunc(release), source: stickyErrorReader{conn: conn},
		copies: secondCopies{times: times},
	}
	u.limited.R = &u.source
	var err error
	if u.rawConn, err = conn.(syscall.Conn).SyscallConn(); err != nil {
		u.Close()
		return nil, err
	}
	u.reader = bufio.NewReader(&u.limited)
	go u.readResponses()
	return u, nil
}

// TimeSinceData returns the time since the latest data of the connection arrived, whenever it was read; zero
// where the system does not tell.
func (u *UpstreamConn) TimeSinceData() (age time.Duration) {
	err := u.rawConn.Control(func(fd uintptr) { age, _ = timeSinceData(fd) })
	if err != nil { // it is closed
		return 0
	}
	return age
}

// HasUnread reports whether the system has something of the connection that was not read, such as bytes or
// its end.
func (u *UpstreamConn) HasUnread() (has bool) {
	err := u.rawConn.Control(func(fd uintptr) { has = hasInput(fd) })
	return err == nil && has
}

// HasResponseBytes reports whether a part of a response has arrived, read or not.
func (u *UpstreamConn) HasResponseBytes() bool { return u.isReadingResponse.Load() || u.HasUnread() }

// Close ends the connection, which cancels a request that is in flight on it.
func (u *UpstreamConn) Close() {
	_ = u.conn.Close() // nothing is left to do on an error
	u.release()
}

// Done returns a channel that is closed once the connection has ended, or has received something while no
// request was in flight.
func (u *UpstreamConn) Done() <-chan struct{} { return u.done }

// HasEnded reports whether the connection has ended while no request was in flight.
func (u *UpstreamConn) HasEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasEnded
}

// RoundTrip writes a request and waits for the end of its response, or until ctx ends, which closes the
// connection. After ErrStaleConnection and ErrNotWritten the request cannot have been executed. Unless
// reuse is true, the connection is closed on return. The caller must close the response's BodyStream,
// unless OnResponseStart was called.
func (u *UpstreamConn) RoundTrip(ctx context.Context, request UpstreamRequest) (
	response protocol.UpstreamResponse, reuse bool, err error,
) {
	request.ctx = ctx
	if !u.startRequest(&request) { // a write on an ended connection may succeed and proves nothing
		u.Close()
		return response, false, ErrStaleConnection
	}
	stop := context.AfterFunc(ctx, u.Close)
	if request.MayWrite != nil && !request.MayWrite() {
		stop()
		u.abandonRequest()
		return response, false, ErrStaleConnection
	}
	early, isWritten, err := u.write(&request)
	if err != nil {
		stop()
		u.Close()
		go u.discardResponse()
		return response, false, errors.Join(ErrNotWritten, err)
	}
	if !isWritten {
		stop()
		u.Close()
		return early.UpstreamResponse, false, early.err
	}
	if request.OnWritten != nil {
		request.OnWritten()
	}
	if early == nil { // sent at the end of the response or of the connection, which ctx closes
		event := <-u.responses
		early = &event
	}
	event := *early
	isWanted := func() bool { return true }
	if event.isStart {
		isWanted = event.BodyStream.OnStop(u.Close)
		request.OnResponseStart(event.UpstreamResponse)
		event = <-u.responses
	}
	// A stop may be about to close the connection, even if the response has just become complete.
	if !stop() || !isWanted() || event.err != nil || event.Close {
		u.Close()
		return event.UpstreamResponse, false, event.err
	}
	return event.UpstreamResponse, true, nil
}

// abandonRequest ends the connection instead of writing the request in flight: what arrived meanwhile could
// be taken for a response.
func (u *UpstreamConn) abandonRequest() {
	u.mu.Lock()
	u.current, u.hasEnded = nil, true
	u.mu.Unlock()
	u.Close()
}

// write writes a request. If a response arrived before it was known whether the request was written
// completely, it returns that response, and isWritten reports whether the request was.
func (u *UpstreamConn) write(request *UpstreamRequest) (early *responseEvent, isWritten bool, err error) {
	if request.Rest == nil {
		return nil, true, connWriter{u.conn}.writeBuffers(net.Buffers{request.Head, request.Body})
	}
	defer context.AfterFunc(request.ctx, func() { request.Rest.Abort(bodystream.ErrAbandoned) })()
	w := newStreamedWrite(u, request)
	go w.run()
	select {
	case err := <-w.result:
		return nil, true, err
	case event := <-u.responses:
		early, isWritten := w.resolveEarlyResponse(event)
		return early, isWritten, nil
	}
}

// discardResponse receives the response to a request that was not written completely: a server may respond
// before it has read everything, and the memory of that response must be released.
func (u *UpstreamConn) discardResponse() {
	event := <-u.responses
	if event.isStart {
		event.BodyStream.CloseRead()
		event = <-u.responses
	} else if event.BodyStream != nil {
		event.BodyStream.CloseRead()
	}
}

// startRequest makes a request the one in flight, and returns false if the connection has ended or received
// something. Bytes that arrive before the request, such as a duplicate of the last response, must not be
// mistaken for the response.
func (u *UpstreamConn) startRequest(request *UpstreamRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasEnded {
		var isReadable bool
		err := u.rawConn.Control(func(fd uintptr) { isReadable = hasInput(fd) })
		u.hasEnded = err != nil || isReadable
	}
	if !u.hasEnded {
		request.begunAt = time.Now()
		u.current = request
	}
	return !u.hasEnded
}

// readResponses sends one response for each request to u.responses, until the connection ends. Input while no
// request is in flight ends the connection; it is not read, so that startRequest sees it too, however late
// this goroutine runs.
func (u *UpstreamConn) readResponses() {
	defer close(u.done)
	for {
		err := u.rawConn.Read(hasInput)
		u.mu.Lock()
		request := u.current
		u.hasEnded = u.hasEnded || request == nil
		u.mu.Unlock()
		if request == nil {
			u.onIdleEnd(u)
			return
		}
		var event responseEvent
		if event.err = err; err == nil {
			event.UpstreamResponse, event.err = u.readOwnResponse(request)
		}
		u.mu.Lock()
		u.current = nil
		u.mu.Unlock()
		u.responses <- event
		if event.err != nil || event.Close {
			return
		}
	}
}
