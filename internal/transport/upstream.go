package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
)

// ErrStaleConnection means that a connection had ended before anything was written to it.
var ErrStaleConnection = errors.New("the connection had ended before it was used")

// ErrNotWritten means that a route step was not written whole: it never ran.
var ErrNotWritten = errors.New("the connection broke before the last byte was written")

// ErrNoDescriptor means that this agent may open no further connection: no fault of the booking server.
var ErrNoDescriptor = errors.New("no file descriptor is available for a further connection")

// ErrClientStopped means that the rest of a route step did not come from its client.
var ErrClientStopped = errors.New("the rest of the operation did not come")

// maxReply bounds what is read for one answer beside the body of a 200.
const maxReply = 80 << 10

// ErrInvalidResponse means that what came back cannot be an answer to the route step. It has run, or may have.
var ErrInvalidResponse = errors.New("the answer is spoilt")

// UpstreamConn is a connection to a booking server. It carries one route step at a time, and one goroutine
// waits on it all along: so the end of an idle connection is noticed when it comes.
type UpstreamConn struct {
	conn    net.Conn
	raw     syscall.RawConn
	server  string // whose connection it is, for the memory that its answers hold
	bodies  *BodyLimits
	source  source
	limit   io.LimitedReader // of the source
	in      *bufio.Reader
	replies chan reply
	ended   func(*UpstreamConn)
	over    chan struct{} // closed when nothing is read any more
	release func()

	mu     sync.Mutex
	step   *UpstreamRequest // that is on it; nil: none
	broken bool
}

// source reads a connection, whose first error stands. Guards against whoever passes over an error and asks
// again: bufio does where a line is cut, and the system tells of a reset once, and then of an end.
type source struct {
	conn io.Reader
	err  error
}

func (s *source) Read(b []byte) (n int, err error) {
	if s.err == nil {
		n, s.err = s.conn.Read(b)
	}
	return n, s.err
}

// UpstreamRequest is a route step to be carried out.
type UpstreamRequest struct {
	Head, Body []byte
	// Rest is what follows Body as it comes; nil: nothing does. Chunked: its length is not told.
	Rest    *bodystream.Flow
	Chunked bool
	// Streamed has the answer passed on from its first byte on.
	Streamed bool
	// IsGraphQL is the operation's.
	IsGraphQL bool
	// OnWritten is called when its last byte has been written.
	OnWritten func()
	// OnResponseStart is called, from the goroutine of RoundTrip, when the answer is longer than what is held whole. The
	// reply's flow is to be closed by whoever takes it, also where RoundTrip returns an error.
	OnResponseStart func(protocol.UpstreamResponse)

	ctx context.Context
}

type reply struct {
	protocol.UpstreamResponse
	err   error
	begun bool // and not yet ended
}

// DialUpstream connects to a server. HasEnded is called, from another goroutine, if the connection ends while no
// route step is on it.
func DialUpstream(ctx context.Context, server string, addr netip.AddrPort, wait time.Duration, d *Descriptors,
	bodies *BodyLimits, ended func(*UpstreamConn),
) (*UpstreamConn, error) {
	if !d.AcquireUpstream() {
		return nil, ErrNoDescriptor
	}
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1} // it would not notice what the idle limit ends anyway
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		d.ReleaseUpstream()
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(kernelBuffer)
	return newUpstream(conn, server, bodies, d.ReleaseUpstream, ended)
}

// newUpstream begins to wait on a connection; release is called once when it is closed.
func newUpstream(conn net.Conn, server string, bodies *BodyLimits, release func(),
	ended func(*UpstreamConn),
) (*UpstreamConn, error) {
	u := &UpstreamConn{
		conn: conn, server: server, bodies: bodies, ended: ended, replies: make(chan reply, 1),
		over: make(chan struct{}), release: sync.OnceFunc(release), source: source{conn: conn},
	}
	u.limit.R = &u.source
	var err error
	if u.raw, err = conn.(syscall.Conn).SyscallConn(); err != nil {
		u.Close()
		return nil, err
	}
	u.in = bufio.NewReader(&u.limit)
	go u.read()
	return u, nil
}

// Close ends the connection; a booking server takes that as giving the route step up.
func (u *UpstreamConn) Close() {
	_ = u.conn.Close()
	u.release()
}

// Done is closed once the connection has ended, or something has come on it while no route step was.
func (u *UpstreamConn) Done() <-chan struct{} { return u.over }

// HasEnded tells whether the connection has ended while no route step was on it.
func (u *UpstreamConn) HasEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.broken
}

// RoundTrip writes a route step and waits for the end of its answer, or until ctx ends, which closes the
// connection. After ErrStaleConnection and ErrNotWritten the booking server cannot have begun it. Unless reuse is
// true, the connection is closed on return. The reply's flow is the caller's to close, unless it has begun.
func (u *UpstreamConn) RoundTrip(ctx context.Context, s UpstreamRequest) (r protocol.UpstreamResponse, reuse bool, err error) {
	s.ctx = ctx
	if !u.begin(&s) { // what is written from here on proves nothing
		u.Close()
		return r, false, ErrStaleConnection
	}
	stop := context.AfterFunc(ctx, u.Close)
	first, whole, err := u.write(&s)
	if err != nil {
		stop()
		u.Close()
		go u.throwAway()
		return r, false, errors.Join(ErrNotWritten, err)
	}
	if !whole {
		stop()
		u.Close()
		return first.UpstreamResponse, false, first.err
	}
	if s.OnWritten != nil {
		s.OnWritten()
	}
	if first == nil { // the reader ends with the answer or with the connection, which ctx closes
		got := <-u.replies
		first = &got
	}
	got := *first
	wanted := func() bool { return true }
	if got.begun {
		wanted = got.Flow.OnStop(u.Close)
		s.OnResponseStart(got.UpstreamResponse)
		got = <-u.replies
	}
	// Who stopped it may be about to close the connection, though the answer came whole just then.
	if !stop() || !wanted() || got.err != nil || got.Close {
		u.Close()
		return got.UpstreamResponse, false, got.err
	}
	return got.UpstreamResponse, true, nil
}

// write writes a route step. Got is an answer that came before it was known that the step was written whole:
// where it was not, the rest of it is not wanted.
func (u *UpstreamConn) write(s *UpstreamRequest) (got *reply, whole bool, err error) {
	if s.Rest == nil {
		bytes := net.Buffers{s.Head, s.Body}
		_, err = bytes.WriteTo(u.conn)
		return nil, true, err
	}
	defer context.AfterFunc(s.ctx, func() { s.Rest.Cut(bodystream.ErrLeft) })()
	wrote := make(chan error, 1)
	go func() { wrote <- writeRest(u.conn, s) }()
	select {
	case err := <-wrote:
		return nil, true, err
	case got := <-u.replies:
		first, whole := u.early(s, got, wrote)
		return first, whole, nil
	}
}

// earlyWait is how long the end of the writing may take to be told, where the answer came first.
const earlyWait = 20 * time.Millisecond

// early takes an answer that came while a route step was being written, and tells whether that was written
// whole all the same, which was told late. The answer is not put back among the replies: its end may stand
// there already, and nobody would ever take either.
func (u *UpstreamConn) early(s *UpstreamRequest, got reply, wrote <-chan error) (first *reply, whole bool) {
	after := time.NewTimer(earlyWait)
	defer after.Stop()
	select {
	case err := <-wrote:
		if err == nil {
			return &got, true
		}
	case <-after.C:
		s.Rest.Cut(bodystream.ErrLeft)
		u.Close()
		if err := <-wrote; err == nil { // it may have run, whatever becomes of the answer
			got.Close = true
			return &got, true
		}
	}
	if got.begun {
		got.Flow.Close()
		got = <-u.replies
	}
	if got.err == nil && got.Outcome == balancer.Rejected { // the one thing that may come before the end
		return &got, false
	}
	if got.Flow != nil {
		got.Flow.Close()
	}
	return &reply{err: errors.Join(ErrNotWritten, ErrInvalidResponse, got.err)}, false
}

// writeRest writes a route step whose body is still coming.
func writeRest(w io.Writer, s *UpstreamRequest) error {
	write := func(b []byte) error {
		parts := net.Buffers{b}
		if s.Chunked {
			parts = net.Buffers{strconv.AppendInt(nil, int64(len(b)), 16), crlf, b, crlf}
		}
		_, err := parts.WriteTo(w)
		return err
	}
	if _, err := w.Write(s.Head); err != nil {
		return err
	}
	if err := write(s.Body); err != nil {
		return err
	}
	for {
		b, err := s.Rest.Next()
		switch {
		case errors.Is(err, io.EOF) && s.Chunked:
			_, err = w.Write(lastChunk)
			return err
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(ErrClientStopped, err)
		}
		if err := write(b); err != nil {
			return err
		}
		s.Rest.Took(len(b))
	}
}

var crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")

// throwAway takes what the reader still has of a route step that was not written whole. Guards against a
// server that answers before it has read all: nobody would take that answer, which would hold its memory for
// good.
func (u *UpstreamConn) throwAway() {
	got := <-u.replies
	if got.begun {
		got.Flow.Close()
		got = <-u.replies
	} else if got.Flow != nil {
		got.Flow.Close()
	}
}

// begin makes the connection busy, unless it has ended or something has come on it. Guards against taking for
// an answer what came before its route step was written: a second copy of the last answer, say, or noise.
func (u *UpstreamConn) begin(step *UpstreamRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.broken {
		var something bool
		err := u.raw.Control(func(fd uintptr) { something = readable(fd) })
		u.broken = err != nil || something
	}
	if !u.broken {
		u.step = step
	}
	return !u.broken
}

// readable tells whether the socket has something to read, its end or an error included, and leaves it there.
func readable(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// read passes on one reply for each route step. What comes or ends at another time breaks the connection; it
// is not read, so that begin sees it too, however late this goroutine runs.
func (u *UpstreamConn) read() {
	defer close(u.over)
	for {
		err := u.raw.Read(readable)
		u.mu.Lock()
		step := u.step
		u.broken = u.broken || step == nil
		u.mu.Unlock()
		if step == nil {
			u.ended(u)
			return
		}
		var r reply
		if r.err = err; err == nil {
			r.UpstreamResponse, r.err = u.readReply(step)
		}
		u.mu.Lock()
		u.step = nil
		u.mu.Unlock()
		u.replies <- r
		if r.err != nil || r.Close {
			return
		}
	}
}

// readReply reads an answer, and tells one that broke off with its connection from one that is spoilt.
func (u *UpstreamConn) readReply(step *UpstreamRequest) (protocol.UpstreamResponse, error) {
	u.limit.N = maxReply
	rules := u.bodies.Rules()
	r, body, err := protocol.ReadUpstreamResponse(u.in, rules.MaxBytes, step.IsGraphQL)
	if err == nil && u.limit.N <= 0 && u.in.Buffered() == 0 { // what ends at the limit may not have ended
		err = ErrInvalidResponse
	}
	if err == nil && body.Reader != nil {
		u.limit.N = math.MaxInt64 // the body's bytes are counted themselves
		err = u.takeBody(step, &r, body, rules)
	}
	if err != nil {
		return protocol.UpstreamResponse{}, u.reason(err)
	}
	// More than the answer: the next route step must not take it for its own.
	r.Close = r.Close || u.in.Buffered() > 0
	return r, nil
}

// reason tells what broke off with its connection, or was not wanted, from what is spoilt.
func (u *UpstreamConn) reason(err error) error {
	switch {
	case errors.Is(err, bytebudget.ErrFull), errors.Is(err, bodystream.ErrLeft):
		return err
	case u.limit.N > 0 && u.source.err != nil:
		return err
	}
	return errors.Join(ErrInvalidResponse, err)
}

// takeBody reads the body of an answer to its end, in memory that it waits for first. What comes in time is
// held until the body is whole; when it is longer than what may be held so, or takes longer and is not known
// to be short, the answer begins.
func (u *UpstreamConn) takeBody(step *UpstreamRequest, r *protocol.UpstreamResponse, body protocol.UnreadBody, rules BodyRules) error {
	least, most := u.bodies.window(body.Length, rules)
	asked := time.Now()
	grant, err := u.bodies.Memory.Take(step.ctx, bytebudget.Holder{Name: u.server}, least)
	if err != nil {
		return err
	}
	f := bodystream.New(body.Length, grant, most)
	f.HeldUp(time.Since(asked))
	r.Flow = f
	b := beginning{begin: func() {
		f.Begun()
		u.replies <- reply{UpstreamResponse: protocol.UpstreamResponse{
			Outcome: r.Outcome, ContentType: r.ContentType, Status: r.Status,
			Flow: f,
		}, begun: true}
	}}
	short := body.Length >= 0 && body.Length <= rules.BufferedBytes
	for came := int64(0); err == nil && came != body.Length; {
		var room []byte
		if room, err = f.Room(); err != nil { // only after it has begun
			break
		}
		var n int
		n, err = body.Read(room[:min(int64(len(room)), rules.MaxBytes+1-came)])
		if came += int64(n); came > rules.MaxBytes { // also where it has ended just there
			err = protocol.ErrResponseTooLong
			break
		}
		f.Came(n)
		switch {
		case err != nil || came == body.Length:
		case step.Streamed || came > rules.BufferedBytes:
			b.now()
		case !short:
			b.within(rules.MaxBuffering)
		}
	}
	begun := b.end()
	if err == nil || err == io.EOF {
		f.End(io.EOF)
		return nil
	}
	if f.Stopped() { // after it has begun, nobody wants the rest
		f.End(err)
		return err
	}
	f.End(u.reason(err))
	if !begun {
		f.Close()
	}
	return err
}

// beginning is when an answer is passed on as it comes: once, and not after its end. Guards against the first
// bytes of a long answer waiting for others where its server writes in small pieces: they are what its client
// times.
type beginning struct {
	begin func()

	mu    sync.Mutex
	begun bool
	ended bool
	timer *time.Timer
}

// now has the answer begin.
func (b *beginning) now() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun && !b.ended {
		b.begun = true
		b.begin()
	}
}

// within has it begin that long after its first bytes.
func (b *beginning) within(hold time.Duration) {
	if b.timer == nil {
		b.timer = time.AfterFunc(hold, b.now)
	}
}

// end tells whether the answer has begun; from now on it will not.
func (b *beginning) end() (begun bool) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return b.begun
}
