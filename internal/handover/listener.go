package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// Listener is where a new process connects to a running one.
type Listener struct {
	listener    *net.UnixListener
	path, agent string
}

// Listen has new processes of an agent connect to this one from now on, in place of any before.
func Listen(folder, agent string, listen netip.AddrPort) (*Listener, error) {
	path, err := socketPathOf(folder, agent, listen)
	if err != nil {
		return nil, err
	}
	l := &Listener{path: path, agent: agent}
	return l, l.bind()
}

// bind listens on a socket of this process's own, and renames it to the agent's path: at no moment is there
// none.
func (l *Listener) bind() error {
	own := fmt.Sprintf("%s.%d", l.path, os.Getpid())
	_ = os.Remove(own) // of an earlier process with this number; where it can't be removed, the next call fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: cannot listen at %s: %w", own, err)
	}
	listener.SetUnlinkOnClose(false) // by then the path may be another process's
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, l.path)); err != nil {
		_ = listener.Close() // nobody has connected
		return fmt.Errorf("handover: cannot take the path %s: %w", l.path, err)
	}
	if l.listener != nil {
		_ = l.listener.Close() // its path is the new one's
	}
	l.listener = listener
	return nil
}

// Serve accepts new processes, one after the other. It calls handle with each, which returns when that
// process has gone, and whether this one continues: then the path, which the other one may have taken,
// becomes this process's again. Serve returns otherwise, or when the path can't be had. A connection that
// does not say hello as it must is closed, and rejected is called with the reason.
func (l *Listener) Serve(rejected func(error), handle func(*Peer) (continues bool)) {
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
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
			_ = l.listener.Close() // the process ends
			return
		}
		if err := l.bind(); err != nil {
			rejected(err)
			return
		}
	}
}

// receiveHello receives the hello of a new process of an agent.
func (p *Peer) receiveHello(agent string) error {
	// fails only on a closed connection, as what follows does
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
			"hello of format %d and agent %q, not %d and %q",
			h.Format,
			h.Agent,
			protocolFormat,
			agent,
		)
	}
	return nil
}
