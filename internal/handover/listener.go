package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// acceptRetryWait is the wait before accepting again after an error.
const acceptRetryWait = 50 * time.Millisecond

// bindRetryWait is the wait before the path is bound again after an error.
const bindRetryWait = time.Second

// Listener accepts connections of new processes to the running one.
type Listener struct {
	listener    *net.UnixListener
	path, agent string
}

// Listen listens at the agent's socket path. From then on new processes of the agent connect to this one
// instead of an earlier one.
func Listen(folder, agent string, listen netip.AddrPort) (*Listener, error) {
	path, err := socketPath(folder, agent, listen)
	if err != nil {
		return nil, err
	}
	l := &Listener{path: path, agent: agent}
	if err := l.bind(); err != nil {
		return nil, err
	}
	return l, nil
}

// bind listens at a path that is unique to this process and renames it to the agent's path, so that the
// agent's path always exists.
func (l *Listener) bind() error {
	own := fmt.Sprintf("%s.%d", l.path, os.Getpid())
	_ = os.Remove(own) // from an earlier process with the same id; if it can't be removed, listening fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: cannot listen at %s: %w", own, err)
	}
	listener.SetUnlinkOnClose(false) // at that time the path may belong to another process
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, l.path)); err != nil {
		_ = listener.Close() // no process has connected
		return fmt.Errorf("handover: cannot rename the socket to %s: %w", l.path, err)
	}
	if l.listener != nil {
		_ = l.listener.Close() // the new listener has replaced its path
	}
	l.listener = listener
	return nil
}

// Serve accepts new processes one at a time and calls handle with each. handle must return when the other
// process has disconnected, and report whether this process continues to run. If it does, Serve binds the
// agent's path again, which the other process may have taken over. Serve returns if it does not, or if the
// listener is closed. A connection without a valid hello is closed, and rejected is called with the reason.
// It is also called if the path can't be bound; that is tried again until it can.
func (l *Listener) Serve(rejected func(error), handle func(*Peer) (continues bool)) {
	for {
		conn, err := l.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) { // it accepts no more
			return
		}
		if err != nil { // of one connection, or for want of descriptors or memory
			rejected(err)
			time.Sleep(acceptRetryWait)
			continue
		}
		p := &Peer{conn: conn, offerPending: true}
		if err := p.receiveHello(l.agent); err != nil {
			rejected(err)
			p.Close()
			continue
		}
		continues := handle(p)
		p.Close()
		if !continues {
			_ = l.listener.Close() // the process is about to end
			return
		}
		l.bindAgain(rejected)
	}
}

// bindAgain binds the agent's path until that succeeds: the system or the folder may fail for a while. It
// calls rejected after the first error.
func (l *Listener) bindAgain(rejected func(error)) {
	for hasFailed := false; ; hasFailed = true {
		err := l.bind()
		if err == nil {
			return
		}
		if !hasFailed {
			rejected(err)
		}
		time.Sleep(bindRetryWait)
	}
}

// receiveHello receives and checks the hello of a new process of the agent.
func (p *Peer) receiveHello(agent string) error {
	// fails only on a closed connection, on which the read fails too
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := checkSameUser(p.conn); err != nil {
		return err
	}
	var h hello
	if err := readFrame(p.conn, &h); err != nil {
		return err
	}
	if h.Format != protocolFormat || h.Agent != agent {
		return fmt.Errorf(
			"received a hello of format %d for agent %q, expected %d and %q",
			h.Format,
			h.Agent,
			protocolFormat,
			agent,
		)
	}
	return nil
}
