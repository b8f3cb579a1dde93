package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	protocolFormat = 1
	// handshakeTimeout bounds connecting, hello and offer together: a new process has a few seconds to be ready.
	handshakeTimeout = 1500 * time.Millisecond
	// notifyTimeout is how long the other process has to take a notification.
	notifyTimeout = time.Second
)

// ErrNoPeer means that no other process of this agent is running.
var ErrNoPeer = errors.New("handover: no other process of this agent is running")

// errOffer means that the parts of an offer contradict each other.
var errOffer = errors.New("the offer is inconsistent")

// Offer is what a running process gives to the one that takes over from it.
type Offer struct {
	Manual ManualSettings `json:"hand"`
	// Descriptors and MemoryMB are what the new process may use until it is notified otherwise.
	Descriptors int   `json:"sockets"`
	MemoryMB    int64 `json:"memory_mb"`
	// State is what was learned, as package state encodes it; empty: nothing.
	State []byte `json:"state"`
	// FleetState is what the agents of the fleet had agreed on, as the program encodes it; empty: nothing.
	FleetState []byte `json:"fleet,omitempty"`
	// SocketNames are the networks and addresses of the sockets that come with the offer, in their order.
	SocketNames []string `json:"handed"`
}

// Notification is what two processes tell each other while both run. Fields that are absent say nothing.
type Notification struct {
	// Ready: the new process accepts clients.
	Ready bool `json:"ready,omitempty"`
	// Manual: operators have set something at the sender.
	Manual *ManualSettings `json:"hand,omitempty"`
	// Descriptors is how many the receiver may use from now on.
	Descriptors int `json:"sockets,omitempty"`
}

// hello is the first frame of a new process.
type hello struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
}

// Peer is the other process, while both run.
type Peer struct {
	conn *net.UnixConn

	mu           sync.Mutex // held while a frame is written
	offerPending bool       // the offer is still to be sent, which comes before any notification
	queued       []Notification
}

// Connect connects to the running process of an agent and returns its offer, with the sockets by their names,
// which are the caller's to close. ErrNoPeer: there is none. Any other error says why the two can't work
// together; then nothing was taken over.
func Connect(folder, agent string, listen netip.AddrPort) (*Peer, Offer, map[string]*os.File, error) {
	path, err := socketPathOf(folder, agent, listen)
	if err != nil {
		return nil, Offer{}, nil, err
	}
	conn, err := net.DialTimeout("unix", path, handshakeTimeout)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, Offer{}, nil, ErrNoPeer
	}
	if err != nil {
		return nil, Offer{}, nil, fmt.Errorf("handover: cannot connect to the running process: %w", err)
	}
	p := &Peer{conn: conn.(*net.UnixConn)}
	offer, sockets, err := p.receiveOffer(agent)
	if err != nil {
		p.Close()
		return nil, Offer{}, nil, fmt.Errorf("handover: cannot take the running process's offer: %w", err)
	}
	return p, offer, sockets, nil
}

// receiveOffer sends the hello, and receives the offer.
func (p *Peer) receiveOffer(agent string) (offer Offer, sockets map[string]*os.File, err error) {
	// fails only on a closed connection, as what follows does
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err = checkSameUser(p.conn); err != nil {
		return offer, nil, err
	}
	if err = writeFrame(p.conn, hello{Format: protocolFormat, Agent: agent}, nil); err != nil {
		return offer, nil, err
	}
	files, err := readFrameWithFiles(p.conn, &offer)
	if err == nil {
		err = offer.validate(len(files))
	}
	if err != nil {
		closeAll(files)
		return offer, nil, err
	}
	sockets = map[string]*os.File{}
	for i, f := range files {
		sockets[offer.SocketNames[i]] = f
	}
	return offer, sockets, nil
}

// validate checks an offer that came with a number of sockets.
func (o Offer) validate(sockets int) error {
	if o.Descriptors <= 0 || o.MemoryMB <= 0 || sockets != len(o.SocketNames) {
		return errOffer
	}
	return o.Manual.validate()
}

// SendOffer sends the offer, with the sockets that it names. They stay this process's too. Notifications that
// were queued follow.
func (p *Peer) SendOffer(offer Offer, sockets []syscall.Conn) error {
	var duplicates []int
	defer func() {
		for _, fd := range duplicates {
			_ = syscall.Close(fd) // the other process has its own
		}
	}()
	for _, s := range sockets {
		fd, err := duplicate(s)
		if err != nil {
			return fmt.Errorf("handover: cannot duplicate a socket: %w", err)
		}
		duplicates = append(duplicates, fd)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// fails only on a closed connection, as the write does
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	err := writeFrame(p.conn, offer, duplicates)
	for _, n := range p.queued {
		p.send(n)
	}
	p.offerPending, p.queued = false, nil
	return err
}

// Notify sends a notification; one that can't be sent closes the connection. Before SendOffer it is queued:
// the other process would take it for the offer. It is safe for concurrent use.
func (p *Peer) Notify(n Notification) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offerPending {
		p.queued = append(p.queued, n)
		return
	}
	p.send(n)
}

// send sends a notification; mu is held.
func (p *Peer) send(n Notification) {
	// fails only on a closed connection, as the write does
	_ = p.conn.SetWriteDeadline(time.Now().Add(notifyTimeout))
	if err := writeFrame(p.conn, n, nil); err != nil {
		p.Close()
	}
}

// Receive calls handle with each notification, until the other process closes the connection or sends an
// invalid one.
func (p *Peer) Receive(handle func(Notification)) {
	defer p.Close()
	_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, as the read does
	for {
		var n Notification
		if err := readFrame(p.conn, &n); err != nil {
			return
		}
		if n.Descriptors < 0 || n.Manual != nil && n.Manual.validate() != nil {
			return
		}
		handle(n)
	}
}

// Close closes the connection, which ends Receive at both ends.
func (p *Peer) Close() { _ = p.conn.Close() }
