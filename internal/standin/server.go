// Package standin holds stand-ins for what an agent talks to, on loopback sockets: booking servers,
// discovery, the other agents and clients. They are the wire only, with what can go wrong on it. What is
// said on it, and when, is up to whoever uses them: the rehearsal's world, or a test's script.
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

// Events is what a Server tells of, each from a goroutine of the connection's own.
type Events struct {
	Opened func(*Conn)
	Came   func(*Conn, *http.Request, []byte) // a request, read whole, and its body
	Ended  func(*Conn)                        // after which nothing comes of the connection any more
}

// Server is a booking server's socket. Use Listen.
type Server struct {
	events Events
	addr   *net.TCPAddr
	way    Strait

	mu       sync.Mutex
	listener *net.TCPListener // nil: wishes to connect are refused
	mute     bool             // they are not answered
	fills    int              // how many goroutines still take the room for connections
	fillers  map[string]net.Conn
	conns    map[*Conn]struct{}
	closed   bool
	slow     time.Duration // between the bytes that are read; zero: they are read as they come
	wait     sync.WaitGroup
}

// Listen opens a booking server's socket at a loopback address; port 0: one that the system picks. It keeps
// its address while it refuses and when it accepts again.
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

// Addr is where the server listens.
func (s *Server) Addr() string { return s.addr.String() }

// Way is the way between the server and its agents, over which faults come.
func (s *Server) Way() *Strait { return &s.way }

// ReadSlowly has requests read a few bytes at a time, with a pause between; zero: as they come.
func (s *Server) ReadSlowly(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = pause
}

// fullBacklog is how many connections wait for Accept at the most.
const fullBacklog = 1024

// Accept has wishes to connect accepted, after Refuse or Mute. The error is that the port was taken
// meanwhile.
func (s *Server) Accept() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.mute {
		s.mute = false
		s.turnOut()
		for _, c := range s.fillers {
			_ = c.Close()
		}
		_ = s.backlog(fullBacklog)
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
		return fmt.Errorf("a booking server's port: %w", err)
	}
	s.listener = l
	s.wait.Go(func() { s.accept(l) })
	return nil
}

// Refuse has wishes to connect refused, as a machine does on which nothing listens.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	s.mute = false
}

// Mute has wishes to connect not answered at all, as where the way is cut: the system has room for no further
// one, and drops them. That is so once Full says so, which takes a moment.
func (s *Server) Mute() error {
	if err := s.Accept(); err != nil { // nothing to fill, else
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute {
		return nil
	}
	s.mute = true
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // ends accept
	if err := s.backlog(0); err != nil {
		return err
	}
	s.admit()
	clear(s.fillers) // of those before none is left that waits
	s.fills++
	s.wait.Go(s.fill)
	return nil
}

// backlog sets how many connections the system keeps for the listener beyond one.
func (s *Server) backlog(n int) error {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(err, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) }), err)
}

// Full tells whether the system has no room for a further connection: from then on a muted server answers
// none. Only on Linux; false where the server does not listen, and while it still takes the room, which it
// may have to give up again.
func (s *Server) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fills == 0 && s.noRoom()
}

// noRoom tells whether the system has no room for a further connection.
func (s *Server) noRoom() (full bool) {
	if s.listener == nil {
		return false
	}
	if raw, err := s.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			// Of a socket that listens these are the connections that wait to be accepted, and how many may.
			i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			full = err == nil && i.Unacked > i.Sacked
		})
	}
	return full
}

// mostFillers guards against filling for ever.
const mostFillers = 8

// fillerWait is how long one of the server's own connections may take to come up: there was room for it.
const fillerWait = 200 * time.Millisecond

// fill takes the room for connections that nobody accepts, with connections of its own. One that does not
// come up may have met a busy machine, or an agent's connection that was quicker: only the system knows
// whether there is room. What came in before the room was taken is up, and is served: else its request
// would lie unread until the server accepts again, and look as if it had been sent then.
func (s *Server) fill() {
	for range mostFillers {
		if s.filled() {
			break
		}
		d := net.Dialer{Timeout: fillerWait}
		c, err := d.DialContext(context.Background(), "tcp", s.addr.String())
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.fillers[c.LocalAddr().String()] = c; !s.mute {
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fills--
}

// filled tells whether one of the server's own connections has the room; else it takes in who has.
func (s *Server) filled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.noRoom() {
		return false
	}
	if s.mute && len(s.fillers) == 0 {
		s.admit()
		return false
	}
	return true
}

// admit takes in the connections that wait to be accepted.
func (s *Server) admit() {
	for c := acceptOne(s.listener); c != nil; c = acceptOne(s.listener) {
		s.admitted(c)
	}
}

// turnOut resets connections that have the room in place of the server's own: two that come up at one
// moment may both think that they have it. What was written on them was never read, and must not look as if
// it came now.
func (s *Server) turnOut() {
	for c := acceptOne(s.listener); c != nil; c = acceptOne(s.listener) {
		delete(s.fillers, c.RemoteAddr().String())
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// acceptOne accepts a connection that waits already; nil: there is none.
func acceptOne(l *net.TCPListener) *net.TCPConn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	_ = raw.Control(func(listens uintptr) {
		fd, _, err = unix.Accept4(int(listens), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err != nil || fd < 0 {
		return nil
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	c, err := net.FileConn(file) // a descriptor of its own
	if err != nil {
		return nil
	}
	return c.(*net.TCPConn)
}

// HangUp closes the open connections; the server goes on as it is.
func (s *Server) HangUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

// Close ends the server and its connections, and waits until nothing of them runs.
func (s *Server) Close() {
	s.Refuse()
	s.mu.Lock()
	s.closed = true
	for _, c := range s.fillers {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.way.close()
	s.HangUp()
	s.wait.Wait()
}

func (s *Server) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.admitted(c)
		s.mu.Unlock()
	}
}

// admitted serves an accepted connection, unless it is the server's own.
func (s *Server) admitted(c *net.TCPConn) {
	from := c.RemoteAddr().String()
	_, own := s.fillers[from]
	delete(s.fillers, from)
	if own || s.closed {
		_ = c.Close()
	} else if taken := s.way.take(c); taken != nil {
		conn := &Conn{conn: taken, server: s}
		s.conns[conn] = struct{}{}
		s.wait.Go(conn.serve)
	}
}

// Conn is an agent's connection to a booking server.
type Conn struct {
	Handle any // for whoever uses the stand-in; set in Opened

	conn   *straitConn
	server *Server
}

const maxRequest = 64 << 20

// Read reads from the connection, slowly where the server does so.
func (c *Conn) Read(b []byte) (int, error) {
	c.server.mu.Lock()
	pause := c.server.slow
	c.server.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause)
		b = b[:min(len(b), 4<<10)]
	}
	return c.conn.Read(b)
}

func (c *Conn) serve() {
	s := c.server
	if s.events.Opened != nil {
		s.events.Opened(c)
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
		if err != nil {
			break
		}
		s.events.Came(c, r, body)
	}
	_ = c.conn.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if s.events.Ended != nil {
		s.events.Ended(c)
	}
}

// Socket is the connection itself, for what is written otherwise than by a Reply.
func (c *Conn) Socket() *net.TCPConn { return c.conn.raw }

// Write writes bytes as they are.
func (c *Conn) Write(b []byte) (int, error) { return c.conn.Write(b) }

// Close ends the connection in good order.
func (c *Conn) Close() { _ = c.conn.Close() }

// CloseWrite ends the server's side of the connection; it still reads.
func (c *Conn) CloseWrite() { _ = c.conn.CloseWrite() }

// Reset breaks the connection.
func (c *Conn) Reset() { c.conn.Reset() }

// Reply is a booking server's answer.
type Reply struct {
	Status  int
	Headers string // further ones, each with its line's end
	Body    string
}

func (r Reply) head() string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n", r.Status, http.StatusText(r.Status),
		len(r.Body), r.Headers)
}

// endlessFor is how long an endless head goes on, if the agent takes it for so long.
const endlessFor = 5 * time.Second

// Reply writes an answer, with what goes wrong with it on the wire. Of the faults that are no answer's,
// NoAccept and SlowReader, it knows nothing, nor of Forgets: who forgets a connection answers nothing more
// on it.
func (c *Conn) Reply(r Reply, fault scenario.Fault) {
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
	case scenario.OpenBody:
		write(fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%s\r\n", r.Status, http.StatusText(r.Status),
			r.Headers), r.Body[:len(r.Body)/2])
		c.Reset()
	case scenario.ResetBefore:
		c.Reset()
	case scenario.ResetAfter:
		write(head, r.Body)
		c.Reset()
	case scenario.Hints:
		write("HTTP/1.1 103 Early Hints\r\nLink: </chairs>; rel=preload\r\n\r\n", head, r.Body)
	case scenario.TwoAnswers:
		write(head, r.Body, head, r.Body)
	case scenario.Noise:
		write("\x16\x03\x01\x00\xa5 no answer at all\r\n\r\n")
	case scenario.EndlessHead:
		go c.endless()
	case scenario.HalfClose:
		write(head, r.Body)
		c.CloseWrite()
	default:
		write(head, r.Body)
	}
}

func (c *Conn) endless() {
	_ = c.conn.SetWriteDeadline(time.Now().Add(endlessFor))
	line := "X-Chair: " + strings.Repeat("4", 1000) + "\r\n"
	_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(c.conn, line)
	}
}
