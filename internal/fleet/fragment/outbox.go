package fragment

import (
	"time"

	"dunestep/internal/fleet/internal/roundtrip"
)

const (
	// maxPerAgent is the maximum number of long messages in flight to one agent. It is well below
	// completedWindow, so that the receiver still remembers for each of them whether it was delivered.
	maxPerAgent = 8
	// minResendDivisor is the divisor of Config.ResendAfter that gives the minimum time until a message is
	// resent.
	minResendDivisor = 6
	// maxResendFactor is the multiple of Config.ResendAfter that is the maximum time until a message is resent.
	maxResendFactor = 8
)

// outbox contains the long messages being sent, in the order in which they were queued.
type outbox struct {
	messages   []*outMessage
	bytes      int                // memory of all messages
	lastNumber map[uint32]uint32  // number of the last message, by agent
	perAgent   map[uint32]int     // number of messages in flight, by agent
	roundTrip  roundtrip.Estimate // from the request for an acknowledgement to its arrival
}

// outMessage is a long message being sent. It is sent in passes. A pass consists of all fragments that are
// not acknowledged, and its last fragment requests an acknowledgement. If no acknowledgement arrives in time,
// a pass of a single fragment requests it again.
type outMessage struct {
	to          uint32
	channel     byte
	data        []byte
	header      frame // common fields of its fragments
	acked       fragmentSet
	cursor, end int // the next fragment of the pass, and the one after its last
	startedAt   time.Time
	passEndedAt time.Time
	resendAt    time.Time
	resendAfter time.Duration // timeout for the acknowledgement of the present pass
	minResend   time.Duration // minimum of resendAfter
	maxResend   time.Duration // maximum of resendAfter
}

func newOutbox() outbox { return outbox{lastNumber: map[uint32]uint32{}, perAgent: map[uint32]int{}} }

func (o *outbox) isFullFor(agent uint32) bool { return o.perAgent[agent] >= maxPerAgent }

func (o *outbox) add(now time.Time, to uint32, channel uint8, msg []byte, cfg Config) {
	o.lastNumber[to]++
	count := fragmentCount(len(msg))
	resendAfter := o.roundTrip.Timeout(cfg.ResendAfter, minResendDivisor)
	m := &outMessage{
		to: to, channel: channel, data: append([]byte(nil), msg...), acked: newFragmentSet(count), end: count,
		startedAt: now,
		header: frame{
			incarnation: cfg.Incarnation, number: o.lastNumber[to], count: uint16(count), checksum: checksum(msg),
		},
		resendAfter: resendAfter, minResend: resendAfter,
		maxResend: maxResendFactor * cfg.ResendAfter,
	}
	o.messages = append(o.messages, m)
	o.bytes += len(msg)
	o.perAgent[to]++
}

func (o *outbox) remove(i int) {
	m := o.messages[i]
	o.bytes -= len(m.data)
	if o.perAgent[m.to]--; o.perAgent[m.to] == 0 {
		delete(o.perAgent, m.to)
	}
	o.messages = append(o.messages[:i], o.messages[i+1:]...)
}

// dropOldest gives up the oldest message, if there is one.
func (o *outbox) dropOldest() {
	if len(o.messages) > 0 {
		o.remove(0)
	}
}

// dropOldestTo gives up the oldest message to an agent, if there is one.
func (o *outbox) dropOldestTo(agent uint32) {
	for i, m := range o.messages {
		if m.to == agent {
			o.remove(i)
			return
		}
	}
}

// expire gives up the messages that were queued at least the given time ago, and returns their number.
func (o *outbox) expire(now time.Time, after time.Duration) (n int) {
	for i := 0; i < len(o.messages); {
		if now.Before(o.messages[i].startedAt.Add(after)) {
			i++
			continue
		}
		o.remove(i)
		n++
	}
	return n
}

// handleAck processes an acknowledgement. It may list fewer fragments than an earlier one if the receiver
// gave up the message for lack of memory. An acknowledgement that arrives during a pass does not start a new
// pass, as it may be older than the fragments sent in the meantime.
func (o *outbox) handleAck(now time.Time, from uint32, f frame) {
	for i, m := range o.messages {
		if m.to != from || m.header.number != f.number {
			continue
		}
		if !m.isInPass() {
			o.roundTrip.AddSample(now.Sub(m.passEndedAt))
		}
		if len(f.data) == 0 {
			o.remove(i)
			return
		}
		acked, count := fragmentSet(f.data), int(m.header.count)
		if len(acked) != len(m.acked) || acked.count(count) == count {
			return // malformed: not an acknowledgement of this message
		}
		copy(m.acked, f.data)
		if !m.isInPass() {
			m.beginPass(now)
		}
		return
	}
}

func (m *outMessage) isInPass() bool { return m.cursor < m.end }

// beginPass starts a pass of all fragments that are not acknowledged.
func (m *outMessage) beginPass(now time.Time) {
	m.cursor, m.end = m.nextMissing(0), int(m.header.count)
	m.resendAfter = max(m.resendAfter/2, m.minResend)
	m.resendAt = now
}

// resendIfDue starts a pass of one fragment if no acknowledgement has arrived in time.
func (m *outMessage) resendIfDue(now time.Time) {
	if m.isInPass() || now.Before(m.resendAt) {
		return
	}
	m.cursor = m.nextMissing(0)
	m.end = min(m.cursor+1, int(m.header.count))
	m.resendAfter = min(2*m.resendAfter, m.maxResend)
}

// nextMissing returns the index of the first fragment, from i on, that is not acknowledged, or the number of
// fragments if there is none.
func (m *outMessage) nextMissing(i int) int {
	for i < int(m.header.count) && m.acked.has(i) {
		i++
	}
	return i
}

// nextFragment returns the encoded frame of the next fragment of the pass.
func (m *outMessage) nextFragment(now time.Time) []byte {
	f := m.header
	f.index = uint16(m.cursor)
	from := m.cursor * fragmentBytes
	f.data = m.data[from:min(from+fragmentBytes, len(m.data))]
	kind := byte(kindFragment)
	if m.cursor = m.nextMissing(m.cursor + 1); m.cursor >= m.end {
		kind = kindAckRequest
		m.cursor = m.end
		m.passEndedAt, m.resendAt = now, now.Add(m.resendAfter)
	}
	return encodeFragment(kind, m.channel, f)
}
