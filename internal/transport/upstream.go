package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/protocol"
)

var (
	// ErrStaleConnection says that a connection had ended before anything was written to it.
	ErrStaleConnection = errors.New("upstream connection had ended before it was used")
	// ErrNotWritten says that a request was not written to its end: it never ran.
	ErrNotWritten = errors.New("upstream connection ended before the request was written")
	// ErrNoDescriptor says that this agent may open no further connection, which is no fault of the upstream
	// server.
	ErrNoDescriptor = errors.New("no file descriptor is available for an upstream connection")
	// ErrClientStopped says that the rest of a streamed request did not come from its client.
	ErrClientStopped = errors.New("client did not send the rest of the request")
	// ErrInvalidResponse says that what was received can't be a response to the request. It may have run.
	ErrInvalidResponse = errors.New("upstream server sent an invalid response")
)

// UpstreamConn is a connection to an upstream server. It carries one request at a time. One goroutine waits
// on it until it ends, so that the end of an idle connection is noticed at once. RoundTrip is for one
// goroutine at a time, all other methods for any.
type UpstreamConn struct {
	conn      net.Conn
	rawConn   syscall.RawConn
	server    string // which response memory is accounted to
	bodies    *BodyLimits
	source    stickyErrorReader
	limited   io.LimitedReader // of source
	reader    *bufio.Reader
	responses chan responseEvent
	onIdleEnd func(*UpstreamConn)
	done      chan struct{} // closed when nothing is read any more
	release   func()

	mu       sync.Mutex
	current  *UpstreamRequest // in flight; nil: none
	hasEnded bool             // while no request was in flight
}

// stickyErrorReader returns a connection's first error from then on. bufio reads again after an error in the
// middle of a line, and the kernel reports a reset once, then an end.
type stickyErrorReader struct {
	conn io.Reader
	err  error
}

func (r *stickyErrorReader) Read(b []byte) (n int, err error) {
	if r.err == nil {
		n, r.err = r.conn.Read(b)
	}
	return n, r.err
}

// UpstreamRequest is a request to be written to an upstream server.
type UpstreamRequest struct {
	Head, Body []byte
	// Rest follows Body as it comes; nil: nothing does. Chunked: its length is not known.
	Rest    *bodystream.Stream
	Chunked bool
	// Streamed has the response forwarded from its first byte on.
	Streamed bool
	// IsGraphQL says that the response is one to a GraphQL request.
	IsGraphQL bool
	// OnWritten is called when the last byte has been written.
	OnWritten func()
	// OnResponseStart is called, from the goroutine of RoundTrip, when the response is longer than what is
	// buffered. The response's flow is to be closed by the callee, also if RoundTrip returns an error.
	OnResponseStart func(protocol.UpstreamResponse)

	ctx context.Context // of RoundTrip
}

// responseEvent is the start of a streamed response, or the end of a response.
type responseEvent struct {
	protocol.UpstreamResponse
	err     error
	isStart bool
}

// DialUpstream connects to an upstream server. onIdleEnd is called from another goroutine if the connection
// ends, or something is received on it, while no request is in flight.
func DialUpstream(
	ctx context.Context,
	server string,
	addr netip.AddrPort,
	timeout time.Duration,
	d *Descriptors,
	bodies *BodyLimits,
	onIdleEnd func(*UpstreamConn),
) (*UpstreamConn, error) {
	if !d.AcquireUpstream() {
		return nil, ErrNoDescriptor
	}
	// keep-alives would find nothing that the idle limit does not
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		d.ReleaseUpstream()
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(kernelBufferBytes) // the kernel may refuse it: its default holds then
	return newUpstream(conn, server, bodies, d.ReleaseUpstream, onIdleEnd)
}

// newUpstream starts the goroutine that waits on a connection; release is called once when it is closed.
func newUpstream(conn net.Conn, server string, bodies *BodyLimits, release func(),
	onIdleEnd func(*UpstreamConn),
) (*UpstreamConn, error) {
	u := &UpstreamConn{
		conn: conn, server: server, bodies: bodies, onIdleEnd: onIdleEnd, responses: make(chan responseEvent, 1),
		done: make(chan struct{}), release: sync.OnceFunc(release), source: stickyErrorReader{conn: conn},
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

// Close ends the connection, which cancels a request that is in flight on it.
func (u *UpstreamConn) Close() {
	_ = u.conn.Close() // nothing is left to do on an error
	u.release()
}

// Done is closed once the connection has ended, or something was received on it while no request was in
// flight.
func (u *UpstreamConn) Done() <-chan struct{} { return u.done }

// HasEnded reports whether the connection has ended while no request was in flight.
func (u *UpstreamConn) HasEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hasEnded
}

// RoundTrip writes a request and waits for the end of its response, or until ctx ends, which closes the
// connection. After ErrStaleConnection and ErrNotWritten the request cannot have begun to run. Unless reuse
// is true, the connection is closed on return. The response's flow is the caller's to close, unless
// OnResponseStart was called.
func (u *UpstreamConn) RoundTrip(ctx context.Context, s UpstreamRequest) (
	r protocol.UpstreamResponse, reuse bool, err error,
) {
	s.ctx = ctx
	if !u.startRequest(&s) { // what would be written from here on proves nothing
		u.Close()
		return r, false, ErrStaleConnection
	}
	stop := context.AfterFunc(ctx, u.Close)
	early, isWritten, err := u.write(&s)
	if err != nil {
		stop()
		u.Close()
		go u.discardResponse()
		return r, false, errors.Join(ErrNotWritten, err)
	}
	if !isWritten {
		stop()
		u.Close()
		return early.UpstreamResponse, false, early.err
	}
	if s.OnWritten != nil {
		s.OnWritten()
	}
	if early == nil { // the reader ends with the response or with the connection, which ctx closes
		event := <-u.responses
		early = &event
	}
	event := *early
	isWanted := func() bool { return true }
	if event.isStart {
		isWanted = event.BodyStream.OnStop(u.Close)
		s.OnResponseStart(event.UpstreamResponse)
		event = <-u.responses
	}
	// Whoever stopped it may be about to close the connection, though the response became complete just then.
	if !stop() || !isWanted() || event.err != nil || event.Close {
		u.Close()
		return event.UpstreamResponse, false, event.err
	}
	return event.UpstreamResponse, true, nil
}

// write writes a request. If a response came before it was known whether the request was written to its end,
// it is returned, and isWritten says which.
func (u *UpstreamConn) write(s *UpstreamRequest) (early *responseEvent, isWritten bool, err error) {
	if s.Rest == nil {
		bytes := net.Buffers{s.Head, s.Body}
		_, err = bytes.WriteTo(u.conn)
		return nil, true, err
	}
	defer context.AfterFunc(s.ctx, func() { s.Rest.Abort(bodystream.ErrAbandoned) })()
	wrote := make(chan error, 1)
	go func() { wrote <- writeStreamed(u.conn, s) }()
	select {
	case err := <-wrote:
		return nil, true, err
	case event := <-u.responses:
		early, isWritten := u.resolveEarlyResponse(s, event, wrote)
		return early, isWritten, nil
	}
}

// earlyResponseWait is how long after an early response the end of the writing may be reported.
const earlyResponseWait = 20 * time.Millisecond

// resolveEarlyResponse handles a response that came while its request was being written, and reports whether
// the request was written to its end, which may have been reported late. The response is not put back into
// the channel: its end may be there already, and nobody would receive either.
func (u *UpstreamConn) resolveEarlyResponse(s *UpstreamRequest, event responseEvent, wrote <-chan error) (
	early *responseEvent, isWritten bool,
) {
	timeout := time.NewTimer(earlyResponseWait)
	defer timeout.Stop()
	select {
	case err := <-wrote:
		if err == nil {
			return &event, true
		}
	case <-timeout.C:
		s.Rest.Abort(bodystream.ErrAbandoned)
		u.Close()
		if err := <-wrote; err == nil { // it may have run, whatever becomes of the response
			event.Close = true
			return &event, true
		}
	}
	if event.isStart {
		event.BodyStream.CloseRead()
		event = <-u.responses
	}
	if event.err == nil && event.Outcome == balancer.Rejected { // the one response that may come before the end
		return &event, false
	}
	if event.BodyStream != nil {
		event.BodyStream.CloseRead()
	}
	return &responseEvent{err: errors.Join(ErrNotWritten, ErrInvalidResponse, event.err)}, false
}

const (
	lineEnd   = "\r\n"
	lastChunk = "0\r\n\r\n"
)

// writeStreamed writes a request whose body is still coming.
func writeStreamed(w io.Writer, s *UpstreamRequest) error {
	if _, err := w.Write(s.Head); err != nil {
		return err
	}
	if err := writePart(w, s, s.Body); err != nil {
		return err
	}
	for {
		b, err := s.Rest.ReadBuffer()
		switch {
		case errors.Is(err, io.EOF) && s.Chunked:
			_, err = io.WriteString(w, lastChunk)
			return err
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(ErrClientStopped, err)
		}
		if err := writePart(w, s, b); err != nil {
			return err
		}
		s.Rest.Consumed(len(b))
	}
}

// writePart writes a part of a body, as a chunk if the body is chunked.
func writePart(w io.Writer, s *UpstreamRequest, b []byte) error {
	parts := net.Buffers{b}
	if s.Chunked {
		size := strconv.AppendInt(nil, int64(len(b)), 16)
		parts = net.Buffers{append(size, lineEnd...), b, []byte(lineEnd)}
	}
	_, err := parts.WriteTo(w)
	return err
}

// discardResponse receives what the reader still has for a request that was not written to its end: a server
// may answer before it has read everything, and the memory of that response has to be given back.
func (u *UpstreamConn) discardResponse() {
	event := <-u.responses
	if event.isStart {
		event.BodyStream.CloseRead()
		event = <-u.responses
	} else if event.BodyStream != nil {
		event.BodyStream.CloseRead()
	}
}

// startRequest puts a request in flight, unless the connection has ended or something was received on it:
// what came before its request, such as a duplicate of the last response, must not be taken for the response.
func (u *UpstreamConn) startRequest(s *UpstreamRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasEnded {
		var isReadable bool
		err := u.rawConn.Control(func(fd uintptr) { isReadable = hasInput(fd) })
		u.hasEnded = err != nil || isReadable
	}
	if !u.hasEnded {
		u.current = s
	}
	return !u.hasEnded
}

// hasInput reports whether a socket has something to read, including its end or an error, and leaves it
// there.
func hasInput(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// readResponses sends one response for each request, until the connection ends. What is received while no
// request is in flight ends the connection; it is not read, so that startRequest sees it too, however late
// this goroutine runs.
func (u *UpstreamConn) readResponses() {
	defer close(u.done)
	for {
		err := u.rawConn.Read(hasInput)
		u.mu.Lock()
		s := u.current
		u.hasEnded = u.hasEnded || s == nil
		u.mu.Unlock()
		if s == nil {
			u.onIdleEnd(u)
			return
		}
		var event responseEvent
		if event.err = err; err == nil {
			event.UpstreamResponse, event.err = u.readResponse(s)
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
