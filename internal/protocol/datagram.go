package protocol

import (
	"errors"
	"net/netip"
)

// MaxDatagram is the most bytes that agents send one another at once: a longer one voids the run.
const MaxDatagram = 256

// Datagram is a message between agents.
type Datagram struct {
	Agent int // the other agent's number; AllAgents where it goes to every one
	Data  []byte
}

// AllAgents stands for every agent of the tier.
const AllAgents = -1

// The ways in which a datagram can be malformed.
var (
	errDatagram = errors.New("a datagram must have 1 to 256 bytes")
	errStranger = errors.New("the sender is not among the peers")
)

// PeerAddresses turns agents' numbers into addresses and back.
type PeerAddresses struct {
	peers  []netip.AddrPort
	all    netip.AddrPort
	number map[netip.AddrPort]int
}

// NewPeerAddresses takes the addresses of the configuration.
func NewPeerAddresses(peers []netip.AddrPort, all netip.AddrPort) *PeerAddresses {
	a := &PeerAddresses{peers: peers, all: all, number: make(map[netip.AddrPort]int, len(peers))}
	for i, p := range peers {
		a.number[p] = i
	}
	return a
}

// Decode tells who sent the bytes; the data is a copy.
func (a *PeerAddresses) Decode(from netip.AddrPort, data []byte) (Datagram, error) {
	n, ok := a.number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !ok {
		return Datagram{}, errStranger
	}
	if len(data) == 0 || len(data) > MaxDatagram {
		return Datagram{}, errDatagram
	}
	return Datagram{Agent: n, Data: append([]byte(nil), data...)}, nil
}

// Encode tells where a datagram goes.
func (a *PeerAddresses) Encode(d Datagram) (netip.AddrPort, []byte, error) {
	to := a.all
	if d.Agent != AllAgents {
		if d.Agent < 0 || d.Agent >= len(a.peers) {
			return netip.AddrPort{}, nil, errStranger
		}
		to = a.peers[d.Agent]
	}
	if len(d.Data) == 0 || len(d.Data) > MaxDatagram || !to.IsValid() {
		return netip.AddrPort{}, nil, errDatagram
	}
	return to, d.Data, nil
}
