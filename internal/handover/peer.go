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
	// handshakeTimeout limits connecting, and separately hello and offer together. A new process has a few
	// seconds to become ready.
	handshakeTimeout = 1500 * time.Millisecond
)

// ErrNoPeer means that no other process of this agent is running.
var ErrNoPeer = errors.New("handover: no other process of this agent is running")

// errInconsistentOffer means that fields of an offer are invalid or do not match the sockets received with
// it.
var errInconsistentOffer = errors.New("the offer is inconsistent")

// Offer contains what a running process hands over to the process that replaces it.
type Offer struct {
	Manual ManualSettings `json:"hand"`
	// Descriptors and MemoryMB limit the new process's file descriptors, and its memory in MiB. A Notification
	// can change Descriptors.
	Descriptors int   `json:"sockets"`
	MemoryMB    int64 `json:"memory_mb"`
	// State is the learned state as encoded by package state; empty: none.
	State []byte `json:"state"`
	// FleetState is the state that the agents of the fleet agreed on, as encoded by the program; empty: none.
	FleetState []byte `json:"fleet,omitempty"`
	// SocketNames are the networks and addresses of the sockets passed with the offer, in the same order.
	SocketNames []string `json:"handed"`
	// AnswersClaims reports that this process answers a Claim.
	AnswersClaims bool `json:"answers_claims,omitempty"`
}

// Notification is a message between two processes while both run. Absent fields mean no change.
type Notification struct {
	// Ready reports that the new process accepts clients.
	Ready bool `json:"ready,omitempty"`
	// Manual has the sender's manual settings after an operator changed them.
	Manual *ManualSettings `json:"hand,omitempty"`
	// Descriptors is the maximum number of file descriptors that the receiver may use from now on.
	Descriptors int `json:"sockets,omitempty"`
	// Claim and Release concern ids of requests at the next process, ClaimResult answers a Claim. Retained is
	// an id whose request may have run, at the sender or beyond, and must not run again; at the previous
	// process, it is a Release as well.
	Claim       *Claim       `json:"claim,omitempty"`
	ClaimResult *ClaimResult `json:"claim_result,omitempty"`
	Release     string       `json:"release,omitempty"`
	Retained    string       `json:"retained,omitempty"`
}

// hello is the first frame that a new process sends.
type hello struct {
	Format int    `json:"format"`
	Agent  string `json:"agent"`
}

// Peer is a connection to the other process while both run. It ends with that process and not before, however
// long the other process is not scheduled: what it holds is in use until then.
type Peer struct {
	conn *net.UnixConn

	writing sync.Mutex // held while a frame is written

	mu           sync.Mutex
	offerPending bool // the offer has not been sent yet; notifications are queued until then
	isSending    bool // sendQueued runs
	queued       []queuedNotification
}

// queuedNotification is a notification that is not sent yet.
type queuedNotification struct {
	Notification
	done chan struct{} // closed once it is sent
}

// Connect connects to the running process of an agent and returns its offer and the sockets by name. The
// caller must close the sockets. It returns ErrNoPeer if no process is running. After any other error
// nothing was handed over.
func Connect(folder, agent string, listen netip.AddrPort) (*Peer, Offer, map[string]*os.File, error) {
	path, err := socketPath(folder, agent, listen)
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
		return nil, Offer{}, nil, fmt.Errorf("handover: cannot accept the running process's offer: %w", err)
	}
	return p, offer, sockets, nil
}

// receiveOffer sends the hello and receives the offer with its sockets by name.
func (p *Peer) receiveOffer(agent string) (offer Offer, sockets map[string]*os.File, err error) {
	// fails only on a closed connection, on which the write fails too
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

// validate returns an error unless the offer is valid and names this number of sockets.
func (o Offer) validate(sockets int) error {
	if o.Descriptors <= 0 || o.MemoryMB <= 0 || sockets != len(o.SocketNames) {
		return errInconsistentOffer
	}
	return o.Manual.validate()
}

// SendOffer sends the offer with the sockets that it names, then the queued notifications. This process keeps
// the sockets too.
func (p *Peer) SendOffer(offer Offer, sockets []syscall.Conn) error {
	var duplicates []int
	defer func() {
		for _, fd := range duplicates {
			_ = syscall.Close(fd) // the other process has received its own descriptor
		}
	}()
	for _, s := range sockets {
		fd, err := duplicate(s)
		if err != nil {
			return fmt.Errorf("handover: cannot duplicate a socket: %w", err)
		}
		duplicates = append(duplicates, fd)
	}
	err := p.writeOffer(offer, duplicates)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offerPending = false
	p.startSending()
	return err
}

// writeOffer writes the offer with the descriptors. The new process waits for it for a limited time.
func (p *Peer) writeOffer(offer Offer, descriptors []int) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	// fails only on a closed connection, on which the write fails too
	_ = p.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = p.conn.SetDeadline(time.Time{}) }()
	return writeFrame(p.conn, offer, descriptors)
}

// Notify queues a notification and does not wait for the other process. Before SendOffer nothing is sent,
// since the other process would mistake it for the offer. The result is closed once the connection has taken
// the notification, or has ended. It is safe for concurrent use.
func (p *Peer) Notify(n Notification) (sent <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	p.queued = append(p.queued, queuedNotification{n, done})
	p.startSending()
	return done
}

// startSending starts to send what is queued, unless that goes on already. The caller must hold mu.
func (p *Peer) startSending() {
	if !p.offerPending && !p.isSending && len(p.queued) > 0 {
		p.isSending = true
		go p.sendQueued()
	}
}

// sendQueued sends notifications, in order, until none is queued.
func (p *Peer) sendQueued() {
	for {
		p.mu.Lock()
		if len(p.queued) == 0 {
			p.isSending, p.queued = false, nil
			p.mu.Unlock()
			return
		}
		n := p.queued[0]
		p.queued = p.queued[1:]
		p.mu.Unlock()
		p.Send(n.Notification)
		close(n.done)
	}
}

// Send sends a notification, and waits until the connection has taken it or has ended. If that fails, it
// closes the connection. It is not called before SendOffer. It is safe for concurrent use.
func (p *Peer) Send(n Notification) {
	p.writing.Lock()
	defer p.writing.Unlock()
	_ = p.conn.SetWriteDeadline(time.Time{}) // that of the handshake; fails only on a closed connection
	if err := writeFrame(p.conn, n, nil); err != nil {
		p.Close()
	}
}

// Receive calls handle with each notification until the connection ends or the other process sends an invalid
// one. It closes the connection.
func (p *Peer) Receive(handle func(Notification)) {
	defer p.Close()
	_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which the read fails too
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

// Close closes the connection, which ends Receive in both processes.
func (p *Peer) Close() { _ = p.conn.Close() }
