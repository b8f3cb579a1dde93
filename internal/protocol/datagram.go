package protocol

import (
	"errors"
	"net/netip"
)

// MaxDatagram is the maximum length of a datagram between agents, in bytes, as the protocol defines it.
const MaxDatagram = 256

// Datagram is a message between agents.
type Datagram struct {
	Agent int // number of the other agent, or AllAgents
	Data  []byte
}

// AllAgents is the address of every agent of the fleet.
const AllAgents = -1

// The ways in which a datagram can be malformed.
var (
	errDatagramSize = errors.New("a datagram must have 1 to 256 bytes")
	errUnknownPeer  = errors.New("the sender is not among the peers")
)

// PeerAddresses maps agents' numbers to addresses and back. It is not changed after NewPeerAddresses.
type PeerAddresses struct {
	peers    []netip.AddrPort
	allPeers netip.AddrPort
	numberOf map[netip.AddrPort]int
}

// NewPeerAddresses returns the mapping for peers, the agents' addresses indexed by their numbers, and all,
// the address that reaches every agent. If all is invalid, a datagram to AllAgents can't be encoded.
func NewPeerAddresses(peers []netip.AddrPort, all netip.AddrPort) *PeerAddresses {
	a := &PeerAddresses{peers: peers, allPeers: all, numberOf: make(map[netip.AddrPort]int, len(peers))}
	for i, p := range peers {
		a.numberOf[p] = i
	}
	return a
}

// Decode returns a received datagram with its sender; the data is a copy.
func (a *PeerAddresses) Decode(from netip.AddrPort, data []byte) (Datagram, error) {
	n, ok := a.numberOf[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !ok {
		return Datagram{}, errUnknownPeer
	}
	if len(data) == 0 || len(data) > MaxDatagram {
		return Datagram{}, errDatagramSize
	}
	return Datagram{Agent: n, Data: append([]byte(nil), data...)}, nil
}

// Encode returns the address and bytes of a datagram to be sent.
func (a *PeerAddresses) Encode(d Datagram) (netip.AddrPort, []byte, error) {
	to := a.allPeers
	if d.Agent != AllAgents {
		if d.Agent < 0 || d.Agent >= len(a.peers) {
			return netip.AddrPort{}, nil, errUnknownPeer
		}
		to = a.peers[d.Agent]
	}
	if len(d.Data) == 0 || len(d.Data) > MaxDatagram || !to.IsValid() {
		return netip.AddrPort{}, nil, errDatagramSize
	}
	return to, d.Data, nil
}
