package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	protocolFormat = 1
	// maxFrameBytes bounds what one side may make the other hold.
	maxFrameBytes = 8 << 20
	// handshakeTimeout is how long a meeting may take: the new process has a few seconds to be ready in.
	handshakeTimeout = 1500 * time.Millisecond
	// notifyTimeout is how long the other side has to take a note.
	notifyTimeout = time.Second
	// maxSockets is how many sockets are handed over.
	maxSockets = 16
	// maxSocketPath is what a Unix socket's name holds.
	maxSocketPath = 100
)

// ErrNoPeer means that no other process of this agent is there.
var ErrNoPeer = errors.New("no other process of this agent is there")

// Offer is what a process gives to the one that takes over.
type Offer struct {
	Manual      ManualSettings `json:"hand"`
	Descriptors int            `json:"sockets"`   // descriptors that the new process may hold for now
	MemoryMB    int64          `json:"memory_mb"` // and memory
	State       []byte         `json:"state"`     // what was learned, as internal/state lays it out; empty: nothing
	// FleetState is what the agents of the fleet had agreed on, as the program lays it out; empty: nothing.
	FleetState []byte `json:"fleet,omitempty"`
	// SocketNames names the sockets that come with it, in order: by their addresses, with the network before.
	SocketNames []string `json:"handed"`
}

// Notification is what two processes tell one another while both run. Absent fields say nothing.
type Notification struct {
	Ready       bool            `json:"ready,omitempty"`   // the new process takes clients
	Manual      *ManualSettings `json:"hand,omitempty"`    // staff have set something
	Descriptors int             `json:"sockets,omitempty"` // descriptors that the other may hold from now on
}

// hello is what a new process begins with.
type hello struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
}

// Peer is the other process, while both run.
type Peer struct {
	conn         *net.UnixConn
	mu           sync.Mutex     // one frame after the other
	offerPending bool           // the offer, which comes before any note
	queued       []Notification // until then
}

// Notify sends a note; one that can't be sent ends the meeting. Guards against a note that comes before the
// offer and would be taken for it: it waits for the offer.
func (p *Peer) Notify(n Notification) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offerPending {
		p.queued = append(p.queued, n)
		return
	}
	p.send(n)
}

// send sends a note; mu is held.
func (p *Peer) send(n Notification) {
	_ = p.conn.SetWriteDeadline(time.Now().Add(notifyTimeout))
	if err := writeFrame(p.conn, n, nil); err != nil {
		p.Close()
	}
}

// Receive hands every note to told, until the other process ends or says what can't be understood.
func (p *Peer) Receive(told func(Notification)) {
	defer p.Close()
	_ = p.conn.SetReadDeadline(time.Time{})
	for {
		var n Notification
		if err := readFrame(p.conn, &n); err != nil {
			return
		}
		if n.Descriptors < 0 || n.Manual != nil && n.Manual.check() != nil {
			return
		}
		told(n)
	}
}

// Close ends the meeting.
func (p *Peer) Close() { _ = p.conn.Close() }

// Connect goes to the process that runs, takes its offer and the sockets that come with it. ErrNoPeer: there is
// none. Any other error says why the two can't get on; nothing has been taken then.
func Connect(folder, agent string, listen netip.AddrPort) (*Peer, Offer, map[string]*os.File, error) {
	path := pathOf(folder, agent, listen, "sock")
	if len(path) > maxSocketPath {
		return nil, Offer{}, nil, fmt.Errorf("the name is too long for a socket: %s", path)
	}
	conn, err := net.DialTimeout("unix", path, handshakeTimeout)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, Offer{}, nil, ErrNoPeer
	}
	if err != nil {
		return nil, Offer{}, nil, err
	}
	p := &Peer{conn: conn.(*net.UnixConn)}
	offer, sockets, err := p.receiveOffer(agent)
	if err != nil {
		p.Close()
		return nil, Offer{}, nil, err
	}
	return p, offer, sockets, nil
}

func (p *Peer) receiveOffer(agent string) (offer Offer, sockets map[string]*os.File, err error) {
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := sameUser(p.conn); err != nil {
		return offer, nil, err
	}
	if err := writeFrame(p.conn, hello{Format: protocolFormat, Agent: agent}, nil); err != nil {
		return offer, nil, err
	}
	files, err := readFrameWithFiles(p.conn, &offer)
	if err == nil && (offer.Descriptors <= 0 || offer.MemoryMB <= 0 || len(files) != len(offer.SocketNames)) {
		err = errors.New("the offer does not fit together")
	}
	if err == nil {
		err = offer.Manual.check()
	}
	if err != nil {
		for _, f := range files {
			_ = f.Close()
		}
		return offer, nil, err
	}
	sockets = map[string]*os.File{}
	for i, f := range files {
		sockets[offer.SocketNames[i]] = f
	}
	return offer, sockets, nil
}

// Listener is where a running process can be met.
type Listener struct {
	listener    *net.UnixListener
	path, agent string
}

// Receive has this process be met at the agent's place from now on, in place of any that was there.
func Listen(folder, agent string, listen netip.AddrPort) (*Listener, error) {
	m := &Listener{path: pathOf(folder, agent, listen, "sock"), agent: agent}
	if len(m.path) > maxSocketPath {
		return nil, fmt.Errorf("the name is too long for a socket: %s", m.path)
	}
	return m, m.bind()
}

// claim takes the place.
func (m *Listener) bind() error {
	own := fmt.Sprintf("%s.%d", m.path, os.Getpid())
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the place may be another process's
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, m.path)); err != nil {
		_ = l.Close()
		return err
	}
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.listener = l
	return nil
}

// Serve meets new processes, one after the other: heir is called with each, and returns when it has gone,
// with true where this process goes on: then the place, which that one may have taken, is this one's again.
// It returns otherwise, or when no place is to be had. A stranger, or one that says nothing, is sent away.
func (m *Listener) Serve(refused func(error), heir func(*Peer) (goesOn bool)) {
	for {
		conn, err := m.listener.AcceptUnix()
		if err != nil {
			return
		}
		p := &Peer{conn: conn, offerPending: true}
		if err := p.receiveHello(m.agent); err != nil {
			refused(err)
			p.Close()
			continue
		}
		goesOn := heir(p)
		p.Close()
		if !goesOn {
			_ = m.listener.Close()
			return
		}
		if err := m.bind(); err != nil {
			refused(err)
			return
		}
	}
}

func (p *Peer) receiveHello(agent string) error {
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var h hello
	if err := sameUser(p.conn); err != nil {
		return err
	}
	if err := readFrame(p.conn, &h); err != nil {
		return err
	}
	if h.Format != protocolFormat || h.Agent != agent {
		return fmt.Errorf("format %d, agent %q", h.Format, h.Agent)
	}
	return nil
}

// SendOffer sends the offer, with the sockets that it names. They stay this process's too.
func (p *Peer) SendOffer(o Offer, sockets []syscall.Conn) error {
	var own []int
	defer func() {
		for _, fd := range own {
			_ = syscall.Close(fd)
		}
	}()
	for _, s := range sockets {
		fd, err := duplicate(s)
		if err != nil {
			return err
		}
		own = append(own, fd)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	err := writeFrame(p.conn, o, own)
	for _, n := range p.queued {
		p.send(n)
	}
	p.offerPending, p.queued = false, nil
	return err
}

// duplicate is a descriptor of its own for a socket, in the mode that it is in: to ask the library for one
// would turn the socket itself into a blocking one.
func duplicate(s syscall.Conn) (fd int, err error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	inner := raw.Control(func(from uintptr) {
		fd, err = fcntlDup(from)
	})
	return fd, errors.Join(inner, err)
}

func fcntlDup(from uintptr) (int, error) {
	fd, _, errno := syscall.Syscall(syscall.SYS_FCNTL, from, syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(fd), nil
}

// sameUser guards against a process of another user's at this place.
func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	inner := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(inner, err); err != nil {
		return err
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("it is user %d's", cred.Uid)
	}
	return nil
}

// writeFrame writes a value with its length before it, and descriptors beside that.
func writeFrame(c *net.UnixConn, v any, fds []int) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(raw) > maxFrameBytes {
		return errors.New("too long")
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	var rights []byte
	if len(fds) > 0 {
		rights = syscall.UnixRights(fds...)
	}
	if _, _, err := c.WriteMsgUnix(head, rights, nil); err != nil {
		return err
	}
	_, err = c.Write(raw)
	return err
}

func readFrame(c *net.UnixConn, v any) error {
	files, err := readFrameWithFiles(c, v)
	for _, f := range files { // none belongs there
		_ = f.Close()
	}
	return err
}

// receive reads a value and the descriptors that come with it, which are the caller's to close.
func readFrameWithFiles(c *net.UnixConn, v any) ([]*os.File, error) {
	head, rights := make([]byte, 4), make([]byte, syscall.CmsgSpace(4*maxSockets))
	n, m, flags, _, err := c.ReadMsgUnix(head, rights)
	if err != nil {
		return nil, err
	}
	files, err := filesOf(rights[:m])
	if err != nil {
		return files, err
	}
	if n == 0 || flags&syscall.MSG_CTRUNC != 0 {
		return files, io.ErrUnexpectedEOF
	}
	if _, err := io.ReadFull(c, head[n:]); err != nil {
		return files, err
	}
	length := binary.BigEndian.Uint32(head)
	if length > maxFrameBytes {
		return files, fmt.Errorf("%d bytes are too long", length)
	}
	raw, err := io.ReadAll(io.LimitReader(c, int64(length))) // as it comes: a length alone costs no memory
	if err == nil && len(raw) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return files, err
	}
	return files, json.Unmarshal(raw, v)
}

// take finds the descriptors in what came beside a frame.
func filesOf(rights []byte) (files []*os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}
