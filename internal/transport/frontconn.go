package transport

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/protocol"
)

const (
	// requestWait is how long a client has for its request's last byte: for the first one on a connection from
	// connecting on, since who connects and says nothing is owed a close by then, else from its first byte on.
	requestWait = 2300 * time.Millisecond
	// idleBefore is how long a connection without an open request stays open at the least.
	idleBefore = 2 * time.Second
	// silentBefore is the same where descriptors are short and nothing was ever said on it: a client that means
	// to ask does so right after connecting.
	silentBefore = 150 * time.Millisecond
	// toldBefore is how long a client that gives way has to end its connection once it was told to, where
	// another waits for the descriptor.
	toldBefore = 20 * time.Millisecond
	// stuckBefore is the same for a request that has begun and does not get on.
	stuckBefore = time.Second
	// lingerWait is how long what a client still sends is read and thrown away once it was told that no more
	// comes.
	lingerWait = time.Second
)

// connState is what a client's connection is at.
type connState uint8

const (
	connSilent  connState = iota // nothing came yet
	connReading                  // a request is coming
	connBusy                     // an operation is out, or its answer is being written
	connIdle                     // answered
	connEnding                   // its client was told that no more comes; what it sends is thrown away
	connClosed
)

// downstreamConn is a client's connection: it knows what it is at, and how the requests on it are framed.
type downstreamConn struct {
	net.Conn
	front  *downstreamConns
	forms  []protocol.Format // in which requests may come on it
	opened time.Time
	raw    syscall.RawConn

	mu      sync.Mutex
	state   connState
	since   time.Time // of the state
	inBody  bool      // of connReading: the head has come
	came    time.Time // the latest bytes; of those that a Read found there, the earliest moment
	behind  bool      // something came before it was turned to, and the machine may have more of it
	emptied time.Time // of behind: when the machine had no more
	held    bool      // nothing is read: the request waits for memory on this side
	resumed time.Time // since when it is read again
	gentle  bool      // to be ended unless something has come
	cut     bool      // what is left of the present body was to be waited for no more
	hasty   bool      // Close does not wait for the client's end
	gaveWay bool      // it was evicted as nothing was open on it
	handled int       // requests that have been turned to
	framing framing
	// standing looks whether the connection has stood idle for long enough to be closed. It runs on while a
	// request is out: to stop it and to begin anew with each would cost more than to look in vain.
	standing *time.Timer
}

// Read follows the framing of what comes. A connection whose client was told that no more comes gives nothing
// any more: a request that crosses that was never read, and its client sends it again.
func (c *downstreamConn) Read(b []byte) (int, error) {
	waited := c.waits()
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && (c.cutInVain() || !c.endsGently()) {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case connClosed, connEnding:
		return 0, net.ErrClosed
	case connSilent, connIdle:
		c.enter(connReading)
	}
	c.arrived(waited, n < len(b))
	c.framing.follow(b[:n], c.came)
	return n, err
}

// waits tells whether something that came before it was turned to waits to be read.
func (c *downstreamConn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behind && c.hasInput()
}

// arrived notes when what was read has come: now, or, where it waited to be read, since all before it was
// read; mu is held.
func (c *downstreamConn) arrived(waited, all bool) {
	c.came = time.Now()
	now := c.came
	if waited {
		c.came = c.emptied
	} else {
		c.behind = false
	}
	if all {
		c.emptied = now
	}
}

// enter changes the state; mu is held.
func (c *downstreamConn) enter(s connState) {
	if c.state != connClosed && c.state != connEnding {
		c.state, c.since, c.inBody = s, time.Now(), false
	}
}

// begin tells that a request's head was read, until when its last byte must come where it comes no quicker
// than it must, and how its end is told.
func (c *downstreamConn) begin() (until time.Time, framed framed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
	c.handled++
	until = c.since.Add(requestWait)
	if first := c.opened.Add(requestWait); c.framing.heads <= 1 && first.Before(until) {
		until = first
	}
	return until, c.framing.framed
}

// hold tells that nothing is read for now, or that it goes on. Guards against giving up a request that does
// not get on because this side does not take it. When the last bytes came is as before: the client's time
// runs from there.
func (c *downstreamConn) hold(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held = on; !on {
		c.resumed = time.Now()
	}
}

// stuck tells whether a request has begun and does not get on, through its client's fault; mu is held.
func (c *downstreamConn) stuck(now time.Time) bool {
	if c.state != connReading || c.held || now.Sub(c.since) < stuckBefore {
		return false
	}
	return !c.inBody || now.Sub(c.came) >= stuckBefore && now.Sub(c.resumed) >= stuckBefore
}

// began is when the present request began to come.
func (c *downstreamConn) began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// cutBody has nobody wait for what is left of a body, until restore.
func (c *downstreamConn) cutBody() {
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now())
}

// restore tells that the answer was written. From then on a read's time is the library's matter again.
func (c *downstreamConn) restore() {
	c.mu.Lock()
	c.cut = false
	c.mu.Unlock()
}

// cutInVain tells, where a Read's time is up, whether that was meant for a body that has come whole since.
// Guards against a long answer that is cut off by the end of its request's body: once that is read the
// library reads on, to notice a client that leaves, and takes this Read's time for one that has.
func (c *downstreamConn) cutInVain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut || c.gentle || c.framing.framed != framedByLength || c.framing.body > 0 {
		return false
	}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// taken tells that a request came whole, and when its last bytes came: from then on its client counts its
// time.
func (c *downstreamConn) taken() (began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	began = c.came
	if len(c.framing.ends) > 0 {
		began = c.framing.ends[0]
	}
	c.enter(connBusy)
	return began
}

// givesWay tells whether the connection is to be closed after its answer. Guards against clients that ask
// once and keep their connection: where they come in numbers, there is no time to let each stand idle first.
// Clients that have asked again keep theirs for longer.
func (c *downstreamConn) givesWay() bool {
	crowded, pressing := c.front.descriptors.downstreamPressure()
	c.mu.Lock()
	defer c.mu.Unlock()
	return pressing || crowded && c.framing.heads <= 1
}

// nextCame tells whether something of the request after the present one has come. Guards against a close
// after an answer that takes a pipelined request along.
func (c *downstreamConn) nextCame() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextRead() || c.framing.body == 0 && c.hasInput()
}

// nextRead tells whether something of the request after the present one was read; mu is held.
func (c *downstreamConn) nextRead() bool { return c.framing.heads > c.handled }

// hasInput tells whether the machine has something from the client that was not read, its end included.
func (c *downstreamConn) hasInput() (has bool) {
	err := c.raw.Control(func(fd uintptr) { has = readable(fd) })
	return err == nil && has
}

// idle tells that an answer was written.
func (c *downstreamConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.framing.ends) > 0 {
		c.framing.ends = append(c.framing.ends[:0], c.framing.ends[1:]...)
	}
	if c.nextRead() {
		c.behind, c.emptied = true, c.came
		c.enter(connReading)
		return
	}
	c.enter(connIdle)
	if c.state != connIdle {
		return
	}
	if c.standing == nil {
		c.standing = time.AfterFunc(idleBefore, c.stood)
	} else {
		c.standing.Reset(idleBefore)
	}
}

// stood closes the connection if it has stood idle for long enough and clients crowd the front socket.
func (c *downstreamConn) stood() {
	c.mu.Lock()
	since, longEnough := c.since, c.state == connIdle && time.Since(c.since) >= idleBefore
	c.mu.Unlock()
	if crowded, _ := c.front.descriptors.downstreamPressure(); crowded && longEnough {
		c.evict(connIdle, since)
	}
}

// Close ends the connection. Guards against an answer that never arrives: a close over unread input resets
// the connection, and the client's machine throws the answer away. So the client is told that no more comes,
// and what it still sends is read, for a while.
func (c *downstreamConn) Close() error {
	c.mu.Lock()
	lingers := c.shut()
	c.mu.Unlock()
	if lingers {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
	}
	err := c.Conn.Close()
	c.forget()
	return err
}

// shut tells the client that no more comes, and has what it still sends be no request; mu is held. False: the
// connection is closed, or to be closed at once.
func (c *downstreamConn) shut() bool {
	if c.hasty || c.state == connClosed {
		return false
	}
	if c.state != connEnding {
		_ = c.CloseWrite()
		c.enter(connEnding)
	}
	return c.Conn.SetReadDeadline(c.since.Add(lingerWait)) == nil
}

// forsake has the close throw away what is written and not yet taken. Guards against a client that does not
// read: the kernel would hold that for as long as the client pleases.
func (c *downstreamConn) forsake() {
	c.hurry()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// hurry has Close wait for nothing.
func (c *downstreamConn) hurry() {
	c.mu.Lock()
	c.hasty = true
	c.mu.Unlock()
}

// CloseWrite is there for the library, which calls it before it waits a while and closes.
func (c *downstreamConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *downstreamConn) forget() {
	c.mu.Lock()
	again := c.state == connClosed
	c.state = connClosed
	if c.standing != nil {
		c.standing.Stop()
	}
	c.mu.Unlock()
	if !again {
		c.front.forget(c)
	}
}

// evict ends the connection if it is still as it was when it was chosen, and nothing has come on it: first
// its client is told that no more comes, and if it does not end it then, it is closed.
func (c *downstreamConn) evict(s connState, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != s || !c.since.Equal(since):
		return false
	case (s != connEnding || c.gaveWay) && c.hasInput():
		c.enter(connReading) // unless it is ending: then that is thrown away first
		return false
	case s == connEnding:
		c.finish()
		return true
	}
	c.gaveWay = s != connReading
	return c.shut()
}

// finish has the reader of a connection whose client was told to end it close it; mu is held.
func (c *downstreamConn) finish() {
	c.hasty = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// spare tells how readily the connection can be given up, if at all, and what it is at. Above zero only where
// descriptors are short.
func (c *downstreamConn) spare(now time.Time) (rank int, s connState, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	rank = -1
	switch {
	case c.hasty: // it is on its way
	case c.state == connEnding && c.gaveWay && age >= toldBefore:
		rank = 0
	case (c.state == connIdle || c.state == connSilent) && age >= idleBefore:
		rank = 0
	case c.state == connEnding && age >= silentBefore, c.state == connSilent && age >= silentBefore:
		rank = 1
	case c.stuck(now):
		rank = 2
	case c.state == connIdle && age >= silentBefore: // a request that crosses the close is sent again
		rank = 3
	}
	return rank, c.state, c.since
}

// downstreamListener accepts clients while there are descriptors for them, and closes the connections of those
// that have nothing open where there are not.
type downstreamListener struct {
	net.Listener
	*downstreamConns
	addr   netip.AddrPort
	forms  []protocol.Format
	closed chan struct{}
	once   sync.Once
	err    error
}

// clients are the connections of all listeners of a front: whichever listener is short of descriptors, those
// that are missed least give way.
type downstreamConns struct {
	descriptors *Descriptors
	mu          sync.Mutex
	conns       map[*downstreamConn]struct{}
	empty       chan struct{} // is told when the last one has gone
}

func (l *downstreamListener) Accept() (net.Conn, error) {
	if !l.descriptors.acquireDownstream(l.closed, l.evict) {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.descriptors.releaseDownstream()
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetWriteBuffer(kernelBuffer)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		l.descriptors.releaseDownstream()
		return nil, err
	}
	now := time.Now()
	c := &downstreamConn{Conn: conn, raw: raw, front: l.downstreamConns, forms: l.forms, opened: now, since: now}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// evict ends the connection that is missed least, and tells whether there was one; its descriptor is free
// once its client has ended it too, or has had the time to. Guards against clients that connect and say
// nothing, ask once and stay, or never finish: they would keep all others out. With short false, only those
// count that have stood idle.
func (l *downstreamConns) evict(short bool) bool {
	passed := map[*downstreamConn]bool{} // something has come on them meanwhile
	for {
		c, state, since := l.missedLeast(short, passed)
		if c == nil || c.evict(state, since) {
			return c != nil
		}
		passed[c] = true
	}
}

// missedLeast chooses the connection that evict is to end, if any.
func (l *downstreamConns) missedLeast(short bool, but map[*downstreamConn]bool) (chosen *downstreamConn, state connState,
	since time.Time,
) {
	now, lowest := time.Now(), 1
	if short {
		lowest = 4
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		r, s, at := c.spare(now)
		if r >= 0 && !but[c] && (r < lowest || chosen != nil && r == lowest && at.Before(since)) {
			chosen, lowest, state, since = c, r, s, at
		}
	}
	return chosen, state, since
}

func (l *downstreamConns) forget(c *downstreamConn) {
	l.mu.Lock()
	delete(l.conns, c)
	last := len(l.conns) == 0
	l.mu.Unlock()
	if last {
		select {
		case l.empty <- struct{}{}:
		default:
		}
	}
	l.descriptors.releaseDownstream()
}

func (l *downstreamListener) Close() error {
	l.once.Do(func() { close(l.closed); l.err = l.Listener.Close() })
	return l.err
}

// framed is how the end of a request's body is told, on the whole connection so far.
type framed uint8

const (
	framedByLength framed = iota
	framedByChunks        // what follows is not followed: the connection is closed after it
	framedTwice           // by length and chunks: not to be passed on
)

// framing follows where requests begin and end in what a client sends. Guards against a request with both
// Content-Length and Transfer-Encoding, which may hide another in its body: the library drops the length, so
// that its handler cannot tell.
type framing struct {
	line             [18]byte // the beginning of the present line, in small letters
	n                int      // of the line so far
	value            bool     // past the first colon of the line
	length           int64    // announced
	hasLength, coded bool     // the head has a Content-Length, a Transfer-Encoding
	body             int64    // bytes of a body still to come
	heads            int      // begun so far
	started          bool     // a head has begun
	framed           framed
	ends             []time.Time // when those came whole that are not answered yet
}

const (
	nameLength = "content-length"
	nameCoding = "transfer-encoding"
	maxLength  = 1 << 40
)

// follow follows what came at a time.
func (f *framing) follow(b []byte, at time.Time) {
	for len(b) > 0 && f.framed == framedByLength {
		if f.body > 0 {
			skip := min(f.body, int64(len(b)))
			f.body -= skip
			b = b[skip:]
			f.ended(at)
			continue
		}
		if !f.started {
			if b[0] == '\r' || b[0] == '\n' { // some clients end a body so
				b = b[1:]
				continue
			}
			f.started = true
			f.heads++
		}
		f.take(b[0])
		b = b[1:]
		f.ended(at)
	}
}

// ended notes when a request has come whole.
func (f *framing) ended(at time.Time) {
	if !f.started && f.body == 0 && f.framed == framedByLength {
		f.ends = append(f.ends, at)
	}
}

// take takes a byte of a head.
func (f *framing) take(c byte) {
	switch {
	case c == '\r':
	case c == '\n' && f.n == 0: // the empty line
		f.endHead()
	case c == '\n':
		f.n, f.value = 0, false
	case f.value:
		if c >= '0' && c <= '9' && f.is(nameLength) && f.length < maxLength {
			f.length = 10*f.length + int64(c-'0')
		}
	case c == ':':
		f.value = true
		if f.is(nameLength) {
			f.hasLength, f.length = true, 0
		}
		f.coded = f.coded || f.is(nameCoding)
		f.n = max(f.n, 1)
	default:
		if f.n < len(f.line) {
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			f.line[f.n] = c
		}
		f.n = min(f.n+1, len(f.line)+1)
	}
}

// is compares the name of the present line, with what may stand before the colon in a bad one.
func (f *framing) is(name string) bool {
	n := min(f.n, len(f.line))
	for n > 0 && (f.line[n-1] == ' ' || f.line[n-1] == '\t') {
		n--
	}
	return string(f.line[:n]) == name
}

func (f *framing) endHead() {
	switch {
	case f.coded && f.hasLength:
		f.framed = framedTwice
	case f.coded:
		f.framed = framedByChunks
	}
	f.body = f.length
	f.hasLength, f.coded, f.length, f.n, f.value, f.started = false, false, 0, 0, false, false
}
