package agent

import (
	"log/slog"

	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// maxDatagramsWaiting bounds how many datagrams wait for an actor; further ones are dropped.
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

// enqueue sends a datagram later, or drops it where too many wait.
func (p *peerSender) enqueue(d protocol.Datagram) {
	if p.mail.waiting() < maxDatagramsWaiting {
		p.mail.put(d)
	}
}

// send sends a datagram. It never ends the actor: a datagram may be lost.
func (p *peerSender) send(d protocol.Datagram) bool {
	if err := p.socket.Send(d); err != nil {
		slog.Warn("datagram cannot be sent", "agent", d.Agent, "error", err)
	}
	return true
}
