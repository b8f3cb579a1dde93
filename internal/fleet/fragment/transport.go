package fragment

import (
	"errors"
	"time"
)

// Errors that Send returns.
var (
	// ErrTooLong reports that a message exceeds MaxMessageBytes.
	ErrTooLong = errors.New("fragment: message too long")
	// ErrEmpty reports that a message is empty.
	ErrEmpty = errors.New("fragment: empty message")
	// ErrUnknownAgent reports that there is no agent with this number.
	ErrUnknownAgent = errors.New("fragment: no such agent")
	// ErrQueueFull reports that a message exceeds the memory for outgoing messages by itself.
	ErrQueueFull = errors.New("fragment: the message exceeds the memory for outgoing messages")
)

// Message is a received message.
type Message struct {
	From    uint32 // number of the sending agent
	Channel uint8
	Bytes   []byte
}

// Datagram is a datagram to be sent.
type Datagram struct {
	To    uint32 // number of the receiving agent
	Bytes []byte
}

// Stats counts dropped datagrams, fragments and messages since the start.
type Stats struct {
	Damaged          uint64 // datagrams that could not be decoded
	StaleIncarnation uint64 // fragments of a process that has been restarted since
	Duplicates       uint64 // fragments of messages that are already completed
	OutOfMemory      uint64 // incoming and outgoing messages given up for lack of memory
	Expired          uint64 // long messages given up after Config.GiveUpAfter
	RateLimited      uint64 // short messages and acknowledgements dropped, as the debt would exceed a burst
}

// Transport is one agent's end of the transport.
type Transport struct {
	config  Config
	stats   Stats
	pacer   tokenBucket
	batches batches
	outbox  outbox
	inbox   inbox
	pending []Datagram // complete, to be returned by Out
}

// New returns the Transport of a process that has just started.
func New(cfg Config) *Transport {
	cfg = cfg.withDefaults()
	return &Transport{
		config: cfg, pacer: newTokenBucket(cfg), outbox: newOutbox(), inbox: newInbox(),
		batches: batches{open: map[uint32][]byte{}},
	}
}

// Stats returns the counters since the start.
func (t *Transport) Stats() Stats { return t.stats }

// InFlightBytes returns the bytes of the long messages being sent and received.
func (t *Transport) InFlightBytes() (out, in int) { return t.outbox.bytes, t.inbox.bytes }

// Send queues a copy of a message for an agent. The receiver gets the channel with the message; channels
// separate the users of the transport. If there are too many long messages, the oldest ones are given up. The
// errors are ErrUnknownAgent, ErrEmpty, ErrTooLong and ErrQueueFull.
func (t *Transport) Send(now time.Time, to uint32, channel uint8, msg []byte) error {
	switch {
	case int64(to) >= int64(t.config.Agents):
		return ErrUnknownAgent
	case len(msg) == 0:
		return ErrEmpty
	case len(msg) > MaxMessageBytes:
		return ErrTooLong
	case len(msg) <= MaxShortBytes:
		t.queueFrame(now, to, encodeShort(channel, msg))
		return nil
	}
	maxBytes := t.config.MemoryBytes / 2
	if fragmentCount(len(msg))*fragmentBytes > maxBytes {
		return ErrQueueFull
	}
	for t.outbox.isFullFor(to) || t.outbox.bytes+len(msg) > maxBytes {
		if t.outbox.isFullFor(to) {
			t.outbox.dropOldestTo(to)
		} else {
			t.outbox.dropOldest()
		}
		t.stats.OutOfMemory++
	}
	t.outbox.add(now, to, channel, msg, t.config)
	return nil
}

// queueFrame adds a frame to the open datagram of an agent, which the next Out returns, so that frames to the
// same agent share datagrams. The frame is a short message or an acknowledgement. The rate limit does not
// delay it, as it would be useless later, but drops it if the debt of bytes would exceed a burst.
func (t *Transport) queueFrame(now time.Time, to uint32, frame []byte) {
	if !t.pacer.spendWithDebt(now, len(frame)+headerBytes) {
		t.stats.RateLimited++
		return
	}
	if full := t.batches.add(to, frame); full != nil {
		t.pending = append(t.pending, Datagram{to, full})
	}
}

// Out returns the datagrams to be sent now.
func (t *Transport) Out(now time.Time) []Datagram {
	expired := t.outbox.expire(now, t.config.GiveUpAfter) + t.inbox.expire(now, t.config.GiveUpAfter)
	t.stats.Expired += uint64(expired)
	t.sendFragments(now)
	out := t.batches.flush(t.pending)
	t.pending = nil
	return out
}

// Next returns the time when Out is due if no other method is called before, or the zero time if it is not
// due.
func (t *Transport) Next() time.Time {
	if len(t.pending) > 0 || len(t.batches.order) > 0 {
		return t.pacer.updatedAt
	}
	next := t.inbox.nextExpiry(t.config.GiveUpAfter)
	for _, m := range t.outbox.messages {
		at := t.pacer.availableAt(MaxDatagramBytes)
		if !m.isInPass() && m.resendAt.After(at) {
			at = m.resendAt
		}
		if expiry := m.startedAt.Add(t.config.GiveUpAfter); expiry.Before(at) {
			at = expiry
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// sendFragments sends as many fragments as the rate limit allows, one of each message in turn.
func (t *Transport) sendFragments(now time.Time) {
	for hasSent := true; hasSent; {
		hasSent = false
		for _, m := range t.outbox.messages {
			m.resendIfDue(now)
			if !m.isInPass() {
				continue
			}
			if !t.pacer.spend(now, MaxDatagramBytes) {
				return
			}
			t.pending = append(t.pending, Datagram{m.to, encodeDatagram(m.nextFragment(now))})
			hasSent = true
		}
	}
}

// Receive processes a datagram from an agent, and returns the messages that it completes. A datagram that
// cannot be decoded is dropped and counted.
func (t *Transport) Receive(now time.Time, from uint32, datagram []byte) []Message {
	body, isIntact := decodeDatagram(datagram)
	if !isIntact || int64(from) >= int64(t.config.Agents) {
		t.stats.Damaged++
		return nil
	}
	var messages []Message
	for len(body) > 0 {
		f, rest, isValid := decodeFrame(body)
		if !isValid {
			t.stats.Damaged++
			return messages
		}
		body = rest
		if m, isComplete := t.handleFrame(now, from, f); isComplete {
			messages = append(messages, m)
		}
	}
	return messages
}

// handleFrame processes one frame, and returns the message that it completes, if any.
func (t *Transport) handleFrame(now time.Time, from uint32, f frame) (m Message, isComplete bool) {
	switch f.kind {
	case kindShort:
		return Message{from, f.channel, append([]byte(nil), f.data...)}, true
	case kindAck:
		if f.incarnation == t.config.Incarnation {
			t.outbox.handleAck(now, from, f)
		}
		return Message{}, false
	}
	result := t.inbox.handleFragment(now, from, f, t.config.MemoryBytes/2)
	t.stats.StaleIncarnation += result.staleIncarnation
	t.stats.Duplicates += result.duplicates
	t.stats.OutOfMemory += result.outOfMemory
	if result.ack != nil {
		t.queueFrame(now, from, result.ack)
	}
	return Message{from, f.channel, result.message}, result.message != nil
}
