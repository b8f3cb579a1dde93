package agent

import (
	"log/slog"

	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// maxDatagramsWaiting is the number of messages waiting for an actor from which on datagrams are dropped.
const maxDatagramsWaiting = 256

// peerSender is the actor that sends datagrams to other agents.
type peerSender struct {
	mail   *mailbox[protocol.Datagram]
	socket *transport.Datagrams
}

func startPeerSender(socket *transport.Datagrams) *peerSender {
	p := &peerSender{mail: newMailbox[protocol.Datagram](), socket: socket}
	go p.mail.receive(p.send)
	return p
}

// enqueue queues a datagram for sending, or drops it if too many are waiting.
func (p *peerSender) enqueue(d protocol.Datagram) {
	if p.mail.waiting() < maxDatagramsWaiting {
		p.mail.put(d)
	}
}

// send sends a datagram. It returns true: the actor never ends. An error is only logged, since
// datagrams may be lost anyway.
func (p *peerSender) send(d protocol.Datagram) bool {
	if err := p.socket.Send(d); err != nil {
		slog.Warn("datagram cannot be sent", "agent", d.Agent, "error", err)
	}
	return true
}
