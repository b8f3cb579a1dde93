package fragment

import "time"

// completedWindow is the number of message numbers, up to the highest completed one, for which it is
// remembered whether they are completed. Messages with lower numbers are not accepted any more.
const completedWindow = 64

// inbox holds the long messages being received.
type inbox struct {
	senders  map[uint32]*sender
	messages []*inMessage // in the order in which they began
	bytes    int
}

// sender is what is known of an agent's process.
type sender struct {
	incarnation      uint64
	highestCompleted uint32 // the highest number that was delivered or given up
	completed        uint64 // bit n: highestCompleted-n was
}

// inMessage is a message of which some fragments have arrived.
type inMessage struct {
	from      uint32
	header    frame // without data
	buf       []byte
	size      int // known once the last fragment has arrived
	received  fragmentSet
	missing   int
	startedAt time.Time
}

// fragmentResult is what follows from a fragment.
type fragmentResult struct {
	message []byte // complete; nil: not yet
	ack     []byte // a frame to be sent; nil: none

	// What is counted.
	staleIncarnation, duplicates, outOfMemory uint64
}

func newInbox() inbox { return inbox{senders: map[uint32]*sender{}} }

// handleFragment processes a fragment. The messages being received have at most maxBytes. The number of
// senders is bounded by the caller, as agents are numbered.
func (in *inbox) handleFragment(now time.Time, from uint32, f frame, maxBytes int) (result fragmentResult) {
	s := in.senders[from]
	if s == nil {
		s = &sender{incarnation: f.incarnation}
		in.senders[from] = s
	}
	if f.incarnation < s.incarnation {
		return fragmentResult{staleIncarnation: 1}
	}
	if f.incarnation > s.incarnation {
		*s = sender{incarnation: f.incarnation}
		in.dropSender(from)
	}
	if s.isCompleted(f.number) {
		// The final acknowledgement was lost, or the message was given up: nothing more is needed of it.
		if result.duplicates = 1; f.kind == kindAckRequest {
			result.ack = encodeAck(f, nil)
		}
		return result
	}
	m := in.find(from, f.number)
	if m == nil {
		if m, result.outOfMemory = in.begin(now, from, f, maxBytes); m == nil {
			return result
		}
	}
	if !m.matches(f) {
		return result
	}
	if m.store(f); m.missing > 0 {
		if f.kind == kindAckRequest {
			result.ack = encodeAck(f, m.received)
		}
		return result
	}
	in.remove(m)
	if checksum(m.buf[:m.size]) != m.header.checksum {
		return result // corrupted despite the datagrams' checksums: it begins anew with what is resent
	}
	s.markCompleted(f.number)
	result.message, result.ack = m.buf[:m.size], encodeAck(f, nil)
	return result
}

func (in *inbox) find(from, number uint32) *inMessage {
	for _, m := range in.messages {
		if m.from == from && m.header.number == number {
			return m
		}
	}
	return nil
}

// begin makes room for a message, if necessary by giving up the oldest ones: their senders resend, and they
// begin anew. It returns nil for a message that is too long, and how many messages were given up.
func (in *inbox) begin(now time.Time, from uint32, f frame, maxBytes int) (m *inMessage, givenUp uint64) {
	size := int(f.count) * fragmentBytes
	if size > maxBytes {
		return nil, 1
	}
	if oldest, n := in.oldestFrom(from); n >= maxPerAgent {
		in.remove(oldest)
		givenUp++
	}
	for in.bytes+size > maxBytes {
		in.remove(in.messages[0])
		givenUp++
	}
	m = &inMessage{
		from: from, header: f, buf: make([]byte, size), received: newFragmentSet(int(f.count)),
		missing: int(f.count), startedAt: now,
	}
	m.header.data = nil
	in.messages = append(in.messages, m)
	in.bytes += size
	return m, givenUp
}

// oldestFrom returns the oldest message from an agent, and how many there are.
func (in *inbox) oldestFrom(from uint32) (oldest *inMessage, n int) {
	for i := len(in.messages) - 1; i >= 0; i-- {
		if in.messages[i].from == from {
			oldest = in.messages[i]
			n++
		}
	}
	return oldest, n
}

func (in *inbox) remove(m *inMessage) {
	for i, o := range in.messages {
		if o == m {
			in.messages = append(in.messages[:i], in.messages[i+1:]...)
			in.bytes -= len(m.buf)
			return
		}
	}
}

// dropSender drops the messages of an agent's earlier process.
func (in *inbox) dropSender(from uint32) {
	for i := 0; i < len(in.messages); {
		if in.messages[i].from == from {
			in.remove(in.messages[i])
		} else {
			i++
		}
	}
}

// expire gives up the messages that began long enough ago, and returns how many.
func (in *inbox) expire(now time.Time, after time.Duration) (n int) {
	for len(in.messages) > 0 && !now.Before(in.messages[0].startedAt.Add(after)) {
		in.remove(in.messages[0])
		n++
	}
	return n
}

// nextExpiry returns when the next message is given up; the zero time: never.
func (in *inbox) nextExpiry(after time.Duration) time.Time {
	if len(in.messages) == 0 {
		return time.Time{}
	}
	return in.messages[0].startedAt.Add(after)
}

// matches reports whether a fragment is one of the message.
func (m *inMessage) matches(f frame) bool {
	return f.count == m.header.count && f.checksum == m.header.checksum && f.channel == m.header.channel
}

func (m *inMessage) store(f frame) {
	i := int(f.index)
	if m.received.has(i) {
		return
	}
	m.received.set(i)
	m.missing--
	copy(m.buf[i*fragmentBytes:], f.data)
	if f.index+1 == f.count {
		m.size = i*fragmentBytes + len(f.data)
	}
}

func (s *sender) isCompleted(n uint32) bool {
	switch {
	case n > s.highestCompleted:
		return false
	case s.highestCompleted-n >= completedWindow:
		return true
	}
	return s.completed&(1<<(s.highestCompleted-n)) != 0
}

func (s *sender) markCompleted(n uint32) {
	if n > s.highestCompleted {
		if n-s.highestCompleted >= completedWindow {
			s.completed = 0
		} else {
			s.completed <<= n - s.highestCompleted
		}
		s.highestCompleted = n
	}
	s.completed |= 1 << (s.highestCompleted - n)
}
