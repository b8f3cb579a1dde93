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

// Datagrams is the socket with which agents exchange messages.
type Datagrams struct {
	conn     *net.UDPConn
	peers    *protocol.PeerAddresses
	dropLog  rateLimitedLog
	isActive atomic.Bool
	mu       sync.Mutex
	resumed  chan struct{} // closed by Activate; nil if never deactivated
}

// ListenDatagrams opens the socket. Datagrams are sent from it too: peers identify the sender by its address.
func ListenDatagrams(addr netip.AddrPort, peers *protocol.PeerAddresses) (*Datagrams, error) {
	c, err := reusePortConfig().ListenPacket(context.Background(), "udp", addr.String())
	if err != nil {
		return nil, err
	}
	return NewDatagrams(c.(*net.UDPConn), peers), nil
}

// NewDatagrams returns Datagrams that use an open socket.
func NewDatagrams(c *net.UDPConn, peers *protocol.PeerAddresses) *Datagrams {
	d := &Datagrams{conn: c, peers: peers}
	d.isActive.Store(true)
	return d
}

// Activate makes this process send and receive for its agent, which is the initial state.
func (d *Datagrams) Activate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isActive.Swap(true) {
		return
	}
	_ = d.conn.SetReadDeadline(time.Time{}) // fails only on a closed socket
	close(d.resumed)
}

// Deactivate leaves sending and receiving to another process of this agent that shares the socket: each
// datagram reaches only one of them.
func (d *Datagrams) Deactivate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isActive.Swap(false) {
		return
	}
	d.resumed = make(chan struct{})
	_ = d.conn.SetReadDeadline(time.Now()) // fails only on a closed socket
}

// waitActive waits until this process is active.
func (d *Datagrams) waitActive() {
	d.mu.Lock()
	resumed := d.resumed
	d.mu.Unlock()
	if !d.isActive.Load() {
		<-resumed
	}
}

// Socket returns the socket, to be passed to another process of this agent.
func (d *Datagrams) Socket() *net.UDPConn { return d.conn }

// receiveRetryWait is the wait after an error of receiving.
const receiveRetryWait = 10 * time.Millisecond

// Receive calls handle with each datagram of a peer until Close. Datagrams that are malformed or from other
// senders are dropped and logged.
func (d *Datagrams) Receive(handle func(protocol.Datagram)) {
	buffer := make([]byte, protocol.MaxDatagram+1) // one byte more, to detect longer datagrams
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			d.waitActive()
			continue
		case err != nil: // of one datagram, or for want of memory
			d.dropLog.warn("datagram could not be received", "error", err)
			time.Sleep(receiveRetryWait)
			continue
		}
		datagram, err := d.peers.Decode(from, buffer[:n])
		if err != nil {
			d.dropLog.warn("datagram dropped", "from", from, "error", err)
			continue
		}
		handle(datagram)
	}
}

// Send sends one datagram, which may get lost. It sends nothing while deactivated or after Close.
func (d *Datagrams) Send(datagram protocol.Datagram) error {
	to, data, err := d.peers.Encode(datagram)
	if err == nil && d.isActive.Load() {
		_, err = d.conn.WriteToUDPAddrPort(data, to)
	}
	if errors.Is(err, net.ErrClosed) { // the program is ending
		return nil
	}
	return err
}

// Close ends Receive.
func (d *Datagrams) Close() {
	_ = d.conn.Close() // nothing is left to do on an error
	d.Activate()
}
