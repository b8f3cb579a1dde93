// Package standin has stand-ins for the peers of an agent on loopback sockets: upstream servers, discovery,
// the other agents and clients. They implement only connections and messages, and the faults of these.
// Their callers decide which messages are sent and when: the simulated world of a rehearsal, or a test.
package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/rehearsal/scenario"
)

// Events are the callbacks of a Server, called from a goroutine of the connection. ConnectionOpened and
// ConnectionEnded may be nil.
type Events struct {
	ConnectionOpened func(*Conn)
	RequestReceived  func(*Conn, *http.Request, []byte) // a complete request and its body
	ConnectionEnded  func(*Conn)                        // the last callback for the connection
}

// Server is the socket of an upstream server. Listen creates one.
type Server struct {
	events Events
	addr   *net.TCPAddr
	link   StreamLink

	mu          sync.Mutex
	listener    *net.TCPListener    // nil: connection attempts are refused
	ignoring    bool                // connection attempts are not answered
	activeFills int                 // goroutines in fillBacklog
	fillers     map[string]net.Conn // the server's own connections in its backlog, by local address
	conns       map[*Conn]struct{}
	closed      bool
	readPause   time.Duration // before each read; zero: none
	readsAgain  chan struct{} // closed when the server reads again; nil: it reads
	wait        sync.WaitGroup
}

// Listen opens an upstream server's socket at a loopback address; with port 0 the system picks a port. The
// server keeps its address after RefuseConnections, IgnoreConnections and AcceptConnections.
func Listen(addr string, events Events) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		events: events, addr: l.Addr().(*net.TCPAddr), listener: l.(*net.TCPListener),
		conns: map[*Conn]struct{}{}, fillers: map[string]net.Conn{},
	}
	s.wait.Go(func() { s.accept(s.listener) })
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.addr.String() }

// Link returns the link between the server and its agents, on which faults can be started.
func (s *Server) Link() *StreamLink { return &s.link }

// SetReadPause sets a pause before each read of at most 4 KiB; zero: reads are not slowed.
func (s *Server) SetReadPause(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readPause = pause
}

// SetReceiveBuffer sets the size of the system's receive buffer of connections that are accepted from now
// on, in bytes. The system doubles it. It returns an error if the server does not listen.
func (s *Server) SetReceiveBuffer(bytes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return net.ErrClosed
	}
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}), err)
}

// SetReading sets whether the server reads what its agents send. While it does not, as if its process hung,
// its system takes in what fits into its buffers.
func (s *Server) SetReading(reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reads && s.readsAgain != nil:
		close(s.readsAgain)
		s.readsAgain = nil
	case !reads && s.readsAgain == nil:
		s.readsAgain = make(chan struct{})
	}
}

// acceptBacklog is the listen backlog of a server that accepts.
const acceptBacklog = 1024

// AcceptConnections makes the server accept connections again after RefuseConnections or IgnoreConnections.
// It returns an error if another socket has taken the port meanwhile, or after Close.
func (s *Server) AcceptConnections() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.ignoring {
		s.ignoring = false
		s.resetWaiting()
		for _, c := range s.fillers {
			_ = c.Close()
		}
		_ = s.setBacklog(acceptBacklog)
		_ = s.listener.SetDeadline(time.Time{})
		l := s.listener
		s.wait.Go(func() { s.accept(l) })
		return nil
	}
	if s.listener != nil {
		return nil
	}
	l, err := net.ListenTCP("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("reopening an upstream server's port: %w", err)
	}
	s.listener = l
	s.wait.Go(func() { s.accept(l) })
	return nil
}

// RefuseConnections closes the listener, so that the system refuses connection attempts.
func (s *Server) RefuseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	s.ignoring = false
}

// IgnoreConnections leaves connection attempts without an answer, as if the network were cut: the listen
// backlog is full and the system drops them. This takes effect when IsBacklogFull returns true, a moment
// later.
func (s *Server) IgnoreConnections() error {
	if err := s.AcceptConnections(); err != nil { // the backlog needs a listener
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoring {
		return nil
	}
	s.ignoring = true
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // ends accept
	if err := s.setBacklog(0); err != nil {
		return err
	}
	s.acceptWaiting()
	clear(s.fillers) // those of an earlier IgnoreConnections do not wait any more
	s.activeFills++
	s.wait.Go(s.fillBacklog)
	return nil
}

// setBacklog sets the listen backlog: the system queues one connection more than n.
func (s *Server) setBacklog(n int) error {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(err, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) }), err)
}

// IsBacklogFull reports whether the listen backlog is full: from then on a server answers no connection
// attempt after IgnoreConnections. It works on Linux only. It returns false if the server does not listen,
// and while fillBacklog runs, as that may accept a connection and free its place.
func (s *Server) IsBacklogFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFills == 0 && s.acceptQueueFull()
}

// acceptQueueFull reports whether the listen backlog is full.
func (s *Server) acceptQueueFull() (full bool) {
	if s.listener == nil {
		return false
	}
	if raw, err := s.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			// For a listening socket, Unacked is the length of the accept queue and Sacked its limit.
			i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			full = err == nil && i.Unacked > i.Sacked
		})
	}
	return full
}

// fillTimeout limits the time of fillBacklog. On a busy machine many of its dials may fail.
const fillTimeout = 5 * time.Second

// fillerDialTimeout limits the time until a filler is established, for which there was room.
const fillerDialTimeout = 200 * time.Millisecond

// fillBacklog fills the listen backlog with connections of the server's own. A dial can fail on a busy
// machine or because an agent's connection was faster, so that only the system's count shows whether the
// backlog is full. Agents' connections established before are served: otherwise their requests would stay
// unread until the server accepts again, and seem to have been sent then.
func (s *Server) fillBacklog() {
	for end := time.Now().Add(fillTimeout); time.Now().Before(end) && !s.fillersHoldBacklog(); {
		d := net.Dialer{Timeout: fillerDialTimeout}
		c, err := d.DialContext(context.Background(), "tcp", s.addr.String())
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.fillers[c.LocalAddr().String()] = c; !s.ignoring {
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFills--
}

// fillersHoldBacklog reports whether the backlog is full and has one of the server's own connections. If it
// is full without one, it serves the waiting connections and returns false.
func (s *Server) fillersHoldBacklog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptQueueFull() {
		return false
	}
	if s.ignoring && len(s.fillers) == 0 {
		s.acceptWaiting()
		return false
	}
	return true
}

// acceptWaiting accepts and serves the connections in the backlog.
func (s *Server) acceptWaiting() {
	for c := acceptIfWaiting(s.listener); c != nil; c = acceptIfWaiting(s.listener) {
		s.serveConn(c)
	}
}

// resetWaiting resets the connections in the backlog. Agents' connections can be among them, as two that are
// established at the same moment may both get in. Their data was never read, and must not seem to have been
// sent when the server accepts again.
func (s *Server) resetWaiting() {
	for c := acceptIfWaiting(s.listener); c != nil; c = acceptIfWaiting(s.listener) {
		delete(s.fillers, c.RemoteAddr().String())
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// acceptIfWaiting accepts a connection from the backlog without blocking; it returns nil if there is none.
func acceptIfWaiting(l *net.TCPListener) *net.TCPConn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	_ = raw.Control(func(listenerFD uintptr) {
		fd, _, err = unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil || fd < 0 {
		return nil
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	c, err := net.FileConn(file) // duplicates the descriptor
	if err != nil {
		return nil
	}
	return c.(*net.TCPConn)
}

// CloseConnections closes the open connections; the server continues.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

// Close closes the server and its connections, and waits for their goroutines.
func (s *Server) Close() {
	s.RefuseConnections()
	s.SetReading(true)
	s.mu.Lock()
	s.closed = true
	for _, c := range s.fillers {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.link.close()
	s.CloseConnections()
	s.wait.Wait()
}

func (s *Server) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.serveConn(c)
		s.mu.Unlock()
	}
}

// serveConn serves an accepted connection, or closes it if it is a filler. The caller holds the lock.
func (s *Server) serveConn(c *net.TCPConn) {
	from := c.RemoteAddr().String()
	_, isFiller := s.fillers[from]
	delete(s.fillers, from)
	if isFiller || s.closed {
		_ = c.Close()
	} else if attached := s.link.attach(c); attached != nil {
		conn := &Conn{conn: attached, server: s}
		s.conns[conn] = struct{}{}
		s.wait.Go(conn.serve)
	}
}

// Conn is an agent's connection to an upstream server.
type Conn struct {
	Handle any // the caller's own data; set in ConnectionOpened

	conn   *linkConn
	server *Server
}

const maxRequestBytes = 64 << 20

// Read reads from the connection, slowly after SetReadPause and not before SetReading permits it.
func (c *Conn) Read(b []byte) (int, error) {
	c.server.mu.Lock()
	pause, readsAgain := c.server.readPause, c.server.readsAgain
	c.server.mu.Unlock()
	if readsAgain != nil {
		<-readsAgain
	}
	if pause > 0 {
		time.Sleep(pause)
		b = b[:min(len(b), 4<<10)]
	}
	return c.conn.Read(b)
}

func (c *Conn) serve() {
	s := c.server
	if s.events.ConnectionOpened != nil {
		s.events.ConnectionOpened(c)
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
		if err != nil {
			break
		}
		s.events.RequestReceived(c, r, body)
	}
	_ = c.conn.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if s.events.ConnectionEnded != nil {
		s.events.ConnectionEnded(c)
	}
}

// TCPConn returns the underlying TCP connection, which bypasses the link's faults.
func (c *Conn) TCPConn() *net.TCPConn { return c.conn.raw }

// Write writes bytes as they are.
func (c *Conn) Write(b []byte) (int, error) { return c.conn.Write(b) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// CloseWrite closes the server's direction of the connection; the server still reads.
func (c *Conn) CloseWrite() { _ = c.conn.CloseWrite() }

// Reset resets the connection.
func (c *Conn) Reset() { c.conn.Reset() }

// Reply is an upstream server's response.
type Reply struct {
	Status  int
	Headers string // additional header lines, each ending in CRLF
	Body    string
}

func (r Reply) head() string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n", r.Status, http.StatusText(r.Status),
		len(r.Body), r.Headers)
}

// endlessHeadTimeout is how long an endless header is written, if the agent reads it that long.
const endlessHeadTimeout = 5 * time.Second

// Reply writes a response with a fault. It ignores the faults that do not concern a response, NoAccept and
// SlowReader, and also DropsConnection: a server that drops a connection's state does not call Reply on it.
func (c *Conn) Reply(r Reply, fault scenario.ConnFault) {
	head := r.head()
	write := func(parts ...string) { _, _ = io.WriteString(c.conn, strings.Join(parts, "")) }
	switch fault {
	case scenario.SilentHead:
		write(head[:len(head)/2])
	case scenario.SilentBody:
		write(head, r.Body[:len(r.Body)/2])
	case scenario.CutBody:
		write(head, r.Body[:len(r.Body)/2])
		c.Close()
	case scenario.UnboundedBody:
		write(fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%s\r\n", r.Status, http.StatusText(r.Status),
			r.Headers), r.Body[:len(r.Body)/2])
		c.Reset()
	case scenario.ResetBefore:
		c.Reset()
	case scenario.ResetAfter:
		write(head, r.Body)
		c.Reset()
	case scenario.InformationalAnswer:
		write("HTTP/1.1 103 Early Hints\r\nLink: </chairs>; rel=preload\r\n\r\n", head, r.Body)
	case scenario.TwoAnswers:
		write(head, r.Body, head, r.Body)
	case scenario.Noise:
		write("\x16\x03\x01\x00\xa5 no answer at all\r\n\r\n")
	case scenario.EndlessHead:
		go c.writeEndlessHead()
	case scenario.HalfClose:
		write(head, r.Body)
		c.CloseWrite()
	default:
		write(head, r.Body)
	}
}

func (c *Conn) writeEndlessHead() {
	_ = c.conn.SetWriteDeadline(time.Now().Add(endlessHeadTimeout))
	line := "X-Chair: " + strings.Repeat("4", 1000) + "\r\n"
	_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(c.conn, line)
	}
}
