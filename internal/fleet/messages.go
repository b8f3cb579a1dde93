package fleet

import (
	"slices"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/raftlog"
)

// The channels of messages between nodes. On channels whose messages begin with a membership update, the
// update has its length, one byte, in front; it is left out in messages from an agent to itself.
const (
	channelRaft             = iota + 1 // messages of raftlog
	channelGossip                      // a membership update and a message of gossip
	channelLeaseRequest                // a membership update and a lease.Request
	channelLeaseGrant                  // a membership update and a lease.Grant
	channelProposal                    // a proposalRequest
	channelProposalReply               // a proposalReply
	channelApplication                 // a message of the application
	channelApplicationReply            // a reply of the application
)

const (
	// maxUpdateBytes is the maximum size of the membership update in a message.
	maxUpdateBytes = 64
	// maxGrantUpdateBytes is the maximum size of the update in a lease grant in fleets of up to
	// largeFleetAgents. It is larger than maxUpdateBytes, as voters receive messages from all agents. In larger
	// fleets grantUpdateBytes returns less, as a voter sends more grants and its bytes per second are limited.
	maxGrantUpdateBytes, largeFleetAgents = 200, 1000
)

// grantUpdateBytes returns the maximum size of the membership update in a lease grant.
func (s Settings) grantUpdateBytes() int {
	return max(min(maxGrantUpdateBytes, maxGrantUpdateBytes*largeFleetAgents/s.Agents), maxUpdateBytes)
}

// selfMessage is a message from an agent to itself.
type selfMessage struct {
	channel uint8
	bytes   []byte
}

// sendWithUpdate sends a message with a membership update in front, or without one to this agent itself.
func (n *Node) sendWithUpdate(now ClockReading, to int, channel uint8, b []byte) {
	if to == n.settings.Self {
		n.send(now, to, channel, b)
		return
	}
	maxBytes := maxUpdateBytes
	if channel == channelLeaseGrant {
		maxBytes = n.settings.grantUpdateBytes()
	}
	if capacity := fragment.MaxShortBytes - 1 - len(b); capacity > 0 {
		maxBytes = min(maxBytes, capacity) // keeps a message that fits into one datagram within one
	}
	n.members.NoteSent(now.Mono, to)
	update := n.members.Update(now.Mono, to, maxBytes)
	n.send(now, to, channel, slices.Concat([]byte{byte(len(update))}, update, b))
}

// handleUpdate applies the membership update at the front of a message, and returns the rest of the message.
// isValid is false if the message is malformed.
func (n *Node) handleUpdate(now ClockReading, from int, b []byte) (rest []byte, isValid bool) {
	if from == n.settings.Self {
		return b, true
	}
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		n.dropped++
		return nil, false
	}
	if update := b[1 : 1+b[0]]; len(update) == 0 {
		n.members.NoteReceived(now.Mono, from)
	} else if n.members.ApplyUpdate(now.Mono, from, update) != nil {
		n.dropped++ // the rest of the message does not depend on it
	}
	return b[1+b[0]:], true
}

// send sends a message, or queues it if it is for this agent itself. A message that the transport does not
// accept is counted as dropped; the senders of messages handle it like a message lost by the network.
func (n *Node) send(now ClockReading, to int, channel uint8, b []byte) {
	if to == n.settings.Self {
		n.selfMessages = append(n.selfMessages, selfMessage{channel, b})
		return
	}
	if err := n.transport.Send(steadyTime(now), uint32(to), channel, b); err != nil {
		n.dropped++
	}
}

// handleMessage processes a message of any channel.
func (n *Node) handleMessage(now ClockReading, from int, channel uint8, b []byte) {
	switch channel {
	case channelRaft:
		if n.voter != nil {
			n.stepVoter(now, raftlog.MessageReceived{From: uint32(from), Bytes: b})
		}
	case channelGossip, channelLeaseRequest, channelLeaseGrant:
		if rest, isValid := n.handleUpdate(now, from, b); isValid {
			n.handleMessageAfterUpdate(now, from, channel, rest)
		}
	case channelProposal:
		n.handleProposal(now, from, b)
	case channelProposalReply:
		n.handleProposalReply(now, b)
	case channelApplication:
		n.handleApplicationMessage(now, from, b)
	case channelApplicationReply:
		if n.settings.Application != nil {
			n.settings.Application.HandleReply(now, from, b)
		}
	default:
		n.dropped++
	}
}

// handleMessageAfterUpdate processes a message without its membership update.
func (n *Node) handleMessageAfterUpdate(now ClockReading, from int, channel uint8, b []byte) {
	switch channel {
	case channelGossip:
		n.handleGossip(now, from, b)
	case channelLeaseRequest:
		n.handleLeaseRequest(now, from, b)
	case channelLeaseGrant:
		n.handleLeaseGrant(now, from, b)
	}
}
