package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/protocol"
)

// ErrUnused means that a connection had ended before anything was written to it.
var ErrUnused = errors.New("the connection had ended before it was used")

// ErrUnwritten means that a route step was not written whole: it never ran.
var ErrUnwritten = errors.New("the connection broke before the last byte was written")

var errNoDescriptor = errors.New("no descriptor is free for a further connection")

// maxReply bounds what is read for one answer, its head included.
const maxReply = protocol.MaxBody + 16<<10

// ErrSpoilt means that what came back cannot be an answer to the route step. It has run, or may have.
var ErrSpoilt = errors.New("the answer is spoilt")

// Upstream is a connection to a booking server. It carries one route step at a time, and one goroutine
// waits on it all along: so the end of an idle connection is noticed when it comes.
type Upstream struct {
	conn    net.Conn
	raw     syscall.RawConn
	limit   io.LimitedReader
	in      *bufio.Reader
	replies chan reply
	ended   func(*Upstream)
	release func()

	mu     sync.Mutex
	busy   bool // a route step is on it
	broken bool
}

type reply struct {
	protocol.Reply
	err error
}

// DialUpstream connects. Ended is called, from another goroutine, if the connection ends while no route step
// is on it.
func DialUpstream(ctx context.Context, addr netip.AddrPort, wait time.Duration, d *Descriptors,
	ended func(*Upstream)) (*Upstream, error) {
	if !d.TryUpstream() {
		return nil, errNoDescriptor
	}
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1} // it would not notice what the idle limit ends anyway
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		d.ReleaseUpstream()
		return nil, err
	}
	u := &Upstream{conn: conn, ended: ended, replies: make(chan reply, 1),
		release: sync.OnceFunc(d.ReleaseUpstream), limit: io.LimitedReader{R: conn}}
	if u.raw, err = conn.(syscall.Conn).SyscallConn(); err != nil {
		u.Close()
		return nil, err
	}
	u.in = bufio.NewReader(&u.limit)
	go u.read()
	return u, nil
}

// Close ends the connection; a booking server takes that as giving the route step up.
func (u *Upstream) Close() {
	_ = u.conn.Close()
	u.release()
}

// Ended tells whether the connection has ended while no route step was on it.
func (u *Upstream) Ended() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.broken
}

// Exchange writes a route step and waits for the whole answer, or until ctx ends, which closes the
// connection. After ErrUnused and ErrUnwritten the booking server cannot have begun it. Unless reuse is
// true, the connection is closed on return.
func (u *Upstream) Exchange(ctx context.Context, step []byte) (r protocol.Reply, reuse bool, err error) {
	if !u.begin() { // what is written from here on proves nothing
		u.Close()
		return r, false, ErrUnused
	}
	stop := context.AfterFunc(ctx, u.Close)
	if _, err := u.conn.Write(step); err != nil {
		stop()
		u.Close()
		return r, false, errors.Join(ErrUnwritten, err)
	}
	got := <-u.replies // the reader ends with the answer or with the connection, which ctx closes
	if !stop() || got.err != nil || got.Close {
		u.Close()
		return got.Reply, false, got.err
	}
	return got.Reply, true, nil
}

// begin makes the connection busy, unless it has ended or something has come on it. Guards against taking for
// an answer what came before its route step was written: a second copy of the last answer, say, or noise.
func (u *Upstream) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.broken {
		var something bool
		err := u.raw.Control(func(fd uintptr) { something = readable(fd) })
		u.broken = err != nil || something
	}
	u.busy = !u.broken
	return u.busy
}

// readable tells whether the socket has something to read, its end or an error included, and leaves it there.
func readable(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// read passes on one reply for each route step. What comes or ends at another time breaks the connection; it
// is not read, so that begin sees it too, however late this goroutine runs.
func (u *Upstream) read() {
	for {
		err := u.raw.Read(readable)
		u.mu.Lock()
		busy := u.busy
		u.broken = u.broken || !busy
		u.mu.Unlock()
		if !busy {
			u.ended(u)
			return
		}
		var r reply
		if r.err = err; err == nil {
			r.Reply, r.err = u.readReply()
		}
		u.mu.Lock()
		u.busy = false
		u.mu.Unlock()
		u.replies <- r
		if r.err != nil || r.Close {
			return
		}
	}
}

// readReply reads an answer, and tells one that broke off with its connection from one that is spoilt. The
// booking server's bytes are bounded as a whole: head, announcements and body.
func (u *Upstream) readReply() (protocol.Reply, error) {
	u.limit.N = maxReply
	r, err := protocol.ReadReply(u.in)
	var broken net.Error
	switch {
	case err == nil && u.limit.N <= 0 && u.in.Buffered() == 0: // what ends at the limit may not have ended
		return protocol.Reply{}, ErrSpoilt
	case err == nil:
		// More than the answer: the next route step must not take it for its own.
		r.Close = r.Close || u.in.Buffered() > 0
		return r, nil
	case u.limit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &broken)):
		return protocol.Reply{}, err
	}
	return protocol.Reply{}, errors.Join(ErrSpoilt, err)
}
