package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunestep/internal/protocol"
)

// Datagrams is the socket on which agents talk to one another.
type Datagrams struct {
	conn    *net.UDPConn
	agents  *protocol.PeerAddresses
	drops   dropLog
	active  atomic.Bool
	mu      sync.Mutex
	resumed chan struct{} // closed when it speaks again; nil: it always has
}

// ListenDatagrams opens the socket. Datagrams leave from it too: a peer knows the sender by its address.
func ListenDatagrams(addr netip.AddrPort, agents *protocol.PeerAddresses) (*Datagrams, error) {
	c, err := shared.ListenPacket(context.Background(), "udp", addr.String())
	if err != nil {
		return nil, err
	}
	return NewDatagrams(c.(*net.UDPConn), agents), nil
}

// NewDatagrams takes over a socket that is open.
func NewDatagrams(c *net.UDPConn, agents *protocol.PeerAddresses) *Datagrams {
	d := &Datagrams{conn: c, agents: agents}
	d.active.Store(true)
	return d
}

// SetActive has this process send and receive for its agent, or leave that to another process that has the socket
// too. Guards against datagrams that one half of the agent hears and the other half needed.
func (d *Datagrams) SetActive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active.Swap(on) == on {
		return
	}
	if on {
		_ = d.conn.SetReadDeadline(time.Time{})
		close(d.resumed)
	} else {
		d.resumed = make(chan struct{})
		_ = d.conn.SetReadDeadline(time.Now())
	}
}

// wait returns when this process speaks for its agent.
func (d *Datagrams) wait() {
	d.mu.Lock()
	again := d.resumed
	d.mu.Unlock()
	if !d.active.Load() {
		<-again
	}
}

// Socket is what another process of this agent is given.
func (d *Datagrams) Socket() *net.UDPConn { return d.conn }

// Receive passes on what peers send, until Close. What is malformed or from a stranger is dropped.
func (d *Datagrams) Receive(f func(protocol.Datagram)) error {
	buf := make([]byte, protocol.MaxDatagram+1) // one more, so that a longer one shows
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			d.wait()
			continue
		case err != nil:
			return err
		}
		dg, err := d.agents.Decode(from, buf[:n])
		if err != nil {
			d.drops.warn("datagram dropped", "from", from, "error", err)
			continue
		}
		f(dg)
	}
}

// Send sends one datagram; it may be lost like any other.
func (d *Datagrams) Send(dg protocol.Datagram) error {
	to, data, err := d.agents.Encode(dg)
	if err == nil && d.active.Load() {
		_, err = d.conn.WriteToUDPAddrPort(data, to)
	}
	if errors.Is(err, net.ErrClosed) { // the program is ending
		return nil
	}
	return err
}

// Close ends Receive.
func (d *Datagrams) Close() {
	_ = d.conn.Close()
	d.SetActive(true)
}
