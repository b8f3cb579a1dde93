package fragment

import (
	"time"

	"dunestep/internal/fleet/internal/roundtrip"
)

const (
	// maxPerAgent bounds the long messages in flight to one agent. It is well below completedWindow, so that the
	// receiver still knows of each whether it was delivered.
	maxPerAgent = 8
	// minResendDivisor is the part of Config.ResendAfter after which a message is resent at the earliest.
	minResendDivisor = 6
	// maxResendFactor is the multiple of Config.ResendAfter after which a message is resent at the latest.
	maxResendFactor = 8
)

// outbox holds the long messages being sent, in the order in which they were queued.
type outbox struct {
	messages   []*outMessage
	bytes      int
	lastNumber map[uint32]uint32  // of the messages to an agent
	perAgent   map[uint32]int     // the messages in flight
	roundTrip  roundtrip.Estimate // from a requested acknowledgement to its arrival
}

// outMessage is a long message being sent. It is sent in passes: all fragments that are not acknowledged, the
// last of which requests an acknowledgement. If none comes, one fragment requests it again.
type outMessage struct {
	to          uint32
	channel     byte
	data        []byte
	header      frame // of its fragments
	acked       fragmentSet
	cursor, end int // the next fragment of the pass, and the one after its last
	startedAt   time.Time
	passEndedAt time.Time
	resendAt    time.Time
	resendAfter time.Duration
	minResend   time.Duration
	maxResend   time.Duration
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

// expire gives up the messages that have been tried for long enough, and returns how many.
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

// handleAck processes an acknowledgement. It may list fewer fragments than before, where the receiver lacked
// memory. One that comes in the middle of a pass begins no new pass, as it may be older than what was sent
// since.
func (o *outbox) handleAck(now time.Time, from uint32, f frame) {
	for i, m := range o.messages {
		if m.to != from || m.header.number != f.number {
			continue
		}
		if !m.isInPass() {
			o.roundTrip.Note(now.Sub(m.passEndedAt))
		}
		if len(f.data) == 0 {
			o.remove(i)
			return
		}
		acked, count := fragmentSet(f.data), int(m.header.count)
		if len(acked) != len(m.acked) || acked.count(count) == count {
			return // not of this message
		}
		copy(m.acked, f.data)
		if !m.isInPass() {
			m.beginPass(now)
		}
		return
	}
}

func (m *outMessage) isInPass() bool { return m.cursor < m.end }

// beginPass begins a pass of all fragments that are not acknowledged.
func (m *outMessage) beginPass(now time.Time) {
	m.cursor, m.end = m.nextMissing(0), int(m.header.count)
	m.resendAfter = max(m.resendAfter/2, m.minResend)
	m.resendAt = now
}

// resendIfDue begins a pass of one fragment if no acknowledgement came in time.
func (m *outMessage) resendIfDue(now time.Time) {
	if m.isInPass() || now.Before(m.resendAt) {
		return
	}
	m.cursor = m.nextMissing(0)
	m.end = min(m.cursor+1, int(m.header.count))
	m.resendAfter = min(2*m.resendAfter, m.maxResend)
}

// nextMissing returns the first fragment from i on that is not acknowledged.
func (m *outMessage) nextMissing(i int) int {
	for i < int(m.header.count) && m.acked.has(i) {
		i++
	}
	return i
}

// nextFragment returns the frame of the next fragment of the pass.
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
