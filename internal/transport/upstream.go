package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
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

// Upstream is a connection to a booking server. It carries one route step at a time, and one goroutine reads
// from it all along: so the end of an idle connection is noticed when it comes.
type Upstream struct {
	conn    net.Conn
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

// DialUpstream connects, for one Exchange right after. Once a route step has been answered, ended is called,
// from another goroutine, if the connection ends while no route step is on it.
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
	u := &Upstream{conn: conn, ended: ended, replies: make(chan reply, 1), busy: true,
		release: sync.OnceFunc(d.ReleaseUpstream), limit: io.LimitedReader{R: conn}}
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
	u.mu.Lock()
	u.busy = true
	broken := u.broken
	u.mu.Unlock()
	if broken {
		u.Close()
		return r, false, ErrUnused
	}
	// Ended, or turned away at the door, before the first byte: what is written from here on proves nothing.
	select {
	case <-u.replies:
		u.Close()
		return r, false, ErrUnwritten
	default:
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

// read passes on one reply for each route step. What comes or ends at another time breaks the connection.
func (u *Upstream) read() {
	for {
		u.limit.N = maxReply
		_, err := u.in.Peek(1)
		u.mu.Lock()
		busy := u.busy
		u.broken = !busy
		u.mu.Unlock()
		if !busy {
			u.ended(u)
			return
		}
		var r reply
		if r.err = err; err == nil {
			r.Reply, r.err = protocol.ReadReply(u.in)
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
