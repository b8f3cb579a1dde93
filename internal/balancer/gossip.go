package balancer

import (
	"encoding/binary"
	"math"
	"time"
)

// gossipFanout is the number of peers that each gossip message is sent to.
const gossipFanout = 2

// A peer message is one of these kind bytes followed by its payload, in big-endian order.
const (
	messageDampRequest  = 'q' // four bytes: hash of the server; one byte: its flap penalty in tenths
	messageDampResponse = 'r' // same payload as the request
	messageArrivalRate  = 'a' // four-byte float: mean arrival rate in requests a second
)

const (
	dampMessageLength   = 6
	rateMessageLength   = 5
	penaltyScale        = 10 // tenths
	maxPenaltyInMessage = 255
	maxRateInMessage    = 1e9 // requests a second
)

// peerMessage is a decoded message; kind is zero for an invalid one.
type peerMessage struct {
	kind    byte
	hash    uint32  // hash of the server id, in damp messages
	penalty float64 // flap penalty, in damp messages
	rate    float64 // arrivals in requests a second, in rate messages
}

func encodeDampMessage(kind byte, s *server, now time.Duration) []byte {
	penalty := byte(min(penaltyScale*s.decayedPenalty(now), maxPenaltyInMessage))
	return append(binary.BigEndian.AppendUint32([]byte{kind}, s.hash), penalty)
}

func encodeRateMessage(rate float64) []byte {
	return binary.BigEndian.AppendUint32([]byte{messageArrivalRate}, math.Float32bits(float32(rate)))
}

func decodePeerMessage(d []byte) peerMessage {
	switch {
	case len(d) == dampMessageLength && (d[0] == messageDampRequest || d[0] == messageDampResponse):
		return peerMessage{kind: d[0], hash: binary.BigEndian.Uint32(d[1:]), penalty: float64(d[5]) / penaltyScale}
	case len(d) == rateMessageLength && d[0] == messageArrivalRate:
		if r := float64(math.Float32frombits(binary.BigEndian.Uint32(d[1:]))); r >= 0 && r < maxRateInMessage {
			return peerMessage{kind: messageArrivalRate, rate: r}
		}
	}
	return peerMessage{}
}

// gossip sends a message to gossipFanout random peers, or to all of them if there are fewer. It sends nothing
// if the settings forbid gossip.
func (b *Balancer) gossip(data []byte) {
	others := b.settings.Balancers - 1
	if !b.settings.Limits.Gossip {
		return
	}
	first := b.rng.IntN(max(others, 1))
	for i := range min(gossipFanout, others) {
		peer := (b.settings.Self + 1 + (first+i)%others) % b.settings.Balancers
		b.emit(Action{Kind: SendToPeer, Peer: peer, Data: data})
	}
}

func (b *Balancer) onPeerMessage(e *PeerMessage) {
	m := decodePeerMessage(e.Data)
	if e.From < 0 || e.From >= b.settings.Balancers || e.From == b.settings.Self {
		return
	}
	if m.kind == messageArrivalRate {
		b.quotas.RecordPeerMean(m.rate)
		return
	}
	s := b.byHash[m.hash]
	if s == nil || !s.ringPlace.IsMember() {
		return
	}
	switch m.kind {
	case messageDampRequest:
		b.emit(Action{Kind: SendToPeer, Peer: e.From, Data: encodeDampMessage(messageDampResponse, s, b.now)})
	case messageDampResponse:
		b.onDampResponse(s, m.penalty)
	}
}
