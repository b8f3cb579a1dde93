package agent

import (
	"log/slog"

	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// maxDatagramsWaiting bounds what waits for an actor: datagrams may be lost, memory may not.
const maxDatagramsWaiting = 256

// agents is the actor of the other agents: it owns the sending of datagrams.
type peerSender struct {
	mail   *mailbox[protocol.Datagram]
	socket *transport.Datagrams
}

func startPeerSender(socket *transport.Datagrams) *peerSender {
	a := &peerSender{mail: newMailbox[protocol.Datagram](), socket: socket}
	go a.mail.receive(a.send)
	return a
}

// tell sends a datagram, or drops it where too many wait.
func (a *peerSender) enqueue(d protocol.Datagram) {
	if a.mail.waiting() < maxDatagramsWaiting {
		a.mail.put(d)
	}
}

func (a *peerSender) send(d protocol.Datagram) bool {
	if err := a.socket.Send(d); err != nil {
		slog.Warn("datagram cannot be sent", "agent", d.Agent, "error", err)
	}
	return true
}
