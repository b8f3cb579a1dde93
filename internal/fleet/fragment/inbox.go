package fragment

import "time"

// completedWindow is the size of the range of message numbers, up to the highest completed one, for which the
// inbox remembers whether they are completed. Messages with lower numbers count as completed and are not
// accepted.
const completedWindow = 64

// inbox contains the long messages being received.
type inbox struct {
	senders  map[uint32]*sender
	messages []*inMessage // in the order in which they were started
	bytes    int          // memory of all messages
}

// sender is the state of an agent's process that sends long messages.
type sender struct {
	incarnation      uint64
	highestCompleted uint32 // highest number of a completed message
	completed        uint64 // bit n: the message highestCompleted-n is completed
}

// inMessage is a message of which some fragments have arrived.
type inMessage struct {
	from      uint32
	header    frame // first fragment to arrive, without its data
	buf       []byte
	size      int // in bytes, known once the last fragment has arrived
	received  fragmentSet
	missing   int
	startedAt time.Time
}

// fragmentResult is the result of a received fragment.
type fragmentResult struct {
	message []byte // the complete message; nil: not complete yet
	ack     []byte // acknowledgement to be sent, as a frame; nil: none

	// Additions to the counters in Stats.
	staleIncarnation, duplicates, outOfMemory uint64
}

func newInbox() inbox { return inbox{senders: map[uint32]*sender{}} }

// handleFragment processes a fragment. The messages being received use at most maxBytes. The caller bounds
// the number of senders, as it accepts datagrams only from the numbers of the fleet's agents.
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
		// The message was delivered and its final acknowledgement was lost, or its number is too low to be
		// accepted.
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
		return result // corrupted despite the datagrams' checksums: it is received again when the sender resends it
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

// begin starts the reception of a message. If necessary, it gives up the oldest messages to free memory;
// these are received again when their senders resend them. It returns the message, or nil if it is too long,
// and the number of messages that were given up, which includes a message that is too long.
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

// oldestFrom returns the oldest message from an agent, and the number of messages from it.
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

// expire gives up the messages that were started at least the given time ago, and returns their number.
func (in *inbox) expire(now time.Time, after time.Duration) (n int) {
	for len(in.messages) > 0 && !now.Before(in.messages[0].startedAt.Add(after)) {
		in.remove(in.messages[0])
		n++
	}
	return n
}

// nextExpiry returns the time when the next message is given up, or the zero time if there is no message.
func (in *inbox) nextExpiry(after time.Duration) time.Time {
	if len(in.messages) == 0 {
		return time.Time{}
	}
	return in.messages[0].startedAt.Add(after)
}

// matches reports whether a fragment belongs to the message.
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
